"""Requests of callers about durable jobs, as the leader of their group answers them."""

from __future__ import annotations

from dataclasses import replace
from itertools import chain
from typing import Any

from boragetide.commands import AcceptJob, CancelJobs
from boragetide.controllers.arrivals import describe_arrival, observe_arrival
from boragetide.controllers.best_effort import (
    accept_best_effort,
    answer_resubmission,
    cancel_best_effort,
    has_returned,
    refuse_if_late,
    restarts_when_resubmitted,
    void_submissions,
)
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.held_submissions import fits_elsewhere, hold_submission
from boragetide.controllers.job_records import append_command, make_transfer_reply
from boragetide.controllers.refusals import (
    has_earlier_run,
    refuse_misfit,
    refuse_void_submission,
)
from boragetide.controllers.room_questions import ask_for_room
from boragetide.controllers.stranded_jobs import RoomTable
from boragetide.durable import DurableJob, JobPhase, JobRecord
from boragetide.effects import Effect, Reply
from boragetide.messages import (
    CancelDurableJob,
    CountWaiting,
    DispatcherReply,
    LookUpDurableJob,
    ReplyStatus,
    Request,
    SubmitDurableJob,
)
from boragetide.policy.scheduling import can_ever_fit
from boragetide.policy.transfer_numbers import find_first_number, is_of_term
from boragetide.policy.transfer_table import is_undelivered
from boragetide.types import Seconds


def submit_job(
    message: SubmitDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Accept a job, refuse it, or answer the resubmission of a known one."""
    job = message.job
    if job.id in state.transfers.drop_command_by_job:
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    record = state.records_by_id.get(job.id)
    if record is not None and not _runs_again(message, record, state):
        return answer_resubmission(message, state, record, now)
    pending = state.command_by_job.get(job.id)
    if pending is not None:
        state.replies_by_command[pending].append(message.reply_to)
        return []
    job = _with_submission_time(message, now)
    arrival = describe_arrival(message, now)
    refused = refuse_void_submission(message, job, state, arrival, now)
    refused = refused or refuse_if_late(message, job, state, arrival, now)
    if refused:
        return refused
    if not _can_ever_fit(job, state) and not has_earlier_run(state, job.id):
        if job.best_effort and not state.takeover_complete:
            # An earlier leader may have started the job on a backend server that this
            # one does not know yet. Without a term, the edge asks again.
            return [make_reply(message, ReplyStatus.UNDECIDED)]
        elsewhere = fits_elsewhere(state, job, RoomTable(state, now), now)
        if elsewhere is None:
            hold_submission(message, state, now)
            return ask_for_room(state, now)
        if not elsewhere:
            waiters = [message.reply_to]
            return refuse_misfit(state, job, waiters, now, arrival=arrival)
    if job.best_effort:
        transfers = _find_transfer_number(message, state)
        accepted = accept_best_effort(
            job, message.reply_to, arrival, state, now, transfers=transfers
        )
        return [*observe_arrival(message, now), *accepted]
    append = append_command(state, AcceptJob(job))
    (command_id,) = append.message.commands_by_id
    state.command_by_job[job.id] = command_id
    state.replies_by_command[command_id] = [message.reply_to]
    return [*observe_arrival(message, now), append]


def _runs_again(
    message: SubmitDurableJob, record: JobRecord, state: DispatcherState
) -> bool:
    """Return whether the submission of a known job makes it run from the start."""
    if record.phase is JobPhase.TRANSFERRED:
        return has_returned(record, message)
    if not restarts_when_resubmitted(record):
        return False
    is_void = state.fence.is_void(record.job.id, message.submitted_at)
    return not (is_void or record.job.id in state.cancelled_at_by_job)


def _find_transfer_number(message: SubmitDurableJob, state: DispatcherState) -> int:
    """Return the number of the last transfer of a best-effort job.

    Callers ask the home group first, without having followed a transfer.
    """
    transfers = state.transfers
    if message.transfers == 0:
        return find_first_number(state.term, transfers.highest_number)
    if is_of_term(message.transfers, state.term):
        transfers.highest_number = max(transfers.highest_number, message.transfers)
    return message.transfers


def _with_submission_time(message: SubmitDurableJob, now: Seconds) -> DurableJob:
    """Return the job with its submission time on this instance's clock.

    The time on the way is included if the sender knows this clock.
    """
    arrived_at = now if message.arrived_at is None else message.arrived_at
    submitted_at = arrived_at - message.age
    if message.submitted_at is not None:
        submitted_at = min(submitted_at, message.submitted_at)
    return replace(message.job, submitted_at=submitted_at)


def _can_ever_fit(job: DurableJob, state: DispatcherState) -> bool:
    """Return whether a job can run on the known backend servers.

    If each step fits a backend server with free capacity, the total capacities need not
    be compared. A capacity that has shrunk may grow again. Servers of evacuated zones
    do not count.
    """
    servers = state.servers_by_id
    pool = job.starts.pool
    server_by_needs = {
        needs: next(state.index.iterate(pool, needs.millicores), None)
        for needs in job.shape.needs
    }
    if all(
        server is not None and needs.fits_in(servers[server].free_resources)
        for needs, server in server_by_needs.items()
    ):
        return True
    known = [
        server
        for server in servers.values()
        if server.report.pool == pool and not server.departed
    ]
    in_service = [server for server in known if not server.evacuated]
    if known and not in_service:
        return False
    return can_ever_fit(job, [server.largest_capacity for server in in_service])


def cancel_job(
    message: CancelDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Cancel a job, or direct the request to the group that has it."""
    record = state.records_by_id.get(message.id)
    if message.id in state.transfers.command_by_job:
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    if record is not None and record.phase is JobPhase.TRANSFERRED:
        return _cancel_transferred(message, state, record, now)
    if record is None and message.id not in state.command_by_job:
        return [_cancel_unknown(message, state, now)]
    if record is not None and record.job.best_effort:
        cancelled = cancel_best_effort(state, record, now)
        return [*cancelled, _store_cancellation(message, state, ReplyStatus.ACCEPTED)]
    if record is not None and record.phase is not JobPhase.ACTIVE:
        return [make_reply(message, ReplyStatus.ACCEPTED)]
    return [_store_cancellation(message, state, ReplyStatus.ACCEPTED)]


def _cancel_unknown(
    message: CancelDurableJob, state: DispatcherState, now: Seconds
) -> Effect:
    """Cancel a job of which the submission may still be on its way."""
    void_submissions(state, message.id, now)
    return _store_cancellation(message, state, ReplyStatus.NOT_FOUND)


def _store_cancellation(
    message: CancelDurableJob, state: DispatcherState, status: ReplyStatus
) -> Effect:
    """Append a cancellation to the log; it is answered once it is committed."""
    append = append_command(state, CancelJobs((message.id,)))
    (command_id,) = append.message.commands_by_id
    state.cancel_replies_by_command[command_id] = make_reply(message, status)
    return append


def _cancel_transferred(
    message: CancelDurableJob, state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Direct a cancellation to the group that has the job."""
    if has_returned(record, message):
        return [_cancel_unknown(message, state, now)]
    if is_undelivered(record):
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    return [Reply(message.reply_to, make_transfer_reply(state, record))]


def look_up_job(message: LookUpDurableJob, state: DispatcherState) -> list[Effect]:
    """Answer with the state of a job, or with the group that has it."""
    record = state.records_by_id.get(message.id)
    if record is None:
        return [make_reply(message, ReplyStatus.NOT_FOUND)]
    if record.phase is JobPhase.TRANSFERRED and record.transfer.delivered:
        return [Reply(message.reply_to, make_transfer_reply(state, record))]
    shown = _describe_state(state, record)
    return [make_reply(message, ReplyStatus.FOUND, state=shown)]


def _describe_state(state: DispatcherState, record: JobRecord) -> str:
    if record.phase not in (JobPhase.ACTIVE, JobPhase.TRANSFERRED):
        return record.phase.value
    has_started = record.job.id in state.started or record.done or record.failures
    return "running" if has_started else "queued"


def count_waiting(message: CountWaiting, state: DispatcherState) -> list[Effect]:
    """Answer how many jobs of a class have not started any task."""
    undelivered = chain.from_iterable(
        outbox.values() for outbox in state.transfers.outbox_by_group.values()
    )
    count = sum(
        record.job.class_name == message.class_name
        and _describe_state(state, record) == "queued"
        for record in map(
            state.records_by_id.__getitem__, chain(state.active, undelivered)
        )
    )
    return [make_reply(message, ReplyStatus.FOUND, count=count)]


def make_reply(message: Request, status: ReplyStatus, **fields: Any) -> Reply:
    """Return the reply to a request about durable jobs."""
    return Reply(message.reply_to, DispatcherReply(status, **fields))
