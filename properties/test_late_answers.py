"""The dispatcher if calls are reported as unanswered and answered afterwards."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch
from typing import Any

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from boragetide.messages import OrderResult, ReadFailed, RunOrdered, RunsRead
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


@singledispatch
def split_answer(answer: Any) -> tuple[Any, Any] | None:
    """Return the time-out before an answer, and the answer; none if there is none."""
    return None


@split_answer.register
def _(answer: RunOrdered) -> tuple[RunOrdered, RunOrdered] | None:
    if answer.result is OrderResult.UNANSWERED:
        return None
    return replace(answer, result=OrderResult.UNANSWERED, clock=None), answer


@split_answer.register
def _(answer: RunsRead) -> tuple[ReadFailed, RunsRead]:
    failed = ReadFailed(
        answer.server,
        answer.term,
        target_born=answer.target_born,
        sent_at=answer.sent_at,
    )
    return failed, replace(answer, late=True)


class LateAnswers(Dispatch):
    """Answers that are handled late come after the call has timed out."""

    def schedule_answer(self, answer: Any, arrives_at: Seconds, fate: str) -> None:
        """Schedule a time-out before an answer that is handled late."""
        split = split_answer(answer) if fate.endswith("handled_late") else None
        if split is not None:
            timed_out, answer = split
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
