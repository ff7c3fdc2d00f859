"""Rejects oversized request bodies with 413 before they are buffered in memory."""

from __future__ import annotations

from collections.abc import Awaitable

import msgspec
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from boragetide.types import Status

# A client that is still sending when the connection closes may not receive the
# response. A body of up to this many times the limit is therefore read and discarded
# before the response is sent.
DISCARD_FACTOR = 8
MAX_DIGITS = 18  # parsed digits of Content-Length; longer values exceed any limit


class BodyLimit(HTTPServerConnectionDelegate):
    """Forwards requests to ``inner`` unless their body exceeds ``limit`` bytes."""

    def __init__(self, inner: HTTPServerConnectionDelegate, limit: int):
        self._inner = inner
        self._limit = limit

    @property
    def max_read_bytes(self) -> int:
        """Size in bytes of the largest body that the server must read."""
        return self._limit * DISCARD_FACTOR

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Create the delegate that limits the body of one request."""
        inner = self._inner.start_request(server_conn, request_conn)
        return _LimitedRequest(inner, request_conn, self._limit)

    def on_close(self, server_conn: object) -> None:
        """Notify the inner delegate that a connection was closed."""
        self._inner.on_close(server_conn)


class _LimitedRequest(HTTPMessageDelegate):
    def __init__(
        self, inner: HTTPMessageDelegate, connection: HTTPConnection, limit: int
    ):
        self._inner = inner
        self._connection = connection
        self._limit = limit
        self._received = 0
        self._rejected = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        length = headers.get("Content-Length", "")
        self._received = int(length[:MAX_DIGITS]) if length.isdecimal() else 0
        if not self._is_too_large():
            self._received = 0
            return self._inner.headers_received(start_line, headers)
        expects = headers.get("Expect", "").lower() == "100-continue"
        if expects or self._received > self._limit * DISCARD_FACTOR:
            self._reject(unread=True)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._is_too_large():
            return None
        self._received += len(chunk)
        if self._is_too_large():
            self._inner.on_connection_close()
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        if not self._is_too_large():
            self._inner.finish()
        elif not self._rejected:
            self._reject()

    def on_connection_close(self) -> None:
        if not self._is_too_large():
            self._inner.on_connection_close()

    def _is_too_large(self) -> bool:
        return self._received > self._limit

    def _reject(self, unread: bool = False) -> None:
        self._rejected = True
        message = f"body: larger than {self._limit} bytes"
        body = msgspec.json.encode({"status": Status.NOT_RUN, "error": message})
        headers = HTTPHeaders()
        headers["Content-Type"] = "application/json"
        headers["Content-Length"] = str(len(body))
        if unread:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("", 413, "Content Too Large")
        self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
