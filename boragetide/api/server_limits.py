"""Limits on what clients hold of a process, shared by all of its HTTP servers."""

from __future__ import annotations

import asyncio
import resource
import time
from asyncio import Future
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from tornado.httputil import HTTPConnection
from tornado.iostream import IOStream

from boragetide.daemon.metrics import Metrics
from boragetide.daemon.repeated_logs import RateLimitedLog
from boragetide.policy import body_budget, connection_limit
from boragetide.policy.body_budget import BodyBudget
from boragetide.policy.connection_limit import (
    ConnectionTable,
    UnreadAnswers,
    compute_connection_limit,
)
from boragetide.settings import Limits
from boragetide.types import Seconds

if TYPE_CHECKING:
    from boragetide.api.body_limit import LimitedRequest

# Open files that are assumed for a process without a limit.
UNLIMITED_FILES = 1 << 20


@dataclass(frozen=True, slots=True)
class Client:
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
            min(limits.connections, compute_connection_limit(_read_max_files()))
        )
        self.answers = UnreadAnswers(limits.get_unread_answer_bytes())
        self._handed_over: dict[HTTPConnection, LimitedRequest] = {}
        self._clients_by_stream: dict[IOStream, Client] = {}
        # Callers of `wait_for_room`, in the order of their arrival.
        self._waiters: deque[Future[None]] = deque()
        self._log = RateLimitedLog()

    def set_gauges(self) -> None:
        """Update the gauges of the bytes held and of the connections."""
        metrics = self.metrics
        metrics.set_gauge("held_body_bytes", {}, self.bodies.used)
        metrics.set_gauge("unread_answer_bytes", {}, self.answers.used)
        metrics.set_gauge("open_connections", {}, self.connections.count)

    def open_connection(
        self, stream: IOStream, client: Client, essential: bool
    ) -> bool:
        """Return whether a new connection is kept; another one may be closed for it.

        Parameters
        ----------
        essential
            Whether it may use the connections that are reserved.
        """
        now = time.monotonic()
        if self.connections.is_full(essential) and not self._close_one():
            self._count_closed("limit", client, 0.0)
            return False
        connection_limit.mark_idle(self.connections, stream, now)
        self._clients_by_stream[stream] = client
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
        client = self._clients_by_stream.get(stream)
        if client is not None:
            self._count_closed(reason, client, age)
        self.forget_connection(stream)
        stream.close()

    def forget_connection(self, stream: IOStream) -> None:
        """Remove a connection that is closed."""
        self._clients_by_stream.pop(stream, None)
        connection_limit.forget(self.connections, stream)
        self.remove_answer(stream)

    def begin_request(self, stream: IOStream) -> None:
        """Record that a connection waits for a request, or for the body of one."""
        connection_limit.mark_idle(self.connections, stream, time.monotonic())

    def hand_over(self, connection: HTTPConnection, request: LimitedRequest) -> bool:
        """Return whether a complete body can be handled, and charge it if so.

        It is charged until its handler has responded, also if its client has left.
        """
        accepted, displaced = body_budget.hand_over(
            self.bodies, request, request.received
        )
        if accepted:
            self._handed_over[connection] = request
        self.discard_all(displaced)
        return accepted

    def discard_all(self, requests: Iterable[Any]) -> None:
        """Discard the unfinished bodies that the budget has no room for."""
        for request in requests:
            request.discard()

    def refuse_all(self, requests: Iterable[Any], reason: str) -> None:
        """Refuse requests whose bodies are unfinished."""
        requests = list(requests)
        # Refusing one request can close connections, so that no other one may still be
        # charged.
        for request in requests:
            request.release()
        for request in requests:
            request.refuse(reason)

    def release(self, connection: HTTPConnection) -> None:
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
        client = self._clients_by_stream.get(stream)
        self._log.record(
            "body_refused",
            server="" if client is None else client.server,
            peer="" if client is None else client.address,
            reason=reason,
            budget_left=self.bodies.limit - self.bodies.used,
            **fields,
        )

    def log_failed_answer(self, stream: IOStream, error: Exception) -> None:
        """Log that the answer to a refused request could not be sent."""
        client = self._clients_by_stream.get(stream)
        self._log.record(
            "refusal_failed",
            server="" if client is None else client.server,
            peer="" if client is None else client.address,
            error=repr(error),
        )

    def _count_closed(self, reason: str, client: Client, age: Seconds) -> None:
        self.metrics.count("connections_closed", {"reason": reason})
        self._log.record(
            "connection_closed",
            server=client.server,
            peer=client.address,
            reason=reason,
            age=age,
            connections=self.connections.count,
            limit=self.connections.limit,
            budget_left=self.bodies.limit - self.bodies.used,
        )


def _read_max_files() -> int:
    """Return how many files the process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_FILES if soft == resource.RLIM_INFINITY else soft


def get_server_limits(runtime: Any) -> ServerLimits:
    """Return the limits that all HTTP servers of a process share."""
    if runtime.server_limits is None:
        runtime.server_limits = ServerLimits(runtime.settings.limits, runtime.metrics)
    return runtime.server_limits
