"""Admission by class target and by size."""

from __future__ import annotations

from dataclasses import replace

from boragetide.policy.admission import Load, refuse_for_size, refuse_for_target
from boragetide.types import BackendServer, ClassTarget, Task

IDLE = Load(100.0, 2.0, waiting=0.0, own_waiting=0.0, contended=False)
TARGET = ClassTarget("c", response_time=2.0, busy_share=0.5)


def test_job_is_refused_while_queued_work_exceeds_its_target() -> None:
    """Guards against admitted jobs that miss their target at overload."""
    assert refuse_for_target(IDLE, TARGET, 10.0, 1.0) is None
    reason = refuse_for_target(replace(IDLE, waiting=300.0), TARGET, 10.0, 1.0)
    assert reason is not None and "'c'" in reason


def test_busy_share_counts_while_other_classes_wait() -> None:
    """Guards against promises of slots that belong to other classes."""
    load = replace(IDLE, waiting=100.0, own_waiting=100.0)
    assert refuse_for_target(load, TARGET, 1.0, 0.1) is None
    assert refuse_for_target(replace(load, contended=True), TARGET, 1.0, 0.1)


def test_job_too_large_for_its_target_runs_on_an_idle_pool() -> None:
    """Guards against jobs that could never run."""
    assert refuse_for_target(IDLE, TARGET, 1000.0, 1.0) is None
    assert refuse_for_target(replace(IDLE, waiting=50.0), TARGET, 1000.0, 1.0)


def test_task_that_fits_no_server_is_refused() -> None:
    """Guards against tasks that wait for a server that does not exist."""
    servers = [
        BackendServer("a", "", "z", "", 8, 64, cores=4.0, memory=100),
        BackendServer("b", "", "z", "", 8, 64, cores=2.0, memory=1000),
    ]
    assert refuse_for_size([Task(None, cores=4.0, memory=50)], servers) is None
    assert refuse_for_size([Task(None, cores=4.0, memory=500)], servers)
    assert refuse_for_size([Task(None, cores=4.0, memory=500)], []) is None
