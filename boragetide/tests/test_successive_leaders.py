"""What a new leader knows about the authority of all earlier ones."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import pytest

from boragetide.commands import Proposal, SetClass
from boragetide.controllers.server_state import LEASE_DURATION, MIN_CLOCK_RATE
from boragetide.controllers.takeover import LEASE_EXPIRY_WAIT
from boragetide.effects import Effect, Send
from boragetide.log_records import Ballot
from boragetide.policy import elections, replication
from boragetide.policy.replica import (
    ELECTION_MIN,
    Replica,
    Role,
    make_snapshot,
    restore_replica,
    step,
)
from boragetide.tests.conftest import make_settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.types import InstanceId, Seconds

Link: TypeAlias = tuple[InstanceId, InstanceId]

MEMBERS = ("a1", "a2", "a3")
TRANSIT: Seconds = 0.001
UPTIME: Seconds = 60.0  # for which all members have run when a test begins
# Time from the decision to start a run until its lease has expired.
ORDERED_LEASE = LEASE_DURATION / MIN_CLOCK_RATE


@dataclass
class Group:
    """Three members whose messages arrive at once, unless their link is cut.

    Parameters
    ----------
    cut_links
        Links, as pairs of the sender and the receiver, that hold their messages.
    orders_until_by_term
        End of the authority that the dispatcher of each leader was told of.
    """

    replicas_by_id: dict[InstanceId, Replica]
    now: Seconds = BEGIN
    cut_links: set[Link] = field(default_factory=set)
    held: list[tuple[Link, Any]] = field(default_factory=list)
    orders_until_by_term: Counter[int] = field(default_factory=Counter)

    def cut(self, first: InstanceId, second: InstanceId) -> None:
        """Cut two members off from each other."""
        self.cut_links |= {(first, second), (second, first)}

    def release(self, sender: InstanceId, receiver: InstanceId) -> None:
        """Deliver what a link has held."""
        link = (sender, receiver)
        self.cut_links.discard(link)
        messages = [message for held_by, message in self.held if held_by == link]
        self.held = [each for each in self.held if each[0] != link]
        for message in messages:
            self.deliver(receiver, message)

    def execute(self, sender: InstanceId, effects: list[Effect]) -> None:
        """Deliver the messages of a member, and those that follow."""
        self.note_authority()
        for effect in effects:
            if not isinstance(effect, Send):
                continue
            receiver = effect.to.instance
            if (sender, receiver) in self.cut_links:
                self.held.append(((sender, receiver), effect.message))
            else:
                self.deliver(receiver, effect.message)

    def deliver(self, receiver: InstanceId, message: Any) -> None:
        """Let a member handle a message, and execute its effects."""
        self.now += TRANSIT
        effects = step(message, self.replicas_by_id[receiver], self.now)
        self.execute(receiver, effects)

    def note_authority(self) -> None:
        """Note the authority that the dispatcher of a leader may have been told of."""
        for replica in self.replicas_by_id.values():
            until = replica.authority_until(self.now)
            term = replica.ballot.term
            known = self.orders_until_by_term[term]
            self.orders_until_by_term[term] = max(known, until)

    def tick_leader(self, member: InstanceId) -> None:
        """Let a leader handle a tick."""
        replica = self.replicas_by_id[member]
        self.execute(member, replication.check_leader(replica, self.now))

    def append(self, member: InstanceId, proposal: Proposal | None = None) -> None:
        """Let a leader append an entry between two ticks."""
        replica = self.replicas_by_id[member]
        effects = replication.append_proposals(replica, (proposal,), self.now)
        self.execute(member, effects)

    def stand(self, member: InstanceId) -> None:
        """Let a member stand for election, as at a tick."""
        replica = self.replicas_by_id[member]
        replica.election_at = self.now
        self.execute(member, elections.check_election(replica, self.now))

    def hand_over(self, member: InstanceId, successor: InstanceId) -> None:
        """Let a leader hand its leadership over."""
        replica = self.replicas_by_id[member]
        effects = replication.transfer_leadership(replica, self.now, successor)
        self.execute(member, effects)

    def restart(self, member: InstanceId) -> None:
        """Replace the process of a member by one that has read its journal."""
        previous = self.replicas_by_id[member]
        incarnation = int(self.now * 1000)
        records = (make_snapshot(previous),)
        restarted = restore_replica(previous.settings, incarnation, records)
        self.replicas_by_id[member] = restarted

    def find_leader(self) -> Replica:
        """Return the leader of the newest term."""
        leaders = [
            replica
            for replica in self.replicas_by_id.values()
            if replica.role is Role.LEADER
        ]
        return max(leaders, key=lambda replica: replica.ballot.term)


@pytest.fixture
def group() -> Group:
    """A group that ``a1`` has led since `BEGIN`."""
    zones_by_id = dict.fromkeys(MEMBERS, "a")
    incarnation = int((BEGIN - UPTIME) * 1000)
    made = Group(
        {
            id_: Replica(
                make_settings(id_, zones_by_id),
                incarnation,
                role=Role.FOLLOWER,
                ballot=Ballot(1),
            )
            for id_ in MEMBERS
        }
    )
    leader = made.replicas_by_id["a1"]
    made.execute("a1", replication.become_leader(leader, made.now))
    made.tick_leader("a1")
    return made


def check_bounded(group: Group) -> None:
    """Check that a takeover by time outlasts what all earlier leaders ordered."""
    leader = group.find_leader()
    orders_until = max(
        until
        for term, until in group.orders_until_by_term.items()
        if term < leader.ballot.term
    )
    assert leader.predecessor_until >= orders_until
    taken_over_at = leader.predecessor_until + LEASE_EXPIRY_WAIT
    assert taken_over_at >= orders_until + ORDERED_LEASE


def test_vote_of_a_leader_with_late_ticks_bounds_its_authority(group: Group) -> None:
    """Guards against a takeover beside runs that a slow leader has just ordered.

    The leader handles answers late, and sends the news of a commit between two ticks.
    """
    group.cut_links = {("a2", "a1"), ("a3", "a1")}
    group.append("a1", Proposal("c1", SetClass("batch", 2.0, 0.5), 0))
    group.now = BEGIN + 0.9
    group.cut("a1", "a3")
    group.release("a2", "a1")
    assert group.orders_until_by_term[1] == pytest.approx(BEGIN + 1.3, abs=0.01)
    group.now = BEGIN + 1.45
    group.cut_links.clear()
    group.stand("a3")
    assert group.find_leader().id == "a3"
    check_bounded(group)


def test_handover_bounds_the_authority_of_the_leader_that_gives_it_up(
    group: Group,
) -> None:
    """Guards against a takeover beside a dispatcher that has not heard of it yet."""
    group.now = BEGIN + 0.1
    group.append("a1")
    group.hand_over("a1", "a2")
    assert group.find_leader().id == "a2"
    check_bounded(group)


@pytest.mark.parametrize("pause", [0.0, 0.05, 0.3])
def test_second_handover_bounds_the_authority_of_both_leaders(
    group: Group, pause: Seconds
) -> None:
    """Guards against a successor that only knows about the last leader.

    The second leader hands over before its first tick, and the third one did not hear
    the last append of the first.
    """
    group.now = BEGIN + 0.1
    group.cut("a1", "a3")
    group.append("a1")
    group.hand_over("a1", "a2")
    group.now += pause
    group.hand_over("a2", "a3")
    assert group.find_leader().id == "a3"
    check_bounded(group)


def test_third_change_bounds_the_authority_of_all_leaders(group: Group) -> None:
    """Guards against a bound that is lost with the second of three leaders."""
    group.now = BEGIN + 0.1
    group.append("a1")
    group.hand_over("a1", "a2")
    group.hand_over("a2", "a3")
    group.cut("a3", "a2")
    group.hand_over("a3", "a1")
    assert group.find_leader().id == "a1"
    assert group.find_leader().ballot.term == 4
    check_bounded(group)


def test_restarted_voter_bounds_the_authority_that_it_acknowledged(
    group: Group,
) -> None:
    """Guards against a new process that does not know what the last one has heard."""
    group.cut("a1", "a3")
    group.now = BEGIN + 0.7
    group.tick_leader("a1")
    assert group.orders_until_by_term[1] == pytest.approx(BEGIN + 1.1, abs=0.01)
    group.cut("a1", "a2")
    group.restart("a2")
    group.stand("a3")
    assert group.find_leader().id == "a3"
    check_bounded(group)


def test_leader_without_its_predecessors_vote_waits_for_the_last_append(
    group: Group,
) -> None:
    """Guards against a takeover by what only the successor itself has heard."""
    group.cut("a1", "a3")
    group.now = BEGIN + 0.7
    group.tick_leader("a1")
    group.cut("a1", "a2")
    group.now = BEGIN + 0.7 + ELECTION_MIN
    group.stand("a3")
    leader = group.find_leader()
    assert leader.id == "a3"
    assert leader.missed_predecessor
    check_bounded(group)
