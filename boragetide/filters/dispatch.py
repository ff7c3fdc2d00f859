"""Innermost filter: hands the job to its owner and waits for the answer."""

from __future__ import annotations

from boragetide.errors import LinkError, RequestError
from boragetide.filters.chain import Exchange, Next
from boragetide.messages import JobAnswer, SubmitJob
from boragetide.types import Address, Answer, Seconds, Status, Submission

QUEUEING_MARGIN: Seconds = 60.0


async def dispatch(exchange: Exchange, call_next: Next) -> Answer:
    """Submit the job to the owner that its claim names."""
    runtime = exchange.runtime
    owner = Address(exchange.claim.owner, "jobs")
    message = SubmitJob(submission=exchange.submission, claim=exchange.claim)
    try:
        reply: JobAnswer = await runtime.ask(
            owner, message, _longest_wait(exchange.submission)
        )
    except LinkError as error:
        raise RequestError(Status.UNKNOWN, 504, str(error)) from error
    return reply.answer


def _longest_wait(submission: Submission) -> Seconds:
    return QUEUEING_MARGIN + max(task.timeout for task in submission.tasks)
