"""HTTP handlers, with a runtime that records what it is asked."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from boragetide.api import submissions
from boragetide.api.durable import RunServerHandler
from boragetide.api.models import JobBody
from boragetide.api.submissions import SubmissionHandler
from boragetide.daemon.metrics import Metrics
from boragetide.daemon.repeated_logs import FaultLog
from boragetide.filters.chain import Exchange
from boragetide.messages import FindLeader, LeaderFound, RemoveServer, ServerReported
from boragetide.settings import Settings
from boragetide.types import Answer, Status

HOST = "127.0.0.1"
TIMEOUT = 5.0  # seconds
JOB = b'{"id":"j1","class":"default","tasks":[{"payload":1}]}'


class RecordingRuntime:
    """Stands in for the runtime of an instance; every removal succeeds."""

    stopping = False

    def __init__(self, settings: Settings):
        self.settings = settings
        self.open_requests: set[Any] = set()
        self.metrics = Metrics()
        self.server_limits: Any = None
        self.removals: list[RemoveServer] = []

    def local(self, controller: str) -> str:
        """Return the name of a controller."""
        return controller

    async def ask(self, to: Any, message: Any, timeout: float) -> Any:
        """Answer as the directory or as the dispatcher."""
        if isinstance(message, FindLeader):
            return LeaderFound("a1", None, ready=True)
        self.removals.append(message)
        return ServerReported(by_leader=True)


@pytest.fixture
def runtime(settings: Settings) -> RecordingRuntime:
    """A runtime without controllers."""
    return RecordingRuntime(settings)


def serve(
    routes: list[Any], use: Callable[[int], Awaitable[Any]], timeout: float = TIMEOUT
) -> Any:
    """Serve routes while a coroutine uses their port; return its result."""

    async def serve_and_use() -> Any:
        sockets = bind_sockets(0, HOST)
        server = HTTPServer(Application(routes))
        server.add_sockets(sockets)
        try:
            port = sockets[0].getsockname()[1]
            return await asyncio.wait_for(use(port), timeout)
        finally:
            server.stop()
            await server.close_all_connections()

    return asyncio.run(serve_and_use())


def test_caller_that_closes_its_connection_has_left(
    runtime: RecordingRuntime, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refused job that is run for a caller that has left."""
    exchanges: list[Exchange] = []

    async def wait(exchange: Exchange) -> Answer:
        exchanges.append(exchange)
        while not exchange.caller_left:
            await asyncio.sleep(0.01)
        return Answer("j1", Status.NOT_RUN, error="refused")

    async def submit_and_leave(port: int) -> None:
        _, writer = await asyncio.open_connection(HOST, port)
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {len(JOB)}\r\n\r\n"
        writer.write(head.encode() + JOB)
        await writer.drain()
        while not exchanges:
            await asyncio.sleep(0.01)
        assert not exchanges[0].caller_left
        writer.close()
        while not exchanges[0].caller_left:
            await asyncio.sleep(0.01)

    monkeypatch.setattr(submissions, "SUBMISSION_CHAIN", wait)
    arguments = {"runtime": runtime, "kind": JobBody}
    serve([("/", SubmissionHandler, arguments)], submit_and_leave)
    assert exchanges[0].caller_left


def test_caller_of_an_interrupted_job_gets_unknown(
    runtime: RecordingRuntime, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against HTTP 500 when a process exits before a job has ended."""

    async def wait(exchange: Exchange) -> Answer:
        await asyncio.Event().wait()
        raise AssertionError("not reached")

    async def submit_and_interrupt(port: int) -> HTTPResponse:
        url = f"http://{HOST}:{port}/"
        fetch = AsyncHTTPClient().fetch(url, method="POST", body=JOB, raise_error=False)
        answer = asyncio.ensure_future(fetch)
        while not runtime.open_requests:
            await asyncio.sleep(0.01)
        for request in list(runtime.open_requests):
            request.interrupt()
        return await answer

    monkeypatch.setattr(submissions, "SUBMISSION_CHAIN", wait)
    arguments = {"runtime": runtime, "kind": JobBody}
    answer = serve([("/", SubmissionHandler, arguments)], submit_and_interrupt)
    assert answer.code == 504
    assert json.loads(answer.body)["status"] == Status.UNKNOWN
    assert answer.headers["Connection"] == "close"
    assert not runtime.open_requests


@pytest.mark.parametrize(
    ("query", "status", "removed"),
    [("", 200, [0]), ("?born=1500", 200, [1500]), ("?born=x", 400, [])],
)
def test_removal_names_the_life_that_ends(
    runtime: RecordingRuntime, query: str, status: int, removed: list[int]
) -> None:
    """Guards against removing the next life of a backend server."""

    async def remove(port: int) -> int:
        url = f"http://{HOST}:{port}/s1{query}"
        client = AsyncHTTPClient()
        response = await client.fetch(url, method="DELETE", raise_error=False)
        return response.code

    fields = {"runtime": runtime, "faults": FaultLog()}
    routes = [("/([^/]+)", RunServerHandler, fields)]
    assert serve(routes, remove) == status
    assert [removal.born for removal in runtime.removals] == removed
