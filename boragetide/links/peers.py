"""Links to other instances: one sending task per peer and one receiving task."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import pynng

from boragetide.errors import LinkError
from boragetide.links.codec import Envelope, decode_frame, encode_frame
from boragetide.settings import Peer, Settings

SEND_TIMEOUT = 0.5  # seconds
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
FRAME_ENVELOPES = 256
MAILBOX_ENVELOPES = 20_000

OnUnsent: TypeAlias = Callable[[Envelope], None]


@dataclass(slots=True)
class PeerLink:
    """Mailbox of the task that sends to one peer."""

    peer: Peer
    outbox: asyncio.Queue[Envelope] = field(
        default_factory=lambda: asyncio.Queue(MAILBOX_ENVELOPES)
    )
    reconnect: asyncio.Event = field(default_factory=asyncio.Event)


def post(link: PeerLink, envelope: Envelope) -> bool:
    """Queue an envelope; false means that it was certainly not sent."""
    try:
        link.outbox.put_nowait(envelope)
    except asyncio.QueueFull:
        return False
    return True


async def run_link(link: PeerLink, on_unsent: OnUnsent) -> None:
    """Send a peer's envelopes, batched, over one socket that this task owns.

    Parameters
    ----------
    link
        Mailbox of the peer; its ``reconnect`` event replaces the socket.
    on_unsent
        Called with each envelope that was certainly not sent.
    """
    while True:
        with _open_push(link.peer) as socket:
            link.reconnect.clear()
            while not link.reconnect.is_set():
                await _send_batch(link, socket, on_unsent)


def _open_push(peer: Peer) -> pynng.Push0:
    socket = pynng.Push0(
        send_timeout=int(SEND_TIMEOUT * 1000),
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f"tcp://{peer.peer_address}", block=False)
    return socket


async def _send_batch(link: PeerLink, socket: pynng.Push0, on_unsent: OnUnsent) -> None:
    batch = [await link.outbox.get()]
    while len(batch) < FRAME_ENVELOPES and not link.outbox.empty():
        batch.append(link.outbox.get_nowait())
    try:
        await socket.asend(encode_frame(batch))
    except pynng.NNGException:
        for envelope in batch:
            on_unsent(envelope)


async def run_listener(
    settings: Settings,
    deliver: Callable[[Envelope], None],
    on_fault: Callable[[LinkError], None],
    listening: asyncio.Event,
) -> None:
    """Receive from all peers on one socket that this task owns.

    Parameters
    ----------
    settings
        Give the address to listen on.
    deliver
        Called with each envelope.
    on_fault
        Called for a frame that cannot be decoded.
    listening
        Set once the socket accepts connections.
    """
    with pynng.Pull0(listen=f"tcp://{settings.own.peer_address}") as socket:
        listening.set()
        while True:
            try:
                for envelope in decode_frame(await socket.arecv()):
                    deliver(envelope)
            except LinkError as error:
                on_fault(error)
