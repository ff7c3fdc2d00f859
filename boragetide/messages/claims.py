"""Messages of the controller ``claims``."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from boragetide.messages.common import Request
from boragetide.types import Claim, InstanceId, JobId, Seconds, Submission, ZoneId


class ClaimStatus(StrEnum):
    """Answer of an acceptor to a claim request."""

    GRANTED = "granted"
    HELD = "held"
    INCOMPLETE = "incomplete"
    NOT_HELD = "not_held"


@dataclass(frozen=True, slots=True)
class ClaimRequest(Request):
    """Asks an acceptor to grant a claim; answered with `ClaimReply`.

    Parameters
    ----------
    asked_at
        Time at which the submission arrived, by the clock of its entry instance.
    """

    claim: Claim
    asked_at: Seconds


@dataclass(frozen=True, slots=True)
class LookUpClaim(Request):
    """Asks an acceptor for the claim it holds on an id; answered with `ClaimReply`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer of an acceptor to `ClaimRequest` or `LookUpClaim`.

    Parameters
    ----------
    claim
        Claim that the acceptor holds, if any.
    incarnation
        Incarnation of the acceptor.
    restarts_by_id
        Newest incarnation of each other acceptor that has caught up from this one. A
        grant by an older incarnation is lost and must not be counted with this reply.
    """

    status: ClaimStatus
    claim: Claim | None = None
    incarnation: int = 0
    restarts_by_id: dict[InstanceId, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClaimAndSubmit(Request):
    """Asks the owner to complete the quorum with its own grant and to run the job.

    Answered with `JobAnswer`, or with `ClaimReply` if the claim is not decided.

    Parameters
    ----------
    refusals
        As in `SubmitJob`.
    """

    submission: Submission
    claim: Claim
    asked_at: Seconds
    replies_by_acceptor: dict[InstanceId, ClaimReply]
    refusals: int = 0


@dataclass(frozen=True, slots=True)
class FetchClaims:
    """Asks another acceptor for a page of its claims of a zone, after a restart.

    Parameters
    ----------
    after
        Last claim of the previous page; ``None`` asks for the first page.
    """

    zone: ZoneId
    sender: InstanceId
    incarnation: int
    after: Claim | None = None


@dataclass(frozen=True, slots=True)
class ClaimsPage:
    """A page of claims, the answer to `FetchClaims`.

    Parameters
    ----------
    after, for_incarnation
        Copied from the request, which was sent by that incarnation of the receiver.
    complete
        Whether the sender knows all claims that it has granted; if not, ``claims`` is
        empty.
    last
        Whether this is the last page.
    disputed_until_by_id
        Ids for which the sender no longer knows its own grant, with the time at which
        their claims expire.
    """

    zone: ZoneId
    sender: InstanceId
    incarnation: int
    after: Claim | None
    claims: tuple[Claim, ...]
    complete: bool
    last: bool
    for_incarnation: int
    disputed_until_by_id: dict[JobId, Seconds] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AcceptorRegistered:
    """The acceptor is registered; ``first`` if it had never been registered before."""

    first: bool


@dataclass(frozen=True, slots=True)
class SavedClaims:
    """Snapshot of an acceptor, as stored on its disk.

    Parameters
    ----------
    complete_zones
        Zones for which the acceptor was complete.
    clean
        Whether the acceptor granted no claim after this snapshot.
    """

    claims: tuple[Claim, ...]
    complete_zones: tuple[ZoneId, ...]
    restarts_by_id: dict[InstanceId, int]
    clean: bool


@dataclass(frozen=True, slots=True)
class DescribeAcceptor(Request):
    """Asks whether the acceptor is complete; answered with `AcceptorState`."""


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """Whether the acceptor may grant new ids in all claim groups it belongs to."""

    complete: bool


@dataclass(frozen=True, slots=True)
class SaveClaims(Request):
    """Writes the claims to the disk, if there is one, before the process exits.

    Answered with `DrainState`; the acceptor grants no claims afterwards.
    """


@dataclass(frozen=True, slots=True)
class ClaimsRecovered:
    """Content of the acceptor's journal at process start, oldest claim first."""

    snapshot: SavedClaims | None
    claims: tuple[Claim, ...]
