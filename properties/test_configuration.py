"""Consensus on the configuration under message loss, crashes and lost disks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from boragetide.commands import (
    CommandStatus,
    DrainBackendServer,
    EvacuateZone,
    RegisterAcceptor,
    ReturnZone,
    SetClass,
    ZoneCommand,
)
from boragetide.controllers.configuration import handle, make_state
from boragetide.controllers.configuration_state import ConfigurationState
from boragetide.effects import Effect, LogEvent, Persist, Reply, SaveSnapshot, Send
from boragetide.encoding import decode_value, encode_value
from boragetide.links.codec import Envelope, decode_body, encode_body
from boragetide.log_records import RECORD_TYPES
from boragetide.messages import (
    ConfigurationChanged,
    ConfigurationConfirmed,
    NewerConfiguration,
    Propose,
    Tick,
)
from boragetide.policy import replica as replica_module
from boragetide.policy.replica import Replica, Role, restore_replica
from boragetide.settings import Peer, Settings
from boragetide.types import ReplyTo

STEP = 0.05  # seconds of simulated time
EXAMPLES = 150
COMMIT_NEWS_TIME = 0.5  # seconds; some heartbeats of a leader
CONVERGENCE_TIME = 12.0  # seconds within which all agree once faults are repaired
CALM_TIME = 3.0  # seconds within which an election that has begun is over
ZONES = ("z1", "z2")
TYPES_BY_NAME = {type_.__name__: type_ for type_ in RECORD_TYPES}
COMMAND_IDS = [f"c{number}" for number in range(8)]


@dataclass
class Node:
    """One instance: its state while it runs, and the records on its disk."""

    id: str
    incarnation: int = 0
    state: ConfigurationState | None = None
    disk: list[bytes] = field(default_factory=list)
    effects_left: int | None = None
    version: int = -1
    proposals: list[Propose] = field(default_factory=list)
    retired: bool = False


class Agreement(RuleBasedStateMachine):
    """Members ``m0`` to ``m2`` with disks, and an instance ``x0`` without a disk."""

    members = 3
    spares = 0

    @initialize(seed=st.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1_000.0
        ids = [f"m{number}" for number in range(self.members + self.spares)]
        ids.append("x0")
        self.peers_by_id = {
            id_: Peer(id_, "a", "", "", disk=id_.startswith("m")) for id_ in ids
        }
        self.nodes_by_id = {id_: Node(id_) for id_ in ids}
        self.network: list[tuple[str, str, Envelope]] = []
        self.cut: frozenset[str] = frozenset()
        self.commands = 0
        self.outcomes_by_command: dict[Any, Any] = {}
        self.versions_by_command: dict[str, set[int]] = {}
        self.commands_by_version: dict[int, str] = {}
        self.contents_by_version: dict[int, Any] = {}
        self.accepted_at_by_version: dict[int, float] = {}
        self.leaders_by_term: dict[int, tuple[str, int]] = {}
        self.first_by_instance: dict[str, int] = {}
        for node in self.nodes_by_id.values():
            self.start_node(node)
        self.run_for(3.0, loss=0.0)

    def start_node(self, node: Node) -> None:
        if node.retired:
            return
        self.incarnations = getattr(self, "incarnations", 0) + 1
        node.incarnation = self.incarnations
        node.effects_left = None
        records = tuple(self.decode_record(data) for data in node.disk)
        node.state = make_state(self.make_settings(node), node.incarnation, records)
        transfer = node.state.distribution.transfer
        transfer.jitter = random.Random(node.incarnation)
        if node.state.replica is not None:
            node.state.replica.jitter = random.Random(self.random.random())

    def make_settings(self, node: Node) -> Settings:
        return Settings(node.id, "a", self.peers_by_id, None, evacuation=True)

    @staticmethod
    def decode_record(data: bytes) -> Any:
        name, raw = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        return msgspec.msgpack.decode(
            raw, type=TYPES_BY_NAME[name], dec_hook=decode_value
        )

    def handle(self, node: Node, message: Any) -> None:
        if node.state is None:
            return
        for effect in handle(message, node.state, self.now):
            if node.effects_left is not None:
                node.effects_left -= 1
                if node.effects_left < 0:
                    self.stop_node(node)
                    return
            self.execute_effect(node, effect)

    def stop_node(self, node: Node) -> None:
        node.state = None
        if node.id == "x0":
            node.version = -1

    def execute_effect(self, node: Node, effect: Effect) -> None:
        match effect:
            case Persist(records):
                node.disk += [self.encode_record(record) for record in records]
            case SaveSnapshot(record):
                node.disk = [self.encode_record(record)]
            case Send(to, ConfigurationChanged(configuration)):
                if to.controller == "instances":
                    self.check_in_force(node, configuration)
            case Send(to, ConfigurationConfirmed() as confirmed):
                assert to.instance == node.id
                self.check_confirmed(node, confirmed)
            case Send(to, message):
                kind = type(message).__name__
                body = encode_body(message)
                envelope = Envelope(node.id, 0, "configuration", 0, kind, body)
                self.network.append((node.id, to.instance, envelope))
            case Reply(to, message):
                self.check_outcome(to, message)
            case LogEvent("leader_elected", fields):
                leader = (node.id, node.incarnation)
                assert self.leaders_by_term.setdefault(fields["term"], leader) == leader

    @staticmethod
    def encode_record(record: Any) -> bytes:
        tagged = (type(record).__name__, record)
        return msgspec.msgpack.encode(tagged, enc_hook=encode_value)

    def check_in_force(self, node: Node, configuration: Any) -> None:
        assert configuration.version >= node.version
        node.version = configuration.version
        known = self.contents_by_version.setdefault(node.version, configuration)
        assert known == configuration

    def check_confirmed(self, node: Node, confirmed: ConfigurationConfirmed) -> None:
        """Check that nothing newer was acknowledged before the confirmed time."""
        assert confirmed.version <= node.version
        for version, accepted_at in self.accepted_at_by_version.items():
            is_newer = version > confirmed.version
            assert not (is_newer and accepted_at < confirmed.confirmed_at), node.id

    def check_outcome(self, to: ReplyTo, message: Any) -> None:
        propose = self.nodes_by_id[to.instance].proposals[to.request]
        if message.status is CommandStatus.UNKNOWN:
            return
        command = propose.command
        if isinstance(command, RegisterAcceptor):
            if message.first:
                first = self.first_by_instance.setdefault(
                    command.instance, command.incarnation
                )
                assert first == command.incarnation
            key: Any = (command.instance, command.incarnation)
            assert self.outcomes_by_command.setdefault(key, message.first) == (
                message.first
            )
            return
        outcome = (message.status, message.version)
        known = self.outcomes_by_command.setdefault(propose.command_id, outcome)
        assert known == outcome
        if message.status is CommandStatus.ACCEPTED:
            self.accepted_at_by_version.setdefault(message.version, self.now)
        if isinstance(command, ZoneCommand):
            self.check_zone(command, message)
        elif message.status is CommandStatus.ACCEPTED:
            # A command id that is reused with another version keeps its first outcome.
            expected = self.versions_by_command[propose.command_id]
            assert message.version - 1 in expected
            assert (
                self.commands_by_version.setdefault(message.version, propose.command_id)
                == propose.command_id
            )

    def check_zone(self, command: Any, message: Any) -> None:
        """Check that an accepted command is in force, whether it changed anything.

        A version that was replaced by a newer one at once was in force nowhere.
        """
        content = self.contents_by_version.get(message.version)
        if message.status is CommandStatus.ACCEPTED and content is not None:
            is_evacuated = command.zone in content.evacuated_zones
            assert is_evacuated == isinstance(command, EvacuateZone)

    def run_for(self, seconds: float, loss: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for node in self.nodes_by_id.values():
                if self.random.random() < 0.5:
                    self.handle(node, Tick())
            self.send_heartbeats()
            waiting, self.network = self.network, []
            self.random.shuffle(waiting)
            for sender, to, envelope in waiting:
                self.deliver(sender, to, envelope, loss)

    def await_calm(self) -> None:
        """Let an election end that has begun by chance just before.

        Ticks are random: a leader that has none for 0.5 s, one time in a thousand, is
        replaced, and the versions of the others lag for a moment.
        """
        end = self.now + CALM_TIME
        while self.now < end:
            states = [node.state for node in self.list_disks()]
            roles = {state.replica.role for state in states}
            versions = {state.distribution.version for state in states}
            if roles == {Role.LEADER, Role.FOLLOWER} and len(versions) == 1:
                return
            self.run_for(STEP, loss=0.0)

    def await_same_entries(self) -> None:
        """Let the members learn what their leader has committed just now.

        One that was elected just before commits its first entry, which the others apply
        with its next heartbeat.
        """
        end = self.now + COMMIT_NEWS_TIME
        while self.now < end:
            members = [node.state.replica for node in self.list_disks()]
            applied = {each.catalogue.index for each in members if each.is_member}
            if len(applied) == 1:
                return
            self.run_for(STEP, loss=0.0)

    def deliver(self, sender: str, to: str, envelope: Envelope, loss: float) -> None:
        if (sender in self.cut) != (to in self.cut):
            return
        draw = self.random.random()
        if draw < loss:
            return
        if draw < 2 * loss:
            self.network.append((sender, to, envelope))
            if draw < 1.5 * loss:
                return
        self.handle(self.nodes_by_id[to], decode_body(envelope))

    def send_heartbeats(self) -> None:
        for node in self.nodes_by_id.values():
            if node.state is None or self.random.random() > 0.1:
                continue
            for peer in self.nodes_by_id.values():
                if peer.version < node.version:
                    newer = NewerConfiguration(node.id, node.version)
                    body = encode_body(newer)
                    kind = type(newer).__name__
                    envelope = Envelope(node.id, 0, "configuration", 0, kind, body)
                    self.network.append((node.id, peer.id, envelope))

    def select_node(self, number: int) -> Node:
        nodes = list(self.nodes_by_id.values())
        return nodes[number % len(nodes)]

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 4.0]), loss=st.sampled_from([0, 0.3]))
    def pass_time(self, seconds: float, loss: float) -> None:
        self.run_for(seconds, loss)

    @rule(
        number=st.integers(0, 9),
        command_id=st.sampled_from(COMMAND_IDS),
        ahead=st.sampled_from([0, 0, 0, -1, 1]),
        operators=st.integers(1, 2),
    )
    def propose(self, number: int, command_id: str, ahead: int, operators: int) -> None:
        newest = max(self.contents_by_version, default=0)
        for operator in range(operators):
            own_id = f"{command_id}-{operator}"
            command = (
                SetClass("batch", 1.0, 0.5) if operator else DrainBackendServer(own_id)
            )
            propose = Propose(command, own_id, max(newest + ahead, 0))
            self.send_proposal(self.select_node(number + operator), propose)

    @rule(
        numbers=st.lists(st.integers(0, 9), min_size=1, max_size=6),
        loss=st.sampled_from([0, 0.2]),
        pause=st.sampled_from([0.0, 0.1, 0.4]),
    )
    def operate(self, numbers: list[int], loss: float, pause: float) -> None:
        """Propose changes one after another, each based on the newest known version."""
        for number in numbers:
            self.commands += 1
            command = DrainBackendServer(f"s{self.commands}")
            version = max(self.contents_by_version, default=0)
            self.send_proposal(
                self.select_node(number), Propose(command, f"o{self.commands}", version)
            )
            self.run_for(pause, loss)

    @rule(
        number=st.integers(0, 9),
        zone=st.sampled_from(ZONES),
        evacuates=st.booleans(),
        ahead=st.sampled_from([None, 0, 0, -1]),
        order=st.sampled_from([None, 0, 1, 2]),
        operators=st.integers(1, 2),
    )
    def change_zone(
        self,
        number: int,
        zone: str,
        evacuates: bool,
        ahead: int | None,
        order: int | None,
        operators: int,
    ) -> None:
        """Evacuate or return a zone; the second operator asks for the opposite."""
        newest = max(self.contents_by_version, default=0)
        version = None if ahead is None else max(newest + ahead, 0)
        for operator in range(operators):
            self.commands += 1
            kind = EvacuateZone if evacuates != bool(operator) else ReturnZone
            propose = Propose(kind(zone, order), f"z{self.commands}", version)
            self.send_proposal(self.select_node(number + operator), propose)

    @rule(number=st.integers(0, 9), instance=st.sampled_from(["i1", "i2"]))
    def register(self, number: int, instance: str) -> None:
        node = self.select_node(number)
        self.send_proposal(
            node, Propose(RegisterAcceptor(instance, self.random.randrange(3)))
        )

    def send_proposal(self, node: Node, propose: Propose) -> None:
        reply_to = ReplyTo(node.id, len(node.proposals))
        node.proposals.append(propose)
        if propose.expected_version is not None:
            versions = self.versions_by_command.setdefault(propose.command_id, set())
            versions.add(propose.expected_version)
        self.handle(node, replace(propose, reply_to=reply_to))

    @rule(number=st.integers(0, 9), effects=st.integers(0, 6))
    def crash(self, number: int, effects: int) -> None:
        node = self.select_node(number)
        if node.state is not None:
            node.effects_left = effects

    @rule(number=st.integers(0, 9))
    def restart(self, number: int) -> None:
        node = self.select_node(number)
        self.stop_node(node)
        self.start_node(node)

    @rule(isolated=st.sets(st.integers(0, 9), max_size=2))
    def partition(self, isolated: set[int]) -> None:
        self.cut = frozenset(self.select_node(number).id for number in isolated)

    @precondition(lambda self: self.may_lose_a_disk())
    @rule(lost=st.integers(0, 9), away=st.integers(0, 9), later=st.integers(0, 9))
    def lose_disk_apart(self, lost: int, away: int, later: int) -> None:
        """Lose a disk while the members that know the newest changes are cut off."""
        self.partition({away % self.members})
        self.operate([lost % self.members], 0.0, 0.4)
        self.lose_disk(lost)
        self.partition({later % self.members})
        self.run_for(2.0, loss=0.0)

    @rule(number=st.integers(0, 9), which=st.integers(0, 99))
    def resend(self, number: int, which: int) -> None:
        sent = [p for node in self.nodes_by_id.values() for p in node.proposals]
        if sent:
            self.send_proposal(self.select_node(number), sent[which % len(sent)])

    def may_lose_a_disk(self) -> bool:
        """Return whether each member has caught up since the last lost disk."""
        return all(
            self.load_replica(n).role is not Role.BLANK for n in self.list_disks()
        )

    def list_disks(self) -> list[Node]:
        """Return the instances with a disk that are not retired."""
        nodes = self.nodes_by_id.values()
        return [node for node in nodes if node.id != "x0" and not node.retired]

    def load_replica(self, node: Node) -> Replica:
        records = tuple(self.decode_record(data) for data in node.disk)
        return restore_replica(self.make_settings(node), 0, records)

    @precondition(lambda self: self.may_lose_a_disk())
    @rule(number=st.integers(0, 9))
    def lose_disk(self, number: int) -> None:
        disks = self.list_disks()
        node = disks[number % len(disks)]
        self.stop_node(node)
        node.disk = []
        node.version = -1
        self.start_node(node)

    def teardown(self) -> None:
        """Repair all faults; all nodes must agree on every accepted command."""
        if not hasattr(self, "nodes_by_id"):
            return
        self.cut = frozenset()
        for node in self.nodes_by_id.values():
            if node.state is None or node.effects_left is not None:
                self.stop_node(node)
                self.start_node(node)
        self.run_for(CONVERGENCE_TIME, loss=0.05)
        for node in self.nodes_by_id.values():
            for number in range(0 if node.retired else 4):
                self.resend(list(self.nodes_by_id).index(node.id), number)
        self.run_for(2.0, loss=0.0)
        self.await_calm()
        self.await_same_entries()
        newest = max([0, *self.accepted_at_by_version])
        for node in (*self.list_disks(), self.nodes_by_id["x0"]):
            in_force = node.state.distribution.in_force
            assert in_force is not None, node.id
            assert in_force == self.contents_by_version[in_force.version]
            assert newest <= in_force.version == max(self.contents_by_version)
            confirmed_at = node.state.confirmations.confirmed_at
            assert self.now - confirmed_at < CALM_TIME, node.id
        members = [node.state.replica for node in self.list_disks()]
        assert {member.role for member in members} <= {Role.LEADER, Role.FOLLOWER}
        for member in members:
            self.check_history(member)
        # A newly elected leader may not know a learner yet.
        catalogues = [member.catalogue for member in members if member.is_member]
        assert all(catalogue == catalogues[0] for catalogue in catalogues)

    def check_history(self, member: Replica) -> None:
        history = member.catalogue.history
        found = {entry.version: entry.command_id for entry in history}
        assert found.items() >= self.commands_by_version.items()


class AgreementOfFive(Agreement):
    """Five members, so that two may be unavailable at the same time."""

    members = 5


class AgreementWithSpare(Agreement):
    """Three members and a spare, which replaces a member that is retired."""

    spares = 1

    def make_settings(self, node: Node) -> Settings:
        founders = tuple(f"m{number}" for number in range(self.members))
        return replace(
            super().make_settings(node), founders=founders, member_count=self.members
        )

    def may_lose_a_disk(self) -> bool:
        """Return whether the last loss is repaired: each majority can lose a member."""
        return super().may_lose_a_disk() and all(
            self.has_all_members(self.load_replica(node)) for node in self.list_disks()
        )

    def has_all_members(self, replica: Replica) -> bool:
        members = replica.members
        return len(members) == self.members and not any(
            self.nodes_by_id[member].retired for member in members
        )

    @precondition(lambda self: self.may_be_replaced())
    @rule(number=st.integers(0, 9), seconds=st.sampled_from([0.0, 1.0, 5.0]))
    def take_away(self, number: int, seconds: float) -> None:
        """Remove an instance permanently."""
        disks = self.list_disks()
        node = disks[number % len(disks)]
        self.stop_node(node)
        node.retired = True
        self.run_for(seconds, loss=0.0)

    def may_be_replaced(self) -> bool:
        nobody_left = not any(node.retired for node in self.nodes_by_id.values())
        return nobody_left and self.may_lose_a_disk()

    def teardown(self) -> None:
        """Repair all faults; the members must be the instances that are not retired."""
        super().teardown()
        for node in self.list_disks() if hasattr(self, "nodes_by_id") else ():
            assert self.has_all_members(node.state.replica), node.id


def make_profile() -> settings:
    """Return the selected profile with more examples, which rare faults need."""
    return settings(
        max_examples=max(EXAMPLES, settings.default.max_examples),
        stateful_step_count=40,
        suppress_health_check=list(HealthCheck),
    )


def test_three_members_agree(monkeypatch: Any) -> None:
    """Guards against lost, duplicate or reverted changes with three disks."""
    monkeypatch.setattr(replica_module, "SNAPSHOT_ENTRIES", 6)
    monkeypatch.setattr(replica_module, "TRAILING_ENTRIES", 2)
    run_state_machine_as_test(Agreement, settings=make_profile())


def test_spare_takes_the_place_of_a_member(monkeypatch: Any) -> None:
    """Guards against changes that are lost when the members change."""
    monkeypatch.setattr(replica_module, "SNAPSHOT_ENTRIES", 6)
    monkeypatch.setattr(replica_module, "TRAILING_ENTRIES", 2)
    run_state_machine_as_test(AgreementWithSpare, settings=make_profile())


def test_five_members_agree(monkeypatch: Any) -> None:
    """Guards against lost, duplicate or reverted changes with five disks."""
    monkeypatch.setattr(replica_module, "SNAPSHOT_ENTRIES", 6)
    monkeypatch.setattr(replica_module, "TRAILING_ENTRIES", 2)
    run_state_machine_as_test(AgreementOfFive, settings=make_profile())


def test_leader_is_elected_after_a_loss_during_a_change_of_members(
    monkeypatch: Any,
) -> None:
    """Guards against members that can never elect a leader again after one loss."""
    monkeypatch.setattr(replica_module, "SNAPSHOT_ENTRIES", 6)
    monkeypatch.setattr(replica_module, "TRAILING_ENTRIES", 2)
    members = AgreementWithSpare()
    members.start(seed=0)
    members.lose_disk_apart(away=0, later=1, lost=3)
    members.take_away(number=0, seconds=1.0)
    members.partition(set())
    members.teardown()
