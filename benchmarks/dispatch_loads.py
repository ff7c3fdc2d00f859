"""Loads of jobs for the dispatcher, generated at random, and their outcomes."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from boragetide.durable import DurableJob, Resources, Step
from boragetide.policy.scheduling import Timeliness, classify_end
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
    priority
        Priority of the class in the operators' configuration.
    """

    name: str
    rate: float
    width: int
    work: Seconds
    worth: float
    priority: int = 0


KINDS = (
    JobKind("check", 34.0, 8, 0.06, 0.0291, 0),
    JobKind("order", 6.25, 4, 0.9, 0.16, 2),
    JobKind("hold", 100.0, 2, 0.2, 0.01, 1),
)
# Normal rates of one of the five groups of the two new installations.
WIDE_KINDS = (
    JobKind("check", 103.0 / 5, 8, 0.06, 0.0291, 0),
    JobKind("order", 18.8 / 5, 4, 0.9, 0.16, 2),
    JobKind("hold", 300.0 / 5, 2, 0.2, 0.01, 1),
)
NARROW_KINDS = (
    JobKind("check", 90.6 / 5, 8, 0.051, 0.0291, 0),
    JobKind("order", 16.5 / 5, 4, 0.76, 0.16, 2),
    JobKind("hold", 264.0 / 5, 2, 0.17, 0.01, 1),
)


@dataclass(frozen=True, slots=True)
class Load:
    """A load to replay.

    Parameters
    ----------
    millicores
        Typical need of a task.
    rate
        Factor applied to the rates of the kinds.
    burst
        Additional factor applied to the rates in the middle third of the load.
    burst_by_kind
        Names of kinds with another additional factor in the middle third.
    slow_share, slowdown
        Share of the backend servers that are slower in the middle third, and the
        factor by which they are slower.
    seconds
        Time during which jobs arrive.
    kinds
        Classes of the jobs.
    server_millicores, speeds
        Capacities and speeds of the backend servers, in turn.
    response_time
        Part of the response time target that is the same for all jobs.
    tail_share, tail_factor
        Share of the tasks that take longer than the others of their job, and how many
        times as long.
    """

    name: str
    servers: int = 24
    millicores: int = 27_000
    rate: float = 0.45
    burst: float = 1.0
    slow_share: float = 0.0
    slowdown: float = 6.0
    seconds: Seconds = 20.0
    kinds: tuple[JobKind, ...] = KINDS
    burst_by_kind: tuple[tuple[str, float], ...] = ()
    server_millicores: tuple[int, ...] = (64_000,)
    speeds: tuple[float, ...] = (0.7, 0.7, 1.7)
    response_time: Seconds = 0.06
    tail_share: float = 0.0
    tail_factor: float = 7.0

    def find_rate(self, kind: JobKind, at: Seconds) -> float:
        """Return the rate of a kind at a time after the begin of the load."""
        if not self.seconds / 3 < at < self.seconds * 2 / 3:
            return kind.rate * self.rate
        burst = dict(self.burst_by_kind).get(kind.name, 1.0)
        return kind.rate * self.rate * self.burst * burst


LOADS = (
    Load("calm"),
    Load("burst of 1.8", burst=1.8),
    Load("overload of 3", burst=3.0),
    Load("slow backend servers", slow_share=0.17),
    Load("grown", servers=176, millicores=32_000, rate=3.0),
    Load("grown, burst of 1.5", servers=176, millicores=32_000, rate=3.0, burst=1.5),
)
WIDE = Load(
    "wide",
    servers=35,
    millicores=32_000,
    rate=1.0,
    kinds=WIDE_KINDS,
    server_millicores=(64_000, 64_000, 96_000),
    speeds=(1.0, 1.0, 2.4),
    response_time=0.064,
)
NARROW = Load(
    "narrow",
    servers=35,
    millicores=16_000,
    rate=1.0,
    kinds=NARROW_KINDS,
    server_millicores=(32_000, 32_000, 48_000),
    speeds=(1.0, 1.0, 1.3),
    response_time=0.064,
    tail_share=0.03,
)
# Rates at which the jobs need about 70% and 95% of what all cores can do (mean of eight
# seeds: 74%, 101%, 69% and 90%). At the normal rates they need 38% and 47%, in bursts
# 59% and 74%.
WIDE_70, WIDE_95 = replace(WIDE, rate=2.0), replace(WIDE, rate=2.7)
NARROW_70, NARROW_95 = replace(NARROW, rate=1.5), replace(NARROW, rate=2.0)
LONGEST, LONGEST_MOST = ("order", 2.0), ("order", 2.6)
WIDEST, WIDEST_MOST = ("check", 1.6), ("check", 1.9)
INSTALLATION_LOADS = (
    replace(WIDE, name="wide, calm"),
    replace(WIDE, name="wide, calm, bursts", burst_by_kind=(LONGEST_MOST, WIDEST_MOST)),
    replace(WIDE_70, name="wide, 70%"),
    replace(WIDE_95, name="wide, 95%"),
    replace(WIDE_70, name="wide, longest 2.6", burst_by_kind=(LONGEST_MOST,)),
    replace(WIDE_70, name="wide, widest 1.9", burst_by_kind=(WIDEST_MOST,)),
    replace(WIDE_70, name="wide, 2.0 and 1.6", burst_by_kind=(LONGEST, WIDEST)),
    replace(
        WIDE_70, name="wide, 2.6 and 1.9", burst_by_kind=(LONGEST_MOST, WIDEST_MOST)
    ),
    replace(NARROW, name="narrow, calm"),
    replace(
        NARROW, name="narrow, calm, bursts", burst_by_kind=(LONGEST_MOST, WIDEST_MOST)
    ),
    replace(NARROW_70, name="narrow, 70%"),
    replace(NARROW_95, name="narrow, 95%"),
    replace(NARROW_70, name="narrow, longest 2.6", burst_by_kind=(LONGEST_MOST,)),
    replace(NARROW_70, name="narrow, widest 1.9", burst_by_kind=(WIDEST_MOST,)),
    replace(NARROW_70, name="narrow, 2.0 and 1.6", burst_by_kind=(LONGEST, WIDEST)),
    replace(
        NARROW_70, name="narrow, 2.6 and 1.9", burst_by_kind=(LONGEST_MOST, WIDEST_MOST)
    ),
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

    def find_timeliness(self, ended_at: Seconds | None) -> Timeliness:
        """Return what an end is worth to the caller; ``None`` if there was no end."""
        if ended_at is None:
            return Timeliness.TOO_LATE
        return classify_end(self.job.submitted_at, self.due_at, ended_at)


def generate(load: Load, seed: int) -> list[GeneratedJob]:
    """Generate the jobs of a load at random, in order of arrival."""
    rng = random.Random(seed)
    jobs: list[GeneratedJob] = []
    for kind in load.kinds:
        now = 0.0
        while now < load.seconds:
            now += rng.expovariate(load.find_rate(kind, now))
            jobs.append(_generate_job(kind, load, BEGIN + now, len(jobs), rng))
    return sorted(jobs, key=lambda generated: generated.job.submitted_at)


def _generate_job(
    kind: JobKind, load: Load, at: Seconds, number: int, rng: random.Random
) -> GeneratedJob:
    width = max(1, round(kind.width * rng.lognormvariate(-0.08, 0.4)))
    mean = kind.work * rng.lognormvariate(-0.08, 0.4)
    needs = int(load.millicores * rng.lognormvariate(-0.02, 0.2))
    needs = min(needs, int(load.millicores * 1.5))
    work = tuple(mean * rng.uniform(0.85, 1.15) for _ in range(width))
    if load.tail_share > 0:
        work = tuple(
            each * (load.tail_factor if rng.random() < load.tail_share else 1.0)
            for each in work
        )
    declared = mean * rng.lognormvariate(0.0, ESTIMATE_ERROR)
    job = DurableJob(
        id=f"{kind.name}-{number}",
        class_name=kind.name,
        spec="",
        steps=(Step(width, Resources(needs, 64), declared),),
        starts=DurableStarts("pool", attempts=4, priority=kind.priority, stretch=1.6),
        submitted_at=at,
        response_time=load.response_time,
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
        timeliness = generated.find_timeliness(ended_at)
        if timeliness is Timeliness.IN_TIME:
            self.in_time += 1
            self.earned_worth += worth
        elif timeliness is Timeliness.LATE:
            self.late += 1
            self.earned_worth += worth * LATE_WORTH_SHARE
        else:
            self.unserved += 1
