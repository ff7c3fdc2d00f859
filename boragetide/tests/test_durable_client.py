"""Orders of the product's own protocol whose connection ends without an answer."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from boragetide.durable import TaskRef
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.links.durable_client import make_run_client
from boragetide.messages import OrderResult, ReadFailed, RunsRead
from boragetide.tests.conftest import free_port
from boragetide.tests.stream_server import ScriptedServer, serve_streams

TASK = TaskRef("j1", 0, 0)
ACCEPTED = ("200 OK", json.dumps({"clock": 5.0}))
REFUSED = ("409 Conflict", json.dumps({"clock": 5.0, "result": "no_room"}))
EMPTY_LIST = json.dumps({"clock": 5.0, "born": 1, "running": [], "ended": []})


def make_start(address: str) -> StartRun:
    return StartRun("s1", address, TASK, 0, 1, "spec", 2, 6.0)


def make_stop(address: str) -> StopRun:
    return StopRun("s1", address, TASK, 0, 1, 2)


def make_read(address: str) -> ReadRuns:
    return ReadRuns("s1", address, 2, 0, None, 0.0)


def send_twice(make_order: Any, server: ScriptedServer) -> Any:
    """Send an order twice over one connection; return the last answer."""

    async def run() -> Any:
        port = free_port()
        send = make_run_client()
        order = make_order(f"http://127.0.0.1:{port}")
        async with serve_streams(port, server):
            await send(order)
            return await send(order)

    return asyncio.run(run())


def test_refusal_of_a_repeated_start_does_not_show_that_nothing_runs() -> None:
    """Guards against a second run beside one whose answer a reset has cut off."""
    server = ScriptedServer([ACCEPTED, None, REFUSED])
    assert send_twice(make_start, server).result is OrderResult.UNANSWERED


@pytest.mark.parametrize("make_order", [make_stop, make_read])
def test_idempotent_order_is_repeated_after_a_reset(make_order: Any) -> None:
    """Guards against servers that count as silent after each reset connection."""
    answer = ("200 OK", EMPTY_LIST)
    result = send_twice(make_order, ScriptedServer([answer, None, answer]))
    assert isinstance(result, RunsRead) or result.result is OrderResult.DONE


def test_acknowledgement_of_ends_is_sent_once() -> None:
    """Guards against a copy that makes the next process forget its own ends."""

    def make_acknowledgement(address: str) -> ReadRuns:
        return ReadRuns("s1", address, 2, 57, None, 0.0)

    answer = ("200 OK", EMPTY_LIST)
    server = ScriptedServer([answer, None, answer])
    assert isinstance(send_twice(make_acknowledgement, server), ReadFailed)
    assert len(server.received) == 2
