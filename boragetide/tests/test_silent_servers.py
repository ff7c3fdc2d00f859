"""The dispatcher and backend servers that do not answer, or that restart."""

from __future__ import annotations

import pytest

from boragetide.controllers.orders import STOP_RETRY_DELAY
from boragetide.controllers.server_state import LEASE_DURATION
from boragetide.durable import EndReason, Step
from boragetide.effects import StartRun
from boragetide.messages import (
    AuthorityExtended,
    OrderResult,
    ReadFailed,
    ReportServer,
    SubmitDurableJob,
    Tick,
)
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    CALLER,
    NEEDS,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
    submit,
)


def test_unanswered_start_occupies_its_task_until_the_server_tells(
    leader: Leader,
) -> None:
    """Guards against two runs of one task when a server carries out a start late."""
    leader.join("s2")
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    lose_start(leader, first)
    assert leader.starts() == []
    (stop,) = leader.stops()
    leader.handle(Tick(), BEGIN + 0.1)
    assert leader.starts() == []
    leader.answer(stop, now=BEGIN + 0.2)
    running = (list_run(second),) if second.server == stop.server else ()
    leader.list_runs(stop.server, running=running, now=BEGIN + 0.3)
    assert [start.task for start in leader.starts()] == [first.task]


def test_silent_server_is_used_again_after_its_runs_lapsed(leader: Leader) -> None:
    """Guards against a backend server that stays unused after a lost answer."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    leader.handle(Tick(), BEGIN + 2.0)
    leader.handle(ReadFailed("s1", 1), BEGIN + 2.1)
    submit(leader, job_id="j2", submitted_at=BEGIN + 2.1)
    leader.handle(Tick(), BEGIN + 2.5)
    (question,) = leader.reads()
    assert question.server == "s1"
    leader.list_runs(now=BEGIN + 2.6)
    assert {start.server for start in leader.starts()} == {"s1"}


def test_server_that_refuses_a_repeated_start_gets_nothing_new(leader: Leader) -> None:
    """Guards against starts at an unhealthy server after its connections were reset."""
    job = make_durable_job("j1", Step(1, NEEDS, 4.0), best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    (first,) = leader.starts()
    leader.join("s2", now=BEGIN + 0.005)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.01)
    (repeated,) = leader.starts()
    leader.answer(repeated, OrderResult.UNHEALTHY, now=BEGIN + 0.02)
    (stop,) = leader.stops()
    leader.answer(stop, now=BEGIN + 0.03)
    leader.list_runs(first.server, now=BEGIN + 0.05, sent_at=BEGIN + 0.04)
    assert [start.server for start in leader.starts()] == ["s2"]


def lose_start(leader: Leader, start: StartRun) -> None:
    """Lose the answers to a start and to its repetition."""
    leader.answer(start, OrderResult.UNANSWERED)
    (repeated,) = leader.starts()
    leader.answer(repeated, OrderResult.UNANSWERED)


def test_unanswered_start_is_stopped_once_the_leader_has_authority_again(
    leader: Leader,
) -> None:
    """Guards against a task that never starts again after a pause of its leader."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.state.authority_until = BEGIN + 0.1
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    assert (leader.starts(), leader.stops()) == ([], [])
    leader.handle(AuthorityExtended(leader.term, BEGIN + 9.0), BEGIN + 0.3)
    leader.handle(Tick(), BEGIN + 0.4)
    (stop,) = leader.stops()
    assert (stop.task, stop.run) == (first.task, first.run)
    leader.answer(stop, now=BEGIN + 0.5)
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.6)
    assert [start.task for start in leader.starts()] == [first.task]


def test_unanswered_start_is_repeated_with_the_same_number(leader: Leader) -> None:
    """Guards against stopping a run because the answer to its start was lost."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    (again,) = leader.starts()
    assert leader.stops() == []
    assert (again.task, again.run, again.server) == (
        first.task,
        first.run,
        first.server,
    )
    leader.answer(again, now=BEGIN + 0.3)
    leader.list_runs(running=(list_run(first), list_run(second)), now=BEGIN + 0.4)
    assert (leader.starts(), leader.stops()) == ([], [])


def test_repeated_start_of_a_run_that_ended_waits_for_its_end(leader: Leader) -> None:
    """Guards against a second run of a task that ended, before its end is listed."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    leader.answer(first, OrderResult.OLD_RUN, now=BEGIN + 0.3)
    assert leader.starts() == []
    leader.list_runs(
        running=(list_run(second),), ended=(list_end(first, 1),), now=BEGIN + 0.4
    )
    assert leader.starts() == []
    assert leader.state.records_by_id["j1"].done == {first.number}


def test_refused_repetition_of_a_start_is_stopped_first(leader: Leader) -> None:
    """Guards against two runs of a task: the first start may still be carried out."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    leader.answer(first, OrderResult.NO_ROOM, now=BEGIN + 0.3)
    assert leader.starts() == []
    assert [stop.task for stop in leader.stops()] == [first.task]


def test_unanswered_start_that_is_listed_goes_on(leader: Leader) -> None:
    """Guards against stopping a listed run because the answer to its start was lost."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    leader.list_runs(running=(list_run(first), list_run(second)), now=BEGIN + 0.1)
    leader.answer(first, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    assert (leader.starts(), leader.stops()) == ([], [])


def test_late_failure_of_an_old_run_leaves_the_new_one_alone(leader: Leader) -> None:
    """Guards against a second run of a task while another one is in progress."""
    submit(leader, attempts=4)
    first, second = leader.starts()
    leader.answer(second)
    leader.answer(first, OrderResult.NO_ROOM)
    leader.handle(Tick(), BEGIN + 1.1)
    assert [start.task for start in leader.starts()] == [first.task]
    failure = list_end(first, 1, EndReason.FAILED)
    running = (list_run(second),)
    leader.list_runs(running=running, ended=(failure,), now=BEGIN + 1.2)
    assert leader.starts() == []
    assert (first.task.job_id, first.number) in leader.state.server_by_task


def test_unanswered_stop_is_ordered_again(leader: Leader) -> None:
    """Guards against a task that waits forever after a start and a stop were lost."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(second)
    lose_start(leader, first)
    (stop,) = leader.stops()
    leader.answer(stop, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.3)
    assert leader.starts() == []
    leader.handle(Tick(), BEGIN + 0.2 + STOP_RETRY_DELAY)
    (again,) = leader.stops()
    assert (again.task, again.run) == (stop.task, stop.run)
    leader.handle(Tick(), BEGIN + 0.4)
    assert leader.stops() == []
    leader.answer(again, OrderResult.OLD_RUN, now=BEGIN + 0.5)
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.6)
    assert [start.task for start in leader.starts()] == [first.task]


def start_one_after_the_other(
    leader: Leader, now: float, server: str
) -> list[StartRun]:
    """Return the starts of suspects, each of which runs alone and is done."""
    starts: list[StartRun] = []
    leader.handle(Tick(), now)
    # The server answers before the first suspect starts there.
    leader.list_runs(server, now=now)
    while leader.starts():
        (start,) = leader.starts()
        starts.append(start)
        leader.answer(start, now=now)
        now += 0.1
        leader.list_runs(server, ended=(list_end(start, len(starts)),), now=now)
    return starts


def test_silent_server_keeps_its_tasks_until_their_leases_lapse(
    leader: Leader,
) -> None:
    """Guards against two runs of one task while a backend server is unreachable."""
    job = make_durable_job()
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    (accepted,) = leader.appended()
    leader.commit(accepted)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    leader.join("s2", BEGIN + 0.5)
    assert leader.starts() == []
    leader.handle(Tick(), BEGIN + LEASE_DURATION)
    assert leader.starts() == []
    again = start_one_after_the_other(leader, BEGIN + LEASE_DURATION + 0.3, "s2")
    assert [start.task for start in again] == [start.task for start in starts]


def test_silent_server_is_asked_without_a_new_lease(leader: Leader) -> None:
    """Guards against a lease that never lapses because requests for lists extend it."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    for number in (1, 2, 3):
        leader.handle(ReadFailed("s1", 1), BEGIN + 0.5 * number)
        leader.handle(Tick(), BEGIN + 0.5 * number + 0.4)
    (question,) = leader.reads()
    assert question.lease_until is None


def test_lost_answer_is_asked_for_again_at_once(leader: Leader) -> None:
    """Guards against a late read of ends because one answer of a server was lost."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    (question,) = leader.reads()
    assert question.wait == 0.0
    assert question.lease_until is not None
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.2)
    assert leader.reads() == []


def test_restarted_server_frees_its_tasks_at_once(leader: Leader) -> None:
    """Guards against waiting for runs of a backend server's earlier process."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    report = make_report(born=BORN + 5)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 0.2)
    leader.list_runs(born=BORN + 5, now=BEGIN + 0.3)
    (first,) = leader.starts()
    end = list_end(first, 1)
    leader.list_runs(born=BORN + 5, ended=(end,), now=BEGIN + 0.35)
    (second,) = leader.starts()
    assert {(each.number, each.run) for each in (first, second)} == {(0, 2), (1, 2)}


@pytest.mark.parametrize("result", [OrderResult.DONE, OrderResult.UNANSWERED])
def test_restarted_server_may_carry_out_an_order_before_its_announcement(
    leader: Leader, result: OrderResult
) -> None:
    """Guards against a second run of a task after a restart that is announced late."""
    leader.join("s2")
    submit(leader)
    starts = leader.starts()
    (server,) = {start.server for start in starts}
    for start in starts:
        leader.answer(start, result)
    report = make_report(server, born=BORN + 5)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 0.2)
    leader.handle(Tick(), BEGIN + 0.21)
    assert leader.starts() == []
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(server, born=BORN + 5, running=running, now=BEGIN + 0.3)
    leader.handle(Tick(), BEGIN + 0.4)
    assert (leader.starts(), leader.stops()) == ([], [])


def test_late_announcement_of_an_earlier_process_changes_nothing(
    leader: Leader,
) -> None:
    """Guards against applying an old announcement after a server's restart.

    A partition can hold up such an announcement.
    """
    late = make_report(born=BORN - 5, sequence=99, draining=True)
    leader.handle(ReportServer(report=late, passed_on=True))
    assert not leader.state.servers_by_id["s1"].report.draining


def test_run_that_is_not_listed_any_longer_is_started_again(leader: Leader) -> None:
    """Guards against a task that is lost when its run disappears from the server."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(first, now=BEGIN + 0.1)
    leader.answer(second, now=BEGIN + 0.1)
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.3, sent_at=BEGIN + 0.05)
    assert leader.starts() == []
    leader.list_runs(running=(list_run(second),), now=BEGIN + 0.4, sent_at=BEGIN + 0.2)
    assert [start.task for start in leader.starts()] == [first.task]
