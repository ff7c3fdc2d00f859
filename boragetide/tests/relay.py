"""A TCP relay between two daemons that can close or silence its connections."""

from __future__ import annotations

import asyncio
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
    """

    def __init__(self, loop: RelayLoop, port: int, target_port: int):
        self.port = port
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
            self._server = await asyncio.start_server(
                self._accept, "127.0.0.1", self.port
            )

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
            target = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.close()
            return
        connection = _Connection([writer, target[1]], set(self._silent))
        self._connections.add(connection)
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
        try:
            while data := await reader.read(CHUNK):
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
