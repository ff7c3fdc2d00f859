"""HTTP servers that share the limits of a process, over loopback connections."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from tornado.http1connection import HTTP1Connection
from tornado.web import Application

from boragetide.api.base import Handler
from boragetide.api.body_limit import LimitedServer
from boragetide.api.server_limits import (
    ServerLimits,
    get_server_limits,
)
from boragetide.daemon.metrics import Metrics
from boragetide.policy.body_budget import compute_smallest_limit
from boragetide.settings import Limits
from boragetide.tests.conftest import free_port

BODY = 256 * 1024  # bytes
LIMITS = Limits(body_bytes=BODY, held_body_bytes=4 * BODY, connections=20)
LARGE_ANSWER = 4 * 1024 * 1024  # bytes
USABLE_CONNECTIONS = 18  # without those reserved for the essential server
CHECKS = 2  # number of that server
TIME_LIMIT = 20.0  # seconds; only ends a test that hangs


class EchoHandler(Handler):
    """Responds with the size of the body, once it is allowed to."""

    async def post(self) -> None:
        """Respond once the test allows it."""
        size = len(self.take_body())
        self.runtime.begun.set()
        await self.runtime.allowed.wait()
        self.respond(200, {"size": size})

    def get(self) -> None:
        """Respond with a large answer, of wide characters if asked to."""
        if self.get_query_argument("wide", ""):
            self.finish("\u00e9" * (LARGE_ANSWER // 2))
        else:
            self.finish("x" * LARGE_ANSWER)


class FailingHandler(Handler):
    """Cannot be created."""

    def initialize(self, runtime: Any) -> None:
        """Raise an error."""
        raise RuntimeError("cannot be created")


class Process:
    """HTTP servers that share their limits, one of them essential, and clients."""

    def __init__(self, limits: Limits):
        self.runtime = SimpleNamespace(
            settings=SimpleNamespace(limits=limits),
            metrics=Metrics(),
            server_limits=None,
            open_requests=set(),
            stopping=False,
            begun=asyncio.Event(),
            allowed=asyncio.Event(),
        )
        self.runtime.allowed.set()
        # A stream without a reference closes its connection.
        self.clients: list[Any] = []
        self.ports = []
        self.servers = []
        for name, essential in (("one", False), ("two", False), ("checks", True)):
            shared = {"runtime": self.runtime}
            routes = [(r"/", EchoHandler, shared), (r"/fails", FailingHandler, shared)]
            application = Application(routes)
            server = LimitedServer(
                application,
                name=name,
                limits=self.limits,
                body_bytes=BODY,
                essential=essential,
            )
            port = free_port()
            server.listen(port, "127.0.0.1")
            self.ports.append(port)
            self.servers.append(server)

    @property
    def limits(self) -> ServerLimits:
        """Limits that the servers share."""
        return get_server_limits(self.runtime)

    async def open(self, server: int = 0, window: int = 0) -> Any:
        """Open a connection and return its reader and writer."""
        connection = socket.socket()
        if window:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        connection.setblocking(False)
        address = ("127.0.0.1", self.ports[server])
        await asyncio.get_running_loop().sock_connect(connection, address)
        client = await asyncio.open_connection(sock=connection)
        self.clients.append(client)
        return client

    async def send(self, sent: int, length: int = BODY, server: int = 0) -> Any:
        """Send a part of a body on a new connection."""
        reader, writer = await self.open(server)
        head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
        writer.write(head.encode() + b" " * sent)
        await writer.drain()
        return reader, writer

    def count(self, name: str, **labels: str) -> float:
        """Return a counter."""
        text = self.runtime.metrics.render()[0].decode()
        pairs = ",".join(f'{key}="{value}"' for key, value in labels.items())
        found = f"boragetide_{name}_total{{{pairs}}} "
        lines = [line for line in text.splitlines() if line.startswith(found)]
        return sum(float(line.split()[-1]) for line in lines)


def run(scenario: Callable[[Process], Awaitable[None]], **changes: Any) -> None:
    """Run a scenario with a process, whose limits may differ from `LIMITS`."""

    async def run_scenario() -> None:
        process = Process(replace(LIMITS, **changes))
        try:
            async with asyncio.timeout(TIME_LIMIT):
                await scenario(process)
        finally:
            for _, writer in process.clients:
                writer.close()
            for server in process.servers:
                server.stop()
                await server.close_all_connections()

    asyncio.run(run_scenario())


async def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition is true."""
    while not condition():
        await asyncio.sleep(0.005)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, Any, bytes]:
    """Return the status, the JSON body and the headers of an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await reader.readexactly(length)
    return int(head.split()[1]), json.loads(body), head


def test_stalest_body_of_any_server_is_refused_and_closed() -> None:
    """Guards against a sum of unfinished bodies that exceeds the budget."""

    async def scenario(process: Process) -> None:
        bodies = process.limits.bodies
        held = []
        for number in range(4):
            held.append(await process.send(BODY - 1, server=number % 2))
            expected = (BODY - 1) * min(number + 1, 3)
            await until(lambda expected=expected: bodies.used == expected)
        held[0][1].write(b" ")
        status, answer, head = await read_answer(held[0][0])
        assert (status, answer["status"]) == (503, "not_run")
        assert b"Retry-After: 1" in head
        assert await held[0][0].read() == b""
        assert process.count("bodies_refused", reason="budget") == 1
        # Those that remain can still be completed.
        held[3][1].write(b" ")
        assert (await read_answer(held[3][0]))[1] == {"size": BODY}

    run(scenario)


def test_client_that_sends_its_whole_body_learns_that_it_was_dropped() -> None:
    """Guards against a reset instead of the refusal that says `not_run`."""

    async def scenario(process: Process) -> None:
        bodies = process.limits.bodies
        dropped = await process.send(BODY * 3 // 4)
        await until(lambda: bodies.used == BODY * 3 // 4)
        for number in range(1, 4):
            await process.send(BODY - 1)
            if number < 3:
                used = BODY * 3 // 4 + number * (BODY - 1)
                await until(lambda used=used: bodies.used == used)
        await until(lambda: bodies.used == 3 * (BODY - 1))
        # Sent without reading, as clients do that write a whole request first.
        for _ in range(4):
            dropped[1].write(b" " * (BODY // 16))
            await dropped[1].drain()
            await asyncio.sleep(0.02)
        status, answer, _ = await read_answer(dropped[0])
        assert (status, answer["status"]) == (503, "not_run")
        assert await dropped[0].read() == b""
        assert process.count("bodies_refused", reason="budget") == 1
        assert bodies.used == 3 * (BODY - 1)

    run(scenario)


def test_dropped_body_that_does_not_end_is_refused_when_overdue() -> None:
    """Guards against dropped bodies whose connections are held for ever."""

    async def scenario(process: Process) -> None:
        bodies = process.limits.bodies
        dropped = await process.send(BODY - 1)
        await until(lambda: bodies.used == BODY - 1)
        for _ in range(3):
            await process.send(BODY - 1)
        await until(lambda: bodies.discarded_by_id)
        await asyncio.sleep(0.21)
        process.limits.close_overdue()
        assert (await read_answer(dropped[0]))[0] == 503
        await until(lambda: bodies.used == 0 and not bodies.discarded_by_id)

    run(scenario, body_timeout=0.2)


def test_small_body_is_served_while_large_ones_fill_the_budget() -> None:
    """Guards against ordinary callers that a crowd keeps from being served."""

    async def scenario(process: Process) -> None:
        for _ in range(6):
            await process.send(BODY - 1)
        reader, _ = await process.send(4000, 4000)
        assert (await read_answer(reader))[1] == {"size": 4000}

    run(scenario)


def test_body_that_is_handled_is_charged_until_it_is_answered() -> None:
    """Guards against handled bodies that no limit counts once the client has left."""

    async def scenario(process: Process) -> None:
        process.runtime.allowed.clear()
        _, writer = await process.send(BODY)
        await process.runtime.begun.wait()
        writer.close()
        await until(lambda: process.limits.connections.count == 0)
        assert process.limits.bodies.used == 2 * BODY
        reader, _ = await process.send(BODY)
        assert (await read_answer(reader))[0] == 503
        assert process.limits.bodies.used == 2 * BODY
        process.runtime.allowed.set()
        await until(lambda: process.limits.bodies.used == 0)
        reader, _ = await process.send(BODY)
        assert (await read_answer(reader))[1] == {"size": BODY}

    run(scenario)


def test_body_of_the_largest_size_is_served_with_the_least_budget() -> None:
    """Guards against a budget within which a legal body is never served."""

    async def scenario(process: Process) -> None:
        for _ in range(3):
            reader, _ = await process.send(BODY)
            assert (await read_answer(reader))[1] == {"size": BODY}

    run(scenario, held_body_bytes=compute_smallest_limit(BODY))


@pytest.mark.parametrize("sent", [0, BODY // 2])
def test_client_that_leaves_releases_its_body(sent: int) -> None:
    """Guards against a budget that shrinks with each client that leaves."""

    async def scenario(process: Process) -> None:
        _, writer = await process.send(sent)
        await until(lambda: process.limits.bodies.used == sent)
        writer.close()
        await until(lambda: process.limits.bodies.used == 0)
        await until(lambda: process.limits.connections.count == 0)

    run(scenario)


def test_body_that_arrives_too_slowly_is_refused() -> None:
    """Guards against a body that is sent a byte at a time for ever."""

    async def scenario(process: Process) -> None:
        reader, _ = await process.send(10)
        await until(lambda: process.limits.bodies.used == 10)
        await asyncio.sleep(0.06)
        process.limits.close_overdue()
        status, answer, _ = await read_answer(reader)
        assert (status, answer["status"]) == (503, "not_run")
        assert await reader.read() == b""

    run(scenario, body_timeout=0.05)


def test_body_above_the_limit_is_not_kept_and_not_read_for_ever() -> None:
    """Guards against a client that sends more than the limit and stops."""

    async def scenario(process: Process) -> None:
        reader, _ = await process.send(2 * BODY, 3 * BODY)
        await until(lambda: process.limits.bodies.discarded_by_id)
        assert process.limits.bodies.used == 0
        await asyncio.sleep(0.06)
        process.limits.close_overdue()
        assert await reader.read() != b""

    run(scenario, body_timeout=0.05)


def test_longest_idle_connection_is_closed_for_a_new_one() -> None:
    """Guards against idle connections that keep new callers out."""

    async def scenario(process: Process) -> None:
        idle = []
        for number in range(USABLE_CONNECTIONS):
            idle.append(await process.open(number % 2))
            await until(lambda count=number + 1: count_open(process) == count)
        reader, _ = await process.send(10, 10)
        assert (await read_answer(reader))[1] == {"size": 10}
        assert await idle[0][0].read() == b""
        assert count_open(process) == USABLE_CONNECTIONS
        assert process.count("connections_closed", reason="limit") == 1

    run(scenario)


def count_open(process: Process) -> int:
    """Return the number of open connections."""
    return process.limits.connections.count


def test_headers_without_a_body_count_as_idle() -> None:
    """Guards against connections that announce a body and can never be closed."""

    async def scenario(process: Process) -> None:
        for _ in range(USABLE_CONNECTIONS):
            await process.send(0)
        await until(lambda: count_open(process) == USABLE_CONNECTIONS)
        reader, _ = await process.send(10, 10)
        assert (await read_answer(reader))[1] == {"size": 10}

    run(scenario)


def test_request_whose_headers_have_arrived_is_not_idle_since_the_last_answer() -> None:
    """Guards against a reused connection that is closed between headers and body."""

    async def scenario(process: Process) -> None:
        reader, writer = await process.send(1, 1)
        await read_answer(reader)
        for number in range(2, USABLE_CONNECTIONS + 1):
            await process.open()
            await until(lambda number=number: count_open(process) == number)
        idle = process.limits.connections.idle_since_by_id
        first = next(iter(idle))
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n")
        with suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await until(lambda: next(iter(idle)) is not first)
        await process.open()
        await until(lambda: process.count("connections_closed", reason="limit") == 1)
        writer.write(b"x")
        assert (await read_answer(reader))[1] == {"size": 1}

    run(scenario)


def test_idle_connection_is_closed_after_the_time_limit() -> None:
    """Guards against headers that stay unfinished for ever."""

    async def scenario(process: Process) -> None:
        reader, writer = await process.open()
        writer.write(b"POST / HTTP/1.1\r\nHost")
        await until(lambda: count_open(process) == 1)
        await asyncio.sleep(0.06)
        process.limits.close_overdue()
        assert await reader.read() == b""
        await until(lambda: count_open(process) == 0)

    run(scenario, idle_timeout=0.05)


def test_answers_that_are_not_read_are_bounded() -> None:
    """Guards against answers that pile up for clients that do not read them."""

    async def scenario(process: Process) -> None:
        clients = []
        for number in range(3):
            reader, writer = await process.open(window=4096)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            clients.append((reader, writer))
            expected = LARGE_ANSWER * min(number + 1, 2)
            await until(lambda expected=expected: answers(process) == expected)
        await until(lambda: count_open(process) == 2)
        assert process.count("connections_closed", reason="unread_answer") == 1
        head = await clients[2][0].readuntil(b"\r\n\r\n")
        assert b"200 OK" in head
        await clients[2][0].readexactly(LARGE_ANSWER)
        await until(lambda: answers(process) == LARGE_ANSWER)

    run(scenario, unread_answer_bytes=2 * LARGE_ANSWER)


def test_unread_text_is_charged_by_its_bytes() -> None:
    """Guards against answers with wide characters that exceed the limit."""

    async def scenario(process: Process) -> None:
        _, writer = await process.open(window=4096)
        writer.write(b"GET /?wide=1 HTTP/1.1\r\nHost: a\r\n\r\n")
        await until(lambda: answers(process) > 0)
        assert answers(process) == LARGE_ANSWER

    run(scenario)


def fill_answers(process: Process, writer: asyncio.StreamWriter) -> None:
    """Let a client cause more refusals than the kernel buffers, and read none."""
    writer.transport.pause_reading()
    for stream in process.limits.connections.idle_since_by_id:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY + 1}\r\n\r\n"
    writer.write((head.encode() + b" " * (BODY + 1)) * 60)


def test_refusal_that_was_read_late_is_not_unread_any_more() -> None:
    """Guards against the close of a connection whose client has read its refusal."""

    async def scenario(process: Process) -> None:
        reader, writer = await process.open(window=2048)
        await until(lambda: count_open(process) == 1)
        fill_answers(process, writer)
        await until(lambda: answers(process) > 0)
        writer.transport.resume_reading()
        for _ in range(60):
            assert (await read_answer(reader))[0] == 413
        async with asyncio.timeout(1.0):
            await until(lambda: answers(process) == 0)
        assert count_open(process) == 1

    run(scenario)


def answers(process: Process) -> int:
    """Return the bytes of unread answers."""
    return process.limits.answers.used


def test_new_connection_is_refused_while_all_are_handled() -> None:
    """Guards against the close of a connection whose request has begun."""

    async def scenario(process: Process) -> None:
        process.runtime.allowed.clear()
        handled = [await process.send(10, 10) for _ in range(USABLE_CONNECTIONS)]
        await until(lambda: len(process.limits.connections.active) == len(handled))
        reader, _ = await process.open()
        assert await reader.read() == b""
        check, _ = await process.send(10, 10, CHECKS)
        await until(lambda: count_open(process) == USABLE_CONNECTIONS + 1)
        process.runtime.allowed.set()
        assert (await read_answer(check))[0] == 200
        for reader, _ in handled:
            assert (await read_answer(reader))[1] == {"size": 10}

    run(scenario)


@pytest.mark.parametrize("target", ["/unknown", "*", "http://a/unknown"])
def test_body_to_a_path_without_a_route_is_released(target: str) -> None:
    """Guards against a budget that shrinks with each body that no handler takes."""

    async def scenario(process: Process) -> None:
        for size in (100, BODY):
            reader, writer = await process.open()
            head = (
                f"POST {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
            )
            writer.write(head.encode() + b" " * size)
            assert b" 404 " in await reader.readline()
            await until(lambda: process.limits.bodies.used == 0)

    run(scenario)


def test_body_whose_handler_cannot_be_made_is_released() -> None:
    """Guards against a charge that stays because the application raises an error."""

    async def scenario(process: Process) -> None:
        reader, writer = await process.open()
        head = b"POST /fails HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"
        writer.write(head + b" " * 100)
        assert await reader.read() == b""
        assert process.limits.bodies.used == 0

    run(scenario)


async def begin_head(process: Process, sent: int, length: int = BODY) -> Any:
    """Send a `HEAD` request with a part of a body on a new connection."""
    reader, writer = await process.open()
    head = f"HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
    writer.write(head.encode() + b" " * sent)
    return reader, writer


def test_head_request_with_an_unfinished_body_is_refused_when_overdue() -> None:
    """Guards against a HEAD request whose refusal ends the check of all connections."""

    async def scenario(process: Process) -> None:
        reader, _ = await begin_head(process, 100)
        await until(lambda: process.limits.bodies.used == 100)
        await asyncio.sleep(0.06)
        process.limits.close_overdue()
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert answer.endswith(b"\r\n\r\n")

    run(scenario, body_timeout=0.05)


def test_head_requests_dropped_for_another_client_do_not_affect_it() -> None:
    """Guards against a caller that is cut off by the refusal of a HEAD request."""

    async def scenario(process: Process) -> None:
        bodies = process.limits.bodies
        for number in range(1, 4):
            await begin_head(process, BODY - 1)
            await until(lambda used=number * (BODY - 1): bodies.used == used)
        reader, writer = await process.send(BODY - 1)
        await until(lambda: process.count("bodies_refused", reason="budget") == 1)
        writer.write(b" ")
        assert (await read_answer(reader))[1] == {"size": BODY}

    run(scenario)


def test_head_request_makes_room_for_a_new_connection() -> None:
    """Guards against a new caller that is cut off by the refusal of a HEAD request."""

    async def scenario(process: Process) -> None:
        for _ in range(USABLE_CONNECTIONS):
            await begin_head(process, 100)
        active = process.limits.connections.active
        await until(lambda: len(active) == USABLE_CONNECTIONS)
        reader, _ = await process.send(10, 10)
        assert (await read_answer(reader))[1] == {"size": 10}

    run(scenario)


def test_head_request_with_a_body_above_the_limit_gets_413() -> None:
    """Guards against a HEAD request that is cut off instead of being refused."""

    async def scenario(process: Process) -> None:
        reader, _ = await begin_head(process, BODY + 1, BODY + 1)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 413 ")

    run(scenario)


def test_refusal_that_cannot_be_written_affects_no_other_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a failed answer that keeps other overdue connections open."""

    def fail(*args: Any) -> None:
        raise RuntimeError("cannot write")

    async def scenario(process: Process) -> None:
        clients = [await process.send(10) for _ in range(2)]
        idle, _ = await process.open()
        await until(lambda: process.limits.bodies.used == 20)
        await until(lambda: count_open(process) == 3)
        await asyncio.sleep(0.06)
        monkeypatch.setattr(HTTP1Connection, "write_headers", fail)
        process.limits.close_overdue()
        for reader in (clients[0][0], clients[1][0], idle):
            assert await reader.read() == b""
        assert process.limits.bodies.used == 0

    run(scenario, body_timeout=0.05, idle_timeout=0.05)
