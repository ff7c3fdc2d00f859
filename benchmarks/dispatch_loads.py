"""Loads of jobs for the dispatcher, generated at random, and their outcomes."""

from __future__ import annotations

import random
from dataclasses import dataclass

from boragetide.durable import DurableJob, Resources, Step
from boragetide.policy.scheduling import LATE_LIMIT_FACTOR
from boragetide.types import DurableStarts, Seconds

BEGIN: Seconds = 1_000_000.0
ESTIMATE_ERROR = 0.4  # standard deviation of the logarithm
LATE_WORTH_SHARE = 0.2  # share of its worth that a late job earns


@dataclass(frozen=True, slots=True)
class JobKind:
    """A class of jobs, as the sites submit it.

    Parameters
    ----------
    rate
        Jobs per second.
    width
        Typical number of tasks of a job.
    work
        Typical work of a task, in seconds at speed 1.
    worth
        Worth of a job of typical work that is served in time.
    """

    name: str
    rate: float
    width: int
    work: Seconds
    worth: float


KINDS = (
    JobKind("check", 34.0, 8, 0.06, 0.0291),
    JobKind("order", 6.25, 4, 0.9, 0.16),
    JobKind("hold", 100.0, 2, 0.2, 0.01),
)


@dataclass(frozen=True, slots=True)
class Load:
    """A load to replay.

    Parameters
    ----------
    cores
        Typical need of a task, in thousandths of a core.
    rate
        Factor applied to the rates of `KINDS`.
    burst
        Additional factor applied to the rates in the middle third of the load.
    slow_share, slowdown
        Share of the backend servers that are slower in the middle third, and the
        factor by which they are slower.
    seconds
        Time during which jobs arrive.
    """

    name: str
    servers: int = 24
    cores: int = 27_000
    rate: float = 0.45
    burst: float = 1.0
    slow_share: float = 0.0
    slowdown: float = 6.0
    seconds: Seconds = 20.0


LOADS = (
    Load("calm"),
    Load("burst of 1.8", burst=1.8),
    Load("overload of 3", burst=3.0),
    Load("slow backend servers", slow_share=0.17),
    Load("grown", servers=176, cores=32_000, rate=3.0),
    Load("grown, burst of 1.5", servers=176, cores=32_000, rate=3.0, burst=1.5),
)


@dataclass(frozen=True, slots=True)
class GeneratedJob:
    """A generated job with the true work of each task, in seconds at speed 1."""

    job: DurableJob
    kind: JobKind
    work: tuple[Seconds, ...]

    @property
    def due_at(self) -> Seconds:
        """Time until which the job counts as served in time, from its true work."""
        allowed = self.job.starts.stretch * max(self.work) + self.job.response_time
        return self.job.submitted_at + allowed


def generate(load: Load, seed: int) -> list[GeneratedJob]:
    """Generate the jobs of a load at random, in order of arrival."""
    rng = random.Random(seed)
    jobs: list[GeneratedJob] = []
    for kind in KINDS:
        now = 0.0
        while now < load.seconds:
            in_burst = load.seconds / 3 < now < load.seconds * 2 / 3
            rate = kind.rate * load.rate * (load.burst if in_burst else 1.0)
            now += rng.expovariate(rate)
            jobs.append(_generate_job(kind, load, BEGIN + now, len(jobs), rng))
    return sorted(jobs, key=lambda generated: generated.job.submitted_at)


def _generate_job(
    kind: JobKind, load: Load, at: Seconds, number: int, rng: random.Random
) -> GeneratedJob:
    width = max(1, round(kind.width * rng.lognormvariate(-0.08, 0.4)))
    mean = kind.work * rng.lognormvariate(-0.08, 0.4)
    cores = min(int(load.cores * rng.lognormvariate(-0.02, 0.2)), int(load.cores * 1.5))
    work = tuple(mean * rng.uniform(0.85, 1.15) for _ in range(width))
    declared = mean * rng.lognormvariate(0.0, ESTIMATE_ERROR)
    job = DurableJob(
        id=f"{kind.name}-{number}",
        class_name=kind.name,
        spec="",
        steps=(Step(width, Resources(cores, 64), declared),),
        starts=DurableStarts("pool", attempts=4, stretch=1.6),
        submitted_at=at,
        response_time=0.06,
        best_effort=True,
    )
    return GeneratedJob(job, kind, work)


@dataclass
class ClassOutcome:
    """Outcome of the jobs of one class.

    Parameters
    ----------
    in_time, late, unserved
        Numbers of jobs.
    earned_worth
        Worth of the jobs in time, and the share `LATE_WORTH_SHARE` of that of
        late jobs.
    total_worth
        Worth of all jobs.
    """

    in_time: int = 0
    late: int = 0
    unserved: int = 0
    earned_worth: float = 0.0
    total_worth: float = 0.0

    def record(self, generated: GeneratedJob, ended_at: Seconds | None) -> None:
        """Count a job that ended at ``ended_at``, or was not served if that is None."""
        work = sum(generated.work) / (generated.kind.width * generated.kind.work)
        worth = generated.kind.worth * min(4.0, 0.3 + 0.7 * work)
        self.total_worth += worth
        due = generated.due_at
        limit = generated.job.submitted_at + LATE_LIMIT_FACTOR * (
            due - generated.job.submitted_at
        )
        if ended_at is not None and ended_at <= due:
            self.in_time += 1
            self.earned_worth += worth
        elif ended_at is not None and ended_at <= limit:
            self.late += 1
            self.earned_worth += worth * LATE_WORTH_SHARE
        else:
            self.unserved += 1
