"""Leader elections among the members, with pre-votes.

Pre-votes keep a candidate from disturbing a working leader.
"""

from __future__ import annotations

from dataclasses import replace

from boragetide.effects import Effect, Persist, Send
from boragetide.messages import RequestVote, StandForElection, VoteReply
from boragetide.policy.member_changes import ask_to_join, register_learner
from boragetide.policy.replica import (
    AUTHORITY_DURATION,
    ELECTION_MIN,
    FIRST_ELECTION_MAX,
    FIRST_ELECTION_MIN,
    Replica,
    Role,
    adopt_term,
    is_fenced,
    merge_fences,
    schedule_election,
    step,
)
from boragetide.policy.replication import become_leader
from boragetide.types import Address, Seconds


def check_election(replica: Replica, now: Seconds) -> list[Effect]:
    """Request pre-votes if the leader is silent too long; a learner asks to join."""
    if not replica.is_member:
        return ask_to_join(replica, now)
    if not replica.others:
        return _start_election(replica, now, preliminary=False)
    if replica.election_at is None:
        schedule_election(replica, now, FIRST_ELECTION_MIN, FIRST_ELECTION_MAX)
    if now < replica.election_at:
        return []
    replica.leader = None
    return _start_election(replica, now, preliminary=True)


def _start_election(
    replica: Replica, now: Seconds, *, preliminary: bool
) -> list[Effect]:
    schedule_election(replica, now)
    replica.role = Role.CANDIDATE
    replica.preliminary = preliminary
    replica.votes_by_id = {replica.id: replica.incarnation}
    # Each majority that an earlier leader relied on contains one of the voters.
    replica.predecessor_heard_at = now - replica.leader_heard_ago(now)
    replica.predecessor_until = replica.predecessor_heard_at + AUTHORITY_DURATION
    effects: list[Effect] = []
    if not preliminary:
        term = replica.ballot.term + 1
        replica.ballot = replace(replica.ballot, term=term, voted_for=replica.id)
        effects.append(Persist((replica.ballot,)))
    for member in replica.others:
        request = RequestVote(
            term=replica.ballot.term + preliminary,
            candidate=replica.id,
            last_index=replica.last_index,
            last_term=replica.last_term,
            preliminary=preliminary,
            incarnation=replica.incarnation,
            waits=replica.links.record_sent(member, now),
        )
        effects += replica.links.reconnect_if_silent(member, now)
        effects.append(Send(Address(member, "configuration"), request))
    return effects + _count_votes(replica, now)


def _count_votes(replica: Replica, now: Seconds) -> list[Effect]:
    if len(replica.votes_by_id) < replica.quorum:
        return []
    if replica.preliminary:
        return _start_election(replica, now, preliminary=False)
    return become_leader(replica, now)


@step.register
def _(message: StandForElection, replica: Replica, now: Seconds) -> list[Effect]:
    """Stand for election at once, because the leader hands over its leadership."""
    if replica.role is not Role.FOLLOWER or message.term != replica.ballot.term:
        return []
    if not replica.is_member:
        return []
    return _start_election(replica, now, preliminary=False)


@step.register
def _(message: RequestVote, replica: Replica, now: Seconds) -> list[Effect]:
    effects = replica.links.reconnect_if_silent(message.candidate, now, message.waits)
    # The candidate may be a member that was replaced while it was unreachable and does
    # not know this yet. As a learner it receives the log.
    effects += register_learner(replica, message.candidate, now)
    return effects + _vote(message, replica, now)


def _vote(message: RequestVote, replica: Replica, now: Seconds) -> list[Effect]:
    if message.preliminary:
        has_leader = replica.role is Role.LEADER or (
            now - replica.leader_heard_at < ELECTION_MIN
        )
        granted = (
            not has_leader
            and message.term > replica.ballot.term
            and _is_up_to_date(message, replica)
        )
        return [_make_reply(message, replica, granted, now)]
    before = replica.ballot
    adopt_term(replica, message.term)
    granted = (
        message.term == replica.ballot.term
        and replica.ballot.voted_for in (None, message.candidate)
        and _is_up_to_date(message, replica)
    )
    if granted:
        replica.ballot = replace(replica.ballot, voted_for=message.candidate)
        schedule_election(replica, now)
    effects: list[Effect] = []
    if replica.ballot != before:
        effects.append(Persist((replica.ballot,)))
    return [*effects, _make_reply(message, replica, granted, now)]


def _is_up_to_date(message: RequestVote, replica: Replica) -> bool:
    own = (replica.last_term, replica.last_index)
    return (message.last_term, message.last_index) >= own


def _make_reply(
    message: RequestVote, replica: Replica, granted: bool, now: Seconds
) -> Send:
    reply = VoteReply(
        term=replica.ballot.term,
        requested_term=message.term,
        preliminary=message.preliminary,
        for_incarnation=message.incarnation,
        voter=replica.id,
        incarnation=replica.incarnation,
        granted=granted,
        fences_by_id=replica.ballot.fences_by_id,
        leader_heard_ago=replica.leader_heard_ago(now),
    )
    return Send(Address(message.candidate, "configuration"), reply)


@step.register
def _(message: VoteReply, replica: Replica, now: Seconds) -> list[Effect]:
    replica.links.record_received(message.voter)
    merge_fences(replica, message.fences_by_id)
    if message.term > replica.ballot.term:
        return adopt_term(replica, message.term)
    expected = (replica.preliminary, replica.ballot.term + replica.preliminary)
    if (
        replica.role is not Role.CANDIDATE
        or (message.preliminary, message.requested_term) != expected
        or message.for_incarnation != replica.incarnation
        or not message.granted
        or is_fenced(replica, message.voter, message.incarnation)
    ):
        return []
    replica.votes_by_id[message.voter] = message.incarnation
    replica.predecessor_until = max(
        replica.predecessor_until, now + AUTHORITY_DURATION - message.leader_heard_ago
    )
    return _count_votes(replica, now)
