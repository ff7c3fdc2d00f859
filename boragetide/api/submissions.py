"""HTTP handlers towards callers."""

from __future__ import annotations

from typing import Any

from boragetide.api.base import RETRY_AFTER, Handler
from boragetide.api.models import SubmissionBody
from boragetide.daemon.clock import read_clock
from boragetide.daemon.runtime import Runtime
from boragetide.filters.admit import admit
from boragetide.filters.answer import answer
from boragetide.filters.chain import Exchange, build_chain
from boragetide.filters.claim import claim
from boragetide.filters.dispatch import dispatch
from boragetide.filters.parse import parse
from boragetide.filters.route import route
from boragetide.types import Answer, Status

SUBMISSION_CHAIN = build_chain(answer, parse, admit, route, claim, dispatch)


def describe_answer(result: Answer) -> dict[str, Any]:
    """Render an answer; only a complete one has results."""
    body: dict[str, Any] = {"id": result.id, "status": result.status}
    if result.status is Status.COMPLETE:
        body["results"] = result.results
    else:
        body["error"] = result.error
    return body


class SubmissionHandler(Handler):
    """Takes jobs or single requests, by the border model of their body."""

    def initialize(self, runtime: Runtime, kind: type[SubmissionBody]) -> None:
        """Keep the border model beside the runtime."""
        super().initialize(runtime)
        self.kind = kind

    async def post(self) -> None:
        """Run a submission and answer it whole."""
        exchange = Exchange(self.runtime, self.kind, self.request.body, read_clock())
        result = await SUBMISSION_CHAIN(exchange)
        if exchange.http_status == 503 and result.status is Status.NOT_RUN:
            self.set_header("Retry-After", RETRY_AFTER)
        self.respond(exchange.http_status, describe_answer(result))
