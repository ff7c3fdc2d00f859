"""Refusals of submissions, and the submissions that an earlier refusal covers."""

from __future__ import annotations

from typing import Any

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import DurableJob
from boragetide.effects import Count, Effect, LogEvent, Reply
from boragetide.messages import DispatcherReply, ReplyStatus, SubmitDurableJob
from boragetide.policy.submission_fence import is_too_old
from boragetide.types import ReplyTo, Seconds

REASON_TOO_LATE = "it cannot be served in time"
REASON_TOO_LARGE = "no backend server is large enough for one of its tasks"
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
    state.fence.close(job.id, now)
    return _refuse(state, job, waiters, reason, now, retry_after, arrival or {})


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
    the meantime. A submission for which a refusal may already be forgotten is left
    undecided.
    """
    if state.fence.covers(job.id, message.submitted_at):
        return _refuse(state, job, [message.reply_to], REASON_VOID, now, 0.0, arrival)
    if is_too_old(message.submitted_at, now):
        undecided = DispatcherReply(ReplyStatus.UNDECIDED, term=state.term)
        fields = {"job": job.id, "age": now - job.submitted_at, **arrival}
        return [
            LogEvent("submission_too_old", fields),
            Reply(message.reply_to, undecided),
        ]
    return []
