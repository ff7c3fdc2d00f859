"""Frames between instances: read together, in order, and not at the cost of others."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from typing import Any

import pynng
import pytest

from boragetide.errors import LinkError
from boragetide.links import peers
from boragetide.links.codec import Envelope, encode_body, encode_frame
from boragetide.links.peers import (
    PeerLink,
    enqueue,
    request_reconnect,
    run_link,
    run_listener,
)
from boragetide.settings import Settings, parse_settings
from boragetide.tests.conftest import free_port
from boragetide.tests.stream_server import serve_streams

SINGLE_INSTANCE = """
[instance]
id = a1
availability-zone = a
http-address = 127.0.0.1:1
peer-address = 127.0.0.1:{}
disk = yes
data-folder = unused
"""
# Greeting of a Pull0 socket: the protocol number 0x51, then a reserved field.
PULL_GREETING = b"\0SP\0\0\x51\0\0"
FRAMES = 60
FRAMES_PER_ITERATION = 4
DELIVERY = 0.002  # seconds


def make_settings() -> Settings:
    return parse_settings(SINGLE_INSTANCE.format(free_port()))


def make_envelope(request: int) -> Envelope:
    return Envelope("a2", 1, "jobs", request, "Tick", encode_body(None))


def ignore_count(name: str, labels: dict[str, str], value: float) -> None:
    """Discard the counts of bytes."""


class Listener:
    """Runs the listener and records what it delivers."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.received: list[int] = []
        self.errors: list[LinkError] = []
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the listener and wait until it listens."""
        listening = asyncio.Event()
        self.task = asyncio.create_task(
            run_listener(
                self.settings, self.deliver, self.errors.append, ignore_count, listening
            )
        )
        await listening.wait()

    def deliver(self, envelope: Envelope) -> None:
        """Record an envelope; this takes as long as `DELIVERY`."""
        time.sleep(DELIVERY)
        self.received.append(envelope.request)

    async def wait_for_numbers(self, count: int) -> None:
        """Wait for this many envelopes with a number from 0 on."""
        async with asyncio.timeout(2.0):
            while sum(number >= 0 for number in self.received) < count:
                await asyncio.sleep(0.01)

    async def wait_for(self, count: int) -> None:
        """Wait until this many envelopes have been delivered."""
        async with asyncio.timeout(10.0):
            while len(self.received) < count:
                await asyncio.sleep(0)


def send_frames(address: str, frames: list[bytes]) -> None:
    with pynng.Push0(dial=f"tcp://{address}", send_timeout=5000) as socket:
        for frame in frames:
            socket.send(frame)
        time.sleep(0.5)  # closing the socket drops frames that are still in it


def test_frames_are_read_together_and_in_order(monkeypatch: Any) -> None:
    """Guards against frames that wait for one iteration each, and against starvation.

    Between two iterations of the event loop more than one frame is read, but no more
    than the bound.
    """
    monkeypatch.setattr(peers, "MAX_FRAMES_PER_ITERATION", FRAMES_PER_ITERATION)

    async def run() -> tuple[list[int], list[int]]:
        listener = Listener(make_settings())
        await listener.start()
        frames = [encode_frame([make_envelope(number)]) for number in range(FRAMES)]
        address = listener.settings.own_peer.peer_address
        sending = asyncio.create_task(asyncio.to_thread(send_frames, address, frames))
        counts = [0]
        async with asyncio.timeout(10.0):
            while counts[-1] < FRAMES:
                counts.append(len(listener.received))
                await asyncio.sleep(0)
        await sending
        listener.task.cancel()
        return listener.received, counts

    received, counts = asyncio.run(run())
    assert received == list(range(FRAMES))
    steps = [after - before for before, after in itertools.pairwise(counts)]
    assert 1 < max(steps) <= FRAMES_PER_ITERATION


def test_invalid_frame_does_not_end_the_listener() -> None:
    """Guards against one bad frame that keeps later messages from arriving."""

    async def run() -> Listener:
        listener = Listener(make_settings())
        await listener.start()
        frames = [b"invalid", encode_frame([make_envelope(7)])]
        address = listener.settings.own_peer.peer_address
        sending = asyncio.create_task(asyncio.to_thread(send_frames, address, frames))
        await listener.wait_for(1)
        await sending
        listener.task.cancel()
        return listener

    listener = asyncio.run(run())
    assert listener.received == [7]
    assert len(listener.errors) == 1


def test_error_in_a_delivery_ends_the_listener(monkeypatch: Any) -> None:
    """Guards against an unexpected error that is only logged by the event loop."""

    async def run() -> None:
        listener = Listener(make_settings())
        monkeypatch.setattr(listener, "deliver", lambda envelope: 1 / 0)
        await listener.start()
        address = listener.settings.own_peer.peer_address
        frames = [encode_frame([make_envelope(1)])]
        sending = asyncio.create_task(asyncio.to_thread(send_frames, address, frames))
        with pytest.raises(ZeroDivisionError):
            await asyncio.wait_for(listener.task, 5.0)
        await sending

    asyncio.run(run())


def test_link_keeps_the_order_while_the_socket_is_busy(monkeypatch: Any) -> None:
    """Guards against messages that overtake each other when a send has to wait."""
    monkeypatch.setattr(peers, "MAX_FRAME_ENVELOPES", 1)

    async def run() -> tuple[list[int], list[Envelope]]:
        listener = Listener(make_settings())
        await listener.start()
        link, unsent = PeerLink(listener.settings.own_peer), []
        task = asyncio.create_task(run_link(link, unsent.append, ignore_count))
        async with asyncio.timeout(5.0):
            while not listener.received:
                enqueue(link, make_envelope(-1))
                await asyncio.sleep(0.05)
        for number in range(FRAMES):
            enqueue(link, make_envelope(number))
        async with asyncio.timeout(10.0):
            while FRAMES - 1 not in listener.received:
                await asyncio.sleep(0)
        task.cancel()
        listener.task.cancel()
        return [number for number in listener.received if number >= 0], unsent

    received, unsent = asyncio.run(run())
    assert received == list(range(FRAMES))
    assert all(envelope.request < 0 for envelope in unsent)


def test_replaced_link_loses_no_message_that_is_on_its_way() -> None:
    """Guards against an answer that is dropped because its link was just replaced."""

    async def run() -> tuple[list[int], list[Envelope]]:
        listener = Listener(make_settings())
        await listener.start()
        link, unsent = PeerLink(listener.settings.own_peer), []
        task = asyncio.create_task(run_link(link, unsent.append, ignore_count))
        await connect(link, listener)
        unsent.clear()
        for number in range(0, FRAMES, 2):
            enqueue(link, make_envelope(number))
            await asyncio.sleep(0)
            request_reconnect(link)
            enqueue(link, make_envelope(number + 1))
            await asyncio.sleep(DELIVERY * 10)
        with contextlib.suppress(TimeoutError):
            await listener.wait_for_numbers(FRAMES)
        task.cancel()
        listener.task.cancel()
        return listener.received, unsent

    received, unsent = asyncio.run(run())
    assert unsent == []
    assert sorted(number for number in received if number >= 0) == list(range(FRAMES))


def test_replaced_link_uses_its_new_connection_once_that_is_up() -> None:
    """Guards against a link that goes on sending into a silent connection."""
    settings = make_settings()
    port = int(settings.own_peer.peer_address.rpartition(":")[2])
    received: dict[int, int] = {}

    async def count(reader: Any, writer: Any) -> None:
        connection = len(received)
        received[connection] = 0
        # A Pull0 socket sends this greeting; nothing is sent to one that has not.
        writer.write(PULL_GREETING)
        await reader.readexactly(len(PULL_GREETING))
        while data := await reader.read(1024):
            received[connection] += len(data)

    async def run() -> None:
        link = PeerLink(settings.own_peer)
        async with serve_streams(port, count):
            task = asyncio.create_task(run_link(link, lambda _: None, ignore_count))
            for connection in range(3):
                async with asyncio.timeout(5.0):
                    while not received.get(connection):
                        enqueue(link, make_envelope(0))
                        await asyncio.sleep(0.02)
                before = dict(received)
                enqueue(link, make_envelope(0))
                await asyncio.sleep(0.05)
                assert [n for n in received if received[n] > before[n]] == [connection]
                request_reconnect(link)
            task.cancel()

    asyncio.run(run())


def test_replaced_link_fails_at_once_while_its_peer_is_out_of_reach() -> None:
    """Guards against requests that wait although a silent connection was given up."""
    settings = make_settings()
    port = int(settings.own_peer.peer_address.rpartition(":")[2])
    received: list[int] = []

    async def greet_the_first(reader: Any, writer: Any) -> None:
        received.append(0)
        if len(received) == 1:
            writer.write(PULL_GREETING)
        while data := await reader.read(1024):
            received[0] += len(data)

    async def run() -> None:
        link, unsent = PeerLink(settings.own_peer), []
        async with serve_streams(port, greet_the_first):
            task = asyncio.create_task(run_link(link, unsent.append, ignore_count))
            async with asyncio.timeout(5.0):
                while not received or received[0] <= len(PULL_GREETING):
                    enqueue(link, make_envelope(0))
                    await asyncio.sleep(0.02)
                unsent.clear()
                request_reconnect(link)
                while not unsent:
                    enqueue(link, make_envelope(0))
                    await asyncio.sleep(0.02)
            task.cancel()

    asyncio.run(run())


async def connect(link: PeerLink, listener: Listener) -> None:
    """Send until the first message has arrived."""
    async with asyncio.timeout(5.0):
        while not listener.received:
            enqueue(link, make_envelope(-1))
            await asyncio.sleep(0.05)
