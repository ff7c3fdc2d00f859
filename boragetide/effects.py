"""What a controller asks its runtime to do, in the order returned."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

from boragetide.types import (
    Address,
    BackendServerId,
    InstanceId,
    ReplyTo,
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
    | Reconnect
    | AbandonRequests
    | LogEvent
    | Count
)
