"""HTTP client of backend servers that run durable tasks.

An order is a request to start a run, to stop a run or to list the runs. The protocol is
described in ``docs/interfaces.md`` for authors of such backend servers.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Any

import msgspec

from boragetide.daemon.clock import read_clock
from boragetide.durable import EndReason, ListedEnd, ListedRun, TaskRef
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.links.order_call import (
    ORDER_TIMEOUT,
    READ_MARGIN,
    CallResponse,
    call_server,
    make_order_client,
)
from boragetide.links.order_client import OrderClient
from boragetide.messages import OrderResult, ReadFailed, RunOrdered, RunsRead
from boragetide.policy.fencing import get_term
from boragetide.types import Seconds

# Status of the response if another backend server answers at the address.
HTTP_MISDIRECTED_REQUEST = 421


class _OrderAnswer(msgspec.Struct):
    """Answer to a start or stop; ``result`` is absent if the order was executed."""

    clock: Seconds
    result: OrderResult = OrderResult.DONE


class _Run(msgspec.Struct):
    job: str
    step: int
    index: int
    run: int

    def to_task_ref(self) -> TaskRef:
        """Return the reference of the run's task."""
        return TaskRef(self.job, self.step, self.index)


class _End(_Run):
    number: int
    reason: EndReason


class _Runs(msgspec.Struct):
    """Answer to a request for the list of runs."""

    clock: Seconds
    born: int
    running: list[_Run]
    ended: list[_End]


def make_run_client() -> Callable[[Any], Awaitable[Any]]:
    """Make the client that sends orders over persistent connections."""
    client = make_order_client()

    def send(order: StartRun | StopRun | ReadRuns) -> Awaitable[Any]:
        return send_order(order, client)

    return send


@singledispatch
async def send_order(order: Any, client: OrderClient) -> Any:
    """Send one order and convert the answer to a message for the controller."""
    raise TypeError(f"no order {order!r}")


@send_order.register
async def _(order: StartRun, client: OrderClient) -> RunOrdered:
    body = {"spec": order.spec, "lease_until": order.lease_until}
    return await _send_run_order(order, client, "start", body)


@send_order.register
async def _(order: StopRun, client: OrderClient) -> RunOrdered:
    return await _send_run_order(order, client, "stop", {})


async def _send_run_order(
    order: StartRun | StopRun, client: OrderClient, action: str, fields: dict
) -> RunOrdered:
    sent_at = read_clock()
    body = {
        "server": order.server,
        "job": order.task.job_id,
        "step": order.task.step,
        "index": order.task.index,
        "run": order.run,
        "fence": order.fence,
        **fields,
    }
    url = f"{order.address}/v1/runs/{action}"
    response = await call_server(client, order.server, url, body, ORDER_TIMEOUT)
    result, clock = _read_answer(response)
    return RunOrdered(
        server=order.server,
        term=get_term(order.fence),
        job_id=order.task.job_id,
        task=order.number,
        run=order.run,
        result=result,
        started=action == "start",
        clock=clock,
        sent_at=sent_at,
        target_born=order.target_born,
    )


def _read_answer(response: CallResponse) -> tuple[OrderResult, Seconds | None]:
    if response.status == HTTP_MISDIRECTED_REQUEST:
        return OrderResult.OTHER_LIFE, None
    if response.status not in (200, 409):
        return OrderResult.UNANSWERED, None
    try:
        answer = msgspec.json.decode(response.body, type=_OrderAnswer)
    except msgspec.DecodeError:
        return OrderResult.UNANSWERED, None
    return answer.result, answer.clock


@send_order.register
async def _(order: ReadRuns, client: OrderClient) -> RunsRead | ReadFailed:
    body: dict[str, Any] = {
        "server": order.server,
        "fence": order.fence,
        "acknowledged": order.acknowledged,
        "wait": order.wait,
    }
    if order.lease_until is not None:
        body["lease_until"] = order.lease_until
    sent_at = read_clock()
    url = f"{order.address}/v1/runs/list"
    timeout = order.wait + READ_MARGIN
    response = await call_server(client, order.server, url, body, timeout)
    term, target = get_term(order.fence), {"target_born": order.target_born}
    if response.status == 409:
        return RunsRead(order.server, term, sent_at, fenced=True, **target)
    if response.status != 200:
        other = response.status == HTTP_MISDIRECTED_REQUEST
        return ReadFailed(order.server, term, other_life=other, **target)
    try:
        listed = msgspec.json.decode(response.body, type=_Runs)
    except msgspec.DecodeError:
        return ReadFailed(order.server, term, **target)
    return RunsRead(
        server=order.server,
        term=get_term(order.fence),
        sent_at=sent_at,
        clock=listed.clock,
        born=listed.born,
        running=tuple(ListedRun(run.to_task_ref(), run.run) for run in listed.running),
        ended=tuple(
            ListedEnd(end.number, end.to_task_ref(), end.run, end.reason)
            for end in listed.ended
        ),
        **target,
    )
