"""Effects: actions that a controller returns for the runtime to execute in order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

from boragetide.durable import TaskRef
from boragetide.types import (
    Address,
    BackendServerId,
    InstanceId,
    ReplyTo,
    Seconds,
    TaskId,
    TaskStart,
)


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to a local or remote controller; delivery is not guaranteed."""

    to: Address
    message: Any


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a request from this or another instance."""

    to: ReplyTo | None
    message: Any


@dataclass(frozen=True, slots=True)
class Persist:
    """Appends records to the controller's journal and syncs it before later effects."""

    records: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replaces the controller's journal by a single record and syncs it."""

    record: Any


@dataclass(frozen=True, slots=True)
class StartTasks:
    """Dispatches a batch of tasks to one backend server under a lease."""

    server: BackendServerId
    address: str
    lease: str
    tasks: tuple[TaskStart, ...]


@dataclass(frozen=True, slots=True)
class CancelTasks:
    """Asks a backend server to stop tasks; best effort."""

    server: BackendServerId
    address: str
    task_ids: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Orders a backend server to start one run; the result is a `RunOrdered`.

    Parameters
    ----------
    number
        Number of the task over all steps of its job.
    fence
        Fencing token (`policy.fencing`).
    lease_until
        Time on the backend server's clock at which its leases expire.
    target_born
        Start of the process that the order is meant for, in Unix milliseconds.
    timeout
        Seconds after which the order counts as unanswered; ``None`` for the limit of
        the client. An answer that comes later is still reported.
    """

    server: BackendServerId
    address: str
    task: TaskRef
    number: int
    run: int
    spec: str
    fence: int
    lease_until: Seconds
    target_born: int = 0
    timeout: Seconds | None = None


@dataclass(frozen=True, slots=True)
class StopRun:
    """Orders a backend server to stop one run; the result is a `RunOrdered`.

    Parameters
    ----------
    target_born
        Start of the process that the order is meant for, in Unix milliseconds.
    timeout
        As for `StartRun`.
    """

    server: BackendServerId
    address: str
    task: TaskRef
    number: int
    run: int
    fence: int
    target_born: int = 0
    timeout: Seconds | None = None


@dataclass(frozen=True, slots=True)
class ReadRuns:
    """Renews the leases of a backend server and lists its runs.

    The result is a `RunsRead` or a `ReadFailed`.

    Parameters
    ----------
    acknowledged
        Number of the last `ListedEnd` that has been stored.
    lease_until
        New expiry of the leases, on the backend server's clock; ``None`` renews none.
    wait
        How long the backend server holds its answer until a run ends, in seconds.
    target_born
        Start of the process that the request is meant for, in Unix milliseconds.
    timeout
        Seconds, including the wait, after which the request counts as failed; ``None``
        for the limit of the client. A list that comes later is still reported.
    """

    server: BackendServerId
    address: str
    fence: int
    acknowledged: int
    lease_until: Seconds | None
    wait: Seconds
    target_born: int = 0
    timeout: Seconds | None = None


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Replaces the connection to a peer by a new one."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class AbandonRequests:
    """Fails all pending requests to an instance that is considered lost."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Writes one log line of key=value pairs."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Observe:
    """Records a duration in a histogram metric."""

    metric: str
    seconds: Seconds
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Count:
    """Increments a counter metric by ``value``."""

    metric: str
    labels: dict[str, str] = field(default_factory=dict)
    value: float = 1.0


@dataclass(frozen=True, slots=True)
class SetGauge:
    """Sets a gauge metric."""

    metric: str
    value: float


Effect: TypeAlias = (
    Send
    | Reply
    | Persist
    | SaveSnapshot
    | StartTasks
    | CancelTasks
    | StartRun
    | StopRun
    | ReadRuns
    | Reconnect
    | AbandonRequests
    | LogEvent
    | Count
    | Observe
    | SetGauge
)
