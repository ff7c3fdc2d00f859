"""What all HTTP handlers share."""

from __future__ import annotations

from asyncio import Future
from typing import Any

import msgspec
from tornado.web import RequestHandler

from boragetide.daemon.runtime import Runtime
from boragetide.types import Status


class Handler(RequestHandler):
    """Handler with access to the runtime; answers errors without a traceback."""

    def initialize(self, runtime: Runtime) -> None:
        """Keep the runtime."""
        self.runtime = runtime

    def prepare(self) -> None:
        """Note the open request, and keep no connection open while stopping."""
        self.runtime.open_requests.add(self)
        if self.runtime.stopping:
            self.set_header("Connection", "close")

    def finish(self, chunk: Any = None) -> Future[None]:
        """Count the request as open until its response is written."""
        try:
            written = super().finish(chunk)
        except BaseException:
            self.runtime.open_requests.discard(self)
            raise
        written.add_done_callback(self._close_request)
        return written

    def _close_request(self, written: Future[None]) -> None:
        self.runtime.open_requests.discard(self)

    def respond(self, status: int, body: Any) -> None:
        """Write a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer without a traceback."""
        status = Status.NOT_RUN if 400 <= status_code < 500 else Status.UNKNOWN
        self.respond(status_code, {"status": status, "error": self._reason})
