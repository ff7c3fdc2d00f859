"""HTTP client of backend servers that run durable tasks.

An order is a request to start a run, to stop a run or to list the runs. The protocol is
described in ``docs/interfaces.md`` for authors of such backend servers.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Annotated, Any, TypeAlias

import msgspec
from msgspec import Meta

from boragetide.daemon.clock import read_clock
from boragetide.daemon.repeated_logs import FaultLog
from boragetide.durable import EndReason, TaskRef
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.errors import LinkError
from boragetide.limits import (
    ID_PATTERN,
    MAX_CLOCK,
    MAX_END_NUMBER,
    MAX_RUN_NUMBER,
    MAX_STEPS,
    MAX_TASKS,
    MAX_TIMESTAMP_MS,
)
from boragetide.links.order_call import (
    ORDER_TIMEOUT,
    READ_MARGIN,
    CallResponse,
    call_server,
)
from boragetide.links.order_client import OrderClient
from boragetide.links.order_results import (
    bind_run_client,
    make_failed_read,
    make_fenced_read,
    make_run_ordered,
    make_runs_read,
)
from boragetide.links.run_client import RunClient
from boragetide.links.run_lists import RowTypes, read_run_lists
from boragetide.messages import OrderResult, ReadFailed, RunOrdered, RunsRead
from boragetide.types import Seconds

# Status of the response if another backend server answers at the address.
HTTP_MISDIRECTED_REQUEST = 421

_Clock: TypeAlias = Annotated[Seconds, Meta(ge=0, le=MAX_CLOCK)]


class _OrderAnswer(msgspec.Struct):
    """Answer to a start or stop; ``result`` is absent if the order was executed."""

    clock: _Clock
    result: OrderResult = OrderResult.DONE


class _Task(msgspec.Struct):
    job: Annotated[str, Meta(pattern=rf"^{ID_PATTERN}\Z")]
    step: Annotated[int, Meta(ge=0, lt=MAX_STEPS)]
    index: Annotated[int, Meta(ge=0, lt=MAX_TASKS)]

    def to_task_ref(self) -> TaskRef:
        """Return the reference of the run's task."""
        return TaskRef(self.job, self.step, self.index)


class _Run(_Task):
    run: Annotated[int, Meta(ge=1, le=MAX_RUN_NUMBER)]


class _Number(msgspec.Struct):
    number: Annotated[int, Meta(ge=1, le=MAX_END_NUMBER)]


class _End(_Run):
    number: Annotated[int, Meta(ge=1, le=MAX_END_NUMBER)]
    reason: EndReason

    def to_reason(self) -> EndReason:
        """Return how the run ended."""
        return self.reason


_ROW_TYPES = RowTypes(_Run, _Task, _End, _Number)


class _Runs(msgspec.Struct):
    """Answer to a request for the list of runs; each row is validated on its own."""

    clock: _Clock
    born: Annotated[int, Meta(ge=0, le=MAX_TIMESTAMP_MS)]
    running: list[Any]
    ended: list[Any]


def make_run_client() -> RunClient:
    """Make the client that sends orders over persistent connections."""
    return bind_run_client(send_order)


@singledispatch
async def send_order(order: Any, client: OrderClient, faults: FaultLog) -> Any:
    """Send one order and convert the answer to a message for the controller."""
    raise TypeError(f"no order {order!r}")


@send_order.register
async def _(order: StartRun, client: OrderClient, faults: FaultLog) -> RunOrdered:
    body = {"spec": order.spec, "lease_until": order.lease_until}
    return await _send_run_order(order, client, "start", body)


@send_order.register
async def _(order: StopRun, client: OrderClient, faults: FaultLog) -> RunOrdered:
    return await _send_run_order(order, client, "stop", {}, idempotent=True)


async def _send_run_order(
    order: StartRun | StopRun,
    client: OrderClient,
    action: str,
    fields: dict[str, Any],
    *,
    idempotent: bool = False,
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
    response = await call_server(
        client, order.server, url, body, ORDER_TIMEOUT, idempotent=idempotent
    )
    result, clock = _read_answer(response)
    return make_run_ordered(order, sent_at, result, clock)


def _read_answer(response: CallResponse) -> tuple[OrderResult, Seconds | None]:
    if response.status == HTTP_MISDIRECTED_REQUEST:
        return OrderResult.OTHER_LIFE, None
    if response.status not in (200, 409):
        return OrderResult.UNANSWERED, None
    try:
        answer = _decode(response.body, _OrderAnswer)
    except LinkError:
        return OrderResult.UNANSWERED, None
    return answer.result, answer.clock


def _decode(body: bytes, type_: type) -> Any:
    try:
        return msgspec.json.decode(body, type=type_)
    except (msgspec.DecodeError, RecursionError) as error:
        raise LinkError(str(error)) from error


@send_order.register
async def _(
    order: ReadRuns, client: OrderClient, faults: FaultLog
) -> RunsRead | ReadFailed:
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
    # The next process would take a copy of an acknowledgement for one of its own ends.
    idempotent = not order.acknowledged
    response = await call_server(
        client, order.server, url, body, timeout, idempotent=idempotent
    )
    if response.status == 409:
        return make_fenced_read(order, sent_at)
    if response.status != 200:
        other_life = response.status == HTTP_MISDIRECTED_REQUEST
        return make_failed_read(order, sent_at, other_life=other_life)
    return _read_list(order, response.body, sent_at, faults)


def _read_list(
    order: ReadRuns, body: bytes, sent_at: Seconds, faults: FaultLog
) -> RunsRead | ReadFailed:
    try:
        listed = _decode(body, _Runs)
    except LinkError as error:
        faults.record("list_unreadable", order.server, str(error))
        return make_failed_read(order, sent_at)
    lists = read_run_lists(listed.running, listed.ended, _ROW_TYPES)
    return make_runs_read(order, sent_at, listed.clock, listed.born, lists, faults)
