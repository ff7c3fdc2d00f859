"""Explains where a job would be placed now, without submitting it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from copy import deepcopy
from dataclasses import dataclass, field, replace

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.placing_runs import (
    find_candidates,
    find_pool,
    is_usable,
)
from boragetide.controllers.reserving import may_use
from boragetide.controllers.server_state import Server
from boragetide.controllers.zone_service import may_start_on
from boragetide.durable import JobRecord, Resources, Step
from boragetide.effects import Effect, Reply
from boragetide.messages import (
    DispatcherReply,
    ExplainDurableJob,
    JobExplanation,
    ReplyStatus,
    StepExplanation,
)
from boragetide.policy.job_progress import find_ready_tasks
from boragetide.policy.job_queue import JobQueue, WaitingJob
from boragetide.policy.scheduling import (
    ServerCandidate,
    choose_server,
)
from boragetide.types import BackendServerId, PoolName, Seconds


@dataclass(slots=True)
class _Planned:
    """Runs that earlier tasks of the job would have on a backend server."""

    runs: int = 0
    used: Resources = field(default_factory=Resources)


def explain_job(
    message: ExplainDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Answer where the tasks of a job would start now, and why the others would not.

    The dispatcher's own functions choose the servers. Nothing is stored or started.
    """
    # The clocks of the two instances may differ.
    job = replace(message.job, submitted_at=now)
    tasks = [number for number, _ in find_ready_tasks(JobRecord(job))]
    # A queue of its own ranks the job without a change of what is known of its class.
    queue = JobQueue(
        order=state.queue.order,
        mean_work_by_class=dict(state.queue.mean_work_by_class),
        levels=deepcopy(state.queue.levels),
    )
    queue.put(job, tasks)
    waiting = queue.waiting_by_id[job.id]
    pool = find_pool(state, job)
    planned_by_server: dict[BackendServerId, _Planned] = {}
    steps = tuple(
        _explain_step(state, waiting, pool, position, planned_by_server, now)
        for position in range(len(job.steps))
    )
    ahead = state.queue.in_time.entries.bisect_left(waiting.entry)
    explanation = JobExplanation(
        pool=pool,
        can_start=(
            state.takeover_complete
            and not state.start_window.is_full
            and state.zones.is_recent(now)
        ),
        slack=waiting.latest_start - now,
        jobs_ahead=ahead,
        steps=steps,
    )
    reply = DispatcherReply(ReplyStatus.FOUND, term=state.term, explanation=explanation)
    return [Reply(message.reply_to, reply)]


def _explain_step(
    state: DispatcherState,
    waiting: WaitingJob,
    pool: PoolName,
    position: int,
    planned_by_server: dict[BackendServerId, _Planned],
    now: Seconds,
) -> StepExplanation:
    step = waiting.job.steps[position]
    if step.depends_on:
        return StepExplanation(step.count, waits_for=step.depends_on)
    slack = waiting.find_slack(now)
    counts: Counter[BackendServerId] = Counter()
    for _ in range(step.count):
        found = find_candidates(state, waiting, pool, step, slack, now)
        candidates = _leave_out_planned(
            state, waiting, step, found, planned_by_server, now
        )
        chosen = choose_server(step, candidates, counts, slack)
        if chosen is None:
            break
        counts[chosen.id] += 1
        planned = planned_by_server.setdefault(chosen.id, _Planned())
        planned.runs += 1
        planned.used = planned.used.plus(step.needs)
    reasons: Counter[str] = Counter()
    if counts.total() < step.count:
        for server in state.servers_by_id.values():
            if server.report.pool == pool:
                reasons[
                    _find_reason(state, server, waiting, step, slack, counts, now)
                ] += 1
    return StepExplanation(step.count, dict(counts), dict(reasons))


def _leave_out_planned(
    state: DispatcherState,
    waiting: WaitingJob,
    step: Step,
    candidates: Iterator[ServerCandidate],
    planned_by_server: dict[BackendServerId, _Planned],
    now: Seconds,
) -> Iterator[ServerCandidate]:
    """Yield the candidates as if the earlier tasks of the job had started."""
    for candidate in candidates:
        planned = planned_by_server.get(candidate.id)
        if planned is not None:
            server = state.servers_by_id[candidate.id]
            if not may_start_on(state, server, now, planned.runs):
                continue
            if not may_use(state, server, waiting, step, now, planned.used):
                continue
            candidate.room = candidate.room.minus(planned.used)
        yield candidate


def _find_reason(
    state: DispatcherState,
    server: Server,
    waiting: WaitingJob,
    step: Step,
    slack: Seconds | None,
    counts: Counter[BackendServerId],
    now: Seconds,
) -> str:
    """Return why another task of a step does not start on a backend server."""
    labels = server.report.labels
    if server.report.zone in state.zones.evacuated:
        return "evacuated"
    if not is_usable(state, server, now) or server.isolated:
        return "out_of_service"
    if step.required_label and step.required_label not in labels:
        return "lacks_label"
    if not step.needs.fits_in(server.report.capacity):
        return "too_small"
    # An otherwise idle server of this speed and these labels tells whether it is slow.
    idle = ServerCandidate(
        server.report.id, server.report.capacity, server.speed, labels
    )
    if choose_server(step, [idle], {}, slack) is None:
        return "too_slow"
    if 0 < step.max_per_server <= counts[server.report.id]:
        return "limit_reached"
    if not may_use(state, server, waiting, step, now):
        return "reserved"
    return "busy"
