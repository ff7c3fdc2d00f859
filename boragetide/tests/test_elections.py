"""Elections: what a new leader knows about its predecessor, and handovers."""

from __future__ import annotations

import pytest

from boragetide.effects import Reconnect, Send
from boragetide.log_records import Ballot
from boragetide.messages import (
    AppendEntries,
    RequestVote,
    StandForElection,
    VoteReply,
)
from boragetide.policy import elections, replication
from boragetide.policy.replica import (
    AUTHORITY_DURATION,
    ELECTION_MIN,
    Replica,
    Role,
    step,
)
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import BEGIN


@pytest.fixture
def replica(settings: Settings) -> Replica:
    """A member in term 1 that last heard from its leader at `BEGIN`."""
    made = Replica(settings, incarnation=1, role=Role.FOLLOWER, ballot=Ballot(1))
    made.leader, made.leader_heard_at = "a2", BEGIN
    return made


def deliver_vote(replica: Replica, heard_ago: float, now: float) -> None:
    reply = VoteReply(
        term=replica.ballot.term,
        requested_term=replica.ballot.term,
        preliminary=False,
        for_incarnation=1,
        voter="a3",
        incarnation=1,
        granted=True,
        fences_by_id={},
        leader_heard_ago=heard_ago,
    )
    step(reply, replica, now)


def stand_for_election(replica: Replica, now: float) -> list[object]:
    return step(StandForElection(replica.ballot.term, "a2"), replica, now)


def test_latest_sign_of_a_leader_bounds_its_authority(replica: Replica) -> None:
    """Guards against starting runs while an earlier leader can still give orders."""
    stand_for_election(replica, BEGIN + 1.0)
    deliver_vote(replica, heard_ago=0.3, now=BEGIN + 1.1)
    assert replica.role is Role.LEADER
    assert replica.predecessor_until == pytest.approx(BEGIN + 0.8 + AUTHORITY_DURATION)


def test_member_that_heard_no_leader_assumes_one_until_its_start(
    replica: Replica,
) -> None:
    """Guards against a restarted member that takes over too early, or too late."""
    replica.leader_heard_at = 0.0
    replica.incarnation = int((BEGIN + 0.7) * 1000)
    stand_for_election(replica, BEGIN + 1.0)
    assert replica.predecessor_until == pytest.approx(BEGIN + 0.7 + AUTHORITY_DURATION)


@pytest.mark.parametrize(("heard_ago", "missed"), [(0.9, False), (0.2, True)])
def test_member_that_others_heard_the_leader_without_has_missed_it(
    replica: Replica, heard_ago: float, missed: bool
) -> None:
    """Guards against a member that takes its table of backend servers for complete.

    The earlier leader passed on announcements while it could not reach this member.
    """
    stand_for_election(replica, BEGIN + 1.0)
    deliver_vote(replica, heard_ago=heard_ago, now=BEGIN + 1.0)
    assert replica.role is Role.LEADER
    assert replica.missed_predecessor is missed


def test_authority_ends_before_another_member_can_be_elected() -> None:
    """Guards against two leaders that give orders at the same time."""
    assert AUTHORITY_DURATION < ELECTION_MIN


def test_leader_that_stops_names_its_successor(replica: Replica) -> None:
    """Guards against seconds without a leader at every planned restart."""
    stand_for_election(replica, BEGIN + 1.0)
    deliver_vote(replica, heard_ago=0.3, now=BEGIN + 1.0)
    replica.progress_by_id["a3"].match_index = 9
    sent = [
        each
        for each in replication.transfer_leadership(replica, BEGIN + 1.0)
        if isinstance(each, Send)
    ]
    assert [each.to.instance for each in sent] == ["a3"]
    assert sent[0].message == StandForElection(replica.ballot.term, "a1")


def test_leader_that_hands_over_gives_no_more_orders(replica: Replica) -> None:
    """Guards against a leader with authority beside its successor."""
    stand_for_election(replica, BEGIN + 1.0)
    deliver_vote(replica, heard_ago=0.3, now=BEGIN + 1.0)
    replica.progress_by_id["a3"].answered_at = BEGIN + 1.0
    assert replica.authority_until(BEGIN + 1.0) > BEGIN + 1.0
    replication.transfer_leadership(replica, BEGIN + 1.0)
    assert replica.authority_until(BEGIN + 1.0) == 0.0
    assert replica.election_at >= BEGIN + 1.0 + ELECTION_MIN


def test_candidate_without_an_answer_reconnects(replica: Replica) -> None:
    """Guards against elections that fail because connections stay silent."""
    effects: list[object] = []
    for tenth in range(40):
        effects += elections.check_election(replica, BEGIN + 1.0 + tenth / 10)
    reconnected = {each.instance for each in effects if isinstance(each, Reconnect)}
    assert reconnected == {"a2", "a3"}
    asked = [each.message for each in effects if isinstance(each, Send)]
    assert max(m.waits for m in asked if isinstance(m, RequestVote)) > 1.0


def test_deposed_leader_reports_that_it_led_until_now(replica: Replica) -> None:
    """Guards against a successor that believes the deposed leader stopped long ago."""
    stand_for_election(replica, BEGIN + 1.0)
    deliver_vote(replica, heard_ago=0.3, now=BEGIN + 1.0)
    replication.check_leader(replica, BEGIN + 3.0)
    request = RequestVote(
        term=replica.ballot.term + 1,
        candidate="a2",
        last_index=replica.last_index,
        last_term=replica.last_term,
        preliminary=False,
        incarnation=1,
    )
    effects = step(request, replica, BEGIN + 3.1)
    (reply,) = [each.message for each in effects if isinstance(each, Send)]
    assert reply.granted
    assert reply.leader_heard_ago == pytest.approx(0.1)


def test_vote_request_that_was_lost_before_the_last_leader_is_no_silence(
    replica: Replica,
) -> None:
    """Guards against working links that are replaced as an election begins."""
    stand_for_election(replica, BEGIN)
    heard = AppendEntries(
        term=replica.ballot.term,
        leader="a2",
        previous_index=0,
        previous_term=0,
        entries=(),
        commit=0,
        sent_at=BEGIN,
        waits=0.0,
    )
    step(heard, replica, BEGIN + 10.0)
    effects = elections.check_election(replica, replica.election_at + 0.1)
    assert any(isinstance(each, Send) for each in effects)
    assert not any(isinstance(each, Reconnect) for each in effects)
