"""How the members learn of the backend servers whose announcements are lost."""

from __future__ import annotations

import pytest

from boragetide.controllers.takeover import LEASE_EXPIRY_WAIT
from boragetide.durable import Step
from boragetide.effects import Send
from boragetide.messages import (
    LeadershipGained,
    MembersChanged,
    ReadFailed,
    ReportServer,
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
    make_durable_job,
    make_report,
)
from boragetide.types import InstanceId, ReplyTo

MEMBERS = ("a1", "a2", "a3")


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader of three members that has read one backend server."""
    made = Leader(settings)
    made.handle(MembersChanged(MEMBERS))
    made.lead()
    made.join()
    return made


def list_passed_on(leader: Leader) -> set[tuple[InstanceId, str]]:
    """Return the members and the servers that the last message passed on to them."""
    return {
        (effect.to.instance, effect.message.report.id)
        for effect in leader.effects
        if isinstance(effect, Send) and isinstance(effect.message, ReportServer)
    }


def test_server_that_answers_without_announcements_is_passed_on(
    leader: Leader,
) -> None:
    """Guards against a second run of a task that a younger member does not know of."""
    leader.list_runs(now=BEGIN + 2.5)
    leader.handle(Tick(), BEGIN + 3.0)
    assert list_passed_on(leader) == {("a2", "s1"), ("a3", "s1")}


def test_server_that_announces_itself_is_not_passed_on_again(leader: Leader) -> None:
    """Guards against messages for each backend server in each second."""
    report = make_report(sequence=2)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 2.0)
    leader.handle(Tick(), BEGIN + 3.0)
    assert list_passed_on(leader) == set()


def test_server_that_is_gone_is_not_passed_on(leader: Leader) -> None:
    """Guards against a removed backend server that comes back to the members."""
    leader.handle(ReadFailed("s1", 1), BEGIN + 2.0)
    leader.handle(Tick(), BEGIN + 6.0)
    assert list_passed_on(leader) == set()


def test_process_that_only_listed_its_runs_is_passed_on(leader: Leader) -> None:
    """Guards against a restarted server that a younger member does not know."""
    leader.list_runs(born=BORN + 5, now=BEGIN + 1.0)
    leader.list_runs(born=BORN + 5, now=BEGIN + 3.5)
    leader.handle(Tick(), BEGIN + 4.0)
    assert list_passed_on(leader) == {("a2", "s1"), ("a3", "s1")}


def test_first_announcement_of_a_listed_process_may_have_any_number(
    leader: Leader,
) -> None:
    """Guards against ignoring the first announcement of a restarted server."""
    leader.list_runs(born=BORN + 5, now=BEGIN + 1.0)
    assert not leader.state.servers_by_id["s1"].announced
    report = make_report(born=BORN + 5, sequence=0, draining=True)
    leader.handle(ReportServer(report=report, passed_on=True), BEGIN + 1.5)
    assert leader.state.servers_by_id["s1"].report.draining


@pytest.mark.parametrize("missed", [True, False])
def test_leader_that_missed_its_predecessor_waits_for_the_leases(
    settings: Settings, missed: bool
) -> None:
    """Guards against a second run of a task at a server that this member missed."""
    leader = Leader(settings, term=2)
    leader.handle(ReportServer(report=make_report(), passed_on=True))
    until = BEGIN + PREDECESSOR_AUTHORITY
    leader.handle(LeadershipGained(2, (), BEGIN + 1000.0, until, missed))
    leader.list_runs()
    job = make_durable_job("j1", Step(2, NEEDS, 2.0), best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)))
    assert len(leader.starts()) == (0 if missed else 2)
    leader.list_runs(now=until + LEASE_EXPIRY_WAIT + 0.1)
    assert len(leader.starts()) == (2 if missed else 0)
