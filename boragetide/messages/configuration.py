"""Messages of the controller ``configuration``."""

from __future__ import annotations

from dataclasses import dataclass

from boragetide.commands import Command, CommandStatus, Outcome, Proposal
from boragetide.log_records import Catalogue, HistoryEntry, LogEntry, Snapshot
from boragetide.messages.common import Request
from boragetide.types import Configuration, InstanceId, Seconds, ZoneId


@dataclass(frozen=True, slots=True)
class FetchConfiguration(Request):
    """Asks for the configuration in force; answered with `ConfigurationChanged`."""


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The configuration in force on this instance, or a default one.

    Parameters
    ----------
    in_force
        False if no configuration is in force yet and this is the default.
    """

    configuration: Configuration
    in_force: bool = True


@dataclass(frozen=True, slots=True)
class ConfigurationConfirmed:
    """No configuration newer than ``version`` had been committed as of a time.

    Parameters
    ----------
    version
        Version in force on this instance.
    confirmed_at
        That time, on the clock of this instance.
    """

    version: int
    confirmed_at: Seconds


@dataclass(frozen=True, slots=True)
class AskConfirmation:
    """Asks the leader of group 0 for the newest version; a number for each question.

    A member that does not lead forwards the question once, because an instance without
    the log may not know the leader.
    """

    sender: InstanceId
    number: int
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class VersionConfirmed:
    """Answer to `AskConfirmation` of a leader that no other instance can have replaced.

    Parameters
    ----------
    number
        Number of the question.
    version
        Newest version that was committed when the answer was made.
    """

    sender: InstanceId
    number: int
    version: int


@dataclass(frozen=True, slots=True)
class ReadZone(Request):
    """Asks for a linearizable read of one zone's state; answered with `ZoneRead`."""

    zone: ZoneId


@dataclass(frozen=True, slots=True)
class ZoneRead:
    """State of a zone, or ``None`` if it may not be the newest.

    Parameters
    ----------
    order
        Number of commands that were applied for the zone, see `Catalogue`.
    evacuated
        Whether the zone is evacuated.
    leader
        Instance to ask instead, if known.
    """

    order: int | None
    evacuated: bool = False
    leader: InstanceId | None = None


@dataclass(frozen=True, slots=True)
class ListHistory(Request):
    """Asks for the newest accepted commands; answered with `History`."""

    limit: int


@dataclass(frozen=True, slots=True)
class History:
    """Accepted operator commands up to ``version``, newest first."""

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
        Command to propose.
    command_id
        Id of an operator command, which stays the same when the command is resent.
    expected_version
        Configuration version to which an operator command applies.
    """

    command: Command
    command_id: str = ""
    expected_version: int | None = None


@dataclass(frozen=True, slots=True)
class PackedProposal(Request):
    """A `Propose` of a large configuration in compressed form.

    Answered with `CommandOutcome`.
    """

    data: bytes


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """Outcome of a command; for ``first`` see `Outcome`."""

    status: CommandStatus
    version: int
    first: bool = False


@dataclass(frozen=True, slots=True)
class ForwardProposal:
    """Forwards a command to a member; ``sender`` waits for `ProposalDecided`."""

    proposal: Proposal
    sender: InstanceId
    to_leader: bool = False


@dataclass(frozen=True, slots=True)
class ProposalDecided:
    """The outcome of a command is final."""

    command_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Asks a member for its vote.

    Parameters
    ----------
    preliminary
        Whether this is a pre-vote, which does not bind the voter.
    waits
        How long the candidate has been waiting for a message from the member, in
        seconds.
    """

    term: int
    candidate: InstanceId
    last_index: int
    last_term: int
    preliminary: bool
    incarnation: int
    waits: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class StandForElection:
    """Asks the receiver to stand for election in the next term.

    Sent by a leader that is stopping, to hand its leadership over.
    """

    term: int
    leader: InstanceId


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer of a member to `RequestVote`.

    Parameters
    ----------
    term
        Term of the voter.
    requested_term, preliminary, for_incarnation
        Identify the request that is answered and the incarnation of its sender.
    voter, incarnation
        The answering member and its incarnation.
    granted
        Whether the member votes for the candidate.
    fences_by_id
        See `Ballot`.
    leader_heard_ago
        Time since the voter last heard from a leader, in seconds.
    """

    term: int
    requested_term: int
    preliminary: bool
    for_incarnation: int
    voter: InstanceId
    incarnation: int
    granted: bool
    fences_by_id: dict[InstanceId, int]
    leader_heard_ago: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries of the leader's log after ``previous_index``; also the heartbeat.

    Parameters
    ----------
    previous_index, previous_term
        Entry before the first of ``entries``; the member's log must contain it.
    waits
        How long the leader has been waiting for a message from the member, in seconds.
    """

    term: int
    leader: InstanceId
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: Seconds = 0.0
    waits: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer of a member to `AppendEntries` or `InstallSnapshot`.

    Parameters
    ----------
    term
        Term of the member.
    member, incarnation
        The answering member and its incarnation.
    matched
        Whether the member's log now equals the leader's up to ``index``.
    index
        If ``matched`` is false, the last entry up to which the logs may be equal.
    fences_by_id
        See `Ballot`.
    sent_at
        Time at which the answered message was sent, by the leader's clock.
    """

    term: int
    member: InstanceId
    incarnation: int
    matched: bool
    index: int
    fences_by_id: dict[InstanceId, int]
    sent_at: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replaces the log of a member that lags behind the start of the leader's log."""

    term: int
    leader: InstanceId
    catalogue: Catalogue
    catalogue_term: int
    sent_at: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class RequestCatchUp:
    """Asks another member for all of its state, sent by a member that lost its disk."""

    sender: InstanceId
    incarnation: int


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks the leader to replicate the log to ``sender``, which is not a member."""

    sender: InstanceId
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class CatchUpState:
    """Complete state of a member; ``held`` is ``None`` if it has no durable state."""

    sender: InstanceId
    sender_incarnation: int
    for_incarnation: int
    held: Snapshot | None


@dataclass(frozen=True, slots=True)
class NewerConfiguration:
    """The heartbeat of an instance shows a newer version than the one in force here."""

    instance: InstanceId
    version: int


@dataclass(frozen=True, slots=True)
class RequestConfiguration:
    """Asks the controller of a peer for the configuration in force there."""

    sender: InstanceId


@dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """The configuration in force at a peer, if it has one.

    Parameters
    ----------
    version
        Its version, or -1.
    configuration
        ``None`` if there is none, or if it is too large for a message and is fetched
        (`FetchConfigurationPiece`).
    """

    sender: InstanceId
    version: int
    configuration: Configuration | None
