"""Links to other instances: one sender task per peer and one receiver task."""

from __future__ import annotations

import asyncio
from collections import deque
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
MAX_FRAME_ENVELOPES = 256
MAX_OUTBOX_ENVELOPES = 20_000

OnUnsent: TypeAlias = Callable[[Envelope], None]
CountBytes: TypeAlias = Callable[[str, dict[str, str], float], None]


@dataclass(slots=True)
class PeerLink:
    """Outbox of the task that sends to one peer."""

    peer: Peer
    outbox: deque[Envelope] = field(default_factory=deque)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    reconnect_requested: bool = False


def enqueue(link: PeerLink, envelope: Envelope) -> bool:
    """Queue an envelope, or return ``False`` without queueing if the outbox is full."""
    if len(link.outbox) >= MAX_OUTBOX_ENVELOPES:
        return False
    link.outbox.append(envelope)
    link.wake.set()
    return True


def request_reconnect(link: PeerLink) -> None:
    """Ask the link's task to continue with a new socket, even if it is idle."""
    link.reconnect_requested = True
    link.wake.set()


async def run_link(link: PeerLink, on_unsent: OnUnsent, count: CountBytes) -> None:
    """Send a peer's envelopes in batches over one socket that this task owns.

    Parameters
    ----------
    link
        Outbox of the peer.
    on_unsent
        Called with each envelope that was certainly not sent.
    count
        Adds to a counter metric; called with the number of bytes sent.
    """
    while True:
        with _open_push_socket(link.peer) as socket:
            link.reconnect_requested = False
            while not link.reconnect_requested:
                if link.outbox:
                    await _send_batch(link, socket, on_unsent, count)
                else:
                    link.wake.clear()
                    await link.wake.wait()


def _open_push_socket(peer: Peer) -> pynng.Push0:
    socket = pynng.Push0(
        send_timeout=int(SEND_TIMEOUT * 1000),
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f"tcp://{peer.peer_address}", block=False)
    return socket


async def _send_batch(
    link: PeerLink, socket: pynng.Push0, on_unsent: OnUnsent, count: CountBytes
) -> None:
    size = min(MAX_FRAME_ENVELOPES, len(link.outbox))
    batch = [link.outbox.popleft() for _ in range(size)]
    frame = encode_frame(batch)
    try:
        # Without a connection the send would block until its timeout, and pynng would
        # not free the message afterwards.
        if not socket.pipes:
            raise pynng.Timeout("no connection", 0)
        await socket.asend(frame)
    except pynng.NNGException:
        # The envelopes queued behind a send that timed out would wait just as long, so
        # they fail together with it.
        batch += link.outbox
        link.outbox.clear()
        for envelope in batch:
            on_unsent(envelope)
    else:
        count("link_bytes_sent", {"peer": link.peer.id}, len(frame))


async def run_listener(
    settings: Settings,
    deliver: Callable[[Envelope], None],
    on_decode_error: Callable[[LinkError], None],
    count: CountBytes,
    listening: asyncio.Event,
) -> None:
    """Receive from all peers on one socket that this task owns.

    Parameters
    ----------
    settings
        Settings with the address to listen on.
    deliver
        Called with each envelope.
    on_decode_error
        Called with the error of each frame that cannot be decoded.
    count
        Adds to a counter metric; called with the number of bytes received.
    listening
        Set once the socket accepts connections.
    """
    with pynng.Pull0(listen=f"tcp://{settings.own_peer.peer_address}") as socket:
        listening.set()
        while True:
            frame = await socket.arecv()
            try:
                envelopes = decode_frame(frame)
            except LinkError as error:
                on_decode_error(error)
                continue
            if envelopes:
                count("link_bytes_received", {"peer": envelopes[0].sender}, len(frame))
            for envelope in envelopes:
                deliver(envelope)
