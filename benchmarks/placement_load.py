"""Loads whose tasks do not fill the backend servers evenly, for the placement.

Two tasks of mean size fill a small backend server, and the needs vary by a fifth, so
that about every second pair does not fit.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from benchmarks.dispatch_loads import BEGIN, ESTIMATE_ERROR, GeneratedJob, JobKind
from boragetide.durable import DurableJob, Resources, Step
from boragetide.types import DurableStarts, Seconds

# Rates are relative to each other; the share of the capacity sets the absolute rate.
PLACEMENT_KINDS = (
    JobKind("check", 103.0, 8, 0.06, 0.0291),
    JobKind("order", 18.8, 4, 0.9, 0.16),
    JobKind("hold", 300.0, 2, 0.2, 0.01),
)
LONG_FACTOR = 7.0
NEEDS_DEVIATION = 0.2
MAX_NEEDS_FACTOR = 1.5
_MEAN_CORRECTION = -0.5 * NEEDS_DEVIATION**2  # the mean of the factor is 1


@dataclass(frozen=True, slots=True)
class PlacementLoad:
    """A load to replay on backend servers of several sizes.

    Parameters
    ----------
    cores
        Mean need of a task, in thousandths of a core.
    share
        Offered work as a share of cores times speed of all backend servers.
    server_cores, server_speeds
        Thousandths of a core and speeds, which the backend servers take in turn.
    long_share
        Share of the tasks that take `LONG_FACTOR` times as long as declared.
    burst
        Factor applied to all rates in the middle third of the load.
    burst_by_kind
        Further factors for single classes in the middle third.
    seconds
        Time during which jobs arrive.
    """

    name: str
    cores: int
    share: float
    server_cores: tuple[int, ...]
    server_speeds: tuple[float, ...]
    servers: int = 35
    long_share: float = 0.0
    burst: float = 1.0
    burst_by_kind: dict[str, float] = field(default_factory=dict)
    seconds: Seconds = 20.0
    kinds: tuple[JobKind, ...] = PLACEMENT_KINDS
    slow_share: float = 0.0
    slowdown: float = 1.0

    @property
    def capacity(self) -> float:
        """Work that all backend servers do per second, in core-seconds at speed 1."""
        count = len(self.server_cores)
        return sum(
            self.server_cores[number % count]
            * self.server_speeds[number % count]
            / 1000
            for number in range(self.servers)
        )

    @property
    def rate(self) -> float:
        """Factor applied to the rates of the classes."""
        mean_factor = 1 + self.long_share * (LONG_FACTOR - 1)
        work = sum(kind.rate * kind.width * kind.work for kind in self.kinds)
        return self.share * self.capacity / (work * mean_factor * self.cores / 1000)


def _make_loads(
    name: str,
    cores: int,
    server_cores: tuple[int, ...],
    server_speeds: tuple[float, ...],
    long_share: float,
) -> list[PlacementLoad]:
    def make(title: str, share: float, burst: float = 1.0) -> PlacementLoad:
        return PlacementLoad(
            f"{name}, {title}",
            cores,
            share,
            server_cores,
            server_speeds,
            long_share=long_share,
            burst=burst,
        )

    return [make("70%", 0.7), make("95%", 0.95), make("60%, burst of 2", 0.6, 2.0)]


PLACEMENT_LOADS = (
    *_make_loads("32 cores", 32_000, (64_000, 64_000, 96_000), (1.0, 1.0, 2.4), 0.0),
    *_make_loads("16 cores", 16_000, (32_000, 32_000, 48_000), (1.0, 1.0, 1.3), 0.03),
)


def generate_placement_jobs(load: PlacementLoad, seed: int) -> list[GeneratedJob]:
    """Generate the jobs of a load at random, in order of arrival."""
    rng = random.Random(seed)
    jobs: list[GeneratedJob] = []
    for kind in load.kinds:
        now = 0.0
        while now < load.seconds:
            in_burst = load.seconds / 3 < now < load.seconds * 2 / 3
            factor = load.burst * load.burst_by_kind.get(kind.name, 1.0)
            now += rng.expovariate(kind.rate * load.rate * (factor if in_burst else 1))
            jobs.append(_generate_job(kind, load, BEGIN + now, len(jobs), rng))
    return sorted(jobs, key=lambda generated: generated.job.submitted_at)


def generate_needs(cores: int, rng: random.Random) -> int:
    """Return the need of the tasks of a job, in thousandths of a core."""
    factor = rng.lognormvariate(_MEAN_CORRECTION, NEEDS_DEVIATION)
    return int(cores * min(factor, MAX_NEEDS_FACTOR))


def _generate_job(
    kind: JobKind, load: PlacementLoad, at: Seconds, number: int, rng: random.Random
) -> GeneratedJob:
    width = max(1, round(kind.width * rng.lognormvariate(-0.08, 0.4)))
    mean = kind.work * rng.lognormvariate(-0.08, 0.4)
    needs = Resources(generate_needs(load.cores, rng), 64)
    work = tuple(
        mean
        * rng.uniform(0.85, 1.15)
        * (LONG_FACTOR if rng.random() < load.long_share else 1.0)
        for _ in range(width)
    )
    declared = mean * rng.lognormvariate(0.0, ESTIMATE_ERROR)
    job = DurableJob(
        id=f"{kind.name}-{number}",
        class_name=kind.name,
        spec="",
        steps=(Step(width, needs, declared),),
        starts=DurableStarts("pool", attempts=4, stretch=1.6),
        submitted_at=at,
        response_time=0.06,
        best_effort=True,
    )
    return GeneratedJob(job, kind, work)
