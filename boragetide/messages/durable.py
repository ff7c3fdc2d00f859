"""Messages of the controllers ``dispatcher`` and ``directory``."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from boragetide.commands import Command
from boragetide.durable import DurableJob, JobRecord, ListedEnd, ListedRun, ServerReport
from boragetide.messages.common import Request, add_arrival_time
from boragetide.types import (
    BackendServerId,
    ClassName,
    Configuration,
    InstanceId,
    JobId,
    Seconds,
)


class ReplyStatus(StrEnum):
    """Status of the dispatcher's answer to a request about durable jobs."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # the job was not stored and never runs
    FOUND = "found"
    NOT_FOUND = "not_found"
    NOT_LEADER = "not_leader"  # nothing was done; ask another instance
    UNDECIDED = "undecided"  # the job may have been stored; ask the next leader


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
        Term of the leader that answers.
    """

    status: ReplyStatus
    state: str = ""
    count: int = 0
    reason: str = ""
    retry_after: Seconds = 0.0
    term: int = 0


@dataclass(frozen=True, slots=True)
class SubmitDurableJob(Request):
    """Asks for a job to be stored and run; answered with `DispatcherReply`.

    The clocks of two instances may differ by seconds, so the message carries the age
    of the job; times by the sender's clock are not compared with the receiver's.

    Parameters
    ----------
    age
        Seconds from the arrival of the job at the sender until this message was sent.
    arrived_at
        Arrival time of this message, by the receiver's clock.
    """

    job: DurableJob
    age: Seconds = 0.0
    arrived_at: Seconds | None = None


@add_arrival_time.register
def _(message: SubmitDurableJob, now: Seconds) -> SubmitDurableJob:
    return replace(message, arrived_at=now)


@dataclass(frozen=True, slots=True)
class LookUpDurableJob(Request):
    """Asks for the state of a job; answered with `DispatcherReply`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class CancelDurableJob(Request):
    """Asks for a job to be cancelled; answered once the cancellation is stored."""

    id: JobId


@dataclass(frozen=True, slots=True)
class CountWaiting(Request):
    """Asks how many jobs of a class have not started any task."""

    class_name: ClassName


@dataclass(frozen=True, slots=True)
class ReportServer(Request):
    """Delivers the announcement of a backend server; answered with `ServerReported`.

    Parameters
    ----------
    passed_on
        Whether another member forwarded the announcement.
    """

    report: ServerReport
    passed_on: bool = False


@dataclass(frozen=True, slots=True)
class ServerReported:
    """The announcement was recorded; ``by_leader`` if the leader has recorded it."""

    by_leader: bool


@dataclass(frozen=True, slots=True)
class RemoveServer(Request):
    """Removes a backend server that is shutting down.

    Answered with `ServerReported`.
    """

    id: BackendServerId
    born: int = 0
    passed_on: bool = False


@dataclass(frozen=True, slots=True)
class AppendCommands:
    """Asks the local log to append commands, as the leader of ``term``.

    Parameters
    ----------
    commands_by_id
        Commands by the id that `JobsCommitted` refers to.
    """

    term: int
    commands_by_id: dict[str, Command]


@dataclass(frozen=True, slots=True)
class JobsCommitted:
    """Commands were applied; ``records`` are the jobs that they changed."""

    command_ids: tuple[str, ...]
    records: tuple[JobRecord, ...]


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """The instance leads ``term`` and has applied all entries committed before.

    Parameters
    ----------
    records
        Durable jobs in the replicated log.
    authority_until
        Time before which no other instance can become leader.
    predecessor_until
        Time after which no earlier leader sends orders to backend servers.
    missed_predecessor
        Whether announcements that an earlier leader passed on may not have arrived.
    """

    term: int
    records: tuple[JobRecord, ...]
    authority_until: Seconds
    predecessor_until: Seconds
    missed_predecessor: bool = False


@dataclass(frozen=True, slots=True)
class AuthorityExtended:
    """No other instance can become leader before ``authority_until``."""

    authority_until: Seconds


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The instance is no longer the leader."""


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members of the log changed.

    Announcements of backend servers are forwarded to all members.
    """

    members: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class RunsRead:
    """Answer of a backend server to `ReadRuns`.

    Parameters
    ----------
    sent_at
        Time at which the request was sent, by the clock of this instance.
    clock
        Monotonic clock of the backend server, in seconds.
    born
        Unix time of the backend server's start, in milliseconds.
    fenced
        Whether the backend server has seen a higher fencing token; if so, the fields
        other than ``server``, ``term`` and ``sent_at`` are not set.
    """

    server: BackendServerId
    term: int
    sent_at: Seconds
    clock: Seconds = 0.0
    born: int = 0
    running: tuple[ListedRun, ...] = ()
    ended: tuple[ListedEnd, ...] = ()
    fenced: bool = False


class OrderResult(StrEnum):
    """Answer of a backend server to an order, a request to start or stop a run."""

    DONE = "done"
    FENCED = "fenced"  # the backend server has had orders from a newer leader
    OLD_RUN = "old_run"  # a run with the same or a higher number ended or was stopped
    LATE = "late"  # the lease had expired when the order arrived
    NO_ROOM = "no_room"
    REJECTED = "rejected"  # the backend server considers the order invalid
    UNHEALTHY = "unhealthy"  # nothing was done
    OTHER_LIFE = "other_life"  # another backend server answered at this address
    UNANSWERED = "unanswered"  # the order may have been or may still be executed


@dataclass(frozen=True, slots=True)
class RunOrdered:
    """Result of a `StartRun` or `StopRun`.

    Parameters
    ----------
    task
        Number of the task over all steps of its job.
    started
        Whether the order was a `StartRun`.
    clock
        Monotonic clock of the backend server, in seconds, if it answered.
    sent_at
        Time at which the order was sent, by the clock of this instance.
    """

    server: BackendServerId
    term: int
    job_id: JobId
    task: int
    run: int
    result: OrderResult
    started: bool
    clock: Seconds | None = None
    sent_at: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """A `ReadRuns` got no valid answer.

    Parameters
    ----------
    other_life
        Whether another backend server answered at the address.
    """

    server: BackendServerId
    term: int
    other_life: bool = False


@dataclass(frozen=True, slots=True)
class FollowLeader:
    """Asks a member for the leader and the configuration in force.

    Sent by an instance that has no replicated log.

    Parameters
    ----------
    version
        Version of the configuration that the sender has, or -1.
    waits
        How long the sender has been waiting for an answer, in seconds.
    """

    sender: InstanceId
    version: int
    waits: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Answer of a member to `FollowLeader`; also sent when the configuration changes.

    Parameters
    ----------
    sender
        The member.
    term, leader
        Newest term that the member knows, and the leader of that term, if known.
    members
        All members of the log.
    configuration
        Configuration in force, if the sender is the leader and the receiver has an
        older one.
    """

    sender: InstanceId
    term: int
    leader: InstanceId | None
    members: tuple[InstanceId, ...]
    configuration: Configuration | None = None


@dataclass(frozen=True, slots=True)
class FindLeader(Request):
    """Asks the local directory for the leader; answered with `LeaderFound`."""


@dataclass(frozen=True, slots=True)
class LeaderFound:
    """The leader, if there was recent contact, and the configuration in force here.

    Parameters
    ----------
    ready
        Whether requests can be served.
    lost_for
        Seconds since the last contact with a leader.
    term
        Term of the leader.
    """

    leader: InstanceId | None
    configuration: Configuration | None
    ready: bool
    lost_for: Seconds = 0.0
    term: int = 0


@dataclass(frozen=True, slots=True)
class ContactsChanged:
    """The instances to ask for the leader have changed in the settings."""

    contacts: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class ReadConfiguration(Request):
    """Asks for a linearizable read of the configuration.

    Answered with `ConfigurationRead`.
    """


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The newest configuration, or ``None`` if it may not be the newest.

    Parameters
    ----------
    leader
        Instance to ask instead, if known.
    """

    configuration: Configuration | None
    leader: InstanceId | None = None
