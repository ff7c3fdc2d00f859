"""HTTP client of the command line: tries the daemons in order and resends."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, replace
from typing import Any

import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from boragetide.errors import LinkError, PeerUnreachable, ReplyTimeout
from boragetide.links.backend_client import make_client
from boragetide.types import Seconds

CONNECT_TIMEOUT: Seconds = 2.0
RESEND_DELAY: Seconds = 0.2  # before the second round; doubles with each round
MAX_RESEND_DELAY: Seconds = 2.0

# HTTP status codes after which the request is sent to the next server. This is safe
# because a command id or job id has one outcome, however often it is sent.
_RETRIED_STATUSES = frozenset({503})
_CURL_CONNECT_ERRORS = frozenset({5, 6, 7})  # curl errors: proxy, host, connect


@dataclass(frozen=True, slots=True)
class Call:
    """One request that may be sent several times.

    Parameters
    ----------
    timeout
        Seconds for one attempt.
    resend_for
        Seconds from the first attempt during which the request is sent again if an
        answer is lost.
    """

    method: str
    path: str
    body: Any = None
    timeout: Seconds = 10.0
    resend_for: Seconds = 10.0


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to a call.

    Parameters
    ----------
    other_answer_lost
        Whether another attempt got no answer and may have taken effect.
    """

    http_status: int
    body: Any
    other_answer_lost: bool = False


async def send(call: Call, servers: tuple[str, ...]) -> Response:
    """Send a request to the first server that answers it.

    Raises
    ------
    PeerUnreachable
        If no server was reached, so that the request was certainly not accepted.
    ReplyTimeout
        If an answer was lost and none arrived within ``call.resend_for`` seconds; a
        server may have accepted the request.
    """
    client = make_client()
    deadline = time.monotonic() + call.resend_for
    delays = (RESEND_DELAY * 2**number for number in itertools.count())
    answer_lost = False
    for delay in delays:
        refusal: Response | None = None
        failures: list[str] = []
        for server in servers:
            try:
                response = await _fetch(client, server, call)
            except LinkError as error:
                answer_lost = answer_lost or isinstance(error, ReplyTimeout)
                failures.append(f"{server}: {error}")
                continue
            answer = Response(response.http_status, response.body, answer_lost)
            if response.http_status not in _RETRIED_STATUSES:
                return answer
            answer_lost = answer_lost or answer.body.get("status") == "unknown"
            refusal = answer
        if time.monotonic() + delay > deadline or not answer_lost:
            break
        await asyncio.sleep(min(delay, MAX_RESEND_DELAY) * random.uniform(0.5, 1.0))
    if refusal is not None:
        return replace(refusal, other_answer_lost=answer_lost)
    raise (ReplyTimeout if answer_lost else PeerUnreachable)("; ".join(failures))


async def _fetch(client: AsyncHTTPClient, server: str, call: Call) -> Response:
    request = HTTPRequest(
        server.rstrip("/") + call.path,
        method=call.method,
        headers={"Content-Type": "application/json"},
        body=None if call.body is None else json.dumps(call.body).encode(),
        connect_timeout=CONNECT_TIMEOUT,
        request_timeout=call.timeout,
        follow_redirects=False,
        prepare_curl_callback=_use_new_connection,
    )
    try:
        response = await client.fetch(request, raise_error=False)
        if response.code == 599:
            response.rethrow()
        return Response(response.code, _decode(response.body))
    except HTTPClientError as error:
        if getattr(error, "errno", None) in _CURL_CONNECT_ERRORS:
            raise PeerUnreachable("cannot connect") from error
        raise ReplyTimeout(f"answer lost: {error.message}") from error
    except (OSError, UnicodeError) as error:
        raise PeerUnreachable(str(error)) from error


def _use_new_connection(curl: pycurl.Curl) -> None:
    """Keep curl from repeating the request, which it does on a reused connection."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _decode(body: bytes) -> dict[str, Any]:
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise ReplyTimeout("answer is not JSON") from error
    if not isinstance(decoded, dict):
        raise ReplyTimeout("answer is not a JSON object")
    return decoded
