"""What the answers to orders, and their absence, show of runs and backend servers."""

from __future__ import annotations

from boragetide.controllers.run_state import Run
from boragetide.controllers.server_state import Server
from boragetide.messages import OrderResult, RunOrdered
from boragetide.types import Seconds


def record_order_response(
    server: Server, message: RunOrdered, answered_at: Seconds, now: Seconds
) -> None:
    """Note that the process has answered an order, or that it has not."""
    if message.result is OrderResult.UNANSWERED:
        server.calls.unanswered_at = now
    elif message.result is not OrderResult.OTHER_LIFE:
        server.record_response(answered_at, message.sent_at, now)


def record_start_answer(run: Run, message: RunOrdered) -> None:
    """Note when an unanswered start was sent, which may be after its decision.

    Once all copies of a start have been answered, none of them is carried out late.
    """
    if message.result is OrderResult.UNANSWERED:
        known = run.start_unanswered_at or 0.0
        run.start_unanswered_at = max(known, message.sent_at)
        return
    run.answered_copies += 1
    if run.answered_copies == run.start_copies:
        run.start_unanswered_at = None


def shows_begin(run: Run, result: OrderResult) -> bool:
    """Return whether the answer to a start shows that the run has begun.

    A repeated start is refused as old because the first one was carried out.
    """
    is_repeated = run.start_repeated and result is OrderResult.OLD_RUN
    return result is OrderResult.DONE or is_repeated
