"""Innermost filter: submits the job to its owner and waits for the answer."""

from __future__ import annotations

from dataclasses import replace

from boragetide.errors import BoragetideError, LinkError, PeerUnreachable, RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.messages import (
    EARLIER_REFUSAL,
    OTHER_CONTENT,
    ClaimAndSubmit,
    ClaimReply,
    JobAnswer,
    SubmitJob,
)
from boragetide.types import Address, Answer, Seconds, Status, Submission

QUEUEING_MARGIN: Seconds = 60.0


class ClaimNotGranted(BoragetideError):
    """The owner did not complete the quorum and did not accept the job."""

    def __init__(self, reply: ClaimReply | None):
        super().__init__("the owner's grant does not complete the quorum")
        self.reply = reply


async def dispatch(exchange: Exchange, call_next: Next) -> Answer:
    """Submit the job to the owner that its claim names.

    Raises
    ------
    ClaimNotGranted
        If the owner was asked to complete the quorum and did not.
    RequestError
        With ``UNKNOWN`` if the owner has restarted or did not answer; with HTTP status
        409 if the id belongs to a job with other payloads.
    """
    claim = exchange.claim
    if exchange.live.get(claim.owner, 0) > claim.owner_incarnation:
        message = f"the owner {claim.owner!r} of this job has restarted"
        raise RequestError(Status.UNKNOWN, 504, message)
    try:
        reply = await _ask_owner(exchange)
    except PeerUnreachable as error:
        if exchange.replies_by_acceptor is not None:
            raise ClaimNotGranted(None) from error
        raise RequestError(Status.UNKNOWN, 504, str(error)) from error
    except LinkError as error:
        raise RequestError(Status.UNKNOWN, 504, str(error)) from error
    if isinstance(reply, ClaimReply):
        raise ClaimNotGranted(reply)
    if reply.refused_for == OTHER_CONTENT:
        raise RequestError(reply.answer.status, 409, reply.answer.error)
    return reply.answer


async def _ask_owner(exchange: Exchange) -> JobAnswer | ClaimReply:
    """Submit the job; once more if it was refused before and the caller still waits.

    The first message of a caller that has left must not run: a later request of the
    caller may have been refused with the promise that the job has not run.
    """
    to, message = _make_owner_request(exchange)
    timeout = _choose_answer_timeout(exchange)
    reply = await exchange.runtime.ask(to, message, timeout)
    if isinstance(reply, ClaimReply) or reply.refused_for != EARLIER_REFUSAL:
        return reply
    if exchange.caller_left:
        return reply
    message = replace(message, refusals=reply.refusals)
    return await exchange.runtime.ask(to, message, timeout)


def _make_owner_request(
    exchange: Exchange,
) -> tuple[Address, SubmitJob | ClaimAndSubmit]:
    claim, submission = exchange.claim, exchange.submission
    replies = exchange.replies_by_acceptor
    if replies is None:
        return Address(claim.owner, "jobs"), SubmitJob(
            submission=submission, claim=claim
        )
    message = ClaimAndSubmit(
        submission=submission,
        claim=claim,
        asked_at=exchange.received_at,
        replies_by_acceptor=replies,
    )
    return Address(claim.owner, "claims"), message


def _choose_answer_timeout(exchange: Exchange) -> Seconds:
    """Return a timeout that covers the whole job only if the owner can still run it."""
    if exchange.live.get(exchange.claim.owner) != exchange.claim.owner_incarnation:
        return exchange.runtime.settings.timing.request_timeout
    return _compute_job_timeout(exchange.submission)


def _compute_job_timeout(submission: Submission) -> Seconds:
    return QUEUEING_MARGIN + max(task.timeout for task in submission.tasks)
