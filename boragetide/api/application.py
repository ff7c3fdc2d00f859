"""Routes of the daemon's HTTP server."""

from __future__ import annotations

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from boragetide.api.backend_servers import BackendServerHandler, BackendServersHandler
from boragetide.api.base import NotFoundHandler
from boragetide.api.body_limit import LimitedServer
from boragetide.api.configuration import (
    CommandHandler,
    ConfigurationHandler,
    HistoryHandler,
)
from boragetide.api.durable import (
    DurableExplanationHandler,
    DurableJobHandler,
    DurableJobsHandler,
    RunServerHandler,
)
from boragetide.api.jobs import JobHandler, JobIdsHandler
from boragetide.api.models import JobBody, RequestBody
from boragetide.api.operators import (
    HealthHandler,
    MetricsHandler,
    ReadinessHandler,
    StatusHandler,
)
from boragetide.api.server_limits import get_server_limits
from boragetide.api.submissions import SubmissionHandler
from boragetide.daemon.repeated_logs import FaultLog
from boragetide.daemon.runtime import Runtime


def make_server(runtime: Runtime) -> HTTPServer:
    """Build the HTTP server of a daemon."""
    return LimitedServer(
        make_application(runtime),
        name="daemon",
        limits=get_server_limits(runtime),
        body_bytes=runtime.settings.limits.body_bytes,
    )


def make_application(runtime: Runtime) -> Application:
    """Build the HTTP application of a daemon."""
    shared = {"runtime": runtime}
    announced = {**shared, "faults": FaultLog()}
    return Application(
        [
            (r"/v1/jobs", SubmissionHandler, {**shared, "kind": JobBody}),
            (r"/v1/jobs/(.+)", JobHandler, shared),
            (r"/v1/job-ids", JobIdsHandler, shared),
            (r"/v1/requests", SubmissionHandler, {**shared, "kind": RequestBody}),
            (r"/v1/backend-servers", BackendServersHandler, shared),
            (r"/v1/backend-servers/([^/]+)", BackendServerHandler, announced),
            (r"/v1/durable-jobs", DurableJobsHandler, shared),
            (r"/v1/durable-jobs/(explain)", DurableExplanationHandler, shared),
            (r"/v1/durable-jobs/(.+)", DurableJobHandler, shared),
            (r"/v1/run-servers/([^/]+)", RunServerHandler, announced),
            (r"/v1/configuration", ConfigurationHandler, shared),
            (r"/v1/configuration/commands", CommandHandler, shared),
            (r"/v1/configuration/history", HistoryHandler, shared),
            (r"/v1/status", StatusHandler, shared),
            (r"/metrics", MetricsHandler, shared),
            (r"/healthz", HealthHandler, shared),
            (r"/readyz", ReadinessHandler, shared),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args=shared,
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: RequestHandler) -> None:
    """Suppress the access log, because routing and placement log the requests."""
