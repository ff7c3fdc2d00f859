"""The dispatcher and backend servers whose process was replaced by another one."""

from __future__ import annotations

from typing import Any

import pytest

from boragetide.effects import StartRun
from boragetide.messages import (
    CancelDurableJob,
    OrderResult,
    ReadFailed,
    RemoveServer,
    ReportServer,
    RunsRead,
    SubmitDurableJob,
    Tick,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
)
from boragetide.types import ReplyTo

NEXT_BORN = BORN + 5
CALLER = ReplyTo("e1", 7)


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one backend server that has capacity for two tasks."""
    made = Leader(settings)
    made.lead()
    made.join()
    return made


def start_job(leader: Leader) -> list[StartRun]:
    """Submit a best-effort job of two tasks and return the starts."""
    job = make_durable_job(best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    return leader.starts()


def announce_next_life(leader: Leader, now: float) -> None:
    report = make_report(born=NEXT_BORN)
    leader.handle(ReportServer(report=report, passed_on=True), now)


def test_tasks_start_again_at_a_process_whose_time_of_day_was_set_back(
    leader: Leader,
) -> None:
    """Guards against tasks that a restarted server blocks for as long as it answers."""
    for start in start_job(leader):
        leader.answer(start)
    born = BORN - 2000
    leader.list_runs(born=born, target_born=BORN, now=BEGIN + 0.2)
    (read,) = leader.reads()
    assert read.target_born == born
    leader.list_runs(born=born, target_born=born, now=BEGIN + 0.21)
    report = make_report(born=born)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 0.3)
    leader.handle(Tick(), BEGIN + 0.4)
    assert {start.run for start in leader.starts()} == {2}


def test_runs_go_on_when_an_earlier_process_of_later_birth_is_announced_late(
    leader: Leader,
) -> None:
    """Guards against a second run after the time of day was set back."""
    born = BORN - 2000
    leader.list_runs(born=born, target_born=BORN, now=BEGIN + 0.1)
    leader.list_runs(born=born, target_born=born, now=BEGIN + 0.11)
    report = make_report(born=born)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 0.2)
    starts = start_job(leader)
    for start in starts:
        leader.answer(start, now=BEGIN + 0.25)
    running = tuple(list_run(start) for start in starts)
    late = make_report(sequence=9)
    leader.handle(ReportServer(report=late, passed_on=True), BEGIN + 0.3)
    leader.list_runs(born=born, target_born=born, running=running, now=BEGIN + 0.35)
    leader.list_runs(born=born, target_born=BORN, running=running, now=BEGIN + 0.4)
    leader.list_runs(born=born, target_born=born, running=running, now=BEGIN + 0.5)
    leader.handle(Tick(), BEGIN + 0.6)
    assert (leader.starts(), leader.stops()) == ([], [])
    assert len(leader.state.server_by_task) == 2


def test_late_list_of_an_earlier_process_is_ignored(leader: Leader) -> None:
    """Guards against a restarted server that is taken for the process before it."""
    announce_next_life(leader, BEGIN + 0.1)
    leader.list_runs(born=BORN, target_born=BORN, now=BEGIN + 0.2)
    assert leader.state.servers_by_id["s1"].report.born == NEXT_BORN


def test_start_is_not_repeated_at_the_next_life_of_a_server(leader: Leader) -> None:
    """Guards against a start for a process whose clock and capacity are not known.

    The order may still be carried out there, so the run is stopped before its task
    starts again.
    """
    first, second = start_job(leader)
    leader.answer(second)
    announce_next_life(leader, BEGIN + 0.1)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    assert leader.starts() == []
    (stop,) = leader.stops()
    assert (stop.task, stop.run) == (first.task, first.run)
    leader.answer(stop, now=BEGIN + 0.25)
    assert leader.starts() == []
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.3)
    (again,) = leader.starts()
    end = list_end(again, 1)
    leader.list_runs(born=NEXT_BORN, ended=(end,), now=BEGIN + 0.35)
    starts = [again, *leader.starts()]
    assert {start.number for start in starts} == {first.number, second.number}
    assert {start.run for start in starts} == {first.run + 1}


def test_unanswered_start_that_the_next_life_lists_goes_on(leader: Leader) -> None:
    """Guards against stopping a run that a server carried out after its restart."""
    starts = start_job(leader)
    announce_next_life(leader, BEGIN + 0.1)
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(born=NEXT_BORN, running=running, now=BEGIN + 0.15)
    for start in starts:
        leader.answer(start, OrderResult.UNANSWERED, now=BEGIN + 0.2)
        assert (leader.starts(), leader.stops()) == ([], [])
    leader.handle(Tick(), BEGIN + 0.3)
    assert (leader.starts(), leader.stops()) == ([], [])


def test_answer_of_an_earlier_life_says_nothing_of_the_clock(leader: Leader) -> None:
    """Guards against leases on the clock of a process that has ended."""
    first, _ = start_job(leader)
    announce_next_life(leader, BEGIN + 0.1)
    leader.answer(first, now=BEGIN + 0.15)
    assert leader.state.servers_by_id["s1"].clock.find_offset(BEGIN + 0.15) is None


def test_refusal_at_the_address_of_an_earlier_life_is_not_held_against_the_next(
    leader: Leader,
) -> None:
    """Guards against waiting for a server that has moved to another address."""
    first, _ = start_job(leader)
    announce_next_life(leader, BEGIN + 0.1)
    leader.answer(first, OrderResult.OTHER_LIFE, now=BEGIN + 0.15)
    assert not leader.state.servers_by_id["s1"].departed


def use_next_life(leader: Leader) -> None:
    """Announce the next life and deliver its empty list of runs."""
    announce_next_life(leader, BEGIN + 0.1)
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.2)


@pytest.mark.parametrize("other_life", [False, True])
def test_failed_read_of_an_earlier_life_leaves_the_next_one_in_use(
    leader: Leader, other_life: bool
) -> None:
    """Guards against a takeover that does not wait for a server that is there."""
    use_next_life(leader)
    failed = ReadFailed("s1", 1, other_life=other_life, target_born=BORN)
    leader.handle(failed, BEGIN + 0.3)
    server = leader.state.servers_by_id["s1"]
    assert not (server.departed or server.silent)
    assert len(start_job(leader)) == 2


def test_misdirected_stop_for_an_earlier_life_leaves_the_next_one_in_use(
    leader: Leader,
) -> None:
    """Guards against a takeover that does not wait for a server that is there."""
    starts = start_job(leader)
    leader.handle(CancelDurableJob(id="j1", reply_to=CALLER))
    (stop, _) = leader.stops()
    assert stop.task == starts[0].task
    announce_next_life(leader, BEGIN + 0.1)
    leader.answer(stop, OrderResult.OTHER_LIFE, now=BEGIN + 0.15)
    assert not leader.state.servers_by_id["s1"].departed


def test_first_copy_of_a_start_may_begin_at_the_next_life(leader: Leader) -> None:
    """Guards against a second run beside one that a restarted server began late.

    The second copy was answered, and the next life lists its runs for a request that
    was meant for the earlier one.
    """
    first, second = start_job(leader)
    leader.answer(second)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    (again,) = leader.starts()
    leader.answer(again, now=BEGIN + 0.21)
    leader.list_runs(born=NEXT_BORN, target_born=BORN, now=BEGIN + 0.3)
    reads = leader.reads()
    leader.join("s2", now=BEGIN + 0.3)
    assert leader.starts() == []
    (read,) = reads
    assert (read.target_born, read.wait) == (NEXT_BORN, 0.0)
    assert read.fence > again.fence
    running = (list_run(first),)
    leader.list_runs(
        born=NEXT_BORN, target_born=NEXT_BORN, running=running, now=BEGIN + 0.31
    )
    assert [start.task for start in leader.starts()] == [second.task]


def test_start_that_the_next_life_has_fenced_starts_again(leader: Leader) -> None:
    """Guards against a leader that loses its authority to its own later orders."""
    first, second = start_job(leader)
    leader.answer(second)
    announce_next_life(leader, BEGIN + 0.1)
    leader.answer(first, OrderResult.FENCED, now=BEGIN + 0.15)
    leader.list_runs(born=NEXT_BORN, target_born=NEXT_BORN, now=BEGIN + 0.2)
    assert {start.run for start in leader.starts()} == {first.run + 1}


def test_late_list_of_an_earlier_life_is_no_sign_of_a_newer_leader(
    leader: Leader,
) -> None:
    """Guards against a leader that loses its authority to its own later requests."""
    announce_next_life(leader, BEGIN + 0.1)
    leader.handle(RunsRead("s1", 1, BEGIN, fenced=True, target_born=BORN), BEGIN + 0.15)
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.2)
    assert len(start_job(leader)) == 2


def end_all(leader: Leader, starts: list[StartRun], now: float) -> None:
    """List the runs as done, in the order of their starts."""
    ended = tuple(list_end(start, number) for number, start in enumerate(starts, 1))
    leader.list_runs(ended=ended, now=now)


def test_next_life_is_not_acknowledged_the_ends_of_the_last(leader: Leader) -> None:
    """Guards against a second run of a task whose end a restarted server forgot.

    Both processes number their ends from 1, and the restart is announced late.
    """
    end_all(leader, start_job(leader), BEGIN + 0.2)
    (acknowledgement,) = leader.reads()
    assert acknowledgement.acknowledged == 2
    leader.list_runs(now=BEGIN + 0.3)
    job = make_durable_job("j2", best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), BEGIN + 0.4)
    starts = leader.starts()
    assert len(starts) == 2
    for start in starts:
        leader.answer(start, now=BEGIN + 0.4)
        assert {read.acknowledged for read in leader.reads()} <= {0}
    leader.list_runs(born=NEXT_BORN, ended=(list_end(starts[0], 1),), now=BEGIN + 0.5)
    assert leader.state.records_by_id["j2"].done == {starts[0].number}


def test_unanswered_acknowledgement_is_sent_again_after_an_answer(
    leader: Leader,
) -> None:
    """Guards against an end that a server lists for ever, and against a forgotten one.

    A server that does not answer may have been replaced.
    """
    end_all(leader, start_job(leader), BEGIN + 0.2)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.4)
    assert [read.acknowledged for read in leader.reads()] == [0]
    leader.list_runs(now=BEGIN + 0.5)
    assert [read.acknowledged for read in leader.reads()] == [2]


def test_runs_of_a_life_that_is_not_announced_yet_go_on(leader: Leader) -> None:
    """Guards against runs that lapse because a server's restart is announced late."""
    first, second = start_job(leader)
    leader.list_runs(
        running=(list_run(first),),
        ended=(list_end(second, 1),),
        born=NEXT_BORN,
        now=BEGIN + 0.2,
    )
    assert leader.state.records_by_id["j1"].done == {second.number}
    assert leader.stops() == []
    (read,) = leader.reads()
    assert read.lease_until is not None


def test_nothing_is_started_at_a_life_that_is_not_announced_yet(
    leader: Leader,
) -> None:
    """Guards against a start for another capacity, label or pool than is known."""
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.1)
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.15)
    job = make_durable_job(best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), BEGIN + 0.2)
    assert leader.starts() == []
    announce_next_life(leader, BEGIN + 0.3)
    leader.handle(Tick(), BEGIN + 0.4)
    assert len(leader.starts()) == 2


def test_restarted_server_has_one_read_in_progress(leader: Leader) -> None:
    """Guards against reads that double with each restart of a backend server."""
    start_job(leader)
    leader.list_runs(now=BEGIN + 0.05)
    assert len(leader.reads()) == 1
    announce_next_life(leader, BEGIN + 0.1)
    assert leader.reads() == []
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.15)
    assert len(leader.reads()) == 1
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.2)
    assert len(leader.reads()) <= 1


def test_answer_of_an_earlier_life_lets_the_next_be_read(leader: Leader) -> None:
    """Guards against a restarted server whose runs are never read."""
    start_job(leader)
    leader.list_runs(now=BEGIN + 0.05)
    announce_next_life(leader, BEGIN + 0.1)
    leader.list_runs(now=BEGIN + 0.15)
    assert len(leader.reads()) == 1


def announce_again(leader: Leader, sequence: int, now: float, **fields: Any) -> None:
    """Announce the process that follows the first one again."""
    report = make_report(born=NEXT_BORN, sequence=sequence, **fields)
    leader.handle(ReportServer(report=report, passed_on=True), now)


def count_starts(leader: Leader, job_id: str, now: float) -> int:
    job = make_durable_job(job_id, best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), now)
    return len(leader.starts())


@pytest.mark.parametrize("born", [0, BORN])
def test_late_removal_of_an_earlier_life_leaves_the_new_one(
    leader: Leader, born: int
) -> None:
    """Guards against a server that gets no work although it announces itself.

    A later announcement shows that a removal without a life was an earlier one.
    """
    announce_next_life(leader, BEGIN + 0.1)
    leader.handle(RemoveServer("s1", born, passed_on=True), BEGIN + 0.2)
    announce_again(leader, 2, BEGIN + 1.6)
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 1.7)
    assert count_starts(leader, "j2", BEGIN + 1.8) == 2


@pytest.mark.parametrize("born", [0, NEXT_BORN])
def test_removed_server_gets_no_work(leader: Leader, born: int) -> None:
    """Guards against a start on a server that has left.

    An announcement that is older than the removal may arrive after it.
    """
    announce_again(leader, 2, BEGIN + 0.1)
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.2)
    leader.handle(RemoveServer("s1", born, passed_on=True), BEGIN + 0.3)
    announce_again(leader, 3 if born else 1, BEGIN + 0.4)
    assert count_starts(leader, "j2", BEGIN + 0.5) == 0


def test_draining_server_stays_so_after_its_removal(leader: Leader) -> None:
    """Guards against a start on a server that drains, whatever arrives late."""
    announce_again(leader, 3, BEGIN + 0.1, draining=True)
    leader.list_runs(born=NEXT_BORN, now=BEGIN + 0.2)
    leader.handle(RemoveServer("s1", passed_on=True), BEGIN + 0.3)
    announce_again(leader, 2, BEGIN + 0.4)
    announce_again(leader, 4, BEGIN + 0.5, draining=True)
    assert count_starts(leader, "j2", BEGIN + 0.6) == 0
