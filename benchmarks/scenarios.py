"""Benchmark scenarios: load, job sizes and faults."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from benchmarks.trace import (
    SPEEDS,
    TracedJob,
    TracedServer,
    generate_for,
    list_servers,
)
from boragetide.types import Seconds

SMALL_JOBS = (1, 16)
LARGE_JOBS = (4, 256)
SHORT: Seconds = 15.0
LONG: Seconds = 60.0
BURST_PERIOD: Seconds = 5.0
STRAGGLER = "s6"
STRAGGLER_INDEX = 5
STRAGGLER_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One measurement.

    Parameters
    ----------
    load
        Offered work as a share of the capacity of all slots.
    tasks
        Lowest and highest number of tasks of a job.
    duration
        Length of the measurement, in seconds.
    burst
        Whether the jobs of each `BURST_PERIOD` arrive together at its start.
    faults_by_server
        Options of backend servers that are set after the warm-up, by server id.
    servers
        Backend servers in service, for the ideal response time.
    """

    name: str
    load: float
    tasks: tuple[int, int]
    duration: Seconds
    burst: bool = False
    faults_by_server: dict[str, dict[str, Any]] = field(default_factory=dict)
    servers: tuple[TracedServer, ...] = field(default_factory=list_servers)

    def make_jobs(self, seed: int) -> tuple[TracedJob, ...]:
        """Generate the jobs of the scenario, in order of arrival."""
        trace = generate_for(self.duration, seed=seed, load=self.load, tasks=self.tasks)
        if not self.burst:
            return trace.jobs
        return tuple(
            replace(job, at=job.at // BURST_PERIOD * BURST_PERIOD) for job in trace.jobs
        )


def list_scenarios(*, full: bool, duration: Seconds | None = None) -> list[Scenario]:
    """Return the scenarios of the short or of the full form."""
    duration = duration or (LONG if full else SHORT)
    scenarios = [
        Scenario("load 70%, jobs of 1 to 16", 0.7, SMALL_JOBS, duration),
        Scenario("load 95%, jobs of 1 to 16", 0.95, SMALL_JOBS, duration),
    ]
    if not full:
        return scenarios
    speed = SPEEDS[STRAGGLER_INDEX] / STRAGGLER_FACTOR
    straggler = {STRAGGLER: {"speed": speed}}
    return [
        Scenario("light load, jobs of 1 to 16", 0.1, SMALL_JOBS, duration),
        *scenarios,
        Scenario("load 70%, jobs of 4 to 256", 0.7, LARGE_JOBS, duration),
        Scenario("load 95%, jobs of 4 to 256", 0.95, LARGE_JOBS, duration),
        Scenario(
            "burst at 70%, jobs of 1 to 16", 0.7, SMALL_JOBS, duration, burst=True
        ),
        Scenario("overload 200%, jobs of 1 to 16", 2.0, SMALL_JOBS, duration),
        Scenario(
            "4x straggler at 70%, jobs of 1 to 16",
            0.7,
            SMALL_JOBS,
            duration,
            faults_by_server=straggler,
        ),
        Scenario(
            "a server that fails everything at 70%",
            0.7,
            SMALL_JOBS,
            duration,
            faults_by_server={STRAGGLER: {"fail_all": True}},
            servers=tuple(s for s in list_servers() if s.id != STRAGGLER),
        ),
    ]
