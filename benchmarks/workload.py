"""Jobs of the kind that the users run, made by seed."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from boragetide.types import Seconds

SPEEDS = (1.0, 1.0, 1.5, 2.0, 2.0, 3.0, 3.0, 4.0)
SLOTS = 8
SHORTEST: Seconds = 0.05
LONGEST: Seconds = 1.0
MEDIAN: Seconds = 0.25
SIGMA = 0.7
LONG_SHARE = 0.02
LONG_RANGE: tuple[Seconds, Seconds] = (2.0, 5.0)
SIZE_ERROR = 4.0  # declared sizes are wrong by up to this factor


@dataclass(frozen=True, slots=True)
class JobPlan:
    """One job of a trace.

    Parameters
    ----------
    arrives_at
        Seconds since the start of the trace.
    works
        True run time of each task at speed 1, in seconds.
    sizes
        Declared run times, in seconds.
    """

    arrives_at: Seconds
    works: tuple[Seconds, ...]
    sizes: tuple[Seconds, ...]


def draw_work(rng: random.Random) -> Seconds:
    """Draw the true run time of a task at speed 1, in seconds."""
    if rng.random() < LONG_SHARE:
        return rng.uniform(*LONG_RANGE)
    work = rng.lognormvariate(math.log(MEDIAN), SIGMA)
    return min(max(work, SHORTEST), LONGEST)


def mean_work(samples: int = 20_000) -> Seconds:
    """Return the mean of `draw_work`, estimated with a fixed seed."""
    rng = random.Random(0)
    return sum(draw_work(rng) for _ in range(samples)) / samples


def make_trace(
    *,
    seed: int,
    load: float,
    duration: Seconds,
    tasks: tuple[int, int],
    speeds: tuple[float, ...] = SPEEDS,
) -> list[JobPlan]:
    """Make a trace of jobs that arrive at random.

    Parameters
    ----------
    seed
        The same seed gives the same trace.
    load
        Offered work as a share of what all slots can do.
    duration
        Length of the trace in seconds.
    tasks
        Least and greatest number of tasks of a job, drawn uniformly.
    """
    rng = random.Random(seed)
    capacity = sum(speeds) * SLOTS
    job_rate = load * capacity / (mean_work() * (tasks[0] + tasks[1]) / 2)
    plans = []
    arrives_at = rng.expovariate(job_rate)
    while arrives_at < duration:
        works = tuple(draw_work(rng) for _ in range(rng.randint(*tasks)))
        sizes = tuple(work * _draw_error(rng) for work in works)
        plans.append(JobPlan(arrives_at, works, sizes))
        arrives_at += rng.expovariate(job_rate)
    return plans


def _draw_error(rng: random.Random) -> float:
    return SIZE_ERROR ** rng.uniform(-1.0, 1.0)


def ideal_response(
    works: tuple[Seconds, ...], speeds: tuple[float, ...], round_trip: Seconds
) -> Seconds:
    """Return the least possible response time of a job in an empty pool.

    Parameters
    ----------
    works
        True run time of each task at speed 1, in seconds.
    speeds
        Speeds of the backend servers in service.
    round_trip
        Two one-way trips, in seconds.
    """
    longest = max(works) / max(speeds)
    shared = sum(works) / (sum(speeds) * SLOTS)
    return max(longest, shared) + round_trip
