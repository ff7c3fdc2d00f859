"""Traces: recorded or generated arrivals, as JSON lines.

The first line describes the backend servers, the events that change them and the class
targets; each further line is a job with the true work and the declared size of each
task, in seconds at speed 1.
"""

from __future__ import annotations

import itertools
import json
import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

SPEEDS = (1.0, 1.0, 1.5, 2.0, 2.0, 3.0, 3.0, 4.0)
SLOTS = 8
MEDIAN_WORK = math.sqrt(0.05 * 1.0)  # seconds
# Standard deviation of the logarithm: 50 ms and 1 s are two of them from the median.
WORK_SIGMA = math.log(20) / 4
LONG_TASK_SHARE = 0.02
MAX_SIZE_ERROR_FACTOR = 4.0
SAMPLE_JOBS = 500


@dataclass(frozen=True, slots=True)
class TracedServer:
    """A backend server of a trace."""

    id: str
    slots: int
    speed: float


@dataclass(frozen=True, slots=True)
class TracedJob:
    """A job of a trace.

    Parameters
    ----------
    at
        Arrival time from the start of the trace, in seconds.
    tasks
        Pairs of true work and declared size, in seconds at speed 1.
    """

    at: float
    class_name: str
    team: str
    tasks: tuple[tuple[float, float | None], ...]


@dataclass(frozen=True, slots=True)
class Trace:
    """A trace of arrivals.

    Parameters
    ----------
    events
        Changes of servers: ``{"at": seconds, "server": id}`` with
        ``"slower": factor`` or ``"fails": true``.
    targets
        Response time by class, in seconds.
    """

    servers: tuple[TracedServer, ...]
    jobs: tuple[TracedJob, ...]
    events: tuple[dict[str, Any], ...] = ()
    targets: dict[str, float] = field(default_factory=dict)


def generate(
    seed: int,
    load: float,
    tasks: tuple[int, int],
    jobs: int,
    *,
    burst: tuple[float, int] | None = None,
    events: Iterable[dict[str, Any]] = (),
    target: float = 1000.0,
) -> Trace:
    """Generate a trace with Poisson arrivals on the eight servers of the targets.

    Parameters
    ----------
    seed
        Seed of the random numbers.
    load
        Share of the total speed of all slots that the work takes. The trace has
        exactly this load: a random deviation of a few percent would determine the
        results at high load.
    tasks
        Lowest and highest number of tasks of a job, uniformly drawn.
    jobs
        Number of jobs.
    burst
        Time in seconds at which this many additional jobs arrive at once.
    events
        Changes of servers, as in `Trace`.
    target
        Response time of the class, in seconds.
    """
    rng = random.Random(seed)
    servers = list_servers()
    gaps = [rng.expovariate(1.0) for _ in range(jobs)]
    generated = [_generate_job(rng, 0.0, tasks) for _ in range(jobs)]
    work = sum(size for job in generated for size, _ in job.tasks)
    scale = work / (load * SLOTS * sum(SPEEDS) * sum(gaps))
    times = itertools.accumulate(gap * scale for gap in gaps)
    generated = [
        replace(job, at=round(at, 4)) for job, at in zip(generated, times, strict=True)
    ]
    if burst is not None:
        generated += [_generate_job(rng, burst[0], tasks) for _ in range(burst[1])]
    generated.sort(key=lambda job: job.at)
    return Trace(servers, tuple(generated), tuple(events), {"default": target})


def generate_for(
    seconds: float, *, seed: int, load: float, tasks: tuple[int, int]
) -> Trace:
    """Generate a trace of about ``seconds`` in length; see `generate`."""
    sample = generate(seed, load, tasks, SAMPLE_JOBS)
    jobs = max(1, round(SAMPLE_JOBS * seconds / sample.jobs[-1].at))
    return generate(seed, load, tasks, jobs)


def ideal_response(
    job: TracedJob, servers: Iterable[TracedServer], round_trip: float
) -> float:
    """Return the ideal response time of a job that has the pool to itself, in seconds.

    Parameters
    ----------
    servers
        Backend servers in service.
    round_trip
        Network round trip of the caller, in seconds.
    """
    in_service = tuple(servers)
    work = [task[0] for task in job.tasks]
    fastest = max(server.speed for server in in_service)
    total = sum(server.speed * server.slots for server in in_service)
    return max(max(work) / fastest, sum(work) / total) + round_trip


def list_servers(speeds: Iterable[float] = SPEEDS) -> tuple[TracedServer, ...]:
    """Return a backend server per speed; by default the eight of the targets."""
    return tuple(
        TracedServer(f"s{number}", SLOTS, speed)
        for number, speed in enumerate(speeds, 1)
    )


def _draw_work(rng: random.Random) -> float:
    if rng.random() < LONG_TASK_SHARE:
        return rng.uniform(2.0, 5.0)
    return min(max(rng.lognormvariate(math.log(MEDIAN_WORK), WORK_SIGMA), 0.05), 1.0)


def _generate_job(rng: random.Random, at: float, tasks: tuple[int, int]) -> TracedJob:
    sizes = []
    for _ in range(rng.randint(*tasks)):
        work = _draw_work(rng)
        error = math.exp(rng.uniform(-1, 1) * math.log(MAX_SIZE_ERROR_FACTOR))
        sizes.append((round(work, 3), round(work * error, 3)))
    return TracedJob(round(at, 4), "default", "", tuple(sizes))


def write(trace: Trace, path: Path) -> None:
    """Write a trace as JSON lines."""
    with path.open("w") as file:
        for record in _to_records(trace):
            file.write(json.dumps(record, separators=(",", ":")) + "\n")


def _to_records(trace: Trace) -> Iterator[dict[str, Any]]:
    yield {
        "servers": [[s.id, s.slots, s.speed] for s in trace.servers],
        "events": list(trace.events),
        "targets": trace.targets,
    }
    for job in trace.jobs:
        yield {
            "at": job.at,
            "class": job.class_name,
            "team": job.team,
            "tasks": job.tasks,
        }


def read(path: Path) -> Trace:
    """Read a trace from JSON lines."""
    lines = path.read_text().splitlines()
    header = json.loads(lines[0])
    jobs = []
    for line in lines[1:]:
        record = json.loads(line)
        sizes = tuple((work, declared) for work, declared in record["tasks"])
        jobs.append(TracedJob(record["at"], record["class"], record["team"], sizes))
    return Trace(
        tuple(TracedServer(*server) for server in header["servers"]),
        tuple(jobs),
        tuple(header["events"]),
        header["targets"],
    )
