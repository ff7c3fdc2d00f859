"""The dispatcher and orders that the next process of a backend server carries out."""

from __future__ import annotations

import pytest

from boragetide.controllers.orders import LATE_ORDER_WAIT
from boragetide.controllers.server_state import (
    LEASE_DURATION,
    LEASE_EXPIRY_MARGIN,
    MAX_LEASE_DURATION,
    MIN_CLOCK_RATE,
    Server,
)
from boragetide.durable import Step
from boragetide.effects import StartRun
from boragetide.messages import (
    OrderResult,
    ReadFailed,
    RemoveServer,
    ReportServer,
    RunOrdered,
    SubmitDurableJob,
    Tick,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    NEEDS,
    PREDECESSOR_AUTHORITY,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
)
from boragetide.types import ReplyTo

NEXT_BORN = BORN + 5
NEXT_CLOCK = 0.5  # seconds; clock of the next process when it answers
PLATFORM_MAX_ORDER_DELAY = 12.0  # seconds
READ_TIMEOUT = 0.4  # seconds


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with two runs at one backend server, beside one without runs."""
    made = Leader(settings)
    made.lead()
    made.join()
    job = make_durable_job("j1", Step(2, NEEDS, 4.0), best_effort=True)
    made.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)))
    return made


def lose_server(leader: Leader, now: float) -> Server:
    """Let the requests to the backend server fail from now on."""
    leader.handle(ReadFailed("s1", 1), now)
    leader.handle(ReadFailed("s1", 1), now + 0.01)
    return leader.state.servers_by_id["s1"]


def start_again(leader: Leader, now: float) -> list[StartRun]:
    """Return what is started at the other backend server, which is up."""
    leader.join("s2", now=now - 0.001)
    early = leader.starts()
    leader.handle(Tick(), now)
    early += leader.starts()
    leader.list_runs("s2", now=now)
    return early + leader.starts()


def order_again(leader: Leader) -> tuple[StartRun, StartRun, StartRun]:
    """Lose the answer to a start; return it, the answered start and its repetition."""
    unanswered, answered = leader.starts()
    leader.answer(answered)
    leader.answer(unanswered, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    (again,) = leader.starts()
    return unanswered, answered, again


def test_start_without_an_answer_may_begin_at_the_next_process(leader: Leader) -> None:
    """Guards against a second run beside one that a restarted server began late."""
    unanswered, answered, again = order_again(leader)
    leader.answer(again, OrderResult.UNANSWERED, now=BEGIN + 0.4)
    lapsed_at = lose_server(leader, BEGIN + 0.45).leases_expired_at
    (other,) = start_again(leader, lapsed_at + 0.01)
    assert other.task == answered.task
    now = lapsed_at + LATE_ORDER_WAIT - 0.1
    report = make_report("s2", sequence=2)
    leader.handle(ReportServer(report=report, passed_on=True), now)
    leader.list_runs("s2", ended=(list_end(other, 1),), now=now)
    assert leader.starts() == []
    leader.handle(Tick(), lapsed_at + LATE_ORDER_WAIT + 0.01)
    assert {start.task for start in leader.starts()} == {unanswered.task}


def test_start_that_is_carried_out_as_late_as_possible_begins_beside_no_other_run(
    leader: Leader,
) -> None:
    """Guards against a second run beside one that a restarted server begins late."""
    unanswered, _ = leader.starts()
    leader.answer(unanswered, OrderResult.UNANSWERED, now=BEGIN + 0.2)
    (again,) = leader.starts()
    leader.answer(again, OrderResult.UNANSWERED, now=BEGIN + 0.4)
    lose_server(leader, BEGIN + 0.45)
    begins_by = BEGIN + 0.2 + PLATFORM_MAX_ORDER_DELAY
    lapses_by = begins_by + MAX_LEASE_DURATION / MIN_CLOCK_RATE
    started = {start.task for start in start_again(leader, lapses_by)}
    assert unanswered.task not in started
    started = {start.task for start in start_again(leader, lapses_by + 0.5)}
    assert unanswered.task in started


def test_list_dated_by_an_old_clock_reading_does_not_rule_out_a_late_start(
    leader: Leader,
) -> None:
    """Guards against a second run beside one that begins again just after a list."""
    unanswered, answered, again = order_again(leader)
    leader.answer(again, now=BEGIN + 0.21)
    begins_by = BEGIN + 0.2 + PLATFORM_MAX_ORDER_DELAY
    leader.handle(RemoveServer("s1", passed_on=True), begins_by - 0.2)
    running = (list_run(again), list_run(answered))
    leader.list_runs(
        running=running, read_at=begins_by - 0.1, now=begins_by + READ_TIMEOUT
    )
    lapses_by = begins_by + MAX_LEASE_DURATION / MIN_CLOCK_RATE
    assert unanswered.task not in {each.task for each in start_again(leader, lapses_by)}


def test_list_that_is_handled_late_does_not_show_that_no_start_is_on_its_way(
    leader: Leader,
) -> None:
    """Guards against a second run beside one that begins after the list was made."""
    unanswered, answered, again = order_again(leader)
    running = (list_run(unanswered), list_run(answered))
    leader.list_runs(running=running, now=BEGIN + 0.3)
    leader.answer(again, OrderResult.UNANSWERED, now=BEGIN + 0.4)
    begins_by = BEGIN + 0.2 + PLATFORM_MAX_ORDER_DELAY
    handled_at = begins_by + 0.01
    leader.state.servers_by_id["s1"].clock.offset -= 2.0  # answers were handled late
    leader.list_runs(running=running, read_at=handled_at - 2.0, now=handled_at)
    leader.handle(ReadFailed("s1", 1, other_life=True), handled_at + 0.01)
    lapses_by = begins_by + MAX_LEASE_DURATION / MIN_CLOCK_RATE
    started = {start.task for start in start_again(leader, lapses_by)}
    assert unanswered.task not in started


def test_run_that_was_stopped_and_is_not_listed_may_begin_at_the_next_process(
    leader: Leader,
) -> None:
    """Guards against a second run beside one that a restarted server begins late."""
    unanswered, answered, again = order_again(leader)
    leader.answer(again, OrderResult.UNHEALTHY, now=BEGIN + 0.21)
    (stop,) = leader.stops()
    leader.answer(stop, now=BEGIN + 0.22)
    leader.list_runs(running=(list_run(answered),), now=BEGIN + 0.3)
    started = {start.task for start in start_again(leader, BEGIN + 0.5)}
    assert unanswered.task not in started


def test_start_that_was_sent_late_begins_beside_no_other_run(leader: Leader) -> None:
    """Guards against a wait that counts from the decision of a busy leader."""
    unanswered, _ = leader.starts()
    leader.answer(unanswered, OrderResult.UNANSWERED, now=BEGIN + 0.2, sent_at=BEGIN)
    (again,) = leader.starts()
    leader.handle(ReadFailed("s1", 1, other_life=True), BEGIN + 0.3)
    sent_at = BEGIN + 1.7
    leader.answer(again, OrderResult.UNANSWERED, now=sent_at + 0.2, sent_at=sent_at)
    begins_by = sent_at + PLATFORM_MAX_ORDER_DELAY
    lapses_by = begins_by + MAX_LEASE_DURATION / MIN_CLOCK_RATE
    started = {start.task for start in start_again(leader, lapses_by)}
    assert unanswered.task not in started
    leader.handle(Tick(), lapses_by + 0.5)
    assert leader.state.servers_by_id["s1"].runs_by_task == {}


def test_answered_starts_are_free_when_their_lease_has_lapsed(leader: Leader) -> None:
    """Guards against tasks of a lost server that wait for longer than they must."""
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    lapsed_at = lose_server(leader, BEGIN + 0.1).leases_expired_at
    (first,) = start_again(leader, lapsed_at + 0.01)
    leader.list_runs("s2", ended=(list_end(first, 1),), now=lapsed_at + 0.02)
    (second,) = leader.starts()
    assert {first.task, second.task} == {start.task for start in starts}


@pytest.mark.parametrize("refusal", [OrderResult.NO_ROOM, OrderResult.OLD_RUN])
def test_lease_that_a_refused_start_extends_counts(
    settings: Settings, refusal: OrderResult
) -> None:
    """Guards against a second run beside one that goes on by a refused start."""
    leader = Leader(settings)
    leader.lead()
    leader.join()
    starts = []
    for job_id, now in (("j1", BEGIN), ("j2", BEGIN + 0.5)):
        job = make_durable_job(job_id, Step(1, NEEDS, 4.0), best_effort=True)
        leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)), now)
        starts += leader.starts()
    first, refused = starts
    leader.answer(first, now=BEGIN + 0.01)
    leader.answer(refused, refusal, now=BEGIN + 0.51)
    leader.handle(RemoveServer("s1", passed_on=True), BEGIN + 0.52)
    leader.handle(Tick(), BEGIN + 0.5 + LEASE_DURATION / MIN_CLOCK_RATE)
    assert leader.state.server_by_task[first.task.job_id, first.number] == "s1"


def answer_by_the_next_clock(leader: Leader, start: StartRun, now: float) -> None:
    answer = RunOrdered(
        server=start.server,
        term=leader.term,
        job_id=start.task.job_id,
        task=start.number,
        run=start.run,
        result=OrderResult.DONE,
        started=True,
        clock=NEXT_CLOCK,
        sent_at=now,
        target_born=start.target_born,
    )
    leader.handle(answer, now)


def test_lease_by_the_clock_of_an_earlier_process_lasts_for_the_longest_time(
    leader: Leader,
) -> None:
    """Guards against a second run under a lease that the platform has shortened.

    The answer to a start shows that a restarted server has carried it out.
    """
    answered_at = BEGIN + 0.19
    for start in leader.starts():
        answer_by_the_next_clock(leader, start, answered_at)
    server = leader.state.servers_by_id["s1"]
    lapsed_at = answered_at + MAX_LEASE_DURATION / MIN_CLOCK_RATE
    leader.handle(ReadFailed("s1", 1, other_life=True), answered_at + 0.01)
    assert server.departed
    assert start_again(leader, lapsed_at) == []


def test_listed_run_of_the_next_process_has_the_longest_lease(leader: Leader) -> None:
    """Guards against a second run beside one under the lease of an earlier process."""
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    listed_at = BEGIN + 0.15
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(born=NEXT_BORN, target_born=BORN, running=running, now=listed_at)
    failed = ReadFailed("s1", 1, other_life=True, target_born=NEXT_BORN)
    leader.handle(failed, listed_at + 0.01)
    lapsed_at = listed_at + MAX_LEASE_DURATION / MIN_CLOCK_RATE
    assert start_again(leader, lapsed_at) == []


def test_takeover_waits_for_the_longest_lease(settings: Settings) -> None:
    """Guards against a second run at a change of the leader after a restart.

    The predecessor's last start arrived at a process that it did not know.
    """
    leader = Leader(settings, term=2)
    for server_id in ("s1", "s2"):
        report = make_report(server_id)
        leader.handle(ReportServer(report=report, passed_on=True))
    leader.lead()
    leader.list_runs("s2")
    job = make_durable_job("j1", Step(2, NEEDS, 2.0), best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)))
    arrived_at = BEGIN + PREDECESSOR_AUTHORITY + LEASE_EXPIRY_MARGIN
    lapsed_at = arrived_at + MAX_LEASE_DURATION / MIN_CLOCK_RATE
    leader.list_runs("s2", now=lapsed_at - 0.001)
    assert leader.starts() == []
    leader.list_runs("s2", now=lapsed_at + LEASE_EXPIRY_MARGIN + 0.001)
    assert len(leader.starts()) == 2
