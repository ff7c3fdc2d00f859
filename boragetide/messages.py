"""Messages between controllers, on one instance or between instances.

A message that expects a reply derives from `Request`; the runtime fills in
``reply_to`` when the message is asked rather than sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from boragetide.commands import (
    Catalogue,
    Command,
    CommandStatus,
    HistoryEntry,
    LogEntry,
    Outcome,
    Proposal,
    Snapshot,
)
from boragetide.types import (
    Answer,
    BackendServer,
    BackendServerId,
    Claim,
    ClassName,
    Configuration,
    InstanceId,
    JobId,
    ReplyTo,
    Seconds,
    Submission,
    Task,
    TaskId,
    TaskOutcome,
    ZoneId,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A message that is answered with a `Reply` effect."""

    reply_to: ReplyTo | None = None


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic wake-up of a controller, so that timers are its own decisions."""


@dataclass(frozen=True, slots=True)
class WokeUp:
    """The process did not run between ``asleep_since`` and now."""

    asleep_since: Seconds


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop began: take nothing new, finish what is in progress."""


@dataclass(frozen=True, slots=True)
class Drain(Request):
    """Asks a controller of a stopping instance what it still has to finish."""


@dataclass(frozen=True, slots=True)
class DrainState:
    """Number of pieces of work that a controller must finish before the exit."""

    remaining: int


# Controller ``jobs``.


@dataclass(frozen=True, slots=True)
class SubmitJob(Request):
    """Runs a job under a decided claim, or joins it; answered with `JobAnswer`."""

    submission: Submission
    claim: Claim


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Final answer of a job; ``refused_for`` names why it was not admitted."""

    answer: Answer
    refused_for: str | None = None


@dataclass(frozen=True, slots=True)
class LookUpJob(Request):
    """Asks the owner for a job; answered with `JobState`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class CancelJob(Request):
    """Cancels a job at its owner; answered with `JobState`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class JobState:
    """State of a job at its owner; ``answer`` is set once it has ended."""

    id: JobId
    state: str
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class TasksQueued:
    """The pool took the tasks of a job."""

    job_id: JobId


@dataclass(frozen=True, slots=True)
class TasksRefused:
    """The pool refused a job; none of its tasks started."""

    job_id: JobId
    reason: str


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task ended, or will never start."""

    job_id: JobId
    index: int
    outcome: TaskOutcome


# Controller ``claims``.


class ClaimStatus(StrEnum):
    """What an acceptor says of a claim request."""

    GRANTED = "granted"
    HELD = "held"
    INCOMPLETE = "incomplete"


@dataclass(frozen=True, slots=True)
class ClaimRequest(Request):
    """Asks an acceptor to hold a claim; answered with `ClaimReply`."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class LookUpClaim(Request):
    """Asks an acceptor what it holds for an id; answered with `ClaimReply`."""

    id: JobId


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """An acceptor's answer; ``claim`` is what it holds, if anything."""

    status: ClaimStatus
    claim: Claim | None = None


@dataclass(frozen=True, slots=True)
class AcceptorRegistered:
    """Tells whether this instance was never an acceptor before this incarnation."""

    first: bool


# Controller ``backend_servers``.


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


# Controller ``instances``.


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that an instance lives and what it has heard.

    Parameters
    ----------
    in_service_since
        Unix time in milliseconds; the longest in service of a zone is its placer.
    sequence
        Counts this sender's heartbeats.
    echo
        Last sequence number that the sender heard from the receiver.
    """

    instance: InstanceId
    zone: ZoneId
    incarnation: int
    in_service_since: int
    sequence: int
    echo: int
    configuration_version: int
    backend_servers: int
    stopping: bool = False


@dataclass(frozen=True, slots=True)
class ChoosePlacer(Request):
    """Asks for the placer of a zone; answered with `PlacerChosen`.

    Parameters
    ----------
    for_jobs
        Whether another zone's placer may be chosen where this zone has no backend
        servers; announcements always go to the zone's own placer.
    """

    zone: ZoneId
    for_jobs: bool = True


@dataclass(frozen=True, slots=True)
class PlacerChosen:
    """The placer for a zone, or ``None`` where no instance qualifies."""

    placer: InstanceId | None
    incarnation: int
    candidates: int
    reason: str


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Number of live backend servers this instance leases."""

    backend_servers: int


@dataclass(frozen=True, slots=True)
class Flush(Request):
    """Answered with `Flushed` once the peers have read all that was sent before."""


@dataclass(frozen=True, slots=True)
class Flushed:
    """Every live peer has read what this instance had sent."""


@dataclass(frozen=True, slots=True)
class ListInstances(Request):
    """Asks for this instance's view of all instances."""


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The instances that one instance sees, as plain records for operators."""

    instances: tuple[dict[str, Any], ...]


# Controller ``configuration``.


@dataclass(frozen=True, slots=True)
class FetchConfiguration(Request):
    """Asks for the configuration in force; answered with `ConfigurationChanged`."""


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The configuration in force on this instance; a default before there is one."""

    configuration: Configuration
    in_force: bool = True


@dataclass(frozen=True, slots=True)
class ListHistory(Request):
    """Asks for the newest accepted commands; answered with `History`."""

    limit: int


@dataclass(frozen=True, slots=True)
class History:
    """Accepted commands up to a version, newest first."""

    version: int
    entries: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class Propose(Request):
    """Asks the local controller for the outcome of a command.

    Answered with `CommandOutcome`. A controller that sends `RegisterAcceptor` without
    a ``reply_to`` gets `AcceptorRegistered` in the ``claims`` mailbox.

    Parameters
    ----------
    command
        What to change.
    command_id
        Identity of an operator command, kept when it is resent.
    expected_version
        Version that an operator command is to change.
    """

    command: Command
    command_id: str = ""
    expected_version: int | None = None


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """Outcome of a command; ``first`` is that of `RegisterAcceptor`."""

    status: CommandStatus
    version: int
    first: bool = False


@dataclass(frozen=True, slots=True)
class ForwardProposal:
    """Hands a command to a member; ``sender`` waits for `ProposalDecided`."""

    proposal: Proposal
    sender: InstanceId
    to_leader: bool = False


@dataclass(frozen=True, slots=True)
class ProposalDecided:
    """A command has this outcome, permanently."""

    command_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Asks a member for its vote; a pre-vote binds nobody."""

    term: int
    candidate: InstanceId
    last_index: int
    last_term: int
    preliminary: bool
    incarnation: int


@dataclass(frozen=True, slots=True)
class VoteReply:
    """A member's answer to `RequestVote`.

    Parameters
    ----------
    term
        Term of the voter.
    requested_term, preliminary, for_incarnation
        Which request of which process is answered.
    voter, incarnation
        The member and its process.
    granted
        Whether it votes for the candidate.
    fences_by_id
        See `Ballot`.
    """

    term: int
    requested_term: int
    preliminary: bool
    for_incarnation: int
    voter: InstanceId
    incarnation: int
    granted: bool
    fences_by_id: dict[InstanceId, int]


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """The leader's log after ``previous_index``, which must match; also a heartbeat."""

    term: int
    leader: InstanceId
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """A member's answer to `AppendEntries` or `InstallSnapshot`.

    Parameters
    ----------
    term
        Term of the member.
    member, incarnation
        The member and its process.
    matched
        Whether the member's log now equals the leader's up to ``index``.
    index
        Otherwise the last entry at which the logs may still be equal.
    fences_by_id
        See `Ballot`.
    """

    term: int
    member: InstanceId
    incarnation: int
    matched: bool
    index: int
    fences_by_id: dict[InstanceId, int]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replaces the log of a member that lags behind the leader's log."""

    term: int
    leader: InstanceId
    catalogue: Catalogue
    catalogue_term: int


@dataclass(frozen=True, slots=True)
class RequestCatchUp:
    """A member without its disk asks for everything another member holds."""

    sender: InstanceId
    incarnation: int


@dataclass(frozen=True, slots=True)
class CatchUpState:
    """All state of a member; ``None`` says that it has no durable state either."""

    sender: InstanceId
    sender_incarnation: int
    for_incarnation: int
    held: Snapshot | None


@dataclass(frozen=True, slots=True)
class NewerConfiguration:
    """The heartbeat of an instance shows a newer version than the one in force."""

    instance: InstanceId
    version: int


@dataclass(frozen=True, slots=True)
class RequestConfiguration:
    """Asks the controller of a peer for its configuration in force."""

    sender: InstanceId


@dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """The configuration in force at a peer, if it has one."""

    sender: InstanceId
    configuration: Configuration | None
