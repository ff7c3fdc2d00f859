"""HTTP handlers towards backend servers."""

from __future__ import annotations

from dataclasses import replace

from pydantic import ValidationError

from boragetide.api.base import Handler
from boragetide.api.models import BackendServerBody, to_backend_server
from boragetide.daemon.runtime import Runtime
from boragetide.errors import LinkError
from boragetide.messages import (
    AnnounceBackendServer,
    FindPlacer,
    LeaseGranted,
    LeaseRefused,
)
from boragetide.types import Address

# Leaves time for a second attempt at another instance within the 3 s after which a
# leaving backend server must be free of new work.
FORWARD_TIMEOUT = 1.0  # seconds


class BackendServerHandler(Handler):
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
        server = to_backend_server(server_id, body)
        try:
            granted = await _announce(
                self.runtime, AnnounceBackendServer(server, body.lease)
            )
        except LinkError as error:
            self.respond(503, {"error": str(error)})
            return
        self.respond(200, granted)


async def _announce(runtime: Runtime, message: AnnounceBackendServer) -> LeaseGranted:
    """Get a lease here or from the placer of the backend server's zone.

    Raises
    ------
    LinkError
        If no placer granted a lease; the backend server tries another instance.
    """
    reply = await _ask_here(runtime, message)
    if isinstance(reply, LeaseRefused):
        try:
            reply = await _ask_placer(runtime, message)
        except LinkError:
            if not message.server.leaving:
                raise
    if isinstance(reply, LeaseRefused) and message.server.leaving:
        # The placer is not reached: under another lease the backend server refuses what
        # the placer still dispatches.
        reply = await _ask_here(runtime, replace(message, fence=True))
    if isinstance(reply, LeaseRefused):
        raise LinkError(reply.reason)
    return reply


async def _ask_here(
    runtime: Runtime, message: AnnounceBackendServer
) -> LeaseGranted | LeaseRefused:
    if message.server.zone != runtime.settings.zone:
        return LeaseRefused(f"zone {message.server.zone!r} has other instances")
    timeout = runtime.settings.timing.request_timeout
    return await runtime.ask(runtime.local("backend_servers"), message, timeout)


async def _ask_placer(
    runtime: Runtime, message: AnnounceBackendServer
) -> LeaseGranted | LeaseRefused:
    zone = message.server.zone
    timeout = runtime.settings.timing.request_timeout
    found = await runtime.ask(runtime.local("instances"), FindPlacer(zone), timeout)
    if found.placer is None or found.placer == runtime.settings.id:
        return LeaseRefused(found.reason)
    placer = Address(found.placer, "backend_servers")
    return await runtime.ask(placer, message, FORWARD_TIMEOUT)
