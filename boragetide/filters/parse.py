"""Validates the request body and turns it into a submission."""

from __future__ import annotations

from pydantic import ValidationError

from boragetide.api.models import to_submission
from boragetide.errors import RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.types import Answer, Status


async def parse(exchange: Exchange, call_next: Next) -> Answer:
    """Refuse a body that does not fit its model, naming the field."""
    try:
        model = exchange.kind.model_validate_json(exchange.body)
    except ValidationError as error:
        fault = error.errors(include_url=False)[0]
        name = ".".join(str(part) for part in fault["loc"]) or "body"
        message = f"{name}: {fault['msg']}"
        raise RequestError(Status.NOT_RUN, 400, message) from error
    exchange.submission = to_submission(model)
    limit = exchange.runtime.settings.limits.tasks_per_job
    if len(exchange.submission.tasks) > limit:
        count = len(exchange.submission.tasks)
        message = f"tasks: {count} tasks, at most {limit} are allowed"
        raise RequestError(Status.NOT_RUN, 413, message)
    return await call_next(exchange)
