"""Reports of runs that backend servers list after they were counted as over."""

from __future__ import annotations

from typing import Any

import pytest

from boragetide.controllers import freed_runs
from boragetide.controllers.orders import LATE_ORDER_WAIT
from boragetide.controllers.server_state import LONGEST_LEASE
from boragetide.durable import EndReason, Step
from boragetide.effects import Count, LogEvent, StartRun
from boragetide.messages import (
    LeadershipLost,
    OrderResult,
    ReadFailed,
    SubmitDurableJob,
    Tick,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    CALLER,
    NEEDS,
    Leader,
    list_end,
    list_run,
    make_durable_job,
)

LAPSED_AT = BEGIN + LONGEST_LEASE + LATE_ORDER_WAIT
REPORTED = "run_listed_after_over"


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader that has ordered one run at its only backend server."""
    made = Leader(settings)
    made.lead()
    made.join()
    job = make_durable_job("j1", Step(1, NEEDS, 5.0), best_effort=True)
    made.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    return made


@pytest.fixture
def start(leader: Leader) -> StartRun:
    """The order of that run."""
    (start,) = leader.starts()
    return start


def find_reports(leader: Leader) -> list[dict[str, Any]]:
    """Return the fields of the reports that the last message caused."""
    return [
        effect.fields
        for effect in leader.effects
        if isinstance(effect, LogEvent) and effect.event == REPORTED
    ]


def let_lease_lapse(leader: Leader) -> None:
    """Let the backend server be silent until the run is counted as over."""
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    leader.handle(Tick(), LAPSED_AT)
    assert not leader.state.server_by_task


def test_refused_run_that_is_listed_as_running_is_reported(
    leader: Leader, start: StartRun
) -> None:
    """Guards against a refused start that was carried out and that no line shows."""
    leader.answer(start, OrderResult.UNHEALTHY, BEGIN + 0.1)
    leader.list_runs(running=(list_run(start),), now=BEGIN + 0.3)
    (fields,) = find_reports(leader)
    assert fields["freed_ago"] == pytest.approx(0.2)
    del fields["freed_ago"]
    assert fields == {
        "job": "j1",
        "task": 0,
        "run": start.run,
        "server": "s1",
        "reason": "unhealthy",
        "listed_as": "running",
        "same_process": True,
        "term": 1,
    }
    assert Count("runs_listed_after_over", {"reason": "unhealthy"}) in leader.effects


@pytest.mark.parametrize("reason", EndReason)
def test_refused_run_whose_end_is_listed_is_reported(
    leader: Leader, start: StartRun, reason: EndReason
) -> None:
    """Guards against a refused start whose run ends before a list shows it."""
    leader.answer(start, OrderResult.NO_ROOM, BEGIN + 0.1)
    leader.list_runs(ended=(list_end(start, 1, reason),), now=BEGIN + 0.3)
    (fields,) = find_reports(leader)
    assert fields["listed_as"] == reason.value


def test_run_is_reported_once(leader: Leader, start: StartRun) -> None:
    """Guards against a line for each list of a run that goes on."""
    leader.answer(start, OrderResult.UNHEALTHY, BEGIN + 0.1)
    running = (list_run(start),)
    leader.list_runs(running=running, now=BEGIN + 0.3)
    leader.list_runs(running=running, now=BEGIN + 0.4)
    assert not find_reports(leader)
    leader.list_runs(ended=(list_end(start, 1),), now=BEGIN + 0.5)
    assert not find_reports(leader)


def test_unlisted_run_that_is_listed_again_is_reported(
    leader: Leader, start: StartRun
) -> None:
    """Guards against a list without a run that goes on and that no line shows."""
    leader.answer(start)
    leader.list_runs(now=BEGIN + 0.2, sent_at=BEGIN + 0.1)
    assert start.task.job_id in leader.state.active
    leader.list_runs(running=(list_run(start),), now=BEGIN + 0.3)
    (fields,) = find_reports(leader)
    assert fields["reason"] == "not_listed"


def test_run_that_outlives_its_lease_is_reported(
    leader: Leader, start: StartRun
) -> None:
    """Guards against a backend server that goes on with runs after their leases."""
    let_lease_lapse(leader)
    leader.list_runs(running=(list_run(start),), now=LAPSED_AT + 0.1)
    (fields,) = find_reports(leader)
    assert fields["reason"] == "lease_lapsed"


@pytest.mark.parametrize("reason", EndReason)
def test_end_before_a_lapsed_lease_is_not_reported(
    leader: Leader, start: StartRun, reason: EndReason
) -> None:
    """Guards against reports of runs that ended while their server was out of reach."""
    let_lease_lapse(leader)
    leader.list_runs(ended=(list_end(start, 1, reason),), now=LAPSED_AT + 0.1)
    assert not find_reports(leader)


def test_listed_runs_that_were_never_freed_are_not_reported(
    leader: Leader, start: StartRun
) -> None:
    """Guards against reports of ordinary runs."""
    leader.answer(start)
    leader.list_runs(running=(list_run(start),), now=BEGIN + 0.2)
    assert not find_reports(leader)
    leader.list_runs(ended=(list_end(start, 1),), now=BEGIN + 0.3)
    assert not find_reports(leader)


def test_next_process_that_lists_a_freed_run_is_told_apart(
    leader: Leader, start: StartRun
) -> None:
    """Guards against a late order that is taken for a wrong answer of the process."""
    let_lease_lapse(leader)
    born = leader.state.servers_by_id["s1"].report.born + 5
    running = (list_run(start),)
    leader.list_runs(running=running, born=born, now=LAPSED_AT + 0.1)
    (fields,) = find_reports(leader)
    assert not fields["same_process"]


def test_run_of_a_job_that_begins_anew_is_not_reported(
    leader: Leader, start: StartRun
) -> None:
    """Guards against a report of a run that has the number of an earlier one."""
    leader.answer(start)
    leader.list_runs(now=BEGIN + 0.2, sent_at=BEGIN + 0.1)
    (second,) = leader.starts()
    leader.answer(second, now=BEGIN + 0.3)
    leader.list_runs(ended=(list_end(second, 1),), now=BEGIN + 0.4)
    for seconds in (5.0, 11.0):
        leader.handle(Tick(), BEGIN + seconds)
    assert not leader.state.run_number_by_task
    leader.join(born=BORN + 5, now=BEGIN + 11.0)
    leader.list_runs(born=BORN + 5, target_born=BORN + 5, now=BEGIN + 11.0)
    job = make_durable_job("j1", Step(1, NEEDS, 5.0), best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), BEGIN + 11.0)
    (again,) = leader.starts()
    assert again.run == start.run
    running = (list_run(again),)
    leader.list_runs(running=running, born=BORN + 5, now=BEGIN + 11.2)
    assert not find_reports(leader)


def test_freed_runs_are_bounded(
    leader: Leader, start: StartRun, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that grows with each refused start."""
    monkeypatch.setattr(freed_runs, "MAX_FREED_RUNS", 1)
    leader.answer(start, OrderResult.REJECTED, BEGIN + 0.1)
    (second,) = leader.starts()
    leader.answer(second, OrderResult.REJECTED, BEGIN + 0.2)
    (key,) = leader.state.freed_runs
    assert key == ("s1", second.task, second.run)


def test_freed_runs_are_forgotten_with_the_leadership(
    leader: Leader, start: StartRun
) -> None:
    """Guards against a former leader that keeps the runs of its term."""
    leader.answer(start, OrderResult.UNHEALTHY, BEGIN + 0.1)
    leader.handle(LeadershipLost(), BEGIN + 0.2)
    assert not leader.state.freed_runs
