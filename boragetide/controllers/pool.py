"""State of the pool that this instance places for, and the indexes of its servers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from boragetide.controllers.queueing import ClassQueue, QueuedJob
from boragetide.policy.admission import Margin
from boragetide.policy.ejection import ServerHealth, Tally, start_probing
from boragetide.policy.learning import SizeModel, SpeedModel, predict_speed
from boragetide.policy.retries import RetryBudget
from boragetide.policy.zones import ZoneView, has_returned_recently
from boragetide.settings import Settings
from boragetide.types import (
    BackendServer,
    BackendServerId,
    ClassName,
    ClassTarget,
    Configuration,
    InstanceId,
    JobId,
    Seconds,
    Task,
    TaskId,
    ZoneId,
)

# A learned speed is updated in the indexes only if it changed by at least this share.
INDEXED_SPEED_STEP = 0.03


@dataclass(slots=True)
class RunningTask:
    """A task that was dispatched.

    Parameters
    ----------
    size
        Expected work in seconds at the mean speed of the pool.
    log_size
        Expected logarithm of the work, from the size model of the class.
    expected_end
        Unix time at which the task is expected to end; postponed while the task
        overruns it.
    call
        Number of the dispatch call that holds a connection for the task.
    probe
        Whether the task tests a server that was ejected.
    overruns, learned_log_speed
        Number of doublings of its expected time that the task has exceeded, and the
        logarithm of the speed that the speed model learned from the last one.
    """

    id: TaskId
    job: QueuedJob
    index: int
    task: Task
    started_at: Seconds
    size: Seconds
    log_size: float
    expected_end: Seconds
    call: int
    probe: bool = False
    overruns: int = 0
    learned_log_speed: float | None = None


@dataclass(slots=True)
class LeasedServer:
    """A backend server under this instance's lease.

    Parameters
    ----------
    running_by_id
        Tasks that hold a slot: they have not been reported as ended and are not
        overdue.
    tasks_by_call
        Number of running tasks of each dispatch call. Each call holds a connection.
    confirmed
        Whether the backend server knows the lease; it refuses dispatches until then.
    tasks_end_by
        Unix time at which tasks that still run under a lost lease end as unknown;
        ``None`` if their own timeouts bound them.
    indexed_speed, indexed_slots, indexed_free
        Values of this server in the indexes and totals of the pool.
    """

    server: BackendServer
    lease: str
    renewed_at: Seconds
    running_by_id: dict[TaskId, RunningTask] = field(default_factory=dict)
    tasks_by_call: dict[int, int] = field(default_factory=dict)
    speed_model: SpeedModel = field(default_factory=SpeedModel)
    health: ServerHealth = field(default_factory=ServerHealth)
    used_cores: float = 0.0
    used_memory: int = 0
    confirmed: bool = False
    tasks_end_by: Seconds | None = None
    indexed_speed: float = 0.0
    indexed_slots: int = 0
    indexed_free: tuple[float, BackendServerId] | None = None


@dataclass(slots=True)
class BackendServersState:
    """State of the backend servers controller: the pool of one placer.

    Parameters
    ----------
    retired_by_lease
        Leases that take no new task and under which tasks still run.
    free_servers
        Servers that may take a task now, as (negative speed, id).
    available_servers
        Available servers as (negative speed, id).
    ejected
        Servers that wait for their next probe.
    expected_releases
        Running tasks as (expected end, server, task).
    deadlines
        Running tasks as (time at which they are overdue, call, server, task); a heap
        from which ended tasks are dropped lazily.
    delayed_tasks
        Tasks that wait for another attempt, as a heap of (time, number, job, index).
    jobs_needing_resources
        Jobs with tasks that need cores or memory.
    total_slots, total_speed
        Totals over the available servers; the speed is summed over all slots.
    running_work
        Expected work of all running tasks, in seconds at the mean speed.
    unavailable_since
        Unix time since which the pool has had no available server.
    placer, role_lost_at
        Instance that places for this zone, and the Unix time at which this instance
        lost that role, if it had it.
    zones
        What this instance knows of the evacuated zones.
    old_view_since
        Time since which this pool has seen that view as too old for starts, if it is.
    returned_at_by_zone
        Time at which this instance learned that a zone has returned to service.
    """

    settings: Settings
    incarnation: int
    servers_by_id: dict[BackendServerId, LeasedServer] = field(default_factory=dict)
    retired_by_lease: dict[str, LeasedServer] = field(default_factory=dict)
    jobs_by_id: dict[JobId, QueuedJob] = field(default_factory=dict)
    queues_by_class: dict[ClassName, ClassQueue] = field(default_factory=dict)
    size_models_by_class: dict[ClassName, SizeModel] = field(default_factory=dict)
    margins_by_class: dict[ClassName, Margin] = field(default_factory=dict)
    tallies_by_class: dict[ClassName, Tally] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    free_servers: SortedList = field(default_factory=SortedList)
    available_servers: SortedList = field(default_factory=SortedList)
    ejected: set[BackendServerId] = field(default_factory=set)
    expected_releases: SortedList = field(default_factory=SortedList)
    deadlines: list[tuple[Seconds, int, BackendServerId, TaskId]] = field(
        default_factory=list
    )
    delayed_tasks: list[tuple[Seconds, int, QueuedJob, int]] = field(
        default_factory=list
    )
    jobs_needing_resources: set[JobId] = field(default_factory=set)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    jitter: random.Random = field(default_factory=random.Random)
    total_slots: int = 0
    total_speed: float = 0.0
    running_work: Seconds = 0.0
    queued_tasks: int = 0
    unavailable_since: Seconds | None = None
    next_review: Seconds = 0.0
    call_count: int = 0
    retries: int = 0
    lease_count: int = 0
    placer: InstanceId | None = None
    role_lost_at: Seconds | None = None
    stopping: bool = False
    zones: ZoneView = field(init=False)
    old_view_since: Seconds | None = None
    returned_at_by_zone: dict[ZoneId, Seconds] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.zones = ZoneView(enabled=self.settings.evacuation)


def is_evacuated(state: BackendServersState, leased: LeasedServer) -> bool:
    """Return whether the zone of a server is evacuated."""
    return leased.server.zone in state.zones.evacuated


def is_available(state: BackendServersState, leased: LeasedServer) -> bool:
    """Return whether a server may take tasks, regardless of its load."""
    server = leased.server
    return (
        leased.confirmed
        and not server.leaving
        and server.id not in state.configuration.drained
        and not is_evacuated(state, leased)
        and leased.health.limit > 0
    )


def grant_lease(
    state: BackendServersState, server: BackendServer, now: Seconds
) -> LeasedServer:
    """Put a backend server under a new lease."""
    state.lease_count += 1
    lease = f"{state.settings.id}/{state.incarnation}/{state.lease_count}"
    leased = state.servers_by_id[server.id] = LeasedServer(server, lease, now)
    if has_returned_recently(state.returned_at_by_zone.get(server.zone), now):
        start_probing(leased.health)
    return leased


def find_running(
    state: BackendServersState, server_id: BackendServerId, task_id: TaskId
) -> tuple[LeasedServer, RunningTask] | None:
    """Return a running task with the lease, current or retired, that it runs under."""
    for leased in (
        state.servers_by_id.get(server_id),
        *state.retired_by_lease.values(),
    ):
        if leased is None or leased.server.id != server_id:
            continue
        running = leased.running_by_id.get(task_id)
        if running is not None:
            return leased, running
    return None


def has_free_slot(leased: LeasedServer) -> bool:
    """Return whether a slot and a connection are free."""
    return (
        len(leased.running_by_id) < min(leased.server.slots, leased.health.limit)
        and len(leased.tasks_by_call) < leased.server.connections
    )


def refresh_server(
    state: BackendServersState, server_id: BackendServerId, now: Seconds
) -> None:
    """Update the indexes after a server changed, joined or left."""
    leased = state.servers_by_id.get(server_id)
    if leased is None:
        return
    available = is_available(state, leased)
    speed, slots = 0.0, 0
    if available:
        speed = predict_speed(leased.speed_model, "")
        slots = leased.server.slots
        if abs(speed - leased.indexed_speed) < INDEXED_SPEED_STEP * speed:
            speed = leased.indexed_speed
    if (speed, slots) != (leased.indexed_speed, leased.indexed_slots):
        _index_speed(state, leased, speed, slots)
    free = (-speed, server_id) if available and has_free_slot(leased) else None
    if free != leased.indexed_free:
        if leased.indexed_free is not None:
            state.free_servers.discard(leased.indexed_free)
        if free is not None:
            state.free_servers.add(free)
        leased.indexed_free = free
    if state.total_slots:
        state.unavailable_since = None
    elif state.unavailable_since is None:
        state.unavailable_since = now


def _index_speed(
    state: BackendServersState, leased: LeasedServer, speed: float, slots: int
) -> None:
    server_id = leased.server.id
    if leased.indexed_slots:
        state.available_servers.discard((-leased.indexed_speed, server_id))
        state.total_slots -= leased.indexed_slots
        state.total_speed -= leased.indexed_slots * leased.indexed_speed
    if slots:
        state.available_servers.add((-speed, server_id))
        state.total_slots += slots
        state.total_speed += slots * speed
    leased.indexed_speed, leased.indexed_slots = speed, slots


def remove_server(
    state: BackendServersState, server_id: BackendServerId, now: Seconds
) -> LeasedServer | None:
    """Remove a server and its index entries without ending its running tasks."""
    leased = state.servers_by_id.pop(server_id, None)
    if leased is None:
        return None
    if leased.indexed_free is not None:
        state.free_servers.discard(leased.indexed_free)
        leased.indexed_free = None
    _index_speed(state, leased, 0.0, 0)
    state.ejected.discard(server_id)
    if not state.total_slots and state.unavailable_since is None:
        state.unavailable_since = now
    return leased


def clear_pool(state: BackendServersState, now: Seconds) -> None:
    """Drop the queue and all leases, but keep the learned sizes."""
    for server_id in list(state.servers_by_id):
        remove_server(state, server_id, now)
    for job in state.jobs_by_id.values():
        job.dropped = True
    state.retired_by_lease.clear()
    state.jobs_by_id.clear()
    state.queues_by_class.clear()
    state.expected_releases.clear()
    state.deadlines.clear()
    state.delayed_tasks.clear()
    state.jobs_needing_resources.clear()
    state.running_work = 0.0
    state.queued_tasks = 0


def find_target(state: BackendServersState, class_name: ClassName) -> ClassTarget:
    """Return the target of a class; an unknown class has the default target."""
    target = state.configuration.classes_by_name.get(class_name)
    return target if target is not None else ClassTarget(class_name)
