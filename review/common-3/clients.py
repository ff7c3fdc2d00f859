"""Stand-in of the platform's clients: jobs, cancellations and questions about them."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from deployment import HOST, Deployment, Record
from http_calls import NO_ANSWER, call

DEADLINE_MS = 1500
RETRY_PAUSE = 0.3  # seconds
ASK_AGAIN = {NO_ANSWER, 502, 504}


def make_job_id() -> str:
    """Return a job id of 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


class Client:
    """Calls the queue of one route, at the edges that are in rotation."""

    def __init__(
        self, deployment: Deployment, record: Record, prefix: str, name: str = "client"
    ):
        self.deployment, self.record = deployment, record
        self.prefix, self.name = prefix, name

    async def call(
        self, method: str, job_id: str, body: Any = None, timeout: float | None = None
    ) -> tuple[int, Any]:
        """Make one call at one edge, and wait as long as the header says."""
        address = self.deployment.choose_edge()
        timeout = DEADLINE_MS / 1000 if timeout is None else timeout
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout * 1000))}
        url = f"http://{address}{self.prefix}{job_id}"
        status, answer = await call(method, url, body, timeout, headers)
        text = "" if answer is None else f" {answer}"
        self.record.note(
            f"{self.name}: {method} {self.prefix}{job_id} at {address}"
            f" -> {status or 'no answer'}{text}"
        )
        return status, answer

    async def submit(self, job_id: str, body: Any, within: float = 20.0) -> int:
        """Submit a job; after no clear answer the same job is sent again."""
        until = time.monotonic() + within
        while True:
            status, _ = await self.call("POST", job_id, body)
            if status not in ASK_AGAIN or time.monotonic() > until:
                return status
            await asyncio.sleep(RETRY_PAUSE)

    async def find_state(self, job_id: str, within: float) -> tuple[int, str]:
        """Ask for a job until there is an answer of 200 or 410."""
        until = time.monotonic() + within
        while True:
            status, answer = await self.call("GET", job_id)
            if status in (200, 410) or time.monotonic() > until:
                state = answer.get("state", "") if isinstance(answer, dict) else ""
                return status, state
            await asyncio.sleep(RETRY_PAUSE)

    async def wait_for_end(self, job_id: str, within: float) -> str:
        """Return the state of a job, as soon as it has ended."""
        until = time.monotonic() + within
        while True:
            status, state = await self.find_state(job_id, 2.0)
            ended = state in ("succeeded", "failed", "cancelled") or status == 410
            if ended or time.monotonic() > until:
                return state or f"status {status}"
            await asyncio.sleep(RETRY_PAUSE)
