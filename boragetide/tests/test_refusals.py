"""A refused or withdrawn submission never runs, in whatever order its copies arrive."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from boragetide.controllers.refusals import RETRY_AFTER
from boragetide.durable import EndReason, ListedEnd, ListedRun, Resources, Step
from boragetide.messages import (
    CancelDurableJob,
    LeadershipLost,
    ReplyStatus,
    ReportServer,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.policy.job_table import BEST_EFFORT_RETENTION
from boragetide.policy.scheduling import expires_at
from boragetide.policy.submission_fence import MAX_DELIVERY_TIME
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    NEEDS,
    Leader,
    make_durable_job,
    make_report,
    make_task_ref,
)
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


def test_copy_that_was_sent_to_an_earlier_leader_does_not_run(
    settings: Settings,
) -> None:
    """Guards against a run after a refusal that a restarted instance has forgotten."""
    successor = Leader(settings, term=2)
    successor.lead()
    successor.join()
    job = make_durable_job("j1", best_effort=True)
    copy = SubmitDurableJob(job=job, age=JUST_SENT, reply_to=CALLER, term=1)
    successor.handle(copy, BEGIN + 0.1)
    (reply,) = successor.replies()
    assert reply.status is ReplyStatus.NOT_LEADER
    assert successor.starts() == []


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


def test_submission_that_arrives_after_its_caller_left_does_not_run(
    leader: Leader,
) -> None:
    """Guards against running tasks for a caller whose departure was told first."""
    leader.handle(WithdrawSubmissions("j1", "e1", BEGIN + 0.1), BEGIN + 0.2)
    submit_with_clock(leader, BEGIN + 0.3, BEGIN)
    assert leader.starts() == []


def test_late_withdrawal_leaves_a_newer_submission_alone(leader: Leader) -> None:
    """Guards against a caller whose new submission ends with its former one."""
    leader.handle(WithdrawSubmissions("j1", "e1", BEGIN), BEGIN + 2.0)
    submit_with_clock(leader, BEGIN + 2.1, BEGIN + 1.4)
    assert len(leader.starts()) == 2
    leader.handle(WithdrawSubmissions("j1", "e1", BEGIN + 0.5), BEGIN + 2.2)
    assert "j1" in leader.state.active


def test_job_that_was_withdrawn_runs_again_for_a_newer_submission(
    leader: Leader,
) -> None:
    """Guards against a caller that gets the cancellation of its former submission."""
    submit_with_clock(leader, BEGIN, BEGIN)
    leader.handle(WithdrawSubmissions("j1", "e1", BEGIN + 0.5), BEGIN + 2.0)
    assert "j1" not in leader.state.active
    submit_with_clock(leader, BEGIN + 2.1, BEGIN + 1.4)
    assert "j1" in leader.state.active


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


def test_copy_that_was_on_its_way_for_too_long_is_left_undecided(
    leader: Leader,
) -> None:
    """Guards against accepting or refusing a copy whose refusal is forgotten."""
    now = BEGIN + MAX_DELIVERY_TIME + 1.0
    keep_server(leader, now)
    submit_with_clock(leader, now, BEGIN)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.UNDECIDED
    assert leader.starts() == []


def test_copy_that_was_directed_here_too_long_ago_is_left_undecided(
    leader: Leader,
) -> None:
    """Guards against a second run beside one in the group that named this one."""
    job = make_durable_job(best_effort=True)
    now = BEGIN + 1.0
    keep_server(leader, now)
    copy = SubmitDurableJob(
        job=job,
        age=0.0,
        submitted_at=BEGIN,
        directed_age=MAX_DELIVERY_TIME - 0.5,
        transfers=1,
        reply_to=CALLER,
    )
    leader.handle(copy, now)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.UNDECIDED
    assert leader.starts() == []


def test_long_job_survives_a_change_of_leader(settings: Settings) -> None:
    """Guards against stopping the run of a job that is older than all refusals."""
    leader = Leader(settings, term=2)
    leader.lead()
    leader.handle(ReportServer(report=make_report(), reply_to=CALLER))
    step = Step(1, NEEDS, 60.0)
    job = make_durable_job("j1", step, best_effort=True)
    leader.list_runs(running=(ListedRun(make_task_ref(job.id, 0), 1),))
    age = MAX_DELIVERY_TIME + 10.0
    message = SubmitDurableJob(
        job=job, age=age, submitted_at=BEGIN - age, reply_to=CALLER
    )
    leader.handle(message)
    assert leader.replies() == []
    assert job.id in leader.state.active


def test_job_with_an_end_under_an_earlier_leader_is_not_refused(
    settings: Settings,
) -> None:
    """Guards against a refusal of a job of which a task has run."""
    leader = Leader(settings, term=2)
    leader.lead()
    leader.handle(ReportServer(report=make_report(capacity=NEEDS), reply_to=CALLER))
    job = make_durable_job(best_effort=True)
    done = ListedEnd(1, make_task_ref(job.id, 0), 1, EndReason.DONE)
    other = ListedRun(make_task_ref("j2", 0), 1)
    leader.list_runs(ended=(done,), running=(other,))
    submit_with_clock(leader, BEGIN, BEGIN)
    leader.handle(Tick(), expires_at(job) + 0.1)
    assert leader.replies() == []


def test_ended_job_is_not_refused_after_its_record_is_dropped(leader: Leader) -> None:
    """Guards against a refusal of a job that ran, because its answer was lost."""
    now = BEGIN + BEST_EFFORT_RETENTION + 1.0
    keep_server(leader, now)
    job = make_durable_job(best_effort=True)
    age = now - BEGIN
    leader.handle(SubmitDurableJob(job=job, age=age, attempt=3, reply_to=CALLER), now)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.UNDECIDED
    assert leader.starts() == []


def test_refusal_of_a_copy_tells_the_caller_when_to_return(
    submit: Callable[..., Any],
) -> None:
    """Guards against callers that return at once because a late copy was refused."""
    refused_at = refuse_expired_copy(submit)
    (reply,) = submit(refused_at + 0.5, JUST_SENT, BEGIN)
    assert reply.retry_after == RETRY_AFTER


def test_job_that_ran_until_its_caller_left_is_not_refused(leader: Leader) -> None:
    """Guards against a refusal of a job that has run for an earlier submission."""
    submit_with_clock(leader, BEGIN, BEGIN)
    leader.handle(WithdrawSubmissions("j1", "e1", BEGIN + 0.5), BEGIN + 0.5)
    job = make_durable_job(best_effort=True)
    submitted_at = BEGIN + 1.4
    now = submitted_at + expires_at(job) - BEGIN + 0.1
    submit_with_clock(leader, now, submitted_at)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.UNDECIDED
