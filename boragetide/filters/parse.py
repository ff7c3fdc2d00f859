"""Validates the request body and turns it into a submission."""

from __future__ import annotations

from boragetide.api.models import parse_body, to_submission
from boragetide.errors import RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.types import Answer, Status


async def parse(exchange: Exchange, call_next: Next) -> Answer:
    """Refuse a body that does not fit its model, naming the field."""
    parsed = parse_body(exchange.kind, exchange.body)
    if parsed.is_error():
        fault = parsed.error
        raise RequestError(Status.NOT_RUN, fault.http_status, fault.message)
    exchange.submission = to_submission(parsed.ok)
    limit = exchange.runtime.settings.limits.tasks_per_job
    if len(exchange.submission.tasks) > limit:
        count = len(exchange.submission.tasks)
        message = f"tasks: {count} tasks, at most {limit} are allowed"
        raise RequestError(Status.NOT_RUN, 413, message)
    return await call_next(exchange)
