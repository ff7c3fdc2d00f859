"""Base class of the HTTP handlers and the handler of unknown paths."""

from __future__ import annotations

import asyncio
import logging
import math
from asyncio import Future
from typing import Any

import msgspec
from tornado.web import HTTPError, RequestHandler

from boragetide.daemon.repeated_logs import FaultLog
from boragetide.daemon.runtime import Runtime
from boragetide.errors import REASON_INTERRUPTED, LinkError, RequestError
from boragetide.types import Seconds, Status

RETRY_AFTER = 1  # seconds; default of the Retry-After header

_logger = logging.getLogger(__name__)


class Handler(RequestHandler):
    """Base class of HTTP handlers; error responses contain no traceback.

    ``task`` is the task that handles the request, once it is registered as open.
    """

    task: asyncio.Task[Any] | None = None

    def initialize(self, runtime: Runtime) -> None:
        """Store the runtime that the handler reads."""
        self.runtime = runtime

    def prepare(self) -> None:
        """Register the open request; while stopping, disable keep-alive."""
        self.task = asyncio.current_task()
        self.runtime.open_requests.add(self)
        if self.runtime.stopping:
            self.set_header("Connection", "close")

    def finish(self, chunk: Any = None) -> Future[None]:
        """Send the response; the request counts as open until it is written."""
        if isinstance(chunk, str):
            chunk = chunk.encode()
        limits = self.runtime.server_limits
        stream = self.request.connection.stream
        if limits is not None:
            limits.release(self.request.connection)
        try:
            written = super().finish(chunk)
        except BaseException:
            self.runtime.open_requests.discard(self)
            raise
        if limits is not None and not written.done():
            size = len(chunk) if isinstance(chunk, bytes) else 0
            limits.add_answer(stream, size)
            written.add_done_callback(lambda _: limits.remove_answer(stream))
        written.add_done_callback(self._close_request)
        return written

    def interrupt(self) -> None:
        """Cancel the handling of the request, so that its caller is answered now."""
        if self.task is not None:
            self.task.cancel()

    def describe_interruption(self) -> RequestError:
        """Return the error that answers the caller of an interrupted request."""
        return RequestError(Status.UNKNOWN, 504, REASON_INTERRUPTED)

    def _is_interrupted(self, error: Any) -> bool:
        """Return whether this task, or one that it waits for, was cancelled."""
        if isinstance(error, asyncio.CancelledError):
            return True
        return error is None and self.task is not None and self.task.cancelling() > 0

    def _close_request(self, written: Future[None]) -> None:
        self.runtime.open_requests.discard(self)

    def take_body(self) -> bytes:
        """Return the body, and keep no reference, so that parsing can release it."""
        body, self.request.body = self.request.body, b""
        return body

    def respond(self, status: int, body: Any, retry_after: Seconds = 0.0) -> None:
        """Send a JSON response.

        Parameters
        ----------
        status
            HTTP status code.
        body
            Object to encode as JSON.
        retry_after
            Seconds for the ``Retry-After`` header of a 503 response, rounded up; if
            zero, the header is `RETRY_AFTER`.
        """
        self.set_status(status)
        if status == 503:
            seconds = math.ceil(retry_after) or RETRY_AFTER
            self.set_header("Retry-After", seconds)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def refuse(self, status: int, message: str, retry_after: Seconds = 0.0) -> None:
        """Send an error response which states that no task has run, and why."""
        body = {"status": Status.NOT_RUN, "error": message}
        self.respond(status, body, retry_after)

    def respond_error(self, error: RequestError) -> None:
        """Send the response to a request that ended with an error."""
        body = {"status": error.status, "error": str(error)}
        self.respond(error.http_status, body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error response without a traceback."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if self._is_interrupted(error):
            # tornado answers a request with 500 when its task is cancelled.
            self.set_header("Connection", "close")
            self.respond_error(self.describe_interruption())
        elif isinstance(error, RequestError):
            self.respond_error(error)
        elif isinstance(error, LinkError):
            self.respond(503, {"status": Status.UNKNOWN, "error": str(error)})
        elif status_code == 404:
            self.refuse(404, f"path {self.request.path!r} does not exist")
        elif status_code == 405:
            self.set_header("Allow", ", ".join(self._list_methods()))
            method, path = self.request.method, self.request.path
            self.refuse(405, f"method {method} is not allowed on {path!r}")
        elif 400 <= status_code < 500:
            self.refuse(status_code, _describe(error) or self._reason)
        else:
            self.respond(status_code, {"status": "unknown", "error": self._reason})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected exceptions; other errors are only reported to the caller."""
        expected = HTTPError | LinkError | RequestError | asyncio.CancelledError
        if not isinstance(value, expected):
            request_line = f"{self.request.method} {self.request.path}"
            _logger.error("exception in %s", request_line, exc_info=(typ, value, tb))

    def _list_methods(self) -> list[str]:
        return [
            name
            for name in self.SUPPORTED_METHODS
            if getattr(type(self), name.lower())
            is not getattr(RequestHandler, name.lower())
        ]


class EntryHandler(Handler):
    """Base class of the handlers of what backend servers say about themselves."""

    def initialize(self, runtime: Runtime, faults: FaultLog) -> None:
        """Store the runtime and the log of refused entries."""
        super().initialize(runtime)
        self.faults = faults

    def refuse_entry(self, sender: str, reason: str) -> None:
        """Respond with 400, and log the reason once for each sender."""
        self.faults.record("entry_refused", sender, reason)
        self.refuse(400, reason)


class NotFoundHandler(Handler):
    """Responds with 404 to every path that matches no route."""

    def prepare(self) -> None:
        """Raise a 404 error for every method."""
        raise HTTPError(404)


def _describe(error: Any) -> str:
    if not isinstance(error, HTTPError) or not error.log_message:
        return ""
    return error.log_message % error.args if error.args else error.log_message
