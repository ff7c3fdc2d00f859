"""Routes of the daemon's HTTP server."""

from __future__ import annotations

from tornado.web import Application, RequestHandler

from boragetide.api.backend_servers import BackendServerHandler
from boragetide.api.configuration import (
    CommandHandler,
    ConfigurationHandler,
    HistoryHandler,
)
from boragetide.api.models import JobBody, RequestBody
from boragetide.api.operators import (
    HealthHandler,
    MetricsHandler,
    ReadinessHandler,
    StatusHandler,
)
from boragetide.api.submissions import SubmissionHandler
from boragetide.daemon.runtime import Runtime


def make_application(runtime: Runtime) -> Application:
    """Build the HTTP application of a daemon."""
    shared = {"runtime": runtime}
    return Application(
        [
            (r"/v1/jobs", SubmissionHandler, {**shared, "kind": JobBody}),
            (r"/v1/requests", SubmissionHandler, {**shared, "kind": RequestBody}),
            (r"/v1/backend-servers/([^/]+)", BackendServerHandler, shared),
            (r"/v1/configuration", ConfigurationHandler, shared),
            (r"/v1/configuration/commands", CommandHandler, shared),
            (r"/v1/configuration/history", HistoryHandler, shared),
            (r"/v1/status", StatusHandler, shared),
            (r"/metrics", MetricsHandler, shared),
            (r"/healthz", HealthHandler, shared),
            (r"/readyz", ReadinessHandler, shared),
        ],
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: RequestHandler) -> None:
    """Leave access lines out: routing and placement have their own."""
