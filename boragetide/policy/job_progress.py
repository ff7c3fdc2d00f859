"""Which tasks of a job may run, kept up to date from one end to the next.

The cost of an end depends on the steps that it completes and on those that it opens.
All ends of a job together cost its tasks and dependencies, and not their product.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from boragetide.durable import DurableJob, JobRecord, Step
from boragetide.task_set import TaskSet


@dataclass(slots=True)
class JobProgress:
    """Steps of a job that are open, by its tasks that are done.

    Parameters
    ----------
    done
        Tasks that are done.
    remaining
        For each step, the number of its tasks that are not done.
    open_dependencies
        For each step, the number of steps it depends on that are not done. Its tasks
        may run once there is none.
    """

    job: DurableJob
    done: TaskSet
    remaining: list[int]
    open_dependencies: list[int]

    def is_of(self, record: JobRecord) -> bool:
        """Return whether this describes an earlier or the same state of a record."""
        is_same_job = record.job.steps is self.job.steps
        return is_same_job and not self.done.subtract(record.done)

    def is_ready(self, number: int) -> bool:
        """Return whether a task is not done and its dependencies are all done."""
        position = self.job.shape.find_step(number)
        return not self.open_dependencies[position] and number not in self.done

    def find_step(self, number: int) -> Step:
        """Return the step of a task."""
        return self.job.steps[self.job.shape.find_step(number)]

    def iterate_ready(self) -> Iterator[tuple[int, Step]]:
        """Yield the number and the step of each task that may run."""
        for position in range(len(self.job.steps)):
            if not self.open_dependencies[position]:
                yield from self._iterate_step(position)

    def _iterate_step(self, position: int) -> Iterator[tuple[int, Step]]:
        shape, step = self.job.shape, self.job.steps[position]
        if not self.remaining[position]:
            return
        for number in range(shape.first_tasks[position], shape.find_end(position)):
            if number not in self.done:
                yield number, step

    def advance(self, done: TaskSet) -> list[int]:
        """Record which tasks are done; return those for which something has changed.

        These are the tasks that have been done since the last call, and those whose
        dependencies are all done by it.
        """
        shape = self.job.shape
        changed = list(done.subtract(self.done))
        self.done = done
        opened: list[int] = []
        for number in changed:
            position = shape.find_step(number)
            self.remaining[position] -= 1
            if self.remaining[position]:
                continue
            for later in shape.dependents[position]:
                self.open_dependencies[later] -= 1
                if not self.open_dependencies[later]:
                    opened.append(later)
        for position in opened:
            changed += (number for number, _ in self._iterate_step(position))
        return changed


def make_progress(record: JobRecord) -> JobProgress:
    """Return the progress of a job, from its record alone."""
    job, done = record.job, record.done
    shape = job.shape
    remaining: list[int] = []
    open_dependencies: list[int] = []
    for position, step in enumerate(job.steps):
        first = shape.first_tasks[position]
        done_count = done.count_between(first, first + step.count)
        remaining.append(step.count - done_count)
        open_dependencies.append(sum(remaining[p] > 0 for p in step.depends_on))
    return JobProgress(job, done, remaining, open_dependencies)


def find_ready_tasks(record: JobRecord) -> list[tuple[int, Step]]:
    """Return the tasks that are not done and whose dependencies are all done.

    Each task is a pair of its number, counted through all steps, and its step.
    """
    return list(make_progress(record).iterate_ready())
