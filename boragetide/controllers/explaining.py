"""Explains where a job would be placed now, without submitting it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from copy import deepcopy
from dataclasses import replace

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.placing_runs import (
    find_candidates,
    find_pool,
    is_usable,
)
from boragetide.controllers.reserving import may_use
from boragetide.controllers.server_state import Server
from boragetide.durable import JobRecord, Resources, Step
from boragetide.effects import Effect, Reply
from boragetide.messages import (
    DispatcherReply,
    ExplainDurableJob,
    JobExplanation,
    ReplyStatus,
    StepExplanation,
)
from boragetide.policy.job_queue import JobQueue, WaitingJob
from boragetide.policy.scheduling import (
    ServerCandidate,
    choose_server,
    find_ready_tasks,
)
from boragetide.types import BackendServerId, PoolName, Seconds


def explain_job(
    message: ExplainDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Answer where the tasks of a job would start now, and why the others would not.

    The dispatcher's own functions choose the servers. Nothing is stored or started.
    """
    # The clocks of the two instances may differ.
    job = replace(message.job, submitted_at=now)
    tasks = dict(find_ready_tasks(JobRecord(job)))
    # A queue of its own ranks the job without a change of what is known of its class.
    queue = JobQueue(
        order=state.queue.order,
        mean_work_by_class=dict(state.queue.mean_work_by_class),
        levels=deepcopy(state.queue.levels),
    )
    queue.put(job, tasks)
    waiting = queue.waiting_by_id[job.id]
    pool = find_pool(state, job)
    used_by_server: dict[BackendServerId, Resources] = {}
    steps = tuple(
        _explain_step(state, waiting, pool, position, used_by_server, now)
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
    used_by_server: dict[BackendServerId, Resources],
    now: Seconds,
) -> StepExplanation:
    step = waiting.job.steps[position]
    if step.depends_on:
        return StepExplanation(step.count, waits_for=step.depends_on)
    slack = waiting.find_slack(now)
    counts: Counter[BackendServerId] = Counter()
    for _ in range(step.count):
        candidates = _reduce_room(
            find_candidates(state, waiting, pool, step, slack, now), used_by_server
        )
        chosen = choose_server(step, candidates, counts, slack)
        if chosen is None:
            break
        counts[chosen.id] += 1
        used = used_by_server.get(chosen.id, Resources())
        used_by_server[chosen.id] = used.plus(step.needs)
    reasons: Counter[str] = Counter()
    if counts.total() < step.count:
        for server in state.servers_by_id.values():
            if server.report.pool == pool:
                reasons[
                    _find_reason(state, server, waiting, step, slack, counts, now)
                ] += 1
    return StepExplanation(step.count, dict(counts), dict(reasons))


def _reduce_room(
    candidates: Iterator[ServerCandidate],
    used_by_server: dict[BackendServerId, Resources],
) -> Iterator[ServerCandidate]:
    """Yield the candidates without the room that earlier tasks of the job would use."""
    for candidate in candidates:
        used = used_by_server.get(candidate.id)
        if used is not None:
            candidate.room = candidate.room.minus(used)
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
