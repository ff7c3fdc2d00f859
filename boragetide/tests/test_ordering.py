"""Order of jobs, classes and teams."""

from __future__ import annotations

from boragetide.controllers.queueing import (
    ClassQueue,
    QueuedJob,
    add_running,
    add_waiting,
    iterate_jobs,
    remove_job,
)
from boragetide.messages import QueueTasks
from boragetide.types import Task

NOW = 100.0


def put(
    queue: ClassQueue, job_id: str, work: float, team: str = "", at: float = NOW
) -> QueuedJob:
    """Queue a job of one task."""
    job = QueuedJob(QueueTasks(job_id, "c", (Task(None),), False, team), at)
    add_waiting(queue, job, [(work, 0)])
    return job


def list_job_ids(queues: dict[str, ClassQueue], caps: dict[str, int]) -> list[str]:
    """Return the ids of the jobs in the order in which they are placed."""
    return [job_id for _, job_id in iterate_jobs(queues, caps, NOW)]


def test_job_with_least_remaining_work_goes_first() -> None:
    """Guards against small jobs that wait behind large ones."""
    queue = ClassQueue(aging_rate=1.0)
    for job_id, work in (("large", 9.0), ("small", 1.0), ("middle", 3.0)):
        put(queue, job_id, work)
    assert list_job_ids({"c": queue}, {"c": 8}) == ["small", "middle", "large"]


def test_aging_bounds_how_long_a_large_job_is_overtaken() -> None:
    """Guards against starving large jobs while small ones keep arriving."""
    queue = ClassQueue(aging_rate=2.0)
    put(queue, "large", 10.0, at=NOW - 6.0)
    put(queue, "small", 1.0)
    assert list_job_ids({"c": queue}, {"c": 8}) == ["large", "small"]


def test_removed_job_leaves_no_trace_in_the_order() -> None:
    """Guards against a queue that still lists a team without jobs."""
    queue = ClassQueue(aging_rate=1.0)
    job = put(queue, "only", 1.0, "a")
    put(queue, "other", 1.0, "b")
    remove_job(queue, job)
    assert list_job_ids({"c": queue}, {"c": 8}) == ["other"]


def test_burst_of_a_team_does_not_keep_another_team_waiting() -> None:
    """Guards against a team that occupies its whole class with many small jobs."""
    queue = ClassQueue(aging_rate=1.0)
    for number in range(5):
        put(queue, f"burst-{number}", 0.1, "busy")
    put(queue, "other", 5.0, "calm")
    add_running(queue, "busy", 4)
    assert list_job_ids({"c": queue}, {"c": 8})[0] == "other"


def test_class_at_its_busy_share_waits_for_the_other_classes() -> None:
    """Guards against a class that gets more slots than its share while others wait."""
    queues = {"c": ClassQueue(aging_rate=1.0), "d": ClassQueue(aging_rate=1.0)}
    put(queues["c"], "capped", 0.1)
    put(queues["d"], "entitled", 9.0)
    add_running(queues["c"], "", 2)
    assert list_job_ids(queues, {"c": 2, "d": 8}) == ["entitled"]
    add_running(queues["d"], "", 8)
    assert list_job_ids(queues, {"c": 2, "d": 8})[0] == "capped"
