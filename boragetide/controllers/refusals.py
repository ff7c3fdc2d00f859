"""Refusals of submissions, and the submissions that an earlier refusal covers."""

from __future__ import annotations

from typing import Any

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import DurableJob, JobPhase
from boragetide.effects import Count, Effect, LogEvent, Reply
from boragetide.messages import DispatcherReply, ReplyStatus, SubmitDurableJob
from boragetide.policy import job_table
from boragetide.policy.submission_fence import MAX_DELIVERY_TIME
from boragetide.types import JobId, ReplyTo, Seconds

# A typical burst of jobs from one site is over after this time.
RETRY_AFTER: Seconds = 4.0

REASON_TOO_LATE = "it cannot be served in time"
REASON_TOO_LARGE = "no backend server is large enough for one of its tasks"
REASON_ROOM_UNKNOWN = "no known backend server is large enough for one of its tasks"
REASON_EVACUATED = (
    "no backend server of an availability zone in service is large enough for one of "
    "its tasks"
)
REASON_VOID = "an earlier copy was refused or withdrawn"


def refuse_job(
    state: DispatcherState,
    job: DurableJob,
    waiters: list[ReplyTo | None],
    reason: str,
    now: Seconds,
    *,
    retry_after: Seconds = 0.0,
    arrival: dict[str, Any] | None = None,
) -> list[Effect]:
    """Refuse a job of which no task was started, with all copies of its submissions.

    Parameters
    ----------
    waiters
        Requests to answer.
    retry_after
        Seconds after which the job may be submitted again.
    arrival
        Fields of the log line that tell how the submission arrived.
    """
    state.fence.void(job.id, now)
    labels = {"class": job.class_name, "outcome": "refused"}
    refused = _refuse(state, job, waiters, reason, now, retry_after, arrival or {})
    return [*refused, Count("durable_job_outcomes", labels)]


def refuse_misfit(
    state: DispatcherState,
    job: DurableJob,
    waiters: list[ReplyTo | None],
    now: Seconds,
    *,
    arrival: dict[str, Any] | None = None,
) -> list[Effect]:
    """Refuse a job of which a task fits no backend server in service.

    While a zone is evacuated, the job may be submitted again, because the servers of
    that zone may be large enough.
    """
    if not state.zones.evacuated:
        return refuse_job(state, job, waiters, REASON_TOO_LARGE, now, arrival=arrival)
    refused = refuse_job(
        state,
        job,
        waiters,
        REASON_EVACUATED,
        now,
        retry_after=RETRY_AFTER,
        arrival=arrival,
    )
    return [*refused, Count("refusals_for_evacuation")]


def _refuse(
    state: DispatcherState,
    job: DurableJob,
    waiters: list[ReplyTo | None],
    reason: str,
    now: Seconds,
    retry_after: Seconds,
    arrival: dict[str, Any],
) -> list[Effect]:
    refused = DispatcherReply(
        ReplyStatus.REFUSED, reason=reason, retry_after=retry_after, term=state.term
    )
    fields = {
        "job": job.id,
        "class": job.class_name,
        "reason": reason,
        "age": now - job.submitted_at,
        "waiting": len(state.queue.late),
        "term": state.term,
    }
    return [
        LogEvent("job_refused", fields | arrival),
        Count("durable_jobs_refused"),
        *(Reply(reply_to, refused) for reply_to in waiters),
    ]


def refuse_void_submission(
    message: SubmitDurableJob,
    job: DurableJob,
    state: DispatcherState,
    arrival: dict[str, Any],
    now: Seconds,
) -> list[Effect]:
    """Refuse a submission that is void; return no effects if it is not.

    The fence stays where it is, because the caller may have submitted the job again in
    the meantime. A copy of a cancelled job is answered with that state. One that was on
    its way for so long that a refusal may be forgotten, or the note by which another
    group directed it, is left undecided, and so is one whose job runs under an earlier
    leader, or may do so because the takeover is not complete.
    """
    is_void = state.fence.is_void(job.id, message.submitted_at)
    has_not_run = state.takeover_complete and not has_earlier_run(state, job.id)
    if is_void and has_not_run:
        waiters = [message.reply_to]
        return _refuse(state, job, waiters, REASON_VOID, now, RETRY_AFTER, arrival)
    if job.id in state.cancelled_at_by_job:
        return [_make_cancelled_reply(message)]
    directed_for = message.directed_age + message.delivery_time(now)
    if is_void or directed_for > MAX_DELIVERY_TIME:
        return leave_undecided(message, state, arrival)
    if _may_be_cancelled(message, state, now):
        return leave_undecided(message, state, arrival)
    return []


def _make_cancelled_reply(message: SubmitDurableJob) -> Reply:
    cancelled = DispatcherReply(ReplyStatus.ACCEPTED, state=JobPhase.CANCELLED.value)
    return Reply(message.reply_to, cancelled)


def _may_be_cancelled(
    message: SubmitDurableJob, state: DispatcherState, now: Seconds
) -> bool:
    """Return whether the note that a job was cancelled may have been dropped.

    The runs of a cancelled job are over long before that.
    """
    age = message.age + message.delivery_time(now)
    is_old = age > job_table.MAX_SUBMISSION_AGE
    return is_old and not has_earlier_run(state, message.job.id)


def leave_undecided(
    message: SubmitDurableJob,
    state: DispatcherState,
    arrival: dict[str, Any],
) -> list[Effect]:
    """Answer a submission that is not run here, but of which a copy may have run."""
    undecided = DispatcherReply(ReplyStatus.UNDECIDED, term=state.term)
    fields = {"job": message.job.id, "term": state.term, **arrival}
    return [LogEvent("job_undecided", fields), Reply(message.reply_to, undecided)]


def may_have_ended(message: SubmitDurableJob, now: Seconds) -> bool:
    """Return whether the job may have ended so long ago that its record was dropped."""
    age = message.age + message.delivery_time(now)
    return message.attempt > 1 and age > job_table.BEST_EFFORT_RETENTION


def has_earlier_run(state: DispatcherState, job_id: JobId) -> bool:
    """Return whether a run or an end of the job from an earlier leader is known."""
    return job_id in list_jobs_of_earlier_leaders(state)


def list_jobs_of_earlier_leaders(state: DispatcherState) -> set[JobId]:
    """Return the unknown jobs of which a run or an end is known."""
    listed = {task.job_id for task in state.done_tasks_of_unknown_jobs}
    for server in state.servers_by_id.values():
        listed |= {run.task.job_id for run in server.unexpected_runs}
    return listed
