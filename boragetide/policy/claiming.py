"""Decides, from the replies of acceptors, which claim on a job id holds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from boragetide.messages import ClaimReply
from boragetide.types import Claim, InstanceId


@dataclass(frozen=True, slots=True)
class AskAcceptor:
    """Ask this acceptor next, proposing this claim."""

    acceptor: InstanceId
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


def decide_claim(
    proposed: Claim,
    group: tuple[InstanceId, ...],
    replies_by_acceptor: dict[InstanceId, ClaimReply | None],
) -> AskAcceptor | Decided | Undecided:
    """Decide the next step of claiming a job id.

    Parameters
    ----------
    proposed
        The claim to propose where no acceptor holds one.
    group
        The claim group, the preferred acceptors first.
    replies_by_acceptor
        Replies so far; ``None`` for an acceptor that did not answer.
    """
    quorum = len(group) // 2 + 1
    held = [
        reply.claim
        for reply in replies_by_acceptor.values()
        if reply is not None and reply.claim is not None
    ]
    for claim, count in Counter(held).most_common(1):
        if count >= quorum:
            return Decided(claim, len(replies_by_acceptor))
    waiting = [acceptor for acceptor in group if acceptor not in replies_by_acceptor]
    best = Counter(held).most_common(1)[0][1] if held else 0
    if best + len(waiting) < quorum:
        return Undecided(f"{best} of {quorum} acceptors hold the same claim")
    candidate = Counter(held).most_common(1)[0][0] if held else proposed
    return AskAcceptor(waiting[0], candidate)
