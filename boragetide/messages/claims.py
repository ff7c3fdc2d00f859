"""Messages of the controller ``claims``."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from boragetide.messages.common import Request
from boragetide.types import Claim, InstanceId, JobId, Seconds, Submission, ZoneId


class ClaimStatus(StrEnum):
    """What an acceptor says of a claim request."""

    GRANTED = "granted"
    HELD = "held"
    INCOMPLETE = "incomplete"
    NOT_HELD = "not_held"


@dataclass(frozen=True, slots=True)
class ClaimRequest(Request):
    """Asks an acceptor to hold a claim; answered with `ClaimReply`.

    ``asked_at`` is when the submission came in, by the clock of its entry instance.
    """

    claim: Claim
    asked_at: Seconds


@dataclass(frozen=True, slots=True)
class LookUpClaim(Request):
    """Asks an acceptor what it holds for an id; answered with `ClaimReply`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """An acceptor's answer.

    Parameters
    ----------
    claim
        What the acceptor holds, if anything.
    incarnation
        Of the acceptor.
    restarts_by_id
        Newest incarnation of each other acceptor that has caught up from this one. A
        grant of an older incarnation is forgotten and must not be counted with this.
    """

    status: ClaimStatus
    claim: Claim | None = None
    incarnation: int = 0
    restarts_by_id: dict[InstanceId, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClaimAndSubmit(Request):
    """Asks the owner to complete the quorum with its own grant and to run the job.

    Answered with `JobAnswer`, or with `ClaimReply` where the claim is not decided.
    """

    submission: Submission
    claim: Claim
    asked_at: Seconds
    replies_by_acceptor: dict[InstanceId, ClaimReply]


@dataclass(frozen=True, slots=True)
class FetchClaims:
    """A restarted acceptor asks another one for its claims of a zone, by page.

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
    """A page of claims; ``complete`` says whether the sender has them all.

    Parameters
    ----------
    after
        Copied from the request.
    disputed_until_by_id
        Ids whose vote the sender has lost, with the time of their expiry.
    last
        Whether no page follows.
    """

    zone: ZoneId
    sender: InstanceId
    incarnation: int
    after: Claim | None
    claims: tuple[Claim, ...]
    complete: bool
    last: bool
    disputed_until_by_id: dict[JobId, Seconds] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AcceptorRegistered:
    """The configuration knows this acceptor; ``first`` if it never did before."""

    first: bool


@dataclass(frozen=True, slots=True)
class SavedClaims:
    """Snapshot of an acceptor on its disk.

    Parameters
    ----------
    complete_zones
        Zones for which the acceptor was complete.
    clean
        Whether the acceptor granted nothing after this snapshot.
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
    """Whether the acceptor may grant any new id of every group it belongs to."""

    complete: bool


@dataclass(frozen=True, slots=True)
class SaveClaims(Request):
    """Writes the claims to the disk, if there is one, as the last act of this process.

    Answered with `DrainState`; the acceptor grants nothing afterwards.
    """


@dataclass(frozen=True, slots=True)
class ClaimsRecovered:
    """What the acceptor's journal held when this process started, oldest first."""

    snapshot: SavedClaims | None
    claims: tuple[Claim, ...]
