"""One of eight workers crashes while some 200 small jobs run on it.

Their tasks have to start again on the seven workers that are left and have room.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from harness import BOUNDS, System, has_trouble, make_id, make_route, run_case

FOLDER = Path(__file__).resolve().parent
PREFIX = "/orders/"
TASK_SECONDS = 5.0
JOBS = 200
GAP = 0.003  # seconds between two jobs
CPU = 250  # thousandths of a core of each task
WORKERS = 8
CAPACITY = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}
IDLE_SECONDS = 3.0  # bound of the rule
WATCHED = 40.0  # seconds for which the jobs are watched after `finish_s`


def make_job() -> dict[str, Any]:
    """Return the body of a job."""
    step = {"count": 1, "cpu": CPU, "mem_mb": 8, "estimate_ms": 5000}
    return {"spec": str(TASK_SECONDS), "steps": [step]}


async def submit(system: System, number: int) -> tuple[str, int]:
    """Submit a job and return what came of it."""
    job = make_id(number)
    path = PREFIX + job
    status, _ = await system.call_queue("POST", path, make_job(), edge=number % 2)
    return job, status


async def read_state(system: System, job: str) -> Any:
    """Return the answer to a question for the state of a job."""
    _, answer = await system.call_queue("GET", PREFIX + job, deadline=2.0)
    return answer


async def case(system: System) -> list[str]:
    """Play the case and return how the rule was broken."""
    await system.start([make_route(PREFIX)])
    for number in range(WORKERS):
        await system.add_worker(f"i-{number:08x}", capacity=CAPACITY)
    await asyncio.sleep(4.0)
    sent = []
    for number in range(JOBS):
        sent.append(asyncio.create_task(submit(system, number)))
        await asyncio.sleep(GAP)
    if has_trouble():
        busiest = max(system.workers, key=lambda worker: len(worker.running))
        busiest.crash()
    answers = await asyncio.gather(*sent)
    accepted = [job for job, status in answers if status == 200]
    system.record.note("accepted", jobs=len(accepted))
    await asyncio.sleep(BOUNDS["finish_s"])
    began = system.record.note("watched_from")
    idle_since = dict.fromkeys(accepted, began)
    longest = dict.fromkeys(accepted, 0.0)
    while (now := system.record.note("watched")) < began + WATCHED:
        done = {
            over.task.partition(".")[0]
            for worker in system.workers
            for over in worker.runs
            if over.how == "done"
        }
        running = {
            task.partition(".")[0]
            for worker in system.workers
            for task in worker.running
        }
        used = CPU * sum(len(worker.running) for worker in system.workers)
        is_busy = used > (WORKERS - 1) * CAPACITY["cpu"] / 2
        for job in accepted:
            if job in running or job in done or is_busy:
                idle_since[job] = now
            longest[job] = max(longest[job], now - idle_since[job])
        await asyncio.sleep(0.1)
    idle = [job for job in accepted if longest[job] > IDLE_SECONDS]
    states = await asyncio.gather(*(read_state(system, job) for job in idle))
    return [
        f"LOST: job {job} was accepted and is shown as {state}; for "
        f"{longest[job]:.1f} s nothing of it ran"
        for job, state in zip(idle, states, strict=True)
    ]


run_case(case, FOLDER)
