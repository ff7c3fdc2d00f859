"""A refused or withdrawn submission never runs, in whatever order its copies arrive."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from boragetide.durable import Resources, Step
from boragetide.messages import (
    CancelDurableJob,
    LeadershipLost,
    ReplyStatus,
    SubmitDurableJob,
)
from boragetide.policy.scheduling import expires_at
from boragetide.policy.submission_fence import MAX_SUBMISSION_AGE
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import BEGIN, Leader, make_durable_job
from boragetide.types import ReplyTo

CALLER = ReplyTo("e1", 7)
DELAY = 10.0  # seconds by which a copy is late
JUST_SENT = 0.0004  # age of a first copy when it was sent, in seconds


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one backend server that has capacity for two tasks."""
    made = Leader(settings)
    made.lead()
    made.join()
    return made


@pytest.fixture(params=[True, False], ids=["clock_known", "clock_unknown"])
def submit(leader: Leader, request: pytest.FixtureRequest) -> Callable[..., Any]:
    """Submits job ``j1``, from a sender that may know the leader's clock."""

    def send(now: float, age: float, submitted_at: float, *steps: Step) -> Any:
        job = make_durable_job("j1", *steps, best_effort=True)
        message = SubmitDurableJob(
            job=job,
            age=age,
            submitted_at=submitted_at if request.param else None,
            reply_to=CALLER,
        )
        leader.handle(message, now)
        return leader.replies()

    return send


def keep_server(leader: Leader, now: float) -> None:
    """Announce the backend server again and let it list its runs."""
    leader.join(now=now, sequence=int(now - BEGIN) + 2)


def refuse_expired_copy(submit: Callable[..., Any]) -> float:
    """Let the leader refuse a copy that has expired, and return its time."""
    job = make_durable_job(best_effort=True)
    age = expires_at(job) - BEGIN + 0.1
    (reply,) = submit(BEGIN + age, age, BEGIN)
    assert reply.status is ReplyStatus.REFUSED
    return BEGIN + age


def test_late_copy_of_a_refused_submission_does_not_run(
    leader: Leader, submit: Callable[..., Any]
) -> None:
    """Guards against a run of a job that its caller was told had been refused."""
    refuse_expired_copy(submit)
    now = BEGIN + DELAY
    keep_server(leader, now)
    (reply,) = submit(now, JUST_SENT, BEGIN)
    assert reply.status is ReplyStatus.REFUSED
    assert leader.starts() == []


def test_refusal_holds_when_the_instance_leads_again(
    leader: Leader, submit: Callable[..., Any]
) -> None:
    """Guards against a refusal that is forgotten with the leadership."""
    refuse_expired_copy(submit)
    leader.handle(LeadershipLost(), BEGIN + 4.0)
    leader.term = 3
    leader.lead(BEGIN + 5.0)
    now = BEGIN + DELAY
    keep_server(leader, now)
    (reply,) = submit(now, JUST_SENT, BEGIN)
    assert reply.status is ReplyStatus.REFUSED


def test_late_copy_of_a_job_that_fitted_nowhere_does_not_run(
    leader: Leader, submit: Callable[..., Any]
) -> None:
    """Guards against a refused job that runs when a larger backend server joins."""
    step = Step(1, Resources(70_000, 64), 20.0)
    (reply,) = submit(BEGIN + 0.5, 0.5, BEGIN, step)
    assert reply.status is ReplyStatus.REFUSED
    leader.join("s2", BEGIN + 1.0, capacity=Resources(96_000, 100_000))
    (reply,) = submit(BEGIN + 1.0, JUST_SENT, BEGIN, step)
    assert reply.status is ReplyStatus.REFUSED
    assert leader.starts() == []


def test_late_copy_of_a_withdrawn_submission_does_not_run(
    leader: Leader, submit: Callable[..., Any]
) -> None:
    """Guards against running tasks for a caller that has left."""
    submit(BEGIN, JUST_SENT, BEGIN)
    assert len(leader.starts()) == 2
    leader.handle(CancelDurableJob(id="j1"), BEGIN + 0.2)
    (reply,) = submit(BEGIN + 0.3, JUST_SENT, BEGIN)
    assert (reply.status, reply.state) == (ReplyStatus.ACCEPTED, "cancelled")
    assert "j1" not in leader.state.active


def test_submission_that_arrives_after_its_withdrawal_does_not_run(
    leader: Leader, submit: Callable[..., Any]
) -> None:
    """Guards against a job that runs because its cancellation overtook it."""
    leader.handle(CancelDurableJob(id="j1"), BEGIN + 0.2)
    (reply,) = submit(BEGIN + 0.3, JUST_SENT, BEGIN)
    assert reply.status is ReplyStatus.REFUSED
    assert leader.starts() == []


def submit_with_clock(leader: Leader, now: float, submitted_at: float) -> None:
    message = SubmitDurableJob(
        job=make_durable_job(best_effort=True),
        age=JUST_SENT,
        submitted_at=submitted_at,
        reply_to=CALLER,
    )
    leader.handle(message, now)


def test_time_on_the_way_counts_as_age(leader: Leader) -> None:
    """Guards against old jobs that a full leader takes for new ones."""
    now = BEGIN + DELAY
    keep_server(leader, now)
    submit_with_clock(leader, now, BEGIN)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.REFUSED
    assert leader.starts() == []


def test_caller_may_submit_again_after_a_refusal(
    leader: Leader, submit: Callable[..., Any]
) -> None:
    """Guards against a refusal that also covers what the caller submits later."""
    refused_at = refuse_expired_copy(submit)
    now = refused_at + 4.0
    keep_server(leader, now)
    submit_with_clock(leader, now, BEGIN)
    assert leader.starts() == []
    submit_with_clock(leader, now, now - 0.002)
    assert len(leader.starts()) == 2


def test_copy_that_is_older_than_the_fences_is_left_undecided(leader: Leader) -> None:
    """Guards against accepting or refusing a copy whose refusal is forgotten."""
    now = BEGIN + MAX_SUBMISSION_AGE + 1.0
    keep_server(leader, now)
    submit_with_clock(leader, now, BEGIN)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.UNDECIDED
    assert leader.starts() == []
