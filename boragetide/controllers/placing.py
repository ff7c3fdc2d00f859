"""Starts queued tasks on free slots."""

from __future__ import annotations

from boragetide.controllers.pool import (
    BackendServersState,
    LeasedServer,
    QueuedJob,
    RunningTask,
)
from boragetide.effects import Effect, LogEvent, StartTasks
from boragetide.policy import ordering, placement
from boragetide.types import BackendServerId, Seconds, TaskStart


def place(state: BackendServersState, now: Seconds) -> list[Effect]:
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
