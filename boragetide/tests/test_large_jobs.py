"""What one event of a job costs, however many tasks and dependencies it has.

The cost is the number of executed lines, which does not depend on the machine.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from types import FrameType
from typing import Any

import msgspec
import pytest

from boragetide.commands import AdoptJobs, Command, RecordEnds
from boragetide.controllers.queue_updates import MAX_QUEUED_TASKS
from boragetide.durable import JobRecord, Resources, RunEnd, Step
from boragetide.effects import StartRun
from boragetide.encoding import decode_value, encode_value
from boragetide.log_records import Catalogue
from boragetide.messages import (
    JobsCommitted,
    LeadershipLost,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.settings import Settings
from boragetide.task_set import TaskSet
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    Leader,
    list_end,
    list_run,
    make_durable_job,
)

NEEDS = Resources(250, 8)
# The runs of one backend server, and the window of starts, are full with this many.
RUNNING = 256
# The cost may grow with the logarithm of the number of tasks.
MAX_GROWTH = 1.15


def make_wide(scale: int) -> tuple[Step, ...]:
    """Build one step of 10,000 tasks at full scale."""
    return (Step(100 * scale, NEEDS, 5.0),)


def make_references(scale: int) -> tuple[Step, ...]:
    """Build steps that wait for ten wide ones, 9,990 tasks in all at full scale."""
    later = Step(1, NEEDS, 5.0, depends_on=tuple(range(10)))
    return (Step(9 * scale, NEEDS, 5.0),) * 10 + (later,) * (10 * scale - 10)


def make_steps(scale: int) -> tuple[Step, ...]:
    """Build 1,000 steps of ten tasks each at full scale."""
    return tuple(Step(10, NEEDS, 5.0) for _ in range(10 * scale))


def make_kinds(scale: int) -> tuple[Step, ...]:
    """Build 1,000 steps of which no two need the same, at full scale."""
    return tuple(Step(10, Resources(250, 8 + n), 5.0) for n in range(10 * scale))


SHAPES = [make_wide, make_references, make_steps, make_kinds]
MakeSteps = Callable[[int], tuple[Step, ...]]


def count_lines(action: Callable[[], Any]) -> int:
    """Return the number of lines of the project that an action executes."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        if "boragetide" not in frame.f_code.co_filename:
            return None
        count += event == "line"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(previous)
    return count


@dataclass
class LargeJob:
    """A leader with one durable job, of which as many tasks run as fit."""

    leader: Leader
    catalogue: Catalogue
    running: list[StartRun]
    ended: int = 0

    def commit(self) -> None:
        """Commit what the last message appended."""
        for appended in self.leader.appended():
            commands = appended.message.commands_by_id
            changed: set[str] = set()
            for command in commands.values():
                changed |= apply_job_command(command, self.catalogue, BEGIN)
            records = tuple(self.catalogue.jobs_by_id[each] for each in changed)
            self.leader.handle(JobsCommitted(tuple(commands), records))

    def answer_starts(self) -> None:
        """Answer the starts that are in progress, and those that follow."""
        starts = self.leader.starts()
        while starts:
            start = starts.pop()
            self.running.append(start)
            self.leader.answer(start)
            starts += self.leader.starts()

    def end_one(self) -> None:
        """Let one run end, and commit its end."""
        start = self.running.pop(0)
        self.ended += 1
        running = tuple(list_run(each) for each in self.running)
        end = list_end(start, self.ended)
        self.leader.list_runs(running=running, ended=(end,))
        self.commit()


@pytest.fixture
def make_job(settings: Settings) -> Callable[[tuple[Step, ...]], LargeJob]:
    """Return a function that submits a durable job to a leader with one server."""

    def make(steps: tuple[Step, ...]) -> LargeJob:
        leader = Leader(settings)
        leader.lead()
        leader.join()
        large = LargeJob(leader, Catalogue(), [])
        job = make_durable_job("large", *steps)
        leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER))
        large.commit()
        large.answer_starts()
        assert len(large.running) == RUNNING
        return large

    return make


MakeJob = Callable[[tuple[Step, ...]], LargeJob]


def submit_small(large: LargeJob, number: int = 0) -> None:
    """Submit a best-effort job of one task."""
    job = make_durable_job(f"small{number}", Step(1, NEEDS, 5.0), best_effort=True)
    large.leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER))


def read_again(large: LargeJob) -> None:
    """Deliver a list without any change."""
    running = tuple(list_run(each) for each in large.running)
    large.leader.list_runs(running=running)


EVENTS = {
    "end": LargeJob.end_one,
    "list": read_again,
    "tick": lambda large: large.leader.handle(Tick()),
    "submission": submit_small,
}


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("make_shape", SHAPES)
def test_cost_of_an_event_does_not_grow_with_its_job(
    make_job: MakeJob, make_shape: MakeSteps, event: str
) -> None:
    """Guards against a leader that stands still at each event of one job (LOST)."""
    costs = []
    for scale in (10, 100):
        large = make_job(make_shape(scale))
        # Ends of the first tasks make what is remembered of the job.
        large.end_one()
        costs.append(count_lines(partial(EVENTS[event], large)))
    assert costs[1] <= MAX_GROWTH * costs[0]


def record_end(catalogue: Catalogue, job_id: str, number: int) -> None:
    """Apply the end of a run as each member of the log does."""
    command = RecordEnds((RunEnd(job_id, number, 1, failed=False),))
    apply_job_command(command, catalogue, BEGIN)


@pytest.mark.parametrize("make_shape", SHAPES)
def test_cost_of_an_end_does_not_grow_with_the_tasks_done(
    make_shape: MakeSteps,
) -> None:
    """Guards against a job whose last ends cost more than its first ones."""
    job = make_durable_job("large", *make_shape(100))
    catalogue = Catalogue(jobs_by_id={job.id: JobRecord(job)})
    costs = [
        count_lines(partial(record_end, catalogue, job.id, number))
        for number in range(8000)
    ]
    assert costs[7990] <= MAX_GROWTH * costs[10]


def test_failures_of_one_command_are_counted_once() -> None:
    """Guards against hundreds of failures that each count all earlier ones."""
    job = make_durable_job("large", *make_wide(100), attempts=4)
    ends = tuple(RunEnd(job.id, number, 2, failed=True) for number in range(500))
    costs = []
    for known in (10, 10_000):
        failures = tuple((number, 1) for number in range(known))
        catalogue = Catalogue(jobs_by_id={job.id: JobRecord(job, failures=failures)})
        apply = partial(apply_job_command, RecordEnds(ends), catalogue, BEGIN)
        costs.append(count_lines(apply))
        assert len(catalogue.jobs_by_id[job.id].failures) == known + len(ends)
    assert costs[1] <= MAX_GROWTH * costs[0]


def test_labels_that_no_server_has_cost_a_pass_nothing(settings: Settings) -> None:
    """Guards against jobs that hold the leader up although they can never start."""
    costs = []
    for labels in (10, 1000):
        leader = Leader(settings)
        leader.lead()
        leader.join()
        for number in range(21):
            steps = [Step(1, NEEDS, 5.0, required_label=f"x{n}") for n in range(labels)]
            job = make_durable_job(f"stuck{number}", *steps, best_effort=True)
            message = SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER)
            leader.handle(message)
        costs.append(count_lines(partial(leader.handle, Tick())))
    assert costs[1] <= MAX_GROWTH * costs[0]


def test_groups_that_do_not_fit_are_looked_at_in_turn(leader: Leader) -> None:
    """Guards against a task that never starts behind a thousand that do not fit."""
    large = [Step(1, Resources(60_000 + n, 8), 5.0) for n in range(200)]
    steps_by_job = {
        "filler": (Step(1, Resources(40_000, 8), 5.0),),
        "many": (*large, Step(1, NEEDS, 5.0)),
    }
    for job_id, steps in steps_by_job.items():
        job = make_durable_job(job_id, *steps, best_effort=True)
        leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER))
    started: set[str] = set()
    for _ in range(10):
        leader.handle(Tick())
        started |= {f"{each.task.job_id}/{each.number}" for each in leader.starts()}
    assert "many/200" in started


def test_limit_of_a_step_does_not_count_the_tasks_of_an_equal_one(
    leader: Leader,
) -> None:
    """Guards against a start beyond ``max_per_server`` (ROUTE)."""
    step = Step(2, NEEDS, 5.0, max_per_server=1)
    job = make_durable_job("j1", step, step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER))
    assert sorted(start.task.step for start in leader.starts()) == [0, 1]
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    running = (list_run(first),)
    leader.list_runs(running=running, ended=(list_end(second, 1),), now=BEGIN + 0.1)
    (third,) = leader.starts()
    assert third.task.step == second.task.step


def test_new_leader_queues_large_jobs_in_parts(leader: Leader) -> None:
    """Guards against a leader that is busy with stored jobs until it is replaced."""
    jobs = [make_durable_job(f"j{n}", *make_references(100)) for n in range(12)]
    records = tuple(JobRecord(job) for job in jobs)
    leader.handle(LeadershipLost())
    leader.term += 1
    leader.lead(records=records)
    left = len(leader.state.unqueued)
    assert left == len(jobs) - 1
    assert jobs[0].task_count > MAX_QUEUED_TASKS
    while left:
        leader.handle(Tick(), BEGIN + 5.0)
        # A tick has two passes at most: its own and that of a commit that it causes.
        assert left - 2 <= len(leader.state.unqueued) < left
        left = len(leader.state.unqueued)
    assert len(leader.state.queue.waiting_by_id) == len(jobs)


def test_stored_record_of_an_earlier_version_is_read() -> None:
    """Guards against a member that cannot read what it has stored of done tasks."""
    record = JobRecord(make_durable_job("large", *make_references(100)))
    stored = msgspec.to_builtins(record, enc_hook=encode_value)
    assert stored["done"] == []
    stored["done"] = [3, 1, 9_989]
    read = msgspec.convert(stored, JobRecord, dec_hook=decode_value)
    assert read.done == TaskSet({1, 3, 9_989})
    encoded = msgspec.msgpack.encode(read, enc_hook=encode_value)
    decoded = msgspec.msgpack.decode(encoded, type=JobRecord, dec_hook=decode_value)
    assert decoded == read


def test_command_that_holds_records_is_read() -> None:
    """Guards against members that cannot follow the log after a transfer of a job."""
    job = make_durable_job("large", *make_references(100))
    command = AdoptJobs(1, (JobRecord(job, done=TaskSet({3})),))
    encoded = msgspec.msgpack.encode(command, enc_hook=encode_value)
    decoded = msgspec.msgpack.decode(encoded, type=Command, dec_hook=decode_value)
    assert decoded == command
