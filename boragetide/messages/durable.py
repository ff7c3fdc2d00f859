"""Messages of the controllers ``dispatcher`` and ``directory``."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

from boragetide.commands import Command
from boragetide.durable import (
    DurableJob,
    JobRecord,
    ListedEnd,
    ListedRun,
    ServerReport,
    TaskRef,
    UnansweredStart,
)
from boragetide.messages.common import Request, add_arrival_time
from boragetide.types import (
    BackendServerId,
    ClassName,
    Configuration,
    GroupId,
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
    NOT_LEADER = "not_leader"  # nothing was done; ask again, maybe another instance
    TRANSFERRED = "transferred"  # nothing was done; ask the group that has the job
    UNDECIDED = "undecided"  # the job may have been stored or may have run


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
    """

    status: ReplyStatus
    state: str = ""
    count: int = 0
    reason: str = ""
    retry_after: Seconds = 0.0
    term: int = 0
    group: GroupId = 0
    transfers: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest(Request):
    """Request about one job, which is sent to the leader of the job's group.

    Parameters
    ----------
    transfers
        How often the job had been transferred when it came to the group that is asked.
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
    age
        Seconds since the member that passes the announcement on heard it.
    heard_at
        Lower bound of the time at which an instance without the log heard the
        announcement, on the receiver's clock, if known.
    """

    report: ServerReport
    passed_on: bool = False
    age: Seconds = 0.0
    heard_at: Seconds | None = None

    def find_age(self, now: Seconds) -> Seconds:
        """Return an upper bound of the age of the announcement, in seconds."""
        on_way = 0.0 if self.heard_at is None else now - self.heard_at
        return max(self.age, on_way)


@dataclass(frozen=True, slots=True)
class ServerReported:
    """The announcement was recorded; ``by_leader`` if the leader has recorded it."""

    by_leader: bool


@dataclass(frozen=True, slots=True)
class RemoveServer(Request):
    """Removes a backend server that is shutting down.

    Answered with `ServerReported`.

    Parameters
    ----------
    born
        Unix time of the start of the process that is shutting down, in milliseconds; 0
        if it is not known. Its next process may have announced itself already.
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
    server_born_by_id, unanswered_starts, cancelled_at_by_job
        Registered backend servers, recorded starts and cancelled jobs; see `Catalogue`.
    """

    term: int
    records: tuple[JobRecord, ...]
    authority_until: Seconds
    predecessor_until: Seconds
    missed_predecessor: bool = False
    server_born_by_id: dict[BackendServerId, int] = field(default_factory=dict)
    unanswered_starts: tuple[UnansweredStart, ...] = ()
    cancelled_at_by_job: dict[JobId, Seconds] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AuthorityExtended:
    """No instance can become leader of a later term before ``authority_until``.

    Parameters
    ----------
    term
        Term that this instance leads.
    """

    term: int
    authority_until: Seconds


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The instance is no longer the leader."""


@dataclass(frozen=True, slots=True)
class AdmissionChanged:
    """The share of the submissions that the leader admits has changed."""

    share: float


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
    unreadable
        Tasks that are listed as running under a run number that cannot be read.
    acknowledge_until
        Number of the last end that may be acknowledged, because the number of the next
        one cannot be read; ``None`` if all could be read.
    fenced
        Whether the backend server has seen a higher fencing token; if so, the fields
        that it fills in are not set.
    target_born
        Start of the process that the request was meant for, or 0 if it was not known.
    """

    server: BackendServerId
    term: int
    sent_at: Seconds
    clock: Seconds = 0.0
    born: int = 0
    running: tuple[ListedRun, ...] = ()
    ended: tuple[ListedEnd, ...] = ()
    unreadable: tuple[TaskRef, ...] = ()
    acknowledge_until: int | None = None
    fenced: bool = False
    target_born: int = 0


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
    target_born
        Start of the process that the order was meant for, or 0 if it was not known.
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
    target_born: int = 0


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """A `ReadRuns` got no valid answer.

    Parameters
    ----------
    other_life
        Whether another backend server answered at the address.
    target_born
        Start of the process that the request was meant for, or 0 if it was not known.
    """

    server: BackendServerId
    term: int
    other_life: bool = False
    target_born: int = 0


@dataclass(frozen=True, slots=True)
class FollowLeader:
    """Asks a member for the leader and the configuration in force.

    Sent by an instance that has no replicated log. Other such instances are asked for
    the members only.

    Parameters
    ----------
    version
        Version of the configuration that the sender has, or -1.
    waits
        How long the sender has been waiting for an answer, in seconds.
    sent_at
        Time of sending, by the sender's clock.
    controller
        Controller of the sender to which the notice goes.
    """

    sender: InstanceId
    version: int
    waits: Seconds = 0.0
    sent_at: Seconds | None = None
    controller: str = "directory"


@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Answer of a member to `FollowLeader`; also sent when the configuration changes.

    Parameters
    ----------
    sender
        The member, or an instance without the log that names the members it knows.
    term, leader
        Newest term that the sender knows, and the leader of that term, if known.
    members
        All members of the log.
    configuration
        Configuration in force at the sender, if the receiver has an older one.
    has_authority
        Whether the sender is the leader and no other instance can be the leader yet.
    clock
        The sender's clock when it made the notice.
    asked_at
        ``sent_at`` of the `FollowLeader` that the notice answers, if any.
    admitted_share
        Share of the submissions that the sender admits, if it is the leader.
    version
        Version of the configuration in force at the sender, or -1. If the sender has
        authority, no newer one had been accepted at ``asked_at``.
    has_log
        Whether the sender has the log, or a disk for it.
    """

    sender: InstanceId
    term: int
    leader: InstanceId | None
    members: tuple[InstanceId, ...]
    configuration: Configuration | None = None
    has_authority: bool = False
    clock: Seconds | None = None
    asked_at: Seconds | None = None
    admitted_share: float = 1.0
    version: int = -1
    has_log: bool = True


@dataclass(frozen=True, slots=True)
class FindLeader(Request):
    """Asks the local directory for the leader; answered with `LeaderFound`."""


@dataclass(frozen=True, slots=True)
class LeaderFound:
    """The leader, if there was recent contact, and the configuration in force here.

    Parameters
    ----------
    leader
        ``None`` if no leader has been heard recently.
    ready
        Whether requests can be handled: there is a leader, and it has confirmed
        recently that ``configuration`` is the newest.
    lost_for
        Seconds since the time as of which a leader confirmed the configuration, or
        since another leader was found.
    term
        Term of the leader.
    clock_offset
        Lower bound of the leader's clock minus the clock of this instance, if known.
    is_confirmed
        Whether a leader has confirmed recently that ``configuration`` is the newest,
        whether or not that leader is still heard.
    """

    leader: InstanceId | None
    configuration: Configuration | None
    ready: bool
    lost_for: Seconds = 0.0
    term: int = 0
    clock_offset: Seconds | None = None
    is_confirmed: bool = False

    def to_leader_clock(self, when: Seconds) -> Seconds | None:
        """Return a lower bound of a time of this instance on the leader's clock."""
        return None if self.clock_offset is None else when + self.clock_offset


@dataclass(frozen=True, slots=True)
class AdmitSubmission(Request):
    """Asks the local directory whether a submission is in the share that is admitted.

    Answered with `AdmissionReply`.
    """

    job_id: JobId
    class_name: ClassName
    best_effort: bool


class Admission(StrEnum):
    """What to do with a submission."""

    ADMITTED = "admitted"  # send it to the leader
    REFUSED = "refused"  # the leader has confirmed that the job does not run
    UNDECIDED = "undecided"  # the leader has not answered


@dataclass(frozen=True, slots=True)
class AdmissionReply:
    """What to do with a submission.

    Parameters
    ----------
    retry_after
        Seconds after which the job may be submitted again if it is refused.
    """

    admission: Admission
    retry_after: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class RefuseSubmissions:
    """Asks the leader to confirm that jobs do not run by any submission of before.

    Answered with `SubmissionsRefused`.

    Parameters
    ----------
    number
        Number of the batch, which is repeated in the answer.
    """

    sender: InstanceId
    number: int
    job_ids: tuple[JobId, ...]


@dataclass(frozen=True, slots=True)
class SubmissionsRefused:
    """The leader has refused a batch of jobs, except those that it knows.

    Parameters
    ----------
    known_job_ids
        Jobs that run or may have run.
    """

    number: int
    known_job_ids: tuple[JobId, ...] = ()


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
