"""Outermost filter: converts errors to answers and records the response time."""

from __future__ import annotations

from boragetide.daemon.clock import read_clock
from boragetide.errors import LinkError, RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.types import Answer, Status

HTTP_STATUS_BY_STATUS = {
    Status.COMPLETE: 200,
    Status.FAILED: 200,
    Status.NOT_RUN: 503,
    Status.UNKNOWN: 504,
}


async def answer(exchange: Exchange, call_next: Next) -> Answer:
    """Return the answer; errors raised by the inner filters become error answers."""
    try:
        result = await call_next(exchange)
        exchange.http_status = HTTP_STATUS_BY_STATUS[result.status]
    except RequestError as error:
        result = Answer(exchange.submission.id, error.status, error=str(error))
        exchange.http_status = error.http_status
    except LinkError as error:
        result = Answer(exchange.submission.id, Status.UNKNOWN, error=str(error))
        exchange.http_status = 503
    exchange.runtime.metrics.observe_response(
        exchange.class_label, result.status, read_clock() - exchange.received_at
    )
    return result
