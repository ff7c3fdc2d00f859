"""What the cases share: a small deployment in service, and the end of a case."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from clients import Client, make_job_id
from deployment import Deployment, Record, find_free_port, make_configuration
from workers import CPU, Ledger, Worker

BROKEN, HELD, NOT_RUN = 1, 0, 2
WORKERS = 24
WORKERS_PER_RACK = 8
ZONES = ("rec", "ssa", "for")
SETTLING_SECONDS = 5.0
TIME_LIMIT_SECONDS = 115.0

ORDINARY_INTERVAL = 0.25  # seconds
FINISH_SECONDS = 14.0  # `finish_s`
ASK_SECONDS = 10.0
IDLE_SECONDS = 3.5
MAX_USED_SHARE = 0.5
ORDINARY_CPU = 2000
ORDINARY_TASKS = range(2)


@dataclass
class System:
    """A small deployment with its workers."""

    record: Record
    deployment: Deployment = field(init=False)
    ledger: Ledger = field(init=False)
    workers: list[Worker] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.deployment = Deployment(self.record)
        self.ledger = Ledger(self.record)

    async def start(self, routes: list[dict[str, Any]]) -> bool:
        """Start everything; return whether all edges are in rotation."""
        await self.deployment.start()
        if not await self.deployment.publish(make_configuration(1, routes)):
            return False
        ip = self.deployment.worker_ip
        for number in range(WORKERS):
            worker = Worker(
                f"i-{number:02}",
                (ip, find_free_port([ip])),
                self.deployment.control_addresses,
                self.ledger,
                zone=ZONES[number % len(ZONES)],
                labels=("a", f"r1-{number // WORKERS_PER_RACK + 1}"),
            )
            self.workers.append(worker)
            await worker.start()
        if not await self.deployment.wait_until_ready():
            return False
        await asyncio.sleep(SETTLING_SECONDS)
        return True

    def make_client(self, prefix: str, name: str) -> Client:
        """Return a client of one queue."""
        return Client(self.deployment, self.record, prefix, name)

    async def close(self) -> None:
        """End all workers and processes."""
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        await self.deployment.close()


def make_ordinary_job() -> dict[str, Any]:
    """Return a small job."""
    step = {
        "count": len(ORDINARY_TASKS),
        "cpu": ORDINARY_CPU,
        "mem_mb": 64,
        "estimate_ms": 100,
    }
    return {"spec": json.dumps({"work_ms": 100}), "steps": [step]}


async def send_ordinary_jobs(client: Client, accepted: list[str], until: float) -> None:
    """Submit small jobs at a steady rate and note the accepted ones."""
    pending = set()

    async def submit() -> None:
        job_id = make_job_id()
        if await client.submit(job_id, make_ordinary_job(), within=6.0) == 200:
            accepted.append(job_id)

    while client.record.now() < until:
        task = asyncio.create_task(submit())
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(ORDINARY_INTERVAL * random.uniform(0.8, 1.2))
    await asyncio.gather(*pending)


async def judge_ordinary_jobs(
    system: System, client: Client, accepted: list[str], before: int
) -> int:
    """Ask for the accepted jobs after the traffic, and return the exit code.

    Parameters
    ----------
    before
        Number of jobs that were accepted before the trouble.
    """
    record = system.record
    record.note(f"judge: {before} jobs accepted before, {len(accepted)} in all")
    await asyncio.sleep(FINISH_SECONDS)
    asked = [client.find_state(job_id, ASK_SECONDS) for job_id in accepted]
    answers = await asyncio.gather(*asked)
    unanswered = sum(status != 200 for status, _ in answers)
    unfinished = {
        job_id
        for job_id, (status, state) in zip(accepted, answers, strict=True)
        if status == 200 and state != "succeeded"
    }
    idle, used = await find_idle_jobs(system, unfinished)
    programs = system.deployment.programs
    for each in programs:
        if each.over_memory:
            record.note(
                f"judge: {each.role} {each.ip} used {each.peak_mb:.0f} MB at most, and"
                f" was over its {each.memory_mb} MB {each.over_memory} times"
            )
    own_ends = sum(each.ended_by_itself for each in programs)
    record.note(
        f"judge: of {len(accepted)} accepted jobs {unanswered} get no answer,"
        f" {len(unfinished)} are not done; {len(idle)} of these have a task to start"
        f" and run nothing for {IDLE_SECONDS} s, while {used:.0%} of the capacity is in"
        f" use; {len(system.ledger.starts)} starts;"
        f" {own_ends} processes ended by themselves"
    )
    if not before:
        return NOT_RUN
    if unanswered or (idle and used < MAX_USED_SHARE):
        return BROKEN
    return NOT_RUN if unfinished else HELD


async def find_idle_jobs(system: System, job_ids: set[str]) -> tuple[set[str], float]:
    """Return the jobs that run nothing for a while though a task is to be started.

    The second result is the largest share of the capacity that is in use meanwhile, if
    each task took as much as one of an ordinary job.
    """
    if not job_ids:
        return set(), 0.0
    began = system.record.now()
    used = 0.0
    while system.record.now() < began + IDLE_SECONDS:
        running = sum(len(worker.running) for worker in system.workers)
        used = max(used, running * ORDINARY_CPU / (CPU * len(system.workers)))
        await asyncio.sleep(0.05)
    starts = system.ledger.starts
    active = {
        start.task.split(".")[0]
        for start in starts
        if start.ended_at is None or start.ended_at > began
    }
    done = {start.task for start in starts if start.how == "done"}
    tasks = {f"{job_id}.0.0.{index}" for job_id in job_ids for index in ORDINARY_TASKS}
    waiting = {task.split(".")[0] for task in tasks - done}
    return waiting - active, used


def play(folder: Path, run: Callable[[System, bool], Awaitable[int]]) -> None:
    """Run a case, write its record into its folder, and exit with its result."""
    record = Record(folder / "record.txt")
    code = NOT_RUN
    try:
        code = asyncio.run(_play(record, run))
    finally:
        record.note(f"exit {code}")
        record.close()
    sys.exit(code)


async def _play(record: Record, run: Callable[[System, bool], Awaitable[int]]) -> int:
    system = System(record)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(TIME_LIMIT_SECONDS):
            return await run(system, os.environ.get("TROUBLE") != "0")
    except (TimeoutError, asyncio.CancelledError) as error:
        record.note(f"ended early: {error!r}")
        return NOT_RUN
    finally:
        await system.close()
