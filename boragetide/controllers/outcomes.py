"""Handles the ends of tasks: learning, ejection, retries and reports to the jobs."""

from __future__ import annotations

import heapq
import math

from boragetide.controllers.pool import (
    BackendServersState,
    LeasedServer,
    RunningTask,
    find_running,
    find_target,
    refresh_server,
)
from boragetide.controllers.queueing import (
    QueuedJob,
    add_running,
    add_waiting,
    drop_waiting,
)
from boragetide.effects import CancelTasks, Count, Effect, LogEvent, Send
from boragetide.messages import TaskEnded, TasksRefused
from boragetide.policy import admission, ejection, learning, placement, retries
from boragetide.types import (
    Address,
    BackendServerId,
    Seconds,
    TaskOutcome,
    TaskStatus,
)

# A task that runs for this many times its expected time indicates a slow server, and so
# does each further doubling.
OVERRUN_FACTOR = 2.0
MIN_EXTENSION: Seconds = 0.02
MIN_REMAINING_TO_CANCEL: Seconds = 0.05


def end_running(
    state: BackendServersState,
    leased: LeasedServer,
    running: RunningTask,
    outcome: TaskOutcome,
    seconds: Seconds | None,
    now: Seconds,
    overdue: bool = False,
) -> list[Effect]:
    """Free the slot of a task, learn from its end, and retry it or notify its job.

    Parameters
    ----------
    leased, running
        The server and its task; the task must still hold its slot.
    outcome
        How the task ended.
    seconds
        Run time that the backend server measured; ``None`` if it reported none.
    overdue
        Whether the task is ended because no result arrived in time.
    """
    _free_slot(state, leased, running)
    elapsed = now - running.started_at if seconds is None else seconds
    effects: list[Effect] = []
    if state.servers_by_id.get(leased.server.id) is leased:
        effects += _observe_outcome(state, leased, running, outcome, elapsed, now)
    refresh_server(state, leased.server.id, now)
    job = running.job
    class_name = job.queued.class_name
    labels = {"class": class_name, "outcome": str(outcome.status)}
    effects.append(Count("tasks", labels))
    if job.dropped:
        return effects
    return effects + _retry_or_report(state, job, running.index, outcome, overdue, now)


def _free_slot(
    state: BackendServersState, leased: LeasedServer, running: RunningTask
) -> None:
    job = running.job
    del leased.running_by_id[running.id]
    leased.tasks_by_call[running.call] -= 1
    if not leased.tasks_by_call[running.call]:
        del leased.tasks_by_call[running.call]
    leased.used_cores -= running.task.cores
    leased.used_memory -= running.task.memory
    state.expected_releases.discard(
        (running.expected_end, leased.server.id, running.id)
    )
    state.running_work -= running.size
    job.server_by_running_task.pop(running.id, None)
    queue = state.queues_by_class.get(job.queued.class_name)
    if queue is not None:
        add_running(queue, job.queued.team, -1)


def _observe_outcome(
    state: BackendServersState,
    leased: LeasedServer,
    running: RunningTask,
    outcome: TaskOutcome,
    elapsed: Seconds,
    now: Seconds,
) -> list[Effect]:
    """Update the speed, size and health of a server; return effects of an ejection."""
    if outcome.status is TaskStatus.CANCELLED:
        return []
    class_name = running.job.queued.class_name
    failed = ejection.is_failure(outcome.status)
    speed = learning.predict_speed(leased.speed_model, class_name)
    if not failed:
        _learn(state, leased, running, elapsed)
    health = leased.health
    fast = elapsed < ejection.FAST_SHARE * running.size / speed
    tally = state.tallies_by_class.setdefault(class_name, ejection.Tally())
    ejection.observe_outcome(health, tally, class_name, failed, fast, now)
    failed_probe = ejection.observe_probe(health, failed, leased.server.slots)
    servers, ejected = len(state.servers_by_id), len(state.ejected)
    if not failed_probe and not ejection.should_eject(health, ejected, servers):
        return []
    ejection.eject(health, now, state.jitter)
    server_id = leased.server.id
    state.ejected.add(server_id)
    fields = {
        "server": server_id,
        "probe_in": health.probe_at - now,
        "reason": "failed_probe" if failed_probe else "failures",
    }
    return [
        LogEvent("backend_server_ejected", fields),
        Count("ejections", {"server": server_id}),
    ]


def _learn(
    state: BackendServersState,
    leased: LeasedServer,
    running: RunningTask,
    elapsed: Seconds,
) -> None:
    class_name = running.job.queued.class_name
    model = state.size_models_by_class.setdefault(class_name, learning.SizeModel())
    log_elapsed = math.log(max(elapsed, learning.MIN_SECONDS))
    learning.observe_speed(
        leased.speed_model,
        class_name,
        running.log_size - log_elapsed,
        model.error_variance,
        running.learned_log_speed,
    )
    size = elapsed * learning.predict_speed(leased.speed_model, class_name)
    learning.observe_size(model, running.task.size, size)


def _retry_or_report(
    state: BackendServersState,
    job: QueuedJob,
    index: int,
    outcome: TaskOutcome,
    overdue: bool,
    now: Seconds,
) -> list[Effect]:
    """Retry a task if the retry budget allows, or report its outcome to the job."""
    queued = job.queued
    attempts = job.attempts_by_index[index]
    idempotent = queued.idempotent and len(queued.tasks) == 1
    if outcome.status is not TaskStatus.NOT_RUN:
        job.may_have_run = True
    may_retry = retries.may_start_again(outcome.status, attempts, idempotent, overdue)
    if may_retry and retries.has_budget(state.retry_budget, now):
        retries.record(state.retry_budget, now, 0, 1)
        job.delayed += 1
        due = now + retries.backoff(attempts, state.jitter)
        state.retries += 1
        heapq.heappush(state.delayed_tasks, (due, state.retries, job, index))
        labels = {"class": queued.class_name, "outcome": str(outcome.status)}
        return [Count("retries", labels)]
    if outcome.status is TaskStatus.NOT_RUN and has_not_run(job):
        reason = outcome.error or "no backend server took the task"
        return refuse_job(state, job, reason, "not_taken")
    ended = TaskEnded(queued.job_id, index, outcome)
    effects: list[Effect] = [Send(Address(state.settings.id, "jobs"), ended)]
    if outcome.status is not TaskStatus.DONE:
        return effects + cancel_job(state, job, now)
    if not (job.waiting or job.server_by_running_task or job.delayed):
        margin = state.margins_by_class.setdefault(
            queued.class_name, admission.Margin()
        )
        target = find_target(state, queued.class_name)
        actual = now - job.queued_at
        admission.observe_response(margin, target, job.predicted, actual)
        _remove_job(state, job)
    return effects


def has_not_run(job: QueuedJob) -> bool:
    """Return whether it is certain that no task of a job has run."""
    return not job.may_have_run and not job.server_by_running_task


def _remove_job(state: BackendServersState, job: QueuedJob) -> None:
    state.jobs_by_id.pop(job.queued.job_id, None)
    state.jobs_needing_resources.discard(job.queued.job_id)


def refuse_job(
    state: BackendServersState, job: QueuedJob, reason: str, label: str
) -> list[Effect]:
    """Drop a job of which no task has run, and report that to its owner."""
    drop_job(state, job)
    labels = {"class": job.queued.class_name, "reason": label}
    return [
        Count("refusals", labels),
        Send(
            Address(state.settings.id, "jobs"),
            TasksRefused(job.queued.job_id, reason),
        ),
    ]


def drop_job(state: BackendServersState, job: QueuedJob) -> list[int]:
    """Remove a job and return the indexes of its waiting tasks.

    Running tasks of the job keep their slots.
    """
    job.dropped = True
    queue = state.queues_by_class[job.queued.class_name]
    indexes = drop_waiting(queue, job)
    state.queued_tasks -= len(indexes)
    _remove_job(state, job)
    return indexes


def cancel_job(
    state: BackendServersState, job: QueuedJob, now: Seconds
) -> list[Effect]:
    """Drop a job and cancel its running tasks, in one batch for each server.

    A job that was cancelled or of which a task failed needs no further outcome. A task
    that is expected to end within `MIN_REMAINING_TO_CANCEL` is not cancelled, because
    the cancellation would arrive after its end.
    """
    drop_job(state, job)
    tasks_by_server: dict[tuple[BackendServerId, str], list[str]] = {}
    for task_id, server_id in job.server_by_running_task.items():
        found = find_running(state, server_id, task_id)
        if found is None:
            continue
        leased, running = found
        wait = placement.expected_wait(running.expected_end, running.started_at, now)
        if wait > MIN_REMAINING_TO_CANCEL:
            key = (server_id, leased.server.address)
            tasks_by_server.setdefault(key, []).append(task_id)
    return [
        CancelTasks(server_id, address, tuple(ids))
        for (server_id, address), ids in tasks_by_server.items()
    ]


def end_overdue(state: BackendServersState, now: Seconds) -> list[Effect]:
    """End tasks whose result did not arrive in time with an unknown outcome."""
    effects: list[Effect] = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, call, server_id, task_id = heapq.heappop(state.deadlines)
        found = find_running(state, server_id, task_id)
        if found is None or found[1].call != call:
            continue
        leased, running = found
        outcome = TaskOutcome(TaskStatus.UNKNOWN, error="no result arrived in time")
        effects += end_running(state, leased, running, outcome, None, now, True)
    return effects


def extend_overruns(state: BackendServersState, now: Seconds) -> None:
    """Postpone the expected end of tasks that passed it; learn from long overruns."""
    while state.expected_releases and state.expected_releases[0][0] < now:
        _, server_id, task_id = state.expected_releases.pop(0)
        found = find_running(state, server_id, task_id)
        if found is None:
            continue
        leased, running = found
        elapsed = now - running.started_at
        extension = max(placement.OVERRUN_SHARE * elapsed, MIN_EXTENSION)
        running.expected_end = now + extension
        state.expected_releases.add((running.expected_end, server_id, task_id))
        _learn_overrun(state, leased, running, elapsed, now)


def _learn_overrun(
    state: BackendServersState,
    leased: LeasedServer,
    running: RunningTask,
    elapsed: Seconds,
    now: Seconds,
) -> None:
    class_name = running.job.queued.class_name
    speed = learning.predict_speed(leased.speed_model, class_name)
    expected = math.exp(running.log_size) / speed
    if elapsed < expected * OVERRUN_FACTOR ** (running.overruns + 1):
        return
    running.overruns += 1
    model = state.size_models_by_class[class_name]
    log_speed = running.log_size - math.log(elapsed)
    learning.observe_speed(
        leased.speed_model,
        class_name,
        log_speed,
        model.error_variance,
        running.learned_log_speed,
    )
    running.learned_log_speed = log_speed
    refresh_server(state, leased.server.id, now)


def requeue_delayed(state: BackendServersState, now: Seconds) -> None:
    """Put delayed tasks back into the queue when their backoff is over."""
    while state.delayed_tasks and state.delayed_tasks[0][0] <= now:
        _, _, job, index = heapq.heappop(state.delayed_tasks)
        if job.dropped:
            continue
        job.delayed -= 1
        model = state.size_models_by_class[job.queued.class_name]
        size = learning.predict_size(model, job.queued.tasks[index].size)
        queue = state.queues_by_class[job.queued.class_name]
        add_waiting(queue, job, [(size, index)])
        state.queued_tasks += 1
