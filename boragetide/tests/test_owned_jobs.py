"""Jobs at their owner, whose submissions and cancellations may arrive in any order."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from boragetide.controllers import jobs
from boragetide.controllers.jobs import JobsState
from boragetide.effects import Effect, Reply, Send
from boragetide.filters.chain import Exchange
from boragetide.filters.dispatch import dispatch
from boragetide.messages import (
    EARLIER_REFUSAL,
    CancelJob,
    JobAnswer,
    QueueTasks,
    SubmitJob,
    TasksRefused,
    Tick,
)
from boragetide.settings import Settings
from boragetide.types import Answer, Claim, ReplyTo, Status, Submission, Task

INCARNATION = 1
NOW = 1_000.0
SUBMISSION = Submission("j1", "default", (Task({}),), digest="d")
CLAIM = Claim("j1", "a1", INCARNATION, claimed_at=NOW)


@pytest.fixture
def state(settings: Settings) -> JobsState:
    """The job table of an instance that owns ``j1``."""
    return JobsState(settings, INCARNATION)


def submit(state: JobsState, request: int, refusals: int = 0) -> list[Effect]:
    reply_to = ReplyTo("a2", request)
    message = SubmitJob(SUBMISSION, CLAIM, refusals, reply_to=reply_to)
    return jobs.handle(message, state, NOW)


def refuse(state: JobsState) -> None:
    jobs.handle(TasksRefused("j1", "the queue is full"), state, NOW)


def is_queued(effects: list[Effect]) -> bool:
    sent = [effect.message for effect in effects if isinstance(effect, Send)]
    return any(isinstance(message, QueueTasks) for message in sent)


def get_answer(effects: list[Effect]) -> JobAnswer:
    (answer,) = [e.message for e in effects if isinstance(e, Reply)]
    return answer


def test_late_copy_of_a_refused_submit_does_not_run(state: JobsState) -> None:
    """Guards against running a job whose caller was told that it has not run.

    The first message of the caller arrives after its second one was refused.
    """
    assert is_queued(submit(state, request=2))
    refuse(state)
    effects = submit(state, request=1)
    assert not is_queued(effects)
    assert get_answer(effects).answer.status is Status.NOT_RUN


def test_refused_job_runs_again_for_a_caller_that_waits(state: JobsState) -> None:
    """Guards against a job that can never run after a refusal."""
    submit(state, request=1)
    refuse(state)
    answer = get_answer(submit(state, request=2))
    assert answer.refused_for == EARLIER_REFUSAL
    assert is_queued(submit(state, request=3, refusals=answer.refusals))


def test_each_refusal_voids_the_submissions_before_it(state: JobsState) -> None:
    """Guards against a late message that knew only of an earlier refusal."""
    submit(state, request=1)
    refuse(state)
    first = get_answer(submit(state, request=2)).refusals
    second = get_answer(submit(state, request=3)).refusals
    assert not is_queued(submit(state, request=4, refusals=first))
    assert not is_queued(submit(state, request=5, refusals=second))


def test_cancellation_that_arrives_before_its_submission_holds(
    state: JobsState,
) -> None:
    """Guards against a cancelled job that runs because its submission was late."""
    jobs.handle(CancelJob(id="j1", reply_to=ReplyTo("a2", 9)), state, NOW)
    effects = submit(state, request=1)
    assert not is_queued(effects)
    assert get_answer(effects).answer == Answer("j1", Status.FAILED, error="cancelled")


def test_early_cancellations_are_dropped(state: JobsState) -> None:
    """Guards against memory that grows with each cancelled id."""
    jobs.handle(CancelJob(id="j1", reply_to=ReplyTo("a2", 9)), state, NOW)
    late = NOW + 2 * state.settings.timing.resubmission_window
    jobs.handle(Tick(), state, late - 1.0)
    assert "j1" in state.cancelled_at_by_id
    jobs.handle(Tick(), state, late)
    assert state.cancelled_at_by_id == {}


class Owner:
    """Stands in for the runtime; answers each submission with the next answer."""

    def __init__(self, settings: Settings, answers: list[JobAnswer]):
        self.settings = settings
        self.answers = answers
        self.asked: list[Any] = []

    async def ask(self, to: Any, message: Any, timeout: float) -> JobAnswer:
        """Record a message and return the next answer."""
        self.asked.append(message)
        return self.answers[len(self.asked) - 1]


@pytest.mark.parametrize("caller_left", [False, True])
def test_only_a_caller_that_waits_submits_a_refused_job_again(
    settings: Settings, caller_left: bool
) -> None:
    """Guards against running a job for a caller that has left after a refusal."""
    refused = Answer("j1", Status.NOT_RUN, error="refused")
    complete = Answer("j1", Status.COMPLETE, (1,))
    answers = [JobAnswer(refused, EARLIER_REFUSAL, refusals=3), JobAnswer(complete)]
    owner = Owner(settings, answers)
    exchange = Exchange(owner, SUBMISSION, NOW, claim=CLAIM, caller_left=caller_left)
    result = asyncio.run(dispatch(exchange, SimpleNamespace()))
    assert result == (refused if caller_left else complete)
    assert [message.refusals for message in owner.asked] == [0, 3][: 2 - caller_left]
