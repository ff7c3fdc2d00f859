"""Data classes and type aliases shared by the whole package."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias

BackendServerId: TypeAlias = str
ClassName: TypeAlias = str
InstanceId: TypeAlias = str
JobId: TypeAlias = str
GroupId: TypeAlias = int  # see `boragetide.groups`
PoolName: TypeAlias = str
Seconds: TypeAlias = float
TaskId: TypeAlias = str
ZoneId: TypeAlias = str

CONTROLLERS = ("instances", "configuration", "claims", "backend_servers", "jobs")
DEFAULT_CLASS: ClassName = "default"
MAX_CLOCK_SKEW: Seconds = 5.0  # assumed bound between any two instances


class Status(StrEnum):
    """Outcome of a job or of a single request as reported to its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskStatus(StrEnum):
    """Outcome of one task."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Task:
    """One task of a submission.

    Parameters
    ----------
    payload
        Passed to the backend server unchanged.
    size
        Declared run time on a backend server of speed 1, in seconds, if any.
    timeout
        Seconds after its start at which the task is considered failed.
    cores, memory
        CPU cores, and memory in bytes, that the task needs on one backend server.
    """

    payload: Any
    size: Seconds | None = None
    timeout: Seconds = 30.0
    cores: float = 0.0
    memory: int = 0


@dataclass(frozen=True, slots=True)
class Submission:
    """A job, or a single request, as submitted by a caller.

    Parameters
    ----------
    digest
        Digest of the payloads, which distinguishes a resubmission from another job.
    """

    id: JobId
    class_name: ClassName
    tasks: tuple[Task, ...]
    idempotent: bool = False
    team: str = ""
    digest: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer to a submission, with the results in the order of the tasks."""

    id: JobId
    status: Status
    results: tuple[Any, ...] = ()
    error: str | None = None


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """How one task ended; only a task with status ``DONE`` has a result."""

    status: TaskStatus
    result: Any = None
    error: str | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """Names the only instance and incarnation that may start the tasks of a job."""

    id: JobId
    owner: InstanceId
    owner_incarnation: int
    claimed_at: Seconds


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as announced by itself; memory is in bytes."""

    id: BackendServerId
    address: str
    zone: ZoneId
    rack: str
    slots: int
    connections: int
    cores: float
    memory: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class DurableStarts:
    """Start policy of a class whose tasks may be restarted after a loss.

    Parameters
    ----------
    pool
        Pool of backend servers that run the tasks.
    attempts
        Number of failed runs of one task at which its job fails.
    priority
        Jobs with a lower number go first.
    stretch
        Response time target as a multiple of the job's critical path; the class's
        ``response_time`` is added to that.
    """

    pool: PoolName
    attempts: int = 1
    priority: int = 0
    stretch: float = 1.0


@dataclass(frozen=True, slots=True)
class ClassTarget:
    """An operator's target for one class of work.

    Parameters
    ----------
    name
        Name of the class.
    response_time
        Target for the response time of a job, in seconds.
    busy_share
        Fraction (0 to 1) of all slots that the class may occupy.
    durable
        Start policy if the tasks may be restarted after a loss; with ``None`` each task
        is started at most once.
    """

    name: ClassName
    response_time: Seconds = 10.0
    busy_share: float = 1.0
    durable: DurableStarts | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """Configuration set by operators; its version never decreases.

    Parameters
    ----------
    version
        Increases by one with each accepted change.
    drained
        Backend servers that get no new work.
    revision
        Number that the operator gave to the published configuration, if there is one.
    document
        Text of the published configuration as a front end received it, stored for that
        front end only.
    evacuated_zones
        Availability zones whose backend servers get no new work.
    evacuation_used
        Whether any zone was ever evacuated.
    """

    version: int = 0
    classes_by_name: dict[ClassName, ClassTarget] = field(
        default_factory=lambda: {DEFAULT_CLASS: ClassTarget(DEFAULT_CLASS)}
    )
    drained: frozenset[BackendServerId] = frozenset()
    revision: int = 0
    document: str = ""
    evacuated_zones: frozenset[ZoneId] = frozenset()
    evacuation_used: bool = False


@dataclass(frozen=True, slots=True)
class TaskStart:
    """One task as it is sent to a backend server."""

    id: TaskId
    job_id: JobId
    class_name: ClassName
    payload: Any
    timeout: Seconds


@dataclass(frozen=True, slots=True)
class Address:
    """Identifies the mailbox of a controller on an instance."""

    instance: InstanceId
    controller: str


@dataclass(frozen=True, slots=True)
class ReplyTo:
    """Identifies a pending request on the instance that waits for the reply.

    Parameters
    ----------
    request
        Number of the request, which no other process of the instance uses.
    """

    instance: InstanceId
    request: int
