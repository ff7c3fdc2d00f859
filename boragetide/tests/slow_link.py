"""Members and an entry instance, joined by a simulated link of limited rate."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from boragetide.commands import CommandStatus, PublishConfiguration
from boragetide.controllers import configuration, directory
from boragetide.effects import (
    Effect,
    LogEvent,
    Reconnect,
    Reply,
    SaveSnapshot,
    Send,
)
from boragetide.links.codec import Envelope, decode_body, encode_body
from boragetide.messages import FindLeader, LeaderFound, Propose, Tick
from boragetide.settings import Peer, Settings
from boragetide.types import Address, ClassTarget, DurableStarts, ReplyTo

EDGE = "e1"
OPERATOR = "operator"
LATENCY = 0.002  # seconds
TICK = 0.05  # seconds
START = 1_000_000.0  # Unix time
ENVELOPE_BYTES = 60


def make_classes(count: int, seed: int) -> tuple[ClassTarget, ...]:
    """Return classes that differ, as those of many tenants."""
    return tuple(
        ClassTarget(
            f"tenant-{number}.queue.example/{number * 7919 % 1009:x}/",
            0.06 + number * seed % 41 / 100,
            durable=DurableStarts(
                pool=f"pool{number % 5}",
                attempts=1 + number * seed % 4,
                priority=number % 3,
                stretch=1.0 + number * seed % 13 / 10,
            ),
        )
        for number in range(count)
    )


def make_document(version: int, size: int) -> str:
    """Return a text of a size whose numbers differ by version."""
    rows = []
    for number in range(size // len(_make_row(0, version)) + 1):
        rows.append(_make_row(number, version))
    return "".join(rows)[:size]


def _make_row(number: int, version: int) -> str:
    timeout = 1000 + number * (version + 7) % 997
    path = f"/q{number * 7919 % 1009:x}/"
    return (
        f'{{"name":"r{number}","host":"tenant-{number}.queue.example",'
        f'"path_prefix":"{path}","timeout_ms":{timeout}}},'
    )


@dataclass(order=True)
class _Event:
    due: float
    number: int
    run: Callable[[], None] = field(compare=False)


@dataclass
class _Transit:
    """A message on its way over the limited link."""

    sender: str
    is_lost: bool = False


@dataclass
class SlowSite:
    """Three members, and an entry instance behind a link of limited rate.

    Parameters
    ----------
    rate
        Bytes per second to the entry instance.
    bytes_to_edge_by_kind
        Bytes that were sent to the entry instance, by kind of message.
    accepted_at_by_version, in_force_at_by_version
        When each version was accepted, and when it or a newer one was in force at the
        entry instance.
    max_queue
        Longest time for which a message waited for the limited link and passed it.
    unready_at
        Times at which the entry instance could not handle a request.
    down
        Instances that are lost.
    snapshots
        The members that wrote a snapshot, in order.
    """

    settings: Settings
    rate: float
    now: float = START
    states_by_id: dict[str, Any] = field(default_factory=dict)
    events: list[_Event] = field(default_factory=list)
    numbers: Any = field(default_factory=itertools.count)
    link_free_at: float = 0.0
    in_transit: list[_Transit] = field(default_factory=list)
    bytes_to_edge_by_kind: dict[str, int] = field(default_factory=dict)
    accepted_at_by_version: dict[int, float] = field(default_factory=dict)
    in_force_at_by_version: dict[int, float] = field(default_factory=dict)
    unready_at: list[float] = field(default_factory=list)
    down: set[str] = field(default_factory=set)
    log: list[tuple[float, str, str, dict[str, Any]]] = field(default_factory=list)
    is_watched: bool = False
    max_queue: float = 0.0
    snapshots: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        for number, member in enumerate(self.settings.initial_members):
            own = replace(self.settings, id=member)
            state = configuration.make_state(own, 1, ())
            state.replica.jitter = Random(number)
            self.states_by_id[member] = state
            self.schedule(0.01 * number, lambda id_=member: self.tick(id_))
        self.start_edge()
        self.schedule(0.02, lambda: self.tick(EDGE))

    def start_edge(self) -> None:
        """Start the entry instance, or its next process."""
        peers = {**self.settings.peers_by_id, EDGE: Peer(EDGE, "a", "", "", disk=False)}
        own = replace(self.settings, id=EDGE, peers_by_id=peers, follows_leader=True)
        state = directory.make_state(own)
        state.transfer.jitter = Random(1)
        self.states_by_id[EDGE] = state

    @property
    def leader(self) -> str:
        """The member that leads."""
        return next(
            id_
            for id_, state in self.states_by_id.items()
            if id_ != EDGE
            and id_ not in self.down
            and state.leadership.announced_term
            and state.replica.role.value == "leader"
        )

    def schedule(self, delay: float, run: Callable[[], None]) -> None:
        """Run a function after a delay."""
        event = _Event(self.now + delay, next(self.numbers), run)
        heapq.heappush(self.events, event)

    def run_for(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.events and self.events[0].due <= end:
            event = heapq.heappop(self.events)
            self.now = event.due
            event.run()
        self.now = end

    def tick(self, instance: str) -> None:
        """Tick one instance, and again later."""
        self.handle(instance, Tick())
        if instance == EDGE:
            self.observe()
        self.schedule(TICK, lambda: self.tick(instance))

    def observe(self) -> None:
        """Record whether the entry instance can handle a request now."""
        found = self.find_leader()
        if self.is_watched and not found.ready:
            self.unready_at.append(self.now)

    def find_leader(self) -> LeaderFound:
        """Return what the entry instance would base a request on."""
        question = FindLeader(reply_to=ReplyTo(EDGE, 1))
        state = self.states_by_id[EDGE]
        (reply,) = directory.handle(question, state, self.now)
        return reply.message

    def publish(self, revision: int, size: int, classes: int) -> None:
        """Publish a configuration at the leader."""
        command = PublishConfiguration(
            revision, make_classes(classes, revision), make_document(revision, size)
        )
        message = Propose(command, f"c{revision}", reply_to=ReplyTo(OPERATOR, revision))
        self.handle(self.leader, message)

    def handle(self, instance: str, message: Any) -> None:
        """Let an instance handle one message."""
        if instance in self.down:
            return
        machine = directory if instance == EDGE else configuration
        state = self.states_by_id[instance]
        for effect in machine.handle(message, state, self.now):
            self.execute(instance, effect)
        if instance == EDGE:
            self.record_version(state.version)

    def record_version(self, version: int) -> None:
        """Record which versions are in force at the entry instance."""
        for earlier in range(version + 1):
            self.in_force_at_by_version.setdefault(earlier, self.now)

    def execute(self, instance: str, effect: Effect) -> None:
        """Execute one effect of an instance."""
        if isinstance(effect, Send):
            self.send(instance, effect.to, effect.message)
        elif isinstance(effect, Reply) and effect.to.instance == OPERATOR:
            if effect.message.status is CommandStatus.ACCEPTED:
                version = effect.message.version
                self.accepted_at_by_version.setdefault(version, self.now)
        elif isinstance(effect, Reconnect) and effect.instance == EDGE:
            # What a replaced connection has not delivered is lost.
            for transit in self.in_transit:
                transit.is_lost |= transit.sender == instance
        elif isinstance(effect, SaveSnapshot):
            self.snapshots.append(instance)
        elif isinstance(effect, LogEvent):
            self.log.append((self.now, instance, effect.event, effect.fields))

    def send(self, sender: str, to: Address, message: Any) -> None:
        """Send a message; one to the entry instance waits for the limited link."""
        known = to.instance in self.states_by_id
        if not known or to.controller not in ("configuration", "directory"):
            return
        if (to.controller == "directory") != (to.instance == EDGE):
            return
        kind = type(message).__name__
        body = encode_body(message)
        envelope = Envelope(sender, 1, to.controller, 0, kind, body)
        if to.instance == EDGE and sender != EDGE:
            size = len(body) + ENVELOPE_BYTES
            total = self.bytes_to_edge_by_kind.get(kind, 0)
            self.bytes_to_edge_by_kind[kind] = total + size
            transit = _Transit(sender)
            self.in_transit.append(transit)
            self.link_free_at = max(self.now, self.link_free_at) + size / self.rate
            self.max_queue = max(self.max_queue, self.link_free_at - self.now)
            delay = self.link_free_at - self.now + LATENCY
            self.schedule(delay, lambda: self.arrive(transit, envelope))
            return
        self.schedule(LATENCY, lambda: self.handle(to.instance, decode_body(envelope)))

    def arrive(self, transit: _Transit, envelope: Envelope) -> None:
        """Deliver a message from the limited link, unless it is lost."""
        self.in_transit.remove(transit)
        if not transit.is_lost:
            self.handle(EDGE, decode_body(envelope))

    def list_events(self, event: str, instance: str | None = None) -> list[Any]:
        """Return the fields of the log lines of one event."""
        return [
            fields
            for _, sender, name, fields in self.log
            if name == event and instance in (None, sender)
        ]
