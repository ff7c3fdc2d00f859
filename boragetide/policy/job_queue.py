"""Queue of the durable jobs that have tasks to start, in scheduling order.

The order is designed for bursts in which not all jobs can be in time: one large job
that goes first would make many small ones late.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import reduce
from heapq import heappop, heappush

from sortedcontainers import SortedList

from boragetide.durable import DurableJob, Resources, Step
from boragetide.policy.demand_list import DemandList, Entry
from boragetide.policy.look_ahead import LOOK_AHEAD, Demand, LookAhead
from boragetide.policy.queue_order import (
    PriorityLevels,
    find_declared_work,
    find_given_up,
    rank_by_latest_start,
    rank_by_priority,
    rank_late_begun,
)
from boragetide.policy.room_index import StepSet
from boragetide.policy.scheduling import expires_at, latest_start
from boragetide.policy.waiting_tasks import WaitingTasks
from boragetide.settings import JobOrder
from boragetide.types import ClassName, JobId, Seconds

# Weight of a new job in the moving mean of the work of its class.
MEAN_WORK_GAIN = 0.02
# Groups of tasks that have gone may be one in this many of those that a job is listed
# by.
MAX_KEPT_SHARE = 16


@dataclass(slots=True)
class WaitingJob:
    """A queued job with those of its tasks that may start now.

    Parameters
    ----------
    tasks
        The tasks.
    steps
        A step for each group of them; also those of groups that are gone for a while,
        if there are many.
    demand, least_needs
        What the job is listed by, and the least resources that any of its tasks needs.
    lane, entry
        Where the job is queued now.
    relative_work
        Declared work of the job relative to the mean of its class.
    given_up
        Part of its slack that the job gives up to classes of higher priority.
    has_started
        Whether a task of the job was started or has ended.
    leaves_at
        Time at which the job leaves its lane (see `JobQueue.moves`).
    is_held_by_limit
        Whether the tasks wait only because each backend server with room has as many of
        their step as it may run.
    next_position
        Position of the step at which the next pass begins, if there are too many groups
        to look at in one pass.
    times_overtaken
        Number of passes in which a less urgent job with smaller needs was started. Only
        counted by placement that looks ahead.
    """

    job: DurableJob
    tasks: WaitingTasks
    steps: StepSet
    demand: Demand
    least_needs: Resources
    lane: Lane
    entry: Entry
    latest_start: Seconds
    expires_at: Seconds
    relative_work: float
    given_up: Seconds
    has_started: bool
    leaves_at: Seconds
    is_held_by_limit: bool = False
    next_position: int = 0
    times_overtaken: int = 0

    def find_slack(self, now: Seconds) -> Seconds | None:
        """Return how much later the job can start and be in time; none if it cannot."""
        return self.latest_start - now if now < self.latest_start else None

    @property
    def is_ranked_by_time(self) -> bool:
        """Whether the rank is a time and not what is left of a late job."""
        return self.entry[0] > 0

    def find_remaining_share(self) -> float:
        """Return the share of the job's declared work that waits to be started."""
        total = find_declared_work(self.job)
        return self.tasks.work / total if total > 0 else 1.0

    def describe_order(self, now: Seconds) -> dict[str, float | bool]:
        """Return the fields of a log line that tell why the job is where it is.

        A late job is ranked by its latest start, or by what is left of it.
        """
        rank = self.entry[0] if self.is_ranked_by_time else self.latest_start
        return {
            "rank": rank - now,
            "priority": self.job.starts.priority,
            "given_up": self.given_up,
            "begun": self.has_started,
            "left": self.find_remaining_share() if self.has_started else 1.0,
        }


class Lane:
    """Queued jobs that are as late as each other, in order and by their demand.

    Demands are found by the labels that backend servers have, so that labels that none
    has cost nothing.
    """

    def __init__(self) -> None:
        self.entries: SortedList = SortedList()
        self.lists_by_demand: dict[Demand, DemandList] = {}
        self.demands_by_label: dict[str, dict[Demand, None]] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self.entries)

    def add(self, waiting: WaitingJob) -> None:
        """Insert a job with its entry."""
        self.entries.add(waiting.entry)
        demands = self.lists_by_demand.get(waiting.demand)
        if demands is None:
            demands = self.lists_by_demand[waiting.demand] = DemandList()
            for label in waiting.demand.labels:
                self.demands_by_label.setdefault(label, {})[waiting.demand] = None
        demands.add(waiting.entry, waiting.least_needs)

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job that was inserted with its entry."""
        self.entries.remove(waiting.entry)
        demands = self.lists_by_demand[waiting.demand]
        demands.remove(waiting.entry)
        if not demands:
            del self.lists_by_demand[waiting.demand]
            self._remove_from_labels(waiting.demand)

    def _remove_from_labels(self, demand: Demand) -> None:
        for label in demand.labels:
            demands = self.demands_by_label[label]
            del demands[demand]
            if not demands:
                del self.demands_by_label[label]

    def clear(self) -> None:
        """Remove all jobs."""
        self.entries.clear()
        self.lists_by_demand.clear()
        self.demands_by_label.clear()

    def find_demands(self, labels: Iterable[str]) -> list[Demand]:
        """Return the demands of the jobs that require one of the labels."""
        found: dict[Demand, None] = {}
        for label in labels:
            found |= self.demands_by_label.get(label, {})
        return list(found)

    def find_least_millicores(self, labels: Iterable[str]) -> float:
        """Return a number of millicores that each job with such a label needs."""
        lists = [self.lists_by_demand[each] for each in self.find_demands(labels)]
        return min((each.find_least_millicores() for each in lists), default=math.inf)

    def iterate(self, after: Entry | None, look_ahead: LookAhead) -> Iterator[Entry]:
        """Yield in order the jobs that may run on the kinds of servers that are open.

        A job may be removed once it was yielded.

        Parameters
        ----------
        after
            Entry after which to begin, or ``None`` for the beginning.
        """
        found = self.find_demands(look_ahead.list_labels())
        lists = [(demand, self.lists_by_demand[demand]) for demand in found]
        heads: list[tuple[Entry, int]] = []

        def push_next(number: int, after: Entry | None) -> None:
            demand, demands = lists[number]
            capacities = look_ahead.list_capacities(demand)
            head = demands.find_next(after, capacities) if capacities else None
            if head is not None:
                heappush(heads, (head, number))

        for number in range(len(lists)):
            push_next(number, after)
        while heads:
            entry, number = heappop(heads)
            yield entry
            push_next(number, entry)


@dataclass(slots=True)
class JobQueue:
    """Queued jobs, by the time at which they must start to be in time and by size.

    Parameters
    ----------
    in_time
        Jobs that can still be in time, sorted by rank.
    late, expired
        Jobs that are late, and jobs whose result is by now of little use to their
        callers, sorted by latest start; in the order by priority, late jobs that have
        begun come first.
    moves
        Jobs by the time at which they leave their lane. In the order by latest start,
        only those in time: a late job leaves once all earlier ones have left.
    mean_work_by_class
        Mean declared work of a job of each class, in seconds of one thousandth of a
        core.
    order
        Rule by which the jobs in time are ranked.
    levels
        Priorities of the classes of which jobs were queued.
    """

    order: JobOrder = JobOrder.LATEST_START
    waiting_by_id: dict[JobId, WaitingJob] = field(default_factory=dict)
    in_time: Lane = field(default_factory=Lane)
    moves: SortedList = field(default_factory=SortedList)
    late: Lane = field(default_factory=Lane)
    expired: Lane = field(default_factory=Lane)
    mean_work_by_class: dict[ClassName, float] = field(default_factory=dict)
    levels: PriorityLevels = field(default_factory=PriorityLevels)

    def put(
        self, job: DurableJob, numbers: Iterable[int], *, has_started: bool = False
    ) -> None:
        """Replace the waiting tasks of a job; without tasks the job is removed.

        Parameters
        ----------
        numbers
            Numbers of the tasks.
        has_started
            Whether a task of the job was started or has ended.
        """
        waiting = self.waiting_by_id.get(job.id)
        tasks = WaitingTasks(job, numbers)
        if not tasks:
            self.remove(job.id)
        elif waiting is not None:
            waiting.tasks = tasks
            self._record_change(waiting, has_started)
        else:
            self._add(job, tasks, has_started)

    def update(
        self,
        job: DurableJob,
        added: Iterable[int],
        removed: Iterable[int],
        *,
        has_started: bool = False,
    ) -> None:
        """Change the waiting tasks of a job, which is queued if it has any.

        Parameters
        ----------
        added, removed
            Numbers of tasks.
        has_started
            As for `put`.
        """
        waiting = self.waiting_by_id.get(job.id)
        if waiting is None:
            self.put(job, added, has_started=has_started)
            return
        for number in removed:
            waiting.tasks.discard(number)
        for number in added:
            waiting.tasks.add(number)
        self._record_change(waiting, has_started)

    def finish_pass(self, waiting: WaitingJob, *, has_started: bool) -> None:
        """Record that the tasks of a job were looked at and some may have started."""
        self._record_change(waiting, has_started)

    def _record_change(self, waiting: WaitingJob, has_started: bool) -> None:
        if not waiting.tasks:
            self.remove(waiting.job.id)
            return
        waiting.is_held_by_limit = False
        _update_steps(waiting)
        waiting.has_started |= has_started
        if self.order is JobOrder.PRIORITY and waiting.has_started:
            self._update_rank(waiting)

    def _add(self, job: DurableJob, tasks: WaitingTasks, has_started: bool) -> None:
        steps = _list_steps(tasks)
        relative_work = self._relative_work(job)
        starts_by = latest_start(job)
        given_up = 0.0
        if self.order is JobOrder.PRIORITY:
            level = self.levels.find_level(job.class_name, job.starts.priority)
            given_up = find_given_up(level, starts_by - job.submitted_at)
        waiting = WaitingJob(
            job=job,
            tasks=tasks,
            steps=StepSet(steps),
            demand=_make_demand(job, steps),
            least_needs=_find_least_needs(steps),
            lane=self.in_time,
            entry=(starts_by, job.id),
            latest_start=starts_by,
            expires_at=expires_at(job),
            relative_work=relative_work,
            given_up=given_up,
            has_started=has_started,
            leaves_at=starts_by,
        )
        waiting.entry = (self._rank(waiting), job.id)
        self.waiting_by_id[job.id] = waiting
        self.in_time.add(waiting)
        self.moves.add((waiting.leaves_at, job.id))

    def _rank(self, waiting: WaitingJob) -> Seconds:
        """Return the rank of a job among those in time."""
        if self.order is JobOrder.LATEST_START:
            return rank_by_latest_start(waiting.latest_start, waiting.relative_work)
        return rank_by_priority(
            waiting.latest_start,
            waiting.relative_work,
            waiting.given_up,
            waiting.find_remaining_share() if waiting.has_started else None,
        )

    def _rank_late(self, waiting: WaitingJob) -> Seconds:
        """Return the rank of a job among the late ones."""
        if self.order is JobOrder.LATEST_START or not waiting.has_started:
            return waiting.latest_start
        return rank_late_begun(waiting.find_remaining_share())

    def _update_rank(self, waiting: WaitingJob) -> None:
        """Rank a job that has begun by the tasks that still wait."""
        if waiting.lane is self.expired:
            return
        is_late = waiting.lane is self.late
        rank = self._rank_late(waiting) if is_late else self._rank(waiting)
        if rank != waiting.entry[0]:
            _move(waiting, waiting.lane, (rank, waiting.job.id))

    def _relative_work(self, job: DurableJob) -> float:
        """Update the mean work of a class, and return the work of a job relative to it.

        The work is the declared one.
        """
        work = find_declared_work(job)
        mean = self.mean_work_by_class.get(job.class_name, work)
        mean += MEAN_WORK_GAIN * (work - mean)
        self.mean_work_by_class[job.class_name] = mean
        return work / mean if mean > 0 else 1.0

    def remove(self, job_id: JobId) -> None:
        """Remove a job if it is queued."""
        waiting = self.waiting_by_id.pop(job_id, None)
        if waiting is not None:
            waiting.lane.remove(waiting)
            self.moves.discard((waiting.leaves_at, job_id))

    def clear(self) -> None:
        """Remove all jobs, and forget the priorities of their classes."""
        self.levels = PriorityLevels()
        self.waiting_by_id.clear()
        for jobs in (self.in_time, self.moves, self.late, self.expired):
            jobs.clear()

    def iterate(self, now: Seconds, look_ahead: LookAhead) -> Iterator[WaitingJob]:
        """Yield the jobs to consider now, in scheduling order.

        The tasks that the caller starts have left the job when the next one is asked
        for.
        """
        self._update_lateness(now)
        lanes = (self.in_time, self.late, self.expired)
        examined: list[WaitingJob] = []
        for lane in lanes:
            for entry in list(lane.entries.islice(0, LOOK_AHEAD - len(examined))):
                waiting = self.waiting_by_id.get(entry[1])
                if waiting is not None:
                    examined.append(waiting)
                    # The job may move when its tasks are started.
                    last_lane, after = lane, entry
                    yield waiting
        if len(examined) == LOOK_AHEAD:
            yield from self._iterate_further(examined, last_lane, after, look_ahead)

    def _iterate_further(
        self,
        examined: list[WaitingJob],
        last_lane: Lane,
        after: Entry | None,
        look_ahead: LookAhead,
    ) -> Iterator[WaitingJob]:
        """Yield the jobs to consider after the first ones.

        Parameters
        ----------
        last_lane, after
            Lane and entry of the last job that was examined.
        """
        lanes = [self.in_time, self.late, self.expired]
        lanes = lanes[lanes.index(last_lane) :]
        labels = look_ahead.list_labels()
        look_ahead.open_kinds(min(lane.find_least_millicores(labels) for lane in lanes))
        if not look_ahead.has_open_kinds():
            return
        look_ahead.record_all(
            (waiting.demand, waiting.steps)
            for waiting in examined
            if not waiting.is_held_by_limit
        )
        if not look_ahead.has_open_kinds():
            return
        for lane in lanes:
            for _, job_id in lane.iterate(after, look_ahead):
                waiting = self.waiting_by_id.get(job_id)
                if waiting is None:
                    continue
                rooms = look_ahead.find_rooms(waiting.demand, waiting.steps)
                if not rooms:
                    continue
                yield waiting
                if not waiting.is_held_by_limit:
                    look_ahead.record(rooms)
            after = None

    def list_expired(self, now: Seconds) -> list[WaitingJob]:
        """Return the jobs that are too late to be of use; they stay queued."""
        self._update_lateness(now)
        return [self.waiting_by_id[job_id] for _, job_id in self.expired]

    def _update_lateness(self, now: Seconds) -> None:
        while self.moves and self.moves[0][0] < now:
            _, job_id = self.moves.pop(0)
            waiting = self.waiting_by_id[job_id]
            is_late = waiting.leaves_at < waiting.expires_at
            lane = self.late if is_late else self.expired
            rank = self._rank_late(waiting) if is_late else waiting.latest_start
            _move(waiting, lane, (rank, job_id))
            if is_late and self.order is JobOrder.PRIORITY:
                waiting.leaves_at = waiting.expires_at
                self.moves.add((waiting.leaves_at, job_id))
        if self.order is JobOrder.PRIORITY:
            return
        while self.late.entries and self._is_expired(self.late.entries[0][1], now):
            entry = self.late.entries[0]
            _move(self.waiting_by_id[entry[1]], self.expired, entry)

    def _is_expired(self, job_id: JobId, now: Seconds) -> bool:
        return self.waiting_by_id[job_id].expires_at < now


def _list_steps(tasks: WaitingTasks) -> tuple[Step, ...]:
    """Return a step for each group of tasks, in the order of the steps."""
    tasks.has_new_groups, tasks.removed_groups = False, 0
    groups = tasks.group_by_position
    return tuple(groups[position].step for position in sorted(groups))


def _make_demand(job: DurableJob, steps: tuple[Step, ...]) -> Demand:
    labels = frozenset(step.required_label for step in steps)
    return Demand(job.class_name, job.starts.pool, labels)


def _find_least_needs(steps: tuple[Step, ...]) -> Resources:
    return reduce(Resources.minimum, (step.needs for step in steps))


def _update_steps(waiting: WaitingJob) -> None:
    """Queue a job again if its groups of tasks have changed.

    Groups that have gone are only left out once they are many, so that each of a
    thousand of them does not cost a pass through the others.
    """
    tasks = waiting.tasks
    few_removed = tasks.removed_groups < len(tasks.group_by_position) // MAX_KEPT_SHARE
    if not tasks.has_new_groups and few_removed:
        return
    steps = _list_steps(tasks)
    if steps == waiting.steps.steps:
        return
    waiting.lane.remove(waiting)
    waiting.steps = StepSet(steps)
    waiting.demand = _make_demand(waiting.job, steps)
    waiting.least_needs = _find_least_needs(steps)
    waiting.lane.add(waiting)


def _move(waiting: WaitingJob, lane: Lane, entry: Entry) -> None:
    """Queue a job again with another entry, in the same lane or another one."""
    waiting.lane.remove(waiting)
    waiting.lane, waiting.entry = lane, entry
    lane.add(waiting)
