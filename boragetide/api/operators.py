"""HTTP handlers towards operators and the platform."""

from __future__ import annotations

from boragetide.api.base import Handler
from boragetide.errors import LinkError
from boragetide.messages import FetchConfiguration, ListInstances


class StatusHandler(Handler):
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


class MetricsHandler(Handler):
    """Serves the metrics to Prometheus."""

    def get(self) -> None:
        """Render all metrics."""
        content, headers = self.runtime.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class HealthHandler(Handler):
    """Says that the process runs."""

    def get(self) -> None:
        """Answer 200 while the event loop turns."""
        self.respond(200, {"status": "ok"})


class ReadinessHandler(Handler):
    """Says whether this instance takes new requests."""

    async def get(self) -> None:
        """Answer 503 while stopping, or without a configuration in force."""
        try:
            changed = await self.runtime.ask(
                self.runtime.local("configuration"),
                FetchConfiguration(),
                self.runtime.settings.timing.request_timeout,
            )
        except LinkError:
            ready = False
        else:
            ready = changed.in_force and not self.runtime.stopping
        self.respond(200 if ready else 503, {"ready": ready})
