"""Messages to the controller ``dispatcher`` from backend servers and from the log."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from boragetide.commands import Command
from boragetide.durable import (
    JobRecord,
    ListedEnd,
    ListedRun,
    ServerReport,
    TaskRef,
    UnansweredStart,
)
from boragetide.messages.common import Request
from boragetide.types import (
    BackendServerId,
    InstanceId,
    JobId,
    Seconds,
)


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
    is_partial
        Whether more ends may follow once these are acknowledged. A run that is in
        neither list may have ended.
    fenced
        Whether the backend server has seen a higher fencing token; if so, the fields
        that it fills in are not set.
    target_born
        Start of the process that the request was meant for, or 0 if it was not known.
    waited
        Whether the backend server was allowed to wait for the end of a run, so that the
        answer shows no response time.
    late
        Whether the request has been found unanswered before, so that a newer one may
        have been sent.
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
    is_partial: bool = False
    fenced: bool = False
    target_born: int = 0
    waited: bool = True
    late: bool = False


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
    sent_at
        Time at which the request was sent, by the clock of this instance, if known.
    """

    server: BackendServerId
    term: int
    other_life: bool = False
    target_born: int = 0
    sent_at: Seconds | None = None
