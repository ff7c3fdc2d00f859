"""Periodic review of the pool: overdue tasks, probes, retries and unplaceable jobs."""

from __future__ import annotations

from boragetide.controllers.outcomes import (
    cancel_job,
    end_overdue,
    extend_overruns,
    has_not_run,
    refuse_job,
    requeue_delayed,
)
from boragetide.controllers.pool import (
    BackendServersState,
    find_target,
    is_evacuated,
    refresh_server,
)
from boragetide.controllers.queueing import QueuedJob, put_job, remove_job
from boragetide.controllers.zone_pool import track_old_view
from boragetide.effects import Effect, Send
from boragetide.messages import TaskEnded
from boragetide.policy import admission, ejection, learning, ordering
from boragetide.types import Address, Seconds, TaskOutcome, TaskStatus

REVIEW_INTERVAL: Seconds = 1.0


def review(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Do the periodic work that no other message triggers."""
    effects = end_overdue(state, now)
    extend_overruns(state, now)
    requeue_delayed(state, now)
    for server_id in list(state.ejected):
        leased = state.servers_by_id.get(server_id)
        if leased is not None and now < leased.health.probe_at:
            continue
        state.ejected.discard(server_id)
        if leased is not None:
            ejection.start_probing(leased.health)
            refresh_server(state, server_id, now)
    effects += _end_jobs_without_servers(state, now)
    if now >= state.next_review:
        state.next_review = now + REVIEW_INTERVAL
        effects += _review_speeds_and_jobs(state, now)
    return effects


def _review_speeds_and_jobs(state: BackendServersState, now: Seconds) -> list[Effect]:
    speeds_changed = learning.center_speeds(
        [leased.speed_model for leased in state.servers_by_id.values()],
        state.size_models_by_class.values(),
    )
    if speeds_changed:
        for server_id in state.servers_by_id:
            refresh_server(state, server_id, now)
    return _end_unplaceable_jobs(state, now)


def update_aging(state: BackendServersState) -> None:
    """Apply changed targets of the classes, and reorder the queues they affect."""
    for name, queue in state.queues_by_class.items():
        target = find_target(state, name)
        aging_rate = ordering.aging_rate(target.response_time)
        if aging_rate == queue.aging_rate:
            continue
        ids = [job_id for jobs in queue.jobs_by_team.values() for _, job_id in jobs]
        for job_id in ids:
            remove_job(queue, state.jobs_by_id[job_id])
        queue.aging_rate = aging_rate
        for job_id in ids:
            put_job(queue, state.jobs_by_id[job_id])


def _end_jobs_without_servers(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Refuse or end all waiting jobs of a pool that has no available server.

    A pool whose view of the evacuated zones is too old for starts counts as one. A pool
    that has just lost its last server waits for the length of a lease, because
    servers that moved to another placer come back within that time.
    """
    track_old_view(state, now)
    if state.old_view_since is not None:
        unavailable_since = state.old_view_since
    elif state.total_slots:
        return []
    else:
        if state.unavailable_since is None:
            state.unavailable_since = now
        unavailable_since = state.unavailable_since
    if now - unavailable_since <= state.settings.timing.lease_expiry:
        return []
    return _end_waiting_jobs(state, list(state.jobs_by_id.values()), now)


def _end_unplaceable_jobs(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Refuse or end jobs with a waiting task that fits none of the known servers."""
    if not state.total_slots:
        return []
    demanding = [state.jobs_by_id[job_id] for job_id in state.jobs_needing_resources]
    servers = [
        leased.server
        for leased in state.servers_by_id.values()
        if not is_evacuated(state, leased)
    ]
    return _end_waiting_jobs(
        state,
        [
            job
            for job in demanding
            if admission.refuse_for_size(
                (job.queued.tasks[index] for _, index in job.waiting), servers
            )
        ],
        now,
    )


def _end_waiting_jobs(
    state: BackendServersState, jobs: list[QueuedJob], now: Seconds
) -> list[Effect]:
    effects: list[Effect] = []
    min_wait = state.settings.timing.lease_expiry
    reason = "no backend server can run the task"
    for job in jobs:
        if not job.waiting or now - job.queued_at <= min_wait:
            continue
        if has_not_run(job):
            effects += refuse_job(state, job, reason, "no_server")
            continue
        ended = TaskEnded(
            job.queued.job_id,
            job.waiting[-1][1],
            TaskOutcome(TaskStatus.NOT_RUN, error=reason),
        )
        effects.append(Send(Address(state.settings.id, "jobs"), ended))
        effects += cancel_job(state, job, now)
    return effects
