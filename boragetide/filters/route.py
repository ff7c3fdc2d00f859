"""Filter that chooses the placer that will own a new job."""

from __future__ import annotations

from boragetide.daemon.logs import log_event
from boragetide.errors import RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.messages import ChoosePlacer
from boragetide.types import Answer, Status


async def route(exchange: Exchange, call_next: Next) -> Answer:
    """Ask the ``instances`` controller for the placer and log the choice."""
    runtime = exchange.runtime
    exchange.placer = await runtime.ask(
        runtime.local("instances"),
        ChoosePlacer(runtime.settings.zone),
        runtime.settings.timing.request_timeout,
    )
    if exchange.placer.placer is None:
        raise RequestError(Status.UNKNOWN, 503, exchange.placer.reason)
    log_event(
        "routing",
        job=exchange.submission.id,
        placer=exchange.placer.placer,
        candidates=exchange.placer.candidates,
        reason=exchange.placer.reason,
    )
    return await call_next(exchange)
