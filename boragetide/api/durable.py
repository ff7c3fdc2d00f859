"""HTTP handlers for durable jobs and for the backend servers that run them."""

from __future__ import annotations

import re
from dataclasses import asdict
from typing import Any

from boragetide.api.base import EntryHandler
from boragetide.api.durable_models import (
    DurableJobBody,
    RunServerBody,
    to_durable_job,
    to_server_report,
)
from boragetide.api.exchange import ExchangeHandler
from boragetide.api.models import find_id_error, parse_body
from boragetide.daemon.clock import read_clock
from boragetide.daemon.runtime import Runtime
from boragetide.durable import DurableJob
from boragetide.errors import LinkError, RequestError
from boragetide.filters.durable import DURABLE_CHAIN
from boragetide.filters.durable_exchange import DurableExchange
from boragetide.limits import MAX_TIMESTAMP_MS
from boragetide.messages import (
    CancelDurableJob,
    DispatcherReply,
    ExplainDurableJob,
    FetchConfiguration,
    FindLeader,
    LookUpDurableJob,
    RemoveServer,
    ReplyStatus,
    ReportServer,
    Request,
    ServerReported,
    SubmitDurableJob,
)
from boragetide.policy.scheduling import expires_at
from boragetide.types import Address, ClassTarget, Seconds

# Longer than a leader election and the takeover by the new leader together.
DECISION_TIMEOUT: Seconds = 10.0
# The caller of a best-effort job waits until the job has ended.
BEST_EFFORT_TIMEOUT: Seconds = 120.0
LOCAL_TIMEOUT: Seconds = 2.0
ANNOUNCE_TIMEOUT: Seconds = 1.0
MAX_BORN_DIGITS = len(str(MAX_TIMESTAMP_MS))


class _DurableHandler(ExchangeHandler):
    """Base class of the handlers of durable jobs."""

    async def ask_dispatcher(
        self,
        name: str,
        message: Request,
        job_id: str,
        class_name: str = "",
        useful_until: Seconds | None = None,
        timeout: Seconds = DECISION_TIMEOUT,
    ) -> DispatcherReply | None:
        """Send a request to the leader and return its reply.

        Parameters
        ----------
        name
            Kind of request, in logs and metrics.
        message
            Request to the dispatcher.
        job_id, class_name
            For logs and metrics.
        useful_until
            Unix time after which a job that was not started is of no use to its caller;
            ``None`` stands for the end of ``timeout``.
        timeout
            Seconds for which the caller waits.

        Returns
        -------
        DispatcherReply or None
            ``None`` if the request failed and the caller got an error response.
        """
        now = read_clock()
        self.exchange = exchange = DurableExchange(
            runtime=self.runtime,
            message=message,
            name=name,
            job_id=job_id,
            class_name=class_name,
            received_at=now,
            deadline=now + timeout,
            useful_until=now + timeout if useful_until is None else useful_until,
        )
        try:
            return await DURABLE_CHAIN(exchange)
        except RequestError as error:
            body = {"id": job_id, "status": error.status, "error": str(error)}
            self.respond(error.http_status, body)
            return None

    async def read_job(self) -> DurableJob | None:
        """Return the job in the body of the request.

        If it is wrong, sends an error response and returns ``None``.
        """
        parsed = parse_body(DurableJobBody, self.take_body())
        if parsed.is_error():
            self.refuse(parsed.error.http_status, parsed.error.message)
            return None
        body = parsed.ok
        limit = self.runtime.settings.limits.tasks_per_job
        count = sum(step.count for step in body.steps)
        if count > limit:
            self.refuse(413, f"steps: {count} tasks are more than {limit}")
            return None
        target = await self._find_target(body.class_name)
        if target is None:
            return None
        return to_durable_job(body, target, read_clock())

    async def _find_target(self, class_name: str) -> ClassTarget | None:
        """Return the target of a durable class.

        If the class does not exist or is not durable, sends an error response and
        returns ``None``.
        """
        reply = await self.runtime.ask(
            self.runtime.local("configuration"), FetchConfiguration(), LOCAL_TIMEOUT
        )
        target = reply.configuration.classes_by_name.get(class_name)
        if target is None:
            self.refuse(404, f"class: class {class_name!r} does not exist")
        elif target.durable is None:
            self.refuse(400, f"class: class {class_name!r} is not durable")
        else:
            return target
        return None


class DurableJobsHandler(_DurableHandler):
    """Accepts durable jobs."""

    async def post(self) -> None:
        """Submit a job.

        Responds when a majority has stored the job, or, for a best-effort job, when the
        job has ended.
        """
        job = await self.read_job()
        if job is None:
            return
        reply = await self.ask_dispatcher(
            "submit",
            SubmitDurableJob(job=job),
            job.id,
            job.class_name,
            expires_at(job) if job.best_effort else None,
            BEST_EFFORT_TIMEOUT if job.best_effort else DECISION_TIMEOUT,
        )
        if reply is None:
            return
        if reply.status is ReplyStatus.REFUSED:
            self.refuse(503, reply.reason, reply.retry_after)
        else:
            self.respond(200, {"id": job.id, "state": reply.state or "accepted"})


class DurableJobHandler(_DurableHandler):
    """Shows or cancels one durable job."""

    async def get(self, job_id: str) -> None:
        """Return the state of a job."""
        await self._respond_with_reply(job_id, "look_up", LookUpDurableJob(id=job_id))

    async def delete(self, job_id: str) -> None:
        """Cancel a job; the response confirms that the cancellation is stored."""
        await self._respond_with_reply(job_id, "cancel", CancelDurableJob(id=job_id))

    async def _respond_with_reply(
        self, job_id: str, name: str, message: Request
    ) -> None:
        id_error = find_id_error(job_id, job=True)
        if id_error is not None:
            self.refuse(400, id_error)
            return
        reply = await self.ask_dispatcher(name, message, job_id)
        if reply is None:
            return
        if reply.status is ReplyStatus.NOT_FOUND:
            self.refuse(404, f"job {job_id!r} does not exist")
        else:
            state = reply.state or "cancelled"
            self.respond(200, {"id": job_id, "state": state})


class DurableExplanationHandler(DurableJobHandler):
    """Explains where a job would be placed; other methods serve the job ``explain``."""

    async def post(self, _: str) -> None:
        """Explain where the job in the body would be placed now; nothing is stored."""
        job = await self.read_job()
        if job is None:
            return
        message = ExplainDurableJob(job=job)
        reply = await self.ask_dispatcher("explain", message, job.id, job.class_name)
        if reply is not None:
            explained = {"id": job.id, "class": job.class_name, "term": reply.term}
            self.respond(200, explained | asdict(reply.explanation))


class RunServerHandler(EntryHandler):
    """Accepts announcements of backend servers that run durable tasks."""

    async def put(self, server_id: str) -> None:
        """Report a backend server to the dispatcher.

        If the backend server is leaving, the response is 200 only after the leader has
        received the report.
        """
        parsed = parse_body(RunServerBody, self.take_body())
        error = find_id_error(server_id) or (
            parsed.error.message if parsed.is_error() else None
        )
        if error is not None:
            self.refuse_entry(server_id, error)
            return
        report = to_server_report(server_id, parsed.ok)
        reported = await report_server(self.runtime, ReportServer(report=report))
        if report.draining and not reported.by_leader:
            self.refuse(503, "the report did not reach the leader")
        else:
            self.respond(200, {})

    async def delete(self, server_id: str) -> None:
        """Report that a backend server has left.

        The query argument ``born`` names the process that ends, as in announcements.
        """
        born = self.get_query_argument("born", "0")
        error = find_id_error(server_id) or _find_born_error(born)
        if error is not None:
            self.refuse_entry(server_id, error)
            return
        await report_server(self.runtime, RemoveServer(id=server_id, born=int(born)))
        self.respond(200, {})


def _find_born_error(text: str) -> str | None:
    is_number = re.fullmatch(rf"[0-9]{{1,{MAX_BORN_DIGITS}}}", text) is not None
    if is_number and int(text) <= MAX_TIMESTAMP_MS:
        return None
    return f"born: {text!r} is not a time in Unix milliseconds"


async def report_server(runtime: Runtime, message: Any) -> ServerReported:
    """Send a message about a backend server to the leader, or else to any member.

    Raises
    ------
    LinkError
        If no member replied.
    """
    found = await runtime.ask(runtime.local("directory"), FindLeader(), LOCAL_TIMEOUT)
    members = [found.leader] if found.leader is not None else []
    own_id = runtime.settings.id
    members += sorted(
        runtime.settings.initial_members, key=lambda member: member != own_id
    )
    failure = LinkError("the settings name no instance with a disk")
    for member in members:
        try:
            to = Address(member, "dispatcher")
            return await runtime.ask(to, message, ANNOUNCE_TIMEOUT)
        except LinkError as error:
            failure = error
    raise failure
