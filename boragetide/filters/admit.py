"""Filter that refuses submissions which this instance must not accept."""

from __future__ import annotations

from boragetide.errors import RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.filters.lookup import ask_owner
from boragetide.messages import FetchConfiguration, LookUpJob
from boragetide.types import Answer, Status


async def admit(exchange: Exchange, call_next: Next) -> Answer:
    """Refuse jobs with too many tasks or an unknown class; while stopping, all jobs."""
    runtime = exchange.runtime
    count, limit = len(exchange.submission.tasks), runtime.settings.limits.tasks_per_job
    if count > limit:
        message = f"tasks: {count} tasks, at most {limit} are allowed"
        raise RequestError(Status.NOT_RUN, 413, message)
    if runtime.stopping:
        await _refuse_while_stopping(exchange)
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


async def _refuse_while_stopping(exchange: Exchange) -> None:
    """Refuse a submission, as ``NOT_RUN`` only if its id is certainly not claimed.

    Otherwise the status is ``UNKNOWN``: the job may have run on another instance after
    an earlier submission.
    """
    job_id = exchange.submission.id
    state = await ask_owner(exchange.runtime, job_id, LookUpJob(id=job_id))
    status = Status.NOT_RUN if state is None else Status.UNKNOWN
    raise RequestError(status, 503, "this instance is stopping")
