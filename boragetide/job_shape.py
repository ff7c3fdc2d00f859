"""What follows from the steps of a job alone, computed once for each job.

A job may have 10,000 tasks in 1,000 steps, with tens of thousands of dependencies. What
is decided at each end of a task must not go through all of them.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragetide.types import Seconds

if TYPE_CHECKING:
    from boragetide.durable import Resources, Step


@dataclass(frozen=True, slots=True)
class JobShape:
    """Numbers of the tasks of a job, and how its steps depend on each other.

    Parameters
    ----------
    first_tasks
        Number of the first task of each step.
    task_count
        Total number of tasks.
    longest_chain
        Declared run time of the longest chain of dependent steps, in seconds.
    work
        Declared work of all tasks, in millicore-seconds at speed 1.
    dependents
        Positions of the steps that depend on each step.
    alike
        For each step, the position of the first step whose tasks may run wherever its
        own may. Steps with ``max_per_server`` are like no other.
    needs
        Needs of the steps, each once.
    """

    first_tasks: tuple[int, ...]
    task_count: int
    longest_chain: Seconds
    work: float
    dependents: tuple[tuple[int, ...], ...]
    alike: tuple[int, ...]
    needs: tuple[Resources, ...]

    def find_step(self, number: int) -> int:
        """Return the position of the step of a task.

        Raises
        ------
        ValueError
            If there is no task of this number.
        """
        if not 0 <= number < self.task_count:
            raise ValueError(f"there is no task {number!r}")
        return bisect_right(self.first_tasks, number) - 1

    def find_end(self, position: int) -> int:
        """Return the number after that of the last task of a step."""
        if position + 1 < len(self.first_tasks):
            return self.first_tasks[position + 1]
        return self.task_count


def make_shape(steps: Sequence[Step]) -> JobShape:
    """Return the shape of a job with these steps."""
    first_tasks: list[int] = []
    ends: list[Seconds] = []
    work = 0.0
    dependents: list[list[int]] = [[] for _ in steps]
    alike: list[int] = []
    position_by_kind: dict[tuple[object, ...], int] = {}
    first = 0
    for position, step in enumerate(steps):
        first_tasks.append(first)
        first += step.count
        work += step.count * step.estimate * step.needs.millicores
        begin = max((ends[earlier] for earlier in step.depends_on), default=0.0)
        ends.append(begin + step.estimate)
        for earlier in step.depends_on:
            dependents[earlier].append(position)
        kind = (step.needs, step.estimate, step.required_label, step.data_rack)
        if step.max_per_server:
            alike.append(position)
        else:
            alike.append(position_by_kind.setdefault(kind, position))
    return JobShape(
        first_tasks=tuple(first_tasks),
        task_count=first,
        longest_chain=max(ends, default=0.0),
        work=work,
        dependents=tuple(map(tuple, dependents)),
        alike=tuple(alike),
        needs=tuple(dict.fromkeys(step.needs for step in steps)),
    )
