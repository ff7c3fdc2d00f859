"""Placement of durable tasks: starts runs on backend servers with free capacity."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain, islice
from operator import attrgetter
from typing import Any

from boragetide.controllers.dispatch_state import (
    DispatcherState,
    add_run,
    assign_run_number,
    get_fence,
    has_authority,
    is_registered,
)
from boragetide.controllers.queue_updates import queue_loaded_jobs
from boragetide.controllers.reserving import (
    may_reserve,
    may_use,
    reserve,
    review_reservations,
    settle_reservation,
)
from boragetide.controllers.server_state import (
    LEASE_DURATION,
    LEASE_EXPIRY_MARGIN,
    MIN_CLOCK_RATE,
    Run,
    Server,
)
from boragetide.controllers.zone_service import may_start_on
from boragetide.durable import DurableJob, Step, get_task_ref
from boragetide.effects import Count, Effect, LogEvent, Observe, StartRun
from boragetide.policy.best_fit import order_by_fit
from boragetide.policy.job_queue import WaitingJob
from boragetide.policy.look_ahead import LOOK_AHEAD, LookAhead
from boragetide.policy.scheduling import (
    ServerCandidate,
    choose_server,
    latest_start,
    min_useful_speed,
)
from boragetide.policy.unplaced_needs import UnplacedNeeds
from boragetide.policy.waiting_tasks import TaskGroup
from boragetide.types import ClassName, JobId, PoolName, Seconds

# A backend server lists up to 500 ends. One that holds more than this number of them
# gets no new runs, so that the ends of all its runs are still listed.
MAX_HELD_ENDS = 250
# Backend servers announce themselves every 1.5 s. One that missed three announcements
# gets no new runs.
ANNOUNCEMENT_TIMEOUT: Seconds = 5.0
# A capacity may have shrunk since it was announced, and must not be relied upon 4.5 s
# later. The announcement and the order may have been under way for some of that time.
MAX_ANNOUNCEMENT_AGE: Seconds = 3.5
# Most groups of tasks of one job that a pass looks at.
MAX_GROUPS_PER_PASS = 32
# Most copies of a start, with the same run number. With 30% of the calls lost, less
# than 1% of the starts lose all of them.
MAX_START_COPIES = 4
# Multiple of the usual timeout after which the last copy counts as unanswered, so that
# a server that pauses for a moment keeps its runs.
LAST_COPY_FACTOR = 8.0


def place_runs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Start as many waiting tasks as the free capacity allows."""
    queue_loaded_jobs(state)
    has_reservations = bool(state.reservations.by_server)
    if not (state.queue.waiting_by_id or has_reservations):
        return []
    if not has_authority(state, now) or not state.takeover_complete:
        return []
    if not state.zones.is_recent(now):
        return []
    effects: list[Effect] = []
    if has_reservations:
        effects += review_reservations(state, _make_check(state, now), now)
    if not state.queue.waiting_by_id:
        return effects
    max_free_by_pool: dict[PoolName, int] = {}
    look_ahead = LookAhead(state.index.rooms, partial(find_class_pool, state))
    unplaced = UnplacedNeeds()
    waiting_jobs = state.queue.iterate(now, look_ahead)
    plan = None
    if state.looks_ahead:
        if state.start_window.is_full:
            return effects
        first = list(islice(waiting_jobs, LOOK_AHEAD))
        plan = _PassPlan(state, first, max_free_by_pool)
        waiting_jobs = chain(plan.ordered, waiting_jobs)
    for position, waiting in enumerate(waiting_jobs):
        if state.start_window.is_full:
            break
        pool = find_pool(state, waiting.job)
        if pool not in max_free_by_pool:
            max_free_by_pool[pool] = state.index.find_max_free_millicores(pool)
        if waiting.least_needs.millicores > max_free_by_pool[pool]:
            continue
        overtaken = 0 if plan is None else plan.count_overtaken(position)
        job_effects = _place_job(state, waiting, pool, unplaced, now, overtaken)
        if job_effects:
            del max_free_by_pool[pool]
            effects += job_effects
            if plan is not None:
                plan.started.append(waiting)
    if plan is not None and plan.started:
        effects += _reserve(state, plan.list_overtaken(), now)
    return effects


def _make_check(state: DispatcherState, now: Seconds) -> Callable[[Server], bool]:
    return lambda server: is_usable(state, server, now)


class _PassPlan:
    """The first jobs of a pass, in the order in which they are placed.

    Parameters
    ----------
    first
        The first waiting jobs, in scheduling order.
    max_free_by_pool
        Most free millicores on any server of each pool; further pools are added.

    Attributes
    ----------
    ordered
        Those for which a backend server has enough free cores, in order of placement.
        A single job is kept without this check.
    started
        Jobs of which tasks were started.
    """

    def __init__(
        self,
        state: DispatcherState,
        first: list[WaitingJob],
        max_free_by_pool: dict[PoolName, int],
    ):
        self.first = first
        self.started: list[WaitingJob] = []
        if len(first) < 2:
            self.ordered = first
            return
        max_free_by_class: dict[tuple[ClassName, PoolName], int] = {}
        fitting: list[WaitingJob] = []
        for waiting in first:
            key = waiting.job.class_name, waiting.job.starts.pool
            max_free = max_free_by_class.get(key)
            if max_free is None:
                pool = find_class_pool(state, *key)
                if pool not in max_free_by_pool:
                    max_free_by_pool[pool] = state.index.find_max_free_millicores(pool)
                max_free = max_free_by_class[key] = max_free_by_pool[pool]
            if waiting.least_needs.millicores <= max_free:
                fitting.append(waiting)
        self.ordered = order_by_fit(fitting)

    def count_overtaken(self, position: int) -> int:
        """Return how many more urgent jobs that might fit are placed later.

        Parameters
        ----------
        position
            Position of a job in the pass; those after the ordered ones overtake none.
        """
        after = self.ordered[position + 1 :]
        if not after:
            return 0
        waiting = self.ordered[position]
        return sum(
            other.entry < waiting.entry and other.lane is waiting.lane
            for other in after
        )

    def list_overtaken(self) -> list[WaitingJob]:
        """Return the jobs that a less urgent one with smaller needs has overtaken."""
        overtaken: dict[JobId, WaitingJob] = {}
        for started in self.started:
            millicores = started.least_needs.millicores
            for waiting in self.first:
                if waiting is started:
                    break
                is_larger = waiting.least_needs.millicores > millicores
                if is_larger and waiting.tasks and waiting.lane is started.lane:
                    overtaken[waiting.job.id] = waiting
        return list(overtaken.values())


def _reserve(
    state: DispatcherState, overtaken: list[WaitingJob], now: Seconds
) -> list[Effect]:
    """Count the overtaken jobs, and reserve room for one of them if it is due."""
    for waiting in overtaken:
        waiting.times_overtaken += 1
    if not overtaken or not state.reservations.may_search(now):
        return []
    due = [each for each in overtaken if may_reserve(state, each, now)]
    if not due:
        return []
    pool = find_pool(state, due[0].job)
    usable = (
        server
        for server in state.servers_by_id.values()
        if server.report.pool == pool and is_usable(state, server, now)
    )
    return reserve(state, due[0], usable, now)


def find_pool(state: DispatcherState, job: DurableJob) -> PoolName:
    """Return the current pool of the job's class, or the job's own if there is none."""
    return find_class_pool(state, job.class_name, job.starts.pool)


def find_class_pool(
    state: DispatcherState, class_name: ClassName, default: PoolName
) -> PoolName:
    """Return the current pool of a class, or ``default`` if there is none."""
    if state.configuration is not None:
        target = state.configuration.classes_by_name.get(class_name)
        if target is not None and target.durable is not None:
            return target.durable.pool
    return default


def find_candidates(
    state: DispatcherState,
    waiting: WaitingJob,
    pool: PoolName,
    step: Step,
    slack: Seconds | None,
    now: Seconds,
) -> Iterator[ServerCandidate]:
    """Yield the backend servers that may have capacity for a task, the best first."""
    millicores = max(step.needs.millicores, 1)
    min_speed = min_useful_speed(step, slack)
    reserved = state.reservations.by_server
    for server_id in state.index.iterate(pool, millicores, min_speed):
        server = state.servers_by_id[server_id]
        if is_usable(state, server, now) and (
            not reserved or may_use(state, server, waiting, step, now)
        ):
            labels = server.report.labels
            yield ServerCandidate(
                server_id, server.free_resources, server.speed, labels
            )


def is_usable(state: DispatcherState, server: Server, now: Seconds) -> bool:
    """Return whether a backend server may get new runs."""
    return (
        server.read_term == state.term
        and is_registered(state, server)
        and server.clock.offset is not None
        and is_in_service(server, now)
        and not server.unexpected_runs
        and server.held_ends <= MAX_HELD_ENDS
        and now >= server.cooldown_until
        and may_start_on(state, server, now)
    )


def is_in_service(server: Server, now: Seconds) -> bool:
    """Return whether a backend server is in contact, and is to stay."""
    return (
        server.announced
        and not (server.report.draining or server.departed or server.silent)
        and now - server.last_contact_at < ANNOUNCEMENT_TIMEOUT
        and now - server.announced_at < MAX_ANNOUNCEMENT_AGE
    )


def _place_job(
    state: DispatcherState,
    waiting: WaitingJob,
    pool: PoolName,
    unplaced: UnplacedNeeds,
    now: Seconds,
    overtaken: int,
) -> list[Effect]:
    """Start the tasks of a job for which there is room, group by group."""
    effects: list[Effect] = []
    groups = waiting.tasks.list_groups(state.index.rooms.count_by_label)
    is_held_by_limit = len(groups) == len(waiting.tasks.group_by_position)
    order: dict[str, float | bool] | None = None
    for group in _take_turn(waiting, groups):
        if state.start_window.is_full:
            is_held_by_limit = False
            break
        if unplaced.cover(pool, group.step):
            is_held_by_limit = False
            continue
        if order is None:
            # To sum up the waiting tasks for each start would be slow for wide jobs.
            order = waiting.describe_order(now)
        started, is_held = _place_group(
            state, waiting, group, pool, unplaced, order, now, overtaken
        )
        effects += started
        is_held_by_limit &= is_held
    state.queue.finish_pass(waiting, has_started=waiting.job.id in state.started)
    waiting.is_held_by_limit = is_held_by_limit and bool(waiting.tasks)
    return effects


def _take_turn(waiting: WaitingJob, groups: list[TaskGroup]) -> list[TaskGroup]:
    """Return the groups of a job that a pass looks at.

    If there are many, the next pass begins after the last of them.
    """
    if len(groups) <= MAX_GROUPS_PER_PASS:
        return groups
    begin = bisect_left(groups, waiting.next_position, key=attrgetter("position"))
    turn = (groups[begin:] + groups[:begin])[:MAX_GROUPS_PER_PASS]
    waiting.next_position = turn[-1].position + 1
    return turn


def _place_group(
    state: DispatcherState,
    waiting: WaitingJob,
    group: TaskGroup,
    pool: PoolName,
    unplaced: UnplacedNeeds,
    order: dict[str, float | bool],
    now: Seconds,
    overtaken: int,
) -> tuple[list[Effect], bool]:
    """Start the tasks of a group for which there is room.

    Returns
    -------
    tuple
        The effects, and whether the other tasks wait only because each backend server
        with room has as many tasks of their step as it may run.
    """
    effects: list[Effect] = []
    step, job = group.step, waiting.job
    slack = waiting.find_slack(now)
    while group.numbers:
        if state.start_window.is_full:
            return effects, False
        counts = state.counts_by_step.get((job.id, group.position), {})
        candidates = find_candidates(state, waiting, pool, step, slack, now)
        chosen = choose_server(step, candidates, counts, slack)
        if chosen is None:
            # Another job with the same needs may still find room.
            depends_on_job = step.max_per_server or state.reservations.by_server
            if slack is None and not depends_on_job:
                unplaced.add(pool, step)
            return effects, _is_held_by_limit(state, waiting, pool, step, slack, now)
        reasons: dict[str, Any] = {}
        if state.looks_ahead:
            server = state.servers_by_id[chosen.id]
            reasons, settled = settle_reservation(state, job, server, overtaken, now)
            effects += settled
        number = waiting.tasks.take_first(group)
        fields = {**order, **reasons}
        effects += start_task(state, job, number, step, chosen, now, reasons=fields)
    return effects, True


def _is_held_by_limit(
    state: DispatcherState,
    waiting: WaitingJob,
    pool: PoolName,
    step: Step,
    slack: Seconds | None,
    now: Seconds,
) -> bool:
    """Return whether an unplaceable task could start but for ``max_per_server``."""
    if not step.max_per_server:
        return False
    candidates = find_candidates(state, waiting, pool, step, slack, now)
    return choose_server(step, candidates, {}, slack) is not None


def start_task(
    state: DispatcherState,
    job: DurableJob,
    number: int,
    step: Step,
    chosen: ServerCandidate,
    now: Seconds,
    *,
    group_size: int = 0,
    reasons: dict[str, Any] | None = None,
) -> list[Effect]:
    """Start a task on a backend server.

    Parameters
    ----------
    group_size
        Most suspects that run on the backend server while this one does; 0 if the task
        is no suspect.
    reasons
        Further fields of the log line, which tell why the task starts now and why on
        this backend server.
    """
    server = state.servers_by_id[chosen.id]
    key = (job.id, number)
    task = get_task_ref(job, number)
    run = Run(*key, task, assign_run_number(state, key), step.needs, now)
    run.estimate = step.estimate
    run.group_size = group_size
    add_run(state, server, run)
    start = make_start(state, server, job, run, now)
    fields = {
        "job": job.id,
        "task": number,
        "run": run.number,
        "server": chosen.id,
        "term": state.term,
        "waited": now - job.submitted_at,
        "slack": latest_start(job) - now,
        "speed": chosen.speed,
        "room_left": server.free_resources.millicores,
        "heard_ago": now - server.last_contact_at,
        **(reasons or {}),
    }
    wait = Observe("run_wait_seconds", now - job.submitted_at)
    return [LogEvent("run_ordered", fields), Count("runs_ordered"), wait, start]


def make_start(
    state: DispatcherState, server: Server, job: DurableJob, run: Run, now: Seconds
) -> StartRun:
    """Return the order that starts a run; repeating it does not start a second run."""
    run.start_unanswered_at = now
    run.start_copies += 1
    if run.start_copies == 1:
        server.calls.add_call()
    factor = LAST_COPY_FACTOR if run.start_copies >= MAX_START_COPIES else 1.0
    lossy = server.calls.expects_losses(now)
    state.start_window.add((server.report.id, *run.key, run.number), now)
    return StartRun(
        server=server.report.id,
        address=server.report.address,
        task=run.ref,
        number=run.task,
        run=run.number,
        spec=job.spec,
        fence=get_fence(state, server),
        lease_until=extend_lease(server, now),
        target_born=server.report.born,
        timeout=server.calls.find_timeout(factor, lossy=lossy),
    )


def extend_lease(server: Server, now: Seconds) -> Seconds:
    """Extend the lease; return its end on the backend server's clock, in seconds.

    The known offset is a lower bound. The clock of the backend server thus reaches the
    end within `LEASE_DURATION` by that clock, whenever the order arrives.
    """
    server.leases_expired_at = max(
        server.leases_expired_at,
        now + LEASE_DURATION / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN,
    )
    return now + server.clock.find_offset(now) + LEASE_DURATION
