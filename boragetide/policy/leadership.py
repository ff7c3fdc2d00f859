"""Notices of a member to its dispatcher and to the instances without a log."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.configuration_content import ContentCache
from boragetide.effects import Effect, LogEvent, Send
from boragetide.messages import (
    AuthorityExtended,
    JobsCommitted,
    LeaderNotice,
    LeadershipGained,
    LeadershipLost,
    MembersChanged,
)
from boragetide.policy.link_health import LinkHealth
from boragetide.policy.replica import Applied, Replica, Role, has_authority
from boragetide.policy.submission_fence import MAX_DELIVERY_TIME
from boragetide.settings import Settings
from boragetide.types import Address, Configuration, InstanceId, Seconds

# The dispatcher is notified only of extensions of its authority by at least this much,
# a quarter of `AUTHORITY_DURATION`.
MIN_AUTHORITY_EXTENSION = 0.1  # seconds
# An instance without a log that has sent no request for this long gets no more notices.
SUBSCRIBER_SILENCE = 3.0  # seconds
CONTACT_NOTICE_INTERVAL: Seconds = 1.0


@dataclass(slots=True)
class LeadershipNotices:
    """State that the other instances and the dispatcher were last notified of.

    Parameters
    ----------
    announced_term
        Term in which this instance leads, according to the last notice to the
        dispatcher; 0 if it does not lead.
    announced_until
        End of the authority that the dispatcher was notified of, in Unix time.
    announced_members
        Members of the log that the dispatcher was notified of.
    subscribers_by_id
        Instances without a log, with the time of their last request and the version of
        the configuration that they have.
    asked_at_by_id
        Time at which each of them sent its newest request, by its own clock.
    links
        Links to these instances.
    admitted_share
        Share of the submissions that the dispatcher admits while this instance leads.
    contacts, contacts_notified_at
        Instances that the settings name, and the time at which those that have not
        asked for the leader were last notified.
    content
        Encoded content of the configuration in force.
    """

    settings: Settings
    announced_term: int = 0
    announced_until: Seconds = 0.0
    announced_members: tuple[InstanceId, ...] = ()
    subscribers_by_id: dict[InstanceId, tuple[Seconds, int]] = field(
        default_factory=dict
    )
    asked_at_by_id: dict[InstanceId, Seconds] = field(default_factory=dict)
    links: LinkHealth = field(default_factory=LinkHealth)
    admitted_share: float = 1.0
    contacts: tuple[InstanceId, ...] = ()
    contacts_notified_at: Seconds = 0.0
    content: ContentCache = field(default_factory=ContentCache)


def announce(
    state: LeadershipNotices, replica: Replica | None, applied: Applied, now: Seconds
) -> list[Effect]:
    """Notify the dispatcher of changes, if this instance has one."""
    if not state.settings.dispatches or replica is None:
        return []
    to = Address(state.settings.id, "dispatcher")
    effects: list[Effect] = []
    if replica.members != state.announced_members:
        state.announced_members = replica.members
        effects.append(Send(to, MembersChanged(replica.members)))
    term = _leading_term(replica)
    until = replica.authority_until(now)
    if state.announced_term not in (0, term):
        state.announced_term = 0
        effects.append(Send(to, LeadershipLost()))
    if term and state.announced_term != term:
        state.announced_term, state.announced_until = term, until
        state.admitted_share = 1.0
        records = tuple(replica.catalogue.jobs_by_id.values())
        gained = LeadershipGained(
            term,
            records,
            until,
            replica.predecessor_until,
            replica.missed_predecessor,
            server_born_by_id=dict(replica.catalogue.server_born_by_id),
            unanswered_starts=replica.catalogue.unanswered_starts,
            cancelled_at_by_job=dict(replica.catalogue.cancelled_at_by_job),
        )
        return [*effects, Send(to, gained)]
    if term and applied.proposals:
        command_ids = tuple(proposal.command_id for proposal in applied.proposals)
        effects.append(Send(to, JobsCommitted(command_ids, applied.jobs)))
    if term and until >= state.announced_until + MIN_AUTHORITY_EXTENSION:
        state.announced_until = until
        effects.append(Send(to, AuthorityExtended(term, until)))
    return effects


def _leading_term(replica: Replica) -> int:
    """Return the term of this leader once all earlier entries are committed, or 0."""
    leads = replica.role is Role.LEADER and replica.knows_committed
    return replica.ballot.term if leads else 0


def record_subscriber(
    state: LeadershipNotices,
    subscriber: InstanceId,
    version: int,
    now: Seconds,
    sent_at: Seconds | None = None,
) -> bool:
    """Record the request of an instance that follows the leader.

    Parameters
    ----------
    sent_at
        Time of sending, by the subscriber's clock.

    Returns
    -------
    bool
        Whether the request is newer than the recorded ones. An older one may come from
        an earlier process at the same address, or the clock of the next one is behind.
        The lower of the two versions is recorded then, so that no notice lacks a
        configuration that the subscriber needs.
    """
    if _is_older(state, subscriber, sent_at):
        _, known = state.subscribers_by_id.get(subscriber, (now, version))
        state.subscribers_by_id[subscriber] = (now, min(version, known))
        return False
    if sent_at is not None:
        state.asked_at_by_id[subscriber] = sent_at
    state.subscribers_by_id[subscriber] = (now, version)
    return True


def _is_older(
    state: LeadershipNotices, subscriber: InstanceId, sent_at: Seconds | None
) -> bool:
    """Return whether a request was sent before the newest recorded one.

    One that would have been on its way for too long was sent by another clock.
    """
    asked_at = state.asked_at_by_id.get(subscriber)
    if sent_at is None or asked_at is None:
        return False
    return 0.0 < asked_at - sent_at <= MAX_DELIVERY_TIME


def notify(
    state: LeadershipNotices,
    replica: Replica | None,
    in_force: Configuration | None,
    subscriber: InstanceId,
    now: Seconds,
    asked_at: Seconds | None = None,
) -> Effect:
    """Notify one instance of the leader and of the version in force.

    The leader, and each member that answers a request, includes the configuration in
    force if it is small, and newer than the one that the subscriber has. The subscriber
    fetches a larger one, once and from one member. This needs no authority, because a
    configuration that is in force is never withdrawn.

    Parameters
    ----------
    asked_at
        Time of the answered request, by the subscriber's clock.
    """
    _, known = state.subscribers_by_id.get(subscriber, (now, -1))
    version = -1 if in_force is None else in_force.version
    offers = asked_at is not None or (
        replica is not None and replica.role is Role.LEADER
    )
    is_offered = offers and in_force is not None and version > known
    is_small = is_offered and state.content.is_small(in_force)
    notice = LeaderNotice(
        sender=state.settings.id,
        term=0 if replica is None else replica.ballot.term,
        leader=None if replica is None else replica.leader,
        members=state.settings.initial_members if replica is None else replica.members,
        configuration=in_force if is_small else None,
        has_authority=replica is not None and has_authority(replica, now),
        clock=now,
        asked_at=asked_at,
        admitted_share=state.admitted_share,
        version=version,
    )
    return Send(Address(subscriber, "directory"), notice)


def notify_all(
    state: LeadershipNotices,
    replica: Replica | None,
    in_force: Configuration | None,
    now: Seconds,
) -> list[Effect]:
    """Notify all instances that have sent a request recently."""
    effects = _notify_subscribers(state, replica, in_force, now)
    if replica is None or replica.role is not Role.LEADER:
        return effects
    fields = {
        "version": None if in_force is None else in_force.version,
        "instances": len(effects),
        "authority_left": replica.authority_until(now) - now,
    }
    return [LogEvent("configuration_announced", fields), *effects]


def announce_share(
    state: LeadershipNotices, replica: Replica | None, share: float, now: Seconds
) -> list[Effect]:
    """Notify all instances that have sent a request recently of the admitted share."""
    state.admitted_share = share
    return _notify_subscribers(state, replica, None, now)


def _notify_subscribers(
    state: LeadershipNotices,
    replica: Replica | None,
    in_force: Configuration | None,
    now: Seconds,
) -> list[Effect]:
    for subscriber, (asked_at, _) in list(state.subscribers_by_id.items()):
        if now - asked_at > SUBSCRIBER_SILENCE:
            state.asked_at_by_id.pop(subscriber, None)
            del state.subscribers_by_id[subscriber]
    return [
        notify(state, replica, in_force, subscriber, now)
        for subscriber in state.subscribers_by_id
    ]


def notify_contacts(
    state: LeadershipNotices, replica: Replica | None, now: Seconds
) -> list[Effect]:
    """Notify the contacts that have not asked for the leader; for the leader only.

    After a loss of all instances, those without a disk know only the instances that the
    settings name, and none of these may be a member any more.
    """
    if replica is None or replica.role is not Role.LEADER:
        return []
    if now - state.contacts_notified_at < CONTACT_NOTICE_INTERVAL:
        return []
    state.contacts_notified_at = now
    known = {*replica.members, *replica.learners_by_id, *state.subscribers_by_id}
    notice = LeaderNotice(
        sender=state.settings.id,
        term=replica.ballot.term,
        leader=replica.leader,
        members=replica.members,
        clock=now,
        admitted_share=state.admitted_share,
    )
    return [
        Send(Address(contact, "directory"), notice)
        for contact in state.contacts
        if contact not in known
    ]
