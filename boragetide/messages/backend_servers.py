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
    """A backend server announces itself or renews its announcement.

    Answered with `LeaseGranted` or `LeaseRefused`.

    Parameters
    ----------
    lease
        Newest lease token that the backend server holds; empty if it holds none,
        ``None`` if the announcement does not include one.
    fence
        Whether to grant a lease even if the receiving instance is not the placer, so
        that the backend server rejects dispatches under its previous lease.
    """

    server: BackendServer
    lease: str | None = None
    fence: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Leases a backend server to the placer of its zone.

    Parameters
    ----------
    lease
        Token that each dispatch to the backend server carries.
    holder, holder_address
        Instance that may dispatch to the backend server, and its HTTP address, to which
        the backend server sends renewals.
    renew_every, expires_after
        Renewal interval and lifetime of the lease, in seconds.
    """

    lease: str
    holder: InstanceId
    holder_address: str
    renew_every: Seconds
    expires_after: Seconds


@dataclass(frozen=True, slots=True)
class LeaseRefused:
    """The instance is not the placer of the backend server's zone."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlacerChanged:
    """The placer of this instance's zone changed to another instance or to none."""

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
    """Removes the queued tasks of a job and cancels its running tasks."""

    job_id: JobId


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A backend server reports the end of a task.

    Parameters
    ----------
    server, lease, task_id
        Identify the dispatch that the report belongs to.
    outcome
        How the task ended.
    seconds
        Run time measured by the backend server, if it is reported.
    """

    server: BackendServerId
    lease: str
    task_id: TaskId
    outcome: TaskOutcome
    seconds: Seconds | None = None


@dataclass(frozen=True, slots=True)
class ListBackendServers(Request):
    """Asks for the backend servers leased to this placer."""


@dataclass(frozen=True, slots=True)
class BackendServerList:
    """Backend servers and their state, as plain records shown to operators."""

    servers: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class DescribePool(Request):
    """Asks for the load of this instance's pool; answered with `PoolDescription`."""


@dataclass(frozen=True, slots=True)
class PoolDescription:
    """Size and load of the pool whose placer this instance is."""

    backend_servers: int
    slots: int
    running_tasks: int
    queued_jobs: int
    queued_tasks: int
