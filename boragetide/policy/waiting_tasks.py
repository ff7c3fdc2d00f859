"""Tasks of one job that may start, in groups that any backend server treats alike.

A placement looks at one group in place of each of its tasks. Groups are found by the
label that they require, so that labels that no backend server has cost nothing.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from operator import neg

from boragetide.durable import DurableJob, Step


@dataclass(slots=True)
class TaskGroup:
    """Waiting tasks that need the same.

    Parameters
    ----------
    position
        Position of the first step of the job with such tasks.
    step
        That step, which stands for the steps of all tasks.
    numbers
        Numbers of the tasks in descending order, so that the first one is at the end.
    """

    position: int
    step: Step
    numbers: list[int] = field(default_factory=list)

    def add(self, number: int) -> bool:
        """Add a task; return whether it is new."""
        index = bisect_left(self.numbers, -number, key=neg)
        if index < len(self.numbers) and self.numbers[index] == number:
            return False
        self.numbers.insert(index, number)
        return True

    def discard(self, number: int) -> bool:
        """Remove a task; return whether it was there."""
        index = bisect_left(self.numbers, -number, key=neg)
        if index == len(self.numbers) or self.numbers[index] != number:
            return False
        del self.numbers[index]
        return True

    @property
    def work_of_task(self) -> float:
        """Declared work of one task, in millicore-seconds at speed 1."""
        return self.step.estimate * self.step.needs.millicores


class WaitingTasks:
    """Tasks of a job that may start now.

    Parameters
    ----------
    job
        The job.
    numbers
        Numbers of the tasks.

    Attributes
    ----------
    group_by_position
        Groups that have tasks, by the position of their first step.
    has_new_groups
        Whether a group has come since the flag was last cleared.
    removed_groups
        Number of groups that have gone since it was last set to 0.
    work
        Declared work of the tasks, in millicore-seconds at speed 1.
    """

    def __init__(self, job: DurableJob, numbers: Iterable[int]):
        self._job = job
        self._count = 0
        self._by_label: dict[str, list[TaskGroup]] = {}
        self.group_by_position: dict[int, TaskGroup] = {}
        self.has_new_groups = False
        self.removed_groups = 0
        self.work = 0.0
        for number in sorted(numbers, reverse=True):
            group = self._find_group(number)
            group.numbers.append(number)
            self._count_task(group, 1)

    def __len__(self) -> int:
        """Return the number of tasks."""
        return self._count

    def __contains__(self, number: int) -> bool:
        """Return whether a task waits."""
        return any(number in each.numbers for each in self.group_by_position.values())

    def __iter__(self) -> Iterator[int]:
        """Yield the numbers of the tasks, group by group."""
        for group in self.group_by_position.values():
            yield from reversed(group.numbers)

    def _find_group(self, number: int) -> TaskGroup:
        """Return the group of a task, which is added if it is new."""
        shape = self._job.shape
        position = shape.alike[shape.find_step(number)]
        group = self.group_by_position.get(position)
        if group is None:
            group = TaskGroup(position, self._job.steps[position])
            self.group_by_position[position] = group
            label = group.step.required_label
            insort(self._by_label.setdefault(label, []), group, key=_get_position)
            self.has_new_groups = True
        return group

    def add(self, number: int) -> None:
        """Add a task."""
        group = self._find_group(number)
        if group.add(number):
            self._count_task(group, 1)

    def discard(self, number: int) -> None:
        """Remove a task if it waits."""
        shape = self._job.shape
        position = shape.alike[shape.find_step(number)]
        group = self.group_by_position.get(position)
        if group is not None and group.discard(number):
            self._count_task(group, -1)
            self._remove_if_empty(group)

    def take_first(self, group: TaskGroup) -> int:
        """Remove the first task of a group and return its number."""
        number = group.numbers.pop()
        self._count_task(group, -1)
        self._remove_if_empty(group)
        return number

    def _count_task(self, group: TaskGroup, change: int) -> None:
        self._count += change
        self.work += change * group.work_of_task

    def _remove_if_empty(self, group: TaskGroup) -> None:
        if group.numbers:
            return
        del self.group_by_position[group.position]
        self.removed_groups += 1
        label = group.step.required_label
        groups = self._by_label[label]
        del groups[bisect_left(groups, group.position, key=_get_position)]
        if not groups:
            del self._by_label[label]

    def list_groups(self, labels: Mapping[str, object]) -> list[TaskGroup]:
        """Return the groups that require one of the labels, in the order of the steps.

        Parameters
        ----------
        labels
            Labels of the backend servers with room, and the empty one.
        """
        if len(self._by_label) == 1:
            ((label, groups),) = self._by_label.items()
            return list(groups) if label in labels else []
        if len(labels) < len(self._by_label):
            found = [self._by_label[each] for each in labels if each in self._by_label]
        else:
            found = [each for label, each in self._by_label.items() if label in labels]
        return sorted((group for each in found for group in each), key=_get_position)


def _get_position(group: TaskGroup) -> int:
    return group.position
