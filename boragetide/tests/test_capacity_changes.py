"""Capacity of a backend server that shrinks and grows while it runs."""

from __future__ import annotations

import pytest

from boragetide.controllers.placing_runs import MAX_ANNOUNCEMENT_AGE
from boragetide.controllers.runs import UNKNOWN_JOB_GRACE_PERIOD
from boragetide.durable import JobRecord, ListedRun, Resources, ServerReport, Step
from boragetide.effects import Send, StartRun
from boragetide.messages import (
    CancelDurableJob,
    MembersChanged,
    OrderResult,
    ReplyStatus,
    ReportServer,
    SubmitDurableJob,
    Tick,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    CAPACITY,
    NEEDS,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
    make_task_ref,
)
from boragetide.types import ReplyTo

ROOM_FOR_ONE = Resources(30_000, 100_000)
ROOM_FOR_NONE = Resources(10_000, 100_000)
ROOM_FOR_FOUR = Resources(120_000, 100_000)
ONE_TASK = Step(1, NEEDS, 0.2)


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one backend server that has room for two tasks."""
    made = Leader(settings)
    made.handle(MembersChanged(("a1", "a2", "a3")))
    made.lead()
    made.join()
    return made


def submit(
    leader: Leader, job_id: str, *steps: Step, now: float = BEGIN
) -> list[StartRun]:
    """Submit a best-effort job; return the starts that follow."""
    job = make_durable_job(job_id, *steps, best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)), now)
    return leader.starts()


def announce(
    leader: Leader,
    capacity: Resources,
    sequence: int,
    now: float = BEGIN,
    **fields: bool,
) -> None:
    """Announce a capacity of the backend server."""
    report = make_report(sequence=sequence, capacity=capacity)
    leader.handle(ReportServer(report=report, **fields), now)


def tick(leader: Leader, now: float) -> list[StartRun]:
    """Let the leader act; return its starts."""
    leader.handle(Tick(), now)
    return leader.starts()


def test_server_over_its_shrunken_capacity_gets_nothing_and_keeps_its_runs(
    leader: Leader,
) -> None:
    """Guards against a start, or a stop of a run, when a server has shrunk."""
    first, second = submit(leader, "j1")
    announce(leader, ROOM_FOR_ONE, 2)
    assert leader.state.servers_by_id["s1"].free_resources.millicores < 0
    assert submit(leader, "j2", ONE_TASK) == []
    assert (tick(leader, BEGIN + 0.05), leader.stops()) == ([], [])
    leader.list_runs(running=(list_run(second),), ended=(list_end(first, 1),))
    assert leader.starts() == []
    leader.list_runs(ended=(list_end(first, 1), list_end(second, 2)))
    assert [start.task.job_id for start in leader.starts()] == ["j2"]


def test_run_that_is_being_stopped_counts(leader: Leader) -> None:
    """Guards against a start in the place of a run that is not over yet."""
    first, second = submit(leader, "j1")
    for start in (first, second):
        leader.answer(start)
    leader.handle(CancelDurableJob(id="j1", reply_to=ReplyTo("e1", 8)))
    assert len(leader.stops()) == 2
    announce(leader, ROOM_FOR_ONE, 2)
    assert submit(leader, "j2", ONE_TASK) == []
    running = (list_run(first), list_run(second))
    leader.list_runs(running=running, now=BEGIN + 0.1)
    assert leader.starts() == []


def test_start_without_an_answer_counts(leader: Leader) -> None:
    """Guards against a start beside one that may still be carried out."""
    (start,) = submit(leader, "j1", ONE_TASK)
    announce(leader, ROOM_FOR_ONE, 2)
    leader.answer(start, OrderResult.UNANSWERED, BEGIN + 0.2)
    (repeated,) = leader.starts()
    assert submit(leader, "j2", ONE_TASK, now=BEGIN + 0.25) == []
    leader.answer(repeated, OrderResult.UNANSWERED, BEGIN + 0.4)
    assert leader.starts() == []
    assert tick(leader, BEGIN + 0.45) == []


@pytest.mark.parametrize(("capacity", "starts"), [(ROOM_FOR_ONE, 0), (CAPACITY, 1)])
def test_adopted_run_counts(
    settings: Settings, capacity: Resources, starts: int
) -> None:
    """Guards against a new leader that starts beside the runs of the earlier one."""
    leader = Leader(settings, term=2)
    announce(leader, capacity, 1)
    jobs = (make_durable_job("j1", ONE_TASK), make_durable_job("j2", ONE_TASK))
    leader.lead(records=tuple(JobRecord(job) for job in jobs))
    leader.list_runs(running=(ListedRun(make_task_ref("j1", 0), 1),))
    assert len(leader.starts()) == starts


def test_run_of_an_unknown_job_counts(settings: Settings) -> None:
    """Guards against a start beside a run whose resources are not known."""
    leader = Leader(settings, term=2)
    announce(leader, ROOM_FOR_ONE, 1)
    leader.lead(records=(JobRecord(make_durable_job("j1", ONE_TASK)),))
    running = (ListedRun(make_task_ref("j9", 0), 1),)
    leader.list_runs(running=running)
    assert leader.starts() == []
    later = BEGIN + UNKNOWN_JOB_GRACE_PERIOD + 0.1
    leader.list_runs(running=running, now=later)
    assert (leader.starts(), len(leader.stops())) == ([], 1)


def test_growth_is_used_at_the_next_tick(leader: Leader) -> None:
    """Guards against a server that stays as small as it was."""
    submit(leader, "j1")
    submit(leader, "j2")
    announce(leader, ROOM_FOR_FOUR, 2)
    assert len(tick(leader, BEGIN + 0.05)) == 2


@pytest.mark.parametrize("passed_on", [False, True])
def test_older_announcement_does_not_raise_the_capacity_again(
    leader: Leader, passed_on: bool
) -> None:
    """Guards against a start by an announcement that arrives late."""
    announce(leader, ROOM_FOR_ONE, 3)
    announce(leader, ROOM_FOR_FOUR, 2, passed_on=passed_on)
    announce(leader, ROOM_FOR_FOUR, 3, passed_on=passed_on)
    assert len(submit(leader, "j1")) == 1


@pytest.mark.parametrize(
    ("age", "starts"), [(MAX_ANNOUNCEMENT_AGE - 0.1, 2), (MAX_ANNOUNCEMENT_AGE, 0)]
)
def test_server_whose_announcements_are_lost_gets_nothing_new(
    leader: Leader, age: float, starts: int
) -> None:
    """Guards against starts by a capacity that may have shrunk long ago."""
    now = BEGIN + age
    leader.list_runs(now=now)
    assert len(submit(leader, "j1", now=now)) == starts
    announce(leader, ROOM_FOR_ONE, 2, now)
    leader.list_runs(now=now + 0.01)
    assert len(leader.starts()) == (0 if starts else 1)


def list_passed_on(leader: Leader) -> list[ReportServer]:
    """Return the reports that the last message passed on to one other member."""
    return [
        effect.message
        for effect in leader.effects
        if isinstance(effect, Send)
        and isinstance(effect.message, ReportServer)
        and effect.to.instance == "a2"
    ]


def test_new_leader_starts_nothing_by_an_old_report_that_was_passed_on(
    settings: Settings, leader: Leader
) -> None:
    """Guards against a member that takes a report for new when it first hears it."""
    leader.list_runs(now=BEGIN + 3.0)
    leader.handle(Tick(), BEGIN + 3.0)
    (passed_on,) = list_passed_on(leader)
    member, now = Leader(settings, term=2), BEGIN + 5.0
    member.handle(passed_on, BEGIN + 3.0)
    member.lead(now, (JobRecord(make_durable_job("j1", submitted_at=now)),))
    member.list_runs(now=now)
    assert member.starts() == []
    announce(member, ROOM_FOR_ONE, 2, now)
    member.list_runs(now=now + 0.01)
    assert len(member.starts()) == 1


def test_job_that_fits_the_largest_capacity_is_not_refused_as_too_large(
    leader: Leader,
) -> None:
    """Guards against a refusal for ever because of a capacity that grows again."""
    announce(leader, ROOM_FOR_NONE, 2)
    assert submit(leader, "j1", ONE_TASK) == []
    assert ReplyStatus.REFUSED not in [each.status for each in leader.replies()]
    announce(leader, CAPACITY, 3, BEGIN + 0.05)
    assert len(tick(leader, BEGIN + 0.1)) == 1


def test_job_that_never_fitted_is_refused_at_once(leader: Leader) -> None:
    """Guards against a job that waits although no server was ever large enough."""
    announce(leader, ROOM_FOR_NONE, 2)
    submit(leader, "j1", Step(1, ROOM_FOR_FOUR, 0.2))
    assert ReplyStatus.REFUSED in [each.status for each in leader.replies()]


def test_next_process_is_as_large_as_it_says(leader: Leader) -> None:
    """Guards against a job that waits for the capacity of a process that is gone."""
    report: ServerReport = make_report(born=BORN + 5, capacity=ROOM_FOR_NONE)
    leader.handle(ReportServer(report=report))
    submit(leader, "j1", ONE_TASK)
    assert ReplyStatus.REFUSED in [each.status for each in leader.replies()]
