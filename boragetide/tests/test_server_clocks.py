"""The dispatcher and the clocks of backend servers whose answers are handled late."""

from __future__ import annotations

import random

import pytest

from boragetide.controllers.placing_runs import extend_lease
from boragetide.controllers.runs import MAX_CLOCK_AGE
from boragetide.controllers.server_state import LEASE_DURATION, Server
from boragetide.effects import StartRun
from boragetide.messages import ReportServer, SubmitDurableJob, Tick
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    SERVER_CLOCK,
    Leader,
    list_end,
    list_run,
    make_durable_job,
    make_report,
)

READ_AT = BEGIN + 0.1
HANDLED_AT = BEGIN + 1.2  # more than an overdue run may take


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader with one backend server that has capacity for two tasks."""
    made = Leader(settings)
    made.lead()
    made.join()
    return made


def start_runs(leader: Leader) -> list[StartRun]:
    """Start two runs that are expected to take 0.2 s."""
    leader.handle(SubmitDurableJob(job=make_durable_job(best_effort=True)))
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    return starts


def test_late_list_neither_shortens_leases_nor_rates_a_server(leader: Leader) -> None:
    """Guards against stopping healthy runs because their leader was busy."""
    running = tuple(list_run(start) for start in start_runs(leader))
    leader.list_runs(running=running, read_at=READ_AT, now=HANDLED_AT)
    (read,) = leader.reads()
    present = SERVER_CLOCK + HANDLED_AT - BEGIN
    assert read.lease_until == pytest.approx(present + LEASE_DURATION, abs=0.05)
    leader.handle(Tick(), HANDLED_AT)
    assert leader.stops() == []
    assert leader.state.servers_by_id["s1"].speed == 1.0


def test_late_list_of_an_end_does_not_show_a_slow_server(leader: Leader) -> None:
    """Guards against a speed that halves because the end was handled late."""
    starts = start_runs(leader)
    ended = tuple(list_end(start, number) for number, start in enumerate(starts, 1))
    leader.list_runs(ended=ended, read_at=BEGIN + 0.2, now=HANDLED_AT)
    assert leader.state.servers_by_id["s1"].speed == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("rate", [0.98, 1.0, 1.0005])
@pytest.mark.parametrize("seed", range(5))
def test_lease_ends_before_it_counts_as_expired(rate: float, seed: int) -> None:
    """Guards against a run that goes on at a slow clock while its task starts again.

    Answers take up to a second, and at times there is none for a minute.
    """
    rng = random.Random(seed)
    server = Server(make_report(), BEGIN)
    now = BEGIN
    for _ in range(200):
        sent_at, read_at = now, now + rng.uniform(0.0, 0.5)
        now = read_at + rng.uniform(0.0, 0.5)
        clock = SERVER_CLOCK + rate * (read_at - BEGIN)
        assert sent_at <= server.record_answer(clock, sent_at, now) <= now
        now += rng.choice((0.0, 0.3, 60.0))
        lease_until = extend_lease(server, now)
        ends_at = BEGIN + (lease_until - SERVER_CLOCK) / rate
        assert ends_at <= server.leases_expired_at


def test_lease_of_a_restarted_server_is_not_granted_by_the_last_clock() -> None:
    """Guards against a lease by the clock of a process that has ended.

    Answers to orders do not show which process gives them.
    """
    server = Server(make_report(), BEGIN)
    server.record_answer(SERVER_CLOCK, BEGIN, BEGIN)
    server.record_answer(3.0, BEGIN + 1.0, BEGIN + 1.1)
    assert extend_lease(server, BEGIN + 1.1) <= 3.1 + LEASE_DURATION


def test_announced_clock_keeps_the_bound_of_an_idle_server(leader: Leader) -> None:
    """Guards against a start that an idle server refuses as late."""
    for second in range(1, 61):
        now = BEGIN + second
        report = make_report(sequence=1 + second, clock=SERVER_CLOCK + second)
        leader.handle(ReportServer(report=report, passed_on=True), now)
        assert leader.reads() == []
    leader.handle(SubmitDurableJob(job=make_durable_job(best_effort=True)), now)
    for start in leader.starts():
        assert start.lease_until == pytest.approx(SERVER_CLOCK + 60 + LEASE_DURATION)
    assert leader.starts()


def test_idle_server_that_announces_no_clock_is_asked(leader: Leader) -> None:
    """Guards against a start that an idle server refuses as late."""
    now = BEGIN + MAX_CLOCK_AGE + 0.1
    leader.handle(ReportServer(report=make_report(sequence=2), passed_on=True), now)
    assert len(leader.reads()) == 1
