"""A raw TCP server for tests that closes every connection it accepted."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Accept a connection, send nothing and leave it open."""


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
