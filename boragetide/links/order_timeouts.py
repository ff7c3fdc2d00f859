"""Reports an order as unanswered before its connection is given up.

The answer may still arrive afterwards, and is reported then. A late list is marked,
because a newer one has been asked for meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch
from typing import Any

from boragetide.daemon.clock import read_clock
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.links.order_results import make_failed_read, make_run_ordered
from boragetide.links.run_client import RunClient
from boragetide.messages import OrderResult, RunOrdered, RunsRead
from boragetide.types import Seconds


async def send_order(
    client: RunClient,
    order: StartRun | StopRun | ReadRuns,
    report: Callable[[Any], None],
) -> None:
    """Send an order and report its result, also if the answer comes too late."""
    if order.timeout is None:
        report(await client(order))
        return
    loop = asyncio.get_running_loop()
    sent_at = read_clock()
    is_late = is_answered = False

    def report_unanswered() -> None:
        nonlocal is_late
        if not is_answered:
            is_late = True
            report(make_unanswered(order, sent_at))

    # An answer that has arrived while the event loop was busy is handled first.
    timer = loop.call_later(order.timeout, loop.call_soon, report_unanswered)
    try:
        result = await client(order)
    finally:
        is_answered = True
        timer.cancel()
    if not is_late:
        report(result)
    elif (late := make_late(result)) is not None:
        report(late)


@singledispatch
def make_unanswered(order: Any, sent_at: Seconds) -> Any:
    """Return the result of an order that has no answer yet."""
    raise TypeError(f"no order {order!r}")


@make_unanswered.register(StartRun)
@make_unanswered.register(StopRun)
def _(order: StartRun | StopRun, sent_at: Seconds) -> RunOrdered:
    return make_run_ordered(order, sent_at, OrderResult.UNANSWERED, None)


@make_unanswered.register
def _(order: ReadRuns, sent_at: Seconds) -> Any:
    return make_failed_read(order, sent_at)


@singledispatch
def make_late(result: Any) -> Any | None:
    """Return what to report of a result that comes after its order was given up."""
    return None


@make_late.register
def _(result: RunOrdered) -> RunOrdered | None:
    return None if result.result is OrderResult.UNANSWERED else result


@make_late.register
def _(result: RunsRead) -> RunsRead:
    return replace(result, late=True)
