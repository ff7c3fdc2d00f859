"""Curl client for many small POST requests to the same backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections import deque
from dataclasses import dataclass, field
from io import BytesIO

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

from boragetide.errors import LinkError
from boragetide.types import Seconds

CONNECT_TIMEOUT: Seconds = 0.3
MAX_IDLE_CONNECTIONS = 512
MS_PER_SECOND = 1000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Without this header, curl may wait for a response before it sends the body.
_NO_EXPECT = b"Expect:"
_EPOLL_EVENTS_BY_POLL = {
    pycurl.POLL_NONE: 0,
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


@dataclass(frozen=True, slots=True)
class CallResponse:
    """Status and body of a response."""

    status: int
    body: bytes


@dataclass(slots=True)
class _Call:
    """A POST request that waits for a handle or for its response."""

    url: str
    headers: list[bytes]
    body: bytes
    timeout: Seconds
    idempotent: bool
    response: asyncio.Future[CallResponse]
    buffer: BytesIO = field(default_factory=BytesIO)
    needs_new_connection: bool = False


class _Upload:
    """Body of the request that a handle sends.

    To repeat a request, curl must rewind its body, and fails the request if it cannot.
    """

    def __init__(self) -> None:
        self._body = b""
        self._position = 0
        self._may_repeat = False

    def begin(self, call: _Call) -> None:
        """Send the body of another request."""
        self._body = call.body
        self._position = 0
        self._may_repeat = call.idempotent

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body, at most ``size``."""
        begin, self._position = self._position, self._position + size
        return self._body[begin : self._position]

    def rewind(self, offset: int, origin: int) -> int:
        """Continue at ``offset``, unless the request must not be repeated."""
        if not self._may_repeat:
            return pycurl.SEEKFUNC_FAIL
        self._position = offset
        return pycurl.SEEKFUNC_OK


class OrderClient(CurlAsyncHTTPClient):
    """Curl client that sets up a handle once and only the differences for each call.

    A call of tornado's client sets about 25 options, parses the headers of the response
    and resets the handle. Here these headers are ignored, and the options that all
    calls share are set once. The sockets have an epoll object of their own, which the
    event loop watches as one descriptor.
    """

    def initialize(self, max_clients: int) -> None:
        """Set the largest number of calls in progress; others wait for their turn.

        The handles are made when they are needed.
        """
        super().initialize(max_clients=0)
        self._max_handles = max_clients
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        self._calls: deque[_Call] = deque()
        self._due_at: Seconds = 0.0
        self._epoll = select.epoll()
        self.io_loop.asyncio_loop.add_reader(
            self._epoll.fileno(), self._handle_ready_sockets
        )

    def close(self) -> None:
        """Close all connections."""
        self.io_loop.asyncio_loop.remove_reader(self._epoll.fileno())
        super().close()
        self._epoll.close()

    def post(
        self,
        url: str,
        headers: list[bytes],
        body: bytes,
        timeout: Seconds,
        *,
        idempotent: bool = False,
    ) -> asyncio.Future[CallResponse]:
        """Send a POST request; the future fails with `LinkError` without a response.

        Parameters
        ----------
        idempotent
            Whether curl may send the request again if a connection that it has used
            before ends without a response. The response to such a copy does not tell
            what became of the first one.
        """
        response = asyncio.get_running_loop().create_future()
        if any(b"\n" in header or b"\r" in header for header in headers):
            response.set_exception(LinkError(f"line break in the headers {headers}"))
            return response
        self._calls.append(_Call(url, headers, body, timeout, idempotent, response))
        self._process_queue()
        return response

    def _curl_create(self) -> pycurl.Curl:
        curl = super()._curl_create()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT * MS_PER_SECOND))
        curl.setopt(pycurl.MAXFILESIZE, MAX_RESPONSE_BYTES)
        curl.setopt(pycurl.POST, 1)
        curl.upload = _Upload()
        curl.setopt(pycurl.READFUNCTION, curl.upload.read)
        curl.setopt(pycurl.SEEKFUNCTION, curl.upload.rewind)
        return curl

    def _process_queue(self) -> None:
        while self._calls:
            curl = self._take_handle()
            if curl is None:
                return
            call = self._calls.popleft()
            try:
                self._start(curl, call)
            except (pycurl.error, ValueError) as error:
                # For example, an address that curl cannot encode.
                self._free_list.append(curl)
                _fail(call, f"{call.url!r}: {error}")

    def _take_handle(self) -> pycurl.Curl | None:
        """Return a handle that is not in use, or ``None`` if all are."""
        if self._free_list:
            return self._free_list.pop()
        if len(self._curls) >= self._max_handles:
            return None
        curl = self._curl_create()
        self._curls.append(curl)
        return curl

    def _start(self, curl: pycurl.Curl, call: _Call) -> None:
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.HTTPHEADER, [*call.headers, _NO_EXPECT])
        curl.setopt(pycurl.POSTFIELDSIZE, len(call.body))
        curl.upload.begin(call)
        if call.needs_new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.TIMEOUT_MS, int(call.timeout * MS_PER_SECOND))
        curl.setopt(pycurl.WRITEFUNCTION, call.buffer.write)
        curl.call = call
        self._multi.add_handle(curl)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        call = curl.call
        curl.call = None
        self._multi.remove_handle(curl)
        self._free_list.append(curl)
        if call.needs_new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 0)
        elif curl_error and _was_certainly_not_sent(curl, curl_error):
            call.needs_new_connection = True
            self._calls.appendleft(call)
            return
        if curl_error:
            _fail(call, f"{curl_error}: {curl_message}")
        elif not call.response.done():
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            call.response.set_result(CallResponse(status, call.buffer.getvalue()))

    def _handle_socket(
        self, event: int, fd: int, multi: pycurl.CurlMulti, data: object
    ) -> None:
        """Watch a socket as curl asks.

        curl starts and stops to watch a socket with each call. It may close a socket
        and open another one with the same descriptor without a word in between; the
        kernel has then dropped the first one from the epoll object.
        """
        if event == pycurl.POLL_REMOVE:
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)
            return
        events = _EPOLL_EVENTS_BY_POLL[event]
        try:
            self._epoll.register(fd, events)
        except FileExistsError:
            self._epoll.modify(fd, events)

    def _handle_ready_sockets(self) -> None:
        """Let curl read from and write to all sockets that are ready."""
        for fd, events in self._epoll.poll(0):
            action = 0
            if events & ~select.EPOLLOUT:
                action |= pycurl.CSELECT_IN
            if events & select.EPOLLOUT:
                action |= pycurl.CSELECT_OUT
            with contextlib.suppress(pycurl.error):
                self._multi.socket_action(fd, action)
        self._finish_pending_requests()

    def _set_timeout(self, msecs: int) -> None:
        """Schedule a timeout of curl, unless an earlier one is scheduled already.

        `_handle_timeout` asks curl for the next timeout, so one that is too early does
        no harm, and curl moves its timeout with every call.
        """
        now = self.io_loop.time()
        due_at = now + max(msecs, 0) / MS_PER_SECOND
        if self._timeout is not None:
            if msecs < 0 or self._due_at <= due_at:
                return
            self.io_loop.remove_timeout(self._timeout)
        elif msecs < 0:
            return
        self._due_at = due_at
        self._timeout = self.io_loop.call_at(due_at, self._handle_timeout)


def _was_certainly_not_sent(curl: pycurl.Curl, curl_error: int) -> bool:
    """Return whether a used connection had ended before any of the body was sent.

    Such a request may be sent again, because no server can have processed it.
    """
    if curl_error != pycurl.E_SEND_FAIL_REWIND:
        return False
    return curl.getinfo(pycurl.SIZE_UPLOAD_T) == 0


def _fail(call: _Call, reason: str) -> None:
    if not call.response.done():
        call.response.set_exception(LinkError(reason))
