"""Entries of the replicated log, the state they result in, and what members store."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.commands import ChangeMembers, Command, Outcome, Proposal
from boragetide.durable import JobRecord, UnansweredStart
from boragetide.types import (
    BackendServerId,
    Configuration,
    InstanceId,
    JobId,
    Seconds,
    ZoneId,
)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log; a new leader's first entry has no proposal."""

    index: int
    term: int
    accepted_at: Seconds
    proposal: Proposal | None = None

    @property
    def changes_members(self) -> bool:
        """Whether the entry is a `ChangeMembers`."""
        proposal = self.proposal
        return proposal is not None and isinstance(proposal.command, ChangeMembers)


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted operator command and the configuration version it created."""

    version: int
    command_id: str
    command: Command
    accepted_at: Seconds


@dataclass(slots=True)
class Catalogue:
    """State that results from applying the replicated log.

    Parameters
    ----------
    index
        Index of the last log entry applied.
    configuration
        Its version increases by one with each accepted operator command.
    outcomes_by_id
        Outcomes of operator commands by command id, oldest first.
    history
        Accepted operator commands, oldest first.
    acceptors_by_id
        Incarnation in which each instance first became an acceptor.
    jobs_by_id
        Durable jobs, oldest first.
    members
        Members of the log; empty while the members named in the settings apply.
    server_born_by_id
        Backend servers on which runs may be in progress, with the start of the process
        in Unix milliseconds.
    unanswered_starts
        Starts that silent backend servers may still carry out.
    cancelled_at_by_job
        Jobs that were cancelled while the log did not know them, with the Unix time,
        oldest first.
    transferred_by_group, adopted_by_group
        Sequence number of the last job that was transferred to each other group, and of
        the last one that was taken over from it.
    order_by_zone
        Number of zone commands applied for each zone, with those that changed nothing.
    """

    index: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    outcomes_by_id: dict[str, Outcome] = field(default_factory=dict)
    history: list[HistoryEntry] = field(default_factory=list)
    acceptors_by_id: dict[InstanceId, int] = field(default_factory=dict)
    jobs_by_id: dict[JobId, JobRecord] = field(default_factory=dict)
    members: tuple[InstanceId, ...] = ()
    server_born_by_id: dict[BackendServerId, int] = field(default_factory=dict)
    unanswered_starts: tuple[UnansweredStart, ...] = ()
    cancelled_at_by_job: dict[JobId, Seconds] = field(default_factory=dict)
    transferred_by_group: dict[int, int] = field(default_factory=dict)
    adopted_by_group: dict[int, int] = field(default_factory=dict)
    order_by_zone: dict[ZoneId, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ballot:
    """Election state that a member must persist.

    Parameters
    ----------
    term, voted_for
        Newest term seen, and the candidate that this member voted for in that term.
    fences_by_id
        Members that lost their disk, with the incarnation in which they rejoined:
        votes and acknowledgements of earlier incarnations no longer count.
    founders_by_id
        Incarnations of the members that formed the log together with this one.
    """

    term: int = 0
    voted_for: InstanceId | None = None
    fences_by_id: dict[InstanceId, int] = field(default_factory=dict)
    founders_by_id: dict[InstanceId, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CommitIndex:
    """All entries up to this index are in force and stay so after a restart."""

    index: int


@dataclass(frozen=True, slots=True)
class FetchedConfiguration:
    """A configuration fetched from a peer that is newer than the member's own log."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Complete durable state of a member.

    Parameters
    ----------
    ballot, commit, catalogue
        Election state, commit index and applied state of the member.
    log_start, log_start_term
        Index and term of the entry before the first one of ``entries``.
    entries
        Log entries that a lagging member may still need.
    fetched
        Newest configuration fetched from a peer, if any.
    floor
        Entries up to this index may have been in force before the disk was lost, so
        the member puts no older state in force.
    """

    ballot: Ballot
    commit: int
    catalogue: Catalogue
    log_start: int
    log_start_term: int
    entries: tuple[LogEntry, ...]
    fetched: Configuration | None = None
    floor: int = 0


RECORD_TYPES = (LogEntry, Ballot, CommitIndex, FetchedConfiguration, Snapshot)
