"""HTTP call to a backend server that runs durable tasks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from boragetide.daemon.logs import log_event
from boragetide.types import BackendServerId, Seconds

CLIENT_CLASS = "tornado.curl_httpclient.CurlAsyncHTTPClient"
MAX_CONNECTIONS = 256
CONNECT_TIMEOUT: Seconds = 0.3
# An order is answered within a round trip of a few milliseconds and can be repeated
# safely, so the timeout is short.
ORDER_TIMEOUT: Seconds = 0.2
# Added to the time for which the backend server may hold its answer until a run ends.
READ_MARGIN: Seconds = 0.2
NO_RESPONSE = 0


@dataclass(frozen=True, slots=True)
class CallResponse:
    """Status and body of a response; `NO_RESPONSE` if the call got none."""

    status: int
    body: bytes


def make_order_client() -> AsyncHTTPClient:
    """Make the curl client that all orders share."""
    AsyncHTTPClient.configure(CLIENT_CLASS, max_clients=MAX_CONNECTIONS)
    return AsyncHTTPClient()


async def call_server(
    client: AsyncHTTPClient,
    server: BackendServerId,
    url: str,
    body: dict[str, Any],
    timeout: Seconds,
    headers: dict[str, str] | None = None,
) -> CallResponse:
    """Make one call; HTTP and network errors are logged and not raised."""
    request = HTTPRequest(
        url,
        method="POST",
        headers={"Content-Type": "application/json", **(headers or {})},
        body=msgspec.json.encode(body),
        connect_timeout=CONNECT_TIMEOUT,
        request_timeout=timeout,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        path = url.rpartition("/")[2]
        log_event("call_unanswered", server=server, path=path, error=str(error))
        return CallResponse(NO_RESPONSE, b"")
    return CallResponse(response.code, response.body)
