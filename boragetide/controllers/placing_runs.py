"""Placement of durable tasks: starts runs on backend servers with free capacity."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain, islice
from typing import Any

from boragetide.controllers.dispatch_state import (
    DispatcherState,
    add_run,
    assign_run_number,
    get_fence,
    has_authority,
    is_registered,
    may_start,
)
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
    LONGEST_LEASE,
    MIN_CLOCK_RATE,
    Run,
    Server,
)
from boragetide.controllers.zone_service import may_start_on
from boragetide.durable import DurableJob, JobPhase, JobRecord, Step, get_task_ref
from boragetide.effects import Count, Effect, LogEvent, Observe, StartRun
from boragetide.policy.best_fit import order_by_fit
from boragetide.policy.crash_suspicion import find_suspects
from boragetide.policy.job_queue import WaitingJob
from boragetide.policy.look_ahead import LOOK_AHEAD, LookAhead
from boragetide.policy.scheduling import (
    ServerCandidate,
    choose_server,
    find_ready_tasks,
    latest_start,
    min_useful_speed,
)
from boragetide.policy.unplaced_needs import UnplacedNeeds
from boragetide.types import BackendServerId, ClassName, JobId, PoolName, Seconds

# A backend server lists up to 500 ends. One that holds more than this number of them
# gets no new runs, so that the ends of all its runs are still listed.
MAX_HELD_ENDS = 250
# Backend servers announce themselves every 1.5 s. One that missed three announcements
# gets no new runs.
ANNOUNCEMENT_TIMEOUT: Seconds = 5.0
# A capacity may have shrunk since it was announced, and must not be relied upon 4.5 s
# later. The announcement and the order may have been under way for some of that time.
MAX_ANNOUNCEMENT_AGE: Seconds = 3.5
# All backend servers have announced themselves to a process of this age.
DISCOVERY_PERIOD: Seconds = 3.5
# Most copies of a start, with the same run number. With 30% of the calls lost, less
# than 1% of the starts lose all of them.
MAX_START_COPIES = 4
# Multiple of the usual timeout after which the last copy counts as unanswered, so that
# a server that pauses for a moment keeps its runs.
LAST_COPY_FACTOR = 8.0
# Leases that an earlier leader granted have expired this long after its last order,
# also at a process whose clock it did not know.
LEASE_EXPIRY_WAIT: Seconds = LONGEST_LEASE + LEASE_EXPIRY_MARGIN


def update_queue(state: DispatcherState, job_id: JobId) -> None:
    """Update the queue with the tasks of a job that are ready to start."""
    record = state.records_by_id.get(job_id)
    is_leaving = job_id in state.transfers.command_by_job
    if record is None or record.phase is not JobPhase.ACTIVE or is_leaving:
        state.queue.remove(job_id)
        state.suspects_by_job.pop(job_id, None)
        return
    tasks = {
        number: step
        for number, step in find_ready_tasks(record)
        if may_start(state, (job_id, number))
    }
    if job_id in state.losses.by_job or job_id in state.suspects_by_job:
        tasks = _hold_suspects(state, record, tasks)
    state.queue.put(record.job, tasks, has_started=job_id in state.started)


def _hold_suspects(
    state: DispatcherState, record: JobRecord, tasks: dict[int, Step]
) -> dict[int, Step]:
    """Keep the suspects out of the queue; return the tasks that are none."""
    job_id = record.job.id
    of_job = state.losses.by_job.get(job_id)
    if of_job is None or not find_suspects(of_job.losses, record.done):
        state.suspects_by_job.pop(job_id, None)
        return tasks
    suspects = {
        number: step
        for number, step in tasks.items()
        if of_job.is_suspect or number in of_job.by_task
    }
    state.suspects_by_job[job_id] = suspects
    return {number: step for number, step in tasks.items() if number not in suspects}


def is_takeover_complete(state: DispatcherState, now: Seconds) -> bool:
    """Return whether a task that no backend server lists is certainly not running.

    No run is started before the takeover is complete, because an earlier leader may
    have started any job that is submitted again.
    """
    if have_predecessor_leases_expired(state, now):
        return True
    if is_young(state, now) or state.missed_predecessor:
        return False
    has_unread_registered = any(
        not _is_read(state, server_id, born)
        for server_id, born in state.server_born_by_id.items()
    )
    if has_unread_registered:
        return False
    return all(
        server.read_term == state.term
        for server in state.servers_by_id.values()
        if not server.departed
    )


def is_young(state: DispatcherState, now: Seconds) -> bool:
    """Return whether backend servers may not have announced themselves here yet."""
    return now - state.incarnation / 1000 < DISCOVERY_PERIOD


def have_predecessor_leases_expired(state: DispatcherState, now: Seconds) -> bool:
    """Return whether all leases that earlier leaders granted have expired."""
    return now >= state.predecessor_until + LEASE_EXPIRY_WAIT


def count_unread_registered(state: DispatcherState) -> int:
    """Count the registered backend servers that have not listed their runs.

    A process that leaves may go on with its runs for a while, so it counts as well.
    """
    return sum(
        not _is_read(state, server_id, born)
        for server_id, born in state.server_born_by_id.items()
    )


def _is_read(state: DispatcherState, server_id: BackendServerId, born: int) -> bool:
    """Return whether the registered process or a later one has listed its runs."""
    server = state.servers_by_id.get(server_id)
    if server is None or server.report.born < born:
        return False
    return server.read_term == state.term


def check_takeover(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Allow starts once every run of an earlier leader is known or over."""
    if state.takeover_complete or not has_authority(state, now):
        return []
    if not is_takeover_complete(state, now):
        return []
    state.takeover_complete = True
    fields = {
        "term": state.term,
        "after": now - state.leader_since,
        "registered": len(state.server_born_by_id),
        "unread": count_unread_registered(state),
    }
    return [LogEvent("takeover_done", fields)]


def place_runs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Start as many waiting tasks as the free capacity allows."""
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
    counts_by_step: dict[int, Counter[str]] = {}
    unplaceable_step: Step | None = None
    is_held_by_limit = True
    effects: list[Effect] = []
    slack = waiting.find_slack(now)
    order: dict[str, float | bool] | None = None
    for number, step in list(waiting.tasks.items()):
        if state.start_window.is_full:
            is_held_by_limit = False
            break
        if step is unplaceable_step:
            continue
        if unplaced.cover(pool, step):
            unplaceable_step = step
            is_held_by_limit = False
            continue
        counts = Counter()
        if step.max_per_server:
            counts = counts_by_step.setdefault(
                id(step), _count_on_servers(state, waiting, step)
            )
        candidates = find_candidates(state, waiting, pool, step, slack, now)
        chosen = choose_server(step, candidates, counts, slack)
        if chosen is None:
            unplaceable_step = step
            is_held_by_limit &= _is_held_by_limit(
                state, waiting, pool, step, slack, now
            )
            # Another job with the same needs may still find room.
            depends_on_job = step.max_per_server or state.reservations.by_server
            if slack is None and not depends_on_job:
                unplaced.add(pool, step)
            continue
        counts[chosen.id] += 1
        reasons: dict[str, Any] = {}
        if state.looks_ahead:
            server = state.servers_by_id[chosen.id]
            reasons, settled = settle_reservation(
                state, waiting.job, server, overtaken, now
            )
            effects += settled
        if order is None:
            # To sum up the waiting tasks for each start would be slow for wide jobs.
            order = waiting.describe_order(now)
        fields = {**order, **reasons}
        effects += start_task(
            state, waiting.job, number, step, chosen, now, reasons=fields
        )
        del waiting.tasks[number]
    has_started = waiting.job.id in state.started
    state.queue.put(waiting.job, waiting.tasks, has_started=has_started)
    waiting.is_held_by_limit = is_held_by_limit and bool(waiting.tasks)
    return effects


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


def _count_on_servers(
    state: DispatcherState, waiting: WaitingJob, step: Step
) -> Counter[str]:
    """Count the runs of a step on each backend server."""
    position = waiting.job.steps.index(step)
    first = sum(earlier.count for earlier in waiting.job.steps[:position])
    return Counter(
        state.server_by_task[waiting.job.id, number]
        for number in range(first, first + step.count)
        if (waiting.job.id, number) in state.server_by_task
    )


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
