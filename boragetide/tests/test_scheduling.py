"""Order and placement of durable tasks, without a network."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from random import Random

import pytest

from boragetide.durable import JobRecord, Resources, Step
from boragetide.policy.job_progress import find_ready_tasks
from boragetide.policy.job_queue import JobQueue, WaitingJob
from boragetide.policy.look_ahead import LOOK_AHEAD, LookAhead
from boragetide.policy.queue_order import SIZE_DELAY
from boragetide.policy.scheduling import (
    ServerCandidate,
    can_ever_fit,
    choose_server,
    latest_start,
    longest_chain,
    min_useful_speed,
)
from boragetide.policy.server_index import ServerIndex
from boragetide.policy.unplaced_needs import UnplacedNeeds
from boragetide.task_set import TaskSet
from boragetide.tests.durable_fixtures import BEGIN, NEEDS, make_durable_job

STEP = Step(2, NEEDS, 0.2)


def make_candidate(
    server_id: str, millicores: int, speed: float = 1.0
) -> ServerCandidate:
    return ServerCandidate(server_id, Resources(millicores, 1000), speed, ("a", "r1"))


def iterate(queue: JobQueue, *capacities: Resources) -> Iterator[WaitingJob]:
    """Iterate over a queue beside idle backend servers, one of each capacity."""
    index = ServerIndex()
    for number, capacity in enumerate(capacities or (Resources(64_000, 100_000),)):
        cores = capacity.millicores
        index.put(f"s{number}", "pool", 1.0, cores, ("a",), capacity)
    return queue.iterate(BEGIN, LookAhead(index.rooms, lambda _, pool: pool))


def test_steps_wait_for_those_they_depend_on() -> None:
    """Guards against starting a step before the steps it depends on are done."""
    job = make_durable_job("j1", STEP, replace(STEP, depends_on=(0,)))
    record = JobRecord(job)
    assert [number for number, _ in find_ready_tasks(record)] == [0, 1]
    record = replace(record, done=TaskSet({0}))
    assert [number for number, _ in find_ready_tasks(record)] == [1]
    record = replace(record, done=TaskSet({0, 1}))
    assert [number for number, _ in find_ready_tasks(record)] == [2, 3]


def test_longest_chain_follows_the_dependencies() -> None:
    """Guards against an objective that adds up steps that run in parallel."""
    steps = STEP, replace(STEP, estimate=0.5), replace(STEP, depends_on=(0, 1))
    assert longest_chain(make_durable_job("j1", *steps)) == 0.7


def test_fastest_server_goes_first_and_the_fullest_among_equals() -> None:
    """Guards against tasks on slow servers, and against fragmented free capacity."""
    index = ServerIndex()
    index.put("slow", "pool", 0.7, 64_000)
    index.put("fast", "pool", 1.7, 30_000)
    index.put("empty", "pool", 1.0, 64_000)
    index.put("partly", "pool", 1.0, 30_000)
    order = list(index.iterate("pool", 27_000))
    assert order == ["fast", "partly", "empty", "slow"]


def test_index_follows_room_and_speed() -> None:
    """Guards against tasks on servers that are full, gone or in another pool."""
    index = ServerIndex()
    for server in ("s1", "s2", "s3"):
        index.put(server, "pool", 1.0, 64_000)
    index.put("s1", "pool", 1.0, 20_000)
    index.put("s2", "pool", 0.5, 64_000)
    index.put("s3", "other", 1.0, 64_000)
    index.put("s4", "pool", 1.0, 0)
    assert list(index.iterate("pool", 27_000)) == ["s2"]
    assert list(index.iterate("pool", 10_000)) == ["s1", "s2"]
    index.remove("s2")
    index.remove("s2")
    assert list(index.iterate("pool", 27_000)) == []
    assert list(index.iterate("none", 0)) == []


def test_index_leaves_out_classes_that_are_too_slow() -> None:
    """Guards against examining every slow server for a task that needs a fast one."""
    index = ServerIndex()
    index.put("slow", "pool", 0.62, 64_000)
    index.put("slower", "pool", 0.6, 64_000)
    index.put("fast", "pool", 1.7, 64_000)
    assert list(index.iterate("pool", 27_000, 0.63)) == ["fast"]
    assert list(index.iterate("pool", 27_000, 0.62)) == ["fast", "slow", "slower"]
    index.put("slow", "pool", 0.61, 64_000)
    assert list(index.iterate("pool", 27_000, 0.62)) == ["fast"]
    index.put("slower", "pool", 0.63, 64_000)
    assert list(index.iterate("pool", 27_000, 0.62)) == ["fast", "slow", "slower"]
    index.remove("slower")
    assert list(index.iterate("pool", 27_000, 0.62)) == ["fast"]


@pytest.mark.parametrize("seed", range(20))
def test_left_out_servers_would_not_have_been_chosen(seed: int) -> None:
    """Guards against a choice that depends on what the index leaves out."""
    rng = Random(seed)
    index = ServerIndex()
    candidate_by_id: dict[str, ServerCandidate] = {}
    for _ in range(300):
        server = f"s{rng.randrange(40)}"
        room, speed = rng.choice([0, 20_000, 64_000]), rng.uniform(0.2, 2.0)
        index.put(server, "pool", speed, room)
        candidate_by_id[server] = make_candidate(server, room, speed)
        step = replace(STEP, estimate=rng.choice([0.0, 0.06, 0.9]))
        extra = step.estimate / rng.choice([speed, 1.0]) - step.estimate
        slack = rng.choice([None, extra, rng.uniform(0.0, 1.0)])
        chosen = [
            choose_server(
                step,
                (candidate_by_id[each] for each in index.iterate("pool", 1, speed)),
                {},
                slack,
            )
            for speed in (0.0, min_useful_speed(step, slack))
        ]
        assert chosen[0] is chosen[1]


def test_server_must_have_room_label_and_fewer_tasks_of_the_step() -> None:
    """Guards against a start that violates the requirements of the step."""
    server = make_candidate("s1", 64_000)
    assert choose_server(STEP, [make_candidate("s1", 20_000)], {}) is None
    assert choose_server(replace(STEP, required_label="b"), [server], {}) is None
    bounded = replace(STEP, max_per_server=1)
    assert choose_server(bounded, [server], {"s1": 1}) is None
    assert choose_server(bounded, [server], {"s1": 0}) is server


def test_server_near_the_data_goes_before_a_faster_one() -> None:
    """Guards against placing a task away from its data.

    It takes several times as long there.
    """
    near, fast = make_candidate("s1", 64_000), make_candidate("s2", 64_000, 1.7)
    fast.labels = ("a", "r2")
    step = replace(STEP, data_rack="r1")
    assert choose_server(step, [near, fast], {}).id == "s1"


def test_job_fits_while_no_server_is_known() -> None:
    """Guards against refusing jobs before the first backend server is announced."""
    large = make_durable_job("j1", Step(1, Resources(70_000), 0.2))
    assert can_ever_fit(large, [])
    assert not can_ever_fit(large, [Resources(64_000, 1000)])


def test_queue_serves_what_can_be_in_time_before_what_is_late() -> None:
    """Guards against late jobs that delay jobs that can still be in time."""
    queue = JobQueue()
    late = make_durable_job("late", submitted_at=BEGIN - 1.0)
    soon = make_durable_job("soon", submitted_at=BEGIN)
    later = make_durable_job("later", submitted_at=BEGIN + 0.1)
    for job in (later, late, soon):
        queue.put(job, {0: STEP})
    order = [waiting.job.id for waiting in iterate(queue)]
    assert order == ["soon", "later", "late"]
    assert latest_start(late) < BEGIN


def test_small_job_goes_before_a_large_one_submitted_with_it() -> None:
    """Guards against one large job that makes many small ones late."""
    queue = JobQueue()
    large, small = replace(STEP, count=6), replace(STEP, count=1)
    for number, step in enumerate((STEP, large, small)):
        at = BEGIN + number / 1000
        queue.put(make_durable_job(f"j{number}", step, submitted_at=at), {0: step})
    order = [waiting.job.id for waiting in iterate(queue)]
    assert order == ["j2", "j0", "j1"]


def test_large_job_is_not_passed_over_for_long() -> None:
    """Guards against starving large jobs while small ones keep arriving."""
    queue = JobQueue()
    long = replace(STEP, estimate=2.0)
    large = replace(long, count=6)
    queue.put(make_durable_job("usual", long), {0: long})
    queue.put(make_durable_job("large", large), {0: large})
    later = BEGIN + 3 * SIZE_DELAY
    small = make_durable_job("small", replace(long, count=1), submitted_at=later)
    queue.put(small, {0: STEP})
    order = [waiting.job.id for waiting in iterate(queue)]
    assert order == ["usual", "large", "small"]


def test_job_size_is_relative_to_the_mean_of_its_class() -> None:
    """Guards against classes of wide jobs that wait behind classes of narrow ones."""
    queue = JobQueue()
    wide = replace(STEP, count=40)
    for name, step in (("wide", wide), ("narrow", STEP)):
        for number in range(3):
            at = BEGIN + number / 1000
            job = make_durable_job(f"{name}{number}", step, submitted_at=at)
            queue.put(replace(job, class_name=name), {0: step})
    order = [waiting.job.id for waiting in iterate(queue)]
    assert order == ["narrow0", "wide0", "narrow1", "wide1", "narrow2", "wide2"]


def test_most_urgent_job_goes_first() -> None:
    """Guards against short tasks that are late because long ones were queued first."""
    queue = JobQueue()
    long = replace(STEP, estimate=2.0)
    orders = replace(make_durable_job("order", long), class_name="orders")
    queue.put(orders, {0: long})
    queue.put(make_durable_job("check", submitted_at=BEGIN + 0.01), {0: STEP})
    order = [waiting.job.id for waiting in iterate(queue)]
    assert order == ["check", "order"]


def test_job_leaves_the_queue_with_its_last_task() -> None:
    """Guards against a job that stays in the queue after its last task has started."""
    queue = JobQueue()
    job = make_durable_job()
    queue.put(job, {0: STEP})
    queue.put(job, {})
    assert list(iterate(queue)) == []
    assert (list(queue.in_time), queue.waiting_by_id) == ([], {})


def test_server_that_makes_the_job_late_is_left_out_while_it_can_be_in_time() -> None:
    """Guards against urgent tasks on a backend server that became slow."""
    slow = make_candidate("s1", 64_000, 0.15)
    assert choose_server(STEP, [slow], {}, slack=0.2) is None
    assert choose_server(STEP, [slow], {}, slack=None) is slow
    assert choose_server(STEP, [slow], {}, slack=1.2) is slow


LARGE = Resources(70_000, 64)
WIDE_MEMORY = Resources(1_000, 200_000)


@pytest.mark.parametrize(
    "blocking",
    [
        Step(1, NEEDS, 0.2, required_label="lost"),
        Step(1, LARGE, 0.2),
        Step(1, WIDE_MEMORY, 0.2),
        Step(1, Resources(1_000, 64, accelerators=1), 0.2),
    ],
    ids=["label", "cores", "memory", "accelerators"],
)
@pytest.mark.parametrize("age", [0.0, 0.1, 10.0], ids=["in time", "late", "expired"])
def test_jobs_that_no_server_can_run_do_not_hide_those_behind_them(
    blocking: Step, age: float
) -> None:
    """Guards against jobs that wait for a lost server and fill the look-ahead."""
    queue = JobQueue()
    for number in range(5 * LOOK_AHEAD):
        at = BEGIN - age - 0.01 + number / 1e6
        queue.put(
            make_durable_job(f"a{number}", blocking, submitted_at=at), {0: blocking}
        )
    queue.put(make_durable_job("b", submitted_at=BEGIN - age), {0: STEP})
    assert "b" in [waiting.job.id for waiting in iterate(queue)]


def test_servers_of_a_kind_are_kept_for_the_first_jobs_that_could_use_them() -> None:
    """Guards against large jobs that starve while small ones behind them start."""
    queue = JobQueue()
    large, small = Step(1, LARGE, 0.2), Step(1, NEEDS, 0.2)
    for number in range(2 * LOOK_AHEAD):
        at = BEGIN + number / 1e6
        job = make_durable_job(f"a{number:02}", large, submitted_at=at)
        queue.put(job, {0: large})
    last = make_durable_job("b", small, submitted_at=BEGIN + 1.0)
    queue.put(last, {0: small})
    first = [f"a{number:02}" for number in range(LOOK_AHEAD)]
    for_large, for_small = Resources(96_000, 100_000), Resources(64_000, 100_000)
    assert [waiting.job.id for waiting in iterate(queue, for_large)] == first
    order = [waiting.job.id for waiting in iterate(queue, for_large, for_small)]
    assert order == [*first, "b"]


def test_only_what_needs_at_least_as_much_is_known_to_be_unplaceable() -> None:
    """Guards against tasks that are passed over although a server has room."""
    unplaced = UnplacedNeeds()
    unplaced.add("pool", replace(STEP, required_label="a"))
    larger = replace(STEP, needs=Resources(28_000, 64), required_label="a")
    assert unplaced.cover("pool", larger)
    assert not unplaced.cover("other", larger)
    assert not unplaced.cover("pool", replace(larger, required_label=""))
    assert not unplaced.cover("pool", replace(larger, required_label="b"))
    smaller = Resources(28_000, 63)
    assert not unplaced.cover("pool", replace(larger, needs=smaller))
    unplaced.add("pool", STEP)
    assert unplaced.cover("pool", replace(larger, required_label="b"))
