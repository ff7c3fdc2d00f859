"""Notices of a member to its dispatcher and to the instances without a log."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.effects import Effect, Send
from boragetide.messages import (
    AuthorityExtended,
    JobsCommitted,
    LeaderNotice,
    LeadershipGained,
    LeadershipLost,
    MembersChanged,
)
from boragetide.policy.link_health import LinkHealth
from boragetide.policy.replica import Applied, Replica, Role
from boragetide.settings import Settings
from boragetide.types import Address, Configuration, InstanceId, Seconds

# The dispatcher is notified only of extensions of its authority by at least this much,
# a quarter of `AUTHORITY_DURATION`.
MIN_AUTHORITY_EXTENSION = 0.1  # seconds
# An instance without a log that has sent no request for this long gets no more notices.
SUBSCRIBER_SILENCE = 3.0  # seconds


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
    links
        Links to these instances.
    """

    settings: Settings
    announced_term: int = 0
    announced_until: Seconds = 0.0
    announced_members: tuple[InstanceId, ...] = ()
    subscribers_by_id: dict[InstanceId, tuple[Seconds, int]] = field(
        default_factory=dict
    )
    links: LinkHealth = field(default_factory=LinkHealth)


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
        records = tuple(replica.catalogue.jobs_by_id.values())
        gained = LeadershipGained(
            term,
            records,
            until,
            replica.predecessor_until,
            replica.missed_predecessor,
        )
        return [*effects, Send(to, gained)]
    if term and applied.proposals:
        command_ids = tuple(proposal.command_id for proposal in applied.proposals)
        effects.append(Send(to, JobsCommitted(command_ids, applied.jobs)))
    if term and until >= state.announced_until + MIN_AUTHORITY_EXTENSION:
        state.announced_until = until
        effects.append(Send(to, AuthorityExtended(until)))
    return effects


def _leading_term(replica: Replica) -> int:
    """Return the term of this leader once all earlier entries are committed, or 0."""
    term = replica.ballot.term
    if replica.role is not Role.LEADER or replica.commit < replica.log_start:
        return 0
    return term if replica.term_at(replica.commit) == term else 0


def record_subscriber(
    state: LeadershipNotices, subscriber: InstanceId, version: int, now: Seconds
) -> None:
    """Record the request of an instance that follows the leader."""
    state.subscribers_by_id[subscriber] = (now, version)


def notify(
    state: LeadershipNotices,
    replica: Replica | None,
    in_force: Configuration | None,
    subscriber: InstanceId,
    now: Seconds,
) -> Effect:
    """Notify one instance of the leader.

    If this instance leads, the notice includes the configuration in force, provided
    that it is newer than the one that the subscriber has.
    """
    _, version = state.subscribers_by_id.get(subscriber, (now, -1))
    leads = replica is not None and now < replica.authority_until(now)
    newer = leads and in_force is not None and in_force.version > version
    notice = LeaderNotice(
        sender=state.settings.id,
        term=0 if replica is None else replica.ballot.term,
        leader=None if replica is None else replica.leader,
        members=state.settings.initial_members if replica is None else replica.members,
        configuration=in_force if newer else None,
    )
    return Send(Address(subscriber, "directory"), notice)


def notify_all(
    state: LeadershipNotices,
    replica: Replica | None,
    in_force: Configuration | None,
    now: Seconds,
) -> list[Effect]:
    """Notify all instances that have sent a request recently."""
    for subscriber, (asked_at, _) in list(state.subscribers_by_id.items()):
        if now - asked_at > SUBSCRIBER_SILENCE:
            del state.subscribers_by_id[subscriber]
    return [
        notify(state, replica, in_force, subscriber, now)
        for subscriber in state.subscribers_by_id
    ]
