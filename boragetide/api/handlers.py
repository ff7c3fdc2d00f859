"""HTTP handlers towards callers, backend servers and operators."""

from __future__ import annotations

from typing import Any

import msgspec
from pydantic import ValidationError
from tornado.web import Application, RequestHandler

from boragetide.api.models import (
    BackendServerBody,
    JobBody,
    RequestBody,
    SubmissionBody,
    to_backend_server,
)
from boragetide.daemon.clock import read_clock
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError
from boragetide.filters.admit import admit
from boragetide.filters.answer import answer
from boragetide.filters.chain import Exchange, build_chain
from boragetide.filters.claim import claim
from boragetide.filters.dispatch import dispatch
from boragetide.filters.parse import parse
from boragetide.filters.route import route
from boragetide.messages import AnnounceBackendServer, ChoosePlacer, ListInstances
from boragetide.types import Address, Answer, Status

SUBMISSION_CHAIN = build_chain(answer, parse, admit, route, claim, dispatch)


class _Handler(RequestHandler):
    def initialize(self, runtime: Runtime) -> None:
        self.runtime = runtime

    def respond(self, status: int, body: Any) -> None:
        """Write a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer without a traceback."""
        status = Status.NOT_RUN if 400 <= status_code < 500 else Status.UNKNOWN
        self.respond(status_code, {"status": status, "error": self._reason})


def describe_answer(result: Answer) -> dict[str, Any]:
    """Render an answer; only a complete one has results."""
    body: dict[str, Any] = {"id": result.id, "status": result.status}
    if result.status is Status.COMPLETE:
        body["results"] = result.results
    else:
        body["error"] = result.error
    return body


class SubmissionHandler(_Handler):
    """Takes jobs or single requests, by the border model of their body."""

    def initialize(self, runtime: Runtime, kind: type[SubmissionBody]) -> None:
        """Keep the border model beside the runtime."""
        super().initialize(runtime)
        self.kind = kind

    async def post(self) -> None:
        """Run a submission and answer it whole."""
        exchange = Exchange(self.runtime, self.kind, self.request.body, read_clock())
        result = await SUBMISSION_CHAIN(exchange)
        self.respond(exchange.http_status, describe_answer(result))


class BackendServerHandler(_Handler):
    """Takes the announcements of backend servers."""

    async def put(self, server_id: str) -> None:
        """Announce or renew a backend server at the placer of its zone."""
        try:
            body = BackendServerBody.model_validate_json(self.request.body)
        except ValidationError as error:
            fault = error.errors(include_url=False)[0]
            name = ".".join(str(part) for part in fault["loc"]) or "body"
            self.respond(400, {"error": f"{name}: {fault['msg']}"})
            return
        timeout = self.runtime.settings.timing.request_timeout
        server = to_backend_server(server_id, body)
        try:
            chosen = await self.runtime.ask(
                self.runtime.local("instances"), ChoosePlacer(server.zone), timeout
            )
            placer = chosen.placer or self.runtime.settings.id
            granted = await self.runtime.ask(
                Address(placer, "backend_servers"),
                AnnounceBackendServer(server),
                timeout,
            )
        except LinkError as error:
            self.respond(503, {"error": str(error)})
            return
        self.respond(200, granted)


class StatusHandler(_Handler):
    """Shows this instance's view of the system."""

    async def get(self) -> None:
        """List the live instances."""
        listed = await self.runtime.ask(
            self.runtime.local("instances"),
            ListInstances(),
            self.runtime.settings.timing.request_timeout,
        )
        self.respond(
            200,
            {
                "instance": self.runtime.settings.id,
                "availability_zone": self.runtime.settings.zone,
                "instances": listed.instances,
            },
        )


class MetricsHandler(_Handler):
    """Serves the metrics to Prometheus."""

    def get(self) -> None:
        """Render all metrics."""
        content, headers = self.runtime.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class HealthHandler(_Handler):
    """Says that the process runs."""

    def get(self) -> None:
        """Answer 200 while the event loop turns."""
        self.respond(200, {"status": "ok"})


class ReadinessHandler(_Handler):
    """Says whether this instance takes new requests."""

    def get(self) -> None:
        """Answer 503 while stopping."""
        ready = not self.runtime.stopping
        self.respond(200 if ready else 503, {"ready": ready})


def make_application(runtime: Runtime) -> Application:
    """Build the HTTP application of a daemon."""
    shared = {"runtime": runtime}
    return Application(
        [
            (r"/v1/jobs", SubmissionHandler, {**shared, "kind": JobBody}),
            (r"/v1/requests", SubmissionHandler, {**shared, "kind": RequestBody}),
            (r"/v1/backend-servers/([^/]+)", BackendServerHandler, shared),
            (r"/v1/status", StatusHandler, shared),
            (r"/metrics", MetricsHandler, shared),
            (r"/healthz", HealthHandler, shared),
            (r"/readyz", ReadinessHandler, shared),
        ],
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: RequestHandler) -> None:
    """Leave access lines out: routing and placement have their own."""
