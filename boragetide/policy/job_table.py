"""Applies committed commands to the table of durable jobs.

Every member applies the same commands in the same order, so these functions depend on
nothing but their arguments. Each command is idempotent, because a new leader may
propose the end of a run that its predecessor has already committed.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from boragetide.durable import DurableJob, JobPhase, JobRecord, RunEnd, RunLoss
from boragetide.policy.crash_suspicion import group_by_task, is_guilty, merge_losses
from boragetide.types import JobId, Seconds

# The state of an ended job may be requested for 120 s after its end.
RETENTION = 150.0  # seconds
# A submission that is older than this starts nothing, because the note that its job was
# cancelled may have been dropped. The clocks of two leaders may differ by the remainder
# of the retention time.
MAX_SUBMISSION_AGE = RETENTION - 30.0  # seconds
# An edge instance that lost the reply to a best-effort job repeats its request within
# this time: its request timeout doubles up to 5.6 s.
BEST_EFFORT_RETENTION = 10.0  # seconds
# The group that a job was transferred to decides how long the job is known.
_KEPT_PHASES = frozenset({JobPhase.ACTIVE, JobPhase.TRANSFERRED})


def accept_job(
    jobs_by_id: dict[JobId, JobRecord], job: DurableJob, now: Seconds
) -> set[JobId]:
    """Add a job unless its id is known; return the ids of the changed jobs."""
    if job.id in jobs_by_id:
        return set()
    jobs_by_id[job.id] = JobRecord(job, changed_at=now)
    return {job.id}


def record_ends(
    jobs_by_id: dict[JobId, JobRecord], ends: tuple[RunEnd, ...], now: Seconds
) -> set[JobId]:
    """Record the ends of runs and return the ids of the jobs that they changed."""
    changed = set()
    for end in ends:
        record = jobs_by_id.get(end.job_id)
        if record is None or record.phase is not JobPhase.ACTIVE:
            continue
        updated = _record_end(record, end, now)
        if updated is not record:
            jobs_by_id[end.job_id] = updated
            changed.add(end.job_id)
    return changed


def _record_end(record: JobRecord, end: RunEnd, now: Seconds) -> JobRecord:
    if end.task in record.done:
        return record
    if end.failed:
        return _record_failure(record, end, now)
    done = record.done | {end.task}
    if len(done) == record.job.task_count:
        return _finish(record, JobPhase.SUCCEEDED, now, done)
    return replace(record, done=done, changed_at=now)


def _record_failure(record: JobRecord, end: RunEnd, now: Seconds) -> JobRecord:
    attempt = (end.task, end.run)
    if attempt in record.failures:
        return record
    failures = (*record.failures, attempt)
    record = replace(record, failures=failures, changed_at=now)
    if count_failures(record, end.task) >= record.job.starts.attempts:
        return _finish(record, JobPhase.FAILED, now, record.done)
    return record


def record_losses(
    jobs_by_id: dict[JobId, JobRecord], losses: tuple[RunLoss, ...], now: Seconds
) -> set[JobId]:
    """Record runs that were lost with their backend servers.

    A job of which a task crashes its backend servers ends as failed.

    Returns
    -------
    set
        Ids of the jobs that changed.
    """
    by_job: defaultdict[JobId, list[RunLoss]] = defaultdict(list)
    for loss in losses:
        by_job[loss.job_id].append(loss)
    changed = set()
    for job_id, of_job in by_job.items():
        record = jobs_by_id.get(job_id)
        if record is None or record.phase is not JobPhase.ACTIVE:
            continue
        merged = merge_losses(record.losses, of_job)
        if merged == record.losses:
            continue
        updated = replace(record, losses=merged, changed_at=now)
        if _has_guilty_task(updated, of_job):
            updated = _finish(updated, JobPhase.FAILED, now, updated.done)
        jobs_by_id[job_id] = updated
        changed.add(job_id)
    return changed


def _has_guilty_task(record: JobRecord, losses: list[RunLoss]) -> bool:
    """Return whether one of the tasks with new losses is to blame for crashes."""
    by_task = group_by_task(record.losses)
    return any(
        is_guilty(by_task.get(task, ()), task)
        for task in {loss.task for loss in losses} - record.done
    )


def count_failures(record: JobRecord, task: int) -> int:
    """Return the number of failed runs of a task."""
    return sum(number == task for number, _ in record.failures)


def cancel_job(
    jobs_by_id: dict[JobId, JobRecord], job_id: JobId, now: Seconds
) -> set[JobId]:
    """Cancel a job unless it has ended; return the ids of the changed jobs."""
    record = jobs_by_id.get(job_id)
    if record is None or record.phase is not JobPhase.ACTIVE:
        return set()
    jobs_by_id[job_id] = _finish(record, JobPhase.CANCELLED, now, record.done)
    return {job_id}


def note_cancelled(
    cancelled_at_by_job: dict[JobId, Seconds], job_id: JobId, now: Seconds
) -> None:
    """Note that a job of which no record is stored was cancelled."""
    cancelled_at_by_job.pop(job_id, None)
    cancelled_at_by_job[job_id] = now


def drop_old_notes(cancelled_at_by_job: dict[JobId, Seconds], now: Seconds) -> None:
    """Drop the notes of cancelled jobs that no submission can concern any more."""
    expired = []
    for job_id, cancelled_at in cancelled_at_by_job.items():
        if now - cancelled_at <= RETENTION:
            break
        expired.append(job_id)
    for job_id in expired:
        del cancelled_at_by_job[job_id]


def drop_ended_jobs(jobs_by_id: dict[JobId, JobRecord], now: Seconds) -> None:
    """Drop jobs whose retention time has passed; the oldest jobs come first."""
    expired = []
    for job_id, record in jobs_by_id.items():
        best_effort = record.job.best_effort
        retention = BEST_EFFORT_RETENTION if best_effort else RETENTION
        if now - record.job.submitted_at <= retention:
            break
        if record.phase in _KEPT_PHASES:
            continue
        if now - record.changed_at > retention:
            expired.append(job_id)
    for job_id in expired:
        del jobs_by_id[job_id]


def _finish(
    record: JobRecord, phase: JobPhase, now: Seconds, done: frozenset[int]
) -> JobRecord:
    """Return a record of the ended job."""
    return replace(without_spec(record), phase=phase, done=done, changed_at=now)


def without_spec(record: JobRecord) -> JobRecord:
    """Return a record without the spec, which only the runs of a job need."""
    return replace(record, job=replace(record.job, spec=""))
