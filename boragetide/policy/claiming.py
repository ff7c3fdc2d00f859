"""Decides, from the replies of acceptors, which claim on a job id holds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from boragetide.messages import ClaimReply, ClaimStatus
from boragetide.types import MAX_CLOCK_SKEW, Claim, InstanceId, Seconds

ASKING_LIMIT: Seconds = 10.0  # from a submission to the last grant for it

Replies: TypeAlias = Mapping[InstanceId, ClaimReply | None]


@dataclass(frozen=True, slots=True)
class AskAcceptor:
    """Ask this acceptor next, proposing this claim."""

    acceptor: InstanceId
    claim: Claim


@dataclass(frozen=True, slots=True)
class AskOwner:
    """Submit to the owner, whose own grant completes the quorum."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Decided:
    """A quorum holds this claim; ``asked`` counts the acceptors it took."""

    claim: Claim
    asked: int


@dataclass(frozen=True, slots=True)
class Undecided:
    """No claim can reach a quorum now."""

    reason: str


Step: TypeAlias = AskAcceptor | AskOwner | Decided | Undecided


def quorum_of(group: tuple[InstanceId, ...]) -> int:
    """Return the size of a majority of a claim group."""
    return len(group) // 2 + 1


def decide_claim(
    proposed: Claim,
    group: tuple[InstanceId, ...],
    replies_by_acceptor: Replies,
    entry: InstanceId | None = None,
    dead: frozenset[InstanceId] = frozenset(),
) -> Step:
    """Decide the next step of claiming a job id.

    Claims count together when they name the same owner in the same incarnation, because
    the owner's job table starts a job once whichever of them arrives. The decided claim
    is the oldest of them, which is the first that an acceptor drops.

    Parameters
    ----------
    proposed
        The claim to propose where no acceptor holds one.
    group
        The claim group, the preferred acceptors first.
    replies_by_acceptor
        Replies so far; ``None`` for an acceptor that did not answer.
    entry
        The asking instance; its own acceptor costs no message and goes first.
    dead
        Acceptors that count as lost; they go last.
    """
    quorum = quorum_of(group)
    held = _select_most_named(replies_by_acceptor)
    if len(held) >= quorum:
        claim = min(held, key=lambda claim: claim.claimed_at)
        return Decided(claim, len(replies_by_acceptor))
    candidate = held[0] if held else proposed
    ordered = order_acceptors(group, entry, dead, candidate.owner)
    waiting = [name for name in ordered if name not in replies_by_acceptor]
    if len(held) + len(waiting) < quorum:
        return Undecided(f"{len(held)} of {quorum} acceptors hold the same claim")
    owner = candidate.owner
    completes = len(held) + 1 == quorum and owner != entry
    if completes and owner in waiting and owner not in dead:
        return AskOwner(candidate)
    return AskAcceptor(waiting[0], candidate)


def order_acceptors(
    group: tuple[InstanceId, ...],
    entry: InstanceId | None = None,
    dead: frozenset[InstanceId] = frozenset(),
    owner: InstanceId | None = None,
) -> tuple[InstanceId, ...]:
    """Order a claim group for asking.

    The asking instance costs no message and goes first. The owner goes after the other
    live ones, because its grant can travel with the job. Lost instances go last.
    """
    return tuple(
        sorted(group, key=lambda name: (name in dead, name != entry, name == owner))
    )


def _select_most_named(replies_by_acceptor: Replies) -> list[Claim]:
    """Return the claims on the owner that most acceptors hold."""
    claims_by_owner: dict[tuple[InstanceId, int], list[Claim]] = {}
    for acceptor, reply in replies_by_acceptor.items():
        if reply is None or reply.claim is None:
            continue
        if not is_forgotten(acceptor, reply, replies_by_acceptor):
            owner = (reply.claim.owner, reply.claim.owner_incarnation)
            claims_by_owner.setdefault(owner, []).append(reply.claim)
    return max(claims_by_owner.values(), key=len, default=[])


def is_forgotten(
    acceptor: InstanceId, reply: ClaimReply, replies_by_acceptor: Replies
) -> bool:
    """Tell whether an acceptor has restarted since its reply.

    Another acceptor that served the restarted one before it made its own reply may
    have granted too late for the catch-up to include the claim.
    """
    return any(
        other is not None and other.restarts_by_id.get(acceptor, 0) > reply.incarnation
        for other in replies_by_acceptor.values()
    )


def is_certainly_unclaimed(
    group: tuple[InstanceId, ...], replies_by_acceptor: Replies
) -> bool:
    """Tell whether a quorum of complete acceptors holds nothing for an id."""
    without = [
        acceptor
        for acceptor, reply in replies_by_acceptor.items()
        if reply is not None
        and reply.status is ClaimStatus.NOT_HELD
        and not is_forgotten(acceptor, reply, replies_by_acceptor)
    ]
    return len(without) >= quorum_of(group)


def claim_lifetime(window: Seconds) -> Seconds:
    """Return how long after ``claimed_at`` an acceptor holds a claim, in seconds.

    A resubmission at the end of the window may reach the acceptor `ASKING_LIMIT` later,
    and the clocks of both claimants may differ from the acceptor's.
    """
    return window + ASKING_LIMIT + 2 * MAX_CLOCK_SKEW


def is_expired(claim: Claim, window: Seconds, now: Seconds) -> bool:
    """Tell whether an acceptor may drop a claim.

    The owner has then refused it for long, because it is older than the window.
    """
    return now > claim.claimed_at + claim_lifetime(window)


def is_too_late(claim: Claim, asked_at: Seconds, window: Seconds, now: Seconds) -> bool:
    """Tell whether an acceptor must not grant a request any more.

    Parameters
    ----------
    asked_at
        When the submission came in, by the clock of its entry instance.
    """
    return now >= claim.claimed_at + window or now > asked_at + ASKING_LIMIT
