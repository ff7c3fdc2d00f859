"""Controller that finds the leader and configuration on an instance without a log."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.effects import AbandonRequests, Count, Effect, LogEvent, Reply, Send
from boragetide.messages import (
    Admission,
    AdmissionReply,
    AdmitSubmission,
    ConfigurationPiece,
    ContactsChanged,
    Drain,
    DrainState,
    FindLeader,
    FollowLeader,
    LeaderFound,
    LeaderNotice,
    QuestionUnsent,
    RefuseSubmissions,
    StopRequested,
    SubmissionsRefused,
    Tick,
    WokeUp,
)
from boragetide.policy.configuration_transfer import (
    ConfigurationTransfer,
    begin_transfer,
    check_transfer,
    end_if_obsolete,
    receive_piece,
)
from boragetide.policy.confirmations import UnmetAnswers
from boragetide.policy.link_health import LinkHealth
from boragetide.policy.overload import (
    Pacer,
    admit,
    choose_retry_after,
    find_durable_share,
)
from boragetide.policy.peer_clock import PeerClock
from boragetide.policy.refusal_batches import PendingRefusal, RefusalBatches
from boragetide.settings import Settings
from boragetide.types import Address, Configuration, InstanceId, Seconds

ASK_INTERVAL: Seconds = 0.4
# All contacts are asked with every fifth request, more often than members forget an
# instance that asks no more, and with each request after the leader has missed one.
COMPLETE_ASK_PERIOD = 5
LEADER_ANSWER_AGE: Seconds = 0.6
# A leader that has not answered two requests counts as lost.
LEADER_SILENCE: Seconds = 1.0
# For this long after the time as of which a leader confirmed it, the configuration is
# used without further news. Shorter than the 2 s within which an accepted configuration
# must be in force on all instances.
CONFIRMATION_VALIDITY: Seconds = 1.5
# An instance that follows the leader on demand stops this long after the last request.
FOLLOW_IDLE_TIMEOUT: Seconds = 10.0


@dataclass(slots=True)
class DirectoryState:
    """State of the controller.

    Parameters
    ----------
    contacts
        Instances that are asked for the leader: those that the settings name, and the
        members of the log that notices named.
    seeds
        Contacts of the settings that need not have the log. They are asked for the
        members while no leader is heard.
    without_log
        Contacts that are known not to have the log.
    links
        Health of the links to the contacts.
    term, leader, leader_found_at, leader_heard_at
        Newest known term and its leader, the time at which this instance learned of the
        leader, and the time of the leader's last notice.
    leader_clock
        Clock of the leader of that term.
    admitted_share
        Share of the submissions that this leader admits.
    pacer
        Selects the submissions that are not sent to it.
    refusals
        Refusals of these that the leader has not confirmed yet.
    configuration
        Configuration in force on this instance; its version never decreases.
    transfer
        Transfer of a newer configuration to this instance.
    confirmed_at
        Newest time as of which a leader confirmed that no newer configuration had been
        accepted.
    unmet
        Confirmations that named a newer version than the one in force.
    next_request_at, asked_count
        Time at which the contacts are asked again, and how often they were asked.
    asking_since
        Time at which this instance began to ask its contacts.
    follow_until
        Time until which an instance that follows the leader on demand asks its
        contacts.
    """

    settings: Settings
    contacts: tuple[InstanceId, ...]
    seeds: tuple[InstanceId, ...] = ()
    without_log: set[InstanceId] = field(default_factory=set)
    links: LinkHealth = field(default_factory=LinkHealth)
    term: int = 0
    leader: InstanceId | None = None
    leader_found_at: Seconds = 0.0
    leader_heard_at: Seconds = 0.0
    leader_clock: PeerClock = field(default_factory=PeerClock)
    admitted_share: float = 1.0
    pacer: Pacer = field(default_factory=Pacer)
    refusals: RefusalBatches = field(default_factory=RefusalBatches)
    configuration: Configuration | None = None
    confirmed_at: Seconds = 0.0
    unmet: UnmetAnswers = field(default_factory=UnmetAnswers)
    next_request_at: Seconds = 0.0
    asked_count: int = 0
    asking_since: Seconds = 0.0
    follow_until: Seconds = 0.0
    transfer: ConfigurationTransfer = field(init=False)

    def __post_init__(self) -> None:
        receiver = Address(self.settings.id, "directory")
        derive_classes = self.settings.derive_classes
        self.transfer = ConfigurationTransfer(receiver, derive_classes)

    @property
    def version(self) -> int:
        """Version of the configuration in force, or -1 if there is none."""
        return -1 if self.configuration is None else self.configuration.version


def make_state(settings: Settings) -> DirectoryState:
    """Build the initial state, with the instances that the settings name."""
    state = DirectoryState(settings, settings.initial_members, settings.contacts)
    if settings.id not in settings.ids_with_disk:
        state.without_log.add(settings.id)
    return state


@singledispatch
def handle(message: Any, state: DirectoryState, now: Seconds) -> list[Effect]:
    """Apply one message to the directory."""
    raise TypeError(f"directory cannot handle {message!r}")


@handle.register
def _(message: Tick, state: DirectoryState, now: Seconds) -> list[Effect]:
    overdue = state.refusals.take_overdue(now)
    answers = [_answer_pending(each, Admission.UNDECIDED) for each in overdue]
    effects = [*answers, *_send_refusals(state, now), *_ask_contacts(state, now)]
    if state.transfer.in_progress:
        effects += check_transfer(state.transfer, _list_holders(state), now)
    return effects


def _list_holders(state: DirectoryState) -> list[InstanceId]:
    """Return the contacts that may have the newest configuration."""
    return [
        id_
        for id_ in state.contacts
        if id_ not in state.without_log and id_ != state.settings.id
    ]


def _ask_contacts(state: DirectoryState, now: Seconds) -> list[Effect]:
    """Ask all contacts for the leader if it is time."""
    if not (state.settings.follows_leader or now < state.follow_until):
        state.leader = None
        return []
    state.asking_since = state.asking_since or now
    if now < state.next_request_at:
        return []
    state.next_request_at = now + ASK_INTERVAL
    effects: list[Effect] = []
    is_led = _is_leader_heard(state, now)
    contacts = [id_ for id_ in state.contacts if id_ not in state.without_log]
    for contact in _choose_asked(contacts, state, now):
        effects.append(_ask(contact, state, now))
    for contact in contacts:
        effects += state.links.reconnect_if_silent(contact, now)
    if not is_led:
        seeds = (seed for seed in state.seeds if seed != state.settings.id)
        effects += [_ask_for_members(seed, state, now) for seed in seeds]
    return effects


def _choose_asked(
    contacts: list[InstanceId], state: DirectoryState, now: Seconds
) -> list[InstanceId]:
    """Return the contacts to ask now.

    While the leader answers, it alone is asked most of the time, so that the members
    do not spend their time on answers that say the same. A contact that has not
    answered is asked again each time: a link that was replaced for its silence drops
    what is sent before it is connected, which would be every answer to rare questions.
    """
    state.asked_count += 1
    is_complete = state.asked_count % COMPLETE_ASK_PERIOD == 0
    if is_complete or now - state.leader_heard_at > LEADER_ANSWER_AGE:
        return contacts
    return [
        id_ for id_ in contacts if id_ == state.leader or state.links.waits_for(id_)
    ]


def _ask(contact: InstanceId, state: DirectoryState, now: Seconds) -> Effect:
    waits = state.links.record_sent(contact, now)
    question = FollowLeader(state.settings.id, state.version, waits, now)
    return Send(Address(contact, "configuration"), question)


def _ask_for_members(seed: InstanceId, state: DirectoryState, now: Seconds) -> Effect:
    """Ask a seed that may have no log; one that has the log does not answer this."""
    question = FollowLeader(state.settings.id, state.version, sent_at=now)
    return Send(Address(seed, "directory"), question)


@handle.register
def _(message: FollowLeader, state: DirectoryState, now: Seconds) -> list[Effect]:
    """Name the members of the log, unless the log's own controller answers."""
    if state.settings.id in state.settings.ids_with_disk:
        return []
    notice = LeaderNotice(
        sender=state.settings.id,
        term=state.term,
        leader=state.leader,
        members=tuple(id_ for id_ in state.contacts if id_ not in state.without_log),
        asked_at=message.sent_at,
        has_log=False,
    )
    return [Send(Address(message.sender, message.controller), notice)]


@handle.register
def _(message: LeaderNotice, state: DirectoryState, now: Seconds) -> list[Effect]:
    if message.asked_at is not None:
        state.links.record_answer(message.sender, message.asked_at, now)
    _record_kind(message, state)
    known = set(state.contacts)
    state.contacts += tuple(id_ for id_ in message.members if id_ not in known)
    silence = now - state.leader_heard_at if state.leader_heard_at else None
    effects = _follow_leader(message, state, now)
    effects += _learn_version(message, state, silence, now)
    if _confirms_version(message, state, now):
        state.unmet.add(message.version, message.asked_at)
        _confirm_met(state)
    return effects


def _record_kind(message: LeaderNotice, state: DirectoryState) -> None:
    """Record whether the sender has the log; another may have got its address."""
    if message.has_log:
        state.without_log.discard(message.sender)
    else:
        state.without_log.add(message.sender)


def _follow_leader(
    message: LeaderNotice, state: DirectoryState, now: Seconds
) -> list[Effect]:
    """Follow the leader of the newest term, and record what it tells of itself."""
    if message.term < state.term or message.leader is None:
        return []
    effects: list[Effect] = []
    if (message.term, message.leader) != (state.term, state.leader):
        effects = _change_leader(message.term, message.leader, state, now)
    if message.sender == message.leader:
        state.leader_heard_at = now
        state.admitted_share = message.admitted_share
        if message.clock is not None:
            state.leader_clock.record_reading(message.clock, now)
    return effects


def _change_leader(
    term: int, leader: InstanceId, state: DirectoryState, now: Seconds
) -> list[Effect]:
    """Follow another leader: what is known of the former one no longer holds."""
    effects: list[Effect] = [LogEvent("leader_found", {"term": term, "leader": leader})]
    if state.leader not in (None, leader):
        effects.append(AbandonRequests(state.leader))
    effects += [
        _answer_pending(each, Admission.ADMITTED) for each in state.refusals.take_all()
    ]
    state.term, state.leader, state.leader_found_at = term, leader, now
    state.leader_clock = PeerClock()
    state.admitted_share = 1.0
    return [*effects, _ask(leader, state, now)]


def _learn_version(
    message: LeaderNotice, state: DirectoryState, silence: Seconds | None, now: Seconds
) -> list[Effect]:
    """Put a newer configuration in force, or fetch it if the notice has none."""
    if message.configuration is not None:
        return _put_in_force(message.configuration, state, message.sender, silence)
    if message.asked_at is None and message.sender != message.leader:
        # The leader's own notice, or the answer to the next question, has the content
        # unless it is large.
        return []
    version, sender = message.version, message.sender
    return begin_transfer(state.transfer, version, sender, state.version, now)


def _put_in_force(
    offered: Configuration,
    state: DirectoryState,
    sender: InstanceId,
    silence: Seconds | None,
) -> list[Effect]:
    """Put a configuration in force if it is newer.

    Parameters
    ----------
    silence
        Seconds since the last notice of the leader before this one, for the log.
    """
    if offered.version <= state.version:
        return []
    state.configuration = offered
    _confirm_met(state)
    end_if_obsolete(state.transfer, state.version)
    fields = {
        "version": offered.version,
        "revision": offered.revision,
        "sender": sender,
        "silence": silence,
    }
    return [LogEvent("configuration_in_force", fields)]


@handle.register
def _(message: ConfigurationPiece, state: DirectoryState, now: Seconds) -> list[Effect]:
    transfer = state.transfer
    received = len(transfer.data)
    completed, effects = receive_piece(transfer, message, state.version, now)
    if completed is not None or len(transfer.data) > received:
        # A piece answers a request of this instance: both directions work.
        state.links.record_received(message.sender)
    if completed is None:
        return effects
    silence = now - state.leader_heard_at if state.leader_heard_at else None
    return effects + _put_in_force(completed, state, message.sender, silence)


def _confirms_version(
    message: LeaderNotice, state: DirectoryState, now: Seconds
) -> bool:
    """Return whether no version newer than the named one existed at the question.

    An answer to an earlier process of this instance does not count, because its times
    are those of another clock.
    """
    return (
        message.has_authority
        and message.asked_at is not None
        and state.asking_since <= message.asked_at <= now
    )


def _confirm_met(state: DirectoryState) -> None:
    """Confirm the configuration by the answers whose version is in force by now."""
    met_at = state.unmet.take_met(state.version)
    if met_at is not None:
        state.confirmed_at = max(state.confirmed_at, met_at)


@handle.register
def _(message: QuestionUnsent, state: DirectoryState, now: Seconds) -> list[Effect]:
    state.links.record_unsent(message.peer)
    return []


@handle.register
def _(message: ContactsChanged, state: DirectoryState, now: Seconds) -> list[Effect]:
    state.seeds = message.contacts
    state.contacts = tuple(dict.fromkeys((*message.contacts, *state.contacts)))
    return [LogEvent("contacts_changed", {"contacts": state.contacts})]


@handle.register
def _(message: FindLeader, state: DirectoryState, now: Seconds) -> list[Effect]:
    if not state.settings.follows_leader and now >= state.follow_until:
        state.asking_since = now
    state.follow_until = now + FOLLOW_IDLE_TIMEOUT
    is_led = _is_leader_heard(state, now)
    is_confirmed = (
        state.configuration is not None
        and now - state.confirmed_at < CONFIRMATION_VALIDITY
    )
    found = LeaderFound(
        state.leader if is_led else None,
        state.configuration,
        is_led and is_confirmed,
        now - max(state.confirmed_at, state.leader_found_at, state.asking_since),
        state.term,
        state.leader_clock.find_offset(now),
        is_confirmed,
    )
    return [Reply(message.reply_to, found)]


def _is_leader_heard(state: DirectoryState, now: Seconds) -> bool:
    return state.leader is not None and now - state.leader_heard_at < LEADER_SILENCE


@handle.register
def _(message: AdmitSubmission, state: DirectoryState, now: Seconds) -> list[Effect]:
    share = state.admitted_share if _is_leader_heard(state, now) else 1.0
    if not message.best_effort:
        share = find_durable_share(share)
    if admit(state.pacer, message.class_name, share):
        return [Reply(message.reply_to, AdmissionReply(Admission.ADMITTED))]
    refusal = PendingRefusal(
        message.job_id,
        message.class_name,
        choose_retry_after(state.pacer, share),
        message.reply_to,
    )
    state.refusals.waiting.append(refusal)
    return _send_refusals(state, now)


def _send_refusals(state: DirectoryState, now: Seconds) -> list[Effect]:
    """Ask the leader to confirm the next batch of refusals, if it is time."""
    if state.leader is None or not state.refusals.start_batch(now):
        return []
    batch = RefuseSubmissions(
        state.settings.id,
        state.refusals.number,
        tuple(pending.job_id for pending in state.refusals.sent),
    )
    return [Send(Address(state.leader, "dispatcher"), batch)]


def _answer_pending(pending: PendingRefusal, admission: Admission) -> Effect:
    return Reply(pending.reply_to, AdmissionReply(admission, pending.retry_after))


@handle.register
def _(message: SubmissionsRefused, state: DirectoryState, now: Seconds) -> list[Effect]:
    """Refuse the jobs of a batch that the leader does not know; send it the others."""
    effects: list[Effect] = []
    known = set(message.known_job_ids)
    for pending in state.refusals.end_batch(message.number):
        if pending.job_id in known:
            effects.append(_answer_pending(pending, Admission.ADMITTED))
            continue
        effects.append(Count("submissions_shed", {"class": pending.class_name}))
        effects.append(_answer_pending(pending, Admission.REFUSED))
    return [*effects, *_send_refusals(state, now)]


@handle.register
def _(message: Drain, state: DirectoryState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(0))]


@handle.register(StopRequested)
@handle.register(WokeUp)
def _(message: Any, state: DirectoryState, now: Seconds) -> list[Effect]:
    return []
