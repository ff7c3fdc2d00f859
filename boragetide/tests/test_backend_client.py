"""What the client of the backend servers reports for each way a dispatch can end."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest
from tornado.httpclient import AsyncHTTPClient

from boragetide.effects import CancelTasks, StartTasks
from boragetide.links.backend_client import (
    LineParser,
    cancel,
    dispatch,
    make_client,
)
from boragetide.messages import TaskReport
from boragetide.tests.conftest import free_port
from boragetide.tests.stream_server import (
    ScriptedServer,
    Serve,
    read_request,
    serve_streams,
)
from boragetide.types import TaskStart, TaskStatus

RESULT_LINE = {"id": "j.0", "status": "done", "result": 1, "seconds": 0.1}
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
EMPTY_ANSWER = ("200 OK", "")
IDLE_TIME = 0.05  # seconds
REFUSALS = [b"409 Conflict", b"503 Service Unavailable"]


def run_dispatch(
    serve: Serve | None, tasks: int = 2, timeout: float = 0.2
) -> list[TaskReport]:
    """Dispatch tasks to a raw HTTP server; with ``None`` nothing listens there."""

    async def run() -> list[TaskReport]:
        port = free_port()
        starts = tuple(
            TaskStart(f"j.{index}", "j", "default", None, timeout)
            for index in range(tasks)
        )
        address = f"http://127.0.0.1:{port}"
        reports: list[TaskReport] = []
        start = StartTasks("s1", address, "lease-1", starts)
        listening = (
            contextlib.nullcontext() if serve is None else serve_streams(port, serve)
        )
        async with listening:
            await dispatch(make_client(), start, reports.append)
        return reports

    return asyncio.run(run())


async def dispatch_task(
    client: AsyncHTTPClient, port: int, index: int, reports: list[TaskReport]
) -> None:
    """Dispatch one task of a job; then wait until an end of the connection arrives."""
    task = TaskStart(f"j.{index}", "j", "default", None, 0.2)
    start = StartTasks("s1", f"http://127.0.0.1:{port}", "lease-1", (task,))
    await dispatch(client, start, reports.append)
    await asyncio.sleep(IDLE_TIME)


def dispatch_twice(serve: Serve) -> list[TaskReport]:
    """Dispatch two tasks over one client and return the report of the second."""

    async def run() -> list[TaskReport]:
        port = free_port()
        client = make_client()
        reports: list[TaskReport] = []
        async with serve_streams(port, serve):
            await dispatch_task(client, port, 1, [])
            await dispatch_task(client, port, 2, reports)
        client.close()
        return reports

    return asyncio.run(run())


def respond(head: bytes, *lines: dict[str, object]) -> Serve:
    """Build a handler that answers one request and closes the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65536)
        body = b"".join(json.dumps(line).encode() + b"\n" for line in lines)
        writer.write(head + body)
        await writer.drain()
        writer.close()

    return serve


def statuses(reports: list[TaskReport]) -> dict[str, TaskStatus]:
    """Return the reported status of each task; each is reported once."""
    assert len({report.task_id for report in reports}) == len(reports)
    return {report.task_id: report.outcome.status for report in reports}


def test_each_result_line_is_reported_with_its_run_time() -> None:
    """Guards against assigning a result to another task of the batch."""
    second = {"id": "j.1", "status": "failed", "error": "out of ink"}
    reports = run_dispatch(respond(RESPONSE_HEAD, second, RESULT_LINE))
    assert statuses(reports) == {
        "j.0": TaskStatus.DONE,
        "j.1": TaskStatus.FAILED,
    }
    assert reports[1].seconds == 0.1


def test_refused_connection_has_certainly_not_run() -> None:
    """Guards against a needless ``unknown``, which forbids a retry."""
    assert set(statuses(run_dispatch(None)).values()) == {TaskStatus.NOT_RUN}


@pytest.mark.parametrize("code", REFUSALS)
def test_explicit_refusal_has_certainly_not_run(code: bytes) -> None:
    """Guards against a needless ``unknown`` after a refusal."""
    head = b"HTTP/1.1 " + code + b"\r\nConnection: close\r\n\r\n"
    assert set(statuses(run_dispatch(respond(head))).values()) == {TaskStatus.NOT_RUN}


@pytest.mark.parametrize(
    "head", [b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 500 Oops\r\n\r\n", RESPONSE_HEAD]
)
def test_connection_that_ends_early_may_have_run(head: bytes) -> None:
    """Guards against a second start after a dispatch that was received in part."""
    assert set(statuses(run_dispatch(respond(head))).values()) == {TaskStatus.UNKNOWN}


def test_tasks_after_the_break_of_a_stream_may_have_run() -> None:
    """Guards against a broken stream that changes results that had arrived."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n"
    reports = run_dispatch(respond(head, RESULT_LINE))
    assert statuses(reports) == {"j.0": TaskStatus.DONE, "j.1": TaskStatus.UNKNOWN}


def test_silent_connection_ends_within_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an unbounded wait for a connection that sends nothing."""
    monkeypatch.setattr("boragetide.links.backend_client.RESULT_MARGIN", 0.3)

    async def stay_silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(65536)
        await asyncio.sleep(1.0)
        writer.close()

    assert set(statuses(run_dispatch(stay_silent)).values()) == {TaskStatus.UNKNOWN}


def test_batch_is_sent_once_when_a_reused_connection_ends() -> None:
    """Guards against a second copy of a batch, which may start its tasks again."""
    server = ScriptedServer([EMPTY_ANSWER, None, EMPTY_ANSWER])
    reports = dispatch_twice(server)
    assert len(server.received) == 2
    assert statuses(reports) == {"j.2": TaskStatus.UNKNOWN}
    assert reports[0].outcome.error == "the connection ended without a response"


@pytest.mark.parametrize("code", REFUSALS)
def test_refusal_of_a_second_copy_does_not_hide_the_first(code: bytes) -> None:
    """Guards against ``not_run`` for a batch of which the first copy has arrived."""
    server = ScriptedServer([EMPTY_ANSWER, None, (code.decode(), "")])
    assert statuses(dispatch_twice(server)) == {"j.2": TaskStatus.UNKNOWN}


def test_refused_connection_for_a_second_copy_does_not_hide_the_first() -> None:
    """Guards against ``not_run`` for a batch that arrived before the server ended."""

    async def run() -> list[TaskReport]:
        server = ScriptedServer([EMPTY_ANSWER, None])
        reports: list[TaskReport] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await server(reader, writer)
            listener.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = make_client()
        await dispatch_task(client, port, 1, [])
        await dispatch_task(client, port, 2, reports)
        client.close()
        assert len(server.received) == 2
        return reports

    assert statuses(asyncio.run(run())) == {"j.2": TaskStatus.UNKNOWN}


@pytest.mark.parametrize("code", [b"303 See Other", b"307 Temporary Redirect"])
def test_unreachable_target_of_a_redirection_does_not_hide_the_batch(
    code: bytes,
) -> None:
    """Guards against ``not_run`` for a batch that a backend server has answered."""
    location = b"\r\nLocation: http://127.0.0.1:%d/" % free_port()
    head = b"HTTP/1.1 " + code + location + b"\r\nContent-Length: 0\r\n\r\n"
    reports = run_dispatch(respond(head))
    assert set(statuses(reports).values()) == {TaskStatus.UNKNOWN}


def test_connection_closed_while_idle_carries_no_batch() -> None:
    """Guards against batches that are lost in the first second after a server ends."""
    bodies: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        bodies.append(await read_request(reader))
        line = json.dumps({**RESULT_LINE, "id": f"j.{len(bodies)}"}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(line)}\r\n\r\n"
        writer.write(head.encode() + line)
        writer.close()

    async def run() -> list[TaskReport]:
        port = free_port()
        client = make_client()
        reports: list[TaskReport] = []
        async with serve_streams(port, serve):
            for index in (1, 2):
                await dispatch_task(client, port, index, reports)
        await dispatch_task(client, port, 3, reports)
        client.close()
        return reports

    assert statuses(asyncio.run(run())) == {
        "j.1": TaskStatus.DONE,
        "j.2": TaskStatus.DONE,
        "j.3": TaskStatus.NOT_RUN,
    }


def test_lines_for_other_tasks_and_repeated_lines_are_dropped() -> None:
    """Guards against reporting a result that belongs to another dispatch."""
    other = {**RESULT_LINE, "id": "j.7"}
    again = {**RESULT_LINE, "status": "failed"}
    reports = run_dispatch(respond(RESPONSE_HEAD, other, RESULT_LINE, again), tasks=1)
    assert statuses(reports) == {"j.0": TaskStatus.DONE}


@pytest.mark.parametrize("first_is_closed", [True, False])
def test_cancellation_goes_on_after_a_call_without_an_answer(
    monkeypatch: pytest.MonkeyPatch, first_is_closed: bool
) -> None:
    """Guards against tasks that run on because another call was not answered."""
    monkeypatch.setattr("boragetide.links.backend_client.CANCEL_TIMEOUT", 0.3)
    paths: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        paths.append(head.split()[1].decode())
        if len(paths) > 1:
            writer.write(EMPTY_RESPONSE)
            await writer.drain()
        if len(paths) > 1 or first_is_closed:
            writer.close()

    async def run() -> None:
        port = free_port()
        request = CancelTasks("s1", f"http://127.0.0.1:{port}", ("j.0", "j.1", "j.2"))
        async with serve_streams(port, serve):
            await cancel(make_client(), request)

    asyncio.run(run())
    assert paths == ["/v1/tasks/j.0", "/v1/tasks/j.1", "/v1/tasks/j.2"]


def test_cancellation_at_a_server_that_is_gone_raises_nothing() -> None:
    """Guards against an error for each call to a backend server that has ended."""
    request = CancelTasks("s1", f"http://127.0.0.1:{free_port()}", ("j.0", "j.1"))

    async def run() -> None:
        await cancel(make_client(), request)

    asyncio.run(run())


@pytest.mark.parametrize("seconds", ["1e308", "-1.0", "1e-400", "3e6"])
def test_run_time_that_cannot_be_one_is_not_learned_from(seconds: str) -> None:
    """Guards against one answer that makes the predicted sizes of a class useless."""
    reports: list[TaskReport] = []
    starts = (TaskStart("j.0", "j", "default", None, 1.0),)
    parser = LineParser(
        StartTasks("s1", "http://s1", "l", starts), {"j.0"}, reports.append
    )
    line = f'{{"id":"j.0","status":"done","result":1,"seconds":{seconds}}}'
    parser.feed(line.encode() + b"\n")
    (report,) = reports
    assert report.outcome.status is TaskStatus.DONE
    assert report.seconds in (None, 0.0)
