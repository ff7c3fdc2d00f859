"""The pool this instance places for: leases, the queue and running tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.effects import Effect, LogEvent, Reply, Send, StartTasks
from boragetide.messages import (
    AnnounceBackendServer,
    BackendServerList,
    CancelQueued,
    ConfigurationChanged,
    DescribePool,
    LeaseGranted,
    ListBackendServers,
    PoolDescription,
    PoolSize,
    QueueTasks,
    StopRequested,
    TaskEnded,
    TaskReport,
    TasksQueued,
    TasksRefused,
    Tick,
    WokeUp,
)
from boragetide.policy import ordering, placement
from boragetide.settings import Settings
from boragetide.types import (
    Address,
    BackendServer,
    BackendServerId,
    Configuration,
    JobId,
    Seconds,
    Task,
    TaskId,
    TaskStart,
)


@dataclass(slots=True)
class LeasedServer:
    """A backend server under this instance's lease."""

    server: BackendServer
    lease: str
    renewed_at: Seconds
    running_by_id: dict[TaskId, RunningTask] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that was dispatched."""

    job_id: JobId
    index: int
    task: Task
    started_at: Seconds


@dataclass(slots=True)
class QueuedJob:
    """The tasks of a job that wait for a slot, by position; longest first."""

    queued: QueueTasks
    queued_at: Seconds
    waiting: list[int]


@dataclass(slots=True)
class BackendServersState:
    """The pool of one placer."""

    settings: Settings
    incarnation: int
    servers_by_id: dict[BackendServerId, LeasedServer] = field(default_factory=dict)
    jobs_by_id: dict[JobId, QueuedJob] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    leases: int = 0
    stopping: bool = False


@singledispatch
def handle(message: Any, state: BackendServersState, now: Seconds) -> list[Effect]:
    """Apply one message to the pool."""
    raise TypeError(f"backend servers controller cannot handle {message!r}")


@handle.register
def _(
    message: AnnounceBackendServer, state: BackendServersState, now: Seconds
) -> list[Effect]:
    server = message.server
    leased = state.servers_by_id.get(server.id)
    effects: list[Effect] = []
    if leased is None:
        state.leases += 1
        lease = f"{state.settings.id}/{state.incarnation}/{state.leases}"
        leased = LeasedServer(server, lease, now)
        state.servers_by_id[server.id] = leased
        effects.append(
            LogEvent("backend_server_joined", {"server": server.id, "lease": lease})
        )
        effects.append(_tell_pool_size(state))
    leased.server = server
    leased.renewed_at = now
    granted = LeaseGranted(
        lease=leased.lease,
        holder=state.settings.id,
        holder_address=f"http://{state.settings.own.http_address}",
        renew_every=state.settings.timing.lease_renewal,
        expires_after=state.settings.timing.lease_expiry,
    )
    return [*effects, Reply(message.reply_to, granted), *_place(state, now)]


def _tell_pool_size(state: BackendServersState) -> Effect:
    size = PoolSize(len(state.servers_by_id))
    return Send(Address(state.settings.id, "instances"), size)


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
    return [Send(jobs, TasksQueued(message.job_id)), *_place(state, now)]


def _place(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Start as many queued tasks as there are free slots, batched by server."""
    starts_by_server: dict[BackendServerId, list[TaskStart]] = {}
    effects: list[Effect] = []
    while state.jobs_by_id:
        candidates = _list_candidates(state)
        chosen = placement.choose_server(candidates)
        if chosen is None:
            break
        job = min(state.jobs_by_id.values(), key=lambda job: _rank(job, now))
        start = _start_next(job, state.servers_by_id[chosen.id], now)
        starts_by_server.setdefault(chosen.id, []).append(start)
        fields = {
            "task": start.id,
            "server": chosen.id,
            "candidates": len(candidates),
            "reason": "fastest_free",
        }
        effects.append(LogEvent("placement", fields))
        if not job.waiting:
            del state.jobs_by_id[job.queued.job_id]
    for server_id, starts in starts_by_server.items():
        leased = state.servers_by_id[server_id]
        effects.append(
            StartTasks(server_id, leased.server.address, leased.lease, tuple(starts))
        )
    return effects


def _list_candidates(state: BackendServersState) -> list[placement.Candidate]:
    return [
        placement.Candidate(
            server_id, leased.server.slots - len(leased.running_by_id), 1.0
        )
        for server_id, leased in state.servers_by_id.items()
        if not leased.server.leaving and server_id not in state.configuration.drained
    ]


def _rank(job: QueuedJob, now: Seconds) -> Seconds:
    remaining = sum(
        ordering.expected_size(job.queued.tasks[index]) for index in job.waiting
    )
    return ordering.rank_job(remaining, job.queued_at, now)


def _start_next(job: QueuedJob, leased: LeasedServer, now: Seconds) -> TaskStart:
    index = job.waiting.pop()
    task = job.queued.tasks[index]
    task_id = f"{job.queued.job_id}.{index}"
    leased.running_by_id[task_id] = RunningTask(job.queued.job_id, index, task, now)
    return TaskStart(
        id=task_id,
        job_id=job.queued.job_id,
        class_name=job.queued.class_name,
        payload=task.payload,
        timeout=task.timeout,
    )


@handle.register
def _(message: TaskReport, state: BackendServersState, now: Seconds) -> list[Effect]:
    leased = state.servers_by_id.get(message.server)
    if leased is None or leased.lease != message.lease:
        return [LogEvent("late_report", {"task": message.task_id})]
    running = leased.running_by_id.pop(message.task_id, None)
    if running is None:
        return [LogEvent("late_report", {"task": message.task_id})]
    ended = TaskEnded(running.job_id, running.index, message.outcome)
    return [Send(Address(state.settings.id, "jobs"), ended), *_place(state, now)]


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
def _(message: DescribePool, state: BackendServersState, now: Seconds) -> list[Effect]:
    servers = state.servers_by_id.values()
    described = PoolDescription(
        backend_servers=len(servers),
        slots=sum(leased.server.slots for leased in servers),
        running_tasks=sum(len(leased.running_by_id) for leased in servers),
        queued_jobs=len(state.jobs_by_id),
        queued_tasks=sum(len(job.waiting) for job in state.jobs_by_id.values()),
    )
    return [Reply(message.reply_to, described)]


@handle.register
def _(
    message: ConfigurationChanged, state: BackendServersState, now: Seconds
) -> list[Effect]:
    state.configuration = message.configuration
    return _place(state, now)


@handle.register
def _(message: StopRequested, state: BackendServersState, now: Seconds) -> list[Effect]:
    state.stopping = True
    return []


@handle.register
def _(message: WokeUp, state: BackendServersState, now: Seconds) -> list[Effect]:
    """Drop the queue and every lease; backend servers announce themselves again."""
    state.jobs_by_id.clear()
    state.servers_by_id.clear()
    return [_tell_pool_size(state)]


@handle.register
def _(message: Tick, state: BackendServersState, now: Seconds) -> list[Effect]:
    expiry = state.settings.timing.lease_expiry
    effects: list[Effect] = []
    for server_id, leased in list(state.servers_by_id.items()):
        if now - leased.renewed_at > expiry and not leased.running_by_id:
            del state.servers_by_id[server_id]
            effects.append(LogEvent("backend_server_lost", {"server": server_id}))
            effects.append(_tell_pool_size(state))
    return effects
