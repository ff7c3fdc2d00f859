"""Controller of the configuration in force and the commands that await an outcome."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from boragetide.configuration_content import ContentCache
from boragetide.controllers.committed_changes import apply_committed_changes
from boragetide.controllers.configuration_proposals import (
    answer_decided,
    append_commands,
    forward_proposal,
    propose,
    propose_packed,
    send_due,
)
from boragetide.controllers.configuration_reads import (
    confirm_version,
    fetch_configuration,
    list_history,
    read_configuration,
    read_zone,
)
from boragetide.controllers.configuration_state import (
    ConfigurationState,
    is_current_leader,
)
from boragetide.effects import Effect, LogEvent, Persist, Reply, Send
from boragetide.log_records import FetchedConfiguration
from boragetide.messages import (
    AdmissionChanged,
    AppendCommands,
    AppendEntries,
    AppendReply,
    AskConfirmation,
    CatchUpState,
    ConfigurationOffered,
    ConfigurationPiece,
    ContactsChanged,
    Drain,
    DrainState,
    FetchConfiguration,
    FetchConfigurationPiece,
    FollowLeader,
    ForwardProposal,
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
)
from boragetide.policy import (
    catch_up,
    confirmations,
    elections,
    leadership,
    member_changes,
    proposals,
    replication,
)
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
    become_follower,
    restore_replica,
    schedule_election,
    step,
)
from boragetide.settings import Settings
from boragetide.types import Address, Configuration, Seconds


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
    effects += apply_committed_changes(state, now)
    effects += request_configuration(state.distribution, now)
    effects += _take_offer(state, now)
    effects += check_fetch(state.distribution, now)
    effects += leadership.notify_contacts(state.leadership, state.member, now)
    effects += _confirm_view(state, now)
    effects += proposals.expire_requests(
        state.proposals, state.distribution.version, now
    )
    return effects + send_due(state, now)


def _confirm_view(state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Confirm the configuration in force here, or ask the leader to do so."""
    in_force = state.distribution.in_force
    if is_current_leader(state, now):
        return confirmations.confirm_own(state.confirmations, in_force, now)
    leader = None if state.member is None else state.member.leader
    return [
        *confirmations.confirm_met(state.confirmations, in_force),
        *confirmations.ask_leader(state.confirmations, in_force, leader, now),
    ]


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
    return step(message, state.member, now) + apply_committed_changes(state, now)


@handle.register(RequestCatchUp)
@handle.register(CatchUpState)
@handle.register(LeaderNotice)
def _(message: Any, state: ConfigurationState, now: Seconds) -> list[Effect]:
    if state.replica is None:
        return []
    return step(message, state.replica, now) + apply_committed_changes(state, now)


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
    return effects + apply_committed_changes(state, now)


handle.register(Propose, propose)
handle.register(PackedProposal, propose_packed)
handle.register(ForwardProposal, forward_proposal)
handle.register(AppendCommands, append_commands)
handle.register(ProposalDecided, answer_decided)
handle.register(FetchConfiguration, fetch_configuration)
handle.register(ReadConfiguration, read_configuration)
handle.register(ReadZone, read_zone)
handle.register(AskConfirmation, confirm_version)
handle.register(ListHistory, list_history)
