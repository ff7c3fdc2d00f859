"""A worker fails a task of one of two equal steps that both have ``max_per_server``."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from case_runner import BROKEN, HELD, NOT_RUN, System, play  # noqa: E402
from clients import make_job_id  # noqa: E402
from workers import Ledger  # noqa: E402

PREFIX = "/fit/"
LIMIT = 1
WORK_MS = 5000


def make_job() -> dict:
    """Return a job of two equal steps that do not wait for each other."""
    step = {
        "count": 2,
        "cpu": 8000,
        "mem_mb": 64,
        "estimate_ms": WORK_MS,
        "max_per_server": LIMIT,
    }
    return {"spec": json.dumps({"work_ms": WORK_MS}), "steps": [step, dict(step)]}


def find_most_on_one_worker(ledger: Ledger, job_id: str) -> tuple[int, str]:
    """Return how many tasks of one step ran on one worker at a time, and where."""
    most, where = 0, ""
    for start in ledger.starts:
        if not start.task.startswith(job_id):
            continue
        step = start.task.split(".")[2]
        beside = {
            other.task
            for other in ledger.starts
            if other.task.startswith(f"{job_id}.0.{step}.")
            and (other.worker, other.life) == (start.worker, start.life)
            and other.began_at <= start.began_at
            and (other.ended_at is None or other.ended_at > start.began_at)
        }
        if len(beside) > most:
            most, where = len(beside), f"step {step} on {start.worker}"
    return most, where


async def run(system: System, trouble: bool) -> int:
    """Play the case and return the exit code."""
    record = system.record
    if not await system.start([{"name": "r-1", "path_prefix": PREFIX}]):
        return NOT_RUN
    client = system.make_client(PREFIX, "client")
    job_id = make_job_id()
    if await client.submit(job_id, make_job()) != 200:
        return NOT_RUN
    await asyncio.sleep(1.5)
    of_second_step = [
        start
        for start in system.ledger.starts
        if start.task.startswith(f"{job_id}.0.1.") and start.ended_at is None
    ]
    if len(of_second_step) != 2:
        return NOT_RUN
    if trouble:
        name, task = of_second_step[0].worker, of_second_step[0].task
        record.note(f"trouble: worker {name} fails {task}")
        next(each for each in system.workers if each.id == name).fail(task)
    state = await client.wait_for_end(job_id, 40.0)
    most, where = find_most_on_one_worker(system.ledger, job_id)
    record.note(f"judge: job {state}; at most {most} tasks of a step, {where}")
    if most > LIMIT:
        record.note("judge: a start beyond max_per_server")
        return BROKEN
    return HELD if state == "succeeded" else NOT_RUN


if __name__ == "__main__":
    play(HERE, run)
