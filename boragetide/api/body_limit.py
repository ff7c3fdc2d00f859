"""Limits the request bodies and the connections of all HTTP servers of a process."""

from __future__ import annotations

import asyncio
import resource
import time
from asyncio import Future
from collections import deque
from collections.abc import Awaitable, Iterable
from contextlib import suppress
from dataclasses import dataclass
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
from boragetide.daemon.metrics import Metrics
from boragetide.daemon.repeated_logs import RateLimitedLog
from boragetide.policy import body_budget, connection_limit
from boragetide.policy.body_budget import BodyBudget
from boragetide.policy.connection_limit import ConnectionTable, UnreadAnswers
from boragetide.settings import Limits
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
# File descriptors that remain for files.
RESERVED_DESCRIPTORS = 200
# Part of the other descriptors that connections of clients may use. The rest is for
# links to other instances and for calls to backend servers.
CONNECTIONS_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Peer:
    """Client of a connection, in logs.

    Parameters
    ----------
    server
        Name of the HTTP server.
    address
        IP address and port of the client.
    """

    server: str
    address: str


class ServerLimits:
    """What all HTTP servers of a process share: bytes, connections and answers."""

    def __init__(self, limits: Limits, metrics: Metrics):
        self.settings = limits
        self.metrics = metrics
        self.bodies = BodyBudget(limits.get_held_body_bytes())
        self.connections = ConnectionTable(
            min(limits.connections, _count_usable_descriptors())
        )
        self.answers = UnreadAnswers(limits.get_unread_answer_bytes())
        self._handed_over: dict[HTTPConnection, _LimitedRequest] = {}
        self._peers_by_stream: dict[IOStream, Peer] = {}
        # Callers of `wait_for_room`, in the order of their arrival.
        self._waiters: deque[Future[None]] = deque()
        self._log = RateLimitedLog()

    def set_gauges(self) -> None:
        """Update the gauges of the bytes held and of the connections."""
        metrics = self.metrics
        metrics.set_gauge("held_body_bytes", {}, self.bodies.used)
        metrics.set_gauge("unread_answer_bytes", {}, self.answers.used)
        metrics.set_gauge("open_connections", {}, self.connections.count)

    def open_connection(self, stream: IOStream, peer: Peer, essential: bool) -> bool:
        """Return whether a new connection is kept; another one may be closed for it.

        Parameters
        ----------
        essential
            Whether it may use the connections that are reserved.
        """
        now = time.monotonic()
        if self.connections.is_full(essential) and not self._close_one():
            self._count_closed("limit", peer, 0.0)
            return False
        connection_limit.mark_idle(self.connections, stream, now)
        self._peers_by_stream[stream] = peer
        return True

    def _close_one(self) -> bool:
        """Close the connection that is needed least; return whether there was one."""
        stream: Any = connection_limit.find_longest_idle(self.connections)
        if stream is not None:
            self.close_connection(stream, "limit")
            return True
        request: Any = body_budget.find_stalest(self.bodies)
        if request is not None:
            stream = request.stream
            request.refuse("connections")
            self.close_connection(stream, "limit")
            return True
        stream = next(iter(self.answers.by_connection), None)
        if stream is not None:
            self.close_connection(stream, "unread_answer")
        return stream is not None

    def close_connection(self, stream: IOStream, reason: str) -> None:
        """Close a connection and log why."""
        since = self.connections.idle_since_by_id.get(stream)
        answer = self.answers.by_connection.get(stream)
        if answer is not None:
            since = answer.since
        age = 0.0 if since is None else time.monotonic() - since
        peer = self._peers_by_stream.get(stream)
        if peer is not None:
            self._count_closed(reason, peer, age)
        self.forget_connection(stream)
        stream.close()

    def forget_connection(self, stream: IOStream) -> None:
        """Remove a connection that is closed."""
        self._peers_by_stream.pop(stream, None)
        connection_limit.forget(self.connections, stream)
        self.remove_answer(stream)

    def begin_request(self, stream: IOStream) -> None:
        """Record that a connection waits for a request, or for the body of one."""
        connection_limit.mark_idle(self.connections, stream, time.monotonic())

    def hand_over(self, connection: HTTPConnection, request: _LimitedRequest) -> bool:
        """Return whether a complete body can be handled, and charge it if so.

        It is charged until its handler has responded, also if its client has left.
        """
        accepted, dropped = body_budget.hand_over(
            self.bodies, request, request.received
        )
        if accepted:
            self._handed_over[connection] = request
        self.drop_all(dropped)
        return accepted

    def drop_all(self, requests: Iterable[Any]) -> None:
        """Discard the unfinished bodies that the budget has no room for."""
        for request in requests:
            request.discard()

    def refuse_all(self, requests: Iterable[Any], reason: str) -> None:
        """Refuse requests whose bodies are dropped."""
        requests = list(requests)
        # What one answer causes must find none of the others in use.
        for request in requests:
            request.reject()
        for request in requests:
            request.refuse(reason)

    def end_request(self, connection: HTTPConnection) -> None:
        """Stop charging the body of a request that has been answered."""
        request = self._handed_over.pop(connection, None)
        if request is not None:
            body_budget.release(self.bodies, request)

    def add_answer(self, stream: IOStream, size: int) -> None:
        """Charge an answer that the client has not read, and close others for it."""
        now = time.monotonic()
        overfull = connection_limit.add_answer(self.answers, stream, size, now)
        for other in overfull:
            self.close_connection(other, "unread_answer")

    def remove_answer(self, stream: IOStream) -> None:
        """Stop charging an answer that was read."""
        connection_limit.remove_answer(self.answers, stream)
        self._wake_next()

    async def wait_for_room(self, size: int, timeout: Seconds) -> None:
        """Wait until a large answer fits beside the unread ones, or the time is over.

        Otherwise answers that are written together close the connections of clients
        that read them at full speed. After the time limit the answers that have waited
        for longest are given up, as without a wait.
        """
        loop = asyncio.get_running_loop()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while not connection_limit.has_room(self.answers, size):
                    waiter = loop.create_future()
                    self._waiters.append(waiter)
                    await waiter
        # There may be room for the next one when this answer has been written.
        loop.call_soon(self._wake_next)

    def _wake_next(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def close_overdue(self) -> None:
        """Close the connections of clients that exceed a time limit."""
        now, timeout = time.monotonic(), self.settings.body_timeout
        streams: Any = connection_limit.find_overdue(self.answers, timeout, now)
        for stream in streams:
            self.close_connection(stream, "unread_answer_timeout")
        requests: Any = body_budget.find_overdue(self.bodies, timeout, now)
        self.refuse_all(requests, "timeout")
        streams = connection_limit.find_idle_for_too_long(
            self.connections, self.settings.idle_timeout, now
        )
        for stream in streams:
            self.close_connection(stream, "idle")

    def count_refused(self, reason: str, stream: IOStream, **fields: Any) -> None:
        """Count and log a body that is refused."""
        self.metrics.count("bodies_refused", {"reason": reason})
        peer = self._peers_by_stream.get(stream)
        self._log.record(
            "body_refused",
            server="" if peer is None else peer.server,
            peer="" if peer is None else peer.address,
            reason=reason,
            budget_left=self.bodies.limit - self.bodies.used,
            **fields,
        )

    def log_failed_answer(self, stream: IOStream, error: Exception) -> None:
        """Log that the answer to a refused request could not be sent."""
        peer = self._peers_by_stream.get(stream)
        self._log.record(
            "refusal_failed",
            server="" if peer is None else peer.server,
            peer="" if peer is None else peer.address,
            error=repr(error),
        )

    def _count_closed(self, reason: str, peer: Peer, age: Seconds) -> None:
        self.metrics.count("connections_closed", {"reason": reason})
        self._log.record(
            "connection_closed",
            server=peer.server,
            peer=peer.address,
            reason=reason,
            age=age,
            connections=self.connections.count,
            limit=self.connections.limit,
            budget_left=self.bodies.limit - self.bodies.used,
        )


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
        peer = Peer(self._name, f"{address[0]}:{address[1]}")
        if self._limits.open_connection(stream, peer, self._essential):
            super().handle_stream(stream, address)
        else:
            stream.close()

    def on_close(self, server_conn: Any) -> None:
        """Record that a connection was closed."""
        super().on_close(server_conn)
        self._limits.forget_connection(server_conn.stream)


class BodyLimit(HTTPServerConnectionDelegate):
    """Forwards requests to ``inner`` unless their body exceeds a limit.

    Parameters
    ----------
    inner
        Application.
    limit
        Size of the largest body, in bytes.
    limits
        Limits of the process.
    """

    def __init__(
        self,
        inner: HTTPServerConnectionDelegate,
        limit: int,
        limits: ServerLimits,
    ):
        self._inner = inner
        self._limit = limit
        self._limits = limits

    @property
    def max_read_bytes(self) -> int:
        """Size in bytes of the largest body that the server must read."""
        return self._limit * DISCARD_FACTOR

    def start_request(
        self, server_conn: Any, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Create the delegate that limits the body of one request."""
        stream = server_conn.stream
        self._limits.begin_request(stream)
        connection = _ChargedConnection(request_conn, self._limits)
        inner = self._inner.start_request(server_conn, connection)
        return _LimitedRequest(inner, connection, stream, self._limit, self._limits)

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
        self._limits.end_request(self)
        self._connection.finish()


class _LimitedRequest(HTTPMessageDelegate):
    """Passes one request on, and charges its body until it is answered."""

    def __init__(
        self,
        inner: HTTPMessageDelegate,
        connection: HTTPConnection,
        stream: IOStream,
        limit: int,
        limits: ServerLimits,
    ):
        self._inner = inner
        self._connection = connection
        self.stream = stream
        self._limit = limit
        self._limits = limits
        self.received = 0
        self._announced = 0
        self._began: Seconds = 0.0
        self._method = ""
        self._discards = False
        self._rejected = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._method = getattr(start_line, "method", "")
        # Otherwise a request whose body follows counts as idle since the last answer.
        self._limits.begin_request(self.stream)
        length = headers.get("Content-Length", "")
        self._announced = int(length[:MAX_DIGITS]) if length.isdecimal() else 0
        if self._announced <= self._limit:
            return self._inner.headers_received(start_line, headers)
        self.received = self._announced
        expects = headers.get("Expect", "").lower() == "100-continue"
        if expects or self._announced > self._limit * DISCARD_FACTOR:
            self._reject_too_large(unread=True)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._rejected:
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
        dropped: Any = body_budget.receive(limits.bodies, self, len(chunk), now)
        limits.drop_all(dropped)
        return None if self._discards else self._inner.data_received(chunk)

    def finish(self) -> None:
        if self._rejected:
            return
        connection_limit.mark_active(self._limits.connections, self.stream)
        if self._is_too_large():
            self._reject_too_large()
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
            self._limits.end_request(self._connection)
            raise

    def on_connection_close(self) -> None:
        body_budget.drop(self._limits.bodies, self)
        if self._rejected:
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
        self._end_inner()

    def _end_inner(self) -> None:
        try:
            self._inner.on_connection_close()
        except Exception as error:
            self._limits.log_failed_answer(self.stream, error)

    def reject(self) -> None:
        """Drop the body, of which nothing more is passed on."""
        body_budget.drop(self._limits.bodies, self)
        self._rejected = True

    def refuse(self, reason: str) -> None:
        """Drop the body, answer that nothing has run, and close the connection.

        The connection is closed once the answer is written, because the rest of the
        body is not read. It is also closed if the answer cannot be written: an error
        must not reach the caller, which acts for all connections.
        """
        self.reject()
        if self._discards:
            reason = "budget"
        else:
            self._log_refused(reason)
            if not self._is_too_large():
                self._end_inner()
        message = _MESSAGES_BY_REASON[reason]
        headers = HTTPHeaders({"Connection": "close", "Retry-After": str(RETRY_AFTER)})
        self._respond(503, "Service Unavailable", message, headers)

    def _is_too_large(self) -> bool:
        return self.received > self._limit

    def _reject_too_large(self, unread: bool = False) -> None:
        self.reject()
        self._log_refused("too_large")
        headers = HTTPHeaders({"Connection": "close"} if unread else {})
        message = f"body: larger than {self._limit} bytes"
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


def _count_usable_descriptors() -> int:
    """Return how many connections the limit on open files of the process allows."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = 1 << 20
    return max(int((soft - RESERVED_DESCRIPTORS) * CONNECTIONS_SHARE), 1)


def get_server_limits(runtime: Any) -> ServerLimits:
    """Return the limits that all HTTP servers of a process share."""
    if runtime.server_limits is None:
        runtime.server_limits = ServerLimits(runtime.settings.limits, runtime.metrics)
    return runtime.server_limits
