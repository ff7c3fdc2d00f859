"""Submits the jobs of a trace to real daemons and measures each response."""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from benchmarks.trace import TracedJob
from boragetide.types import Seconds

CLIENT_CLASS = "tornado.curl_httpclient.CurlAsyncHTTPClient"
CLIENT_CONNECTIONS = 2000
REQUEST_TIMEOUT: Seconds = 120.0
TASK_TIMEOUT: Seconds = 60.0
PROBE_COUNT = 50


@dataclass(frozen=True, slots=True)
class MeasuredJob:
    """One answered job.

    Parameters
    ----------
    job
        The job of the trace.
    status
        Status in its answer, or ``http_CODE`` if the body has none.
    seconds
        Response time, measured by the client.
    """

    job: TracedJob
    status: str
    seconds: Seconds


def make_client(connections: int = CLIENT_CONNECTIONS) -> AsyncHTTPClient:
    """Return the HTTP client of the load generator."""
    AsyncHTTPClient.configure(CLIENT_CLASS, max_clients=connections)
    return AsyncHTTPClient()


async def run_trace(
    urls: list[str], jobs: Iterable[TracedJob], prefix: str, class_name: str = "default"
) -> list[MeasuredJob]:
    """Submit every job at its arrival time, to the daemons in turn.

    Parameters
    ----------
    urls
        Addresses of the daemons.
    jobs
        Jobs of the trace, in order of arrival.
    prefix
        Prefix of every job id, which names the home availability zone.
    """
    client = make_client()
    start = time.monotonic()
    calls = []
    for number, job in enumerate(jobs):
        await asyncio.sleep(start + job.at - time.monotonic())
        url = urls[number % len(urls)]
        body = _describe_job(f"{prefix}{number}", class_name, job)
        calls.append(asyncio.ensure_future(_submit(client, url, body, job)))
    return list(await asyncio.gather(*calls))


def _describe_job(job_id: str, class_name: str, job: TracedJob) -> dict[str, Any]:
    tasks = [
        {"payload": {"work": work}, "size": size, "timeout": TASK_TIMEOUT}
        for work, size in job.tasks
    ]
    return {"id": job_id, "class": class_name, "tasks": tasks}


async def _submit(
    client: AsyncHTTPClient, url: str, body: dict[str, Any], job: TracedJob
) -> MeasuredJob:
    start = time.monotonic()
    response = await client.fetch(
        HTTPRequest(
            f"{url}/v1/jobs",
            method="POST",
            body=json.dumps(body),
            request_timeout=REQUEST_TIMEOUT,
        ),
        raise_error=False,
    )
    seconds = time.monotonic() - start
    try:
        status = json.loads(response.body)["status"]
    except (KeyError, TypeError, ValueError):
        status = f"http_{response.code}"
    return MeasuredJob(job, status, seconds)


async def measure_round_trip(url: str) -> Seconds:
    """Return the median time of a health check of a daemon, in seconds."""
    client = make_client()
    times = []
    for _ in range(PROBE_COUNT):
        start = time.monotonic()
        await client.fetch(f"{url}/healthz")
        times.append(time.monotonic() - start)
    return statistics.median(times)
