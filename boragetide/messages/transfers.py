"""Messages between the dispatchers of different groups about jobs that change groups.

They are sent to the dispatchers of a group on all members, because the sender need not
know the leader; only the leader answers. Each of them may be lost or arrive late.
"""

from __future__ import annotations

from dataclasses import dataclass

from boragetide.durable import JobRecord, Need, Offer
from boragetide.types import GroupId, InstanceId, JobId


@dataclass(frozen=True, slots=True)
class GroupRequest:
    """Request of the leader of one group to that of another.

    Parameters
    ----------
    sender, group
        Instance and group of the leader that asks.
    """

    sender: InstanceId
    group: GroupId


@dataclass(frozen=True, slots=True)
class FindRoom(GroupRequest):
    """Asks what a group has for some needs; answered with `RoomFound`.

    Parameters
    ----------
    term, number
        Term of the leader that asks, and number of its question in this term.
    """

    term: int
    number: int
    needs: tuple[Need, ...]


@dataclass(frozen=True, slots=True)
class RoomFound:
    """What the backend servers of a group have for the needs of a `FindRoom`.

    Parameters
    ----------
    group
        Group that answers.
    term, number
        Copied from the question.
    """

    group: GroupId
    term: int
    number: int
    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class DeliverJobs(GroupRequest):
    """Hands over transferred jobs; answered with `JobsDelivered` once they are stored.

    Parameters
    ----------
    records
        Transferred records by ascending sequence number, from the oldest one that is
        not confirmed.
    """

    records: tuple[JobRecord, ...]


@dataclass(frozen=True, slots=True)
class JobsDelivered:
    """The jobs up to a sequence number are stored in the group that answers."""

    group: GroupId
    until: int


@dataclass(frozen=True, slots=True)
class ReviewTransfers(GroupRequest):
    """Asks which of some transferred jobs are still known; see `TransfersReviewed`."""

    job_ids: tuple[JobId, ...]


@dataclass(frozen=True, slots=True)
class TransfersReviewed:
    """The jobs of a `ReviewTransfers` that the answering group does not know."""

    group: GroupId
    unknown: tuple[JobId, ...]
