"""HTTP handlers for the announcements and for the list of backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from boragetide.api.base import EntryHandler, Handler
from boragetide.api.models import (
    BackendServerBody,
    find_id_error,
    parse_body,
    to_backend_server,
)
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError
from boragetide.messages import (
    AnnounceBackendServer,
    ChoosePlacer,
    LeaseGranted,
    LeaseRefused,
    ListBackendServers,
    PlacerChosen,
)
from boragetide.types import Address, InstanceId, ZoneId

# Leaves time for a second attempt at another instance within 3 s. After that time, a
# backend server that is leaving must not receive new tasks.
FORWARD_TIMEOUT = 1.0  # seconds


class BackendServerHandler(EntryHandler):
    """Accepts announcements of backend servers."""

    async def put(self, server_id: str) -> None:
        """Register a backend server with the placer of its zone or renew its lease."""
        self.runtime.metrics.count("announcements", {})
        parsed = parse_body(BackendServerBody, self.take_body())
        error = (
            find_id_error(server_id)
            or (parsed.error.message if parsed.is_error() else None)
            or _find_zone_error(parsed.ok.availability_zone, self.runtime)
        )
        if error is not None:
            self.refuse_entry(server_id, error)
            return
        server = to_backend_server(server_id, parsed.ok)
        message = AnnounceBackendServer(server, parsed.ok.lease)
        granted = await _obtain_lease(self.runtime, message)
        self.respond(200, granted)


async def _obtain_lease(
    runtime: Runtime, message: AnnounceBackendServer
) -> LeaseGranted:
    """Return a lease from this instance or from the placer of the zone.

    Raises
    ------
    LinkError
        If no placer granted a lease. The backend server then tries another instance.
    """
    reply = await _request_lease_locally(runtime, message)
    if isinstance(reply, LeaseRefused):
        try:
            reply = await _request_lease_from_placer(runtime, message)
        except LinkError:
            if not message.server.leaving:
                raise
    if isinstance(reply, LeaseRefused) and message.server.leaving:
        # No placer was reached or granted a lease. With a new lease, the backend server
        # rejects the tasks that the placer still dispatches under the old one.
        reply = await _request_lease_locally(runtime, replace(message, fence=True))
    if isinstance(reply, LeaseRefused):
        raise LinkError(reply.reason)
    return reply


async def _request_lease_locally(
    runtime: Runtime, message: AnnounceBackendServer
) -> LeaseGranted | LeaseRefused:
    if message.server.zone != runtime.settings.zone:
        return LeaseRefused(f"this instance is not in zone {message.server.zone!r}")
    timeout = runtime.settings.timing.request_timeout
    return await runtime.ask(runtime.local("backend_servers"), message, timeout)


async def _request_lease_from_placer(
    runtime: Runtime, message: AnnounceBackendServer
) -> LeaseGranted | LeaseRefused:
    zone = message.server.zone
    found = await choose_placer(runtime, zone)
    if found.placer is None or found.placer == runtime.settings.id:
        return LeaseRefused(found.reason)
    placer = Address(found.placer, "backend_servers")
    return await runtime.ask(placer, message, FORWARD_TIMEOUT)


def _find_zone_error(zone: ZoneId, runtime: Runtime) -> str | None:
    if zone in runtime.settings.zones:
        return None
    return f"availability_zone: unknown availability zone {zone!r}"


async def choose_placer(runtime: Runtime, zone: ZoneId) -> PlacerChosen:
    """Find the instance that leases the backend servers of an availability zone.

    Raises
    ------
    LinkError
        If the controller did not answer in time.
    """
    return await runtime.ask(
        runtime.local("instances"),
        ChoosePlacer(zone, for_jobs=False),
        runtime.settings.timing.request_timeout,
    )


class BackendServersHandler(Handler):
    """Lists the backend servers of all availability zones."""

    async def get(self) -> None:
        """Collect the lists of all reachable placers within the request timeout."""
        zones = self.runtime.settings.zones
        chosen = await asyncio.gather(
            *(choose_placer(self.runtime, zone) for zone in zones)
        )
        placers = sorted({each.placer for each in chosen if each.placer is not None})
        lists = await asyncio.gather(
            *(_list_servers(self.runtime, placer) for placer in placers)
        )
        records = [record for listed in lists for record in listed or ()]
        silent_placers = [
            placer
            for placer, listed in zip(placers, lists, strict=True)
            if listed is None
        ]
        zones_without_placer = [
            zone
            for zone, each in zip(zones, chosen, strict=True)
            if each.placer is None
        ]
        self.respond(
            200,
            {
                "backend_servers": sorted(records, key=lambda record: record["id"]),
                "silent_placers": silent_placers,
                "zones_without_placer": zones_without_placer,
            },
        )


async def _list_servers(
    runtime: Runtime, placer: InstanceId
) -> tuple[dict[str, Any], ...] | None:
    try:
        listed = await runtime.ask(
            Address(placer, "backend_servers"),
            ListBackendServers(),
            runtime.settings.timing.request_timeout,
        )
    except LinkError:
        return None
    return listed.servers
