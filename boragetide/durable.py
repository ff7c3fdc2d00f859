"""Durable jobs: what is kept of them, and the runs of their tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from boragetide.types import (
    BackendServerId,
    ClassName,
    DurableStarts,
    JobId,
    PoolName,
    Seconds,
)


@dataclass(frozen=True, slots=True)
class Resources:
    """What a task needs or a backend server has.

    Parameters
    ----------
    millicores
        Thousandths of a core.
    memory
        MiB.
    accelerators
        Number of them.
    """

    millicores: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits_in(self, room: Resources) -> bool:
        """Tell whether this much is available in ``room``."""
        return (
            self.millicores <= room.millicores
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.millicores + other.millicores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job.

    Parameters
    ----------
    count
        Number of tasks.
    needs
        What one task needs of one backend server.
    estimate
        Declared run time of a task on a backend server of speed 1; often wrong.
    depends_on
        Positions of earlier steps whose tasks must all be done first.
    required_label
        Label that the backend server must have, or empty.
    data_rack
        Rack on which the tasks run fastest, or empty.
    max_per_server
        Tasks of this step that may run on one backend server at a time; 0 is no bound.
    """

    count: int
    needs: Resources
    estimate: Seconds
    depends_on: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0


@dataclass(frozen=True, slots=True)
class DurableJob:
    """A job whose tasks may run again after a loss.

    Unless it is ``best_effort`` it is kept by a majority before it is accepted.

    Parameters
    ----------
    spec
        Passed to the backend servers unchanged.
    starts
        Policy of its class when it was submitted.
    submitted_at
        Unix time at which the leader received it.
    response_time
        Target of its class when it was submitted.
    best_effort
        The job lives at the leader only and is lost with it; its caller waits for its
        end and submits it again after a loss.
    """

    id: JobId
    class_name: ClassName
    spec: str
    steps: tuple[Step, ...]
    starts: DurableStarts
    submitted_at: Seconds = 0.0
    response_time: Seconds = 0.0
    best_effort: bool = False

    @property
    def task_count(self) -> int:
        """Number of tasks of all steps."""
        return sum(step.count for step in self.steps)


class JobPhase(StrEnum):
    """How far a durable job is, as far as it is kept."""

    ACTIVE = "active"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class JobRecord:
    """What the replicated log keeps of a job.

    Parameters
    ----------
    done
        Tasks that have ended as done, numbered through all steps.
    failures
        Task and run of each failed attempt.
    changed_at
        Unix time of the last change.
    """

    job: DurableJob
    phase: JobPhase = JobPhase.ACTIVE
    done: frozenset[int] = frozenset()
    failures: tuple[tuple[int, int], ...] = ()
    changed_at: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class TaskRef:
    """One task of a durable job, by its step and its position in the step."""

    job_id: JobId
    step: int
    index: int


class EndReason(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class RunEnd:
    """A run that ended as done or failed; ``task`` is numbered through all steps."""

    job_id: JobId
    task: int
    run: int
    failed: bool


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a backend server says it is executing."""

    task: TaskRef
    run: int


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end that a backend server lists until it is acknowledged.

    Parameters
    ----------
    number
        Rises by one with each end in one life of the backend server.
    """

    number: int
    task: TaskRef
    run: int
    reason: EndReason


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a backend server announces of itself.

    Parameters
    ----------
    born
        Unix time in milliseconds of its start; a newer one is another life.
    sequence
        Rises with each announcement of one life.
    clock
        Its steady clock in seconds, if it said so.
    """

    id: BackendServerId
    address: str
    pool: PoolName
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    born: int = 0
    sequence: int = 0
    clock: Seconds | None = None


def number_task(job: DurableJob, task: TaskRef) -> int | None:
    """Return the number of a task through all steps, or ``None`` if there is none."""
    if not 0 <= task.step < len(job.steps):
        return None
    if not 0 <= task.index < job.steps[task.step].count:
        return None
    return sum(step.count for step in job.steps[: task.step]) + task.index


def refer_to_task(job: DurableJob, number: int) -> TaskRef:
    """Return the step and the position of a numbered task."""
    for position, step in enumerate(job.steps):
        if number < step.count:
            return TaskRef(job.id, position, number)
        number -= step.count
    raise ValueError(f"job {job.id!r} has no task {number!r}")
