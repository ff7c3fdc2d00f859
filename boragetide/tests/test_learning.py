"""Learning of task sizes and server speeds."""

from __future__ import annotations

import math
import random

import pytest

from boragetide.policy.learning import (
    SizeModel,
    SpeedModel,
    center_speeds,
    observe_size,
    observe_speed,
    predict_log_size,
    predict_size,
    predict_speed,
)


def learn_sizes(factor: float, spread: float, count: int = 2000) -> SizeModel:
    """Train a model with lognormal sizes whose declarations are wrong."""
    draw, model = random.Random(1), SizeModel()
    for _ in range(count):
        size = draw.lognormvariate(math.log(0.3), 0.75)
        error = math.exp(draw.uniform(-spread, spread))
        observe_size(model, size * factor * error, size)
    return model


@pytest.mark.parametrize("factor", [0.25, 1.0, 4.0])
def test_constant_error_of_declared_sizes_is_corrected(factor: float) -> None:
    """Guards against predicted waits that rely on sizes a client declares too small."""
    model = learn_sizes(factor, 0.0)
    for size in (0.1, 0.3, 1.0):
        assert predict_size(model, size * factor) == pytest.approx(size, rel=0.1)


def test_noisy_declarations_are_shrunk_towards_the_class_mean() -> None:
    """Guards against ordering tasks by the noise in their declared sizes."""
    model = learn_sizes(1.0, math.log(4))
    ratio = predict_size(model, 1.2) / predict_size(model, 0.3)
    assert 1.5 < ratio < 2.5


def test_classes_without_declarations_have_an_expected_size() -> None:
    """Guards against one default size for the undeclared tasks of every class."""
    model = SizeModel()
    for _ in range(300):
        observe_size(model, None, 2.0)
    assert predict_size(model, None) == pytest.approx(2.0, rel=0.1)


def learn_speeds(model: SpeedModel, speed: float, count: int, seed: int = 1) -> int:
    """Observe tasks with the usual spread of run times.

    Returns the number of the task at which a change of speed was detected, or 0.
    """
    draw = random.Random(seed)
    for number in range(1, count + 1):
        observed = math.log(speed) + draw.gauss(0, 0.55)
        if observe_speed(model, "c", observed, 0.3):
            return number
    return 0


def test_speed_is_learned_from_few_tasks() -> None:
    """Guards against long tasks on a server that was already seen to be slow."""
    model = SpeedModel()
    learn_speeds(model, 0.5, 20)
    assert 0.35 < predict_speed(model, "c") < 0.75


def test_server_that_becomes_four_times_slower_is_noticed_within_a_few_tasks() -> None:
    """Guards against rating a server as fast after it became slow."""
    for seed in range(20):
        model = SpeedModel()
        learn_speeds(model, 2.0, 200)
        assert 1 <= learn_speeds(model, 0.5, 12, seed) <= 10
        assert predict_speed(model, "c") < 1.1


def test_long_task_counts_once_however_often_it_overruns() -> None:
    """Guards against rating a good server as slow because of one task of 5 s."""
    model = SpeedModel()
    learn_speeds(model, 1.0, 200)
    before = predict_speed(model, "c")
    earlier = None
    for factor in (2, 4, 8, 16):
        assert not observe_speed(model, "c", -math.log(factor), 0.3, earlier)
        earlier = -math.log(factor)
    assert predict_speed(model, "c") > 0.9 * before


def test_anchoring_keeps_expected_run_times() -> None:
    """Guards against learned speeds and sizes that drift in the same direction."""
    speeds = [SpeedModel(log_speed=value, samples=50) for value in (1.0, 3.0)]
    size = SizeModel()
    before = predict_log_size(size, 0.5) - speeds[0].log_speed
    center_speeds(speeds, [size])
    assert [model.log_speed for model in speeds] == [-1.0, 1.0]
    assert predict_log_size(size, 0.5) - speeds[0].log_speed == pytest.approx(before)
