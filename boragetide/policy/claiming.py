"""Decides from the replies of acceptors which claim on a job id is valid."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from boragetide.messages import ClaimReply, ClaimStatus
from boragetide.types import MAX_CLOCK_SKEW, Claim, InstanceId, Seconds

# Longest time from a submission to a grant for it.
GRANT_TIMEOUT: Seconds = 10.0

Replies: TypeAlias = Mapping[InstanceId, ClaimReply | None]


@dataclass(frozen=True, slots=True)
class AskAcceptor:
    """Propose this claim to this acceptor next."""

    acceptor: InstanceId
    claim: Claim


@dataclass(frozen=True, slots=True)
class AskOwner:
    """Submit the job to the owner, whose own grant completes the quorum."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Decided:
    """A quorum holds this claim; ``asked`` is the number of acceptors asked."""

    claim: Claim
    asked: int


@dataclass(frozen=True, slots=True)
class Undecided:
    """No claim can reach a quorum now."""

    reason: str


ClaimStep: TypeAlias = AskAcceptor | AskOwner | Decided | Undecided


def quorum_size(group: tuple[InstanceId, ...]) -> int:
    """Return the size of a majority of a claim group."""
    return len(group) // 2 + 1


def decide_claim(
    proposed: Claim,
    group: tuple[InstanceId, ...],
    replies_by_acceptor: Replies,
    entry: InstanceId | None = None,
    lost: frozenset[InstanceId] = frozenset(),
) -> ClaimStep:
    """Return the next step of claiming a job id.

    Claims that name the same owner in the same incarnation count as one, because the
    owner's job table starts a job only once, whichever of these claims arrives. The
    decided claim is the oldest of them, which is the first one that an acceptor drops.

    Parameters
    ----------
    proposed
        Claim to propose if no acceptor holds one.
    group
        Acceptors of the claim group, the preferred ones first.
    replies_by_acceptor
        Replies so far; ``None`` for an acceptor that did not answer.
    entry
        Instance that asks; its own acceptor costs no message and is asked first.
    lost
        Acceptors that count as lost; they are asked last.
    """
    quorum = quorum_size(group)
    held = _select_most_common_claims(replies_by_acceptor)
    if len(held) >= quorum:
        claim = min(held, key=lambda claim: claim.claimed_at)
        return Decided(claim, len(replies_by_acceptor))
    candidate = held[0] if held else proposed
    ordered = order_acceptors(group, entry, lost, candidate.owner)
    waiting = [name for name in ordered if name not in replies_by_acceptor]
    if len(held) + len(waiting) < quorum:
        return Undecided(f"{len(held)} of {quorum} acceptors hold the same claim")
    owner = candidate.owner
    completes_quorum = len(held) + 1 == quorum and owner != entry
    if completes_quorum and owner in waiting and owner not in lost:
        return AskOwner(candidate)
    return AskAcceptor(waiting[0], candidate)


def order_acceptors(
    group: tuple[InstanceId, ...],
    entry: InstanceId | None = None,
    lost: frozenset[InstanceId] = frozenset(),
    owner: InstanceId | None = None,
) -> tuple[InstanceId, ...]:
    """Return the acceptors of a claim group in the order in which to ask them.

    The asking instance comes first, because asking its own acceptor costs no message.
    The owner comes after the other live instances, because its grant can be combined
    with the submission of the job. Lost instances come last.
    """
    return tuple(
        sorted(group, key=lambda name: (name in lost, name != entry, name == owner))
    )


def _select_most_common_claims(replies_by_acceptor: Replies) -> list[Claim]:
    """Return the claims for the owner that most acceptors name."""
    claims_by_owner: dict[tuple[InstanceId, int], list[Claim]] = {}
    for acceptor, reply in replies_by_acceptor.items():
        if reply is None or reply.claim is None:
            continue
        if not has_restarted_since(acceptor, reply, replies_by_acceptor):
            owner = (reply.claim.owner, reply.claim.owner_incarnation)
            claims_by_owner.setdefault(owner, []).append(reply.claim)
    return max(claims_by_owner.values(), key=len, default=[])


def has_restarted_since(
    acceptor: InstanceId, reply: ClaimReply, replies_by_acceptor: Replies
) -> bool:
    """Return whether an acceptor has restarted since its reply.

    Such a reply no longer counts. Another acceptor may have served the catch-up of the
    restarted one before it granted the claim itself, so that the restarted acceptor
    does not know the claim.
    """
    return any(
        other is not None and other.restarts_by_id.get(acceptor, 0) > reply.incarnation
        for other in replies_by_acceptor.values()
    )


def is_unclaimed(group: tuple[InstanceId, ...], replies_by_acceptor: Replies) -> bool:
    """Return whether a quorum of complete acceptors holds no claim on an id."""
    unclaimed = [
        acceptor
        for acceptor, reply in replies_by_acceptor.items()
        if reply is not None
        and reply.status is ClaimStatus.NOT_HELD
        and not has_restarted_since(acceptor, reply, replies_by_acceptor)
    ]
    return len(unclaimed) >= quorum_size(group)


def claim_lifetime(window: Seconds) -> Seconds:
    """Return for how many seconds after ``claimed_at`` an acceptor holds a claim.

    A resubmission at the end of the resubmission window may reach the acceptor
    `GRANT_TIMEOUT` later, and the clocks of both claimants may differ from the
    acceptor's by `MAX_CLOCK_SKEW` each.

    Parameters
    ----------
    window
        Resubmission window in seconds.
    """
    return window + GRANT_TIMEOUT + 2 * MAX_CLOCK_SKEW


def is_expired(claim: Claim, window: Seconds, now: Seconds) -> bool:
    """Return whether an acceptor may drop a claim.

    By then the owner no longer accepts the claim, because the claim is older than the
    resubmission window.
    """
    return now > claim.claimed_at + claim_lifetime(window)


def is_too_late(claim: Claim, asked_at: Seconds, window: Seconds, now: Seconds) -> bool:
    """Return whether it is too late for an acceptor to grant a request.

    Parameters
    ----------
    asked_at
        Unix time at which the submission arrived, by the clock of the instance that
        received it.
    """
    return now >= claim.claimed_at + window or now > asked_at + GRANT_TIMEOUT
