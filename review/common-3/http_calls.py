"""HTTP/1.1 calls and a small HTTP/1.1 server for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import urlsplit

NO_ANSWER = 0

Answer = tuple[int, Any] | None


async def call(
    method: str,
    url: str,
    body: Any = None,
    timeout: float = 1.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Make one call on a connection of its own; status 0 stands for no answer."""
    try:
        async with asyncio.timeout(timeout):
            return await _call(method, url, body, headers or {})
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return NO_ANSWER, None


async def _call(
    method: str, url: str, body: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    parts = urlsplit(url)
    data = b"" if body is None else body
    if not isinstance(data, bytes):
        data = json.dumps(data, separators=(",", ":")).encode()
    lines = {
        "Host": parts.netloc,
        "Connection": "close",
        "Content-Type": "application/json",
        "Content-Length": str(len(data)),
        **headers,
    }
    head = f"{method} {parts.path or '/'} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n"
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    try:
        writer.write(head.encode() + data)
        await writer.drain()
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        length = None
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode().partition(":")
            if name.lower() == "content-length":
                length = int(value)
        answer = await reader.read() if length is None else b""
        if length:
            answer = await reader.readexactly(length)
    finally:
        writer.close()
    with contextlib.suppress(ValueError):
        return status, json.loads(answer)
    return status, None


Handler = Callable[[str, dict[str, str], bytes], Awaitable[Answer]]


class Server:
    """Serves POST requests; an answer of ``None`` closes the connection unanswered."""

    def __init__(self, ip: str, port: int, handle: Handler):
        self._ip, self._port, self._handle = ip, port, handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    async def close(self) -> None:
        """Close the listener and all connections at once."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        start = await reader.readuntil(b"\r\n")
        path = start.split()[1].decode()
        headers: dict[str, str] = {}
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        answer = await self._handle(path, headers, body)
        if answer is None:
            writer.transport.abort()
            return False
        status, content = answer
        data = json.dumps(content, separators=(",", ":")).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        return True
