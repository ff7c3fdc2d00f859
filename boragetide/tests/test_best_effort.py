"""The dispatcher and the callers of best-effort jobs."""

from __future__ import annotations

import pytest

from boragetide.controllers.refusals import REASON_TOO_LATE
from boragetide.durable import (
    JobPhase,
    Resources,
    Step,
)
from boragetide.messages import (
    CancelDurableJob,
    LookUpDurableJob,
    ReplyStatus,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.messages.common import add_arrival_time
from boragetide.policy.scheduling import expires_at
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    submit,
)
from boragetide.types import ReplyTo


def test_best_effort_job_starts_at_once_and_is_answered_at_its_end(
    leader: Leader,
) -> None:
    """Guards against an answer before the job ended, and a wait for the log."""
    submit(leader)
    first, second = leader.starts()
    assert leader.replies() == []
    for start in (first, second):
        leader.answer(start)
    leader.list_runs(running=(list_run(second),), ended=(list_end(first, 1),))
    assert leader.replies() == []
    leader.list_runs(ended=(list_end(first, 1), list_end(second, 2)))
    (reply,) = leader.replies()
    assert (reply.status, reply.state) == (ReplyStatus.ACCEPTED, "succeeded")


def test_job_that_arrives_too_late_is_refused_at_once(leader: Leader) -> None:
    """Guards against an overloaded leader that starts jobs that have expired."""
    job = make_durable_job(best_effort=True, submitted_at=BEGIN)
    now = expires_at(job) + 0.1
    age = now - job.submitted_at
    leader.handle(SubmitDurableJob(job=job, age=age, reply_to=CALLER), now)
    (reply,) = leader.replies()
    assert (reply.status, reply.term) == (ReplyStatus.REFUSED, 1)
    assert leader.starts() == []
    assert leader.state.records_by_id == {}


@pytest.mark.parametrize("ahead", [-2.5, 2.5])
def test_clock_of_the_submitting_instance_may_be_seconds_off(
    leader: Leader, ahead: float
) -> None:
    """Guards against jobs that seem too late because an instance's clock is off."""
    job = make_durable_job(best_effort=True, submitted_at=BEGIN + ahead)
    leader.handle(SubmitDurableJob(job=job, age=0.25, reply_to=CALLER), BEGIN)
    assert len(leader.starts()) == 2
    assert leader.state.records_by_id["j1"].job.submitted_at == BEGIN - 0.25


def test_time_in_the_mailbox_counts_as_age(leader: Leader) -> None:
    """Guards against an overloaded leader that ignores the wait in its own mailbox."""
    job = make_durable_job(best_effort=True, submitted_at=BEGIN)
    submission = SubmitDurableJob(job=job, reply_to=CALLER)
    arrived = add_arrival_time(submission, BEGIN)
    leader.handle(arrived, expires_at(job) + 0.1)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.REFUSED


def test_cancelled_best_effort_job_stops_and_frees_its_room(leader: Leader) -> None:
    """Guards against running tasks for a caller that has left."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.handle(CancelDurableJob(id="j1"))
    assert [stop.run for stop in leader.stops()] == [start.run for start in starts]
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def submit_from(leader: Leader, *instances: str) -> None:
    """Send one copy of the submission of a best-effort job from each instance."""
    job = make_durable_job(best_effort=True)
    for number, instance in enumerate(instances):
        to = ReplyTo(instance, number)
        leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=to))


def test_job_whose_only_caller_left_is_cancelled_in_spite_of_copies(
    leader: Leader,
) -> None:
    """Guards against copies of a submission that count as further callers."""
    submit_from(leader, "e1", "e1")
    leader.handle(WithdrawSubmissions("j1", "e1"))
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def test_job_goes_on_until_its_last_caller_has_left(leader: Leader) -> None:
    """Guards against a job that is cancelled while a caller waits, or never."""
    submit_from(leader, "e1", "e2", "e1")
    leader.handle(WithdrawSubmissions("j1", "e1"))
    assert leader.state.records_by_id["j1"].phase is JobPhase.ACTIVE
    leader.handle(WithdrawSubmissions("j1", "e2"))
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def test_requested_cancellation_holds_for_all_callers(leader: Leader) -> None:
    """Guards against a confirmed cancellation of a job that goes on."""
    submit_from(leader, "e1", "e2")
    leader.handle(CancelDurableJob(id="j1", reply_to=ReplyTo("e3", 1)))
    assert leader.state.records_by_id["j1"].phase is JobPhase.CANCELLED


def test_expired_job_is_refused_before_its_place_is_sought(leader: Leader) -> None:
    """Guards against work for jobs that waited too long in front of the leader."""
    step = Step(1, Resources(70_000, 64), 0.2)
    job = make_durable_job("j1", step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, age=10.0, reply_to=CALLER), BEGIN + 10.0)
    (reply,) = leader.replies()
    assert (reply.status, reply.reason) == (ReplyStatus.REFUSED, REASON_TOO_LATE)


def test_resubmission_of_a_running_job_waits_for_the_same_end(leader: Leader) -> None:
    """Guards against a second run of a job that its caller submits again."""
    submit(leader)
    submit(leader)
    assert leader.starts() == []
    assert len(leader.state.waiters_by_job["j1"]) == 2


def test_job_that_comes_too_late_is_refused_before_its_caller_gives_up(
    leader: Leader,
) -> None:
    """Guards against a caller that waits for a job that has expired."""
    submit(leader, job_id="j1")
    submit(leader, job_id="j2")
    late = expires_at(make_durable_job("j2"))
    leader.handle(Tick(), late - 0.1)
    assert leader.replies() == []
    leader.handle(Tick(), late + 0.1)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.REFUSED
    assert reply.retry_after > 0
    leader.handle(LookUpDurableJob(id="j1", reply_to=CALLER), late + 0.1)
    assert leader.replies()[0].state == "running"
