"""The pool this instance places for: leases, the queue and running tasks."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from boragetide.controllers import leases
from boragetide.controllers.placing import place
from boragetide.controllers.pool import BackendServersState, QueuedJob
from boragetide.effects import Effect, LogEvent, Reply, Send
from boragetide.messages import (
    AnnounceBackendServer,
    BackendServerList,
    CancelQueued,
    ConfigurationChanged,
    ListBackendServers,
    QueueTasks,
    StopRequested,
    TaskEnded,
    TaskReport,
    TasksQueued,
    TasksRefused,
    Tick,
    WokeUp,
)
from boragetide.policy import ordering
from boragetide.types import Address, Seconds


@singledispatch
def handle(message: Any, state: BackendServersState, now: Seconds) -> list[Effect]:
    """Apply one message to the pool."""
    raise TypeError(f"backend servers controller cannot handle {message!r}")


@handle.register
def _(message: QueueTasks, state: BackendServersState, now: Seconds) -> list[Effect]:
    jobs = Address(state.settings.id, "jobs")
    queued = sum(len(job.waiting) for job in state.jobs_by_id.values())
    if queued + len(message.tasks) > state.settings.limits.queued_tasks:
        return [Send(jobs, TasksRefused(message.job_id, "the queue is full"))]
    waiting = sorted(
        range(len(message.tasks)),
        key=lambda index: ordering.expected_size(message.tasks[index]),
    )
    state.jobs_by_id[message.job_id] = QueuedJob(message, now, waiting)
    return [Send(jobs, TasksQueued(message.job_id)), *place(state, now)]


@handle.register
def _(message: TaskReport, state: BackendServersState, now: Seconds) -> list[Effect]:
    leased = state.servers_by_id.get(message.server)
    if leased is None or leased.lease != message.lease:
        return [LogEvent("late_report", {"task": message.task_id})]
    running = leased.running_by_id.pop(message.task_id, None)
    if running is None:
        return [LogEvent("late_report", {"task": message.task_id})]
    ended = TaskEnded(running.job_id, running.index, message.outcome)
    return [Send(Address(state.settings.id, "jobs"), ended), *place(state, now)]


@handle.register
def _(message: CancelQueued, state: BackendServersState, now: Seconds) -> list[Effect]:
    state.jobs_by_id.pop(message.job_id, None)
    return []


@handle.register
def _(
    message: ListBackendServers, state: BackendServersState, now: Seconds
) -> list[Effect]:
    records = tuple(
        {
            "id": server_id,
            "address": leased.server.address,
            "availability_zone": leased.server.zone,
            "rack": leased.server.rack,
            "slots": leased.server.slots,
            "running": len(leased.running_by_id),
            "leaving": leased.server.leaving,
            "drained": server_id in state.configuration.drained,
        }
        for server_id, leased in sorted(state.servers_by_id.items())
    )
    return [Reply(message.reply_to, BackendServerList(records))]


@handle.register
def _(
    message: ConfigurationChanged, state: BackendServersState, now: Seconds
) -> list[Effect]:
    state.configuration = message.configuration
    return place(state, now)


@handle.register
def _(message: StopRequested, state: BackendServersState, now: Seconds) -> list[Effect]:
    state.stopping = True
    return []


handle.register(AnnounceBackendServer, leases.announce)
handle.register(WokeUp, leases.wake_up)


@handle.register
def _(message: Tick, state: BackendServersState, now: Seconds) -> list[Effect]:
    return leases.expire_leases(state, now)
