"""Transfers of jobs between groups, on the leader of either group.

The record of a durable job is delivered to the leader of the other group until that has
stored it (`policy.transfer_table`). A best-effort job is only known to its leader, so
the instance of its caller submits it to the other group. A note of the transfer is
stored first, so that no later leader of this group starts the job.
"""

from __future__ import annotations

from collections import defaultdict

from sortedcontainers import SortedDict

from boragetide.commands import AdoptJobs, ConfirmTransfers, DropTransfers
from boragetide.controllers.dispatch_state import DispatcherState, has_authority
from boragetide.controllers.group_messages import address_sender, send_to_group
from boragetide.controllers.job_records import append_command
from boragetide.controllers.refusals import list_jobs_of_earlier_leaders
from boragetide.controllers.room_questions import find_room
from boragetide.controllers.transfer_state import PendingAdoption
from boragetide.durable import JobPhase, JobRecord
from boragetide.effects import Count, Effect, LogEvent, Send
from boragetide.messages import (
    DeliverJobs,
    JobsDelivered,
    ReviewTransfers,
    TransfersReviewed,
)
from boragetide.policy.job_table import RETENTION
from boragetide.policy.submission_fence import MAX_DELIVERY_TIME
from boragetide.policy.transfer_table import is_undelivered
from boragetide.types import GroupId, JobId, Seconds

DELIVERY_INTERVAL: Seconds = 0.5
MAX_DELIVERED_JOBS = 32  # a record has up to 4,000 characters of its spec
NOTE_REVIEW_INTERVAL: Seconds = 10.0
MAX_REVIEWED_NOTES = 256


def review_transfers(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Find room for stranded jobs; repeat what other groups have not answered."""
    if state.settings.group_count == 1 or not has_authority(state, now):
        return []
    return [
        *deliver_jobs(state, now),
        *_review_notes(state, now),
        *find_room(state, now),
    ]


def apply_commits(
    state: DispatcherState, command_ids: tuple[str, ...], now: Seconds
) -> list[Effect]:
    """Deliver the jobs whose transfer is committed, and acknowledge adopted ones."""
    transfers = state.transfers
    committed = set(command_ids)
    left = [
        job_id
        for job_id, command_id in transfers.command_by_job.items()
        if command_id in committed
    ]
    for job_id in left:
        del transfers.command_by_job[job_id]
    _remove_dropped_notes(state, committed)
    effects: list[Effect] = []
    for command_id in committed & transfers.adoption_by_command.keys():
        adoption = transfers.adoption_by_command.pop(command_id)
        stored = JobsDelivered(state.settings.group, adoption.until)
        effects.append(Send(adoption.reply_address, stored))
    if left:
        transfers.next_delivery_by_group.clear()
    return [*effects, *deliver_jobs(state, now)]


def _remove_dropped_notes(state: DispatcherState, committed: set[str]) -> None:
    """Remove the notes whose removal is committed."""
    commands = state.transfers.drop_command_by_job
    removed = [job_id for job_id, each in commands.items() if each in committed]
    for job_id in removed:
        del commands[job_id]
        state.transfers.note_used_at_by_job.pop(job_id, None)
        record = state.records_by_id.get(job_id)
        if record is not None and record.phase is JobPhase.TRANSFERRED:
            del state.records_by_id[job_id]


def deliver_jobs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Deliver transferred jobs; repeat the deliveries that are not confirmed."""
    transfers = state.transfers
    effects: list[Effect] = []
    for group, outbox in transfers.outbox_by_group.items():
        if not outbox or now < transfers.next_delivery_by_group.get(group, 0.0):
            continue
        transfers.next_delivery_by_group[group] = now + DELIVERY_INTERVAL
        job_ids = outbox.values()[:MAX_DELIVERED_JOBS]
        records = tuple(state.records_by_id[job_id] for job_id in job_ids)
        message = DeliverJobs(state.settings.id, state.settings.group, records)
        effects += send_to_group(state, group, message)
    return effects


def adopt_delivered(
    message: DeliverJobs, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Append the adoption of delivered jobs, one batch of each group at a time."""
    pending = state.transfers.adoption_by_command
    is_pending = any(each.group == message.group for each in pending.values())
    if not has_authority(state, now) or is_pending or not message.records:
        return []
    if not all(_is_for(state, record) for record in message.records):
        fields = {"sender": message.sender, "from": message.group}
        return [LogEvent("delivery_invalid", fields)]
    append = append_command(state, AdoptJobs(message.group, message.records))
    (command_id,) = append.message.commands_by_id
    until = message.records[-1].transfer.sequence
    reply_address = address_sender(message)
    pending[command_id] = PendingAdoption(reply_address, message.group, until)
    return [append]


def _is_for(state: DispatcherState, record: JobRecord) -> bool:
    transfer = record.transfer
    return transfer is not None and transfer.group == state.settings.group


def confirm_delivered(
    message: JobsDelivered, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Append the confirmation of what the other group has stored."""
    transfers = state.transfers
    confirmed = transfers.confirmed_by_group.get(message.group, 0)
    if not has_authority(state, now) or message.until <= confirmed:
        return []
    outbox = transfers.outbox_by_group.get(message.group, SortedDict())
    sequences = outbox.irange(maximum=message.until)
    job_ids = tuple(outbox[sequence] for sequence in sequences)
    if not job_ids:
        return []
    transfers.confirmed_by_group[message.group] = message.until
    transfers.next_delivery_by_group.pop(message.group, None)
    command = ConfirmTransfers(message.group, message.until, job_ids)
    return [append_command(state, command)]


def _review_notes(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Ask the other groups which of the jobs that went there they have forgotten."""
    if now < state.transfers.next_note_review_at:
        return []
    state.transfers.next_note_review_at = now + NOTE_REVIEW_INTERVAL
    ids_by_group: dict[GroupId, list[JobId]] = defaultdict(list)
    for job_id, record in state.records_by_id.items():
        if _is_old_note(state, record, now):
            ids_by_group[record.transfer.group].append(job_id)
    effects: list[Effect] = []
    for group, ids in ids_by_group.items():
        message = ReviewTransfers(
            state.settings.id, state.settings.group, tuple(ids[:MAX_REVIEWED_NOTES])
        )
        effects += send_to_group(state, group, message)
    return effects


def _is_old_note(state: DispatcherState, record: JobRecord, now: Seconds) -> bool:
    """Return whether the other group may have forgotten a transferred job."""
    if record.phase is not JobPhase.TRANSFERRED or is_undelivered(record):
        return False
    if not record.job.best_effort:
        return now - record.changed_at > RETENTION
    # A best-effort job may still be on its way from the instance of its caller. When
    # earlier leaders directed callers to the other group is not known.
    used_at = state.transfers.note_used_at_by_job.get(record.job.id, 0.0)
    used_at = max(used_at, record.changed_at, state.leader_since)
    return now - used_at > MAX_DELIVERY_TIME


def answer_review(
    message: ReviewTransfers, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Answer which of the jobs are not known here any more."""
    if not has_authority(state, now) or not state.takeover_complete:
        return []
    may_run = _list_jobs_that_may_run(state)
    unknown = tuple(
        job_id
        for job_id in message.job_ids
        if not _is_known(state, job_id) and job_id not in may_run
    )
    if not unknown:
        return []
    answer = TransfersReviewed(state.settings.group, unknown)
    return [Send(address_sender(message), answer)]


def _list_jobs_that_may_run(state: DispatcherState) -> set[JobId]:
    """Return the jobs of which a run may be in progress, known here or not.

    The record of an ended job may be dropped before its last run is certainly over.
    """
    occupied = (*state.server_by_task, *state.server_by_blocked_task)
    return list_jobs_of_earlier_leaders(state) | {job_id for job_id, _ in occupied}


def _is_known(state: DispatcherState, job_id: JobId) -> bool:
    return (
        job_id in state.records_by_id
        or job_id in state.command_by_job
        or job_id in state.cancelled_at_by_job
    )


def drop_reviewed(
    message: TransfersReviewed, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Remove the notes of jobs that the other group has forgotten."""
    if not has_authority(state, now):
        return []
    dropped = []
    for job_id in message.unknown:
        record = state.records_by_id.get(job_id)
        if record is None or not _is_old_note(state, record, now):
            continue
        is_pending = job_id in state.transfers.drop_command_by_job
        if record.transfer.group == message.group and not is_pending:
            dropped.append(job_id)
    if not dropped:
        return []
    append = append_command(state, DropTransfers(message.group, tuple(dropped)))
    (command_id,) = append.message.commands_by_id
    state.transfers.drop_command_by_job |= dict.fromkeys(dropped, command_id)
    return [Count("transfer_notes_dropped", value=len(dropped)), append]
