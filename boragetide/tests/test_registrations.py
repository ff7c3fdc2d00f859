"""Registrations of backend servers in the log, and what a takeover makes of them."""

from __future__ import annotations

import msgspec
import pytest

from boragetide.commands import RegisterBackendServers, UnregisterBackendServers
from boragetide.controllers import takeover
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.registrations import MAX_LOGGED_IDS
from boragetide.controllers.server_state import (
    LEASE_DURATION,
    MAX_LEASE_DURATION,
    MIN_CLOCK_RATE,
)
from boragetide.controllers.takeover import LEASE_EXPIRY_WAIT
from boragetide.durable import Step
from boragetide.effects import LogEvent, Send
from boragetide.encoding import decode_value, encode_value
from boragetide.log_records import Ballot, Catalogue, LogEntry, Snapshot
from boragetide.messages import (
    JobsCommitted,
    LeadershipGained,
    LeadershipLost,
    ReadFailed,
    RemoveServer,
    ReportServer,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.policy.leadership import LeadershipNotices, announce
from boragetide.policy.replica import (
    Applied,
    Progress,
    Replica,
    Role,
    make_snapshot,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    NEEDS,
    PREDECESSOR_AUTHORITY,
    Leader,
    list_run,
    make_durable_job,
    make_report,
)
from boragetide.types import ReplyTo

CALLER = ReplyTo("e1", 7)
LEASES_EXPIRED_AT = BEGIN + PREDECESSOR_AUTHORITY + LEASE_EXPIRY_WAIT


@pytest.fixture
def leader(settings: Settings) -> Leader:
    """A leader that has read one backend server, while the log is held up."""
    made = Leader(settings)
    made.lead()
    made.log_is_held_up = True
    made.join()
    return made


@pytest.fixture
def predecessor(settings: Settings) -> Leader:
    """A leader that runs a job at backend server s1."""
    made = Leader(settings)
    made.lead()
    made.join()
    submit(made)
    return made


def make_successor(predecessor: Leader) -> Leader:
    """Build the next leader, which knows another backend server only."""
    successor = Leader(
        predecessor.state.settings, term=2, catalogue=predecessor.catalogue
    )
    report = make_report("s2")
    successor.handle(ReportServer(report=report, passed_on=True))
    return successor


def submit(leader: Leader, now: float = BEGIN, *steps: Step) -> None:
    job = make_durable_job("j1", *steps, best_effort=True, submitted_at=now)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER), now)


def list_log_fields(leader: Leader, event: str) -> list[dict[str, object]]:
    return [
        effect.fields
        for effect in leader.effects
        if isinstance(effect, LogEvent) and effect.event == event
    ]


def test_successor_that_missed_a_server_starts_nothing_before_its_leases_lapse(
    predecessor: Leader,
) -> None:
    """Guards against a second run of a task at a server that joined a moment ago."""
    assert {start.server for start in predecessor.starts()} == {"s1"}
    successor = make_successor(predecessor)
    successor.lead()
    successor.list_runs("s2")
    submit(successor, BEGIN, Step(2, NEEDS, 2.0))
    assert successor.starts() == []
    successor.list_runs("s2", now=LEASES_EXPIRED_AT - 0.1)
    assert successor.starts() == []
    successor.list_runs("s2", now=LEASES_EXPIRED_AT + 0.1)
    assert {start.server for start in successor.starts()} == {"s2"}
    (fields,) = list_log_fields(successor, "takeover_done")
    assert (fields["registered"], fields["unread"]) == (1, 1)


def test_successor_that_knows_all_registered_servers_starts_at_once(
    predecessor: Leader,
) -> None:
    """Guards against a takeover that waits for leases although all runs are known."""
    starts = predecessor.starts()
    successor = make_successor(predecessor)
    successor.handle(ReportServer(report=make_report("s1"), passed_on=True))
    successor.lead()
    successor.list_runs("s2")
    successor.list_runs("s1", running=(list_run(starts[0]),))
    submit(successor)
    assert [start.task for start in successor.starts()] == [starts[1].task]


def test_server_that_left_is_not_taken_as_read(predecessor: Leader) -> None:
    """Guards against a second run of a task whose server says that it leaves."""
    successor = make_successor(predecessor)
    successor.handle(ReportServer(report=make_report("s1"), passed_on=True))
    successor.handle(RemoveServer(id="s1", born=BORN, passed_on=True))
    successor.lead()
    successor.list_runs("s2")
    submit(successor)
    assert successor.starts() == []


def test_earlier_process_that_listed_its_runs_is_not_the_registered_one(
    predecessor: Leader,
) -> None:
    """Guards against a second run of a task at a server whose restart was missed."""
    report = make_report(born=BORN + 5)
    predecessor.handle(ReportServer(report=report, reply_to=CALLER), BEGIN)
    predecessor.list_runs(born=BORN + 5)
    successor = make_successor(predecessor)
    successor.handle(ReportServer(report=make_report("s1"), passed_on=True))
    successor.lead()
    successor.list_runs("s2")
    successor.list_runs("s1")
    submit(successor)
    assert successor.starts() == []


def test_mark_of_an_earlier_term_does_not_replace_a_list_of_runs(
    predecessor: Leader,
) -> None:
    """Guards against a second run of a task at a server that seemed to be replaced."""
    successor = make_successor(predecessor)
    successor.handle(ReportServer(report=make_report("s1"), passed_on=True))
    successor.lead()
    successor.handle(ReadFailed("s1", 2, other_life=True))
    successor.handle(LeadershipLost())
    successor.term = 3
    successor.lead()
    successor.list_runs("s2")
    submit(successor)
    assert successor.starts() == []


def test_nothing_is_started_before_the_registration_is_committed(
    leader: Leader,
) -> None:
    """Guards against a run at a server that the next leader may not know."""
    (appended,) = leader.registrations()
    submit(leader)
    assert leader.starts() == []
    leader.commit(appended)
    assert len(leader.starts()) == 2


def test_lost_registration_is_repeated_by_the_next_leader(leader: Leader) -> None:
    """Guards against a server that stays unused, and a start without registration."""
    (lost,) = leader.registrations()
    leader.handle(LeadershipLost())
    leader.term = 2
    leader.lead()
    leader.list_runs()
    (appended,) = leader.registrations()
    submit(leader)
    leader.handle(JobsCommitted(tuple(lost.message.commands_by_id), ()))
    assert leader.starts() == []
    leader.commit(appended)
    assert len(leader.starts()) == 2


def test_servers_that_join_during_a_commit_are_registered_together(
    leader: Leader,
) -> None:
    """Guards against a command for each backend server, and against repetitions."""
    (first,) = leader.registrations()
    for number in range(2, 20):
        leader.join(f"s{number}")
        assert leader.registrations() == []
    leader.handle(Tick(), BEGIN + 0.1)
    assert leader.registrations() == []
    leader.commit(first, BEGIN + 0.1)
    (second,) = leader.registrations()
    leader.commit(second, BEGIN + 0.2)
    assert leader.registrations() == []
    _, fields = list_log_fields(leader, "backend_servers_registered")
    assert (fields["count"], fields["registered"]) == (18, 19)
    assert len(str(fields["servers"]).split(",")) == MAX_LOGGED_IDS


def test_restarted_server_is_registered_again(predecessor: Leader) -> None:
    """Guards against a start at a process that is not registered."""
    for start in predecessor.starts():
        predecessor.answer(start)
    predecessor.log_is_held_up = True
    report = make_report(born=BORN + 5)
    predecessor.handle(ReportServer(report=report, reply_to=CALLER), BEGIN + 0.1)
    predecessor.list_runs(born=BORN + 5, now=BEGIN + 0.2)
    assert predecessor.starts() == []
    (appended,) = predecessor.registrations()
    predecessor.commit(appended, BEGIN + 0.3)
    (again,) = predecessor.starts()
    assert again.target_born == BORN + 5
    assert predecessor.catalogue.server_born_by_id == {"s1": BORN + 5}


def test_server_that_left_is_unregistered_when_its_leases_have_lapsed(
    predecessor: Leader,
) -> None:
    """Guards against a log that keeps all backend servers that ever ran a task."""
    for start in predecessor.starts():
        predecessor.answer(start)
    predecessor.handle(RemoveServer(id="s1", born=BORN))
    predecessor.handle(Tick(), BEGIN + LEASE_DURATION)
    assert predecessor.catalogue.server_born_by_id == {"s1": BORN}
    for seconds in (1.5, 2.5, 3.5):
        predecessor.handle(Tick(), BEGIN + seconds)
    assert predecessor.catalogue.server_born_by_id == {}


def test_server_unknown_to_the_leader_is_unregistered_once_its_leases_have_lapsed(
    predecessor: Leader,
) -> None:
    """Guards against takeovers of short terms that wait for a server that is gone."""
    successor = make_successor(predecessor)
    successor.lead()
    successor.handle(Tick(), LEASES_EXPIRED_AT - 0.1)
    assert "s1" in successor.catalogue.server_born_by_id
    for seconds in (1.1, 2.2):
        successor.handle(Tick(), LEASES_EXPIRED_AT + seconds)
    assert "s1" not in successor.catalogue.server_born_by_id


def test_server_with_a_lease_of_an_earlier_leader_stays_registered(
    predecessor: Leader,
) -> None:
    """Guards against a next leader that does not wait for a run that goes on."""
    running = tuple(list_run(start) for start in predecessor.starts())
    successor = make_successor(predecessor)
    successor.handle(ReportServer(report=make_report(), passed_on=True))
    successor.lead()
    successor.handle(Tick(), LEASES_EXPIRED_AT - 0.9)
    listed_at = LEASES_EXPIRED_AT - 0.1
    report = make_report(born=BORN + 5)
    successor.handle(ReportServer(report=report, passed_on=True), listed_at)
    successor.handle(RemoveServer("s1", BORN + 5, passed_on=True), listed_at)
    successor.list_runs(born=BORN + 5, target_born=BORN, running=running, now=listed_at)
    for seconds in (0.05, 0.15):
        successor.handle(Tick(), LEASES_EXPIRED_AT + seconds)
    successor.handle(Tick(), listed_at + MAX_LEASE_DURATION / MIN_CLOCK_RATE)
    assert "s1" in successor.catalogue.server_born_by_id
    for seconds in (1.1, 2.2):
        successor.handle(Tick(), LEASES_EXPIRED_AT + seconds)
    assert "s1" not in successor.catalogue.server_born_by_id


def test_silent_server_is_unregistered_once_its_leases_have_lapsed(
    predecessor: Leader,
) -> None:
    """Guards against takeovers that wait for a server that has crashed before them."""
    for start in predecessor.starts():
        predecessor.answer(start)
    predecessor.handle(ReadFailed("s1", 1), BEGIN + 0.1)
    predecessor.handle(Tick(), BEGIN + LEASE_DURATION)
    assert predecessor.catalogue.server_born_by_id == {"s1": BORN}
    for seconds in (2.0, 3.1):
        predecessor.handle(Tick(), BEGIN + seconds)
    assert predecessor.catalogue.server_born_by_id == {}
    predecessor.list_runs(now=BEGIN + 3.2)
    assert predecessor.catalogue.server_born_by_id == {"s1": BORN}


def test_takeover_examines_registrations_up_to_the_first_unread_one(
    predecessor: Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a takeover whose cost is the square of the number of servers."""
    predecessor.catalogue.server_born_by_id.update(
        {f"t{number}": BORN for number in range(500)}
    )
    successor = make_successor(predecessor)
    successor.lead()
    examined: list[str] = []
    is_read = takeover._is_read

    def count_examined(state: DispatcherState, server_id: str, born: int) -> bool:
        examined.append(server_id)
        return is_read(state, server_id, born)

    monkeypatch.setattr(takeover, "_is_read", count_examined)
    successor.list_runs("s2")
    assert not successor.state.takeover_complete
    assert len(examined) <= 2


def test_server_that_returns_while_it_is_unregistered_is_registered_again(
    predecessor: Leader,
) -> None:
    """Guards against runs at a server whose removal from the log is committed later."""
    for start in predecessor.starts():
        predecessor.answer(start)
    predecessor.handle(RemoveServer(id="s1"))
    predecessor.log_is_held_up = True
    now = BEGIN + 3.0
    predecessor.handle(Tick(), BEGIN + 2.0)
    predecessor.handle(Tick(), now)
    (removal,) = predecessor.registrations()
    predecessor.handle(ReportServer(report=make_report(sequence=9)), now)
    predecessor.list_runs(now=now)
    (registration,) = predecessor.registrations()
    job = make_durable_job("j2", best_effort=True, submitted_at=now)
    predecessor.handle(SubmitDurableJob(job=job, reply_to=CALLER), now)
    assert predecessor.starts() == []
    predecessor.commit(removal, now)
    assert predecessor.starts() == []
    predecessor.commit(registration, now)
    assert len(predecessor.starts()) == 2
    assert predecessor.catalogue.server_born_by_id == {"s1": BORN}


def test_takeover_without_announcements_ends_with_the_leases(
    predecessor: Leader,
) -> None:
    """Guards against members that wait for ever after a restart of all of them."""
    successor = Leader(
        predecessor.state.settings, term=2, catalogue=predecessor.catalogue
    )
    successor.state.incarnation = int(BEGIN * 1000)
    successor.lead()
    successor.handle(Tick(), LEASES_EXPIRED_AT + 0.1)
    assert successor.state.takeover_complete


def test_members_apply_registrations_alike() -> None:
    """Guards against a removal that hides a process that was registered since."""
    catalogue = Catalogue()
    for command in (
        RegisterBackendServers({"s1": 1, "s2": 1, "s3": 1}),
        RegisterBackendServers({"s2": 2}),
        UnregisterBackendServers({"s1": 1, "s2": 1, "s9": 1}),
    ):
        assert apply_job_command(command, catalogue, BEGIN) == set()
    assert catalogue.server_born_by_id == {"s2": 2, "s3": 1}


def test_dispatcher_gets_the_registrations_with_the_leadership(
    settings: Settings,
) -> None:
    """Guards against a leader that does not know what the log has registered."""
    replica = Replica(settings, 1, role=Role.LEADER, ballot=Ballot(2), commit=1)
    replica.log = [LogEntry(1, 2, BEGIN)]
    replica.progress_by_id = {
        other: Progress(2, BEGIN, answered_at=BEGIN) for other in replica.others
    }
    replica.catalogue = Catalogue(index=1, server_born_by_id={"s1": BORN})
    notices = LeadershipNotices(settings)
    (gained,) = [
        effect.message
        for effect in announce(notices, replica, Applied((), ()), BEGIN)
        if isinstance(effect, Send) and isinstance(effect.message, LeadershipGained)
    ]
    assert gained.server_born_by_id == {"s1": BORN}


def test_snapshot_of_an_earlier_build_is_read() -> None:
    """Guards against a member that cannot read its own journal after an update."""
    stored = msgspec.to_builtins(Catalogue(index=7), enc_hook=encode_value)
    del stored["server_born_by_id"]
    restored = msgspec.convert(stored, Catalogue, dec_hook=decode_value)
    assert (restored.index, restored.server_born_by_id) == (7, {})


def test_snapshot_keeps_the_registrations_of_its_time(settings: Settings) -> None:
    """Guards against a snapshot that changes while it is written."""
    replica = Replica(settings, 1)
    replica.catalogue = Catalogue(server_born_by_id={"s1": BORN})
    snapshot: Snapshot = make_snapshot(replica)
    replica.catalogue.server_born_by_id.clear()
    assert snapshot.catalogue.server_born_by_id == {"s1": BORN}
