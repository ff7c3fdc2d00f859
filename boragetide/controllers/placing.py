"""Placement of queued tasks on free slots of the pool."""

from __future__ import annotations

import heapq
from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import islice

from boragetide.controllers.pool import (
    BackendServersState,
    LeasedServer,
    RunningTask,
    find_target,
    is_available,
    refresh_server,
)
from boragetide.controllers.queueing import (
    QueuedJob,
    add_running,
    is_capped,
    is_over_share,
    iterate_jobs,
    pop_waiting,
    put_job,
)
from boragetide.effects import Effect, LogEvent, StartTasks
from boragetide.policy import learning, ordering, placement, retries
from boragetide.policy.zones import find_obstacle
from boragetide.types import BackendServerId, ClassName, Seconds, TaskStart

# Limits of one placement round: free servers compared for a task, expected slot
# releases, and tasks held back for a faster server before later tasks may take the free
# slots.
MAX_COMPARED_SERVERS = 4
MAX_COMPARED_RELEASES = 32
MAX_HELD_TASKS = 12

# Jobs skipped in one round because no free server has the cores or the memory.
MAX_UNPLACEABLE_JOBS = 256

# The placer waits this long for a result after the timeout of a task, which the backend
# server itself enforces. The margin is longer than the 2 s after that timeout at which
# the client of the dispatch call gives up.
RESULT_TIMEOUT_MARGIN: Seconds = 3.0
DISPATCH_OVERHEAD: Seconds = 0.001


@dataclass(slots=True)
class _PlacementRound:
    """State of one placement round over the queue.

    Parameters
    ----------
    complete
        Whether the round needs no further iteration over the queue. An iteration that
        brings a class or team to its share is followed by another one.
    releases
        Expected releases, with speeds for the class that first needed them.
    compared_by_class
        Fastest free servers; cleared when a server has no free slot left.
    held
        Number of tasks held back for a faster server.
    unplaceable_jobs
        Number of jobs skipped because no free server fits one of their tasks.
    """

    now: Seconds
    complete: bool = False
    releases: list[placement.ExpectedRelease] | None = None
    compared_by_class: dict[ClassName, list[placement.FreeServer]] = field(
        default_factory=dict
    )
    held: int = 0
    unplaceable_jobs: int = 0
    calls_by_server: dict[BackendServerId, int] = field(default_factory=dict)
    starts_by_server: dict[BackendServerId, list[TaskStart]] = field(
        default_factory=dict
    )
    effects: list[Effect] = field(default_factory=list)


def place_tasks(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Start as many queued tasks as there are useful free slots, batched by server."""
    if find_obstacle(state.settings.zone, state.zones, now) is not None:
        return []
    placement_round = _PlacementRound(now)
    while state.free_servers and state.queued_tasks and not placement_round.complete:
        placement_round.complete = True
        _offer_free_slots(state, placement_round)
    if not placement_round.starts_by_server:
        return []
    started = sum(map(len, placement_round.starts_by_server.values()))
    retries.record(state.retry_budget, now, started, 0)
    for server_id, starts in placement_round.starts_by_server.items():
        refresh_server(state, server_id, now)
        leased = state.servers_by_id[server_id]
        placement_round.effects.append(
            StartTasks(server_id, leased.server.address, leased.lease, tuple(starts))
        )
    return placement_round.effects


def _offer_free_slots(
    state: BackendServersState, placement_round: _PlacementRound
) -> None:
    """Offer the free slots to the waiting jobs in queue order."""
    queues_by_class = state.queues_by_class
    caps_by_class = {
        name: ordering.slots_of_share(
            state.total_slots, find_target(state, name).busy_share
        )
        for name in queues_by_class
    }
    changed_jobs = []
    for _, job_id in iterate_jobs(queues_by_class, caps_by_class, placement_round.now):
        job = state.jobs_by_id[job_id]
        if _place_job(state, job, placement_round, caps_by_class):
            changed_jobs.append(job)
        if (
            not state.free_servers
            or not placement_round.complete
            or placement_round.held > MAX_HELD_TASKS
        ):
            break
        if placement_round.unplaceable_jobs >= MAX_UNPLACEABLE_JOBS:
            break
    for job in changed_jobs:
        put_job(queues_by_class[job.queued.class_name], job)


def _place_job(
    state: BackendServersState,
    job: QueuedJob,
    placement_round: _PlacementRound,
    caps_by_class: dict[ClassName, int],
) -> int:
    """Start tasks of a job, longest first, and hold back those that gain by waiting.

    Returns
    -------
    int
        Number of tasks started. If the class or the team reaches its share, placement
        stops early and the round is marked as not complete.
    """
    class_name = job.queued.class_name
    queue = state.queues_by_class[class_name]
    started = 0
    position = len(job.waiting) - 1
    while position >= 0 and state.free_servers:
        size, index = job.waiting[position]
        leased, reason = _choose(state, job, size, index, placement_round)
        if leased is not None:
            pop_waiting(queue, job, position)
            _start(state, job, index, size, leased, reason, placement_round)
            started += 1
            if is_over_share(
                queue, job.queued.team, caps_by_class[class_name]
            ) or is_capped(state.queues_by_class, caps_by_class, class_name):
                placement_round.complete = False
                break
        elif reason == "no_fitting_server":
            placement_round.unplaceable_jobs += 1
            break
        else:
            placement_round.held += 1
            if placement_round.held > MAX_HELD_TASKS:
                break
            if placement_round.held == MAX_HELD_TASKS:
                position = _skip_held(state, job, class_name, position, placement_round)
                continue
        position -= 1
    return started


def _skip_held(
    state: BackendServersState,
    job: QueuedJob,
    class_name: ClassName,
    position: int,
    placement_round: _PlacementRound,
) -> int:
    """Return the position of the longest task that is worth starting on a free slot.

    If every task would end earlier on a faster server, this is the shortest task.
    """
    free = _compare_free(state, class_name)
    speed = placement.choose_server(free).speed
    limit = placement.max_size_without_waiting(speed, placement_round.releases or [])
    suitable = bisect_right(job.waiting, (limit, -1)) - 1
    return max(0, min(position - 1, suitable))


def _compare_free(
    state: BackendServersState, class_name: ClassName
) -> list[placement.FreeServer]:
    """Return the free servers with the highest speeds."""
    return [
        placement.FreeServer(
            server_id,
            learning.predict_speed(
                state.servers_by_id[server_id].speed_model, class_name
            ),
        )
        for _, server_id in islice(state.free_servers, MAX_COMPARED_SERVERS)
    ]


def _choose(
    state: BackendServersState,
    job: QueuedJob,
    size: Seconds,
    index: int,
    placement_round: _PlacementRound,
) -> tuple[LeasedServer | None, str]:
    """Return the server for a task, or ``None`` to hold the task, and the reason."""
    task = job.queued.tasks[index]
    class_name = job.queued.class_name
    if task.cores or task.memory:
        candidates = _list_fitting(state, class_name, task.cores, task.memory)
    else:
        candidates = placement_round.compared_by_class.get(class_name)
        if candidates is None:
            candidates = _compare_free(state, class_name)
            placement_round.compared_by_class[class_name] = candidates
    if not candidates:
        return None, "no_fitting_server"
    chosen = placement.choose_server(candidates)
    leased = state.servers_by_id[chosen.id]
    if leased.health.limit < leased.server.slots:
        return leased, "probe"
    if placement_round.held >= MAX_HELD_TASKS:
        drain_time = (
            sum(q.work for q in state.queues_by_class.values()) / state.total_speed
        )
        if placement.fits_drain_time(size, chosen.speed, drain_time):
            return leased, "long_queue"
        return None, "slower_than_queue"
    if -state.available_servers[0][0] <= chosen.speed:
        return leased, "fastest"
    if placement_round.releases is None:
        placement_round.releases = _list_releases(
            state, class_name, placement_round.now
        )
    release = placement.find_faster_release(
        size, chosen.speed, placement_round.releases
    )
    if release is None:
        return leased, "earliest_end"
    release.reserved = True
    return None, "faster_server_soon"


def _list_fitting(
    state: BackendServersState, class_name: ClassName, cores: float, memory: int
) -> list[placement.FreeServer]:
    """Return the free servers with enough cores and memory for a task."""
    return [
        placement.FreeServer(
            server_id, learning.predict_speed(leased.speed_model, class_name)
        )
        for _, server_id in state.free_servers
        if (leased := state.servers_by_id[server_id]).used_cores + cores
        <= leased.server.cores
        and leased.used_memory + memory <= leased.server.memory
    ]


def _list_releases(
    state: BackendServersState, class_name: ClassName, now: Seconds
) -> list[placement.ExpectedRelease]:
    """Return the next expected releases of slots, the earliest first."""
    releases = []
    for expected_end, server_id, task_id in islice(
        state.expected_releases, MAX_COMPARED_RELEASES
    ):
        leased = state.servers_by_id.get(server_id)
        if leased is None or not is_available(state, leased):
            continue
        running = leased.running_by_id.get(task_id)
        if running is None:
            continue
        wait = placement.expected_wait(expected_end, running.started_at, now)
        speed = learning.predict_speed(leased.speed_model, class_name)
        releases.append(placement.ExpectedRelease(wait, speed))
    releases.sort(key=lambda release: release.wait)
    return releases


def _start(
    state: BackendServersState,
    job: QueuedJob,
    index: int,
    size: Seconds,
    leased: LeasedServer,
    reason: str,
    placement_round: _PlacementRound,
) -> None:
    queued, server_id, now = job.queued, leased.server.id, placement_round.now
    task = queued.tasks[index]
    attempt = job.attempts_by_index.get(index, 0) + 1
    job.attempts_by_index[index] = attempt
    task_id = f"{queued.job_id}.{index}"
    if attempt > 1:
        task_id = f"{task_id}~{attempt}"
    if server_id not in placement_round.starts_by_server:
        state.call_count += 1
        placement_round.starts_by_server[server_id] = []
        placement_round.calls_by_server[server_id] = state.call_count
        leased.tasks_by_call[state.call_count] = 0
    call = placement_round.calls_by_server[server_id]
    leased.tasks_by_call[call] += 1
    model = state.size_models_by_class[queued.class_name]
    speed = learning.predict_speed(leased.speed_model, queued.class_name)
    running = RunningTask(
        id=task_id,
        job=job,
        index=index,
        task=task,
        started_at=now,
        size=size,
        log_size=learning.predict_log_size(model, task.size),
        expected_end=now + size / speed + DISPATCH_OVERHEAD,
        call=call,
        probe=reason == "probe",
    )
    leased.running_by_id[task_id] = running
    job.server_by_running_task[task_id] = server_id
    leased.used_cores += task.cores
    leased.used_memory += task.memory
    add_running(state.queues_by_class[queued.class_name], queued.team, 1)
    state.queued_tasks -= 1
    state.running_work += size
    state.expected_releases.add((running.expected_end, server_id, task_id))
    deadline = now + task.timeout + RESULT_TIMEOUT_MARGIN
    heapq.heappush(state.deadlines, (deadline, call, server_id, task_id))
    placement_round.starts_by_server[server_id].append(
        TaskStart(task_id, queued.job_id, queued.class_name, task.payload, task.timeout)
    )
    fields = {
        "task": task_id,
        "server": server_id,
        "candidates": len(state.free_servers),
        "reason": reason,
    }
    placement_round.effects.append(LogEvent("placement", fields))
    if len(leased.running_by_id) >= min(leased.server.slots, leased.health.limit):
        refresh_server(state, server_id, now)
        placement_round.compared_by_class.clear()
