"""The dispatcher and runs that take longer than declared, and the learned speed."""

from __future__ import annotations

from boragetide.messages import (
    ReadFailed,
    Tick,
)
from boragetide.tests.durable_fixtures import (
    BEGIN,
    Leader,
    list_end,
    list_run,
    submit,
)


def test_stalled_run_is_stopped_and_started_elsewhere(
    leader: Leader,
) -> None:
    """Guards against a job that waits for a backend server that hangs."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.join("s2", BEGIN + 0.8)
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(running=running, now=BEGIN + 0.85)
    leader.handle(Tick(), BEGIN + 0.95)
    assert leader.stops() == []
    leader.list_runs(running=running, now=BEGIN + 0.95)
    leader.handle(Tick(), BEGIN + 0.95)
    stops = leader.stops()
    assert [stop.run for stop in stops] == [start.run for start in starts]
    for stop in stops:
        leader.answer(stop, now=BEGIN + 0.96)
    leader.list_runs("s1", now=BEGIN + 0.98)
    assert [start.server for start in leader.starts()] == ["s2", "s2"]


def test_run_is_not_overdue_if_nothing_was_listed(leader: Leader) -> None:
    """Guards against stopping runs that may have ended while answers were lost."""
    submit(leader)
    for start in leader.starts():
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.3)
    leader.handle(Tick(), BEGIN + 0.95)
    assert leader.stops() == []


def test_speed_is_not_learned_from_a_late_list(leader: Leader) -> None:
    """Guards against rating a backend server as slow because answers were lost."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.handle(ReadFailed("s1", 1), BEGIN + 0.5)
    ended = tuple(list_end(start, number) for number, start in enumerate(starts, 1))
    leader.list_runs(ended=ended, now=BEGIN + 2.0)
    assert leader.state.servers_by_id["s1"].speed == 1.0


def test_slow_server_is_tried_again(leader: Leader) -> None:
    """Guards against a backend server that stays unused after it was slow."""
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    ended = tuple(list_end(start, number) for number, start in enumerate(starts, 1))
    leader.list_runs(ended=ended, now=BEGIN + 1.6)
    slow = leader.state.servers_by_id["s1"].speed
    assert slow < 0.7
    for seconds in range(3, 10):
        leader.handle(Tick(), BEGIN + seconds)
    assert leader.state.servers_by_id["s1"].speed > 0.9


def test_run_is_not_overdue_if_other_runs_end(leader: Leader) -> None:
    """Guards against rating a backend server as slow for a wrong declared run time."""
    submit(leader)
    first, second = leader.starts()
    leader.answer(first)
    leader.answer(second)
    ended = (list_end(first, 1),)
    running = (list_run(second),)
    leader.list_runs(running=running, ended=ended, now=BEGIN + 0.2)
    leader.handle(Tick(), BEGIN + 1.0)
    assert leader.stops() == []


def test_task_that_is_longer_than_declared_ends_at_the_second_run(
    leader: Leader,
) -> None:
    """Guards against stopping a task repeatedly.

    This happens when its declared run time is too short.
    """
    submit(leader)
    starts = leader.starts()
    for start in starts:
        leader.answer(start)
    leader.join("s2", BEGIN + 0.9)
    running = tuple(list_run(start) for start in starts)
    leader.list_runs(running=running, now=BEGIN + 0.95)
    leader.handle(Tick(), BEGIN + 0.95)
    stops = leader.stops()
    assert len(stops) == len(starts)
    for stop in stops:
        leader.answer(stop, now=BEGIN + 0.96)
    leader.list_runs("s1", now=BEGIN + 0.98)
    starts = leader.starts()
    for start in starts:
        leader.answer(start, now=BEGIN + 0.98)
    running = tuple(list_run(start) for start in starts)
    leader.list_runs("s2", running=running, now=BEGIN + 9.0)
    leader.handle(Tick(), BEGIN + 9.0)
    assert leader.stops() == []
