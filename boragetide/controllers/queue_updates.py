"""Keeps the queue of waiting tasks up to date with records, runs and losses.

`update_tasks` costs what has changed. `update_queue` goes through all tasks of a job,
which is left to changes that concern all of them.
"""

from __future__ import annotations

from collections.abc import Iterable

from boragetide.controllers.dispatch_state import DispatcherState, may_start
from boragetide.durable import JobPhase, JobRecord, Step
from boragetide.policy.job_progress import JobProgress, make_progress
from boragetide.types import JobId

# Most tasks of loaded jobs that are queued in one go.
MAX_QUEUED_TASKS = 2000


def update_queue(state: DispatcherState, job_id: JobId) -> None:
    """Update the queue with all tasks of a job that are ready to start."""
    record = _find_waiting(state, job_id)
    if record is None:
        _remove(state, job_id)
        return
    progress = state.progress_by_id[job_id] = make_progress(record)
    of_job = state.losses.by_job.get(job_id)
    if of_job is not None:
        of_job.forget_done(record.done)
    tasks = {
        number: step
        for number, step in progress.iterate_ready()
        if may_start(state, (job_id, number))
    }
    suspects = {
        number: step
        for number, step in tasks.items()
        if _is_suspect(state, job_id, number)
    }
    _put_suspects(state, job_id, suspects)
    waiting = (number for number in tasks if number not in suspects)
    state.queue.put(record.job, waiting, has_started=job_id in state.started)


def update_tasks(
    state: DispatcherState, job_id: JobId, numbers: Iterable[int] = ()
) -> None:
    """Update the queue with the tasks of a job for which something has changed.

    Parameters
    ----------
    numbers
        Numbers of the tasks of which runs have begun or ended. Those that the record of
        the job shows to be done, or to be ready by that, are found here.
    """
    record = _find_waiting(state, job_id)
    progress = None if record is None else _get_progress(state, record)
    if progress is None:
        update_queue(state, job_id)
        return
    changed = progress.advance(record.done)
    of_job = state.losses.by_job.get(job_id)
    if of_job is not None and of_job.forget_done(record.done, changed):
        # The other tasks of the job are no suspects any more.
        update_queue(state, job_id)
        return
    added: list[int] = []
    removed: list[int] = []
    for number in {*numbers, *changed} if changed else numbers:
        is_waiting = progress.is_ready(number) and may_start(state, (job_id, number))
        if not is_waiting:
            removed.append(number)
            state.suspects_by_job.get(job_id, {}).pop(number, None)
        elif _is_suspect(state, job_id, number):
            suspects = state.suspects_by_job.setdefault(job_id, {})
            suspects[number] = progress.find_step(number)
        else:
            added.append(number)
    has_started = job_id in state.started
    state.queue.update(record.job, added, removed, has_started=has_started)


def queue_loaded_jobs(state: DispatcherState) -> None:
    """Queue the next part of the jobs that a new leader has loaded."""
    count = 0
    while state.unqueued and count < MAX_QUEUED_TASKS:
        job_id = state.unqueued.popleft()
        update_queue(state, job_id)
        record = state.records_by_id.get(job_id)
        count += 1 if record is None else record.job.task_count


def _find_waiting(state: DispatcherState, job_id: JobId) -> JobRecord | None:
    """Return the record of a job that has not ended and does not leave the group."""
    record = state.records_by_id.get(job_id)
    is_leaving = job_id in state.transfers.command_by_job
    if record is None or record.phase is not JobPhase.ACTIVE or is_leaving:
        return None
    return record


def _remove(state: DispatcherState, job_id: JobId) -> None:
    state.queue.remove(job_id)
    state.suspects_by_job.pop(job_id, None)
    state.progress_by_id.pop(job_id, None)


def _get_progress(state: DispatcherState, record: JobRecord) -> JobProgress | None:
    """Return the known progress of a job, unless it is of another submission."""
    progress = state.progress_by_id.get(record.job.id)
    return progress if progress is not None and progress.is_of(record) else None


def _is_suspect(state: DispatcherState, job_id: JobId, number: int) -> bool:
    of_job = state.losses.by_job.get(job_id)
    return of_job is not None and of_job.suspects(number)


def _put_suspects(
    state: DispatcherState, job_id: JobId, suspects: dict[int, Step]
) -> None:
    of_job = state.losses.by_job.get(job_id)
    if of_job is not None and of_job.open_tasks:
        state.suspects_by_job[job_id] = suspects
    else:
        state.suspects_by_job.pop(job_id, None)
