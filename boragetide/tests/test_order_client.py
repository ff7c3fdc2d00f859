"""Calls of the order client: reused handles, timeouts and calls that must wait."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from boragetide.errors import LinkError
from boragetide.links.order_call import MAX_CONNECTIONS
from boragetide.links.order_client import OrderClient
from boragetide.tests.conftest import free_port
from boragetide.tests.stream_server import ScriptedServer, serve_streams

SLOW_ANSWER = 0.3  # seconds
TIMEOUT = 5.0  # seconds
IDLE_TIME = 0.05  # seconds; a reset arrives within this time

Calls = Callable[[OrderClient, str], Awaitable[Any]]


class _EchoHandler(RequestHandler):
    async def post(self, pause: str) -> None:
        """Answer after a pause with the caller's header and body."""
        await asyncio.sleep(float(pause))
        self.set_status(202)
        name = self.request.headers.get("X-Name", "none")
        self.finish(f"{name}:{self.request.body.decode()}")


def run_calls(make_calls: Calls, max_clients: int = 4) -> Any:
    """Run calls to a server that answers after the pause that is named in the path."""

    async def run() -> Any:
        port = free_port()
        server = HTTPServer(Application([(r"/(.+)", _EchoHandler)]))
        server.add_sockets(bind_sockets(port, "127.0.0.1"))
        client = OrderClient(force_instance=True, max_clients=max_clients)
        try:
            return await make_calls(client, f"http://127.0.0.1:{port}")
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()

    return asyncio.run(run())


def test_reused_handle_carries_nothing_over() -> None:
    """Guards against an order that repeats the worker or the body of an earlier one."""

    async def make_calls(client: OrderClient, url: str) -> list[Any]:
        first = await client.post(f"{url}/0", [b"X-Name: w1"], b"longer body", TIMEOUT)
        second = await client.post(f"{url}/0", [], b"short", TIMEOUT)
        return [(each.status, each.body) for each in (first, second)]

    answers = run_calls(make_calls, max_clients=1)
    assert answers == [(202, b"w1:longer body"), (202, b"none:short")]


def test_handle_is_of_use_after_a_timeout() -> None:
    """Guards against an answer of the previous call, and against a lost handle."""

    async def make_calls(client: OrderClient, url: str) -> Any:
        with pytest.raises(LinkError):
            await client.post(f"{url}/{SLOW_ANSWER}", [], b"late", SLOW_ANSWER / 3)
        return (await client.post(f"{url}/0", [], b"next", TIMEOUT)).body

    assert run_calls(make_calls, max_clients=1) == b"none:next"


@pytest.mark.parametrize("others", [0, 3])
def test_timeout_is_kept_whatever_other_calls_wait_for(others: int) -> None:
    """Guards against a timeout that is put off by a call with a later one."""

    async def make_calls(client: OrderClient, url: str) -> float:
        for _ in range(others):
            client.post(f"{url}/1.0", [], b"", TIMEOUT)
        await asyncio.sleep(0.05)
        began = time.monotonic()
        with pytest.raises(LinkError):
            await client.post(f"{url}/1.0", [], b"", SLOW_ANSWER)
        return time.monotonic() - began

    assert SLOW_ANSWER * 0.9 < run_calls(make_calls) < SLOW_ANSWER + 0.4


def test_calls_beyond_the_handles_wait_for_one() -> None:
    """Guards against calls that are lost when all handles are in use."""

    async def make_calls(client: OrderClient, url: str) -> list[bytes]:
        bodies = [str(number).encode() for number in range(20)]
        calls = [client.post(f"{url}/0.01", [], body, TIMEOUT) for body in bodies]
        return [response.body for response in await asyncio.gather(*calls)]

    answers = run_calls(make_calls, max_clients=2)
    assert answers == [f"none:{number}".encode() for number in range(20)]


def test_short_call_does_not_wait_for_long_ones() -> None:
    """Guards against starts that wait until a question for ended runs is answered."""

    async def make_calls(client: OrderClient, url: str) -> float:
        long = [client.post(f"{url}/1.0", [], b"", TIMEOUT) for _ in range(50)]
        await asyncio.sleep(0.1)
        began = time.monotonic()
        await client.post(f"{url}/0", [], b"", TIMEOUT)
        took = time.monotonic() - began
        await asyncio.gather(*long)
        return took

    assert run_calls(make_calls, max_clients=MAX_CONNECTIONS) < 0.5


def test_unreachable_server_fails_the_call() -> None:
    """Guards against a call that never ends because nothing listens."""

    async def make_calls(client: OrderClient, url: str) -> None:
        with pytest.raises(LinkError):
            await client.post(f"http://127.0.0.1:{free_port()}/", [], b"", TIMEOUT)

    run_calls(make_calls)


def test_invalid_address_fails_its_own_call_only() -> None:
    """Guards against an address from an announcement that blocks other calls."""

    async def make_calls(client: OrderClient, url: str) -> Any:
        slow = client.post(f"{url}/0.1", [], b"slow", TIMEOUT)
        invalid = client.post("http://127.0.0.1\u00e9:1/", [], b"", TIMEOUT)
        last = client.post(f"{url}/0", [], b"last", TIMEOUT)
        with pytest.raises(LinkError):
            await invalid
        return [(await each).body for each in (slow, last)]

    assert run_calls(make_calls, max_clients=1) == [b"none:slow", b"none:last"]


def test_line_break_in_a_header_is_refused() -> None:
    """Guards against headers that the name of a backend server adds to a request."""

    async def make_calls(client: OrderClient, url: str) -> None:
        with pytest.raises(LinkError, match="line break"):
            await client.post(f"{url}/0", [b"X-Name: w1\r\nX-Other: 1"], b"", TIMEOUT)

    run_calls(make_calls)


def post_twice(
    server: ScriptedServer,
    *,
    idempotent: tuple[bool, bool] = (False, False),
    is_reset_between: bool = False,
) -> bytes:
    """Send two requests over one client; return the body of the second response."""

    async def run() -> bytes:
        port = free_port()
        client = OrderClient(force_instance=True, max_clients=1)
        url = f"http://127.0.0.1:{port}/"
        first, second = idempotent
        try:
            async with serve_streams(port, server) as accepted:
                await client.post(url, [], b"1", TIMEOUT, idempotent=first)
                if is_reset_between:
                    reset(accepted[0])
                    await asyncio.sleep(IDLE_TIME)
                answer = await client.post(url, [], b"2", TIMEOUT, idempotent=second)
                return answer.body
        finally:
            client.close()

    return asyncio.run(run())


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it in order."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


@pytest.mark.parametrize("first_is_idempotent", [False, True])
def test_request_that_is_not_idempotent_is_sent_once(first_is_idempotent: bool) -> None:
    """Guards against the answer to a second copy that passes for one to the first."""
    server = ScriptedServer([("200 OK", "{}"), None, ("503 Busy", "{}")])
    with pytest.raises(LinkError, match=r"^65: "):
        post_twice(server, idempotent=(first_is_idempotent, False))
    assert server.received == [b"1", b"2"]


def test_idempotent_request_is_sent_again_after_a_reset() -> None:
    """Guards against questions that fail whenever a connection was reset."""
    server = ScriptedServer([("200 OK", "{}"), None, ("200 OK", "[]")])
    assert post_twice(server, idempotent=(False, True)) == b"[]"
    assert server.received == [b"1", b"2", b"2"]


def test_request_whose_connection_was_reset_while_idle_is_sent_once_more() -> None:
    """Guards against starts that count as unanswered after each reset connection."""
    server = ScriptedServer([("200 OK", "{}"), ("200 OK", "[]")])
    assert post_twice(server, is_reset_between=True) == b"[]"
    assert server.received == [b"1", b"2"]
