"""Best-effort jobs, which only the leader holds and whose callers wait for the end."""

from __future__ import annotations

from typing import Any

from boragetide.commands import DropTransfers
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.job_records import (
    append_command,
    apply_record,
    make_transfer_reply,
)
from boragetide.controllers.lost_runs import apply_known_losses
from boragetide.controllers.placing_runs import place_runs
from boragetide.controllers.possible_runs import has_no_possible_run
from boragetide.controllers.refusals import (
    REASON_TOO_LATE,
    RETRY_AFTER,
    has_earlier_run,
    leave_undecided,
    may_have_ended,
    refuse_job,
)
from boragetide.controllers.runs import adopt_run
from boragetide.durable import (
    DurableJob,
    JobPhase,
    JobRecord,
    RunEnd,
    get_task_number,
)
from boragetide.effects import Effect, LogEvent, Reply
from boragetide.messages import (
    DispatcherReply,
    JobRequest,
    ReplyStatus,
    SubmitDurableJob,
    WithdrawSubmissions,
)
from boragetide.policy import job_table
from boragetide.policy.scheduling import expires_at, latest_start
from boragetide.types import JobId, ReplyTo, Seconds


def restarts_when_resubmitted(record: JobRecord) -> bool:
    """Return whether a job that is submitted again runs again from the start."""
    return record.job.best_effort and record.phase is JobPhase.CANCELLED


def has_returned(record: JobRecord, message: JobRequest) -> bool:
    """Return whether a best-effort job has come back since it was transferred.

    The request then followed a later transfer than the one that is noted here.
    """
    return record.job.best_effort and message.transfers >= record.transfers


def answer_resubmission(
    message: SubmitDurableJob, state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Answer a resubmission, or let it wait for the end of a best-effort job."""
    if record.phase is JobPhase.TRANSFERRED:
        return [Reply(message.reply_to, _answer_transferred(state, record, now))]
    if record.job.best_effort and record.phase is JobPhase.ACTIVE:
        waiters = state.waiters_by_job.setdefault(record.job.id, [])
        waiters.append(message.reply_to)
        return []
    ended = DispatcherReply(ReplyStatus.ACCEPTED, state=record.phase.value)
    return [Reply(message.reply_to, ended)]


def _answer_transferred(
    state: DispatcherState, record: JobRecord, now: Seconds
) -> DispatcherReply:
    """Return the answer to the submission of a job that another group has.

    A durable job is stored, so the submission is accepted.
    """
    if record.job.best_effort:
        state.transfers.note_used_at_by_job[record.job.id] = now
        return make_transfer_reply(state, record)
    return DispatcherReply(ReplyStatus.ACCEPTED, state=JobPhase.ACTIVE.value)


def refuse_if_late(
    message: SubmitDurableJob,
    job: DurableJob,
    state: DispatcherState,
    arrival: dict[str, Any],
    now: Seconds,
) -> list[Effect]:
    """Refuse a job that has waited too long; return no effects if it has not.

    A leader that is overloaded accepts no job that can only be late, because it would
    make others late that can still be in time. Before the takeover is complete, a late
    job is queued, because it may run under an earlier leader.
    """
    overloaded = state.takeover_complete and state.admission.is_overloaded
    limit = latest_start(job) if overloaded else expires_at(job)
    if not job.best_effort or now <= limit:
        return []
    if has_earlier_run(state, job.id):
        return []
    was_accepted = job.id in state.records_by_id
    if was_accepted or may_have_ended(message, now):
        return leave_undecided(message, state, arrival)
    if not state.takeover_complete:
        return []
    return refuse_job(
        state,
        job,
        [message.reply_to],
        REASON_TOO_LATE,
        now,
        retry_after=RETRY_AFTER,
        arrival=arrival,
    )


def accept_best_effort(
    job: DurableJob,
    reply_to: ReplyTo | None,
    arrival: dict[str, Any],
    state: DispatcherState,
    now: Seconds,
    *,
    transfers: int = 0,
) -> list[Effect]:
    """Accept a job without a commit; adopt its runs and ends from an earlier leader.

    Parameters
    ----------
    arrival
        Fields of the log line that tell how the submission arrived.
    transfers
        Number of the job's last transfer to another group.
    """
    previous = state.records_by_id.pop(job.id, None)
    state.waiters_by_job[job.id] = [reply_to]
    record = JobRecord(job, changed_at=now, transfers=transfers)
    effects: list[Effect] = []
    if previous is not None and previous.phase is JobPhase.TRANSFERRED:
        # The next leader would find the note in the log and direct callers by it.
        state.transfers.note_used_at_by_job.pop(job.id, None)
        drop = DropTransfers(previous.transfer.group, (job.id,))
        effects.append(append_command(state, drop))
    effects += apply_record(state, record, now, is_new=True, arrival=arrival)
    effects += adopt_earlier_runs(state, record, now)
    effects += apply_known_losses(state, job.id, now)
    return [*effects, *place_runs(state, now)]


def withdraw_submissions(
    message: WithdrawSubmissions, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Cancel a job for which no caller waits; void the copies that are on their way.

    What was submitted after the withdrawal was sent is not affected: the caller may
    have returned at another instance.
    """
    withdrawn_at = message.withdrawn_at
    if withdrawn_at is not None:
        state.fence.void(message.id, withdrawn_at)
    record = state.records_by_id.get(message.id)
    if record is None or record.phase is not JobPhase.ACTIVE:
        return []
    if withdrawn_at is not None and record.job.submitted_at > withdrawn_at:
        return []
    waiters = state.waiters_by_job.get(message.id, [])
    others = [to for to in waiters if to and to.instance != message.sender]
    if others:
        state.waiters_by_job[message.id] = others
        return []
    return _cancel(state, message.id, now)


def cancel_best_effort(
    state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Cancel a job for all of its callers, unless it has ended."""
    void_submissions(state, record.job.id, now)
    if record.phase is not JobPhase.ACTIVE:
        return []
    return _cancel(state, record.job.id, now)


def void_submissions(state: DispatcherState, job_id: JobId, now: Seconds) -> None:
    """Void all submissions of a job that is cancelled at the request of a caller."""
    state.fence.void(job_id, now)
    job_table.note_cancelled(state.cancelled_at_by_job, job_id, now)


def _cancel(state: DispatcherState, job_id: JobId, now: Seconds) -> list[Effect]:
    job_table.cancel_job(state.records_by_id, job_id, now)
    return apply_record(state, state.records_by_id[job_id], now)


def leave_unserved(
    state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Answer the callers of a job that has started and cannot be of use any more."""
    job_id = record.job.id
    undecided = DispatcherReply(ReplyStatus.UNDECIDED, term=state.term)
    waiters = state.waiters_by_job.pop(job_id, [])
    fields = {"job": job_id, "reason": "run_lost", "term": state.term}
    return [
        LogEvent("job_undecided", fields),
        *(Reply(reply_to, undecided) for reply_to in waiters),
        *_cancel(state, job_id, now),
    ]


def refuse_expired(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Refuse expired best-effort jobs of which no task has begun.

    Before the takeover is complete, an earlier leader may have started any of them.
    """
    if not state.takeover_complete:
        return []
    effects: list[Effect] = []
    for waiting in state.queue.list_expired(now):
        job = waiting.job
        if not job.best_effort or not _has_no_begun_task(state, job.id):
            continue
        waiters = state.waiters_by_job.pop(job.id, [])
        effects += refuse_job(
            state, job, waiters, REASON_TOO_LATE, now, retry_after=RETRY_AFTER
        )
        state.remove_job(job.id)
    return effects


def _has_no_begun_task(state: DispatcherState, job_id: JobId) -> bool:
    """Return whether no task of a waiting job has begun, or may begin late."""
    if job_id not in state.started:
        return True
    return has_no_possible_run(state, state.records_by_id[job_id])


def adopt_earlier_runs(
    state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Adopt the runs and ends of a resubmitted job from an earlier leader."""
    effects: list[Effect] = []
    job_id = record.job.id
    for server in [
        each for each in state.servers_by_id.values() if each.unexpected_runs
    ]:
        for listed in [
            run for run in server.unexpected_runs if run.task.job_id == job_id
        ]:
            number = get_task_number(record.job, listed.task)
            if number is not None and (job_id, number) not in state.server_by_task:
                effects += adopt_run(state, server, record, listed, now, now)
    done = [task for task in state.done_tasks_of_unknown_jobs if task.job_id == job_id]
    numbers = [get_task_number(record.job, task) for task in done]
    ends = tuple(RunEnd(job_id, n, 0, False) for n in numbers if n is not None)
    if job_table.record_ends(state.records_by_id, ends, now):
        state.started.add(job_id)
        effects += apply_record(state, state.records_by_id[job_id], now)
    return effects
