"""An instance without a log uses no configuration that it cannot confirm."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule, run_state_machine_as_test

from boragetide import configuration_content
from boragetide.commands import CommandStatus
from boragetide.controllers import directory
from boragetide.controllers.directory import CONFIRMATION_VALIDITY
from boragetide.effects import Send
from boragetide.links.codec import Envelope, decode_body, encode_body
from boragetide.messages import FindLeader, LeaderFound, Tick
from boragetide.policy import configuration_transfer
from boragetide.types import ReplyTo
from properties.test_configuration import STEP, Agreement, make_profile

EDGE = "e0"
PIECE = 50  # bytes, so that a content has several pieces
MAX_DELAY = 4.0  # seconds for which a message to or from the edge may be under way


class Confirmation(Agreement):
    """Members, and an edge whose messages are lost, delayed and reordered."""

    @initialize(seed=st.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        self.accepted_at_by_version: dict[int, float] = {}
        self.edge: Any = None
        self.delayed: list[tuple[float, str, Envelope]] = []
        self.delay = 0.0
        self.newest_shown = -1
        super().start(seed)

    def start_edge(self) -> None:
        settings = replace(self.make_settings(self.nodes_by_id["x0"]), id=EDGE)
        self.edge = directory.make_state(settings)
        self.edge.transfer.jitter = Random(1)
        self.newest_shown = -1

    def check_outcome(self, to: ReplyTo, message: Any) -> None:
        super().check_outcome(to, message)
        if getattr(message, "status", None) is CommandStatus.ACCEPTED:
            self.accepted_at_by_version.setdefault(message.version, self.now)

    def send_heartbeats(self) -> None:
        """Let the edge do its part of one step."""
        super().send_heartbeats()
        if self.edge is None:
            self.start_edge()
        self.handle_at_edge(Tick())
        due = [each for each in self.delayed if each[0] <= self.now]
        self.delayed = [each for each in self.delayed if each[0] > self.now]
        for _, to, envelope in due:
            self.receive(to, envelope)
        self.check_edge()

    def handle_at_edge(self, message: Any) -> None:
        for effect in directory.handle(message, self.edge, self.now):
            if isinstance(effect, Send):
                kind = type(effect.message).__name__
                body = encode_body(effect.message)
                envelope = Envelope(EDGE, 0, "configuration", 0, kind, body)
                self.network.append((EDGE, effect.to.instance, envelope))

    def deliver(self, sender: str, to: str, envelope: Envelope, loss: float) -> None:
        if EDGE not in (sender, to):
            super().deliver(sender, to, envelope, loss)
        elif self.random.random() >= loss and not self.cut & {sender, to}:
            due = self.now + self.random.uniform(0.0, self.delay)
            self.delayed.append((due, to, envelope))

    def receive(self, to: str, envelope: Envelope) -> None:
        message = decode_body(envelope)
        if to == EDGE:
            self.handle_at_edge(message)
        else:
            self.handle(self.nodes_by_id[to], message)

    def check_edge(self) -> None:
        """Check that requests are handled by a configuration that is new enough."""
        found = self.find_leader()
        if not found.ready:
            return
        version = found.configuration.version
        assert version >= self.newest_shown
        self.newest_shown = version
        latest = self.now - CONFIRMATION_VALIDITY - STEP
        for accepted, accepted_at in self.accepted_at_by_version.items():
            assert accepted_at > latest or version >= accepted

    def find_leader(self) -> LeaderFound:
        question = FindLeader(reply_to=ReplyTo(EDGE, 1))
        (reply,) = directory.handle(question, self.edge, self.now)
        return reply.message

    @rule(delay=st.sampled_from([0.0, 0.5, MAX_DELAY]))
    def delay_messages(self, delay: float) -> None:
        self.delay = delay

    @rule()
    def restart_edge(self) -> None:
        self.start_edge()

    def teardown(self) -> None:
        """Repair all faults; the edge must then be confirmed again."""
        self.delay = 0.0
        super().teardown()
        assert getattr(self, "edge", None) is None or self.find_leader().ready


def test_edge_uses_no_configuration_that_was_replaced_long_ago() -> None:
    """Guards against an answer by a configuration that is older than is allowed."""
    run_state_machine_as_test(Confirmation, settings=make_profile())


def test_edge_that_fetches_uses_no_configuration_that_was_replaced_long_ago() -> None:
    """Guards against the same where each configuration is fetched in pieces."""
    with (
        patch.object(configuration_content, "MAX_NOTICE_CONTENT", 0),
        patch.object(configuration_transfer, "PIECE_BYTES", PIECE),
    ):
        run_state_machine_as_test(Confirmation, settings=make_profile())
