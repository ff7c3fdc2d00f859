"""A configuration arrives whole, whatever becomes of its pieces and their senders."""

from __future__ import annotations

import random
from dataclasses import replace
from unittest.mock import patch

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from boragetide.configuration_content import ContentCache
from boragetide.effects import Effect, LogEvent, Send
from boragetide.messages import ConfigurationPiece, FetchConfigurationPiece
from boragetide.policy import configuration_transfer
from boragetide.policy.configuration_transfer import (
    MAX_PIECE_WAIT,
    ConfigurationTransfer,
    begin_transfer,
    check_transfer,
    receive_piece,
    send_piece,
)
from boragetide.types import Address, Configuration
from properties.test_configuration import make_profile

MEMBERS = ("a1", "a2", "a3")
PIECE = 150  # bytes, so that a content has one to four pieces
START = 1_000_000.0  # Unix time
# After the last fault, all members are asked once, and each piece once.
MAX_FINAL_WAITS = 2 * len(MEMBERS)

numbers = st.integers(0, 1000)


def make_configuration(version: int) -> Configuration:
    """Return a configuration that can hardly be compressed."""
    size = version % 2 * (110 + version % 5 * 100)
    text = random.Random(version).randbytes(size).hex()
    return Configuration(version, drained=frozenset({"s1", "s2"}), document=text)


class Transfers(RuleBasedStateMachine):
    """Members with old and new versions, and an instance that fetches the newest."""

    @initialize(seed=st.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = START
        self.published = [make_configuration(0), make_configuration(1)]
        self.versions_by_id = dict.fromkeys(MEMBERS, 1)
        self.contents_by_id = {id_: ContentCache() for id_ in MEMBERS}
        self.down: set[str] = set()
        self.network: list[
            tuple[str, FetchConfigurationPiece | ConfigurationPiece]
        ] = []
        self.past: list[ConfigurationPiece] = []
        self.has_damage = False
        self.start_receiver()

    def start_receiver(self) -> None:
        receiver = Address("e1", "directory")
        self.transfer = ConfigurationTransfer(receiver, jitter=self.random)
        self.held = -1

    def execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, LogEvent) and not self.has_damage:
                assert effect.event != "configuration_content_refused"
            if isinstance(effect, Send):
                self.network.append((effect.to.instance, effect.message))

    def select_member(self, number: int) -> str:
        return MEMBERS[number % len(MEMBERS)]

    @rule(number=numbers)
    def publish(self, number: int) -> None:
        """Publish a version, which one member has at once."""
        self.published.append(make_configuration(len(self.published)))
        self.versions_by_id[self.select_member(number)] = len(self.published) - 1

    @rule(number=numbers, count=st.integers(0, 12))
    def change(self, number: int, count: int) -> None:
        """Publish a version, and let some messages about it arrive."""
        self.publish(number)
        self.notify(number)
        self.deliver_some(count)

    @rule(number=numbers)
    def replicate(self, number: int) -> None:
        self.versions_by_id[self.select_member(number)] = len(self.published) - 1

    @rule(number=numbers, back=st.integers(0, 2))
    def restart_member(self, number: int, back: int) -> None:
        """Restart a member, which learns last what was committed last."""
        member = self.select_member(number)
        self.down.discard(member)
        self.contents_by_id[member] = ContentCache()
        version = self.versions_by_id[member]
        self.versions_by_id[member] = max(0, version - back)

    @rule(number=numbers)
    def lose_member(self, number: int) -> None:
        self.down.add(self.select_member(number))

    @rule()
    def restart_receiver(self) -> None:
        self.start_receiver()

    @rule(number=numbers)
    def notify(self, number: int) -> None:
        """Deliver a notice of a member that has a newer version."""
        member = self.select_member(number)
        version = self.versions_by_id[member]
        if member not in self.down and version > self.held:
            held = self.held
            self.execute(begin_transfer(self.transfer, version, member, held, self.now))

    @rule(number=numbers)
    def deliver(self, number: int) -> None:
        """Deliver any message that is on its way, so that others are overtaken."""
        if self.network:
            to, message = self.network.pop(number % len(self.network))
            self.receive(to, message)

    @rule(count=st.integers(1, 12))
    def deliver_some(self, count: int) -> None:
        """Deliver messages in order, as on a link without faults."""
        for _ in range(min(count, len(self.network))):
            self.receive(*self.network.pop(0))

    @rule(number=numbers)
    def deliver_again(self, number: int) -> None:
        """Deliver a piece that arrived before, perhaps of an older version."""
        if self.past:
            self.receive("e1", self.past[number % len(self.past)])

    @rule(number=numbers)
    def lose(self, number: int) -> None:
        if self.network:
            self.network.pop(number % len(self.network))

    @rule(number=numbers)
    def repeat(self, number: int) -> None:
        if self.network:
            self.network.append(self.network[number % len(self.network)])

    @rule(number=numbers)
    def damage(self, number: int) -> None:
        """Change bytes of a piece that is on its way."""
        if not self.network:
            return
        index = number % len(self.network)
        to, message = self.network[index]
        if isinstance(message, ConfigurationPiece):
            self.has_damage = True
            changed = bytes(255 - byte for byte in message.data)
            self.network[index] = (to, replace(message, data=changed))

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.5]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.execute(check_transfer(self.transfer, MEMBERS, self.now))

    def receive(
        self, to: str, message: FetchConfigurationPiece | ConfigurationPiece
    ) -> None:
        if isinstance(message, FetchConfigurationPiece):
            if to not in self.down:
                in_force = self.published[self.versions_by_id[to]]
                content = self.contents_by_id[to]
                self.execute(send_piece(content, in_force, message, to))
            return
        self.past.append(message)
        completed, effects = receive_piece(self.transfer, message, self.held, self.now)
        self.execute(effects)
        if completed is not None:
            assert completed.version > self.held
            assert completed == self.published[completed.version]
            self.held = completed.version

    def deliver_all(self) -> None:
        while self.network:
            self.receive(*self.network.pop(0))

    def teardown(self) -> None:
        """End all faults; the newest version must arrive, and once only."""
        if not hasattr(self, "network"):
            return
        newest = len(self.published) - 1
        self.down.clear()
        self.versions_by_id = dict.fromkeys(MEMBERS, newest)
        self.deliver_all()
        self.notify(0)
        self.deliver_all()
        waits = 0
        while self.held < newest:
            waits += 1
            assert waits <= MAX_FINAL_WAITS
            self.pass_time(1.5 * MAX_PIECE_WAIT)
            self.deliver_all()
        assert not self.transfer.in_progress
        self.notify(1)
        assert self.network == []


def test_newest_configuration_arrives_whole() -> None:
    """Guards against content that is mixed, damaged, older, or never complete."""
    with patch.object(configuration_transfer, "PIECE_BYTES", PIECE):
        run_state_machine_as_test(Transfers, settings=make_profile())
