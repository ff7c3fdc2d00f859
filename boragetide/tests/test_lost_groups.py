"""Many tasks that are lost with one backend server, and which of them are guilty."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from boragetide.controllers.queue_updates import update_tasks
from boragetide.durable import Resources, Step
from boragetide.messages import WithdrawSubmissions
from boragetide.settings import Settings
from boragetide.task_set import TaskSet
from boragetide.tests.crash_site import Fleet

FLEET_SIZE = 24
SMALL = Resources(250, 64)
RUN_TIME = 5.0  # seconds
SMALL_STEP = Step(1, SMALL, RUN_TIME)
# Time until the runs of a lost server are known to be over, in seconds.
DETECTION = 3.0
# After three crashes under a task, it may be started twice more.
MAX_STARTS = 5

MakeFleet = Callable[..., Fleet]


@pytest.fixture
def make_fleet(settings: Settings) -> MakeFleet:
    """Return a function that makes a fleet, by default one of 24 backend servers."""

    def make(size: int = FLEET_SIZE, **fields: object) -> Fleet:
        return Fleet(settings, size, **fields)

    return make


def submit_small_jobs(fleet: Fleet, count: int, prefix: str = "j") -> None:
    """Submit durable jobs of one small task each, and let them start."""
    for number in range(count):
        fleet.submit(f"{prefix}{number}", SMALL_STEP, best_effort=False)
    fleet.run_for(0.5)


def test_tasks_of_a_lost_server_start_again_beside_each_other(
    make_fleet: MakeFleet,
) -> None:
    """Guards against tasks of a lost server that start one at a time (LOST)."""
    fleet = make_fleet()
    submit_small_jobs(fleet, 200)
    lost = fleet.find_fullest()
    assert len(fleet.running[lost]) == 200
    fleet.take_down(lost, None)
    fleet.run_for(DETECTION + RUN_TIME)
    assert fleet.list_open_jobs() == []
    assert fleet.list_failed_jobs() == set()
    assert fleet.most_isolated <= FLEET_SIZE // 2


@pytest.mark.parametrize("crashes_after", [0.0, 3.0])
def test_deadly_task_among_many_is_found_by_halving(
    make_fleet: MakeFleet, crashes_after: float
) -> None:
    """Guards against 199 innocent tasks that wait for one that crashes its server."""
    fleet = make_fleet(deadly=["j77"], crashes_after=crashes_after)
    submit_small_jobs(fleet, 200)
    fleet.run_for(5 * (DETECTION + RUN_TIME))
    assert fleet.list_open_jobs() == []
    assert fleet.list_failed_jobs() == {"j77"}
    assert fleet.starts_by_task["j77", 0] <= MAX_STARTS


def test_several_deadly_tasks_of_one_server_are_given_up(make_fleet: MakeFleet) -> None:
    """Guards against deadly tasks that hide behind each other (BUDGET)."""
    deadly = {"j3", "j50", "j51", "j120", "j199"}
    fleet = make_fleet(deadly=deadly)
    submit_small_jobs(fleet, 200)
    fleet.run_for(12 * (DETECTION + RUN_TIME))
    assert fleet.list_open_jobs() == []
    assert fleet.list_failed_jobs() == deadly
    assert max(fleet.starts_by_task.values()) <= MAX_STARTS


def test_deadly_task_is_given_up_although_the_leader_changes(
    make_fleet: MakeFleet,
) -> None:
    """Guards against a count of crashes that a new leader does not know (BUDGET)."""
    fleet = make_fleet(deadly=["j7"])
    submit_small_jobs(fleet, 64)
    while fleet.list_open_jobs() and fleet.now < fleet.leader.state.leader_since + 60:
        fleet.run_for(1.0)
        if fleet.crashes_by_job.get("j7") == 2 and fleet.leader.term == 1:
            fleet.change_leader()
    assert fleet.leader.term == 2
    assert fleet.list_open_jobs() == []
    assert fleet.list_failed_jobs() == {"j7"}
    assert fleet.starts_by_task["j7", 0] <= MAX_STARTS


def test_new_leader_starts_nothing_beside_a_suspect(make_fleet: MakeFleet) -> None:
    """Guards against innocent tasks beside a suspect that an earlier leader started."""
    fleet = make_fleet(run_time=30.0)
    submit_small_jobs(fleet, 20)
    fleet.take_down(fleet.find_fullest(), None)
    fleet.run_for(DETECTION)
    hosts = set(fleet.leader.state.isolated_servers)
    assert hosts
    fleet.change_leader()
    fleet.run_for(DETECTION)
    assert fleet.leader.state.isolated_servers >= hosts
    submit_small_jobs(fleet, 50, "other")
    others = {
        server
        for server, running in fleet.running.items()
        if any(job_id.startswith("other") for job_id, _ in running)
    }
    assert others
    assert not others & hosts


def test_wide_job_goes_on_after_two_servers_were_lost(make_fleet: MakeFleet) -> None:
    """Guards against a job of 900 tasks that starts again one at a time (LOST)."""
    fleet = make_fleet()
    fleet.submit("wide", Step(900, SMALL, RUN_TIME), best_effort=False)
    fleet.run_for(1.0)
    for _ in range(2):
        fleet.take_down(fleet.find_fullest(), None)
        fleet.run_for(2.0)
    fleet.run_for(DETECTION + 3 * RUN_TIME)
    assert len(fleet.done) == 900
    assert fleet.list_failed_jobs() == set()


def test_tasks_that_were_not_lost_run_while_their_job_is_suspected(
    make_fleet: MakeFleet,
) -> None:
    """Guards against a wide job whose other tasks wait for the end of its suspects."""
    fleet = make_fleet(size=6, run_time=30.0)
    step = Step(60, Resources(8_000, 64), 30.0)
    fleet.submit("wide", step, best_effort=False)
    fleet.run_for(0.5)
    started = set(fleet.starts_by_task)
    assert len(started) < step.count
    for _ in range(2):
        fleet.take_down(fleet.find_fullest(), 2.0)
        fleet.run_for(2.0)
    fleet.run_for(DETECTION + 32.0)
    assert set(fleet.starts_by_task) > started


def test_second_innocent_loss_gives_no_task_up(make_fleet: MakeFleet) -> None:
    """Guards against tasks that are given up because a rack is lost with suspects."""
    fleet = make_fleet()
    submit_small_jobs(fleet, 200)
    fleet.take_down(fleet.find_fullest(), 2.0)
    fleet.run_for(DETECTION)
    hosts = sorted(fleet.leader.state.isolated_servers)[:3]
    assert len(hosts) == 3
    for server in hosts:
        fleet.take_down(server, 2.0)
    fleet.run_for(3 * (DETECTION + RUN_TIME))
    assert fleet.list_open_jobs() == []
    assert fleet.list_failed_jobs() == set()


def test_suspect_of_a_whole_server_starts_among_small_ones(
    make_fleet: MakeFleet,
) -> None:
    """Guards against a large suspect that never finds an empty server."""
    fleet = make_fleet(size=3)
    large = Step(1, Resources(49_000, 64), RUN_TIME)
    submit_small_jobs(fleet, 15, "early")
    fleet.submit("large", large, best_effort=False)
    submit_small_jobs(fleet, 45, "late")
    lost = fleet.find_fullest()
    assert len(fleet.running[lost]) == 61
    fleet.take_down(lost, None)
    fleet.run_for(DETECTION + 2 * RUN_TIME)
    assert ("large", 0) in fleet.done
    fleet.run_for(3 * RUN_TIME)
    assert fleet.list_open_jobs() == []


@pytest.mark.parametrize("size", [1, 2])
def test_groups_shorten_the_wait_in_a_small_pool(
    make_fleet: MakeFleet, size: int
) -> None:
    """Guards against 200 tasks that follow each other on the only server."""
    fleet = make_fleet(size=size)
    submit_small_jobs(fleet, 200)
    fleet.take_down(fleet.find_fullest(), 1.0)
    # Groups of 34 tasks, of which one runs at a time.
    fleet.run_for(DETECTION + 7 * RUN_TIME)
    assert fleet.list_open_jobs() == []


def test_all_deadly_tasks_of_a_wide_job_take_few_servers(make_fleet: MakeFleet) -> None:
    """Guards against a job that crashes the whole pool, group by group."""
    fleet = make_fleet(deadly=["wide"])
    fleet.submit("wide", Step(512, SMALL, RUN_TIME), best_effort=False)
    submit_small_jobs(fleet, 100, "other")
    fleet.run_for(4 * (DETECTION + RUN_TIME))
    assert fleet.list_failed_jobs() == {"wide"}
    assert fleet.list_open_jobs() == []
    assert max(fleet.starts_by_task.values()) <= MAX_STARTS


def test_withdrawn_job_leaves_no_suspect_behind(make_fleet: MakeFleet) -> None:
    """Guards against hosts that stay set apart for jobs that nobody waits for."""
    fleet = make_fleet()
    for number in range(40):
        fleet.submit(f"j{number}", SMALL_STEP)
    fleet.run_for(0.5)
    fleet.take_down(fleet.find_fullest(), None)
    fleet.run_for(1.0)
    for number in range(40):
        fleet.handle(WithdrawSubmissions(f"j{number}", "e1", fleet.now))
    fleet.run_for(DETECTION)
    assert not fleet.leader.state.suspects_by_job
    assert not fleet.leader.state.isolated_servers


def test_suspect_that_is_done_does_not_wait_any_more(make_fleet: MakeFleet) -> None:
    """Guards against a second run of a task whose late end was applied (TWICE).

    Another task of the job is a suspect still.
    """
    fleet = make_fleet(size=2)
    fleet.submit("wide", Step(3, Resources(21_000, 64), RUN_TIME))
    fleet.run_for(0.5)
    state = fleet.leader.state
    fleet.down |= set(fleet.servers)
    fleet.run_for(DETECTION)
    assert set(state.suspects_by_job["wide"]) == {0, 1, 2}
    record = replace(state.records_by_id["wide"], done=TaskSet({1}))
    state.records_by_id["wide"] = record
    update_tasks(state, "wide")
    assert set(state.suspects_by_job["wide"]) == {0, 2}
