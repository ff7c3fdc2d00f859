"""Refuses what this instance must not take."""

from __future__ import annotations

from boragetide.errors import RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.messages import FetchConfiguration
from boragetide.types import Answer, Status


async def admit(exchange: Exchange, call_next: Next) -> Answer:
    """Refuse unknown classes, and everything while this instance stops."""
    runtime = exchange.runtime
    if runtime.stopping:
        raise RequestError(Status.NOT_RUN, 503, "this instance is stopping")
    changed = await runtime.ask(
        runtime.local("configuration"),
        FetchConfiguration(),
        runtime.settings.timing.request_timeout,
    )
    class_name = exchange.submission.class_name
    if class_name not in changed.configuration.classes_by_name:
        message = f"class: unknown class {class_name!r}"
        raise RequestError(Status.NOT_RUN, 404, message)
    exchange.class_label = class_name
    return await call_next(exchange)
