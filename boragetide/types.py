"""Data classes and aliases that the whole package shares."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias

BackendServerId: TypeAlias = str
ClassName: TypeAlias = str
InstanceId: TypeAlias = str
JobId: TypeAlias = str
PoolName: TypeAlias = str
Seconds: TypeAlias = float
TaskId: TypeAlias = str
ZoneId: TypeAlias = str

CONTROLLERS = ("instances", "configuration", "claims", "backend_servers", "jobs")
DEFAULT_CLASS: ClassName = "default"
MAX_CLOCK_SKEW: Seconds = 5.0  # between any two instances


class Status(StrEnum):
    """Outcome of a job or of a single request, as its caller sees it."""

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
        Declared run time in seconds on a backend server of speed 1, if any.
    timeout
        Seconds after its start at which the task counts as failed.
    cores, memory
        What the task needs of one backend server: cores, and memory in bytes.
    """

    payload: Any
    size: Seconds | None = None
    timeout: Seconds = 30.0
    cores: float = 0.0
    memory: int = 0


@dataclass(frozen=True, slots=True)
class Submission:
    """A job, or a single request, as a caller submitted it.

    Parameters
    ----------
    digest
        Digest of the payloads, which tells a resubmission from another job.
    """

    id: JobId
    class_name: ClassName
    tasks: tuple[Task, ...]
    idempotent: bool = False
    team: str = ""
    digest: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to a submission; results are in the order of the tasks."""

    id: JobId
    status: Status
    results: tuple[Any, ...] = ()
    error: str | None = None


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """How one task ended; only ``DONE`` has a result."""

    status: TaskStatus
    result: Any = None
    error: str | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """The one instance, in one incarnation, that may start the tasks of a job."""

    id: JobId
    owner: InstanceId
    owner_incarnation: int
    claimed_at: Seconds


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it announced itself; memory is in bytes."""

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
    """How the tasks of a class are started that may run again after a loss.

    Parameters
    ----------
    pool
        Backend servers that run the tasks.
    attempts
        Runs of a task that may fail before its job fails.
    priority
        Lower goes first.
    stretch
        Target for the response time as a multiple of the longest chain of work, to
        which the class's ``response_time`` is added.
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
        Share (0 to 1) of all slots that the class may keep busy.
    durable
        How its tasks are started again after a loss; ``None`` starts them at most once.
    """

    name: ClassName
    response_time: Seconds = 10.0
    busy_share: float = 1.0
    durable: DurableStarts | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything operators have set; never goes back to a lower version.

    Parameters
    ----------
    version
        Rises by one with each accepted change.
    revision
        Number that the operator gave to the published configuration, if one was.
    document
        The published configuration as a front end received it, for that front end.
    """

    version: int = 0
    classes_by_name: dict[ClassName, ClassTarget] = field(
        default_factory=lambda: {DEFAULT_CLASS: ClassTarget(DEFAULT_CLASS)}
    )
    drained: frozenset[BackendServerId] = frozenset()
    revision: int = 0
    document: str = ""


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
    """Names the mailbox of a controller on an instance."""

    instance: InstanceId
    controller: str


@dataclass(frozen=True, slots=True)
class ReplyTo:
    """Names a request that waits for a reply on an instance."""

    instance: InstanceId
    request: int
