"""Links to other instances: one sender task per peer and one receiver task."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import deque
from collections.abc import Callable, Iterator
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
# Bounds the time for which frames hold back the other events of an iteration.
MAX_FRAMES_PER_ITERATION = 64
MAX_OUTBOX_ENVELOPES = 20_000
# A new socket gets this long to show that the link works. Only a connected one carries
# messages, so that a link whose connections are replaced more often may carry nothing.
MIN_RECONNECT_INTERVAL = 1.0  # seconds
# Longer than it takes to connect, and shorter than the silence after which a link is
# replaced.
CONNECT_TIMEOUT = 0.25  # seconds
# pynng drops what a socket has accepted and not yet written when the socket is closed.
CLOSE_DELAY = 0.5  # seconds

OnUnsent: TypeAlias = Callable[[Envelope], None]
CountBytes: TypeAlias = Callable[[str, dict[str, str], float], None]


@dataclass(slots=True)
class PeerLink:
    """Outbox of the task that sends to one peer.

    Parameters
    ----------
    replaced_at, replaced_for_group
        Time on the monotonic clock at which a group last asked for a new socket, and
        that group.
    """

    peer: Peer
    outbox: deque[Envelope] = field(default_factory=deque)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    reconnect_requested: bool = False
    replaced_at: float = -math.inf
    replaced_for_group: int = 0


def enqueue(link: PeerLink, envelope: Envelope) -> bool:
    """Queue an envelope, or return ``False`` without queueing if the outbox is full."""
    if len(link.outbox) >= MAX_OUTBOX_ENVELOPES:
        return False
    link.outbox.append(envelope)
    link.wake.set()
    return True


def request_reconnect(link: PeerLink, group: int = 0) -> None:
    """Ask the link's task to continue with a new socket, even if it is idle.

    The controllers of several groups may find the same link silent, each at a time of
    its own. The socket that one of them asked for is kept for a while.

    Parameters
    ----------
    group
        Group of the controller that finds the link silent.
    """
    now = time.monotonic()
    is_fresh = now - link.replaced_at < MIN_RECONNECT_INTERVAL
    if is_fresh and group != link.replaced_for_group:
        return
    link.replaced_at, link.replaced_for_group = now, group
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
    with _LinkSockets(link.peer) as sockets:
        while True:
            if link.reconnect_requested:
                link.reconnect_requested = False
                sockets.replace()
            if link.outbox:
                await _send_batch(link, sockets.choose(), on_unsent, count)
            else:
                link.wake.clear()
                await link.wake.wait()


class _LinkSockets:
    """Sockets of one link: one that sends, and at times its successor.

    A socket that is replaced sends until its successor is connected, and is then kept
    for `CLOSE_DELAY`, so that the replacement drops nothing that is being sent. If
    the successor is not connected within `CONNECT_TIMEOUT`, it is used nevertheless, so
    that messages fail at once while the peer is out of reach.
    """

    def __init__(self, peer: Peer):
        self._peer = peer
        self._current = _open_push_socket(peer)
        self._successor: pynng.Push0 | None = None
        self._replaced_at = -math.inf
        self._retired: set[pynng.Push0] = set()

    def __enter__(self) -> _LinkSockets:
        return self

    def __exit__(self, *_: object) -> None:
        self._drop_successor()
        self._current.close()
        for socket in set(self._retired):
            self._close_retired(socket)

    def replace(self) -> None:
        """Open a new socket, which begins to connect."""
        self._drop_successor()
        self._successor = _open_push_socket(self._peer)
        self._replaced_at = time.monotonic()

    def choose(self) -> pynng.Push0:
        """Return the socket to send with."""
        if self._successor is None:
            return self._current
        is_due = time.monotonic() - self._replaced_at >= CONNECT_TIMEOUT
        if self._current.pipes and not (self._successor.pipes or is_due):
            return self._current
        self._retire(self._current)
        self._current, self._successor = self._successor, None
        return self._current

    def _drop_successor(self) -> None:
        if self._successor is not None:
            self._successor.close()
            self._successor = None

    def _retire(self, socket: pynng.Push0) -> None:
        self._retired.add(socket)
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_DELAY, self._close_retired, socket)

    def _close_retired(self, socket: pynng.Push0) -> None:
        if socket in self._retired:
            self._retired.remove(socket)
            socket.close()


def _open_push_socket(peer: Peer) -> pynng.Push0:
    socket = pynng.Push0(
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
        # Without a connection the send would wait until its timeout.
        if not socket.pipes:
            raise TimeoutError("no connection")
        await _send_frame(socket, frame)
    except (pynng.NNGException, TimeoutError):
        # The envelopes queued behind a send that timed out would wait just as long, so
        # they fail together with it.
        batch += link.outbox
        link.outbox.clear()
        for envelope in batch:
            on_unsent(envelope)
    else:
        count("link_bytes_sent", {"peer": link.peer.id}, len(frame))


async def _send_frame(socket: pynng.Push0, frame: bytes) -> None:
    """Send a frame, at once if the socket accepts it.

    pynng completes an asynchronous send or receive on a thread of its own, which takes
    the interpreter's lock from the event loop for each of them.

    Raises
    ------
    TimeoutError
        If the socket has not accepted the frame after `SEND_TIMEOUT`.
    """
    async with asyncio.timeout(SEND_TIMEOUT):
        while not _try_to_send(socket, frame):
            await _wait_until_readable(socket.send_fd)


def _try_to_send(socket: pynng.Push0, frame: bytes) -> bool:
    try:
        socket.send(frame, block=False)
    except pynng.TryAgain:
        return False
    return True


async def _wait_until_readable(fd: int) -> None:
    """Wait until a file descriptor is readable.

    pynng's descriptors are readable while the socket can send or receive.
    """
    readable = asyncio.Event()
    with _reading(fd, readable.set):
        await readable.wait()


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
        failure = asyncio.get_running_loop().create_future()

        def receive() -> None:
            try:
                for frame in _receive_frames(socket):
                    _deliver_frame(frame, deliver, on_decode_error, count)
            except Exception as error:
                if not failure.done():
                    failure.set_exception(error)

        with _reading(socket.recv_fd, receive):
            await failure


@contextlib.contextmanager
def _reading(fd: int, callback: Callable[[], None]) -> Iterator[None]:
    """Call a function in each iteration in which a file descriptor is readable."""
    loop = asyncio.get_running_loop()
    loop.add_reader(fd, callback)
    try:
        yield
    finally:
        loop.remove_reader(fd)


def _receive_frames(socket: pynng.Pull0) -> Iterator[bytes]:
    """Yield the frames that have arrived, up to `MAX_FRAMES_PER_ITERATION`."""
    for _ in range(MAX_FRAMES_PER_ITERATION):
        try:
            frame = socket.recv(block=False)
        except pynng.TryAgain:
            return
        yield frame


def _deliver_frame(
    frame: bytes,
    deliver: Callable[[Envelope], None],
    on_decode_error: Callable[[LinkError], None],
    count: CountBytes,
) -> None:
    try:
        envelopes = decode_frame(frame)
    except LinkError as error:
        on_decode_error(error)
        return
    if envelopes:
        count("link_bytes_received", {"peer": envelopes[0].sender}, len(frame))
    for envelope in envelopes:
        deliver(envelope)
