"""Confirmations that an instance has the newest configuration, among three members."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from boragetide.commands import CommandStatus, EvacuateZone, ReturnZone
from boragetide.controllers.configuration import handle, make_state
from boragetide.controllers.configuration_state import ConfigurationState
from boragetide.effects import Effect, Persist, Reply, SaveSnapshot, Send
from boragetide.messages import (
    AskConfirmation,
    ConfigurationConfirmed,
    Propose,
    ReadZone,
    Tick,
    VersionConfirmed,
    WokeUp,
)
from boragetide.policy.replica import AUTHORITY_DURATION, Role
from boragetide.policy.zones import MAX_VIEW_AGE
from boragetide.settings import Peer, Settings
from boragetide.types import ReplyTo

STEP = 0.05  # seconds of simulated time
ZONE = "z1"
DISPATCHERS = ("dispatcher", "dispatcher.1")


@dataclass
class Members:
    """Three members with disks and an instance without one; messages take a step."""

    settings: Settings
    now: float = 1000.0
    states_by_id: dict[str, ConfigurationState] = field(default_factory=dict)
    disks_by_id: dict[str, list[Any]] = field(default_factory=dict)
    network: list[tuple[str, Send]] = field(default_factory=list)
    cut: frozenset[str] = frozenset()
    frozen: frozenset[str] = frozenset()
    confirmed_by_id: dict[str, ConfigurationConfirmed] = field(default_factory=dict)
    replies: dict[int, Any] = field(default_factory=dict)
    incarnation: int = 0

    def __post_init__(self) -> None:
        for id_ in self.settings.peers_by_id:
            self.start(id_)
        self.run_for(3.0)

    def start(self, id_: str, *, lost_disk: bool = False) -> None:
        """Start a process with the records on its disk."""
        self.incarnation += 1
        disk = self.disks_by_id.setdefault(id_, [])
        if lost_disk:
            disk.clear()
        settings = replace(self.settings, id=id_)
        state = make_state(settings, self.incarnation, tuple(disk))
        if state.replica is not None:
            state.replica.jitter = random.Random(self.incarnation)
        self.states_by_id[id_] = state
        self.confirmed_by_id.pop(id_, None)

    def handle(self, id_: str, message: Any) -> None:
        """Let an instance handle a message."""
        for effect in handle(message, self.states_by_id[id_], self.now):
            self.execute(id_, effect)

    def execute(self, id_: str, effect: Effect) -> None:
        """Write to the disk, or send a message."""
        match effect:
            case Persist(records):
                self.disks_by_id[id_].extend(records)
            case SaveSnapshot(record):
                self.disks_by_id[id_][:] = [record]
            case Send(to, ConfigurationConfirmed() as confirmed):
                assert to.instance == id_
                assert to.controller in DISPATCHERS
                self.confirmed_by_id[id_] = confirmed
            case Send(to, _) if to.controller == "configuration":
                self.network.append((id_, effect))
            case Reply(to, message):
                self.replies[to.request] = message

    def run_for(self, seconds: float) -> None:
        """Advance the clock with ticks and deliveries."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            running = set(self.states_by_id) - self.frozen
            for id_ in sorted(running):
                self.handle(id_, Tick())
            waiting, self.network = self.network, []
            for sender, effect in waiting:
                to = effect.to.instance
                if to in self.frozen:
                    self.network.append((sender, effect))
                elif (sender in self.cut) == (to in self.cut):
                    self.handle(to, effect.message)

    def find_leader(self) -> str:
        """Return the leader among the instances that are connected."""
        return next(
            id_
            for id_, state in self.states_by_id.items()
            if id_ not in self.cut | self.frozen
            and state.replica is not None
            and state.replica.role is Role.LEADER
        )

    def propose(self, id_: str, command: Any, command_id: str) -> int:
        """Send a command and return the number of its request."""
        request = len(self.replies) + 100 * self.incarnation + len(command_id)
        to = ReplyTo(id_, request)
        self.handle(id_, Propose(command, command_id, reply_to=to))
        return request

    def await_reply(self, request: int) -> None:
        """Advance the clock until a request is answered."""
        for _ in range(100):
            if request in self.replies:
                return
            self.run_for(STEP)
        raise AssertionError(f"no reply to request {request}")

    def age(self, id_: str) -> float:
        """Return the age of an instance's view."""
        confirmed = self.confirmed_by_id.get(id_)
        return float("inf") if confirmed is None else self.now - confirmed.confirmed_at

    def is_evacuated(self, id_: str) -> bool:
        """Return whether the zone is evacuated as far as an instance knows."""
        in_force = self.states_by_id[id_].distribution.in_force
        return in_force is not None and ZONE in in_force.evacuated_zones


@pytest.fixture
def members() -> Members:
    """Members in an installation whose settings turn evacuation on."""
    ids = ("m0", "m1", "m2", "x0")
    peers = {id_: Peer(id_, "a", "", "", disk=id_ != "x0") for id_ in ids}
    settings = Settings(
        "m0",
        "a",
        peers,
        None,
        configuration_subscribers=("instances", *DISPATCHERS),
        evacuation=True,
    )
    return Members(settings)


def test_views_of_all_instances_stay_recent(members: Members) -> None:
    """Guards against dispatchers that stop in calm."""
    for _ in range(40):
        members.run_for(0.1)
        assert max(members.age(id_) for id_ in members.states_by_id) < 0.6


def test_other_instances_go_on_while_the_leader_is_replaced(members: Members) -> None:
    """Guards against a short loss of one leader that stops all groups."""
    lost = members.find_leader()
    members.frozen = frozenset({lost})
    others = set(members.states_by_id) - {lost}
    for _ in range(40):
        members.run_for(0.1)
        assert max(members.age(id_) for id_ in others) < MAX_VIEW_AGE
    assert members.find_leader() != lost


def test_acknowledged_evacuation_survives_the_leader(members: Members) -> None:
    """Guards against an evacuation that is lost with the leader that answered."""
    lost = members.find_leader()
    request = members.propose(lost, EvacuateZone(ZONE, 0), "c1")
    members.await_reply(request)
    assert members.replies[request].status is CommandStatus.ACCEPTED
    acknowledged_at = members.now
    members.frozen = frozenset({lost})
    members.run_for(3.0)
    for id_ in set(members.states_by_id) - {lost}:
        assert members.confirmed_by_id[id_].confirmed_at > acknowledged_at
        assert members.is_evacuated(id_)


def test_no_view_without_the_evacuation_is_confirmed_after_it(
    members: Members,
) -> None:
    """Guards against a member that is cut off and takes its view for recent."""
    leader = members.find_leader()
    cut = next(id_ for id_ in ("m0", "m1", "m2") if id_ != leader)
    members.cut = frozenset({cut})
    request = members.propose(leader, EvacuateZone(ZONE, 0), "c1")
    acknowledged_at = members.now
    members.run_for(5.0)
    assert members.replies[request].status is CommandStatus.ACCEPTED
    assert not members.is_evacuated(cut)
    assert members.confirmed_by_id[cut].confirmed_at <= acknowledged_at
    assert members.age(cut) > MAX_VIEW_AGE
    members.cut = frozenset()
    members.run_for(2.0)
    assert members.is_evacuated(cut)
    assert members.age(cut) < 0.6


def test_leader_that_is_cut_off_or_wakes_up_confirms_nothing(members: Members) -> None:
    """Guards against a former leader that confirms what it does not know."""
    leader = members.find_leader()
    members.cut = frozenset({leader, "x0"})
    members.run_for(2.0)
    confirmed_at = members.confirmed_by_id[leader].confirmed_at
    other = members.find_leader()
    members.propose(other, EvacuateZone(ZONE, 0), "c1")
    members.run_for(4.0)
    assert members.confirmed_by_id[leader].confirmed_at <= confirmed_at
    assert members.age("x0") > MAX_VIEW_AGE
    members.handle(leader, WokeUp(members.now - 5.0))
    members.handle(leader, AskConfirmation("x0", 1))
    answers = [e for _, e in members.network if isinstance(e.message, VersionConfirmed)]
    assert all(answer.message.sender != leader for answer in answers)


def test_evacuation_survives_the_loss_of_power_of_all_members(
    members: Members,
) -> None:
    """Guards against an acknowledgement before the entry is on a majority of disks."""
    leader = members.find_leader()
    request = members.propose(leader, EvacuateZone(ZONE, 0), "c1")
    members.await_reply(request)
    members.network.clear()
    for id_ in members.states_by_id:
        members.start(id_)
    members.run_for(4.0)
    for id_ in members.states_by_id:
        assert members.is_evacuated(id_)
        assert members.age(id_) < 0.6


def test_member_with_a_lost_disk_gets_the_evacuated_zones(members: Members) -> None:
    """Guards against a member that has an older view after it has lost its disk."""
    leader = members.find_leader()
    members.propose(leader, EvacuateZone(ZONE, 0), "c1")
    members.run_for(1.0)
    lost = next(id_ for id_ in ("m0", "m1", "m2") if id_ != leader)
    members.start(lost, lost_disk=True)
    members.run_for(4.0)
    assert members.age(lost) < 0.6
    assert members.is_evacuated(lost)


def test_answer_to_an_earlier_process_does_not_count(members: Members) -> None:
    """Guards against a confirmation as of a time of another clock."""
    members.network.clear()
    number = members.states_by_id["x0"].confirmations.next_number - 1
    members.start("x0")
    members.handle("x0", VersionConfirmed("m0", number, -1))
    assert "x0" not in members.confirmed_by_id


def test_delayed_begin_at_a_frozen_leader_has_no_effect_after_a_finish(
    members: Members,
) -> None:
    """Guards against a zone that is evacuated by a copy which a finish overtook."""
    lost = members.find_leader()
    sender = next(id_ for id_ in ("m0", "m1", "m2") if id_ != lost)
    members.frozen = frozenset({lost})
    late = members.propose(sender, EvacuateZone(ZONE, 0), "zone z1 begin 0")
    held = [pair for pair in members.network if pair[1].to.instance == lost]
    pending = members.states_by_id[sender].proposals.pending_by_command
    pending.clear()
    members.run_for(3.0)
    leader = members.find_leader()
    finish = members.propose(leader, ReturnZone(ZONE, 0), "zone z1 finish 0")
    members.run_for(0.5)
    assert members.replies[finish].status is CommandStatus.ACCEPTED
    members.frozen = frozenset()
    members.network += held
    members.run_for(3.0)
    assert late not in members.replies
    assert not any(members.is_evacuated(id_) for id_ in members.states_by_id)
    leader = members.find_leader()
    members.handle(leader, ReadZone(zone=ZONE, reply_to=ReplyTo(leader, 1)))
    assert members.replies[1].order == 1


def test_cut_off_leader_confirms_nothing_once_another_may_lead(
    members: Members,
) -> None:
    """Guards against confirmations by a leader that does not know that it was replaced.

    It goes on as a leader for longer than it has authority.
    """
    leader = members.find_leader()
    members.cut = frozenset({leader})
    cut_at = members.now
    replica = members.states_by_id[leader].replica
    while replica.role is Role.LEADER:
        members.run_for(STEP)
        members.network.clear()
        members.handle(leader, AskConfirmation("x0", 1))
        answers = [
            each
            for _, each in members.network
            if isinstance(each.message, VersionConfirmed)
        ]
        has_expired = members.now > cut_at + AUTHORITY_DURATION
        assert not (has_expired and answers)
    assert members.now > cut_at + AUTHORITY_DURATION
    confirmed = members.confirmed_by_id[leader]
    assert confirmed.confirmed_at <= cut_at + AUTHORITY_DURATION


def test_views_stay_recent_under_frequent_changes(members: Members) -> None:
    """Guards against answers that never count as each names the next version."""
    for number in range(60):
        leader = members.find_leader()
        kind = ReturnZone if number % 2 else EvacuateZone
        members.propose(leader, kind(ZONE), f"c{number}")
        members.run_for(0.1)
        assert max(members.age(id_) for id_ in members.states_by_id) < 1.5
