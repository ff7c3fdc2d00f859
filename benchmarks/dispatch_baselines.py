"""Baselines and ideal policies for the replay of a load, on a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from benchmarks.dispatch_loads import BEGIN, ClassOutcome, GeneratedJob, Load
from benchmarks.virtual_servers import (
    Clock,
    VirtualServer,
    make_servers,
    schedule_slowdown,
)
from boragetide.policy.look_ahead import LOOK_AHEAD
from boragetide.policy.scheduling import LATE_LIMIT_FACTOR, due_at, latest_start
from boragetide.types import Seconds

SortKey = Callable[[GeneratedJob, Seconds], Any]


def by_arrival(generated: GeneratedJob, now: Seconds) -> Any:
    """Order jobs by arrival."""
    return generated.job.submitted_at


def by_declared_work(generated: GeneratedJob, now: Seconds) -> Any:
    """Order jobs by declared work."""
    (step,) = generated.job.steps
    return step.count * step.estimate


def by_priority(generated: GeneratedJob, now: Seconds) -> Any:
    """Order jobs by the worth of their class, then by arrival."""
    return -generated.kind.worth, generated.job.submitted_at


def by_true_deadline(generated: GeneratedJob, now: Seconds) -> Any:
    """Order jobs by their true latest start; jobs past it come last."""
    due = generated.job.submitted_at + 0.6 * max(generated.work) + 0.06
    return due < now, due


def by_true_worth(generated: GeneratedJob, now: Seconds) -> Any:
    """Order jobs by worth per core-second; jobs past their latest start come last."""
    due = generated.job.submitted_at + 0.6 * max(generated.work) + 0.06
    (step,) = generated.job.steps
    work = sum(generated.work) * step.needs.millicores
    return due < now, -generated.kind.worth * (0.3 + 0.7 * sum(generated.work)) / work


class BaselineRun:
    """Replay with one queue for all backend servers, without network delays.

    The next task starts on the fastest backend server with enough free cores. A job
    none of whose tasks has started is dropped once it would end too late to be of any
    use to its caller.

    Parameters
    ----------
    sort_key
        Returns the sort key of a queued job at a time; the lowest key is first.
    """

    def __init__(
        self, load: Load, jobs: list[GeneratedJob], seed: int, sort_key: SortKey
    ):
        self.load, self.sort_key = load, sort_key
        self.clock = Clock()
        self.servers = make_servers(load)
        schedule_slowdown(self.clock, self.servers, load, seed)
        self.jobs = jobs
        self.queued_by_id: dict[str, tuple[GeneratedJob, list[int]]] = {}
        self.remaining_by_id: dict[str, int] = {}
        self.ended_by_id: dict[str, Seconds] = {}
        for generated in jobs:
            self.clock.schedule(
                generated.job.submitted_at, lambda t=generated: self.submit(t)
            )

    def run(self) -> dict[str, ClassOutcome]:
        """Replay the load and return the outcomes by class."""
        self.clock.run(BEGIN + self.load.seconds + 10.0)
        outcomes = {kind.name: ClassOutcome() for kind in self.load.kinds}
        for generated in self.jobs:
            ended_at = self.ended_by_id.get(generated.job.id)
            outcomes[generated.kind.name].record(generated, ended_at)
        return outcomes

    def submit(self, generated: GeneratedJob) -> None:
        """Queue a job and start as many tasks as fit."""
        self.queued_by_id[generated.job.id] = (
            generated,
            list(range(len(generated.work))),
        )
        self.remaining_by_id[generated.job.id] = len(generated.work)
        self.place_jobs()

    def place_jobs(self) -> None:
        """Start as many queued tasks as fit on the backend servers."""
        now = self.clock.now
        candidates = [
            m for m in self.servers if m.free_millicores >= self.load.millicores * 0.6
        ]
        if not candidates:
            return
        candidates.sort(key=lambda server: (-server.speed, server.free_millicores))
        ordered = sorted(
            self.queued_by_id.values(), key=lambda each: self.sort_key(each[0], now)
        )
        for generated, tasks in ordered[:LOOK_AHEAD]:
            due = due_at(generated.job) - generated.job.submitted_at
            if now > latest_start(generated.job) + (LATE_LIMIT_FACTOR - 1) * due:
                if len(tasks) == len(generated.work):
                    del self.queued_by_id[generated.job.id]
                continue
            self.place_job(generated, tasks, candidates)

    def place_job(
        self, generated: GeneratedJob, tasks: list[int], candidates: list[VirtualServer]
    ) -> None:
        """Start the tasks of one job that fit; remove the job once all have started."""
        millicores = generated.job.steps[0].needs.millicores
        for task in list(tasks):
            server = next(
                (each for each in candidates if each.free_millicores >= millicores),
                None,
            )
            if server is None:
                return
            server.free_millicores -= millicores
            tasks.remove(task)
            seconds = generated.work[task] / server.speed
            self.clock.schedule(
                self.clock.now + seconds,
                lambda m=server: self.end_task(generated, m, millicores),
            )
        self.queued_by_id.pop(generated.job.id, None)

    def end_task(
        self, generated: GeneratedJob, server: VirtualServer, millicores: int
    ) -> None:
        """End one task, free its cores and start queued tasks."""
        server.free_millicores += millicores
        self.remaining_by_id[generated.job.id] -= 1
        if not self.remaining_by_id[generated.job.id]:
            self.ended_by_id[generated.job.id] = self.clock.now
        self.place_jobs()


BASELINES: dict[str, SortKey] = {
    "first come": by_arrival,
    "shortest first": by_declared_work,
    "strict priority": by_priority,
    "ideal by deadline": by_true_deadline,
    "ideal by worth": by_true_worth,
}
