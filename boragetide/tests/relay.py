"""A TCP relay between two daemons that closes, silences or slows its connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import threading
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

TO_TARGET = "to_target"
FROM_TARGET = "from_target"
DIRECTIONS = frozenset({TO_TARGET, FROM_TARGET})
CHUNK = 65536  # bytes
# A relay of limited rate reads this much at a time, so that connections share the rate,
# and has small buffers, so that senders notice a full link.
LIMITED_CHUNK = 4096  # bytes
LIMITED_BUFFER = 64 * 1024  # bytes
LOOPBACK = "127.0.0.1"
CLOSE_ITERATIONS = 10
# Makes the kernel reset a connection when it is closed.
LINGER_ZERO = struct.pack("ii", 1, 0)


class RelayLoop:
    """The thread and event loop that all relays of a test share."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def close(self) -> None:
        """Cancel the remaining tasks and end the thread, once all relays are cut."""
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Closed transports release their sockets in the next iterations of the loop.
        for _ in range(CLOSE_ITERATIONS):
            await asyncio.sleep(0)


@dataclass
class RateLimit:
    """Rate of a link, which all connections of the relays that have it share.

    Parameters
    ----------
    rate
        Bytes per second.
    free_at
        Time of the event loop at which the link has sent what it was given.
    """

    rate: float
    free_at: float = 0.0

    async def pass_through(self, size: int) -> None:
        """Wait as long as the link needs for a chunk behind all earlier ones."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + size / self.rate
        await asyncio.sleep(self.free_at - now)


@dataclass(eq=False)
class _Connection:
    writers: list[asyncio.StreamWriter]
    silent: set[str] = field(default_factory=set)

    def close(self) -> None:
        for writer in self.writers:
            writer.close()

    def reset(self) -> None:
        for writer in self.writers:
            connected = writer.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            writer.transport.abort()


class Relay:
    """Listens on a port and forwards each connection to a target port.

    Parameters
    ----------
    forwarded_bytes
        Number of bytes that reached the target.
    reset_share
        Share of the answers, in chunks of data from the target, that are discarded
        while their connection is reset.
    jitter
        Decides which answers these are.
    rate
        Limits what goes to the target; ``None`` is without a limit.
    host
        Address of the relay and of the target.
    """

    def __init__(
        self,
        loop: RelayLoop,
        port: int,
        target_port: int,
        *,
        rate: RateLimit | None = None,
        host: str = LOOPBACK,
    ):
        self.port = port
        self.rate = rate
        self.host = host
        self.forwarded_bytes = 0
        self.reset_share = 0.0
        self.jitter = random.Random()
        self._loop = loop
        self._target_port = target_port
        self._connections: set[_Connection] = set()
        self._silent: frozenset[str] = frozenset()
        self._server: asyncio.Server | None = None
        self.heal()

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._loop.run(self._cut())

    def heal(self) -> None:
        """Accept and forward connections again, and close the silenced ones."""
        self._loop.run(self._heal())

    def silence(
        self, directions: frozenset[str] = DIRECTIONS, *, include_new: bool = False
    ) -> None:
        """Discard all data in some directions and keep the connections open.

        With ``new``, connections that are made later are silenced as well.
        """
        self._loop.run(self._silence(directions, include_new))

    async def _cut(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        self._close(self._connections)

    async def _heal(self) -> None:
        self._silent = frozenset()
        self._close({c for c in self._connections if c.silent})
        if self._server is None:
            self._server = await asyncio.start_server(self._accept, sock=self._listen())

    def _listen(self) -> socket.socket:
        """Bind a socket whose connections have small buffers if the rate is limited."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.rate is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LIMITED_BUFFER)
        listener.bind((self.host, self.port))
        return listener

    async def _silence(self, directions: frozenset[str], new: bool) -> None:
        for connection in self._connections:
            connection.silent |= directions
        if new:
            self._silent = directions

    def _close(self, connections: set[_Connection]) -> None:
        for connection in list(connections):
            connection.close()
            self._connections.discard(connection)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection(self.host, self._target_port)
        except OSError:
            writer.close()
            return
        connection = _Connection([writer, target[1]], set(self._silent))
        self._connections.add(connection)
        # Python 3.11 reports a cancelled handler of a connection as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(connection, TO_TARGET, reader, target[1]),
                self._pump(connection, FROM_TARGET, target[0], writer),
            )

    def _is_reset_due(self, direction: str) -> bool:
        return direction == FROM_TARGET and self.jitter.random() < self.reset_share

    async def _pump(
        self,
        connection: _Connection,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        rate = self.rate if direction == TO_TARGET else None
        chunk = CHUNK if rate is None else LIMITED_CHUNK
        try:
            while data := await reader.read(chunk):
                if rate is not None:
                    await rate.pass_through(len(data))
                if direction in connection.silent:
                    continue
                if self._is_reset_due(direction):
                    connection.reset()
                    break
                writer.write(data)
                await writer.drain()
                if direction == TO_TARGET:
                    self.forwarded_bytes += len(data)
        except OSError:
            pass
        if direction not in connection.silent:
            self._close({connection})
