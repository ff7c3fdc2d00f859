"""A raw TCP server for tests that closes every connection it accepted."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Accept a connection, send nothing and leave it open."""


@dataclass(slots=True)
class ScriptedServer:
    """Answers the requests of all connections in turn, and records their bodies.

    Parameters
    ----------
    answers
        Status line and body for each request; after ``None`` the connection ends
        without an answer.
    """

    answers: list[tuple[str, str] | None]
    received: list[bytes] = field(default_factory=list)

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        while (body := await read_request(reader)) is not None:
            answer = self.answers[len(self.received)]
            self.received.append(body)
            if answer is None:
                writer.close()
                return
            status, text = answer
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n"
            writer.write(head.encode() + text.encode())
            await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> bytes | None:
    """Return the body of the next request, or ``None`` at the connection's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    return await reader.readexactly(int(length[1]) if length else 0)


@contextlib.asynccontextmanager
async def serve_streams(
    port: int, serve: Serve = never_answer
) -> AsyncIterator[list[asyncio.StreamWriter]]:
    """Serve each connection to a loopback port; yield the writers of all connections.

    At the end, the connections are closed while the event loop still runs. The garbage
    collector would close them later, in the middle of other code, and raise an error.
    """
    accepted: list[asyncio.StreamWriter] = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.append(writer)
        await serve(reader, writer)

    server = await asyncio.start_server(accept, "127.0.0.1", port)
    try:
        yield accepted
    finally:
        server.close()
        for writer in accepted:
            # Unlike `close`, `abort` does not wait until unsent data is sent.
            writer.transport.abort()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
