"""Two of fifteen workers crash at the same moment; a task runs on one of them.

The task has crashed one worker at the most, and no run of it has ended ``failed``, so
its job must not be shown as failed.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from harness import (
    CannotRun,
    System,
    Worker,
    has_trouble,
    list_starts,
    make_id,
    make_route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
PREFIX = "/orders/"
TASK_SECONDS = 3.0
LONG_SECONDS = 30.0
WORKERS = 15
DOWN = 4.5  # seconds
CAPACITY = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}


def make_job(count: int, seconds: float, cpu: int) -> dict[str, Any]:
    """Return the body of a job."""
    estimate = int(seconds * 1000)
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate}
    return {"spec": str(seconds), "steps": [step]}


async def submit(system: System, number: int, body: dict[str, Any]) -> str:
    """Submit a job that has to be accepted; return its id."""
    job = make_id(number)
    status, _ = await system.call_queue("POST", PREFIX + job, body)
    if status != 200:
        raise CannotRun(f"a job was answered with {status}")
    return job


async def read_state(system: System, job: str) -> str:
    """Return the state of a job, or an empty string without an answer."""
    status, answer = await system.call_queue("GET", PREFIX + job, note=False)
    return answer["state"] if status == 200 else ""


def find_runner(system: System, job: str) -> Worker:
    """Return the worker that runs the only task of a job."""
    for worker in system.workers:
        if any(task.startswith(job) for task in worker.running):
            return worker
    raise CannotRun("the task is not running")


async def crash_for_a_while(system: System, job: str) -> None:
    """Crash the worker of a job and an idle one, and let both come back."""
    runner = find_runner(system, job)
    idle = next(worker for worker in system.workers if not worker.running)
    for worker in (runner, idle):
        worker.crash()
    await asyncio.sleep(DOWN)
    for worker in (runner, idle):
        await worker.start()


async def case(system: System) -> list[str]:
    """Play the case and return how the rule was broken."""
    await system.start([make_route(PREFIX)])
    for number in range(WORKERS):
        await system.add_worker(f"i-{number:08x}", capacity=CAPACITY)
    await asyncio.sleep(4.0)
    # Each task takes a worker of its own; one worker stays idle.
    await submit(system, 1, make_job(WORKERS - 2, LONG_SECONDS, 40_000))
    job = await submit(system, 2, make_job(1, TASK_SECONDS, 40_000))
    await asyncio.sleep(1.0)
    if has_trouble():
        await crash_for_a_while(system, job)
    state = ""
    for _ in range(60):
        state = await read_state(system, job)
        if state in ("succeeded", "failed", "cancelled"):
            break
        await asyncio.sleep(0.5)
    system.record.note("ended", job=job, state=state)
    starts = list_starts(system.workers).get(f"{job}.0.0.0", [])
    ends = [
        over.how
        for worker in system.workers
        for over in worker.runs
        if over.task.startswith(job)
    ]
    if state == "succeeded":
        return []
    return [
        f"LOST: job {job} is shown as {state!r}; its task was started {len(starts)} "
        f"times, its runs ended {ends}"
    ]


run_case(case, FOLDER)
