"""A member that lost its disk, in situations that randomized tests seldom reach."""

from __future__ import annotations

from dataclasses import replace

from boragetide.commands import ChangeMembers, Proposal
from boragetide.effects import Effect, Persist, Send
from boragetide.log_records import Ballot, LogEntry, Snapshot
from boragetide.messages import (
    AppendReply,
    CatchUpState,
    LeaderNotice,
    RequestCatchUp,
    RequestVote,
    VoteReply,
)
from boragetide.policy import catch_up, elections
from boragetide.policy.replica import (
    ELECTION_MIN,
    Replica,
    Role,
    make_snapshot,
    restore_replica,
    step,
)
from boragetide.policy.replication import append_proposals, become_leader
from boragetide.settings import Settings
from boragetide.tests.conftest import make_settings
from boragetide.types import Address

FIVE_INSTANCES = {f"a{number}": "a" for number in range(1, 6)}
NOW = 100.0


def restore(settings: Settings, term: int, entries: int, commit: int = 0) -> Replica:
    """Build a member with entries of its term."""
    log = tuple(LogEntry(index, term, NOW) for index in range(1, entries + 1))
    held = Snapshot(Ballot(term), commit, Replica(settings, 1).catalogue, 0, 0, log)
    return restore_replica(settings, 1, (held,))


def rejoin(settings: Settings, *others: Replica) -> Replica:
    """Restart ``a1`` without its disk and deliver the states of the others."""
    blank = restore_replica(replace(settings, id="a1"), 7, ())
    for other in others:
        state = CatchUpState(other.id, 1, 7, make_snapshot(other))
        step(state, blank, NOW)
    return blank


def get_replies(effects: list[Effect], kind: type) -> list[object]:
    return [
        e.message for e in effects if isinstance(e, Send) and type(e.message) is kind
    ]


def test_blank_member_waits_for_enough_others(settings: Settings) -> None:
    """Guards against losing a change that only a member not asked still holds."""
    known = restore(replace(settings, id="a2"), term=3, entries=2)
    other = restore(replace(settings, id="a3"), term=4, entries=1)
    assert rejoin(settings, known).role is Role.BLANK
    rejoined = rejoin(settings, known, other)
    assert (rejoined.role, rejoined.last_index) == (Role.FOLLOWER, 1)


def test_rejoined_member_does_not_vote_again_in_a_known_term(
    settings: Settings,
) -> None:
    """Guards against two leaders of one term because a vote was lost with the disk."""
    others = [restore(replace(settings, id=i), term=5, entries=1) for i in ("a2", "a3")]
    rejoined = rejoin(settings, *others)
    request = RequestVote(5, "a3", 9, 5, preliminary=False, incarnation=1)
    (reply,) = get_replies(step(request, rejoined, NOW), VoteReply)
    assert not reply.granted
    (reply,) = get_replies(step(replace(request, term=6), rejoined, NOW), VoteReply)
    assert reply.granted


def test_rejoined_member_puts_nothing_older_in_force(settings: Settings) -> None:
    """Guards against a version that is reverted because the commit index was lost."""
    others = [
        restore(replace(settings, id=i), term=5, entries=4, commit=2)
        for i in ("a2", "a3")
    ]
    rejoined = rejoin(settings, *others)
    assert (rejoined.commit, rejoined.floor) == (2, 4)
    restarted = restore_replica(settings, 8, (make_snapshot(rejoined),))
    assert restarted.floor == 4


def test_acknowledgement_before_the_loss_does_not_count(settings: Settings) -> None:
    """Guards against a commit that counts on a copy that was lost with its disk."""
    settings = make_settings("a2", FIVE_INSTANCES)
    leader = restore(settings, term=5, entries=0)
    become_leader(leader, NOW)
    append_proposals(leader, (None,), NOW)
    acknowledge = AppendReply(5, "a1", 1, matched=True, index=2, fences_by_id={})
    step(acknowledge, leader, NOW)
    fenced = replace(acknowledge, member="a3", fences_by_id={"a1": 7})
    step(fenced, leader, NOW)
    assert leader.commit == 0
    step(acknowledge, leader, NOW)
    assert leader.commit == 0
    step(replace(acknowledge, member="a4"), leader, NOW)
    assert leader.commit == 2


def test_vote_before_the_loss_does_not_count(settings: Settings) -> None:
    """Guards against a leader that is elected by a vote that its voter lost."""
    settings = make_settings("a2", FIVE_INSTANCES)
    candidate = restore(settings, term=5, entries=0)
    candidate.election_at = 0.0
    elections.check_election(candidate, NOW)
    elections._start_election(candidate, NOW, preliminary=False)
    vote = VoteReply(6, 6, False, 1, "a1", 1, granted=True, fences_by_id={})
    step(vote, candidate, NOW)
    step(replace(vote, voter="a3", fences_by_id={"a1": 7}), candidate, NOW)
    assert candidate.role is Role.CANDIDATE
    step(replace(vote, voter="a4"), candidate, NOW)
    assert candidate.role is Role.LEADER


def test_promise_is_synced_before_the_state_is_sent(settings: Settings) -> None:
    """Guards against a fence that is lost in a crash."""
    member = restore(settings, term=5, entries=1)
    effects = step(RequestCatchUp("a2", 9), member, NOW)
    assert [type(effect) for effect in effects] == [Persist, Send]
    assert effects[0].records[0].fences_by_id == {"a2": 9}
    assert restore_replica(settings, 2, effects[0].records).ballot == member.ballot


def test_first_members_found_the_group(settings: Settings) -> None:
    """Guards against a new system that never forms a group, or forms two."""
    first = restore_replica(settings, 1, ())
    catch_up.check_catch_up(first, NOW)
    step(CatchUpState("a2", 1, 1, None), first, NOW)
    catch_up.check_catch_up(first, NOW + 1.0)
    assert first.role is Role.BLANK
    catch_up.check_catch_up(first, NOW + catch_up.FOUNDING_WAIT)
    assert first.ballot.founders_by_id == {"a1": 1, "a2": 1}


def test_rejoining_member_does_not_disturb_the_leader(settings: Settings) -> None:
    """Guards against elections that an isolated member forces when it reconnects."""
    member = restore(settings, term=5, entries=1)
    member.leader_heard_at = NOW
    request = RequestVote(6, "a3", 9, 5, preliminary=True, incarnation=1)
    now = NOW + 0.9 * ELECTION_MIN
    (reply,) = get_replies(step(request, member, now), VoteReply)
    assert not reply.granted and member.ballot.term == 5
    (reply,) = get_replies(step(request, member, NOW + 1.5), VoteReply)
    assert reply.granted and member.ballot.term == 5


def test_lost_disk_finds_the_members_behind_instances_without_the_log(
    settings: Settings,
) -> None:
    """Guards against a member that never rejoins because its seeds have no log."""
    known = [restore(replace(settings, id=i), term=4, entries=2) for i in ("a2", "a3")]
    members = Proposal("members 4:3", ChangeMembers(("a1", "a2", "a3")))
    for each in known:
        each.log.append(LogEntry(3, 4, NOW, members))
    seeds = ("e1", "e2", "e3")
    alone = replace(settings, founders=seeds, contacts=seeds, may_found_group=False)
    blank = restore_replica(replace(alone, id="a1"), 7, ())
    asked = [each.to for each in catch_up.check_catch_up(blank, NOW)]
    assert [to.instance for to in asked if to.controller == "directory"] == list(seeds)
    step(LeaderNotice("e1", 4, "a2", ("a2", "a3"), has_log=False), blank, NOW)
    asked = [each.to for each in catch_up.check_catch_up(blank, NOW + 1.0)]
    assert {Address(i, "configuration") for i in ("a2", "a3")} <= set(asked)
    for each in known:
        step(CatchUpState(each.id, 1, 7, make_snapshot(each)), blank, NOW + 1.0)
    assert (blank.role, blank.members) == (Role.FOLLOWER, ("a1", "a2", "a3"))
