"""Rank of a waiting job among those that can still be of use to their callers.

By latest start, the job that must start first to be in time goes first, and a large job
of a class gives way to small ones for a bounded time.

By priority, two rules are added (``docs/design/queue-order.md``). Among equally urgent
jobs, one that has begun goes first, the less work is left of it the earlier, because a
wide job that lacks its last tasks has used capacity for nothing. A class of lower
priority gives up a bounded part of its slack, which is the time that its operators'
target leaves it to wait.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from boragetide.durable import DurableJob
from boragetide.types import ClassName, Seconds

# A job with the mean work of its class is ranked as if its latest start were this much
# later, and a job with twice that work as if it were twice as much later. Among equally
# urgent jobs small ones go first, but they can overtake a large one only for a bounded
# time.
SIZE_DELAY: Seconds = 0.05
# A job that has begun is ranked as if its latest start were this much earlier. If begun
# jobs always went first, fewer jobs of all classes but the longest would be in time.
BEGUN_LEAD: Seconds = 0.05
# A job of the lowest priority is ranked as if its latest start were at most this much
# later. With 0.03 s its class loses 0.029 of its jobs in time (mean of eight replays)
# when three times as many jobs arrive as usual, and 0.03 is what a class may lose.
MAX_GIVEN_UP: Seconds = 0.02


def rank_by_latest_start(latest_start: Seconds, relative_work: float) -> Seconds:
    """Return the rank of a job that can be in time; the lowest rank goes first.

    Parameters
    ----------
    relative_work
        Declared work of the job relative to the mean of its class.
    """
    return latest_start + SIZE_DELAY * relative_work


def rank_by_priority(
    latest_start: Seconds,
    relative_work: float,
    given_up: Seconds,
    remaining_share: float | None,
) -> Seconds:
    """Return the rank of a job that can be in time; the lowest rank goes first.

    Parameters
    ----------
    relative_work
        Declared work of the job relative to the mean of its class.
    given_up
        Part of its slack that the job gives up to classes of higher priority.
    remaining_share
        Share of the job's declared work that waits to be started, or ``None`` if none
        of its tasks has started.
    """
    if remaining_share is None:
        return rank_by_latest_start(latest_start, relative_work) + given_up
    rank = rank_by_latest_start(latest_start, relative_work * remaining_share)
    return rank + given_up - BEGUN_LEAD


def rank_late_begun(remaining_share: float) -> Seconds:
    """Return the rank of a late job that has begun, among the late ones.

    It is before any latest start, which is a positive Unix time.

    Parameters
    ----------
    remaining_share
        As for `rank_by_priority`.
    """
    return remaining_share - 1.0


def find_given_up(level: float, slack: Seconds) -> Seconds:
    """Return the part of its slack that a job gives up.

    Parameters
    ----------
    level
        Position of the job's priority, from 0 for the highest to 1 for the lowest.
    slack
        Time from the submission of the job to its latest start.
    """
    return level * min(max(slack, 0.0), MAX_GIVEN_UP)


def find_declared_work(job: DurableJob) -> float:
    """Return the declared work of a job, in millicore-seconds at speed 1."""
    return job.shape.work


@dataclass(slots=True)
class PriorityLevels:
    """Priorities of the known classes, of which only the order counts.

    Parameters
    ----------
    priorities
        Each priority once, the highest (the lowest number) first.
    """

    priority_by_class: dict[ClassName, int] = field(default_factory=dict)
    priorities: list[int] = field(default_factory=list)

    def find_level(self, class_name: ClassName, priority: int) -> float:
        """Record the priority of a class, and return its position among the known ones.

        The position is 0 for the highest and 1 for the lowest priority.
        """
        if self.priority_by_class.get(class_name) != priority:
            self.priority_by_class[class_name] = priority
            self.priorities = sorted(set(self.priority_by_class.values()))
        last = len(self.priorities) - 1
        return bisect_left(self.priorities, priority) / last if last else 0.0
