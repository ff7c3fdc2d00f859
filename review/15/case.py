"""A worker crashes for good under many small jobs, which start again one by one."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from case_runner import BROKEN, HELD, NOT_RUN, System, play  # noqa: E402
from clients import make_job_id  # noqa: E402
from workers import CPU  # noqa: E402

PREFIX = "/fit/"
JOBS = 200
TASK_CPU = 250
WORK_MS = 5000
FINISH_SECONDS = 14.0
WATCHED_SECONDS = 4.0
MAX_USED_SHARE = 0.5


def make_job() -> dict:
    """Return a job of one small task, whose estimate is right."""
    step = {"count": 1, "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": WORK_MS}
    return {"spec": json.dumps({"work_ms": WORK_MS}), "steps": [step]}


async def find_idle_jobs(system: System, job_ids: set[str]) -> tuple[set[str], float]:
    """Return the jobs that run nothing for a while, and the share in use meanwhile."""
    began, used = system.record.now(), 0.0
    while system.record.now() < began + WATCHED_SECONDS:
        running = sum(len(worker.running) for worker in system.workers)
        used = max(used, running * TASK_CPU / (CPU * len(system.workers)))
        await asyncio.sleep(0.05)
    active = {
        start.task.split(".")[0]
        for start in system.ledger.starts
        if start.ended_at is None or start.ended_at > began
    }
    done = {
        start.task.split(".")[0]
        for start in system.ledger.starts
        if start.how == "done"
    }
    return job_ids - active - done, used


async def run(system: System, trouble: bool) -> int:
    """Play the case and return the exit code."""
    record = system.record
    if not await system.start([{"name": "r-1", "path_prefix": PREFIX}]):
        return NOT_RUN
    client = system.make_client(PREFIX, "client")
    ids = [make_job_id() for _ in range(JOBS)]
    sent = [client.submit(job_id, make_job()) for job_id in ids]
    statuses = await asyncio.gather(*sent)
    accepted = {id_ for id_, each in zip(ids, statuses, strict=True) if each == 200}
    await asyncio.sleep(1.0)
    fullest = max(system.workers, key=lambda worker: len(worker.running))
    record.note(
        f"{len(accepted)} of {JOBS} jobs were accepted; {fullest.id} runs"
        f" {len(fullest.running)} of their tasks"
    )
    if not accepted:
        return NOT_RUN
    if trouble:
        record.note(f"trouble: worker {fullest.id} crashes and is lost for good")
        await fullest.crash()
    await asyncio.sleep(FINISH_SECONDS)
    idle, used = await find_idle_jobs(system, accepted)
    asked = [client.find_state(job_id, 10.0) for job_id in sorted(idle)]
    states = sorted({state for _, state in await asyncio.gather(*asked)})
    record.note(
        f"judge: {len(idle)} of {len(accepted)} accepted jobs have run nothing from"
        f" {FINISH_SECONDS:.0f} s after the traffic for {WATCHED_SECONDS:.0f} s more"
        f" and are not done, shown as {states}; {used:.1%} of the capacity is in use"
    )
    return BROKEN if idle and used < MAX_USED_SHARE else HELD


if __name__ == "__main__":
    play(HERE, run)
