"""The dispatcher and tasks that crash the backend servers that run them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from boragetide.commands import AcceptJob, RecordLosses
from boragetide.durable import JobPhase, LossFate, Resources, Step
from boragetide.messages import (
    LeadershipLost,
    ReadFailed,
    RemoveServer,
    ReplyStatus,
    ReportServer,
    WithdrawSubmissions,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.policy.crash_suspicion import FATE_WAIT
from boragetide.settings import Settings
from boragetide.tests.crash_site import LOST_AFTER, SERVERS, Site
from boragetide.tests.durable_fixtures import (
    BORN,
    NEEDS,
    list_end,
    list_run,
    make_report,
)

NEXT_BORN = BORN + 5000
# After three crashes under a task, it may be started twice more.
MAX_STARTS = 5
WHOLE_SERVER = Resources(60_000, 64)
LARGE_CAPACITY = Resources(96_000, 100_000)


@pytest.fixture
def site(settings: Settings) -> Site:
    """A leader with four backend servers for two tasks each."""
    return Site(settings)


@pytest.mark.parametrize("best_effort", [True, False])
def test_deadly_task_is_given_up_after_two_crashes(
    site: Site, best_effort: bool
) -> None:
    """Guards against a task that crashes one backend server after another (BUDGET)."""
    site.submit("j1", best_effort=best_effort)
    for _ in range(2):
        site.crash(site.take_start())
    assert site.leader.state.records_by_id["j1"].phase is JobPhase.FAILED
    site.pass_time(1.0)
    assert site.starts == []
    if best_effort:
        assert [(r.status, r.state) for r in site.replies] == [
            (ReplyStatus.ACCEPTED, "failed")
        ]


def test_suspect_starts_at_no_server_that_is_down_already(site: Site) -> None:
    """Guards against a job that is given up after one server has crashed under it.

    Two servers crash at the same moment: that of the run, and the one that is chosen
    for the next run before anything shows that it is down.
    """
    site.submit("j1", best_effort=False)
    first = site.take_start()
    others = [server for server in SERVERS if server != first.server]
    site.down |= set(others[:2])
    site.crash(first)
    for _ in range(len(SERVERS)):
        if site.starts:
            break
        question = site.find_events("suspect_server_asked")[-1]
        site.handle(ReadFailed(question["server"], 1))
        site.pass_time(0.1)
    start = site.take_start()
    assert start.server not in site.down
    for server in others[:2]:
        site.return_server(server, crashed=True)
    assert site.leader.state.records_by_id["j1"].phase is JobPhase.ACTIVE


@pytest.mark.parametrize("best_effort", [True, False])
def test_crash_before_the_start_arrived_gives_no_job_up(
    site: Site, best_effort: bool
) -> None:
    """Guards against a run that never began but counts as lost with its server."""
    site.submit("j1", best_effort=best_effort)
    site.crash(site.take_start())
    site.crash(site.take_unanswered_start())
    assert site.leader.state.records_by_id["j1"].phase is JobPhase.ACTIVE
    (lost,) = site.find_events("task_suspected")[1:]
    assert (lost["alone"], lost["began"]) == (True, False)
    assert (lost["crashes"], lost["certain_crashes"]) == (1, 1)
    site.crash(site.take_start())
    assert site.leader.state.records_by_id["j1"].phase is JobPhase.FAILED


@pytest.mark.parametrize("answered", [(), (0,), (1,), (2,), (3,)])
def test_task_that_crashes_servers_before_they_answer_is_given_up(
    site: Site, answered: tuple[int, ...]
) -> None:
    """Guards against a task that takes one server after the other (BUDGET)."""
    site.submit("j1", best_effort=False)
    starts = 0
    while site.leader.state.records_by_id["j1"].phase is JobPhase.ACTIVE:
        if starts in answered:
            start = site.take_start()
        else:
            start = site.take_unanswered_start()
        starts += 1
        assert starts <= MAX_STARTS
        site.crash(start)
    site.pass_time(FATE_WAIT)
    assert site.starts == []


def test_suspect_starts_at_no_server_that_is_draining(site: Site) -> None:
    """Guards against a start at a server that leaves (DRAIN).

    The server stays set apart while the end of the suspect before is not committed.
    """
    small = Step(1, Resources(12_000, 64), 5.0)
    for number in range(5):
        site.submit(f"j{number}", small, best_effort=False)
    lost = site.take_starts()
    assert len({start.server for start in lost}) == 1
    site.crash(lost[0])
    # Suspects may use two of the four servers in groups of two, so that one waits.
    suspect, *others = site.take_starts()
    assert len(others) == 3
    site.announce(suspect.server, draining=True)
    site.log_is_held_up = True
    ends, born = (list_end(suspect, 1),), site.born[suspect.server]
    site.take(
        site.leader.list_runs(suspect.server, born=born, ended=ends, now=site.now)
    )
    site.pass_time(0.1)
    assert suspect.server not in {start.server for start in site.starts}


def test_next_life_under_another_id_shows_the_crash(site: Site) -> None:
    """Guards against crashes that do not count because servers return with new ids."""
    site.submit("j1")
    for number in range(2):
        start = site.take_start()
        site.lose(start.server)
        address = f"{start.server}:80"
        report = replace(make_report(f"n{number}", born=NEXT_BORN), address=address)
        site.handle(ReportServer(report=report, passed_on=True))
    assert site.leader.state.records_by_id["j1"].phase is JobPhase.FAILED


def test_crash_counts_after_the_time_of_day_was_set_back(site: Site) -> None:
    """Guards against a suspect that waits for the fate of a server that is back."""
    site.submit("j1")
    for _ in range(2):
        server = site.take_start().server
        site.lose(server)
        for target_born in (BORN, BORN - 2000):
            fields = {"born": BORN - 2000, "target_born": target_born}
            site.take(site.leader.list_runs(server, now=site.now, **fields))
    assert site.leader.state.records_by_id["j1"].phase is JobPhase.FAILED


def test_task_lost_beside_a_deadly_one_is_served(site: Site) -> None:
    """Guards against an innocent task that is given up with a deadly one."""
    site.submit("deadly")
    site.submit("innocent")
    first, second = site.take_starts()
    assert first.server == second.server
    site.crash(first)
    starts = {start.task.job_id: start for start in site.take_starts()}
    assert starts["deadly"].server != starts["innocent"].server
    site.crash(starts["deadly"])
    assert site.leader.state.records_by_id["deadly"].phase is JobPhase.FAILED
    assert site.leader.state.records_by_id["innocent"].phase is JobPhase.ACTIVE
    assert ("innocent", 0) in site.leader.state.server_by_task


def test_nothing_is_started_beside_a_suspect(site: Site) -> None:
    """Guards against an innocent task that is lost because a suspect runs beside it."""
    site.submit("j1")
    site.crash(site.take_start())
    suspect = site.take_start()
    for number in range(2 * len(SERVERS)):
        site.submit(f"other{number}")
    others = site.take_starts()
    assert len(others) == 2 * (len(SERVERS) - 1)
    assert suspect.server not in {start.server for start in others}


def test_busy_server_is_emptied_for_a_suspect(site: Site) -> None:
    """Guards against a suspect that never starts because no server is ever empty."""
    site.submit("j1", Step(1, WHOLE_SERVER, 5.0))
    suspect = site.take_start()
    for number in range(2 * (len(SERVERS) - 1)):
        site.submit(f"long{number}")
    others = site.take_starts()
    site.crash(suspect)
    site.take_starts()
    isolated = site.leader.state.isolated_servers
    assert len(isolated) == 1
    assert {start.server for start in others} != isolated


@pytest.mark.parametrize("end", ["survived", "left", "draining"])
def test_cut_or_planned_end_of_a_server_blames_no_task(site: Site, end: str) -> None:
    """Guards against a job that is given up although no server has crashed."""
    site.submit("j1")
    for _ in range(3):
        start = site.take_start()
        born = site.born[start.server]
        if end == "left":
            site.handle(RemoveServer(start.server, born, passed_on=True))
        if end == "draining":
            site.announce(start.server, draining=True)
        site.lose(start.server)
        site.return_server(start.server, crashed=end != "survived")
        site.pass_time(0.1)
    assert site.leader.state.records_by_id["j1"].phase is JobPhase.ACTIVE
    assert not site.leader.state.losses.by_job


def test_suspect_lost_alone_waits_for_the_fate_of_its_server(site: Site) -> None:
    """Guards against a deadly task that starts again before its crash is known."""
    site.submit("j1", best_effort=False)
    site.lose(site.take_start().server)
    site.lose(site.take_start().server)
    assert site.starts == []
    for _ in range(9):
        for server in SERVERS[2:]:
            site.announce(server)
        site.pass_time((FATE_WAIT - LOST_AFTER) / 9)
    assert site.starts == []
    for server in SERVERS[2:]:
        site.return_server(server, crashed=False)
    site.pass_time(LOST_AFTER + 0.01)
    assert len(site.starts) == 1


@pytest.mark.parametrize("departure", ["withdrawn", "failed"])
def test_job_that_is_submitted_again_keeps_its_crashes(
    site: Site, departure: str
) -> None:
    """Guards against a deadly job whose count starts over when its caller returns."""
    site.submit("j1")
    if departure == "failed":
        site.crash(site.take_start())
    site.crash(site.take_start())
    if departure == "withdrawn":
        site.take_start()
        site.handle(WithdrawSubmissions("j1", "e1", site.now))
        site.answer_stops()
        site.now += 0.1
        for server in SERVERS:
            site.return_server(server, crashed=False)
    site.now += 0.5
    site.submit("j1")
    if departure == "failed":
        assert site.replies[-1].state == "failed"
        return
    site.pass_time(0.1)
    site.crash(site.take_start())
    assert site.replies[-1].state == "failed"


def test_useless_job_is_not_started_again(site: Site) -> None:
    """Guards against a task that crashes servers although no caller waits for it."""
    site.submit("j1", Step(1, NEEDS, 0.1))
    site.lose(site.take_start().server)
    assert site.starts == []
    assert [reply.status for reply in site.replies] == [ReplyStatus.UNDECIDED]
    site.pass_time(1.0)
    assert site.starts == []


def test_crashes_under_a_durable_job_outlive_the_leader(
    site: Site, settings: Settings
) -> None:
    """Guards against a count of crashes that starts over with each leader (BUDGET)."""
    site.submit("j1", best_effort=False)
    site.crash(site.take_start())
    site.take_start()
    site.handle(LeadershipLost())
    (record,) = site.catalogue.jobs_by_id.values()
    assert [loss.fate for loss in record.losses] == [LossFate.CRASHED]
    assert record.losses[0].began
    site.leader.term = 2
    site.now += 1.0
    site.leader.lead(site.now, (record,))
    site.now += LOST_AFTER
    for server in SERVERS:
        site.return_server(server, crashed=False)
    site.pass_time(0.1)
    site.crash(site.take_start())
    assert site.catalogue.jobs_by_id["j1"].phase is JobPhase.FAILED


def test_crash_between_two_leaders_counts(site: Site) -> None:
    """Guards against a crash that is forgotten because the leader changed meanwhile."""
    site.submit("j1", best_effort=False)
    start = site.take_start()
    site.lose(start.server)
    site.take_start()
    site.handle(LeadershipLost())
    (record,) = site.catalogue.jobs_by_id.values()
    assert [loss.fate for loss in record.losses] == [LossFate.UNKNOWN]
    site.born[start.server] += 5000
    site.announce(start.server)
    site.leader.term = 2
    site.take(site.leader.lead(site.now, (record,)) or site.leader.effects)
    (record,) = site.catalogue.jobs_by_id.values()
    assert [loss.fate for loss in record.losses] == [LossFate.CRASHED]


def test_loss_is_stored_once(site: Site) -> None:
    """Guards against a count that rises when a command is applied again."""
    site.submit("j1", best_effort=False)
    site.crash(site.take_start())
    record = site.catalogue.jobs_by_id["j1"]
    command = RecordLosses(record.losses)
    assert apply_job_command(command, site.catalogue, site.now) == set()
    accept = AcceptJob(record.job)
    assert apply_job_command(accept, site.catalogue, site.now) == set()


def test_decisions_on_a_deadly_task_are_logged(site: Site) -> None:
    """Guards against crashes that nobody can trace to their task."""
    site.submit("j1")
    for _ in range(2):
        site.crash(site.take_start())
    assert len(site.find_events("task_suspected")) == 2
    assert [e["runs_lost"] for e in site.find_events("server_crashed")] == ["j1/0"] * 2
    assert len(site.find_events("suspect_placed")) == 1
    (given_up,) = site.find_events("task_given_up")
    assert (given_up["job"], given_up["crashes"]) == ("j1", 2)


def test_suspect_that_ends_is_cleared(site: Site) -> None:
    """Guards against a task that stays under suspicion after it was done."""
    site.submit("j1")
    site.crash(site.take_start())
    start = site.take_start()
    born = site.born[start.server]
    running = (list_run(start),)
    site.take(
        site.leader.list_runs(
            start.server, born=born, running=running, now=site.now + 0.1
        )
    )
    site.now += 0.2
    ended = (list_end(start, 1),)
    site.take(site.leader.list_runs(start.server, born=born, ended=ended, now=site.now))
    assert site.replies[-1].state == "succeeded"
    assert len(site.find_events("task_cleared")) == 1
    site.pass_time(0.1)
    assert site.leader.state.isolated_servers == set()


def test_suspect_that_fits_no_server_holds_up_no_other(settings: Settings) -> None:
    """Guards against lost tasks that never start again behind one that fits nobody."""
    site = Site(settings)
    site.capacity["s1"] = LARGE_CAPACITY
    site.announce("s1")
    site.submit("large", Step(1, Resources(70_000, 64), 5.0), best_effort=False)
    site.submit("small", Step(1, Resources(5_000, 64), 5.0), best_effort=False)
    starts = site.take_starts()
    lost = starts[0].server
    assert [start.server for start in starts] == [lost, lost]
    site.lose(lost)
    start = site.take_start()
    assert start.task.job_id == "small"
    assert start.server != lost


def test_suspect_does_not_wait_for_a_server_that_is_emptied_for_a_larger_one(
    settings: Settings,
) -> None:
    """Guards against a lost task that waits beside idle servers that fit it alone."""
    site = Site(settings)
    for server in ("s1", "s2"):
        site.capacity[server] = LARGE_CAPACITY
        site.announce(server)
    for name, cores in (("large", 70_000), ("small", 5_000), ("other", 70_000)):
        step = Step(1, Resources(cores, 64), 30.0)
        site.submit(name, step, best_effort=False)
    start_by_job = {start.task.job_id: start for start in site.take_starts()}
    lost, busy = start_by_job["large"].server, start_by_job["other"].server
    assert start_by_job["small"].server == lost
    site.lose(lost)
    start = site.take_start()
    assert start.task.job_id == "small"
    assert start.server not in (lost, busy)
    assert site.leader.state.isolated_servers == {busy, start.server}


def test_server_set_apart_in_another_pool_holds_up_no_suspect(
    settings: Settings,
) -> None:
    """Guards against a lost task that waits for a suspect of another pool to end."""
    site = Site(settings)
    for server in ("s1", "s2"):
        site.pool[server] = "other"
        site.announce(server)
    site.submit("j1", Step(1, NEEDS, 60.0), best_effort=False)
    site.submit("j2", Step(1, NEEDS, 60.0), best_effort=False, pool="other")
    lost = [start.server for start in site.take_starts()]
    for server in lost:
        site.lose(server)
    starts = site.take_starts()
    assert sorted(start.task.job_id for start in starts) == ["j1", "j2"]
    assert len({start.server for start in starts} | set(lost)) == len(SERVERS)
