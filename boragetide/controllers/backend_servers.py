"""Controller of the pool that this instance places for: its queue and its tasks."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from boragetide.controllers import leases, outcomes, reviewing
from boragetide.controllers.placing import place_tasks
from boragetide.controllers.pool import (
    BackendServersState,
    find_target,
    is_evacuated,
    refresh_server,
)
from boragetide.controllers.queueing import ClassQueue, QueuedJob, add_waiting
from boragetide.controllers.zone_pool import (
    apply_zones,
    find_zone_refusal,
    track_old_view,
)
from boragetide.effects import Count, Effect, LogEvent, Reply, Send
from boragetide.messages import (
    AnnounceBackendServer,
    BackendServerList,
    CancelQueued,
    ConfigurationChanged,
    ConfigurationConfirmed,
    DescribePool,
    Drain,
    DrainState,
    ListBackendServers,
    PlacerChanged,
    PoolDescription,
    QueueTasks,
    StopRequested,
    TaskReport,
    TasksQueued,
    TasksRefused,
    Tick,
    WokeUp,
)
from boragetide.policy import admission, learning, ordering
from boragetide.types import Address, ClassName, Seconds

__all__ = ["BackendServersState", "handle"]


@singledispatch
def handle(message: Any, state: BackendServersState, now: Seconds) -> list[Effect]:
    """Apply one message to the pool."""
    raise TypeError(f"backend servers controller cannot handle {message!r}")


@handle.register
def _(message: QueueTasks, state: BackendServersState, now: Seconds) -> list[Effect]:
    if message.job_id in state.jobs_by_id:
        return []
    jobs = Address(state.settings.id, "jobs")
    model = state.size_models_by_class.setdefault(
        message.class_name, learning.SizeModel()
    )
    sizes = [learning.predict_size(model, task.size) for task in message.tasks]
    load = _measure_load(state, message.class_name)
    target = find_target(state, message.class_name)
    predicted = admission.predict_response(load, target, sum(sizes), max(sizes))
    label, reason = _refuse(message, load, predicted, state, now)
    if reason is not None:
        labels = {"class": message.class_name, "reason": label}
        refused = TasksRefused(message.job_id, reason)
        return [Count("refusals", labels), Send(jobs, refused)]
    if not state.total_slots and state.unavailable_since is None:
        state.unavailable_since = now
    queue = find_queue(state, message.class_name)
    job = QueuedJob(message, now, predicted)
    state.jobs_by_id[message.job_id] = job
    if any(task.cores or task.memory for task in message.tasks):
        state.jobs_needing_resources.add(message.job_id)
    state.queued_tasks += len(sizes)
    add_waiting(queue, job, zip(sizes, range(len(sizes)), strict=True))
    return [Send(jobs, TasksQueued(message.job_id)), *place_tasks(state, now)]


def _refuse(
    message: QueueTasks,
    load: admission.Load,
    predicted: Seconds,
    state: BackendServersState,
    now: Seconds,
) -> tuple[str, str | None]:
    """Return the label and reason of a refusal; an accepted job has no reason."""
    reason = find_zone_refusal(state, now)
    if reason is not None:
        return "evacuation", reason
    if state.queued_tasks + len(message.tasks) > state.settings.limits.queued_tasks:
        return "queue_full", "the queue is full"
    servers = (
        leased.server
        for leased in state.servers_by_id.values()
        if not is_evacuated(state, leased)
    )
    reason = admission.refuse_for_size(message.tasks, servers)
    if reason is not None:
        return "never_fits", reason
    target = find_target(state, message.class_name)
    margin = state.margins_by_class.setdefault(message.class_name, admission.Margin())
    return "target", admission.refuse_for_target(load, target, margin, predicted)


def _measure_load(state: BackendServersState, class_name: ClassName) -> admission.Load:
    queues_by_class = state.queues_by_class
    own = queues_by_class.get(class_name)
    own_waiting = own.work if own is not None else 0.0
    waiting = sum(queue.work for queue in queues_by_class.values())
    return admission.Load(
        total_speed=state.total_speed,
        top_speed=-state.available_servers[0][0] if state.available_servers else 0.0,
        waiting=waiting + state.running_work / 2,
        own_waiting=own_waiting,
        contended=any(
            queue.waiting
            for name, queue in queues_by_class.items()
            if name != class_name
        ),
    )


def find_queue(state: BackendServersState, class_name: ClassName) -> ClassQueue:
    """Return the queue of a class, which is created on first use."""
    queue = state.queues_by_class.get(class_name)
    if queue is None:
        target = find_target(state, class_name)
        aging_rate = ordering.aging_rate(target.response_time)
        queue = state.queues_by_class[class_name] = ClassQueue(aging_rate)
    return queue


@handle.register
def _(message: TaskReport, state: BackendServersState, now: Seconds) -> list[Effect]:
    leased = leases.find_lease(message.server, message.lease, state)
    if leased is None:
        return [LogEvent("late_report", {"task": message.task_id})]
    running = leased.running_by_id.get(message.task_id)
    if running is None:
        return [LogEvent("late_report", {"task": message.task_id})]
    ended = outcomes.end_running(
        state, leased, running, message.outcome, message.seconds, now
    )
    return [*ended, *place_tasks(state, now)]


@handle.register
def _(message: CancelQueued, state: BackendServersState, now: Seconds) -> list[Effect]:
    job = state.jobs_by_id.get(message.job_id)
    if job is None:
        return []
    return outcomes.cancel_job(state, job, now)


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
            "ejected": server_id in state.ejected,
            "speed": learning.predict_speed(leased.speed_model, ""),
        }
        for server_id, leased in sorted(state.servers_by_id.items())
    )
    return [Reply(message.reply_to, BackendServerList(records))]


@handle.register
def _(message: DescribePool, state: BackendServersState, now: Seconds) -> list[Effect]:
    servers = state.servers_by_id.values()
    described = PoolDescription(
        backend_servers=len(servers),
        slots=sum(leased.server.slots for leased in servers),
        running_tasks=sum(len(leased.running_by_id) for leased in servers),
        queued_jobs=sum(1 for job in state.jobs_by_id.values() if job.waiting),
        queued_tasks=sum(len(job.waiting) for job in state.jobs_by_id.values()),
    )
    return [Reply(message.reply_to, described)]


@handle.register
def _(
    message: ConfigurationChanged, state: BackendServersState, now: Seconds
) -> list[Effect]:
    state.configuration = message.configuration
    changed = apply_zones(state, now)
    for server_id in state.servers_by_id:
        refresh_server(state, server_id, now)
    reviewing.update_aging(state)
    return [*changed, *place_tasks(state, now)]


@handle.register
def _(
    message: ConfigurationConfirmed, state: BackendServersState, now: Seconds
) -> list[Effect]:
    was_recent = state.zones.is_recent(now)
    state.zones.confirm(message.version, message.confirmed_at)
    track_old_view(state, now)
    return [] if was_recent else place_tasks(state, now)


@handle.register
def _(message: StopRequested, state: BackendServersState, now: Seconds) -> list[Effect]:
    state.stopping = True
    return []


@handle.register
def _(message: Drain, state: BackendServersState, now: Seconds) -> list[Effect]:
    leased = [*state.servers_by_id.values(), *state.retired_by_lease.values()]
    running = sum(len(entry.running_by_id) for entry in leased)
    waiting = state.queued_tasks + len(state.delayed_tasks)
    return [Reply(message.reply_to, DrainState(waiting + running))]


handle.register(AnnounceBackendServer, leases.announce)
handle.register(PlacerChanged, leases.change_placer)
handle.register(WokeUp, leases.wake_up)


@handle.register
def _(message: Tick, state: BackendServersState, now: Seconds) -> list[Effect]:
    return [
        *leases.expire_leases(state, now),
        *reviewing.review(state, now),
        *place_tasks(state, now),
    ]
