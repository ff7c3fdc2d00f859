"""Expected ends of runs and of the room that they leave, without a network."""

from __future__ import annotations

from random import Random

import pytest

from boragetide.durable import Resources
from boragetide.policy.expected_ends import RunTimes, find_room_at


def test_declared_time_is_used_until_tasks_have_ended() -> None:
    """Guards against a new leader that expects ends by what it has not learned."""
    expected = RunTimes().predict("checks", 0.4, 2.0, 10.0)
    assert expected.at == pytest.approx(10.2)
    assert expected.known_until > expected.at


def test_question_about_a_class_stores_nothing() -> None:
    """Guards against memory that grows with the names in requests to explain jobs."""
    run_times = RunTimes()
    unknown = run_times.predict("checks", 0.4, 1.0, 0.0)
    run_times.observe("others", 0.1, 0.3, 1.0)
    assert run_times.predict("checks", 0.4, 1.0, 0.0) == unknown
    assert list(run_times.model_by_class) == ["others"]


def test_run_times_are_learned_by_class() -> None:
    """Guards against expected ends that repeat a wrong declaration for ever."""
    run_times = RunTimes()
    rng = Random(1)
    for _ in range(400):
        true = 0.2 * rng.lognormvariate(0.0, 0.1)
        run_times.observe("checks", 0.1 * rng.lognormvariate(0.0, 0.4), true / 2, 2.0)
    expected = run_times.predict("checks", 0.1, 1.0, 0.0)
    assert expected.run_time == pytest.approx(0.2, rel=0.15)
    assert run_times.predict("others", 0.1, 1.0, 0.0).run_time == pytest.approx(0.1)


def test_late_run_has_no_expected_end() -> None:
    """Guards against waiting for a run of the long tail as if it were about to end."""
    expected = RunTimes().predict("checks", 0.4, 1.0, 0.0)
    assert expected.find_end(0.1) == expected.at
    late = expected.at + 0.01
    assert late < expected.find_end(late) < late + 0.4
    assert expected.find_end(expected.known_until + 0.01) is None


def test_room_is_expected_once_enough_runs_end() -> None:
    """Guards against room that is expected at the first end, which is too little."""
    needs = Resources(50, 10)
    ends = [(3.0, Resources(30, 5)), (2.0, Resources(20, 5))]
    assert find_room_at(Resources(50, 10), ends, needs, 1.0) == 1.0
    assert find_room_at(Resources(30, 5), ends, needs, 1.0) == 2.0
    assert find_room_at(Resources(10, 5), ends, needs, 1.0) == 3.0
    assert find_room_at(Resources(0, 0), ends[:1], needs, 1.0) is None
