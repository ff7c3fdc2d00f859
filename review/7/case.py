"""An edge is killed and started again while callers wait for best-effort jobs.

The replies to requests of the killed process must not answer requests of the next one.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

from harness import System, has_trouble, make_id, make_route, run_case, wait_for

FOLDER = Path(__file__).resolve().parent
PREFIX = "/orders/"
TASK_SECONDS = 4.0
JOBS = 60  # in each half
BATCH = 4  # mean number of jobs that are sent at the same moment
GAP = 0.06  # mean time between two batches, in seconds
DEADLINE = 9.0  # seconds for which a client waits
CAPACITY = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}


def make_job() -> dict[str, Any]:
    """Return the body of a job."""
    step = {"count": 1, "cpu": 4000, "mem_mb": 64, "estimate_ms": 4000}
    return {"spec": str(TASK_SECONDS), "steps": [step], "best_effort": True}


async def submit(system: System, number: int) -> tuple[str, int, Any, float]:
    """Submit a job and return what came of it."""
    job = make_id(number)
    path = PREFIX + job
    status, answer = await system.call_queue(
        "POST", path, make_job(), deadline=DEADLINE
    )
    return job, status, answer, system.record.note("returned", job=job)


async def send_jobs(system: System, first: int) -> list[asyncio.Task]:
    """Submit jobs in small batches."""
    tasks = []
    for number in range(first, first + JOBS):
        tasks.append(asyncio.create_task(submit(system, number)))
        if random.random() < 1 / BATCH:
            await asyncio.sleep(random.uniform(0.5, 1.5) * GAP)
    return tasks


async def case(system: System) -> list[str]:
    """Play the case and return how the rule was broken."""
    await system.start([make_route(PREFIX, timeout_ms=9000)])
    for number in range(6):
        await system.add_worker(f"i-{number:08x}", capacity=CAPACITY)
    await asyncio.sleep(4.0)
    sent = await send_jobs(system, 1)
    if has_trouble():
        edge = system.find(system.edge_ips[0])
        system.record.note("edge_killed", ip=edge.ip)
        edge.kill()
        await asyncio.sleep(0.6)
    await wait_for(lambda: system.is_ready(system.edge_ips[0]), "the edge", 10.0)
    sent += await send_jobs(system, 1 + JOBS)
    answers = await asyncio.gather(*sent)
    return [
        f"MIXED: job {job} was answered with {answer} at {at:.3f} s; "
        f"its runs: {list_runs(system, job)}"
        for job, status, answer, at in answers
        if status == 200 and not has_succeeded(system, job, at)
    ]


def list_runs(system: System, job: str) -> list[Any]:
    """Return the runs of a job that are over."""
    return [
        (f"{over.began:.3f}", f"{over.ended:.3f}", over.how)
        for worker in system.workers
        for over in worker.runs
        if over.task.startswith(job)
    ]


def has_succeeded(system: System, job: str, at: float) -> bool:
    """Return whether the only task of a job had ended as done by then."""
    return any(
        over.task.startswith(job) and over.how == "done" and over.ended <= at
        for worker in system.workers
        for over in worker.runs
    )


run_case(case, FOLDER, edges=2)
