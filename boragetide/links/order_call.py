"""HTTP call to a backend server that runs durable tasks."""

from __future__ import annotations

from typing import Any

import msgspec

from boragetide.daemon.logs import log_event
from boragetide.errors import LinkError
from boragetide.links.order_client import CallResponse, OrderClient
from boragetide.types import BackendServerId, Seconds

# One call for each backend server waits for the end of a run; the others are short.
MAX_CONNECTIONS = 512
# An order is answered within a round trip of a few milliseconds and can be repeated
# safely, so the timeout is short.
ORDER_TIMEOUT: Seconds = 0.2
# Added to the time for which the backend server may hold its answer until a run ends.
READ_MARGIN: Seconds = 0.2
NO_RESPONSE = 0
_JSON_HEADER = b"Content-Type: application/json"


def make_order_client() -> OrderClient:
    """Make a client for orders, which has its own connections."""
    return OrderClient(force_instance=True, max_clients=MAX_CONNECTIONS)


async def call_server(
    client: OrderClient,
    server: BackendServerId,
    url: str,
    body: dict[str, Any],
    timeout: Seconds,
    headers: tuple[bytes, ...] = (),
) -> CallResponse:
    """Make one call; a call without a response is logged, and no error is raised."""
    path = url.rpartition("/")[2]
    try:
        response = await client.post(
            url, [_JSON_HEADER, *headers], msgspec.json.encode(body), timeout
        )
    except LinkError as error:
        log_event("call_unanswered", server=server, path=path, error=str(error))
        return CallResponse(NO_RESPONSE, b"")
    if response.repeated:
        log_event("call_repeated", server=server, path=path, status=response.status)
    return response
