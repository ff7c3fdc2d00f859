"""HTTP handlers towards backend servers."""

from __future__ import annotations

from pydantic import ValidationError

from boragetide.api.base import Handler
from boragetide.api.models import BackendServerBody, to_backend_server
from boragetide.errors import LinkError
from boragetide.messages import AnnounceBackendServer, ChoosePlacer
from boragetide.types import Address


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
