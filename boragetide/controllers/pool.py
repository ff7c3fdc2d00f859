"""State of the pool that this instance places for."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.messages import QueueTasks
from boragetide.settings import Settings
from boragetide.types import (
    BackendServer,
    BackendServerId,
    Configuration,
    JobId,
    Seconds,
    Task,
    TaskId,
)


@dataclass(slots=True)
class LeasedServer:
    """A backend server under this instance's lease."""

    server: BackendServer
    lease: str
    renewed_at: Seconds
    running_by_id: dict[TaskId, RunningTask] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that was dispatched."""

    job_id: JobId
    index: int
    task: Task
    started_at: Seconds


@dataclass(slots=True)
class QueuedJob:
    """The tasks of a job that wait for a slot, by position; longest first."""

    queued: QueueTasks
    queued_at: Seconds
    waiting: list[int]


@dataclass(slots=True)
class BackendServersState:
    """The pool of one placer."""

    settings: Settings
    incarnation: int
    servers_by_id: dict[BackendServerId, LeasedServer] = field(default_factory=dict)
    jobs_by_id: dict[JobId, QueuedJob] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    leases: int = 0
    stopping: bool = False
