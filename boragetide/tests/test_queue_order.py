"""Order of waiting jobs by priority, and that the default order is as it was."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from random import Random

import pytest

from benchmarks.dispatch_loads import LOADS, generate
from benchmarks.product_run import ProductRun
from boragetide.durable import DurableJob, Resources, Step
from boragetide.effects import Count, LogEvent, StartRun
from boragetide.messages import DispatcherReply, ReplyStatus, SubmitDurableJob, Tick
from boragetide.policy.job_queue import JobQueue, WaitingJob
from boragetide.policy.look_ahead import LOOK_AHEAD, LookAhead
from boragetide.policy.queue_order import (
    BEGUN_LEAD,
    MAX_GIVEN_UP,
    SIZE_DELAY,
    PriorityLevels,
    find_given_up,
    rank_by_priority,
)
from boragetide.policy.scheduling import (
    Timeliness,
    due_at,
    expires_at,
    find_timeliness,
    latest_start,
)
from boragetide.policy.server_index import ServerIndex
from boragetide.settings import (
    EMBEDDED_DEFAULT,
    DispatchSettings,
    JobOrder,
    Settings,
    parse_settings,
)
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    NEEDS,
    Leader,
    make_durable_job,
)
from boragetide.types import ReplyTo, Seconds

LOADS_BY_NAME = {load.name: load for load in LOADS}
SHORT = Step(4, NEEDS, 0.2)
LONG = Step(1, NEEDS, 3.0)
WHOLE_SERVER = Step(1, Resources(60_000, 64), 0.2)
# Digests of the starts and answers of replays before there was another order.
DIGESTS = {
    "burst of 1.8": "41b2c9d4bb3dee837a24c2203f8427bd62d7ab94a634a17226cbfd6b1e667c5d",
    "overload of 3": "d27269731de23b65db2de959ed79936c36db1ef26df71a4e3fa3e8e7863a8ce8",
}


@pytest.fixture
def priority_settings() -> Settings:
    """Settings of a single instance with the order by priority."""
    dispatch = DispatchSettings(JobOrder.PRIORITY)
    return replace(parse_settings(EMBEDDED_DEFAULT), dispatch=dispatch)


@pytest.fixture
def leader(priority_settings: Settings) -> Leader:
    """Leader that orders by priority, with one backend server."""
    leader = Leader(priority_settings)
    leader.lead()
    leader.join()
    return leader


@pytest.fixture
def queue() -> JobQueue:
    """Empty queue in the order by priority."""
    return JobQueue(JobOrder.PRIORITY)


def make_job(
    job_id: str, *steps: Step, priority: int = 0, at: Seconds = BEGIN
) -> DurableJob:
    """Build a job of the class that is named by its priority."""
    job = make_durable_job(job_id, *steps, best_effort=True, submitted_at=at)
    starts = replace(job.starts, priority=priority)
    return replace(job, starts=starts, class_name=f"class{priority}")


def list_order(queue: JobQueue, now: Seconds = BEGIN) -> list[str]:
    """Return the ids of the jobs in the order in which they are considered."""
    index = ServerIndex()
    index.put("s1", "pool", 1.0, 64_000, ("a",), Resources(64_000, 100_000))
    look_ahead = LookAhead(index.rooms, lambda _, pool: pool)
    return [waiting.job.id for waiting in queue.iterate(now, look_ahead)]


class RecordedRun(ProductRun):
    """Replay that computes a digest of the starts and of the answers to callers."""

    def start(self, order: StartRun) -> None:
        """Add a start to the digest."""
        self._add(f"{order.task.job_id} {order.number} {order.server}")
        super().start(order)

    def receive_reply(self, to: ReplyTo, reply: DispatcherReply) -> None:
        """Add an answer to the digest."""
        self._add(f"{self.requests[to.request]} {reply.status.value}")
        super().receive_reply(to, reply)

    def _add(self, line: str) -> None:
        if not hasattr(self, "digest"):
            self.digest = hashlib.sha256()
        self.digest.update(f"{line}\n".encode())


@pytest.mark.parametrize("name", DIGESTS)
def test_default_order_starts_the_same_tasks_on_the_same_servers(name: str) -> None:
    """Guards against installations that are served otherwise without a setting."""
    load = LOADS_BY_NAME[name]
    run = RecordedRun(load, generate(load, 1), 1)
    run.run()
    assert run.digest.hexdigest() == DIGESTS[name]


@pytest.mark.parametrize("priorities", [(0, 1, 2), (-1_000_000, 0, 1_000_000)])
def test_only_the_order_of_the_priorities_counts(priorities: tuple[int, ...]) -> None:
    """Guards against numbers that act as weights, and against unbounded delays."""
    levels = PriorityLevels()
    for priority in priorities:
        levels.find_level(f"class{priority}", priority)
    found = [levels.find_level(f"class{each}", each) for each in priorities]
    assert found == [0.0, 0.5, 1.0]
    assert find_given_up(0.5, 2.0) == 0.5 * MAX_GIVEN_UP
    assert find_given_up(1.0, MAX_GIVEN_UP / 2) == MAX_GIVEN_UP / 2
    assert find_given_up(1.0, -1.0) == 0.0


def test_classes_of_one_priority_give_nothing_up() -> None:
    """Guards against a priority that changes the order where all are equal."""
    levels = PriorityLevels()
    assert [levels.find_level(name, 7) for name in ("a", "b")] == [0.0, 0.0]


def test_changed_priority_of_a_class_replaces_the_earlier_one() -> None:
    """Guards against levels of priorities that no class has any more."""
    levels = PriorityLevels()
    levels.find_level("a", 0)
    assert levels.find_level("b", 5) == 1.0
    assert levels.find_level("b", 0) == 0.0
    assert levels.priorities == [0]


def test_classes_are_forgotten_with_the_leadership(queue: JobQueue) -> None:
    """Guards against levels by the priorities of classes that are long gone."""
    queue.put(make_job("gone", SHORT, priority=-1), {0: SHORT})
    queue.clear()
    queue.put(make_job("highest", SHORT, priority=0), {0: SHORT})
    assert queue.levels.priorities == [0]
    assert queue.waiting_by_id["highest"].given_up == 0.0


def test_priority_gives_way_only_within_the_slack(queue: JobQueue) -> None:
    """Guards against a low priority that waits while higher ones keep arriving."""
    queue.put(make_job("urgent", SHORT, priority=0), {0: SHORT})
    queue.put(make_job("low", SHORT, priority=1), {0: SHORT})
    low = queue.waiting_by_id["low"]
    assert low.given_up == MAX_GIVEN_UP
    within = make_job("within", SHORT, at=BEGIN + 0.9 * low.given_up)
    after = make_job("after", SHORT, at=BEGIN + 1.1 * low.given_up)
    for job in (within, after):
        queue.put(job, {0: SHORT})
    assert list_order(queue) == ["urgent", "within", "low", "after"]


def test_job_is_ranked_by_the_work_that_is_left(queue: JobQueue) -> None:
    """Guards against wide jobs whose last tasks wait behind jobs not begun."""
    tasks = dict.fromkeys(range(4), SHORT)
    queue.put(make_job("fresh", SHORT), tasks)
    queue.put(make_job("begun", SHORT, at=BEGIN + SIZE_DELAY / 2), tasks)
    assert list_order(queue) == ["fresh", "begun"]
    queue.put(queue.waiting_by_id["begun"].job, {3: SHORT}, has_started=True)
    assert queue.waiting_by_id["begun"].find_remaining_share() == 0.25
    assert list_order(queue) == ["begun", "fresh"]
    left = rank_by_priority(1.0, 1.0, 0.0, 0.25)
    assert left == pytest.approx(1.0 + SIZE_DELAY / 4 - BEGUN_LEAD)


@pytest.mark.parametrize("starts_late", [False, True])
def test_late_job_that_has_begun_goes_before_others_that_are_late(
    queue: JobQueue, *, starts_late: bool
) -> None:
    """Guards against jobs that use capacity and are never completed."""
    begun = make_job("begun", SHORT)
    queue.put(begun, dict.fromkeys(range(4), SHORT))
    queue.put(make_job("earlier", SHORT, at=BEGIN - 0.01), {0: SHORT})
    late = latest_start(begun) + 0.01
    queue.put(make_job("fresh", SHORT, at=late), {0: SHORT})
    if starts_late:
        assert list_order(queue, late) == ["fresh", "earlier", "begun"]
    queue.put(begun, {2: SHORT, 3: SHORT}, has_started=True)
    assert list_order(queue, late) == ["fresh", "begun", "earlier"]
    assert queue.waiting_by_id["begun"].find_slack(late) is None
    nearly = make_job("nearly", SHORT, at=BEGIN - 0.02)
    queue.put(nearly, {3: SHORT}, has_started=True)
    assert list_order(queue, late) == ["fresh", "nearly", "begun", "earlier"]


def test_begun_job_of_no_use_goes_last(queue: JobQueue) -> None:
    """Guards against capacity for an answer that its caller does not wait for."""
    begun = make_job("begun", SHORT)
    queue.put(begun, {3: SHORT}, has_started=True)
    queue.put(make_job("late", LONG, at=BEGIN - 2.5), {0: LONG})
    now = expires_at(begun) + 0.01
    assert list_order(queue, now) == ["late", "begun"]
    queue.put(begun, {2: SHORT, 3: SHORT}, has_started=True)
    assert list_order(queue, now) == ["late", "begun"]
    queue.remove("begun")
    assert "begun" not in [job_id for _, job_id in (*queue.moves, *queue.expired)]


def test_pass_goes_on_where_it_was_after_the_start_of_a_task(queue: JobQueue) -> None:
    """Guards against jobs that are examined twice because another moved ahead."""
    usual = replace(SHORT, required_label="a")
    other = replace(SHORT, required_label="b")
    for number in range(2 * LOOK_AHEAD):
        step = other if number == LOOK_AHEAD - 1 else usual
        job = make_job(f"j{number:02}", step, at=BEGIN + number / 1e6)
        queue.put(job, dict.fromkeys(range(4), step))
    index = ServerIndex()
    for label in ("a", "b"):
        index.put(label, "pool", 1.0, 64_000, (label,), Resources(64_000, 100_000))
    yielded: list[str] = []
    for waiting in queue.iterate(BEGIN, LookAhead(index.rooms, lambda _, pool: pool)):
        yielded.append(waiting.job.id)
        if waiting.steps.steps == (other,):
            queue.put(waiting.job, {3: other}, has_started=True)
    assert yielded == [f"j{number:02}" for number in range(LOOK_AHEAD + 1)]
    assert list_order(queue)[0] == f"j{LOOK_AHEAD - 1:02}"


def test_job_of_no_use_is_found_behind_a_late_one_with_more_time(
    queue: JobQueue,
) -> None:
    """Guards against short jobs that are refused only after a long one has left."""
    long = make_job("long", LONG, priority=1, at=BEGIN - 3.0)
    short = make_job("short", SHORT)
    queue.put(long, {0: LONG})
    queue.put(short, {0: SHORT})
    now = expires_at(short) + 0.01
    assert latest_start(long) < latest_start(short) < now < expires_at(long)
    assert [waiting.job.id for waiting in queue.list_expired(now)] == ["short"]


def submit_behind_a_long_job(leader: Leader) -> DurableJob:
    """Fill the backend server, and submit a short job behind a late long one."""
    first = make_job("first", WHOLE_SERVER, at=BEGIN - 0.1)
    long = make_job("long", replace(WHOLE_SERVER, estimate=3.0), at=BEGIN - 3.0)
    short = make_job("short", replace(WHOLE_SERVER, count=4))
    for number, job in enumerate((first, long, short)):
        reply_to = ReplyTo(CALLER.instance, number)
        age = BEGIN - job.submitted_at
        message = SubmitDurableJob(job=job, age=age, reply_to=reply_to)
        leader.handle(message)
    return short


def test_job_that_cannot_be_of_use_is_refused_although_others_wait_longer(
    leader: Leader,
) -> None:
    """Guards against callers that wait for a refusal as long as a long job may."""
    short = submit_behind_a_long_job(leader)
    leader.handle(Tick(), expires_at(short) - 0.01)
    assert leader.replies() == []
    leader.handle(Tick(), expires_at(short) + 0.01)
    (reply,) = leader.replies()
    assert reply.status is ReplyStatus.REFUSED
    assert set(leader.state.records_by_id) == {"first", "long"}


def test_job_of_which_a_task_has_started_is_never_refused(leader: Leader) -> None:
    """Guards against the answer that nothing has run when a task has."""
    wide = make_job("wide", replace(WHOLE_SERVER, count=4))
    leader.handle(SubmitDurableJob(job=wide, reply_to=CALLER))
    assert len(leader.starts()) == 1
    leader.handle(Tick(), expires_at(wide) + 0.1)
    assert leader.replies() == []
    assert "wide" in leader.state.records_by_id


def test_log_line_of_a_start_tells_why_the_job_went_first(leader: Leader) -> None:
    """Guards against an order that nobody can explain from the logs."""
    low = make_job("low", WHOLE_SERVER, priority=1)
    for job in (make_job("high", Step(1, Resources(1, 1), 0.2)), low):
        leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    (fields,) = [
        effect.fields
        for effect in leader.effects
        if isinstance(effect, LogEvent) and effect.event == "run_ordered"
    ]
    assert fields["priority"] == 1
    assert (fields["begun"], fields["left"]) == (False, 1.0)
    assert fields["given_up"] == MAX_GIVEN_UP
    rank = latest_start(low) - BEGIN + SIZE_DELAY + MAX_GIVEN_UP
    assert fields["rank"] == pytest.approx(rank)


def test_log_lines_of_a_wide_job_sum_up_its_tasks_once(
    leader: Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts that cost more, the more tasks of the job wait."""
    step = Step(50, Resources(1_000, 1), 0.2)
    job = make_job("wide", step, at=BEGIN)
    leader.state.started.add(job.id)
    counted: list[float] = []
    count = WaitingJob.find_remaining_share

    def find_remaining_share(waiting: WaitingJob) -> float:
        counted.append(count(waiting))
        return counted[-1]

    monkeypatch.setattr(WaitingJob, "find_remaining_share", find_remaining_share)
    effects = leader.handle(SubmitDurableJob(job=job, age=0.0, reply_to=CALLER))
    orders = [each for each in effects if isinstance(each, LogEvent)]
    lefts = [each.fields["left"] for each in orders if each.event == "run_ordered"]
    assert len(lefts) > 20
    assert set(lefts) == {1.0}
    # Once each to rank the job when it is queued, for the log, and after the starts.
    assert len(counted) <= 4


def list_outcomes(leader: Leader) -> list[dict[str, str]]:
    return [
        effect.labels
        for effect in leader.effects
        if isinstance(effect, Count) and effect.metric == "durable_job_outcomes"
    ]


def test_outcomes_are_counted_by_class(leader: Leader) -> None:
    """Guards against operators who cannot see which class bears the cost."""
    short = submit_behind_a_long_job(leader)
    leader.handle(Tick(), expires_at(short) + 0.01)
    assert list_outcomes(leader) == [{"class": "class0", "outcome": "refused"}]


def test_end_is_in_time_late_or_of_no_use() -> None:
    """Guards against a metric that differs from the target of the operators."""
    job = make_durable_job()
    allowed = due_at(job) - BEGIN
    assert find_timeliness(job, BEGIN + allowed - 1e-6) is Timeliness.IN_TIME
    assert find_timeliness(job, BEGIN + 2.9 * allowed) is Timeliness.LATE
    assert find_timeliness(job, BEGIN + 3.1 * allowed) is Timeliness.TOO_LATE


@pytest.mark.parametrize("order", JobOrder)
def test_each_waiting_job_is_in_one_lane_whatever_happens(order: JobOrder) -> None:
    """Guards against a leader that fails on a job that has left the queue."""
    rng = Random(1)
    queue, now = JobQueue(order), BEGIN
    jobs = [
        make_job(f"j{number}", rng.choice((SHORT, LONG)), priority=number % 3, at=at)
        for number in range(60)
        for at in [BEGIN + rng.uniform(-1.0, 5.0)]
    ]
    for _ in range(3000):
        now += rng.uniform(0.0, 0.005)
        job = rng.choice(jobs)
        (step,) = job.steps
        count = rng.randrange(step.count + 1)
        tasks = dict.fromkeys(rng.sample(range(step.count), count), step)
        queue.put(job, tasks, has_started=rng.random() < 0.3)
        listed = list_order(queue, now)
        assert len(listed) == len(set(listed))
        lanes = (queue.in_time, queue.late, queue.expired)
        entries = [entry for lane in lanes for entry in lane]
        assert sorted(job_id for _, job_id in entries) == sorted(queue.waiting_by_id)
        for waiting in queue.waiting_by_id.values():
            assert waiting.entry in waiting.lane.entries
            if order is JobOrder.PRIORITY:
                is_expired = waiting.lane is queue.expired
                assert is_expired == (waiting.expires_at < now)
                is_in_time = waiting.lane is queue.in_time
                assert is_in_time == (waiting.latest_start >= now)
