"""HTTP call to a backend server that runs durable tasks."""

from __future__ import annotations

from typing import Any

import msgspec

from boragetide.daemon.repeated_logs import RateLimitedLog
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
# A fault of the network can leave hundreds of calls a second unanswered. The dispatcher
# counts all of them.
_unanswered_call_log = RateLimitedLog()


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
    *,
    idempotent: bool = False,
) -> CallResponse:
    """Call a backend server; a missing response is logged and is no error.

    Parameters
    ----------
    idempotent
        Whether the response to a second copy of the call also tells what became of the
        first one, so that a copy may be sent without the caller's knowledge.
    """
    try:
        return await client.post(
            url,
            [_JSON_HEADER, *headers],
            msgspec.json.encode(body),
            timeout,
            idempotent=idempotent,
        )
    except LinkError as error:
        path = url.rpartition("/")[2]
        _unanswered_call_log.record(
            "call_unanswered", server=server, path=path, error=str(error)
        )
        return CallResponse(NO_RESPONSE, b"")
