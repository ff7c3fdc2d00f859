"""One client sends one job, many of whose steps wait for the same wide steps."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from case_runner import (  # noqa: E402
    NOT_RUN,
    System,
    judge_ordinary_jobs,
    play,
    send_ordinary_jobs,
)
from clients import make_job_id  # noqa: E402

PREFIX = "/fit/"
OTHER_PREFIX = "/open/"
WIDE_STEPS = 10
WIDTH = 900
LATER_STEPS = 990
WORK_MS = 50
TRAFFIC_SECONDS = 35.0


def make_large_job() -> bytes:
    """Return a job of some wide steps, and of many that wait for all of them."""
    task = {"cpu": 500, "mem_mb": 8, "estimate_ms": WORK_MS}
    wide = [{"count": WIDTH, **task}] * WIDE_STEPS
    later = {"count": 1, **task, "depends_on": list(range(WIDE_STEPS))}
    steps = [*wide, *[later] * LATER_STEPS]
    body = {"spec": json.dumps({"work_ms": WORK_MS}), "steps": steps}
    return json.dumps(body, separators=(",", ":")).encode()


async def run(system: System, trouble: bool) -> int:
    """Play the case and return the exit code."""
    record = system.record
    routes = [
        {"name": "r-1", "path_prefix": PREFIX},
        {"name": "r-2", "path_prefix": OTHER_PREFIX, "priority": 2},
    ]
    if not await system.start(routes):
        return NOT_RUN
    accepted: list[str] = []
    client = system.make_client(PREFIX, "ordinary client")
    until = record.now() + TRAFFIC_SECONDS
    traffic = asyncio.create_task(send_ordinary_jobs(client, accepted, until))
    await asyncio.sleep(5.0)
    before = len(accepted)
    if trouble:
        other = system.make_client(OTHER_PREFIX, "other client")
        body = make_large_job()
        record.note(f"trouble: one job of {len(body)} bytes")
        await other.submit(make_job_id(), body)
    await traffic
    return await judge_ordinary_jobs(system, client, accepted, before)


if __name__ == "__main__":
    play(HERE, run)
