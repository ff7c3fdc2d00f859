"""HTTP client of the backend servers: batched dispatch and cancellation of tasks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec
import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from boragetide.daemon.logs import log_event
from boragetide.effects import CancelTasks, StartTasks
from boragetide.json_values import find_unsupported_value, may_have_unsupported_value
from boragetide.limits import MAX_DURATION
from boragetide.links.task_client import TaskClient
from boragetide.messages import TaskReport
from boragetide.types import Seconds, TaskOutcome, TaskStatus

CONNECT_TIMEOUT = 1.0  # seconds
CANCEL_TIMEOUT = 2.0  # seconds
MAX_CONNECTIONS = 1024
RESULT_MARGIN = 2.0  # seconds beyond the task's timeout for its result to arrive

_HTTP_REFUSED = frozenset({409, 503})
# curl error codes: proxy not resolved, host not resolved, connection failed.
_CURL_CONNECT_ERRORS = frozenset({5, 6, 7})


class _ResultLine(msgspec.Struct):
    id: str
    status: str
    result: Any = None
    error: str | None = None
    seconds: Seconds | None = None


_LINE_DECODER = msgspec.json.Decoder(_ResultLine)
_STATUSES_BY_NAME = {
    "done": TaskStatus.DONE,
    "failed": TaskStatus.FAILED,
    "not_run": TaskStatus.NOT_RUN,
    "cancelled": TaskStatus.CANCELLED,
}


def make_client() -> AsyncHTTPClient:
    """Make the curl client that all task calls to backend servers share."""
    AsyncHTTPClient.configure(TaskClient, max_clients=MAX_CONNECTIONS)
    return AsyncHTTPClient()


async def dispatch(
    client: AsyncHTTPClient, start: StartTasks, report: Callable[[TaskReport], None]
) -> None:
    """Start a batch of tasks and report the end of each exactly once.

    Parameters
    ----------
    client
        HTTP client.
    start
        The batch, its backend server and the lease.
    report
        Called once per task. A task is reported as ``NOT_RUN`` only if that is certain,
        and as ``UNKNOWN`` if the connection ended before its result.
    """
    unreported = {task.id for task in start.tasks}
    parser = LineParser(start, unreported, report)
    timeout = max(task.timeout for task in start.tasks) + RESULT_MARGIN
    request = HTTPRequest(
        f"{start.address}/v1/tasks",
        method="POST",
        headers={"Content-Type": "application/json"},
        body=msgspec.json.encode(
            {"lease": start.lease, "tasks": [_encode_task(t) for t in start.tasks]}
        ),
        connect_timeout=CONNECT_TIMEOUT,
        request_timeout=timeout,
        streaming_callback=parser.feed,
        follow_redirects=False,
    )
    status, error = TaskStatus.UNKNOWN, "response ended without a result"
    try:
        await client.fetch(request)
    except HTTPClientError as failure:
        status, error = _classify_failure(failure)
    except (TimeoutError, OSError) as failure:
        error = str(failure)
    finally:
        # Runs after unexpected errors as well: a task that is not reported never ends.
        parser.close()
        for task_id in sorted(unreported):
            outcome = TaskOutcome(status, error=error)
            report(TaskReport(start.server, start.lease, task_id, outcome))


def _encode_task(task: Any) -> dict[str, Any]:
    return {
        "id": task.id,
        "job": task.job_id,
        "class": task.class_name,
        "payload": task.payload,
        "timeout": task.timeout,
    }


def _classify_failure(failure: HTTPClientError) -> tuple[TaskStatus, str]:
    """Return the status and error text of the tasks of a failed dispatch.

    The status is ``NOT_RUN`` only if the dispatch certainly did not start any task.
    """
    if failure.code in _HTTP_REFUSED:
        return TaskStatus.NOT_RUN, f"refused with HTTP status {failure.code}"
    if getattr(failure, "errno", None) in _CURL_CONNECT_ERRORS:
        return TaskStatus.NOT_RUN, "cannot connect to the backend server"
    if getattr(failure, "errno", None) == pycurl.E_SEND_FAIL_REWIND:
        return TaskStatus.UNKNOWN, "the connection ended without a response"
    return TaskStatus.UNKNOWN, str(failure)


class LineParser:
    """Parses a streamed response line by line and reports each task once."""

    def __init__(
        self,
        start: StartTasks,
        unreported: set[str],
        report: Callable[[TaskReport], None],
    ):
        self._start = start
        self._unreported = unreported
        self._report = report
        self._buffer = b""

    def feed(self, chunk: bytes) -> None:
        """Parse the next chunk of the response."""
        *lines, self._buffer = (self._buffer + chunk).split(b"\n")
        for line in lines:
            self._parse_line(line)

    def close(self) -> None:
        """Parse the remaining bytes as the last line."""
        self._parse_line(self._buffer)
        self._buffer = b""

    def _parse_line(self, line: bytes) -> None:
        try:
            entry = _LINE_DECODER.decode(line)
        except (msgspec.DecodeError, RecursionError):
            return
        status = _STATUSES_BY_NAME.get(entry.status)
        if entry.id not in self._unreported or status is None:
            return
        self._unreported.discard(entry.id)
        outcome = TaskOutcome(status, entry.result, entry.error)
        reason = (
            find_unsupported_value(entry.result)
            if may_have_unsupported_value(line)
            else None
        )
        if reason is not None:
            outcome = TaskOutcome(TaskStatus.FAILED, error=f"result: {reason}")
        seconds = entry.seconds if _is_run_time(entry.seconds) else None
        self._report(
            TaskReport(
                self._start.server, self._start.lease, entry.id, outcome, seconds
            )
        )


def _is_run_time(seconds: Seconds | None) -> bool:
    """Return whether a backend server's run time can be one, to be learned from."""
    return seconds is not None and 0.0 <= seconds <= MAX_DURATION


async def cancel(client: AsyncHTTPClient, request: CancelTasks) -> None:
    """Ask a backend server to stop tasks, one after another.

    HTTP error responses are ignored. A request that gets no response is logged, and the
    remaining tasks are cancelled as well.
    """
    for task_id in request.task_ids:
        call = HTTPRequest(
            f"{request.address}/v1/tasks/{quote(task_id, safe='')}",
            method="DELETE",
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=CANCEL_TIMEOUT,
        )
        try:
            await client.fetch(call, raise_error=False)
        except (HTTPClientError, OSError) as error:
            log_event(
                "cancel_unanswered",
                server=request.server,
                task=task_id,
                error=str(error),
            )
