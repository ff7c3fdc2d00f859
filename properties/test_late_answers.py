"""The dispatcher if orders are reported as unanswered and answered afterwards."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from boragetide.messages import OrderResult, RunOrdered
from boragetide.types import Seconds
from properties.test_dispatcher import (
    ORDER_TIMEOUT,
    PROFILE,
    STEP,
    BestEffortDispatch,
    Dispatch,
)

EXAMPLES = 30
SHORT_PROFILE = settings(PROFILE, max_examples=max(EXAMPLES, PROFILE.max_examples // 2))


class LateAnswers(Dispatch):
    """Answers that are handled late come after the order has timed out."""

    def schedule_answer(self, answer: Any, arrives_at: Seconds, fate: str) -> None:
        """Schedule a time-out before an answer that is handled late."""
        is_answer = (
            isinstance(answer, RunOrdered)
            and answer.result is not OrderResult.UNANSWERED
        )
        if is_answer and fate.endswith("handled_late"):
            timed_out = replace(answer, result=OrderResult.UNANSWERED, clock=None)
            times_out_at = self.now + ORDER_TIMEOUT - STEP
            self.scheduled.append((times_out_at, lambda: self.handle(timed_out)))
        super().schedule_answer(answer, arrives_at, fate)


class BestEffortLateAnswers(LateAnswers, BestEffortDispatch):
    """The same for jobs whose state is kept only in the memory of the leader."""


def test_durable_jobs_run_once_although_answers_come_after_their_time_out() -> None:
    """Guards against a late answer that passes for the answer to another copy."""
    run_state_machine_as_test(LateAnswers, settings=SHORT_PROFILE)


def test_best_effort_jobs_run_once_although_answers_come_after_their_time_out() -> None:
    """Guards against two concurrent runs after a late answer to a start or stop."""
    run_state_machine_as_test(BestEffortLateAnswers, settings=SHORT_PROFILE)
