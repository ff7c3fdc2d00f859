"""Curl client that sends no request body twice."""

from __future__ import annotations

import contextlib
import select
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest


class TaskClient(CurlAsyncHTTPClient):
    """Curl client for requests whose body may be processed at most once.

    curl repeats a request by itself if a connection that it has used before ends
    without a response. The server may have processed the first copy, so a request with
    a body fails instead. To lose none on a connection that the server closed while it
    was idle, for which curl looks once a second only, the client watches the sockets of
    idle connections.
    """

    def initialize(self, **options: Any) -> None:
        """Pass the options to the base class."""
        super().initialize(**options)
        self._idle = select.epoll()

    def close(self) -> None:
        """Close all connections."""
        super().close()
        self._idle.close()

    def _curl_setup_request(
        self, curl: pycurl.Curl, request: HTTPRequest, *arguments: Any
    ) -> None:
        super()._curl_setup_request(curl, request, *arguments)
        if self._has_closed_connection():
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        if request.body is not None:
            curl.setopt(pycurl.SEEKFUNCTION, _refuse_seek)

    def _has_closed_connection(self) -> bool:
        """Return whether a server has closed a connection that curl still keeps."""
        return bool(self._idle.poll(0, 1))

    def _handle_socket(
        self, event: int, fd: int, multi: pycurl.CurlMulti, data: object
    ) -> None:
        super()._handle_socket(event, fd, multi, data)
        # Closed descriptors leave the epoll object without a call.
        with contextlib.suppress(OSError):
            if event == pycurl.POLL_REMOVE:
                self._idle.register(fd, select.EPOLLIN | select.EPOLLRDHUP)
            else:
                self._idle.unregister(fd)


def _refuse_seek(offset: int, origin: int) -> int:
    return pycurl.SEEKFUNC_FAIL
