"""What a controller asks its runtime to do, in the order returned."""

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
    """Delivers a message to a controller here or on another instance, or loses it."""

    to: Address
    message: Any


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a request, wherever it came from."""

    to: ReplyTo | None
    message: Any


@dataclass(frozen=True, slots=True)
class Persist:
    """Appends records to the controller's journal and syncs it before going on."""

    records: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replaces the controller's journal by one synced record."""

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
    """Orders one run of a durable task; reported with `RunOrdered`.

    Parameters
    ----------
    number
        The task, numbered through all steps of its job.
    fence
        Term of the leader that orders.
    lease_until
        Time on the backend server's clock at which its leases lapse.
    """

    server: BackendServerId
    address: str
    task: TaskRef
    number: int
    run: int
    spec: str
    fence: int
    lease_until: Seconds


@dataclass(frozen=True, slots=True)
class StopRun:
    """Orders the end of one run; reported with `RunOrdered`."""

    server: BackendServerId
    address: str
    task: TaskRef
    number: int
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class ReadRuns:
    """Renews the leases of a backend server and reads its runs.

    Reported with `RunsRead` or `ReadFailed`.

    Parameters
    ----------
    acknowledged
        Number of the last end that is kept.
    lease_until
        Time on the backend server's clock; ``None`` renews nothing.
    wait
        How long the backend server waits for an end, in seconds.
    """

    server: BackendServerId
    address: str
    fence: int
    acknowledged: int
    lease_until: Seconds | None
    wait: Seconds


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Replaces the link to a peer by a new connection."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class AbandonRequests:
    """Ends every wait for a reply from an instance that counts as lost."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Writes one key=value log line."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Observe:
    """Adds a duration in seconds to a histogram."""

    metric: str
    seconds: Seconds
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Count:
    """Adds to a counter metric."""

    metric: str
    labels: dict[str, str] = field(default_factory=dict)
    value: float = 1.0


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
)
