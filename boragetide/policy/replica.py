"""One member of the configuration group: its durable and its derived state."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import singledispatch
from typing import Any

from boragetide.commands import InternalCommand, Proposal, PublishConfiguration
from boragetide.durable import JobRecord
from boragetide.effects import Effect, Persist, SaveSnapshot
from boragetide.groups import find_rank
from boragetide.log_records import (
    Ballot,
    Catalogue,
    CommitIndex,
    FetchedConfiguration,
    LogEntry,
    Snapshot,
)
from boragetide.messages import CatchUpState
from boragetide.policy.catalogue import apply_entry, copy_catalogue
from boragetide.policy.link_health import LinkHealth
from boragetide.settings import Settings
from boragetide.types import Configuration, InstanceId, JobId, Seconds

# A leader counts as lost after at least this silence, which is twice the longest gap
# between its heartbeats.
ELECTION_MIN = 0.5  # seconds
ELECTION_MAX = 0.9  # seconds
# Election timeouts are shorter after a start: no leader is known then, and pre-votes
# protect a leader that exists.
FIRST_ELECTION_MIN = 0.1  # seconds
FIRST_ELECTION_MAX = 0.6  # seconds

SNAPSHOT_ENTRIES = 2048  # log entries applied between two snapshots
# Number of applied entries that stay in the log, so that a slow member needs no
# snapshot.
TRAILING_ENTRIES = 256
# A published configuration of 1,400 routes takes 0.75 MB in memory, with 0.27 MB of
# text. Without these bounds the log of a member would grow to 1.7 GB before a snapshot.
MAX_LOGGED_TEXT = 4 * 1024 * 1024  # characters of applied entries before a snapshot
MAX_TRAILING_TEXT = 1024 * 1024  # characters of the applied entries that stay

# For this time after the leader sent an append that a majority answered, no other
# instance can lead. Members grant no pre-vote for `ELECTION_MIN`; the difference allows
# for a clock that runs slow and for a vote that was in progress.
AUTHORITY_DURATION = 0.4  # seconds


class Role(StrEnum):
    """Role of a member; a blank member has no durable state and takes no part yet."""

    BLANK = "blank"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Progress:
    """Replication progress of a member, as known to the leader.

    Parameters
    ----------
    next_index
        Index of the first entry that was not sent yet.
    match_index
        Index of the last entry that the member has certainly synced.
    incarnation
        Incarnation of the member that acknowledged ``match_index``.
    heard_at
        Time at which the member last answered.
    answered_at
        Time at which the newest append that the member answered was sent.
    """

    next_index: int
    heard_at: Seconds
    match_index: int = 0
    incarnation: int = 0
    answered_at: Seconds = 0.0


@dataclass(slots=True)
class Replica:
    """State of one member.

    Parameters
    ----------
    ballot, log, log_start, log_start_term, commit, catalogue, fetched, floor
        Durable state; see `Snapshot`.
    leader, leader_heard_at
        Leader of the current term, if known, and the time at which it was last heard;
        on a leader, the time of its last append or tick.
    election_at
        Time at which this member stands for election unless it hears a leader.
    preliminary, votes_by_id
        Election in progress: whether it is a pre-vote, and the incarnations of the
        members that voted for this one.
    predecessor_until
        Time after which no earlier leader has authority, according to the voters.
    predecessor_heard_at
        Time at which this member itself last heard an earlier leader, as of its last
        election.
    progress_by_id, next_heartbeat, proposers_by_command
        State of a leader: progress of the other instances, time of the next heartbeat,
        and the instances that wait for the outcome of each command.
    learners_by_id
        State of a leader: instances that are not members but receive the log, with the
        time at which each last asked to join.
    catch_up_by_id, started_at, next_request, contacts
        State of a blank member: the newest answer of each other member, the time of the
        first request, the time of the next one, and the instances to ask besides the
        initial members.
    successor_ready_since
        State of a leader: time since which the preferred leader of the group, if it is
        another member, could take over.
    links
        Health of the links to the other members.
    logged_text
        Length of the published configurations in the log that were applied since the
        last snapshot or start, and of those that this snapshot kept.
    """

    settings: Settings
    incarnation: int
    role: Role = Role.BLANK
    ballot: Ballot = field(default_factory=Ballot)
    log: list[LogEntry] = field(default_factory=list)
    log_start: int = 0
    log_start_term: int = 0
    commit: int = 0
    catalogue: Catalogue = field(default_factory=Catalogue)
    fetched: Configuration | None = None
    floor: int = 0
    leader: InstanceId | None = None
    leader_heard_at: Seconds = 0.0
    election_at: Seconds | None = None
    preliminary: bool = True
    votes_by_id: dict[InstanceId, int] = field(default_factory=dict)
    predecessor_until: Seconds = 0.0
    predecessor_heard_at: Seconds = 0.0
    progress_by_id: dict[InstanceId, Progress] = field(default_factory=dict)
    next_heartbeat: Seconds = 0.0
    proposers_by_command: dict[str, set[InstanceId]] = field(default_factory=dict)
    learners_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)
    catch_up_by_id: dict[InstanceId, CatchUpState] = field(default_factory=dict)
    started_at: Seconds | None = None
    next_request: Seconds = 0.0
    contacts: set[InstanceId] = field(default_factory=set)
    successor_ready_since: Seconds | None = None
    links: LinkHealth = field(default_factory=LinkHealth)
    jitter: random.Random = field(default_factory=random.Random)
    logged_text: int = 0

    @property
    def id(self) -> InstanceId:
        """Id of this instance."""
        return self.settings.id

    @property
    def members(self) -> tuple[InstanceId, ...]:
        """Members according to the newest log entry, committed or not."""
        for entry in reversed(self.log[self.catalogue.index - self.log_start :]):
            if entry.changes_members:
                return entry.proposal.command.members
        return self.catalogue.members or self.settings.initial_members

    @property
    def is_member(self) -> bool:
        """Whether this instance is a member rather than a learner."""
        return self.id in self.members

    @property
    def others(self) -> tuple[InstanceId, ...]:
        """The other members."""
        return tuple(id_ for id_ in self.members if id_ != self.id)

    @property
    def quorum(self) -> int:
        """Number of members that form a majority."""
        return majority_size(len(self.members))

    @property
    def member_progress(self) -> list[Progress]:
        """Progress of the other members, on a leader."""
        others = self.others
        return [
            self.progress_by_id[id_] for id_ in others if id_ in self.progress_by_id
        ]

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self.log_start + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last log entry."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at ``index``, from ``log_start`` on."""
        if index == self.log_start:
            return self.log_start_term
        return self.log[index - self.log_start - 1].term

    @property
    def knows_committed(self) -> bool:
        """Whether this leader knows all that earlier leaders have committed.

        It does once an entry of its own term is committed.
        """
        if self.commit < self.log_start:
            return False
        return self.term_at(self.commit) == self.ballot.term

    @property
    def missed_predecessor(self) -> bool:
        """Whether another voter heard the earlier leader later than this member.

        Messages that the earlier leader sent to this member may then be lost.
        """
        last_sign_at = self.predecessor_until - AUTHORITY_DURATION
        return last_sign_at - self.predecessor_heard_at > ELECTION_MIN

    def leader_heard_ago(self, now: Seconds) -> Seconds:
        """Return for how many seconds no leader has been heard.

        Before this process has heard a leader, this is the time since the process
        started, which the incarnation gives in Unix milliseconds: an earlier process of
        this member acknowledged nothing after that.
        """
        return now - (self.leader_heard_at or self.incarnation / 1000)

    def authority_until(self, now: Seconds) -> Seconds:
        """Return the Unix time before which no other member can lead.

        The result is 0 if this member is not the leader.
        """
        if self.role is not Role.LEADER:
            return 0.0
        answered = [progress.answered_at for progress in self.member_progress]
        newest_first = sorted([*answered, now], reverse=True)
        return newest_first[self.quorum - 1] + AUTHORITY_DURATION


def has_authority(replica: Replica, now: Seconds) -> bool:
    """Return whether a member leads and knows all that any leader has committed."""
    is_leader = replica.role is Role.LEADER and now < replica.authority_until(now)
    return is_leader and replica.knows_committed


def majority_size(member_count: int) -> int:
    """Return the number of members that form a majority."""
    return member_count // 2 + 1


@singledispatch
def step(message: Any, replica: Replica, now: Seconds) -> list[Effect]:
    """Apply one message from another member."""
    raise TypeError(f"unsupported message between members: {message!r}")


def restore_replica(
    settings: Settings, incarnation: int, records: tuple[Any, ...]
) -> Replica:
    """Build a member from the records of its journal.

    A member whose journal has no ballot is blank.
    """
    replica = Replica(settings, incarnation, contacts=set(settings.contacts))
    for record in records:
        apply_record(record, replica)
    return replica


@singledispatch
def apply_record(record: Any, replica: Replica) -> None:
    """Apply one record of the journal."""
    raise TypeError(f"unsupported record of the configuration journal: {record!r}")


@apply_record.register
def _(record: Ballot, replica: Replica) -> None:
    replica.ballot = record
    replica.role = Role.FOLLOWER


@apply_record.register
def _(record: LogEntry, replica: Replica) -> None:
    truncate_and_append(replica, (record,))


@apply_record.register
def _(record: CommitIndex, replica: Replica) -> None:
    replica.commit = record.index


@apply_record.register
def _(record: FetchedConfiguration, replica: Replica) -> None:
    replica.fetched = record.configuration


@apply_record.register
def _(record: Snapshot, replica: Replica) -> None:
    replica.role = Role.FOLLOWER
    replica.ballot = record.ballot
    replica.commit = record.commit
    replica.catalogue = record.catalogue
    replica.log_start = record.log_start
    replica.log_start_term = record.log_start_term
    replica.log = list(record.entries)
    replica.fetched = record.fetched
    replica.floor = record.floor


def make_snapshot(replica: Replica) -> Snapshot:
    """Return the durable state of a member."""
    return Snapshot(
        ballot=replica.ballot,
        commit=replica.commit,
        catalogue=copy_catalogue(replica.catalogue),
        log_start=replica.log_start,
        log_start_term=replica.log_start_term,
        entries=tuple(replica.log),
        fetched=replica.fetched,
        floor=replica.floor,
    )


def truncate_and_append(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    """Replace all log entries from the index of the first new entry on."""
    del replica.log[entries[0].index - replica.log_start - 1 :]
    replica.log.extend(entries)


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of `apply_committed`.

    Parameters
    ----------
    proposals
        Commands that now have an outcome.
    jobs
        Durable jobs that changed.
    """

    proposals: tuple[Proposal, ...]
    jobs: tuple[JobRecord, ...]


def apply_committed(replica: Replica) -> Applied:
    """Apply the committed entries that are not applied yet."""
    entries = replica.log[
        replica.catalogue.index - replica.log_start : replica.commit - replica.log_start
    ]
    changed: dict[JobId, None] = {}
    for entry in entries:
        changed |= dict.fromkeys(apply_entry(entry, replica.catalogue))
        replica.logged_text += _measure_text(entry)
    jobs_by_id = replica.catalogue.jobs_by_id
    return Applied(
        tuple(entry.proposal for entry in entries if entry.proposal is not None),
        tuple(jobs_by_id[job_id] for job_id in changed if job_id in jobs_by_id),
    )


def is_commit_recoverable(replica: Replica, after: int) -> bool:
    """Return whether the commit of the entries after ``after`` needs no journal record.

    After a restart the member then does not know that these entries are committed.
    Durable jobs are read only from a leader, which determines again what is committed,
    and the members are those of the newest entry, committed or not. A configuration,
    however, is put in force by each instance without asking a leader, and must not be
    older after a restart, so the commit of commands other than `InternalCommand` is
    recorded.
    """
    entries = replica.log[
        after - replica.log_start : replica.commit - replica.log_start
    ]
    return all(
        entry.proposal is None or isinstance(entry.proposal.command, InternalCommand)
        for entry in entries
    )


def _measure_text(entry: LogEntry) -> int:
    """Return the length of the configuration that an entry publishes, or 0."""
    command = None if entry.proposal is None else entry.proposal.command
    return len(command.document) if isinstance(command, PublishConfiguration) else 0


def compact(replica: Replica) -> list[Effect]:
    """Replace the journal by a snapshot once enough is applied."""
    index = replica.catalogue.index
    has_many_entries = index - replica.log_start >= SNAPSHOT_ENTRIES + TRAILING_ENTRIES
    if not has_many_entries and replica.logged_text <= MAX_LOGGED_TEXT:
        return []
    start, replica.logged_text = _choose_log_start(replica)
    replica.log_start_term = replica.term_at(start)
    del replica.log[: start - replica.log_start]
    replica.log_start = start
    return [SaveSnapshot(make_snapshot(replica))]


def _choose_log_start(replica: Replica) -> tuple[int, int]:
    """Return the index after which entries stay, and the length of their text.

    The newest applied entry stays in any case.
    """
    index = replica.catalogue.index
    oldest = max(replica.log_start, index - TRAILING_ENTRIES)
    start, text = index, 0
    while start > oldest:
        added = _measure_text(replica.log[start - 1 - replica.log_start])
        if start < index and text + added > MAX_TRAILING_TEXT:
            break
        start, text = start - 1, text + added
    return start, text


def adopt_term(replica: Replica, term: int) -> list[Effect]:
    """Become a follower in a newer term, without a vote in that term."""
    if term <= replica.ballot.term:
        return []
    replica.ballot = replace(replica.ballot, term=term, voted_for=None)
    become_follower(replica, None)
    return [Persist((replica.ballot,))]


def become_follower(replica: Replica, leader: InstanceId | None) -> None:
    """Become a follower of ``leader``, which is ``None`` if the leader is unknown."""
    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.votes_by_id = {}
    replica.progress_by_id = {}
    replica.learners_by_id = {}
    replica.proposers_by_command = {}
    replica.successor_ready_since = None


def schedule_election(
    replica: Replica,
    now: Seconds,
    shortest: Seconds = ELECTION_MIN,
    longest: Seconds = ELECTION_MAX,
) -> None:
    """Choose a random time at which this member stands for election.

    With several groups, the time is taken from the part of the range that the member's
    rank selects, so that each group is led by another member.
    """
    if replica.settings.group_count > 1 and replica.is_member:
        part = (longest - shortest) / len(replica.members)
        rank = find_rank(replica.members, replica.settings.group, replica.id)
        shortest += rank * part
        longest = shortest + part
    replica.election_at = now + replica.jitter.uniform(shortest, longest)


def merge_fences(replica: Replica, fences_by_id: dict[InstanceId, int]) -> None:
    """Ignore what members voted and acknowledged before they lost their disk."""
    known = replica.ballot.fences_by_id
    newer = {i: at for i, at in fences_by_id.items() if at > known.get(i, 0)}
    if not newer:
        return
    replica.ballot = replace(replica.ballot, fences_by_id={**known, **newer})
    for member, incarnation in newer.items():
        if replica.votes_by_id.get(member, incarnation) < incarnation:
            del replica.votes_by_id[member]
        progress = replica.progress_by_id.get(member)
        if progress is not None and progress.incarnation < incarnation:
            progress.match_index = 0


def is_fenced(replica: Replica, member: InstanceId, incarnation: int) -> bool:
    """Return whether a message is from before its member lost its disk."""
    return incarnation < replica.ballot.fences_by_id.get(member, 0)
