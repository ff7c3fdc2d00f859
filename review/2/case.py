"""With several groups, the loss of one worker strands the jobs that need its rack."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins import System, is_troubled, make_job_id, run_case

RACKS = 2
RACK_SIZE = 8  # one worker that is lost is a sixteenth of all
RACK = "r1-0"
JOBS = 60
TASK_MS = 200
FINISH_S = 14
IDLE_S = 4.0


async def play(system: System) -> str:
    """Lose one worker for good, and submit jobs that need its rack."""
    await system.start()
    for number in range(RACKS * RACK_SIZE):
        system.add_worker(number, ("a", f"r1-{number // RACK_SIZE}"), 9000)
    await asyncio.sleep(6.0)
    if is_troubled():
        # Of the eight workers of a rack, two groups have one each.
        await system.workers["i-00000003"].crash()
        await asyncio.sleep(6.0)
    step = {"count": 1, "cpu": 27_000, "mem_mb": 64, "estimate_ms": TASK_MS}
    body = {"spec": str(TASK_MS), "steps": [{**step, "required_label": RACK}]}
    accepted = []
    for _ in range(JOBS):
        job_id = make_job_id()
        if await system.submit(job_id, body):
            accepted.append(job_id)
    await asyncio.sleep(FINISH_S)
    begun = {start.task.partition(".")[0] for start in system.starts}
    waiting = [job_id for job_id in accepted if job_id not in begun]
    system.record.write(f"{len(waiting)} of {len(accepted)} jobs have not begun")
    until = system.record.now() + IDLE_S
    while system.record.now() < until:
        if any(worker.runs for worker in system.workers.values()):
            return ""
        await asyncio.sleep(0.1)
    states = [await system.fetch_state(job_id) for job_id in waiting]
    if "queued" in states:
        return (
            f"LOST: {states.count('queued')} of {len(accepted)} accepted jobs have not "
            f"begun {FINISH_S} s after the last request; seven workers of the rack "
            f"ran nothing for {IDLE_S} s"
        )
    return ""


run_case(Path(__file__).parent, play, tolerated=2)
