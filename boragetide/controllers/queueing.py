"""Jobs that wait for slots, by class and team."""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import TypeAlias

from sortedcontainers import SortedList

from boragetide.messages import QueueTasks
from boragetide.policy import ordering
from boragetide.types import BackendServerId, ClassName, JobId, Seconds, TaskId


@dataclass(slots=True)
class QueuedJob:
    """A job with tasks that wait or run.

    Parameters
    ----------
    predicted
        Expected response time at admission, in seconds.
    waiting
        Tasks that wait for a slot as (expected size, index), the longest last.
    remaining
        Expected work of the waiting tasks, in seconds at the mean speed.
    rank
        Sort key in the queue of its team, or ``None`` while no task waits.
    delayed
        Number of tasks that wait for another attempt.
    attempts_by_index
        Number of starts of each task that was started.
    may_have_run
        Whether any task ended with an outcome other than `TaskStatus.NOT_RUN`.
    dropped
        Whether the job was removed from the pool; outcomes are then ignored.
    """

    queued: QueueTasks
    queued_at: Seconds
    predicted: Seconds = 0.0
    waiting: list[tuple[Seconds, int]] = field(default_factory=list)
    remaining: Seconds = 0.0
    rank: float | None = None
    delayed: int = 0
    server_by_running_task: dict[TaskId, BackendServerId] = field(default_factory=dict)
    attempts_by_index: dict[int, int] = field(default_factory=dict)
    may_have_run: bool = False
    dropped: bool = False


@dataclass(slots=True)
class ClassQueue:
    """Jobs of one class.

    Parameters
    ----------
    jobs_by_team
        Waiting jobs of each team as (rank, job id).
    team_heads
        First job of each team as (rank, team).
    running_by_team
        Number of slots in use by each team.
    waiting, work
        Number of waiting tasks, and their expected work in seconds at the mean speed.
    aging_rate
        See `policy.ordering.aging_rate`.
    """

    aging_rate: float
    jobs_by_team: dict[str, SortedList] = field(default_factory=dict)
    team_heads: SortedList = field(default_factory=SortedList)
    running_by_team: dict[str, int] = field(default_factory=dict)
    running: int = 0
    waiting: int = 0
    work: Seconds = 0.0


def put_job(queue: ClassQueue, job: QueuedJob) -> None:
    """Insert a job, or reposition it after its waiting tasks changed."""
    remove_job(queue, job)
    if not job.waiting or job.dropped:
        return
    job.rank = ordering.rank_job(job.remaining, job.queued_at, queue.aging_rate)
    team = job.queued.team
    jobs = queue.jobs_by_team.setdefault(team, SortedList())
    old = jobs[0][0] if jobs else None
    jobs.add((job.rank, job.queued.job_id))
    _update_head(queue, team, old)


def remove_job(queue: ClassQueue, job: QueuedJob) -> None:
    """Remove a job from the queue of its team, if it is there."""
    if job.rank is None:
        return
    team = job.queued.team
    jobs = queue.jobs_by_team[team]
    old = jobs[0][0]
    jobs.remove((job.rank, job.queued.job_id))
    job.rank = None
    _update_head(queue, team, old)
    if not jobs:
        del queue.jobs_by_team[team]


def _update_head(queue: ClassQueue, team: str, old: float | None) -> None:
    jobs = queue.jobs_by_team[team]
    new = jobs[0][0] if jobs else None
    if new == old:
        return
    if old is not None:
        queue.team_heads.remove((old, team))
    if new is not None:
        queue.team_heads.add((new, team))


def add_waiting(
    queue: ClassQueue, job: QueuedJob, sizes: Iterable[tuple[Seconds, int]]
) -> None:
    """Add waiting tasks, given as (expected size, index), to a job and its queue."""
    for size, index in sizes:
        insort(job.waiting, (size, index))
        job.remaining += size
        queue.work += size
        queue.waiting += 1
    put_job(queue, job)


def pop_waiting(queue: ClassQueue, job: QueuedJob, position: int) -> tuple[float, int]:
    """Remove a waiting task to start it; `put_job` must follow."""
    size, index = job.waiting.pop(position)
    job.remaining -= size
    queue.work -= size
    queue.waiting -= 1
    if queue.waiting == 0:
        queue.work = 0.0
    return size, index


def drop_waiting(queue: ClassQueue, job: QueuedJob) -> list[int]:
    """Remove all waiting tasks of a job and return their indexes."""
    indexes = [index for _, index in job.waiting]
    while job.waiting:
        pop_waiting(queue, job, -1)
    remove_job(queue, job)
    return indexes


def add_running(queue: ClassQueue, team: str, change: int) -> None:
    """Change the number of slots that a team of the class uses."""
    queue.running += change
    running = queue.running_by_team.get(team, 0) + change
    if running:
        queue.running_by_team[team] = running
    else:
        queue.running_by_team.pop(team, None)


def is_capped(
    queues_by_class: dict[ClassName, ClassQueue],
    caps_by_class: dict[ClassName, int],
    name: ClassName,
) -> bool:
    """Return whether a class is at its cap while a class below its cap waits."""
    if queues_by_class[name].running < caps_by_class[name]:
        return False
    return any(
        queue.waiting > 0 and queue.running < caps_by_class[other]
        for other, queue in queues_by_class.items()
        if other != name
    )


# Heap entry of `iterate_jobs`: whether the team is over its share, rank, class,
# position of the team in ``team_heads``, and position of the job in the queue of the
# team.
_HeapEntry: TypeAlias = tuple[bool, float, ClassName, int, int]


def iterate_jobs(
    queues_by_class: dict[ClassName, ClassQueue],
    caps_by_class: dict[ClassName, int],
    now: Seconds,
) -> Iterator[tuple[ClassName, JobId]]:
    """Yield waiting jobs in the order in which they are to be placed.

    A class at its cap is left out while others wait, and within a class the teams
    above their equal share come last. Between two steps of the iterator, the caller may
    change the counts of tasks but not the order of the queues. The cost of a step
    depends on the number of classes and of teams above their share, not on the number
    of jobs.

    Parameters
    ----------
    queues_by_class
        Queues to iterate over.
    caps_by_class
        Slots that each class may use while others wait.
    now
        Unix time in seconds.
    """
    heap: list[_HeapEntry] = []
    capped: list[_HeapEntry] = []
    for name, queue in queues_by_class.items():
        if queue.team_heads:
            heapq.heappush(heap, _make_entry(False, name, queue, 0, 0, now))
    while heap:
        entry = heapq.heappop(heap)
        is_over, _, name, team_position, job_position = entry
        queue = queues_by_class[name]
        if is_capped(queues_by_class, caps_by_class, name):
            capped.append(entry)
        else:
            team = queue.team_heads[team_position][1]
            jobs = queue.jobs_by_team[team]
            if (
                job_position == 0
                and not is_over
                and team_position + 1 < len(queue.team_heads)
            ):
                following = _make_entry(False, name, queue, team_position + 1, 0, now)
                heapq.heappush(heap, following)
            if not is_over and is_over_share(queue, team, caps_by_class[name]):
                heapq.heappush(heap, (True, *entry[1:]))
            else:
                if job_position + 1 < len(jobs):
                    following = _make_entry(
                        is_over, name, queue, team_position, job_position + 1, now
                    )
                    heapq.heappush(heap, following)
                yield name, jobs[job_position][1]
        if not heap:
            heap = [
                e for e in capped if not is_capped(queues_by_class, caps_by_class, e[2])
            ]
            heapq.heapify(heap)
            capped = []


def _make_entry(
    is_over: bool,
    name: ClassName,
    queue: ClassQueue,
    team_position: int,
    job_position: int,
    now: Seconds,
) -> _HeapEntry:
    jobs = queue.jobs_by_team[queue.team_heads[team_position][1]]
    rank = ordering.age_rank(jobs[job_position][0], queue.aging_rate, now)
    return is_over, rank, name, team_position, job_position


def is_over_share(queue: ClassQueue, team: str, cap: int) -> bool:
    """Return whether a team uses its equal share of the class while another waits."""
    waiting = len(queue.team_heads)
    if waiting < 2:
        return False
    share = ordering.slots_of_share(cap, 1 / waiting)
    return queue.running_by_team.get(team, 0) >= share
