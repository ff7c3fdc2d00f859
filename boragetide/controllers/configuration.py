"""Controller of the configuration in force and the commands that await an outcome."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch
from typing import Any

from boragetide.commands import (
    FetchedConfiguration,
    InternalCommand,
    Outcome,
    Proposal,
)
from boragetide.configuration_content import ContentCache
from boragetide.effects import Effect, LogEvent, Persist, Reply, Send
from boragetide.errors import ContentError
from boragetide.messages import (
    AdmissionChanged,
    AppendCommands,
    AppendEntries,
    AppendReply,
    AskConfirmation,
    CatchUpState,
    ConfigurationChanged,
    ConfigurationOffered,
    ConfigurationPiece,
    ConfigurationRead,
    ContactsChanged,
    Drain,
    DrainState,
    FetchConfiguration,
    FetchConfigurationPiece,
    FollowLeader,
    ForwardProposal,
    History,
    InstallSnapshot,
    JoinRequest,
    LeaderNotice,
    ListHistory,
    NewerConfiguration,
    PackedProposal,
    ProposalDecided,
    Propose,
    QuestionUnsent,
    ReadConfiguration,
    ReadZone,
    RequestCatchUp,
    RequestConfiguration,
    RequestVote,
    StandForElection,
    StopRequested,
    Tick,
    VersionConfirmed,
    VoteReply,
    WokeUp,
    ZoneRead,
)
from boragetide.packed_proposals import unpack_proposal
from boragetide.policy import (
    catch_up,
    confirmations,
    elections,
    leadership,
    member_changes,
    proposals,
    replication,
)
from boragetide.policy.catalogue import find_outcome
from boragetide.policy.configuration_transfer import receive_piece, send_piece
from boragetide.policy.confirmations import Confirmations
from boragetide.policy.distribution import (
    DistributionState,
    check_fetch,
    choose_offer,
    fetch_offer,
    put_in_force,
    request_configuration,
    request_newer,
)
from boragetide.policy.leader_balance import balance_leadership
from boragetide.policy.leadership import LeadershipNotices
from boragetide.policy.proposals import Proposals
from boragetide.policy.replica import (
    ELECTION_MIN,
    Replica,
    Role,
    apply_committed,
    become_follower,
    compact,
    restore_replica,
    schedule_election,
    step,
)
from boragetide.settings import Settings
from boragetide.types import Address, Configuration, InstanceId, Seconds


@dataclass(slots=True)
class ConfigurationState:
    """State of the controller.

    Parameters
    ----------
    distribution
        The configuration in force on this instance.
    proposals
        Commands whose outcome this instance awaits.
    confirmations
        Confirmations that this instance has the newest configuration.
    replica
        Member of the consensus group, on an instance with a disk.
    contact_counter
        Counter that selects the initial members in turn; used while this instance is
        not a member itself.
    """

    settings: Settings
    distribution: DistributionState
    proposals: Proposals
    leadership: LeadershipNotices
    confirmations: Confirmations
    replica: Replica | None = None
    contact_counter: int = 0

    @property
    def member(self) -> Replica | None:
        """The replica, if it takes part in the consensus."""
        if self.replica is None or self.replica.role is Role.BLANK:
            return None
        return self.replica


def make_state(
    settings: Settings, incarnation: int, records: tuple[Any, ...] = ()
) -> ConfigurationState:
    """Build the state from the records of the journal, if there is a disk."""
    content = ContentCache(settings.derive_classes)
    state = ConfigurationState(
        settings,
        DistributionState(settings),
        Proposals(settings),
        LeadershipNotices(settings, contacts=settings.contacts, content=content),
        Confirmations(settings),
    )
    if settings.own_peer.disk:
        state.replica = restore_replica(settings, incarnation, records)
    return state


@singledispatch
def handle(message: Any, state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Apply one message to the configuration."""
    raise TypeError(f"configuration controller cannot handle {message!r}")


@handle.register
def _(message: Tick, state: ConfigurationState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    if state.replica is not None:
        effects += _tick_replica(state.replica, now)
    effects += _apply_committed_changes(state, now)
    effects += request_configuration(state.distribution, now)
    effects += _take_offer(state, now)
    effects += check_fetch(state.distribution, now)
    effects += leadership.notify_contacts(state.leadership, state.member, now)
    effects += _confirm_view(state, now)
    effects += proposals.expire_requests(
        state.proposals, state.distribution.version, now
    )
    return effects + _send_due(state, now)


def _confirm_view(state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Confirm the configuration in force here, or ask the leader to do so."""
    in_force = state.distribution.in_force
    if _has_authority(state, now):
        return confirmations.confirm_own(state.confirmations, in_force, now)
    leader = None if state.member is None else state.member.leader
    return [
        *confirmations.confirm_met(state.confirmations, in_force),
        *confirmations.ask_leader(state.confirmations, in_force, leader, now),
    ]


def _has_authority(state: ConfigurationState, now: Seconds) -> bool:
    """Return whether this instance leads and has all that any leader has committed."""
    member = state.member
    return (
        member is not None
        and confirmations.has_authority(member, now)
        and state.distribution.version >= member.catalogue.configuration.version
    )


def _tick_replica(replica: Replica, now: Seconds) -> list[Effect]:
    if replica.role is Role.BLANK:
        return catch_up.check_catch_up(replica, now)
    if replica.role is Role.LEADER:
        effects = replication.check_leader(replica, now)
        if replica.role is Role.LEADER:
            effects += member_changes.propose_member_change(replica, now)
            effects += balance_leadership(replica, now)
        return effects
    return elections.check_election(replica, now)


@handle.register(RequestVote)
@handle.register(StandForElection)
@handle.register(VoteReply)
@handle.register(AppendEntries)
@handle.register(AppendReply)
@handle.register(InstallSnapshot)
@handle.register(JoinRequest)
def _(message: Any, state: ConfigurationState, now: Seconds) -> list[Effect]:
    if state.member is None:
        return []
    return step(message, state.member, now) + _apply_committed_changes(state, now)


@handle.register(RequestCatchUp)
@handle.register(CatchUpState)
@handle.register(LeaderNotice)
def _(message: Any, state: ConfigurationState, now: Seconds) -> list[Effect]:
    if state.replica is None:
        return []
    return step(message, state.replica, now) + _apply_committed_changes(state, now)


def _apply_committed_changes(state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Put the committed configuration in force, and answer waiting proposers."""
    replica = state.replica
    if replica is None:
        return []
    applied = apply_committed(replica)
    effects = _put_newest_in_force(state, replica, now)
    led_before = state.leadership.announced_term
    effects += leadership.announce(state.leadership, replica, applied, now)
    if state.leadership.announced_term not in (0, led_before):
        effects += leadership.notify_all(
            state.leadership, replica, state.distribution.in_force, now
        )
    for proposal in applied.proposals:
        if isinstance(proposal.command, InternalCommand):
            continue
        outcome = find_outcome(proposal, replica.catalogue)
        waiting = replica.proposers_by_command.pop(proposal.command_id, set())
        effects += [
            _send_outcome(state, proposal, outcome, proposer)
            for proposer in sorted(waiting - {state.settings.id})
        ]
        effects += proposals.answer_waiters(
            state.proposals, proposal.command_id, outcome
        )
    return effects + compact(replica)


def _put_newest_in_force(
    state: ConfigurationState, replica: Replica, now: Seconds
) -> list[Effect]:
    known = [] if replica.fetched is None else [replica.fetched]
    if replica.role is not Role.BLANK and replica.commit >= replica.floor:
        known.append(replica.catalogue.configuration)
    if not known:
        return []
    newest = max(known, key=lambda configuration: configuration.version)
    effects = put_in_force(state.distribution, newest)
    if effects:
        effects += leadership.notify_all(
            state.leadership, replica, state.distribution.in_force, now
        )
    return effects


@handle.register
def _(message: Propose, state: ConfigurationState, now: Seconds) -> list[Effect]:
    proposal = proposals.make_proposal(message)
    if state.member is not None:
        outcome = find_outcome(proposal, state.member.catalogue)
        if outcome is not None:
            return [proposals.make_reply(state.proposals, message.reply_to, outcome)]
    proposals.add_waiter(state.proposals, proposal, message.reply_to, now)
    return _send_due(state, now)


@handle.register
def _(message: PackedProposal, state: ConfigurationState, now: Seconds) -> list[Effect]:
    try:
        proposal = unpack_proposal(message)
    except ContentError as error:
        return [LogEvent("proposal_refused", {"error": str(error)})]
    return handle(replace(proposal, reply_to=message.reply_to), state, now)


def _send_due(state: ConfigurationState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    for proposal in proposals.take_due(state.proposals, now):
        forwarded = ForwardProposal(proposal, state.settings.id)
        if state.member is not None and state.member.role is Role.LEADER:
            effects += handle(forwarded, state, now)
            continue
        to = _choose_contact(state)
        if to is not None:
            effects.append(Send(Address(to, "configuration"), forwarded))
    return effects


def _choose_contact(state: ConfigurationState) -> InstanceId | None:
    if state.member is not None:
        return state.member.leader
    first = state.settings.initial_members
    members = [id_ for id_ in first if id_ != state.settings.id]
    if not members:
        return None
    state.contact_counter += 1
    return members[state.contact_counter % len(members)]


@handle.register
def _(
    message: ForwardProposal, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    replica, proposal = state.member, message.proposal
    if replica is None:
        return []
    outcome = find_outcome(proposal, replica.catalogue)
    if outcome is not None:
        return [_send_outcome(state, proposal, outcome, message.sender)]
    if replica.role is Role.LEADER:
        proposers = replica.proposers_by_command.setdefault(proposal.command_id, set())
        proposers.add(message.sender)
        if _is_in_log(replica, proposal):
            return []
        appended = replication.append_proposals(replica, (proposal,), now)
        return appended + _apply_committed_changes(state, now)
    if replica.leader is None or message.to_leader:
        return []
    onward = ForwardProposal(proposal, message.sender, to_leader=True)
    return [Send(Address(replica.leader, "configuration"), onward)]


@handle.register
def _(message: AppendCommands, state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Append commands of the dispatcher, unless its term is over by now."""
    replica = state.member
    if (
        replica is None
        or replica.role is not Role.LEADER
        or replica.ballot.term != message.term
    ):
        return []
    appended = [
        Proposal(command_id, command)
        for command_id, command in message.commands_by_id.items()
    ]
    effects = replication.append_proposals(replica, appended, now)
    return effects + _apply_committed_changes(state, now)


def _is_in_log(replica: Replica, proposal: Proposal) -> bool:
    uncommitted = replica.log[replica.commit - replica.log_start :]
    return any(
        entry.proposal is not None and entry.proposal.command_id == proposal.command_id
        for entry in uncommitted
    )


def _send_outcome(
    state: ConfigurationState, proposal: Proposal, outcome: Outcome, to: InstanceId
) -> Send:
    decided = ProposalDecided(proposal.command_id, outcome)
    return Send(Address(to, "configuration"), decided)


@handle.register
def _(
    message: ProposalDecided, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    return proposals.answer_waiters(
        state.proposals, message.command_id, message.outcome
    )


@handle.register
def _(
    message: FetchConfiguration, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    in_force = state.distribution.in_force
    changed = ConfigurationChanged(in_force or Configuration(), in_force is not None)
    return [Reply(message.reply_to, changed)]


@handle.register
def _(
    message: ReadConfiguration, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Answer with the configuration only if no other leader can have a newer one."""
    replica = state.member
    if replica is None:
        return [Reply(message.reply_to, ConfigurationRead(None))]
    newest = None
    if state.leadership.announced_term and now < replica.authority_until(now):
        newest = state.distribution.in_force
    if newest is None:
        return [Reply(message.reply_to, ConfigurationRead(None, replica.leader))]
    content: Configuration | None = newest
    if message.held is not None and (
        message.held == newest.version or not state.leadership.content.is_small(newest)
    ):
        content = None
    read = ConfigurationRead(content, replica.leader, newest.version)
    return [Reply(message.reply_to, read)]


@handle.register
def _(message: ReadZone, state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Answer with the state of a zone only if no other leader can have a newer one."""
    replica = state.member
    if replica is None or not _has_authority(state, now):
        leader = None if replica is None else replica.leader
        return [Reply(message.reply_to, ZoneRead(None, leader=leader))]
    catalogue = replica.catalogue
    read = ZoneRead(
        catalogue.order_by_zone.get(message.zone, 0),
        message.zone in catalogue.configuration.evacuated_zones,
        replica.leader,
    )
    return [Reply(message.reply_to, read)]


@handle.register
def _(
    message: AskConfirmation, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    if not _has_authority(state, now):
        return _forward_question(message, state)
    version = state.distribution.version
    answer = VersionConfirmed(state.settings.id, message.number, version)
    return [Send(Address(message.sender, "configuration"), answer)]


def _forward_question(
    message: AskConfirmation, state: ConfigurationState
) -> list[Effect]:
    leader = None if state.member is None else state.member.leader
    if message.forwarded or leader in (None, state.settings.id):
        return []
    onward = replace(message, forwarded=True)
    return [Send(Address(leader, "configuration"), onward)]


@handle.register
def _(
    message: VersionConfirmed, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Record a confirmation; a member gets newer versions through the log."""
    distribution = state.distribution
    effects = confirmations.record_answer(
        state.confirmations, message, distribution.in_force, now
    )
    if state.member is None:
        effects += request_newer(distribution, message.sender, message.version, now)
    return effects


@handle.register
def _(message: FollowLeader, state: ConfigurationState, now: Seconds) -> list[Effect]:
    is_newest = leadership.record_subscriber(
        state.leadership, message.sender, message.version, now, message.sent_at
    )
    links = state.leadership.links.reconnect_if_silent(
        message.sender, now, message.waits if is_newest else 0.0
    )
    notice = leadership.notify(
        state.leadership,
        state.member,
        state.distribution.in_force,
        message.sender,
        now,
        message.sent_at,
    )
    return [*links, notice]


@handle.register
def _(
    message: FetchConfigurationPiece, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    in_force, content = state.distribution.in_force, state.leadership.content
    return send_piece(content, in_force, message, state.settings.id)


@handle.register
def _(message: QuestionUnsent, state: ConfigurationState, now: Seconds) -> list[Effect]:
    if state.replica is not None:
        state.replica.links.record_unsent(message.peer)
    return []


@handle.register
def _(
    message: ContactsChanged, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    state.leadership.contacts = message.contacts
    if state.replica is not None:
        state.replica.contacts.update(message.contacts)
    return [LogEvent("contacts_changed", {"contacts": message.contacts})]


@handle.register
def _(
    message: AdmissionChanged, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    return leadership.announce_share(state.leadership, state.member, message.share, now)


@handle.register
def _(message: ListHistory, state: ConfigurationState, now: Seconds) -> list[Effect]:
    if state.replica is None:
        return [Reply(message.reply_to, History(-1, ()))]
    catalogue = state.replica.catalogue
    newest = tuple(reversed(catalogue.history[-message.limit :]))
    return [Reply(message.reply_to, History(catalogue.configuration.version, newest))]


@handle.register
def _(
    message: NewerConfiguration, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Fetch a newer configuration from a peer.

    A member that hears a leader does not fetch it, because the leader replicates it
    through the log.
    """
    member = state.member
    if member is not None and (
        member.role is Role.LEADER or now - member.leader_heard_at < ELECTION_MIN
    ):
        return []
    return request_newer(state.distribution, message.instance, message.version, now)


@handle.register
def _(
    message: RequestConfiguration, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    in_force = state.distribution.in_force
    is_small = in_force is not None and state.leadership.content.is_small(in_force)
    offer = ConfigurationOffered(
        state.settings.id, state.distribution.version, in_force if is_small else None
    )
    return [Send(Address(message.sender, "configuration"), offer)]


@handle.register
def _(
    message: ConfigurationOffered, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    if message.version < 0:
        return []
    state.distribution.offers_by_id[message.sender] = message
    return _take_offer(state, now)


@handle.register
def _(
    message: ConfigurationPiece, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    distribution = state.distribution
    configuration, effects = receive_piece(
        distribution.transfer, message, distribution.version, now
    )
    if configuration is None:
        return effects
    return effects + _adopt(state, configuration)


def _take_offer(state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Put a peer's configuration in force, or fetch it if it is large."""
    offer = choose_offer(state.distribution, now)
    if offer is None:
        return []
    if offer.configuration is None:
        return fetch_offer(state.distribution, offer, now)
    return _adopt(state, offer.configuration)


def _adopt(state: ConfigurationState, configuration: Configuration) -> list[Effect]:
    """Put a peer's configuration in force; a replica first writes it to disk."""
    effects: list[Effect] = []
    if state.replica is not None:
        state.replica.fetched = configuration
        effects.append(Persist((FetchedConfiguration(configuration),)))
    return effects + put_in_force(state.distribution, configuration)


@handle.register
def _(message: WokeUp, state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Step down as leader: the others may have elected another leader."""
    if state.member is not None:
        become_follower(state.member, None)
        schedule_election(state.member, now)
    return []


@handle.register
def _(message: Drain, state: ConfigurationState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(0))]


@handle.register
def _(message: StopRequested, state: ConfigurationState, now: Seconds) -> list[Effect]:
    if state.member is None:
        return []
    effects = replication.transfer_leadership(state.member, now)
    return effects + _apply_committed_changes(state, now)
