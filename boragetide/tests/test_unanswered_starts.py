"""The dispatcher and starts of an earlier leader that may be carried out late."""

from __future__ import annotations

import pytest

from boragetide.controllers.takeover import LEASE_EXPIRY_WAIT
from boragetide.controllers.unanswered_starts import LATE_RUN_WAIT
from boragetide.durable import DurableJob, EndReason, ListedEnd, ListedRun, Step
from boragetide.effects import Send, StartRun
from boragetide.messages import (
    DispatcherReply,
    OrderResult,
    ReadFailed,
    ReplyStatus,
    ReportServer,
    ReviewTransfers,
    SubmitDurableJob,
    Tick,
    TransfersReviewed,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    NEEDS,
    PREDECESSOR_AUTHORITY,
    Leader,
    make_durable_job,
    make_report,
    make_task_ref,
)
from boragetide.types import ReplyTo

SUCCEEDED_AT = BEGIN + 1.0  # time at which the next leader takes over
PREDECESSOR_UNTIL = SUCCEEDED_AT + PREDECESSOR_AUTHORITY
TAKEN_OVER_AT = PREDECESSOR_UNTIL + LEASE_EXPIRY_WAIT + 0.01
RELEASED_AT = PREDECESSOR_UNTIL + LATE_RUN_WAIT


def make_job(estimate: float = 4.0) -> DurableJob:
    """Build a job that by default has not expired when its tasks are released."""
    step = Step(2, NEEDS, estimate)
    return make_durable_job("j1", step, best_effort=True, submitted_at=TAKEN_OVER_AT)


def submit(leader: Leader, job: DurableJob, now: float) -> list[StartRun]:
    leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)), now)
    return leader.starts()


@pytest.fixture
def predecessor(settings: Settings) -> Leader:
    """A leader whose starts were not answered by a server that is silent since."""
    made = Leader(settings)
    made.lead()
    made.join()
    for first in submit(made, make_job(), BEGIN):
        made.answer(first, OrderResult.UNANSWERED, BEGIN + 0.2)
        for repeated in made.starts():
            made.answer(repeated, OrderResult.UNANSWERED, BEGIN + 0.4)
    made.handle(ReadFailed("s1", 1), BEGIN + 0.45)
    made.handle(Tick(), BEGIN + 0.5)
    return made


def make_next_leader(settings: Settings, predecessor: Leader) -> Leader:
    """Let a leader take over that does not reach s1 and has another server."""
    made = Leader(settings, term=2, catalogue=predecessor.catalogue)
    made.handle(ReportServer(report=make_report(), passed_on=True), SUCCEEDED_AT)
    made.lead(SUCCEEDED_AT)
    made.join("s2", now=TAKEN_OVER_AT - 0.2)
    made.handle(Tick(), TAKEN_OVER_AT)
    return made


@pytest.fixture
def leader(settings: Settings, predecessor: Leader) -> Leader:
    """The next leader, which does not reach the silent server."""
    return make_next_leader(settings, predecessor)


def test_next_leader_starts_no_task_that_a_silent_server_may_begin_late(
    leader: Leader,
) -> None:
    """Guards against a second run beside one that an earlier leader has ordered."""
    assert submit(leader, make_job(), TAKEN_OVER_AT) == []
    leader.join("s2", now=RELEASED_AT - 0.1, sequence=2)
    leader.handle(Tick(), RELEASED_AT - 0.01)
    assert leader.starts() == []
    leader.handle(Tick(), RELEASED_AT + 0.01)
    assert [start.server for start in leader.starts()] == ["s2", "s2"]


def test_next_leader_starts_no_task_of_its_predecessors_last_half_second(
    settings: Settings,
) -> None:
    """Guards against a second run beside one that was ordered just before."""
    predecessor = Leader(settings)
    predecessor.lead()
    predecessor.join()
    assert len(submit(predecessor, make_job(), SUCCEEDED_AT - 0.3)) == 2
    predecessor.handle(Tick(), SUCCEEDED_AT)
    leader = make_next_leader(settings, predecessor)
    assert submit(leader, make_job(), TAKEN_OVER_AT) == []


def test_other_jobs_start_while_tasks_are_blocked(leader: Leader) -> None:
    """Guards against a takeover that stops the service for one silent server."""
    job = make_durable_job("j2", best_effort=True, submitted_at=TAKEN_OVER_AT)
    assert len(submit(leader, job, TAKEN_OVER_AT)) == 2


def test_server_that_answers_releases_the_tasks_that_it_may_begin(
    leader: Leader,
) -> None:
    """Guards against tasks that wait although no late order can begin them."""
    submit(leader, make_job(), TAKEN_OVER_AT)
    leader.list_runs("s1", now=TAKEN_OVER_AT + 0.1)
    assert {start.number for start in leader.starts()} == {0, 1}


def test_late_run_that_the_server_lists_goes_on(leader: Leader) -> None:
    """Guards against a second run beside one that is listed for the first time."""
    submit(leader, make_job(), TAKEN_OVER_AT)
    running = (ListedRun(make_task_ref("j1", 0), 1),)
    leader.list_runs("s1", running=running, now=TAKEN_OVER_AT + 0.1)
    assert {start.number for start in leader.starts()} == {1}


def test_callers_of_a_job_that_expires_before_are_answered_at_once(
    leader: Leader,
) -> None:
    """Guards against a request that is held although it cannot be served in time."""
    submit(leader, make_job(estimate=0.2), TAKEN_OVER_AT)
    leader.handle(Tick(), TAKEN_OVER_AT + 0.05)
    answers = [r for r in leader.replies() if isinstance(r, DispatcherReply)]
    assert [answer.status for answer in answers] == [ReplyStatus.UNDECIDED]


def test_record_is_emptied_when_the_server_has_stopped_the_runs(
    predecessor: Leader,
) -> None:
    """Guards against tasks that each later leader blocks anew."""
    assert len(predecessor.catalogue.unanswered_starts) == 2
    predecessor.list_runs("s1", now=BEGIN + 0.6)
    predecessor.handle(Tick(), BEGIN + 0.65)
    assert len(predecessor.catalogue.unanswered_starts) == 2
    stopped = tuple(
        ListedEnd(number, make_task_ref("j1", task), 1, EndReason.STOPPED)
        for number, task in enumerate(range(2), 1)
    )
    predecessor.list_runs("s1", ended=stopped, now=BEGIN + 0.7)
    predecessor.handle(Tick(), BEGIN + 0.75)
    assert predecessor.catalogue.unanswered_starts == ()


@pytest.mark.parametrize("is_repeated_in_vain", [False, True])
def test_next_leader_starts_no_task_that_was_ordered_again_at_an_answering_server(
    settings: Settings, is_repeated_in_vain: bool
) -> None:
    """Guards against a second run beside one whose first order is carried out late."""
    predecessor = Leader(settings)
    predecessor.lead()
    predecessor.join()
    for first in submit(predecessor, make_job(), SUCCEEDED_AT - 0.6):
        predecessor.answer(first, OrderResult.UNANSWERED, SUCCEEDED_AT - 0.4)
        for repeated in predecessor.starts():
            if is_repeated_in_vain:
                predecessor.answer(repeated, OrderResult.UNANSWERED, SUCCEEDED_AT - 0.2)
    predecessor.list_runs(now=SUCCEEDED_AT - 0.1)
    predecessor.handle(Tick(), SUCCEEDED_AT - 0.05)
    leader = make_next_leader(settings, predecessor)
    assert submit(leader, make_job(), TAKEN_OVER_AT) == []


@pytest.mark.parametrize("is_listed_first", [False, True])
def test_listed_run_that_a_late_start_may_begin_again_keeps_its_task(
    leader: Leader, is_listed_first: bool
) -> None:
    """Guards against a second run beside one that the next process begins once more."""
    running = tuple(ListedRun(make_task_ref("j1", task), 1) for task in range(2))
    if is_listed_first:
        leader.list_runs("s1", running=running, now=TAKEN_OVER_AT)
    submit(leader, make_job(), TAKEN_OVER_AT + 0.1)
    leader.list_runs("s1", running=running, now=TAKEN_OVER_AT + 0.2)
    leader.handle(ReadFailed("s1", 2), TAKEN_OVER_AT + 0.6)
    leader.join("s2", now=RELEASED_AT - 0.2, sequence=2)
    leader.handle(Tick(), RELEASED_AT - 0.1)
    assert leader.starts() == []
    assert len(leader.catalogue.unanswered_starts) == 2


def test_job_whose_recorded_tasks_run_elsewhere_goes_on(leader: Leader) -> None:
    """Guards against an answer without a result for a job that is being served."""
    running = tuple(ListedRun(make_task_ref("j1", task), 2) for task in range(2))
    leader.list_runs("s2", running=running, now=TAKEN_OVER_AT + 0.01)
    submit(leader, make_job(estimate=0.2), TAKEN_OVER_AT + 0.02)
    leader.handle(Tick(), TAKEN_OVER_AT + 0.05)
    assert leader.replies() == []
    assert leader.stops() == []


def test_job_whose_recorded_task_is_done_goes_on(leader: Leader) -> None:
    """Guards against an answer without a result for a job that is being served."""
    ended = (ListedEnd(1, make_task_ref("j1", 0), 2, EndReason.DONE),)
    running = (ListedRun(make_task_ref("j1", 1), 2),)
    leader.list_runs("s2", running=running, ended=ended, now=TAKEN_OVER_AT + 0.01)
    submit(leader, make_job(estimate=0.2), TAKEN_OVER_AT + 0.02)
    leader.handle(Tick(), TAKEN_OVER_AT + 0.05)
    assert leader.replies() == []
    assert leader.stops() == []


def test_note_of_a_job_stays_while_a_late_start_may_begin_it(leader: Leader) -> None:
    """Guards against a run in the group of the note beside the one that begins late."""
    review = ReviewTransfers("c2", 1, ("j1", "j2"))
    leader.handle(review, TAKEN_OVER_AT)
    (answer,) = [each.message for each in leader.effects if isinstance(each, Send)]
    assert answer == TransfersReviewed(leader.state.settings.group, ("j2",))


def test_late_start_of_a_run_at_an_answering_server_is_known_to_the_next_leader(
    settings: Settings,
) -> None:
    """Guards against a second run beside one that the next process begins once more."""
    predecessor = Leader(settings)
    predecessor.lead()
    predecessor.join()
    for first in submit(predecessor, make_job(), BEGIN):
        predecessor.answer(first, OrderResult.UNANSWERED, BEGIN + 0.2)
        for repeated in predecessor.starts():
            predecessor.answer(repeated, OrderResult.DONE, BEGIN + 0.21)
    running = tuple(ListedRun(make_task_ref("j1", task), 1) for task in range(2))
    predecessor.list_runs("s1", running=running, now=BEGIN + 0.3)
    predecessor.handle(Tick(), BEGIN + 0.4)

    leader = Leader(settings, term=2, catalogue=predecessor.catalogue)
    leader.handle(ReportServer(report=make_report(), passed_on=True), SUCCEEDED_AT)
    leader.lead(SUCCEEDED_AT)
    leader.list_runs("s1", running=running, now=SUCCEEDED_AT + 0.1)
    submit(leader, make_job(), SUCCEEDED_AT + 0.2)
    leader.handle(Tick(), SUCCEEDED_AT + 0.3)
    assert len(leader.catalogue.unanswered_starts) == 2
    leader.handle(ReadFailed("s1", 2), SUCCEEDED_AT + 0.6)
    leader.join("s2", now=RELEASED_AT - 0.2)
    leader.handle(Tick(), RELEASED_AT - 0.1)
    assert leader.starts() == []
