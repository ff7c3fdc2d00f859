"""The chain of filters that every submission passes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import reduce
from typing import TypeAlias

from boragetide.daemon.runtime import Runtime
from boragetide.messages import ClaimReply, PlacerChosen
from boragetide.types import Answer, Claim, InstanceId, Seconds, Submission


@dataclass(slots=True)
class Exchange:
    """One submission on its way through the chain; filters fill it in.

    Parameters
    ----------
    runtime
        Gives access to the controllers.
    submission
        What the border has validated.
    received_at
        Unix time in seconds.
    claim
        The claim that names the owner.
    replies_by_acceptor
        Grants that the owner completes with its own; ``None`` once a quorum holds the
        claim.
    live
        Incarnations of the instances that count as live, by id.
    http_status
        Status code of the response, set with the answer.
    class_label
        Class in metrics; empty until the class is known to exist, so that callers
        cannot make up labels.
    """

    runtime: Runtime
    submission: Submission
    received_at: Seconds
    placer: PlacerChosen | None = None
    claim: Claim | None = None
    replies_by_acceptor: dict[InstanceId, ClaimReply] | None = None
    live: dict[InstanceId, int] = field(default_factory=dict)
    http_status: int = 200
    class_label: str = ""


Next: TypeAlias = Callable[[Exchange], Awaitable[Answer]]
Filter: TypeAlias = Callable[[Exchange, Next], Awaitable[Answer]]


def build_chain(*filters: Filter) -> Next:
    """Compose filters; the first one is the outermost."""

    async def end(exchange: Exchange) -> Answer:
        raise RuntimeError("no filter produced an answer")

    return reduce(_wrap, reversed(filters), end)


def _wrap(call_next: Next, filter_: Filter) -> Next:
    async def call(exchange: Exchange) -> Answer:
        return await filter_(exchange, call_next)

    return call
