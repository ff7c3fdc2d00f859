"""Applies committed transfers of jobs between groups to the table of durable jobs.

A transfer has two commits. The group that has a job first stores that the job has left,
and from then on starts nothing of it. It delivers the record, again and again, until
the other group has stored it. The transfers between two groups are numbered, and each
message begins with the oldest one that is not confirmed. A group that remembers the
newest number it has stored therefore takes over each job exactly once, however often
and however late the messages arrive.
"""

from __future__ import annotations

from dataclasses import replace

from boragetide.commands import (
    AdoptJobs,
    ConfirmTransfers,
    DropTransfers,
    TransferJobs,
)
from boragetide.durable import JobPhase, JobRecord, Transfer
from boragetide.policy.job_table import without_spec
from boragetide.types import JobId, Seconds


def transfer_jobs(
    jobs_by_id: dict[JobId, JobRecord],
    transferred_by_group: dict[int, int],
    command: TransferJobs,
    now: Seconds,
) -> set[JobId]:
    """Mark jobs as transferred; return the ids of the jobs that changed."""
    changed = set()
    for job_id in command.job_ids:
        record = jobs_by_id.get(job_id)
        if record is None or record.phase is not JobPhase.ACTIVE:
            continue
        sequence = transferred_by_group.get(command.group, 0) + 1
        transferred_by_group[command.group] = sequence
        left = replace(record, run_base=record.run_base + command.run_span)
        jobs_by_id[job_id] = _leave(left, Transfer(command.group, sequence), now)
        changed.add(job_id)
    for record in command.best_effort:
        transfer = Transfer(command.group, sequence=0, delivered=True)
        jobs_by_id[record.job.id] = _leave(record, transfer, now)
        changed.add(record.job.id)
    return changed


def make_note(record: JobRecord) -> JobRecord:
    """Return the part of a best-effort job's record that tells where it went."""
    return replace(record, job=replace(record.job, spec="", steps=()))


def _leave(record: JobRecord, transfer: Transfer, now: Seconds) -> JobRecord:
    return replace(
        record,
        phase=JobPhase.TRANSFERRED,
        transfer=transfer,
        transfers=record.transfers + 1,
        changed_at=now,
    )


def adopt_jobs(
    jobs_by_id: dict[JobId, JobRecord],
    adopted_by_group: dict[int, int],
    command: AdoptJobs,
    now: Seconds,
) -> set[JobId]:
    """Store the jobs of another group that are new; return their ids.

    A job that left this group earlier returns with its newer record.
    """
    changed = set()
    for record in command.records:
        if record.transfer.sequence <= adopted_by_group.get(command.source, 0):
            continue
        adopted_by_group[command.source] = record.transfer.sequence
        job_id = record.job.id
        known = jobs_by_id.get(job_id)
        if known is not None and known.phase is not JobPhase.TRANSFERRED:
            continue
        # The table is sorted by the time at which jobs were added.
        jobs_by_id.pop(job_id, None)
        jobs_by_id[job_id] = replace(
            record, phase=JobPhase.ACTIVE, transfer=None, changed_at=now
        )
        changed.add(job_id)
    return changed


def confirm_transfers(
    jobs_by_id: dict[JobId, JobRecord], command: ConfirmTransfers, now: Seconds
) -> set[JobId]:
    """Keep only a note of each job that the other group has stored.

    Returns
    -------
    set
        Ids of these jobs.
    """
    confirmed = {
        job_id
        for job_id in command.job_ids
        if (record := jobs_by_id.get(job_id)) is not None
        and is_undelivered(record)
        and record.transfer.group == command.group
        and record.transfer.sequence <= command.until
    }
    for job_id in confirmed:
        record = without_spec(jobs_by_id[job_id])
        delivered = replace(record.transfer, delivered=True)
        jobs_by_id[job_id] = replace(record, transfer=delivered, changed_at=now)
    return confirmed


def drop_transfers(
    jobs_by_id: dict[JobId, JobRecord], command: DropTransfers
) -> set[JobId]:
    """Remove notes of transferred jobs; return the ids of the removed ones."""
    dropped = {
        job_id
        for job_id in command.job_ids
        if (record := jobs_by_id.get(job_id)) is not None
        and record.phase is JobPhase.TRANSFERRED
        and record.transfer.delivered
        and record.transfer.group == command.group
    }
    for job_id in dropped:
        del jobs_by_id[job_id]
    return dropped


def is_undelivered(record: JobRecord) -> bool:
    """Return whether a job has left and may not be stored in the other group yet."""
    return record.phase is JobPhase.TRANSFERRED and not record.transfer.delivered
