"""Durable jobs: their stored state and the runs of their tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from functools import cached_property

from boragetide.job_shape import JobShape, make_shape
from boragetide.task_set import EMPTY, TaskSet
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
    """Resources that a task needs or that a backend server has.

    Parameters
    ----------
    millicores
        CPU, in thousandths of a core.
    memory
        Memory, in MiB.
    accelerators
        Number of accelerators.
    """

    millicores: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits_in(self, available: Resources) -> bool:
        """Return whether ``available`` has at least these resources."""
        return (
            self.millicores <= available.millicores
            and self.memory <= available.memory
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.millicores + other.millicores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def maximum(self, other: Resources) -> Resources:
        """Return the larger amount of each resource."""
        return Resources(
            max(self.millicores, other.millicores),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
        )

    def minimum(self, other: Resources) -> Resources:
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.millicores, other.millicores),
            min(self.memory, other.memory),
            min(self.accelerators, other.accelerators),
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
    """A group of identical tasks of a job.

    Parameters
    ----------
    count
        Number of tasks.
    needs
        Resources that one task needs on one backend server.
    estimate
        Run time of a task on a backend server of speed 1, in seconds, as declared by
        the submitter; often wrong.
    depends_on
        Positions of earlier steps, all of whose tasks must be done first.
    required_label
        Label that the backend server must have, or empty.
    data_rack
        Rack on which the tasks run fastest, or empty.
    max_per_server
        Maximum number of tasks of this step that run on one backend server at a time;
        0 means no limit.
    """

    count: int
    needs: Resources
    estimate: Seconds
    depends_on: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0


@dataclass(frozen=True)
class DurableJob:
    """A job whose tasks may run again after a loss.

    Unless it is ``best_effort``, a majority of the members stores the job before it is
    accepted.

    Parameters
    ----------
    spec
        Passed to the backend servers unchanged.
    starts
        Start policy of the job's class when the job was submitted.
    submitted_at
        Unix time at which the leader received the job.
    response_time
        Response time target of the job's class when the job was submitted, in seconds.
    best_effort
        Whether the job is held only in the leader's memory and is lost with the leader.
        The caller waits for the end of such a job and resubmits it after a loss.
    """

    id: JobId
    class_name: ClassName
    spec: str
    steps: tuple[Step, ...]
    starts: DurableStarts
    submitted_at: Seconds = 0.0
    response_time: Seconds = 0.0
    best_effort: bool = False

    @cached_property
    def shape(self) -> JobShape:
        """What follows from the steps alone."""
        return make_shape(self.steps)

    @property
    def task_count(self) -> int:
        """Total number of tasks over all steps."""
        return self.shape.task_count


@dataclass(frozen=True, slots=True)
class Need:
    """What a backend server must have to run a task.

    Parameters
    ----------
    label
        Label that the backend server must have, or empty.
    """

    pool: PoolName
    resources: Resources
    label: str = ""


class Fit(IntEnum):
    """How well the backend servers of a group fit a need; a higher value is better."""

    NONE = 0  # none is large enough, or none has the label
    OUT_OF_SERVICE = 1  # those that fit are lost, drained or have shrunk
    BUSY = 2  # one fits, but can start nothing now
    FREE = 3


@dataclass(frozen=True, slots=True)
class Offer:
    """What a group has for a need.

    Parameters
    ----------
    slots
        Number of such tasks that can start now.
    """

    need: Need
    fit: Fit
    slots: int = 0


class JobPhase(StrEnum):
    """Stored phase of a durable job."""

    ACTIVE = "active"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    TRANSFERRED = "transferred"  # another group has the job


@dataclass(frozen=True, slots=True)
class Transfer:
    """Where a job went that was transferred to another group.

    Parameters
    ----------
    group
        Group that has the job.
    sequence
        Number of the transfer among those between the two groups, from 1; 0 for a
        best-effort job, which is submitted there by the instance of its caller.
    delivered
        Whether the other group has stored the job.
    """

    group: int
    sequence: int
    delivered: bool = False


class LossFate(StrEnum):
    """What became of a backend server with which a run was lost."""

    UNKNOWN = "unknown"
    CRASHED = "crashed"
    SURVIVED = "survived"  # it was cut off or paused, or its end was planned


@dataclass(frozen=True, slots=True)
class UnansweredStart:
    """A start that a silent backend server may still carry out.

    Parameters
    ----------
    task
        Number of the task over all steps.
    """

    job_id: JobId
    task: int
    server: BackendServerId


@dataclass(frozen=True, slots=True)
class ServerProcess:
    """One process of a backend server.

    Parameters
    ----------
    born
        Unix time of its start, in milliseconds.
    """

    server: BackendServerId
    born: int


@dataclass(frozen=True, slots=True)
class RunLoss:
    """A run that was lost with its backend server.

    Parameters
    ----------
    task
        Number of the task over all steps.
    server, address, born
        The process of the backend server that ran the task.
    lost_at
        Unix time at which the run was known to be over.
    alone
        Whether the backend server was set apart for this run alone.
    began
        Whether the run is known to have begun. If not, the process may have ended
        before the order arrived.
    """

    job_id: JobId
    task: int
    server: BackendServerId
    address: str
    born: int
    lost_at: Seconds
    alone: bool = False
    fate: LossFate = LossFate.UNKNOWN
    began: bool = True

    @property
    def key(self) -> tuple[int, BackendServerId, int]:
        """Identifies the loss among those of its job."""
        return self.task, self.server, self.born

    @property
    def process(self) -> ServerProcess:
        """Process of the backend server with which the run was lost."""
        return ServerProcess(self.server, self.born)


@dataclass(frozen=True, slots=True)
class JobRecord:
    """State of a job in the replicated log.

    Parameters
    ----------
    done
        Tasks that have ended successfully, numbered consecutively over all steps.
    failures
        Task number and run number of each failed attempt.
    changed_at
        Unix time of the last change.
    losses
        Runs that were lost with their backend servers, oldest first, except those whose
        backend server has survived.
    transfers
        How often the job was transferred to another group; of a best-effort job, the
        number of its last transfer (`policy.transfer_numbers`).
    run_base
        The groups that had the job before gave its runs numbers up to this one.
    transfer
        Where a transferred job went, else ``None``.
    """

    job: DurableJob
    phase: JobPhase = JobPhase.ACTIVE
    done: TaskSet = EMPTY
    failures: tuple[tuple[int, int], ...] = ()
    changed_at: Seconds = 0.0
    losses: tuple[RunLoss, ...] = ()
    transfers: int = 0
    run_base: int = 0
    transfer: Transfer | None = None


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Identifies a task of a durable job by its step and its position in the step."""

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
    """A run that succeeded or failed; ``task`` is numbered over all steps."""

    job_id: JobId
    task: int
    run: int
    failed: bool


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a backend server reports as executing."""

    task: TaskRef
    run: int


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """The end of a run, which a backend server reports until it is acknowledged.

    Parameters
    ----------
    number
        Sequence number, which increases by one with each end; it starts over when the
        backend server restarts.
    """

    number: int
    task: TaskRef
    run: int
    reason: EndReason


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Announcement that a backend server sends about itself.

    Parameters
    ----------
    born
        Unix time of the backend server's start, in milliseconds; a higher value means
        that it has restarted.
    sequence
        Increases with each announcement until the backend server restarts.
    clock
        Monotonic clock of the backend server, in seconds, if it was announced.
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


def make_need(pool: PoolName, step: Step) -> Need:
    """Return what a backend server must have to run a task of a step."""
    return Need(pool, step.needs, step.required_label)


def get_task_number(job: DurableJob, task: TaskRef) -> int | None:
    """Return a task's number over all steps, or ``None`` if the task does not exist."""
    if not 0 <= task.step < len(job.steps):
        return None
    if not 0 <= task.index < job.steps[task.step].count:
        return None
    return job.shape.first_tasks[task.step] + task.index


def get_task_ref(job: DurableJob, number: int) -> TaskRef:
    """Return the step and the position of the task with this number.

    Raises
    ------
    ValueError
        If the job has no task of this number.
    """
    position = job.shape.find_step(number)
    return TaskRef(job.id, position, number - job.shape.first_tasks[position])
