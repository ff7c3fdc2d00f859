"""One of twelve workers fails all that it starts, for 2.2 s at a time.

Some 600 small tasks run there. The processes that serve control must not end by
themselves because of that.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from harness import System, has_trouble, make_id, make_route, run_case

FOLDER = Path(__file__).resolve().parent
PREFIX = "/orders/"
TASK_SECONDS = 1.0
ROUNDS = 22
JOBS = 13  # of each round
TASKS = 50  # of each job
GAP = 0.04  # seconds between two jobs
WORKERS = 12
GREY_SECONDS = 2.2
PAUSE = 2.3  # seconds between two rounds
CAPACITY = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}
MAX_EXITS = 2  # three of one process are one too many


def make_job() -> dict[str, Any]:
    """Return the body of a job."""
    step = {"count": TASKS, "cpu": 95, "mem_mb": 8, "estimate_ms": 1000}
    return {"spec": str(TASK_SECONDS), "steps": [step]}


async def submit(system: System, number: int) -> None:
    """Submit a job and return what came of it."""
    job = make_id(number)
    await system.call_queue("POST", PREFIX + job, make_job(), edge=number % 2)


async def play_round(system: System, number: int) -> None:
    """Submit the jobs of a round while a worker fails all that it starts."""
    until = asyncio.get_running_loop().time() + GREY_SECONDS
    sent = []
    for position in range(JOBS):
        job = submit(system, number * JOBS + position)
        sent.append(asyncio.create_task(job))
        await asyncio.sleep(GAP)
        if position == 0:
            busiest = max(system.workers, key=lambda worker: len(worker.running))
            busiest.fails = has_trouble()
            grey = busiest.id if busiest.fails else None
            system.record.note("round", number=number, grey=grey)
    await asyncio.gather(*sent)
    await asyncio.sleep(until - asyncio.get_running_loop().time())
    busiest.fails = False
    await asyncio.sleep(PAUSE)


def list_failing(system: System) -> list[str]:
    """Return the control programs that have ended three times by themselves."""
    return [ip for ip in system.control_ips if system.find(ip).exits > MAX_EXITS]


async def case(system: System) -> list[str]:
    """Play the case and return how the rule was broken."""
    await system.start([make_route(PREFIX)])
    for number in range(WORKERS):
        await system.add_worker(f"i-{number:08x}", capacity=CAPACITY)
    await asyncio.sleep(4.0)
    for number in range(ROUNDS):
        await play_round(system, number)
        failing = list_failing(system)
        if len(failing) > len(system.control_ips) / 2:
            break
    exits = {ip: system.find(ip).exits for ip in system.control_ips}
    system.record.note("exits", by_ip=exits)
    if len(failing) <= len(system.control_ips) / 2:
        return []
    return [
        f"Fault: the process at {ip} ended {exits[ip]} times by itself: "
        f"{system.find_logged(ip, 'crashed')[-1][:160]}"
        for ip in failing
    ]


run_case(case, FOLDER)
