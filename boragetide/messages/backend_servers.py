"""Messages of the controller ``backend_servers``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from boragetide.messages.common import Request
from boragetide.types import (
    BackendServer,
    BackendServerId,
    ClassName,
    InstanceId,
    JobId,
    Seconds,
    Task,
    TaskId,
    TaskOutcome,
)


@dataclass(frozen=True, slots=True)
class AnnounceBackendServer(Request):
    """A backend server announced or renewed itself.

    Answered with `LeaseGranted` or `LeaseRefused`.

    Parameters
    ----------
    lease
        Newest lease that the backend server holds, empty if it holds none, ``None`` if
        it does not say.
    fence
        Grants a lease even on an instance that is not the placer, so that the backend
        server accepts nothing under the lease it held before.
    """

    server: BackendServer
    lease: str | None = None
    fence: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Lease of a backend server to the placer of its zone.

    Parameters
    ----------
    lease
        Token that each dispatch to the backend server carries.
    holder, holder_address
        The instance that may dispatch, and its HTTP address for renewals.
    renew_every, expires_after
        Seconds.
    """

    lease: str
    holder: InstanceId
    holder_address: str
    renew_every: Seconds
    expires_after: Seconds


@dataclass(frozen=True, slots=True)
class LeaseRefused:
    """The instance does not place for the zone of the backend server."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlacerChanged:
    """Another instance, or none, now has the placer role of this instance's zone."""

    placer: InstanceId | None


@dataclass(frozen=True, slots=True)
class QueueTasks:
    """Queues the tasks of a job; answered with `TasksQueued` or `TasksRefused`."""

    job_id: JobId
    class_name: ClassName
    tasks: tuple[Task, ...]
    idempotent: bool
    team: str = ""


@dataclass(frozen=True, slots=True)
class CancelQueued:
    """Drops the queued tasks of a job and cancels those that run."""

    job_id: JobId


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A backend server reported the end of a task.

    Parameters
    ----------
    server, lease, task_id
        Which dispatch the report belongs to.
    outcome
        How the task ended.
    seconds
        Run time that the backend server measured, if it said so.
    """

    server: BackendServerId
    lease: str
    task_id: TaskId
    outcome: TaskOutcome
    seconds: Seconds | None = None


@dataclass(frozen=True, slots=True)
class ListBackendServers(Request):
    """Asks for the backend servers this placer leases."""


@dataclass(frozen=True, slots=True)
class BackendServerList:
    """Backend servers with their state, as plain records for operators."""

    servers: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class DescribePool(Request):
    """Asks how busy the pool of this instance is; answered with `PoolDescription`."""


@dataclass(frozen=True, slots=True)
class PoolDescription:
    """Sizes of the pool that one instance places for."""

    backend_servers: int
    slots: int
    running_tasks: int
    queued_jobs: int
    queued_tasks: int
