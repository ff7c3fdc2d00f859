"""Submits best-effort jobs to edge programs at a given rate, as the sites' callers do.

A caller closes its connection at its deadline. It submits the same job again some time
after a 504 or a broken connection, and takes 429 and 503 as final.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from enum import StrEnum

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from boragetide.types import Seconds

DEADLINE: Seconds = 1.55
RETRY_DELAY: Seconds = 1.3
MAX_ATTEMPTS = 4
STRETCH = 1.6
RESPONSE_MARGIN: Seconds = 0.06
LATE_FACTOR = 3.0
MS_PER_SECOND = 1000
REFUSALS = frozenset({429, 503})
NO_RESPONSE = 599
CPU_RANGE = (27_000, 32_000)  # thousandths of a core


@dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of ``count`` tasks of ``work`` seconds each; ``rate`` is jobs a second."""

    rate: float
    count: int
    work: Seconds

    @property
    def aim(self) -> Seconds:
        """Response time within which a job counts as served in time."""
        return STRETCH * self.work + RESPONSE_MARGIN


KINDS = (JobKind(103, 8, 0.06), JobKind(19, 4, 0.9), JobKind(300, 2, 0.2))
STARTS_PER_JOB = sum(kind.rate * kind.count for kind in KINDS) / sum(
    kind.rate for kind in KINDS
)


class Outcome(StrEnum):
    """What a caller got for its job."""

    IN_TIME = "in_time"
    LATE = "late"
    USELESS = "useless"  # succeeded, but later than `LATE_FACTOR` times the aim
    REFUSED = "refused"
    UNSERVED = "unserved"  # no success and no refusal after `MAX_ATTEMPTS`


@dataclass(slots=True)
class CallerJob:
    """One job and its answers.

    Parameters
    ----------
    submitted_at, ended_at
        Times on the monotonic clock, in seconds.
    statuses
        HTTP status of each attempt; `NO_RESPONSE` for a closed or broken connection.
    """

    id: str
    kind: JobKind
    submitted_at: Seconds
    statuses: list[int] = field(default_factory=list)
    ended_at: Seconds = 0.0

    @property
    def response(self) -> Seconds:
        """Seconds from the first submission to the final answer."""
        return self.ended_at - self.submitted_at

    @property
    def outcome(self) -> Outcome:
        """What the caller got."""
        last = self.statuses[-1] if self.statuses else NO_RESPONSE
        if last in REFUSALS:
            return Outcome.REFUSED
        if last != 200:
            return Outcome.UNSERVED
        if self.response <= self.kind.aim:
            return Outcome.IN_TIME
        return (
            Outcome.LATE
            if self.response <= LATE_FACTOR * self.kind.aim
            else Outcome.USELESS
        )

    @property
    def was_refused(self) -> bool:
        """Whether every answer was a refusal, so that no task may have run."""
        answers = {status for status in self.statuses if status != NO_RESPONSE}
        return bool(answers) and answers <= REFUSALS


@dataclass
class Callers:
    """Open-loop callers of the queue at several edge programs.

    Parameters
    ----------
    urls
        URL of the queue at each edge program.
    host
        Value of the ``Host`` header.
    max_lag
        Longest time by which a submission was later than planned, in seconds.
    """

    client: AsyncHTTPClient
    urls: list[str]
    host: str
    rng: random.Random
    jobs: list[CallerJob] = field(default_factory=list)
    max_lag: Seconds = 0.0
    _active: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, starts_per_second: float, seconds: Seconds) -> list[CallerJob]:
        """Submit jobs at a rate; return them without waiting for their answers."""
        begin = len(self.jobs)
        at = time.monotonic()
        end = at + seconds
        rate = starts_per_second / STARTS_PER_JOB
        while (at := at + self.rng.expovariate(rate)) < end:
            await asyncio.sleep(at - time.monotonic())
            self.max_lag = max(self.max_lag, time.monotonic() - at)
            self._submit(at)
        await asyncio.sleep(end - time.monotonic())
        return self.jobs[begin:]

    async def wait_until_answered(self, timeout: Seconds | None = None) -> None:
        """Wait until every job has its final answer, or until a timeout."""
        if self._active:
            await asyncio.wait(self._active, timeout=timeout)

    def _submit(self, at: Seconds) -> None:
        kind = self.rng.choices(KINDS, [kind.rate for kind in KINDS])[0]
        job = CallerJob(f"{self.rng.getrandbits(64):016x}", kind, at)
        self.jobs.append(job)
        body = _describe_job(kind, cpu=self.rng.randint(*CPU_RANGE))
        urls = self.rng.sample(self.urls, len(self.urls))
        task = asyncio.create_task(self._call_until_answered(job, body, urls))
        self._active.add(task)
        task.add_done_callback(self._active.discard)

    async def _call_until_answered(
        self, job: CallerJob, body: str, urls: list[str]
    ) -> None:
        for url in itertools.islice(itertools.cycle(urls), MAX_ATTEMPTS):
            if job.statuses:
                await asyncio.sleep(RETRY_DELAY)
            job.statuses.append(await self._call(f"{url}{job.id}", body))
            job.ended_at = time.monotonic()
            if job.statuses[-1] in (200, *REFUSALS):
                return

    async def _call(self, url: str, body: str) -> int:
        headers = {
            "Content-Type": "application/json",
            "Host": self.host,
            "X-Deadline-Ms": str(int(DEADLINE * MS_PER_SECOND)),
        }
        request = HTTPRequest(
            url, method="POST", headers=headers, body=body, request_timeout=DEADLINE
        )
        try:
            return (await self.client.fetch(request, raise_error=False)).code
        except (HTTPClientError, OSError):
            return NO_RESPONSE


def _describe_job(kind: JobKind, cpu: int) -> str:
    step = {
        "count": kind.count,
        "cpu": cpu,
        "mem_mb": 64,
        "estimate_ms": kind.work * MS_PER_SECOND,
    }
    return json.dumps({"spec": str(kind.work), "steps": [step], "best_effort": True})
