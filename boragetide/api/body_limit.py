"""HTTP servers and request bodies under the limits that a process shares."""

from __future__ import annotations

import time
from asyncio import Future
from collections.abc import Awaitable
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from boragetide.api.base import RETRY_AFTER
from boragetide.api.server_limits import Client, ServerLimits
from boragetide.policy import body_budget, connection_limit
from boragetide.types import Seconds, Status

# A client that is still sending when the connection closes may not receive the
# response. A body of up to this many times the limit is therefore read and discarded
# before the response is sent.
DISCARD_FACTOR = 8
MAX_DIGITS = 18  # parsed digits of Content-Length; longer values exceed any limit
# Bodies of requests that need none, to servers for readiness checks and metrics.
NO_BODY_BYTES = 64 * 1024
# A host and a path have up to 2,000 characters each.
MAX_HEADER_BYTES = 16 * 1024
# Bytes read at a time. A connection with unfinished headers buffers up to this many
# more than `MAX_HEADER_BYTES`.
READ_BYTES = 16 * 1024
# Must exceed what tornado reads ahead of a request; bodies are not collected there.
MAX_STREAM_BUFFER = 128 * 1024
_MESSAGES_BY_REASON = {
    "budget": "too many request bodies wait at this instance",
    "connections": "too many connections are open at this instance",
    "timeout": "the request body did not arrive in time",
}


class LimitedServer(HTTPServer):
    """HTTP server whose bodies and connections count against `ServerLimits`."""

    def initialize(
        self,
        inner: HTTPServerConnectionDelegate,
        *,
        name: str,
        limits: ServerLimits,
        body_bytes: int,
        essential: bool = False,
    ) -> None:
        """Store the limits; tornado calls this instead of ``__init__``.

        Parameters
        ----------
        inner
            Application.
        name
            Name of the server in logs.
        limits
            Limits of the process.
        body_bytes
            Size of the largest body that is accepted, in bytes.
        essential
            Whether the server may use the connections that are reserved for readiness
            checks and metrics.
        """
        self._essential = essential
        self._name = name
        self._limits = limits
        limited = BodyLimit(inner, body_bytes, limits)
        super().initialize(
            limited,
            max_body_size=limited.max_read_bytes,
            max_buffer_size=MAX_STREAM_BUFFER,
            max_header_size=MAX_HEADER_BYTES,
            chunk_size=READ_BYTES,
        )
        # Time limits are checked for all connections together (`close_overdue`).
        # Each of tornado's own costs 17 microseconds per request.
        self.conn_params.header_timeout = None

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, unless there are too many."""
        client = Client(self._name, f"{address[0]}:{address[1]}")
        if self._limits.open_connection(stream, client, self._essential):
            super().handle_stream(stream, address)
        else:
            stream.close()

    def on_close(self, server_conn: Any) -> None:
        """Record that a connection was closed."""
        super().on_close(server_conn)
        self._limits.forget_connection(server_conn.stream)


class BodyLimit(HTTPServerConnectionDelegate):
    """Forwards requests to ``inner`` unless their body is too large.

    Parameters
    ----------
    inner
        Application.
    body_bytes
        Size of the largest body, in bytes.
    limits
        Limits of the process.
    """

    def __init__(
        self,
        inner: HTTPServerConnectionDelegate,
        body_bytes: int,
        limits: ServerLimits,
    ):
        self._inner = inner
        self._body_bytes = body_bytes
        self._limits = limits

    @property
    def max_read_bytes(self) -> int:
        """Size in bytes of the largest body that the server must read."""
        return self._body_bytes * DISCARD_FACTOR

    def start_request(
        self, server_conn: Any, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Create the delegate that limits the body of one request."""
        stream = server_conn.stream
        self._limits.begin_request(stream)
        connection = _ChargedConnection(request_conn, self._limits)
        inner = self._inner.start_request(server_conn, connection)
        return LimitedRequest(inner, connection, stream, self._body_bytes, self._limits)

    def on_close(self, server_conn: object) -> None:
        """Notify the inner delegate that a connection was closed."""
        self._inner.on_close(server_conn)


class _ChargedConnection(HTTPConnection):
    """Connection of one request, whose charge ends when its response is finished.

    Handlers of tornado itself, as for paths without a route, do not end the charge, and
    all of them finish their response here.
    """

    def __init__(self, connection: HTTPConnection, limits: ServerLimits):
        self._connection = connection
        self._limits = limits

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> Future[None]:
        return self._connection.write_headers(start_line, headers, chunk)

    def write(self, chunk: bytes) -> Future[None]:
        return self._connection.write(chunk)

    def finish(self) -> None:
        self._limits.release(self)
        self._connection.finish()


class LimitedRequest(HTTPMessageDelegate):
    """Passes one request on, and charges its body until it is answered."""

    def __init__(
        self,
        inner: HTTPMessageDelegate,
        connection: HTTPConnection,
        stream: IOStream,
        body_bytes: int,
        limits: ServerLimits,
    ):
        self._inner = inner
        self._connection = connection
        self.stream = stream
        self._body_bytes = body_bytes
        self._limits = limits
        self.received = 0
        self._announced = 0
        self._began: Seconds = 0.0
        self._method = ""
        self._discards = False
        self._released = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Refuse a body that is announced as too large, or pass the headers on."""
        self._method = getattr(start_line, "method", "")
        # Otherwise a request whose body follows counts as idle since the last answer.
        self._limits.begin_request(self.stream)
        length = headers.get("Content-Length", "")
        self._announced = int(length[:MAX_DIGITS]) if length.isdecimal() else 0
        if self._announced <= self._body_bytes:
            return self._inner.headers_received(start_line, headers)
        self.received = self._announced
        expects = headers.get("Expect", "").lower() == "100-continue"
        if expects or self._announced > self._body_bytes * DISCARD_FACTOR:
            self._refuse_too_large(unread=True)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Charge a chunk and pass it on, unless the body is refused."""
        if self._released:
            return None
        if self._discards:
            self.received += len(chunk)
        if self._discards or self._is_too_large():
            connection_limit.mark_active(self._limits.connections, self.stream)
            body_budget.discard(self._limits.bodies, self, time.monotonic())
            return None
        self.received += len(chunk)
        if self.received == self._announced:
            # The body is complete and is handed over at once.
            return self._inner.data_received(chunk)
        limits, now = self._limits, time.monotonic()
        if not self._began:
            self._began = now
        connection_limit.mark_active(limits.connections, self.stream)
        if self._is_too_large():
            body_budget.discard(limits.bodies, self, now)
            self._inner.on_connection_close()
            return None
        displaced: Any = body_budget.receive(limits.bodies, self, len(chunk), now)
        limits.discard_all(displaced)
        return None if self._discards else self._inner.data_received(chunk)

    def finish(self) -> None:
        """Pass a whole body on, or answer why it is refused."""
        if self._released:
            return
        connection_limit.mark_active(self._limits.connections, self.stream)
        if self._is_too_large():
            self._refuse_too_large()
            return
        if self._discards:
            self.refuse("budget")
            return
        if self.received and not self._limits.hand_over(self._connection, self):
            self.refuse("budget")
            return
        try:
            self._inner.finish()
        except BaseException:
            # No handler remains that could end the charge.
            self._limits.release(self._connection)
            raise

    def on_connection_close(self) -> None:
        """End the charge of a body that will not be complete."""
        body_budget.release(self._limits.bodies, self)
        if self._released:
            return
        if not self._discards and not self._is_too_large():
            self._inner.on_connection_close()

    def discard(self) -> None:
        """Hold nothing of the body, and refuse it when it ends or is overdue.

        A client that is still sending when the connection closes may not receive the
        response.
        """
        self._discards = True
        self._log_refused("budget")
        now = time.monotonic()
        body_budget.discard(self._limits.bodies, self, now, self._began)
        self._close_inner()

    def _close_inner(self) -> None:
        try:
            self._inner.on_connection_close()
        except Exception as error:
            self._limits.log_failed_answer(self.stream, error)

    def release(self) -> None:
        """Stop charging the body, of which nothing more is passed on."""
        body_budget.release(self._limits.bodies, self)
        self._released = True

    def refuse(self, reason: str) -> None:
        """Release the body, answer that nothing has run, and close the connection.

        The connection is closed once the answer is written, because the rest of the
        body is not read. It is also closed if the answer cannot be written: an error
        must not reach the caller, which acts for all connections.
        """
        self.release()
        if self._discards:
            reason = "budget"
        else:
            self._log_refused(reason)
            if not self._is_too_large():
                self._close_inner()
        message = _MESSAGES_BY_REASON[reason]
        headers = HTTPHeaders({"Connection": "close", "Retry-After": str(RETRY_AFTER)})
        self._respond(503, "Service Unavailable", message, headers)

    def _is_too_large(self) -> bool:
        return self.received > self._body_bytes

    def _refuse_too_large(self, unread: bool = False) -> None:
        self.release()
        self._log_refused("too_large")
        headers = HTTPHeaders({"Connection": "close"} if unread else {})
        message = f"body: larger than {self._body_bytes} bytes"
        self._respond(413, "Content Too Large", message, headers)

    def _log_refused(self, reason: str) -> None:
        self._limits.count_refused(
            reason,
            self.stream,
            received=self.received,
            announced=self._announced,
            age=time.monotonic() - self._began if self._began else 0.0,
        )

    def _respond(
        self, status: int, phrase: str, message: str, headers: HTTPHeaders
    ) -> None:
        body = msgspec.json.encode({"status": Status.NOT_RUN, "error": message})
        headers["Content-Type"] = "application/json"
        headers["Content-Length"] = str(len(body))
        start_line = ResponseStartLine("", status, phrase)
        # tornado raises an error if an answer to `HEAD` has a body.
        chunk = None if self._method == "HEAD" else body
        closes = headers.get("Connection") == "close"
        try:
            written = self._connection.write_headers(start_line, headers, chunk)
            self._connection.finish()
        except Exception as error:
            self._limits.log_failed_answer(self.stream, error)
            self.stream.close()
            return
        if written.done():
            self._end_answer(closes)
            return
        self._limits.add_answer(self.stream, len(body))
        written.add_done_callback(lambda _: self._end_answer(closes))

    def _end_answer(self, closes: bool) -> None:
        """Stop charging an answer that is written, and close the connection if due."""
        self._limits.remove_answer(self.stream)
        # tornado closes the connection by itself only if the body is unfinished.
        if closes:
            self.stream.close()
