"""Bounds on the starts and stops that a leader has in progress."""

from __future__ import annotations

import pytest

from boragetide.durable import Resources, Step
from boragetide.effects import StartRun
from boragetide.messages import (
    LeadershipLost,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.policy.order_window import (
    MAX_ORDERS_IN_PROGRESS,
    RESULT_TIMEOUT,
    RESUME_ORDERS_IN_PROGRESS,
)
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    Leader,
    list_run,
    make_durable_job,
)

TASKS_OF_JOB = 60


def submit_many(leader: Leader, jobs: int, now: float = BEGIN) -> list[StartRun]:
    """Submit jobs of small tasks; return the starts."""
    step = Step(TASKS_OF_JOB, Resources(10, 1), 30.0)
    starts: list[StartRun] = []
    for number in range(jobs):
        job = make_durable_job(f"j{number}", step, best_effort=True, submitted_at=now)
        message = SubmitDurableJob(job=job, submitted_at=now, reply_to=CALLER)
        leader.handle(message, now)
        starts += leader.starts()
    return starts


@pytest.mark.parametrize("jobs", [5, 20, 50])
def test_waiting_tasks_start_in_parts_as_starts_are_answered(
    leader: Leader, jobs: int
) -> None:
    """Guards against a leader that loses its authority while it orders its queue."""
    starts = in_progress = submit_many(leader, jobs)
    assert len(starts) <= MAX_ORDERS_IN_PROGRESS
    while in_progress:
        start, *in_progress = in_progress
        leader.answer(start)
        new = leader.starts()
        starts, in_progress = starts + new, in_progress + new
        assert len(in_progress) <= MAX_ORDERS_IN_PROGRESS
    assert len({start.task for start in starts}) == jobs * TASKS_OF_JOB == len(starts)


def test_starts_go_on_once_many_were_answered(leader: Leader) -> None:
    """Guards against a pass over the queue for each answer."""
    starts = submit_many(leader, 10)
    assert len(starts) == MAX_ORDERS_IN_PROGRESS
    passes = 0
    for start in starts:
        leader.answer(start)
        passes += bool(leader.starts())
    answers_of_a_pass = MAX_ORDERS_IN_PROGRESS - RESUME_ORDERS_IN_PROGRESS
    assert passes == len(starts) // answers_of_a_pass


def test_start_without_any_result_does_not_block_the_queue(leader: Leader) -> None:
    """Guards against tasks that wait for ever behind a call that failed."""
    starts = submit_many(leader, 10)
    running = tuple(list_run(start) for start in starts)
    now = BEGIN + RESULT_TIMEOUT + 0.1
    leader.list_runs(running=running, now=now)
    assert leader.starts() == []
    leader.handle(Tick(), now)
    assert len(leader.starts()) == MAX_ORDERS_IN_PROGRESS


def test_next_term_begins_with_no_starts_in_progress(leader: Leader) -> None:
    """Guards against a leader that waits for the answers of an earlier term."""
    submit_many(leader, 10)
    leader.handle(LeadershipLost())
    leader.term = 2
    now = BEGIN + 1.0
    leader.lead(now)
    leader.list_runs(now=now)
    leader.handle(Tick(), now)
    assert len(submit_many(leader, 10, now)) == MAX_ORDERS_IN_PROGRESS


def test_stops_of_a_wide_job_are_ordered_in_parts(leader: Leader) -> None:
    """Guards against leases that lapse behind thousands of stops of one job."""
    starts = submit_many(leader, 1)
    wide = Step(1000, Resources(10, 1), 30.0)
    job = make_durable_job("wide", wide, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER))
    in_progress = starts + leader.starts()
    while in_progress:
        leader.answer(in_progress.pop())
        in_progress += leader.starts()
    leader.handle(WithdrawSubmissions("wide", CALLER.instance, BEGIN))
    stops = to_answer = leader.stops()
    assert len(stops) == MAX_ORDERS_IN_PROGRESS
    while to_answer:
        stop, *to_answer = to_answer
        leader.answer(stop)
        new = leader.stops()
        stops, to_answer = stops + new, to_answer + new
        assert len(to_answer) <= MAX_ORDERS_IN_PROGRESS
    assert len({stop.task for stop in stops}) == wide.count == len(stops)


def test_stop_without_any_result_does_not_hold_up_the_others(leader: Leader) -> None:
    """Guards against runs of an ended job that nobody stops."""
    wide = Step(600, Resources(10, 1), 30.0)
    job = make_durable_job("wide", wide, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, submitted_at=BEGIN, reply_to=CALLER))
    in_progress = leader.starts()
    while in_progress:
        leader.answer(in_progress.pop())
        in_progress += leader.starts()
    leader.handle(WithdrawSubmissions("wide", CALLER.instance, BEGIN))
    first = {stop.task for stop in leader.stops()}
    now = BEGIN + RESULT_TIMEOUT + 0.1
    leader.list_runs(now=now)
    leader.handle(Tick(), now)
    later = {stop.task for stop in leader.stops()}
    assert len(later) == MAX_ORDERS_IN_PROGRESS
    assert not later & first
