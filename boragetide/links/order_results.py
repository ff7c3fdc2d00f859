"""Results of the calls to backend servers, as messages for the dispatcher.

Each protocol has a client of its own, which decodes the responses.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from boragetide.daemon.repeated_logs import FaultLog
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.links.order_call import make_order_client
from boragetide.links.order_client import OrderClient
from boragetide.links.run_client import RunClient
from boragetide.links.run_lists import RunLists
from boragetide.messages import OrderResult, ReadFailed, RunOrdered, RunsRead
from boragetide.policy.fencing import get_term
from boragetide.types import Seconds


def bind_run_client(
    send_order: Callable[[Any, OrderClient, FaultLog], Awaitable[Any]],
) -> RunClient:
    """Return a function that sends orders of a protocol over persistent connections."""
    client, faults = make_order_client(), FaultLog()

    def send(order: StartRun | StopRun | ReadRuns) -> Awaitable[Any]:
        return send_order(order, client, faults)

    return send


def make_run_ordered(
    order: StartRun | StopRun,
    sent_at: Seconds,
    result: OrderResult,
    clock: Seconds | None,
) -> RunOrdered:
    """Return the result of a start or a stop.

    Parameters
    ----------
    sent_at
        Time at which the request was sent.
    clock
        Monotonic clock of the backend server when it answered, in seconds; ``None`` if
        the answer does not show it.
    """
    return RunOrdered(
        server=order.server,
        term=get_term(order.fence),
        job_id=order.task.job_id,
        task=order.number,
        run=order.run,
        result=result,
        started=isinstance(order, StartRun),
        clock=clock,
        sent_at=sent_at,
        target_born=order.target_born,
    )


def make_failed_read(
    order: ReadRuns, sent_at: Seconds, *, other_life: bool = False
) -> ReadFailed:
    """Return the result of a request that has no answer that can be read."""
    return ReadFailed(
        order.server,
        get_term(order.fence),
        other_life=other_life,
        target_born=order.target_born,
        sent_at=sent_at,
    )


def make_fenced_read(order: ReadRuns, sent_at: Seconds) -> RunsRead:
    """Return the result of a request that was refused for its fencing token."""
    return RunsRead(
        order.server,
        get_term(order.fence),
        sent_at,
        fenced=True,
        target_born=order.target_born,
    )


def make_runs_read(
    order: ReadRuns,
    sent_at: Seconds,
    clock: Seconds,
    born: int,
    lists: RunLists,
    faults: FaultLog,
) -> RunsRead:
    """Return the result of an answered request, and log the rows that were skipped.

    Parameters
    ----------
    sent_at
        Time at which the request was sent.
    clock
        Monotonic clock of the backend server when it answered, in seconds.
    born
        Start of the process that answered, in Unix milliseconds.
    """
    for fault in lists.faults:
        faults.record("row_skipped", order.server, fault)
    return RunsRead(
        server=order.server,
        term=get_term(order.fence),
        sent_at=sent_at,
        target_born=order.target_born,
        clock=clock,
        born=born,
        running=lists.running,
        unreadable=lists.unreadable,
        ended=lists.ended,
        acknowledge_until=lists.acknowledge_until,
        is_partial=lists.is_partial,
        waited=order.wait > 0.0,
    )
