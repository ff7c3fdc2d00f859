"""HTTP handlers for status, metrics, liveness and readiness."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from boragetide.api.backend_servers import choose_placer
from boragetide.api.base import Handler
from boragetide.daemon.clock import read_clock
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError
from boragetide.messages import (
    DescribeAcceptor,
    DescribePool,
    FetchConfiguration,
    InstanceList,
    ListInstances,
    PoolDescription,
    Request,
)
from boragetide.types import InstanceId, Seconds

MAX_ACCEPTOR_WAIT: Seconds = 5.0


async def _ask_local(runtime: Runtime, controller: str, message: Request) -> Any:
    return await runtime.ask(
        runtime.local(controller), message, runtime.settings.timing.request_timeout
    )


class StatusHandler(Handler):
    """Shows this instance's view of the system."""

    async def get(self) -> None:
        """Describe this instance and list the live instances with their roles."""
        runtime, settings = self.runtime, self.runtime.settings
        listed, configuration_reply, pool, *chosen = await asyncio.gather(
            _ask_local(runtime, "instances", ListInstances()),
            _ask_local(runtime, "configuration", FetchConfiguration()),
            _ask_local(runtime, "backend_servers", DescribePool()),
            *(choose_placer(runtime, zone) for zone in settings.zones),
        )
        placers = {each.placer for each in chosen}
        configuration = configuration_reply.configuration
        self.respond(
            200,
            {
                "instance": settings.id,
                "availability_zone": settings.zone,
                "incarnation": runtime.incarnation,
                "stopping": runtime.stopping,
                "configuration_version": configuration.version,
                "availability_zones": settings.zones,
                "evacuated_zones": sorted(configuration.evacuated_zones),
                "known_instances": len(settings.peers_by_id),
                "instances": _add_roles(listed, placers),
                "pool": dataclasses.asdict(pool),
            },
        )


def _add_roles(
    listed: InstanceList, placers: set[InstanceId | None]
) -> list[dict[str, Any]]:
    return [
        {**record, "role": "placer" if record["id"] in placers else "entry"}
        for record in sorted(listed.instances, key=lambda record: record["id"])
    ]


class MetricsHandler(Handler):
    """Serves the metrics to Prometheus."""

    async def get(self) -> None:
        """Update the gauges and render all metrics."""
        await _set_gauges(self.runtime)
        content, headers = self.runtime.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


async def _set_gauges(runtime: Runtime) -> None:
    """Update the gauges.

    If a controller does not answer in time, the gauges of the pool and of the live
    instances keep their last values.
    """
    metrics = runtime.metrics
    if runtime.server_limits is not None:
        runtime.server_limits.set_gauges()
    for controller, mailbox in runtime.mailboxes_by_controller.items():
        labels = {"controller": controller}
        metrics.set_gauge("mailbox_messages", labels, mailbox.qsize())
    for peer_id, link in runtime.links_by_id.items():
        metrics.set_gauge("link_messages", {"peer": peer_id}, len(link.outbox))
    try:
        pool: PoolDescription = await _ask_local(
            runtime, "backend_servers", DescribePool()
        )
        listed: InstanceList = await _ask_local(runtime, "instances", ListInstances())
    except LinkError:
        return
    metrics.set_gauge("live_instances", {}, len(listed.instances))
    for name, value in dataclasses.asdict(pool).items():
        metrics.set_gauge(f"pool_{name}", {}, value)


class HealthHandler(Handler):
    """Reports that the process is alive."""

    def get(self) -> None:
        """Respond with 200, which shows that the event loop is running."""
        self.respond(200, {"status": "ok"})

    head = get  # some load balancers send HEAD requests


class ReadinessHandler(Handler):
    """Reports whether this instance accepts new requests."""

    async def get(self) -> None:
        """Respond with 503 while stopping or without a placer or a configuration.

        After a start, the instance is also not ready until its acceptor is complete,
        because claims of new ids chosen by callers cannot be decided until then. This
        condition is dropped after `MAX_ACCEPTOR_WAIT`, because an acceptor whose
        group has lost another member may need the whole resubmission window.
        """
        runtime = self.runtime
        placer_reply, configuration_reply, acceptor = await asyncio.gather(
            choose_placer(runtime, runtime.settings.zone),
            _ask_local(runtime, "configuration", FetchConfiguration()),
            _ask_local(runtime, "claims", DescribeAcceptor()),
        )
        uptime = read_clock() - runtime.incarnation / 1000
        serving = placer_reply.placer is not None and configuration_reply.in_force
        claiming = acceptor.complete or uptime > MAX_ACCEPTOR_WAIT
        ready = serving and claiming and not runtime.stopping
        self.respond(200 if ready else 503, {"ready": ready})

    head = get
