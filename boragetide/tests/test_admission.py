"""Admission by the target of the class and by the size of the tasks."""

from __future__ import annotations

import random
from dataclasses import replace

from boragetide.policy.admission import (
    Load,
    Margin,
    observe_response,
    predict_response,
    refuse_for_size,
    refuse_for_target,
)
from boragetide.types import BackendServer, ClassTarget, Task

IDLE = Load(100.0, 2.0, waiting=0.0, own_waiting=0.0, contended=False)
TARGET = ClassTarget("c", response_time=2.0, busy_share=0.5)


def refuse(load: Load, work: float, longest: float, share: float = 0.2) -> str | None:
    """Return why a job of this work is refused, if it is."""
    predicted = predict_response(load, TARGET, work, longest)
    return refuse_for_target(load, TARGET, Margin(share), predicted)


def test_job_is_refused_while_queued_work_exceeds_its_target() -> None:
    """Guards against admitted jobs that miss their target at overload."""
    assert refuse(IDLE, 10.0, 1.0) is None
    reason = refuse(replace(IDLE, waiting=300.0), 10.0, 1.0)
    assert reason is not None and "'c'" in reason


def test_busy_share_counts_while_other_classes_wait() -> None:
    """Guards against predictions that count slots which belong to other classes."""
    load = replace(IDLE, waiting=100.0, own_waiting=100.0)
    assert refuse(load, 1.0, 0.1) is None
    assert refuse(replace(load, contended=True), 1.0, 0.1)


def test_job_too_large_for_its_target_runs_on_an_idle_pool() -> None:
    """Guards against jobs that never run because they exceed the target on any pool."""
    assert refuse(IDLE, 1000.0, 1.0) is None
    assert refuse(replace(IDLE, waiting=50.0), 1000.0, 1.0)


def test_margin_follows_the_worst_percent_of_the_responses() -> None:
    """Guards against predicting the mean, which many admitted jobs exceed."""
    margin, draw = Margin(), random.Random(1)
    for _ in range(5000):
        observe_response(margin, TARGET, 1.0, 1.0 + draw.uniform(0.0, 1.0))
    assert 0.42 < margin.share < 0.6
    assert refuse(replace(IDLE, waiting=130.0), 1.0, 0.1, margin.share)


def test_task_that_fits_no_server_is_refused() -> None:
    """Guards against tasks that wait for a server that does not exist."""
    servers = [
        BackendServer("a", "", "z", "", 8, 64, cores=4.0, memory=100),
        BackendServer("b", "", "z", "", 8, 64, cores=2.0, memory=1000),
    ]
    assert refuse_for_size([Task(None, cores=4.0, memory=50)], servers) is None
    assert refuse_for_size([Task(None, cores=4.0, memory=500)], servers)
    assert refuse_for_size([Task(None, cores=4.0, memory=500)], []) is None
