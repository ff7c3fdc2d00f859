"""The dispatcher and runs of an earlier leader whose server answers no longer."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from boragetide.controllers.server_state import (
    LATE_RUN_WAIT,
    LONGEST_LEASE,
    MAX_LEASE_DURATION,
    MIN_CLOCK_RATE,
)
from boragetide.durable import JobRecord, ListedRun, Step, UnansweredStart
from boragetide.effects import StartRun
from boragetide.log_records import Catalogue
from boragetide.messages import (
    ReadFailed,
    RemoveServer,
    ReportServer,
    SubmitDurableJob,
    Tick,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    CALLER,
    NEEDS,
    PREDECESSOR_AUTHORITY,
    Leader,
    make_durable_job,
    make_report,
    make_task_ref,
)

NEXT_BORN = BORN + 5
LISTED_AT = BEGIN + 1.5  # time of the list by which a run is adopted
LAPSED_AT = LISTED_AT + MAX_LEASE_DURATION / MIN_CLOCK_RATE
RELEASED_AT = BEGIN + PREDECESSOR_AUTHORITY + LATE_RUN_WAIT
RUNNING = (ListedRun(make_task_ref("j1", 0), 1),)
STEP = Step(1, NEEDS, 4.0)


def make_leader(
    settings: Settings, catalogue: Catalogue | None = None, *, is_known: bool = True
) -> Leader:
    """Build a leader that has granted no lease and may know its predecessor's job."""
    leader = Leader(settings, term=2, catalogue=catalogue)
    for server_id in ("s1", "s2"):
        report = make_report(server_id)
        leader.handle(ReportServer(report=report, passed_on=True))
    records = (JobRecord(make_durable_job("j1", STEP)),) if is_known else ()
    leader.lead(records=records)
    return leader


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader that has granted no lease and knows a job of its predecessor."""
    return make_leader(settings)


@pytest.fixture
def recorded_leader(settings: Settings) -> Leader:
    """A leader whose predecessor got no answer to one of the starts of its run."""
    catalogue = Catalogue()
    catalogue.unanswered_starts = (UnansweredStart("j1", 0, "s1"),)
    return make_leader(settings, catalogue)


def depart(leader: Leader) -> None:
    """Deliver a late removal, which does not say which process it concerns."""
    leader.handle(RemoveServer("s1", passed_on=True), LISTED_AT - 0.01)


def announce_next_process(leader: Leader, now: float) -> None:
    report = make_report(born=NEXT_BORN)
    leader.handle(ReportServer(report=report, passed_on=True), now)


def list_by_announced_process(leader: Leader) -> None:
    """List the run of a process that is known, for a call to the one before it."""
    announce_next_process(leader, LISTED_AT - 0.1)
    depart(leader)
    leader.list_runs(born=NEXT_BORN, target_born=BORN, running=RUNNING, now=LISTED_AT)


def list_by_unknown_process(leader: Leader) -> None:
    """List the run of a process that has not announced itself yet."""
    leader.list_runs(born=NEXT_BORN, target_born=BORN, running=RUNNING, now=LISTED_AT)
    leader.handle(RemoveServer("s1", NEXT_BORN, passed_on=True), LISTED_AT)
    leader.handle(ReadFailed("s1", 2, target_born=NEXT_BORN), LISTED_AT + 0.2)


def list_by_departed_process(leader: Leader) -> None:
    """List the run of a process that has left, for a call that was meant for it."""
    depart(leader)
    leader.list_runs(target_born=BORN, running=RUNNING, now=LISTED_AT)


def list_before_restart(leader: Leader) -> None:
    """List the run of a process that has left, and announce the one after it."""
    list_by_departed_process(leader)
    announce_next_process(leader, LISTED_AT + 0.1)
    leader.handle(ReadFailed("s1", 2, target_born=NEXT_BORN), LISTED_AT + 0.3)


def start_elsewhere(leader: Leader, now: float) -> list[StartRun]:
    """Return what is started at the other backend server until ``now``."""
    sequence = int(now - BEGIN) + 2
    leader.join("s2", now=now - 0.001, sequence=sequence)
    early = leader.starts()
    leader.handle(Tick(), now)
    return early + leader.starts()


LISTS = (list_by_announced_process, list_by_unknown_process)


@pytest.mark.parametrize("list_run", [*LISTS, list_by_departed_process])
def test_adopted_run_keeps_its_task_for_the_longest_lease(
    leader: Leader, list_run: Callable[[Leader], None]
) -> None:
    """Guards against a second run beside one whose lease an earlier leader granted."""
    list_run(leader)
    assert leader.state.server_by_task["j1", 0] == "s1"
    assert start_elsewhere(leader, LISTED_AT + 0.5) == []
    assert start_elsewhere(leader, LAPSED_AT) == []


@pytest.mark.parametrize("list_run", LISTS)
def test_adopted_run_keeps_its_task_while_a_late_call_may_extend_its_lease(
    leader: Leader, list_run: Callable[[Leader], None]
) -> None:
    """Guards against a second run beside one that an earlier leader's call prolongs."""
    list_run(leader)
    assert start_elsewhere(leader, LISTED_AT + LONGEST_LEASE + 0.01) == []
    assert start_elsewhere(leader, RELEASED_AT - 0.01) == []


@pytest.mark.parametrize("list_run", [list_by_departed_process, list_before_restart])
def test_adopted_run_keeps_its_task_while_its_recorded_start_may_begin_it(
    recorded_leader: Leader, list_run: Callable[[Leader], None]
) -> None:
    """Guards against a second run beside one that the next process begins late."""
    list_run(recorded_leader)
    assert start_elsewhere(recorded_leader, LISTED_AT + LONGEST_LEASE + 0.01) == []
    assert start_elsewhere(recorded_leader, RELEASED_AT - 0.01) == []
    assert len(start_elsewhere(recorded_leader, RELEASED_AT + 0.01)) == 1


def test_run_that_is_adopted_with_its_job_keeps_its_task_for_the_longest_lease(
    settings: Settings,
) -> None:
    """Guards against a second run of a best-effort task at its next submission."""
    leader = make_leader(settings, is_known=False)
    list_by_announced_process(leader)
    submitted_at = LISTED_AT + 0.2
    job = make_durable_job("j1", STEP, best_effort=True, submitted_at=submitted_at)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), submitted_at)
    assert leader.state.server_by_task["j1", 0] == "s1"
    assert start_elsewhere(leader, LAPSED_AT) == []


def test_adopted_run_of_a_process_that_left_frees_its_task_after_its_lease(
    leader: Leader,
) -> None:
    """Guards against tasks of a lost server that wait for longer than they must."""
    list_by_departed_process(leader)
    assert len(start_elsewhere(leader, LISTED_AT + LONGEST_LEASE + 0.01)) == 1
