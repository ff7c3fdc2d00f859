"""HTTP handler for submissions of jobs and single requests."""

from __future__ import annotations

from typing import Any

from boragetide.api.base import Handler
from boragetide.api.models import BodyError, SubmissionBody, parse_body, to_submission
from boragetide.daemon.clock import read_clock
from boragetide.daemon.runtime import Runtime
from boragetide.filters.admit import admit
from boragetide.filters.answer import answer
from boragetide.filters.chain import Exchange, build_chain
from boragetide.filters.claim import claim
from boragetide.filters.dispatch import dispatch
from boragetide.filters.route import route
from boragetide.types import Answer, Seconds, Status

SUBMISSION_CHAIN = build_chain(answer, admit, route, claim, dispatch)


def describe_answer(result: Answer) -> dict[str, Any]:
    """Return the JSON body for an answer; only a complete answer has results."""
    body: dict[str, Any] = {"id": result.id, "status": result.status}
    if result.status is Status.COMPLETE:
        body["results"] = result.results
    else:
        body["error"] = result.error
    return body


class SubmissionHandler(Handler):
    """Accepts jobs or single requests, depending on the model of the body."""

    def initialize(self, runtime: Runtime, kind: type[SubmissionBody]) -> None:
        """Store the model of the request body and the runtime."""
        super().initialize(runtime)
        self.body_model = kind
        self.exchange: Exchange | None = None

    async def post(self) -> None:
        """Run a submission and send its complete answer in one response."""
        received_at = read_clock()
        parsed = parse_body(self.body_model, self.take_body())
        if parsed.is_error():
            self._refuse_body(parsed.error, received_at)
            return
        exchange = Exchange(self.runtime, to_submission(parsed.ok), received_at)
        self.exchange = exchange
        result = await SUBMISSION_CHAIN(exchange)
        self.respond(exchange.http_status, describe_answer(result))

    def on_connection_close(self) -> None:
        """Record that the caller no longer waits."""
        if self.exchange is not None:
            self.exchange.caller_left = True

    def _refuse_body(self, error: BodyError, received_at: Seconds) -> None:
        """Reject a body that fails validation; the message names the field."""
        refused = Answer("", Status.NOT_RUN, error=error.message)
        seconds = read_clock() - received_at
        self.runtime.metrics.observe_response("", refused.status, seconds)
        self.respond(error.http_status, describe_answer(refused))
