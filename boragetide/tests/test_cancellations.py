"""Cancellations hold for all leaders, also of jobs that only a leader has known."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from boragetide.commands import CancelJobs, Proposal
from boragetide.durable import EndReason, ListedRun
from boragetide.effects import Send
from boragetide.log_records import Catalogue, LogEntry
from boragetide.messages import (
    CancelDurableJob,
    LeadershipLost,
    ReplyStatus,
    ReportServer,
    ReviewTransfers,
    SubmitDurableJob,
    Tick,
    TransfersReviewed,
)
from boragetide.policy.catalogue import apply_entry
from boragetide.policy.job_table import MAX_SUBMISSION_AGE, RETENTION
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
    make_task_ref,
)
from boragetide.types import ReplyTo

CALLER, CANCELLER = ReplyTo("e1", 7), ReplyTo("e2", 8)
JUST_SENT = 0.0004  # age of a first copy when it was sent, in seconds


@pytest.fixture
def catalogue() -> Catalogue:
    """What the log of the leaders has stored."""
    return Catalogue()


@pytest.fixture
def leader(settings: Settings, catalogue: Catalogue) -> Leader:
    """A leader with one backend server that has capacity for two tasks."""
    made = Leader(settings, catalogue=catalogue)
    made.lead()
    made.join()
    return made


@pytest.fixture
def succeed(settings: Settings, catalogue: Catalogue) -> Callable[..., Leader]:
    """Build the next leader, which has the log and one backend server."""

    def make(now: float = BEGIN + 1.0) -> Leader:
        made = Leader(settings, term=2, catalogue=catalogue)
        report = make_report(sequence=2)
        made.handle(ReportServer(report=report, reply_to=CALLER), now)
        made.lead(now)
        return made

    return make


def submit(leader: Leader, now: float, received_at: float) -> None:
    """Send a copy of a submission that an instance received at a given time."""
    job = make_durable_job(best_effort=True, submitted_at=received_at)
    leader.handle(
        SubmitDurableJob(job=job, age=now - received_at, reply_to=CALLER), now
    )


def cancel(leader: Leader, now: float = BEGIN + 0.1) -> Send:
    """Request a cancellation, and return the command that stores it."""
    leader.handle(CancelDurableJob(id="j1", reply_to=CANCELLER), now)
    (appended,) = leader.appended()
    return appended


def cancel_and_commit(leader: Leader, now: float = BEGIN + 0.1) -> None:
    leader.commit(cancel(leader, now), now)


def assert_answered_as_cancelled(leader: Leader) -> None:
    (reply,) = leader.replies()
    assert (reply.status, reply.state) == (ReplyStatus.ACCEPTED, "cancelled")


def test_cancellation_is_acknowledged_only_when_it_is_stored(leader: Leader) -> None:
    """Guards against an acknowledgement that the next leader does not know of."""
    submit(leader, BEGIN, BEGIN)
    appended = cancel(leader)
    assert len(leader.stops()) == 2
    assert_answered_as_cancelled(leader)
    leader.commit(appended)
    to_caller, to_canceller = leader.replies()
    assert (to_caller.state, to_canceller.status) == ("cancelled", ReplyStatus.ACCEPTED)


def test_next_leader_starts_nothing_of_a_cancelled_best_effort_job(
    leader: Leader, succeed: Callable[..., Leader]
) -> None:
    """Guards against a run for an instance that has not heard of the cancellation."""
    submit(leader, BEGIN, BEGIN)
    cancel_and_commit(leader)
    successor = succeed()
    successor.list_runs(now=BEGIN + 1.1)
    submit(successor, BEGIN + 1.2, BEGIN)
    assert successor.starts() == []
    assert_answered_as_cancelled(successor)


def test_next_leader_starts_nothing_of_a_job_that_was_cancelled_unknown(
    leader: Leader, succeed: Callable[..., Leader]
) -> None:
    """Guards against a cancellation that overtakes the submission and is forgotten."""
    appended = cancel(leader)
    assert leader.replies() == []
    leader.commit(appended)
    assert leader.replies()[0].status is ReplyStatus.NOT_FOUND
    successor = succeed()
    successor.list_runs(now=BEGIN + 1.1)
    submit(successor, BEGIN + 1.2, BEGIN)
    assert successor.starts() == []


def test_next_leader_starts_nothing_of_a_job_that_was_cancelled_after_its_end(
    leader: Leader, succeed: Callable[..., Leader]
) -> None:
    """Guards against a second run although the cancellation was acknowledged."""
    submit(leader, BEGIN, BEGIN)
    first, second = leader.starts()
    ended = (list_end(first, 1), list_end(second, 2, EndReason.DONE))
    leader.list_runs(ended=ended)
    assert [reply.state for reply in leader.replies()] == ["succeeded"]
    cancel_and_commit(leader)
    successor = succeed()
    successor.list_runs(now=BEGIN + 1.1)
    submit(successor, BEGIN + 1.2, BEGIN)
    assert successor.starts() == []


def test_cancelled_job_does_not_run_for_a_newer_submission(leader: Leader) -> None:
    """Guards against a run after the record of the cancelled job is dropped."""
    submit(leader, BEGIN, BEGIN)
    cancel_and_commit(leader)
    for now in (BEGIN + 1.0, BEGIN + 60.0):
        leader.handle(Tick(), now)
        leader.join(now=now, sequence=int(now))
        submit(leader, now, now - JUST_SENT)
        assert leader.starts() == []
        assert_answered_as_cancelled(leader)


def test_run_of_a_cancelled_job_is_stopped_by_the_next_leader_at_once(
    leader: Leader, succeed: Callable[..., Leader]
) -> None:
    """Guards against a run that goes on while a submission of its job is awaited."""
    submit(leader, BEGIN, BEGIN)
    (first, _) = leader.starts()
    cancel_and_commit(leader)
    successor = succeed()
    successor.list_runs(running=(list_run(first),), now=BEGIN + 1.1)
    assert [stop.run for stop in successor.stops()] == [first.run]


def test_cancellation_without_a_commit_is_left_undecided(leader: Leader) -> None:
    """Guards against a request that waits for ever at a leader that is replaced."""
    cancel(leader)
    leader.handle(LeadershipLost(), BEGIN + 0.2)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.UNDECIDED


def test_submission_that_is_older_than_the_notes_starts_nothing(
    leader: Leader,
) -> None:
    """Guards against a run of a job whose cancellation is forgotten."""
    now = BEGIN + MAX_SUBMISSION_AGE + 1.0
    leader.join(now=now, sequence=2)
    submit(leader, now, BEGIN)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.UNDECIDED
    assert leader.starts() == []


def test_old_submission_of_a_job_that_runs_goes_on(
    succeed: Callable[..., Leader],
) -> None:
    """Guards against stopping a long job whose caller has waited all the time."""
    now = BEGIN + MAX_SUBMISSION_AGE + 1.0
    successor = succeed(now)
    successor.list_runs(running=(ListedRun(make_task_ref("j1", 0), 1),), now=now)
    submit(successor, now, BEGIN)
    assert "j1" in successor.state.active


@pytest.mark.parametrize(
    ("age", "is_kept"), [(RETENTION - 1, True), (RETENTION + 1, False)]
)
def test_note_of_a_cancelled_job_is_kept_as_long_as_a_copy_can_come(
    catalogue: Catalogue, age: float, is_kept: bool
) -> None:
    """Guards against notes that are dropped early, or for which memory grows."""
    for index, (job_id, now) in enumerate((("j1", BEGIN), ("j2", BEGIN + age)), 1):
        proposal = Proposal(f"c{index}", CancelJobs((job_id,)))
        apply_entry(LogEntry(index, 1, now, proposal), catalogue)
    assert ("j1" in catalogue.cancelled_at_by_job) is is_kept


def test_group_with_the_note_of_a_cancelled_job_still_knows_it(
    leader: Leader,
) -> None:
    """Guards against a home group that forgets where a cancelled job went."""
    cancel_and_commit(leader)
    review = ReviewTransfers("other", 1, ("j1", "j2"))
    leader.handle(review, BEGIN + 0.2)
    (answer,) = [
        effect.message
        for effect in leader.effects
        if isinstance(effect, Send) and isinstance(effect.message, TransfersReviewed)
    ]
    assert answer.unknown == ("j2",)
