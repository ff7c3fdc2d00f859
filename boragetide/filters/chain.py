"""The chain of filters that every submission passes through."""

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
    """State of one submission as it passes through the chain; filters set the fields.

    Parameters
    ----------
    runtime
        Gives access to the controllers.
    submission
        The submission, already validated by the front end.
    received_at
        Unix time in seconds.
    placer
        The placer that will own a new job.
    claim
        The claim that names the owner.
    replies_by_acceptor
        Grants to which the owner adds its own to complete the quorum; ``None`` once a
        quorum holds the claim.
    live
        Incarnations of the instances considered live, by id.
    http_status
        HTTP status code of the response, set together with the answer.
    caller_left
        Whether the caller has closed the connection.
    class_label
        Class name for metrics; empty until the class is known to exist, so that callers
        cannot create arbitrary labels.
    """

    runtime: Runtime
    submission: Submission
    received_at: Seconds
    placer: PlacerChosen | None = None
    claim: Claim | None = None
    replies_by_acceptor: dict[InstanceId, ClaimReply] | None = None
    live: dict[InstanceId, int] = field(default_factory=dict)
    http_status: int = 200
    caller_left: bool = False
    class_label: str = ""


Next: TypeAlias = Callable[[Exchange], Awaitable[Answer]]
Filter: TypeAlias = Callable[[Exchange, Next], Awaitable[Answer]]


def build_chain(*filters: Filter) -> Next:
    """Compose filters into a chain; the first one is the outermost."""

    async def end(exchange: Exchange) -> Answer:
        raise RuntimeError("no filter produced an answer")

    return reduce(_wrap, reversed(filters), end)


def _wrap(call_next: Next, filter_: Filter) -> Next:
    async def call(exchange: Exchange) -> Answer:
        return await filter_(exchange, call_next)

    return call
