"""Applies committed commands to the table of durable jobs.

Every member applies the same commands in the same order, so these functions depend on
nothing but their arguments. Each command is idempotent, because a new leader may
propose the end of a run that its predecessor has already committed.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import replace
from operator import itemgetter

from boragetide.durable import DurableJob, JobPhase, JobRecord, RunEnd, RunLoss
from boragetide.policy.crash_suspicion import group_by_task, is_guilty, merge_losses
from boragetide.task_set import TaskSet
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
    by_job: defaultdict[JobId, list[RunEnd]] = defaultdict(list)
    for end in ends:
        by_job[end.job_id].append(end)
    changed = set()
    for job_id, of_job in by_job.items():
        record = jobs_by_id.get(job_id)
        if record is None or record.phase is not JobPhase.ACTIVE:
            continue
        updated = _record_ends(record, of_job, now)
        if updated is not record:
            jobs_by_id[job_id] = updated
            changed.add(job_id)
    return changed


def _record_ends(record: JobRecord, ends: list[RunEnd], now: Seconds) -> JobRecord:
    """Return the record of a job after ends, which count until the job has ended."""
    done = record.done
    failures = _Failures(record.failures)
    phase = JobPhase.ACTIVE
    for end in ends:
        if end.task in done:
            continue
        if end.failed:
            if failures.add((end.task, end.run)) >= record.job.starts.attempts:
                phase = JobPhase.FAILED
                break
            continue
        done = done.add(end.task)
        if len(done) == record.job.task_count:
            phase = JobPhase.SUCCEEDED
            break
    if done is record.done and not failures.new:
        return record
    all_failures = (*record.failures, *failures.new)
    updated = replace(record, done=done, failures=all_failures, changed_at=now)
    if phase is JobPhase.ACTIVE:
        return updated
    return _finish(updated, phase, now, done)


class _Failures:
    """Failed attempts of one job, which are counted once for all ends of a command.

    Parameters
    ----------
    known
        Task number and run number of each earlier failure.
    """

    def __init__(self, known: tuple[tuple[int, int], ...]):
        self.new: list[tuple[int, int]] = []
        self._known = known
        self._all: set[tuple[int, int]] | None = None
        self._count_by_task: Counter[int] = Counter()

    def add(self, attempt: tuple[int, int]) -> int:
        """Record a failed attempt; return how often its task has failed.

        One that is known already counts as none.
        """
        if self._all is None:
            self._all = set(self._known)
            self._count_by_task.update(map(itemgetter(0), self._known))
        if attempt in self._all:
            return 0
        self._all.add(attempt)
        self.new.append(attempt)
        self._count_by_task[attempt[0]] += 1
        return self._count_by_task[attempt[0]]


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
    record: JobRecord, phase: JobPhase, now: Seconds, done: TaskSet
) -> JobRecord:
    """Return a record of the ended job."""
    return replace(without_spec(record), phase=phase, done=done, changed_at=now)


def without_spec(record: JobRecord) -> JobRecord:
    """Return a record without the spec, which only the runs of a job need."""
    return replace(record, job=replace(record.job, spec=""))
