"""Time per placement for pools and queues of several sizes.

Run ``python -m benchmarks.placements``. Each report of an ended task frees a slot, in
which the controller places the next task; new jobs keep the queue at a fixed length.
"""

from __future__ import annotations

import heapq
import random
import time
from dataclasses import dataclass, field, replace
from typing import Any

from benchmarks.trace import SLOTS, SPEEDS
from boragetide.controllers import backend_servers
from boragetide.effects import StartTasks
from boragetide.messages import (
    AnnounceBackendServer,
    ConfigurationChanged,
    QueueTasks,
    TaskReport,
    Tick,
)
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.tests.pool_fixtures import NOW, describe_server, make_placer
from boragetide.types import (
    ClassTarget,
    Configuration,
    Task,
    TaskOutcome,
    TaskStatus,
)

REPORT_COUNT = 4000
TICK_INTERVAL = 0.1  # seconds


@dataclass
class Pool:
    """The controller of a pool under a steady load.

    Parameters
    ----------
    now
        Time of the virtual clock, in seconds.
    running
        Heap of (time of the end, number of the task, report of the end).
    placed_tasks, queued_jobs
        Numbers of placed tasks and of queued jobs so far.
    """

    state: backend_servers.BackendServersState
    rng: random.Random
    now: float = NOW
    running: list[tuple[float, int, TaskReport]] = field(default_factory=list)
    placed_tasks: int = 0
    queued_jobs: int = 0

    def deliver(self, message: Any) -> float:
        """Apply a message and return the time that this took, in seconds."""
        start_time = time.perf_counter()
        effects = backend_servers.handle(message, self.state, self.now)
        elapsed = time.perf_counter() - start_time
        for effect in effects:
            if not isinstance(effect, StartTasks):
                continue
            speed = SPEEDS[int(effect.server.removeprefix("s")) % len(SPEEDS)]
            for start in effect.tasks:
                self.placed_tasks += 1
                seconds = self.rng.lognormvariate(-1.5, 0.75) / speed
                outcome = TaskOutcome(TaskStatus.DONE)
                report = TaskReport(
                    effect.server, effect.lease, start.id, outcome, seconds
                )
                entry = (self.now + seconds, self.placed_tasks, report)
                heapq.heappush(self.running, entry)
        return elapsed

    def queue_job(self) -> float:
        """Queue a job of 1 to 16 tasks and return the time that this took."""
        self.queued_jobs += 1
        tasks = tuple(
            Task(None, self.rng.lognormvariate(-1.5, 1.0))
            for _ in range(self.rng.randint(1, 16))
        )
        return self.deliver(QueueTasks(f"j{self.queued_jobs}", "default", tasks, False))

    def end_next(self) -> float:
        """Report the end of the task that ends next; return the time that this took."""
        self.now, _, report = heapq.heappop(self.running)
        return self.deliver(report)


def make_pool(servers: int) -> Pool:
    """Return a pool that admits every job: its target and limit are never reached."""
    settings = parse_settings(EMBEDDED_DEFAULT)
    limits = replace(settings.limits, queued_tasks=10**7)
    settings = replace(settings, limits=limits)
    rng = random.Random(1)
    pool = Pool(make_placer(settings, rng), rng)
    targets = {"default": ClassTarget("default", 1e6)}
    pool.deliver(ConfigurationChanged(Configuration(1, targets)))
    announce_all(pool, servers)
    return pool


def announce_all(pool: Pool, servers: int) -> None:
    """Announce the servers of the pool, or renew their leases."""
    for number in range(servers):
        server = describe_server(f"s{number}", slots=SLOTS, cores=64.0, memory=1 << 37)
        pool.deliver(AnnounceBackendServer(server))


def measure(servers: int, jobs: int) -> str:
    """Return a line with the mean times of a pool at a queue length of ``jobs``."""
    pool = make_pool(servers)
    reports, queueing, ticks = [], [], []
    next_tick = pool.now
    while len(reports) < 2 * REPORT_COUNT:
        while _count_jobs(pool) < jobs:
            queueing.append(pool.queue_job())
        reports.append(pool.end_next())
        if pool.now >= next_tick:
            next_tick = pool.now + TICK_INTERVAL
            ticks.append(pool.deliver(Tick()))
            announce_all(pool, servers)
    steady = reports[REPORT_COUNT:]
    return (
        f"servers={servers} queued_jobs={jobs} "
        f"report_us={1e6 * sum(steady) / len(steady):.0f} "
        f"queue_job_us={1e6 * sum(queueing[-200:]) / len(queueing[-200:]):.0f} "
        f"tick_ms={1e3 * sum(ticks) / max(len(ticks), 1):.2f}"
    )


def _count_jobs(pool: Pool) -> int:
    queue = pool.state.queues_by_class.get("default")
    return sum(map(len, queue.jobs_by_team.values())) if queue else 0


def main() -> None:
    """Print one line per pool size and queue length."""
    for servers in (8, 800):
        for jobs in (10, 10_000):
            print(measure(servers, jobs))


if __name__ == "__main__":
    main()
