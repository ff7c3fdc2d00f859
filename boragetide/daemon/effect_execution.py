"""Executes the effects that controllers return."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import lru_cache, singledispatch

from tornado.httpclient import AsyncHTTPClient

from boragetide import effects
from boragetide.daemon.logs import log_event
from boragetide.daemon.runtime import Runtime
from boragetide.errors import StorageError
from boragetide.groups import find_group, resolve_address
from boragetide.links import backend_client
from boragetide.links.order_timeouts import send_order
from boragetide.links.peers import request_reconnect
from boragetide.links.run_client import RunClient
from boragetide.messages import TaskReport
from boragetide.storage.journal import Journals


@dataclass(slots=True)
class EffectContext:
    """Resources that effects act on: the runtime, HTTP clients and journals.

    Parameters
    ----------
    task_client
        Client of backend servers for tasks that are started at most once.
    journals
        Journals of the controllers; ``None`` in a process that stores no records.
    durable_client
        Client of backend servers for the runs of durable tasks.
    calls
        HTTP calls in progress.
    """

    runtime: Runtime
    task_client: AsyncHTTPClient | None = None
    journals: Journals | None = None
    durable_client: RunClient | None = None
    calls: set[asyncio.Task[None]] = field(default_factory=set)

    def start_call(self, call: Awaitable[None]) -> None:
        """Run an HTTP call in a new task and hold a reference to the task."""
        task = asyncio.ensure_future(call)
        self.calls.add(task)
        task.add_done_callback(self._end_call)

    def _end_call(self, task: asyncio.Task[None]) -> None:
        self.calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("call_failed", error=repr(task.exception()))

    def report_task(self, message: TaskReport) -> None:
        """Send the report of a task's end to the ``backend_servers`` controller."""
        self.runtime.send(self.runtime.local("backend_servers"), message)


def bind_execute_effect(
    context: EffectContext,
) -> Callable[..., Awaitable[None] | None]:
    """Return `execute_effect` bound to a context, as `run_controller` expects it."""

    def bound(effect: effects.Effect, controller: str) -> Awaitable[None] | None:
        return execute_effect(effect, context, controller)

    return bound


@singledispatch
def execute_effect(
    effect: effects.Effect, context: EffectContext, controller: str
) -> Awaitable[None] | None:
    """Execute one effect; a returned awaitable completes when it is durable."""
    raise TypeError(f"cannot execute effect {effect!r}")


@execute_effect.register
def _(effect: effects.Send, context: EffectContext, controller: str) -> None:
    context.runtime.send(resolve_address(effect.to, controller), effect.message)


@execute_effect.register
def _(effect: effects.Reply, context: EffectContext, controller: str) -> None:
    context.runtime.reply(effect.to, effect.message)


@execute_effect.register
def _(
    effect: effects.Persist, context: EffectContext, controller: str
) -> Awaitable[None]:
    return _get_journals(context).append(controller, effect.records)


@execute_effect.register
def _(
    effect: effects.SaveSnapshot, context: EffectContext, controller: str
) -> Awaitable[None]:
    return _get_journals(context).save_snapshot(controller, effect.record)


def _get_journals(context: EffectContext) -> Journals:
    if context.journals is None:
        raise StorageError("this instance has no disk to store records on")
    return context.journals


@execute_effect.register
def _(effect: effects.StartTasks, context: EffectContext, controller: str) -> None:
    context.runtime.metrics.count("dispatches", {"server": effect.server})
    context.start_call(
        backend_client.dispatch(context.task_client, effect, context.report_task)
    )


@execute_effect.register
def _(effect: effects.CancelTasks, context: EffectContext, controller: str) -> None:
    context.runtime.metrics.count(
        "cancellations", {"server": effect.server}, len(effect.task_ids)
    )
    context.start_call(backend_client.cancel(context.task_client, effect))


@execute_effect.register(effects.StartRun)
@execute_effect.register(effects.StopRun)
@execute_effect.register(effects.ReadRuns)
def _(
    effect: effects.StartRun | effects.StopRun | effects.ReadRuns,
    context: EffectContext,
    controller: str,
) -> None:
    context.start_call(_send_order(effect, context, controller))


async def _send_order(
    effect: effects.StartRun | effects.StopRun | effects.ReadRuns,
    context: EffectContext,
    controller: str,
) -> None:
    """Send an order to a backend server and pass its results to the controller."""
    to = context.runtime.local(controller)
    await send_order(
        context.durable_client, effect, lambda result: context.runtime.send(to, result)
    )


@execute_effect.register
def _(effect: effects.Reconnect, context: EffectContext, controller: str) -> None:
    link = context.runtime.links_by_id.get(effect.instance)
    if link is not None:
        request_reconnect(link, find_group(controller))


@execute_effect.register
def _(effect: effects.AbandonRequests, context: EffectContext, controller: str) -> None:
    context.runtime.abandon_requests(effect.instance, find_group(controller))


@execute_effect.register
def _(effect: effects.LogEvent, context: EffectContext, controller: str) -> None:
    log_event(effect.event, **effect.fields, **_describe_group(controller))


@execute_effect.register
def _(effect: effects.Observe, context: EffectContext, controller: str) -> None:
    context.runtime.metrics.observe(effect.metric, effect.labels, effect.seconds)


@execute_effect.register
def _(effect: effects.Count, context: EffectContext, controller: str) -> None:
    context.runtime.metrics.count(effect.metric, effect.labels, effect.value)


@execute_effect.register
def _(effect: effects.SetGauge, context: EffectContext, controller: str) -> None:
    labels = _describe_group(controller)
    context.runtime.metrics.set_gauge(effect.metric, labels, effect.value)


@lru_cache
def _describe_group(controller: str) -> dict[str, str]:
    """Return the fields that tell the controllers of several groups apart."""
    group = find_group(controller)
    return {"group": str(group)} if group else {}
