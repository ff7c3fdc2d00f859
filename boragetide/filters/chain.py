"""The chain of filters that every submission passes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import reduce
from typing import TypeAlias

from boragetide.api.models import SubmissionBody
from boragetide.daemon.runtime import Runtime
from boragetide.messages import PlacerChosen
from boragetide.types import Answer, Claim, Seconds, Submission


@dataclass(slots=True)
class Exchange:
    """One submission on its way through the chain; filters fill it in.

    Parameters
    ----------
    runtime
        Gives access to the controllers.
    kind
        Border model that the body must satisfy.
    body
        Request body as received.
    received_at
        Unix time in seconds.
    http_status
        Status code of the response, set with the answer.
    class_label
        Class in metrics; empty until the class is known to exist, so that callers
        cannot make up labels.
    """

    runtime: Runtime
    kind: type[SubmissionBody]
    body: bytes
    received_at: Seconds
    submission: Submission | None = None
    placer: PlacerChosen | None = None
    claim: Claim | None = None
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
