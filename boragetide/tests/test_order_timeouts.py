"""Orders that count as unanswered before their connection is given up."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import Any

import pytest

from boragetide.daemon import repeated_logs
from boragetide.durable import TaskRef
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.errors import LinkError
from boragetide.links.order_call import NO_RESPONSE, call_server
from boragetide.links.order_results import make_run_ordered
from boragetide.links.order_timeouts import send_order
from boragetide.messages import OrderResult, ReadFailed, RunOrdered, RunsRead

TASK = TaskRef("j1", 0, 0)
START = StartRun("s1", "s1:80", TASK, 0, 1, "spec", 2, 6.0, timeout=0.02)
STOP = StopRun("s1", "s1:80", TASK, 0, 1, 2, timeout=0.02)
READ = ReadRuns("s1", "s1:80", 2, 0, None, 0.0, timeout=0.02)
LATE = 0.06  # seconds
LIST = RunsRead("s1", 2, 0.0, clock=1.0, born=1)


def send(order: Any, answer: Any, after: float, *, busy: float = 0.0) -> list[Any]:
    """Return the results of an order that is answered after some seconds.

    Parameters
    ----------
    busy
        Seconds for which the event loop stands still once the order is sent.
    """
    results: list[Any] = []

    async def answer_late(order: Any) -> Any:
        response = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(after, response.set_result, answer)
        return await response

    async def run() -> None:
        sending = asyncio.create_task(send_order(answer_late, order, results.append))
        await asyncio.sleep(0)
        time.sleep(busy)
        await sending

    asyncio.run(run())
    return results


def make_result(result: OrderResult = OrderResult.DONE) -> RunOrdered:
    return make_run_ordered(START, 1.0, result, None)


def test_order_is_reported_unanswered_before_its_late_answer() -> None:
    """Guards against a start that is only repeated once its connection is given up."""
    unanswered, done = send(START, make_result(), LATE)
    assert unanswered.result is OrderResult.UNANSWERED
    assert unanswered.sent_at > 1.0
    assert done.result is OrderResult.DONE


@pytest.mark.parametrize("order", [START, STOP])
def test_order_without_any_answer_is_reported_once(order: Any) -> None:
    """Guards against a start that is repeated twice for one copy."""
    (result,) = send(order, make_result(OrderResult.UNANSWERED), LATE)
    assert result.result is OrderResult.UNANSWERED


def test_late_list_is_marked() -> None:
    """Guards against an old list that is taken for newer than the next one."""
    failed, late = send(READ, LIST, LATE)
    assert isinstance(failed, ReadFailed)
    assert late == replace(LIST, late=True)


def test_list_without_any_answer_is_reported_once() -> None:
    """Guards against two lists that are asked for instead of one."""
    (result,) = send(READ, ReadFailed("s1", 2), LATE)
    assert isinstance(result, ReadFailed)


@pytest.mark.parametrize("order", [START, READ])
def test_answer_in_time_is_reported_once(order: Any) -> None:
    """Guards against a repetition of an order that has been answered."""
    answer = LIST if order is READ else make_result()
    assert send(order, answer, 0.0) == [answer]


def test_answer_that_arrived_while_the_process_was_busy_is_in_time() -> None:
    """Guards against a busy leader that repeats all its orders."""
    assert send(START, make_result(), 0.005, busy=LATE) == [make_result()]


def test_order_without_a_timeout_waits_for_its_client() -> None:
    """Guards against a result that is reported before the client has given up."""
    order = replace(START, timeout=None)
    assert send(order, make_result(), LATE) == [make_result()]


class _DeadClient:
    """A client whose calls all end without a response."""

    def post(self, *args: Any, **options: Any) -> Any:
        raise LinkError("28: timed out")


def test_lines_about_unanswered_calls_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hundreds of lines a second while calls go unanswered."""
    events: list[str] = []
    monkeypatch.setattr(
        repeated_logs, "log_event", lambda event, **fields: events.append(event)
    )

    async def run() -> None:
        for _ in range(100):
            response = await call_server(_DeadClient(), "s1", "http://s1/hold", {}, 0.1)
            assert response.status == NO_RESPONSE

    asyncio.run(run())
    # The calls may fall into two seconds.
    assert (
        1 <= events.count("call_unanswered") <= 2 * repeated_logs.MAX_LINES_PER_SECOND
    )
