"""Requests about durable jobs, and the answers of the controller ``dispatcher``."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

from boragetide.durable import (
    DurableJob,
)
from boragetide.messages.common import Request, add_arrival_time
from boragetide.types import (
    BackendServerId,
    ClassName,
    GroupId,
    InstanceId,
    JobId,
    PoolName,
    Seconds,
)


class ReplyStatus(StrEnum):
    """Status of the dispatcher's answer to a request about durable jobs."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # the job was not stored and never runs
    FOUND = "found"
    NOT_FOUND = "not_found"
    NOT_LEADER = "not_leader"  # nothing was done; ask again, maybe another instance
    TRANSFERRED = "transferred"  # nothing was done; ask the group that has the job
    UNDECIDED = "undecided"  # the job may have been stored or may have run


@dataclass(frozen=True, slots=True)
class StepExplanation:
    """Where the tasks of a step would start now.

    Parameters
    ----------
    count
        Number of tasks.
    tasks_by_server
        Number of tasks that would start on each backend server.
    servers_by_reason
        Number of backend servers of the pool by the reason why they take no further
        task; empty if all tasks would start.
    waits_for
        Positions of the steps whose tasks must be done first.
    """

    count: int
    tasks_by_server: dict[BackendServerId, int] = field(default_factory=dict)
    servers_by_reason: dict[str, int] = field(default_factory=dict)
    waits_for: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """Where a job would be placed now, if it were submitted.

    Parameters
    ----------
    can_start
        Whether the leader starts tasks at this moment.
    slack
        Seconds by which the job can start later and be in time by its declaration.
    jobs_ahead
        Number of waiting jobs that would be considered first.
    """

    pool: PoolName
    can_start: bool
    slack: Seconds
    jobs_ahead: int
    steps: tuple[StepExplanation, ...]


@dataclass(frozen=True, slots=True)
class DispatcherReply:
    """Answer to a request about durable jobs.

    Parameters
    ----------
    state
        ``queued``, ``running`` or the phase in which the job ended.
    count
        Number of waiting jobs, in the answer to `CountWaiting`.
    reason
        Why the job was refused.
    retry_after
        Seconds after which a refused job may be submitted again.
    term
        Term of the leader that answers; 0 if the next leader is to be asked.
    group, transfers
        Group that has a transferred job, and the ``transfers`` of the request to it.
    explanation
        Answer to `ExplainDurableJob`.
    """

    status: ReplyStatus
    state: str = ""
    count: int = 0
    reason: str = ""
    retry_after: Seconds = 0.0
    term: int = 0
    group: GroupId = 0
    transfers: int = 0
    explanation: JobExplanation | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest(Request):
    """Request about one job, which is sent to the leader of the job's group.

    Parameters
    ----------
    transfers
        The ``transfers`` of the note that directed the request to the group that is
        asked; 0 if the request goes to the home group of the job.
    """

    transfers: int = 0


@dataclass(frozen=True, slots=True)
class SubmitDurableJob(JobRequest):
    """Asks for a job to be stored and run; answered with `DispatcherReply`.

    The clocks of two instances may differ by seconds, so the message carries the age
    of the job; times by the sender's clock are not compared with the receiver's.

    Parameters
    ----------
    age
        Seconds from the arrival of the job at the sender until this message was sent.
    submitted_at
        Time by the receiver's clock at or before which the job arrived at the sender;
        ``None`` if the sender does not know the receiver's clock.
    attempt
        Number of this message among the copies that the sender has sent, from 1.
    directed_age
        Seconds from the request to the group that directed the sender to this one until
        this message was sent; 0 in the home group.
    arrived_at
        Arrival time of this message, by the receiver's clock.
    term
        Term of the leader that the sender asks; 0 if any leader may answer. The leader
        of another term does nothing, so that a refusal concerns all copies that were
        sent to the leader that gave it.
    """

    job: DurableJob
    age: Seconds = 0.0
    submitted_at: Seconds | None = None
    attempt: int = 1
    directed_age: Seconds = 0.0
    arrived_at: Seconds | None = None
    term: int = 0

    def transit(self, now: Seconds) -> Seconds | None:
        """Return the time from sending to arrival, or ``None`` if it is not known.

        It includes the waiting time in the sender's link and in the connection.
        """
        if self.submitted_at is None:
            return None
        arrived_at = now if self.arrived_at is None else self.arrived_at
        return arrived_at - self.submitted_at - self.age

    def delivery_time(self, now: Seconds) -> Seconds:
        """Return the time from sending until ``now``, as far as it is known."""
        return (self.transit(now) or 0.0) + self.mailbox_wait(now)

    def mailbox_wait(self, now: Seconds) -> Seconds:
        """Return the time from arrival until ``now``, when the message is handled."""
        return 0.0 if self.arrived_at is None else now - self.arrived_at


@add_arrival_time.register
def _(message: SubmitDurableJob, now: Seconds) -> SubmitDurableJob:
    return replace(message, arrived_at=now)


@dataclass(frozen=True, slots=True)
class LookUpDurableJob(JobRequest):
    """Asks for the state of a job; answered with `DispatcherReply`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class CancelDurableJob(JobRequest):
    """Asks for a job to be cancelled; answered once the cancellation is stored."""

    id: JobId


@dataclass(frozen=True, slots=True)
class WithdrawSubmissions:
    """No caller at an instance waits for a best-effort job any more; not answered.

    The job is cancelled unless it was submitted later or callers at other instances
    wait for it.

    Parameters
    ----------
    sender
        The instance.
    withdrawn_at
        Time by the receiver's clock at or before which the last caller left; ``None``
        if the sender does not know the receiver's clock.
    """

    id: JobId
    sender: InstanceId
    withdrawn_at: Seconds | None = None


@dataclass(frozen=True, slots=True)
class ExplainDurableJob(JobRequest):
    """Asks where a job would be placed now; the job is not submitted."""

    job: DurableJob


@dataclass(frozen=True, slots=True)
class CountWaiting(Request):
    """Asks how many jobs of a class have not started any task."""

    class_name: ClassName
