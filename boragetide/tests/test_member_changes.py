"""Membership changes of the replicated log: who is added or removed, and when."""

from __future__ import annotations

from dataclasses import replace

import pytest

from boragetide.commands import ChangeMembers, Proposal
from boragetide.effects import Effect, Send
from boragetide.log_records import Ballot, LogEntry
from boragetide.messages import AppendReply, JoinRequest, RequestVote
from boragetide.policy import elections, member_changes
from boragetide.policy.member_changes import (
    LEARNER_SILENCE,
    MAX_ANSWER_AGE,
    MEMBER_SILENCE,
    choose_members,
    propose_member_change,
)
from boragetide.policy.replica import Replica, Role, apply_committed, step
from boragetide.policy.replication import become_leader
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import BEGIN


@pytest.fixture
def leader(settings: Settings) -> Replica:
    """Leader ``a1`` of three members, whose first entry is committed."""
    settings = replace(settings, member_count=3)
    made = Replica(settings, incarnation=1, role=Role.FOLLOWER, ballot=Ballot(1))
    become_leader(made, BEGIN)
    for member in made.others:
        acknowledge(made, member, BEGIN)
    return made


def acknowledge(replica: Replica, member: str, now: float) -> list[Effect]:
    """Deliver a member's or learner's acknowledgement of the whole log."""
    reply = AppendReply(
        term=replica.ballot.term,
        member=member,
        incarnation=1,
        matched=True,
        index=replica.last_index,
        fences_by_id={},
        sent_at=now,
    )
    return step(reply, replica, now)


def join(replica: Replica, learner: str, now: float) -> None:
    """Let a learner ask to join and acknowledge the whole log."""
    step(JoinRequest(learner), replica, now)
    acknowledge(replica, learner, now)


def test_silent_member_is_replaced_by_a_learner(leader: Replica) -> None:
    """Guards against a log without a spare member after an instance was replaced."""
    now = BEGIN + MEMBER_SILENCE + 0.1
    acknowledge(leader, "a2", now)
    join(leader, "a9", now)
    propose_member_change(leader, now)
    assert leader.members == ("a1", "a2", "a3", "a9")
    acknowledge(leader, "a2", now)
    acknowledge(leader, "a9", now)
    propose_member_change(leader, now)
    assert leader.members == ("a1", "a2", "a9")
    assert leader.progress_by_id.keys() == {"a2", "a9"}


def test_member_that_answers_again_is_no_longer_replaced(leader: Replica) -> None:
    """Guards against a log that keeps a member more than the settings ask for."""
    now = BEGIN + MEMBER_SILENCE + 0.1
    acknowledge(leader, "a2", now)
    join(leader, "a9", now)
    propose_member_change(leader, now)
    for member in ("a2", "a3", "a9"):
        acknowledge(leader, member, now)
    propose_member_change(leader, now)
    assert leader.members == ("a1", "a2", "a3")
    acknowledge(leader, "a2", now)
    join(leader, "a9", now)
    propose_member_change(leader, now)
    assert leader.members == ("a1", "a2", "a3")


def test_member_is_not_removed_before_a_learner_has_the_log(leader: Replica) -> None:
    """Guards against removing a member before its replacement has the log."""
    now = BEGIN + MEMBER_SILENCE + 0.1
    acknowledge(leader, "a2", now)
    propose_member_change(leader, now)
    step(JoinRequest("a9"), leader, now)
    propose_member_change(leader, now)
    assert leader.members == ("a1", "a2", "a3")


@pytest.mark.parametrize("lost", ["a2", "a9"])
def test_no_change_is_made_that_cannot_be_committed(leader: Replica, lost: str) -> None:
    """Guards against a log that needs an answer of an instance that is lost."""
    now = BEGIN + MEMBER_SILENCE + 0.1
    answered_at = {"a2": now, "a9": now, lost: now - MAX_ANSWER_AGE - 0.1}
    acknowledge(leader, "a2", answered_at["a2"])
    join(leader, "a9", answered_at["a9"])
    propose_member_change(leader, now)
    assert leader.members == ("a1", "a2", "a3")


def test_second_change_waits_for_the_first(leader: Replica) -> None:
    """Guards against two memberships whose majorities do not overlap."""
    now = BEGIN + MEMBER_SILENCE + 0.1
    acknowledge(leader, "a2", now)
    join(leader, "a9", now)
    propose_member_change(leader, now)
    propose_member_change(leader, now)
    assert leader.members == ("a1", "a2", "a3", "a9")


def test_change_waits_for_the_first_entry_of_the_term(settings: Settings) -> None:
    """Guards against a change that overlaps with one of an earlier leader."""
    settings = replace(settings, member_count=3)
    leader = Replica(settings, incarnation=1, role=Role.FOLLOWER, ballot=Ballot(1))
    become_leader(leader, BEGIN)
    now = BEGIN + MEMBER_SILENCE + 0.1
    join(leader, "a9", now)
    assert propose_member_change(leader, now) == []


def test_learner_has_no_vote_and_is_in_no_majority(leader: Replica) -> None:
    """Guards against an entry that is committed by instances that are not members."""
    join(leader, "a9", BEGIN)
    leader.log.append(LogEntry(leader.last_index + 1, 1, BEGIN))
    before = leader.commit
    acknowledge(leader, "a9", BEGIN)
    assert leader.commit == before
    acknowledge(leader, "a2", BEGIN)
    assert leader.commit == leader.last_index


def test_learner_does_not_stand_for_election(settings: Settings) -> None:
    """Guards against a leader that is not a member."""
    learner = Replica(replace(settings, founders=("a2", "a3")), 1, Role.FOLLOWER)
    learner.election_at = BEGIN
    effects = elections.check_election(learner, BEGIN + 1.0)
    asked = [(effect.to.instance, effect.message) for effect in effects]
    assert asked == [("a2", JoinRequest("a1")), ("a3", JoinRequest("a1"))]
    assert learner.role is Role.FOLLOWER


def test_removed_member_that_stands_becomes_a_learner(leader: Replica) -> None:
    """Guards against a replaced member that cannot rejoin after its absence."""
    now = BEGIN + MEMBER_SILENCE + 0.1
    for member in ("a2", "a9"):
        join(leader, "a9", now)
        acknowledge(leader, "a2", now)
        propose_member_change(leader, now)
        acknowledge(leader, member, now)
    assert leader.members == ("a1", "a2", "a9")
    request = RequestVote(2, "a3", 1, 1, preliminary=True, incarnation=1)
    step(request, leader, now)
    assert "a3" in leader.learners_by_id


def test_follower_forwards_a_join_request_to_its_leader(settings: Settings) -> None:
    """Guards against a learner that cannot join because it does not know the leader."""
    follower = Replica(settings, 1, Role.FOLLOWER, leader="a2")
    (effect,) = step(JoinRequest("a9"), follower, BEGIN)
    assert isinstance(effect, Send)
    assert (effect.to.instance, effect.message) == (
        "a2",
        JoinRequest("a9", forwarded=True),
    )
    assert step(JoinRequest("a9", forwarded=True), follower, BEGIN) == []


def test_learner_that_asks_no_longer_is_forgotten(leader: Replica) -> None:
    """Guards against replication to an instance that is gone."""
    join(leader, "a9", BEGIN)
    propose_member_change(leader, BEGIN + LEARNER_SILENCE + 0.1)
    assert leader.progress_by_id.keys() == {"a2", "a3"}


def test_uncommitted_change_is_in_force_and_can_be_undone(settings: Settings) -> None:
    """Guards against a majority that is counted with the wrong membership."""
    replica = Replica(settings, 1, Role.FOLLOWER)
    change = Proposal("members 1:1", ChangeMembers(("a1", "a2")))
    replica.log.append(LogEntry(1, 1, BEGIN, change))
    assert (replica.members, replica.quorum) == (("a1", "a2"), 2)
    del replica.log[:]
    assert replica.members == settings.initial_members


@pytest.mark.parametrize(
    ("members", "silent", "ready", "expected"),
    [
        ("abc", "", "d", "abc"),
        ("abc", "c", "", "abc"),
        ("abc", "bc", "de", "abcd"),
        ("abcd", "bc", "e", "acd"),
        ("abcd", "", "e", "abc"),
        ("ab", "", "de", "abd"),
        ("ab", "b", "d", "abd"),
    ],
)
def test_one_member_changes_at_a_time(
    members: str, silent: str, ready: str, expected: str
) -> None:
    """Guards against changes whose majorities do not overlap."""
    chosen = choose_members(tuple(members), 3, list(silent), list(ready), "a")
    assert chosen == tuple(expected)


def test_leader_is_not_the_member_that_is_removed() -> None:
    """Guards against a leader that removes itself while all members answer."""
    assert choose_members(("a", "b", "c", "d"), 3, [], [], "d") == ("a", "b", "d")


def test_members_of_the_settings_stay_if_no_member_count_is_set(
    leader: Replica,
) -> None:
    """Guards against changing the members that the operator's settings name."""
    leader.settings = replace(leader.settings, member_count=0)
    now = BEGIN + MEMBER_SILENCE + 0.1
    acknowledge(leader, "a2", now)
    join(leader, "a9", now)
    assert member_changes.propose_member_change(leader, now) == []


def test_members_of_the_settings_are_recorded_in_the_log(leader: Replica) -> None:
    """Guards against a lost disk that takes other instances for the members."""
    propose_member_change(leader, BEGIN)
    assert leader.log[-1].proposal.command == ChangeMembers(("a1", "a2", "a3"))
    for member in ("a2", "a3"):
        acknowledge(leader, member, BEGIN)
    apply_committed(leader)
    assert propose_member_change(leader, BEGIN) == []
