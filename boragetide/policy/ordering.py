"""Order of the tasks that wait for a slot."""

from __future__ import annotations

from boragetide.types import Seconds, Task

DEFAULT_SIZE: Seconds = 0.4


def expected_size(task: Task) -> Seconds:
    """Return the expected run time of a task at speed 1, in seconds."""
    return task.size if task.size is not None else DEFAULT_SIZE


def rank_job(remaining: Seconds, queued_at: Seconds, now: Seconds) -> Seconds:
    """Return the rank of a job; the lowest rank goes first.

    Parameters
    ----------
    remaining
        Expected work that the job has left, in seconds at speed 1.
    queued_at, now
        Unix time in seconds. Waiting lowers the rank, so that no job starves.
    """
    return remaining - (now - queued_at)
