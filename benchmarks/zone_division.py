"""Cost of dividing backend servers among availability zones, on a virtual clock.

``python -m benchmarks.zone_division`` replays the load of one group of an installation
through the dispatcher of the product, with the backend servers divided in several ways,
and prints for each the share of the jobs in time, by class and by home zone, and the
share of the starts outside the home zone. Each job has a home zone, chosen at random by
the demand of the zones. `benchmarks.zone_loans` has a whole installation in which each
zone is a group.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from benchmarks.dispatch_loads import (
    BEGIN,
    LONGEST_MOST,
    NARROW,
    NARROW_70,
    WIDE,
    WIDE_70,
    WIDEST_MOST,
    GeneratedJob,
    Load,
    generate,
)
from benchmarks.product_run import EDGE, ONE_WAY_DELAY, ProductRun
from benchmarks.virtual_servers import Clock, VirtualServer, make_servers
from boragetide.effects import StartRun
from boragetide.messages import LeadershipGained, SubmitDurableJob
from boragetide.policy.scheduling import Timeliness
from boragetide.policy.server_index import ServerIndex
from boragetide.settings import DispatchSettings, JobOrder
from boragetide.types import BackendServerId, PoolName, ReplyTo, Seconds, ZoneId

ZONES: tuple[ZoneId, ...] = ("a", "b", "c")
# Demand of the zones: the highest is this many times the lowest.
SKEWS = (1.0, 1.55, 2.0)
# Before the first start of a job outside its home zone, the deputy of the zone is told.
NOTICE_DELAY: Seconds = 2 * ONE_WAY_DELAY
DISPATCH = DispatchSettings(order=JobOrder.PRIORITY)  # that of the platform
BURSTS = (LONGEST_MOST, WIDEST_MOST)
DIVISION_LOADS = (
    replace(WIDE, name="wide, calm"),
    replace(WIDE, name="wide, calm, bursts", burst_by_kind=BURSTS),
    replace(WIDE_70, name="wide, 70%"),
    replace(WIDE_70, name="wide, 70%, bursts", burst_by_kind=BURSTS),
    replace(NARROW, name="narrow, calm"),
    replace(NARROW, name="narrow, calm, bursts", burst_by_kind=BURSTS),
    replace(NARROW_70, name="narrow, 70%"),
    replace(NARROW_70, name="narrow, 70%, bursts", burst_by_kind=BURSTS),
)


class HomedPool(str):
    """Name of a pool that also tells the home zone of the job that asks for it."""

    __slots__ = ("zone",)
    zone: ZoneId

    @classmethod
    def of(cls, name: PoolName, zone: ZoneId) -> HomedPool:
        """Return the name of a pool with a home zone."""
        pool = cls(name)
        pool.zone = zone
        return pool


@dataclass
class ZoneFirstIndex(ServerIndex):
    """Index that yields the backend servers of the home zone first.

    Parameters
    ----------
    zone_by_id
        Availability zone of each backend server.
    within_speed
        Whether only servers that count as equally fast are ordered by zone.
    """

    zone_by_id: dict[BackendServerId, ZoneId] = field(default_factory=dict)
    within_speed: bool = False

    def iterate(
        self, pool: PoolName, millicores: int, min_speed: float = 0.0
    ) -> Iterator[BackendServerId]:
        """Yield the backend servers in the order of the index, those at home first."""
        found = super().iterate(pool, millicores, min_speed)
        zone = pool.zone if isinstance(pool, HomedPool) else None

        def rank(server: BackendServerId) -> tuple[int, bool]:
            speed_rank = self.position_by_id[server].speed_rank
            return (
                -speed_rank if self.within_speed else 0,
                self.zone_by_id[server] != zone,
            )

        yield from sorted(found, key=rank)


class PartRun(ProductRun):
    """Replay of one dispatcher that has a part of the backend servers.

    Parameters
    ----------
    clock
        Clock that all parts share.
    servers
        Backend servers of this part.
    zone_by_id, home_by_job
        Zones of the backend servers and home zones of the jobs.
    index
        Index to use in place of that of the dispatcher.
    notice_delay
        Time by which the first start of a job outside its home zone is delayed.
    """

    def __init__(
        self,
        load: Load,
        clock: Clock,
        servers: list[VirtualServer],
        zone_by_id: dict[BackendServerId, ZoneId],
        home_by_job: dict[str, ZoneId],
        index: ServerIndex | None = None,
        notice_delay: Seconds = 0.0,
    ):
        super().__init__(load, [], 0, DISPATCH)
        self.notice_delay = notice_delay
        self.clock = clock
        self.servers_by_id = {server.id: server for server in servers}
        self.zone_by_id, self.home_by_job = zone_by_id, home_by_job
        self.noted_at_by_job: dict[str, Seconds] = {}
        self.outside_starts = 0
        if index is not None:
            self.state.index = index

    def begin(self) -> None:
        """Begin to lead."""
        self.handle(LeadershipGained(1, (), BEGIN + 1e6, BEGIN - 10.0))
        self.announce(1)
        self.tick()

    def take(self, generated: GeneratedJob) -> None:
        """Submit a job, with the time that it has spent at other parts."""
        job = generated.job
        self.generated_by_id[job.id] = generated
        number = len(self.requests)
        self.requests[number] = job.id
        age = self.clock.now - (job.submitted_at + ONE_WAY_DELAY)
        reply_to = ReplyTo(EDGE, number)
        self.handle(SubmitDurableJob(job=job, age=max(age, 0.0), reply_to=reply_to))

    def start(self, order: StartRun) -> None:
        """Start a run, outside the home zone not before the deputy was told."""
        job_id = order.task.job_id
        if self.zone_by_id[order.server] == self.home_by_job[job_id]:
            super().start(order)
            return
        now = self.clock.now
        noted_at = self.noted_at_by_job.setdefault(job_id, now + self.notice_delay)
        if now < noted_at:
            self.clock.schedule(noted_at, lambda: self.start(order))
            return
        self.outside_starts += 1
        super().start(order)


@dataclass(slots=True)
class DivisionOutcome:
    """Outcome of a replay.

    Parameters
    ----------
    in_time_by_key, total_by_key
        Jobs by class and by home zone; ``all`` has all jobs.
    starts, outside_starts
        Starts in all, and outside the home zone.
    lent_jobs
        Jobs that went to another zone's group.
    """

    in_time_by_key: Counter[str] = field(default_factory=Counter)
    total_by_key: Counter[str] = field(default_factory=Counter)
    starts: int = 0
    outside_starts: int = 0
    lent_jobs: int = 0

    def add_job(
        self, generated: GeneratedJob, home: ZoneId, ended_at: Seconds | None
    ) -> None:
        """Count a job."""
        is_in_time = generated.find_timeliness(ended_at) is Timeliness.IN_TIME
        for key in ("all", generated.kind.name, home):
            self.total_by_key[key] += 1
            self.in_time_by_key[key] += is_in_time

    def add(self, other: DivisionOutcome) -> None:
        """Add the outcome of another replay."""
        self.in_time_by_key += other.in_time_by_key
        self.total_by_key += other.total_by_key
        self.starts += other.starts
        self.outside_starts += other.outside_starts
        self.lent_jobs += other.lent_jobs

    def share(self, key: str = "all") -> float:
        """Return the share of the jobs in time."""
        return self.in_time_by_key[key] / max(self.total_by_key[key], 1)


def list_weights(skew: float) -> list[float]:
    """Return the demand of the zones, each a constant factor above the next."""
    steps = len(ZONES) - 1
    return [skew ** (1 - number / steps) for number in range(len(ZONES))]


def choose_homes(jobs: list[GeneratedJob], skew: float, seed: int) -> dict[str, ZoneId]:
    """Return a random home zone for each job, by the demand of the zones."""
    rng = random.Random(f"{seed} homes")
    weights = list_weights(skew)
    return {generated.job.id: rng.choices(ZONES, weights)[0] for generated in jobs}


def find_server_zone(number: int, speed_count: int) -> ZoneId:
    """Return the zone of a backend server; each zone has servers of all speeds."""
    return ZONES[number // speed_count % len(ZONES)]


def add_home(generated: GeneratedJob, zone: ZoneId) -> GeneratedJob:
    """Return a job whose pool tells its home zone."""
    starts = generated.job.starts
    homed = replace(starts, pool=HomedPool.of(starts.pool, zone))
    return replace(generated, job=replace(generated.job, starts=homed))


class Division:
    """Replay of a load through one or several dispatchers, without loans.

    Parameters
    ----------
    by_zone
        Whether each zone has a dispatcher of its own.
    zone_first, within_speed
        Whether the dispatcher prefers the servers of the home zone, and whether only
        among equally fast ones.
    notice_delay
        See `PartRun`.
    """

    def __init__(
        self,
        load: Load,
        skew: float,
        seed: int,
        *,
        by_zone: bool = False,
        zone_first: bool = False,
        within_speed: bool = False,
        notice_delay: Seconds = NOTICE_DELAY,
    ):
        self.load, self.clock = load, Clock()
        self.jobs = generate(load, seed)
        self.home_by_job = choose_homes(self.jobs, skew, seed)
        servers = make_servers(load)
        zone_by_id = {
            server.id: find_server_zone(number, len(load.speeds))
            for number, server in enumerate(servers)
        }
        self.part_by_zone: dict[ZoneId, PartRun] = {}
        for zone in ZONES if by_zone else ZONES[:1]:
            index = (
                ZoneFirstIndex(zone_by_id=zone_by_id, within_speed=within_speed)
                if zone_first
                else None
            )
            own = [
                each for each in servers if not by_zone or zone_by_id[each.id] == zone
            ]
            self.part_by_zone[zone] = PartRun(
                load,
                self.clock,
                own,
                zone_by_id,
                self.home_by_job,
                index,
                notice_delay,
            )
        if not by_zone:
            self.part_by_zone = dict.fromkeys(ZONES, self.part_by_zone[ZONES[0]])
        if zone_first:
            self.jobs = [
                add_home(each, self.home_by_job[each.job.id]) for each in self.jobs
            ]

    @property
    def parts(self) -> list[PartRun]:
        """The dispatchers."""
        return list(dict.fromkeys(self.part_by_zone.values()))

    def route(self, generated: GeneratedJob) -> None:
        """Submit a job to the dispatcher of its home zone."""
        self.part_by_zone[self.home_by_job[generated.job.id]].take(generated)

    def run(self) -> DivisionOutcome:
        """Replay the load."""
        for part in self.parts:
            part.begin()
        for generated in self.jobs:
            at = generated.job.submitted_at + ONE_WAY_DELAY
            self.clock.schedule(at, lambda each=generated: self.route(each))
        self.clock.run(BEGIN + self.load.seconds + 10.0)
        return self.summarize()

    def summarize(self) -> DivisionOutcome:
        """Return the outcome of the replay."""
        outcome = DivisionOutcome()
        for part in self.parts:
            outcome.starts += part.starts
            outcome.outside_starts += part.outside_starts
        for generated in self.jobs:
            ends = [
                part.ended_by_id[generated.job.id]
                for part in self.parts
                if generated.job.id in part.ended_by_id
            ]
            home = self.home_by_job[generated.job.id]
            outcome.add_job(generated, home, min(ends, default=None))
        return outcome


def format_outcome(name: str, outcome: DivisionOutcome) -> str:
    """Return a line of the table."""
    classes = sorted(outcome.total_by_key.keys() - {"all", *ZONES})
    shares = " ".join(
        f"{key}={outcome.share(key):.3f}" for key in ("all", *classes, *ZONES)
    )
    outside = outcome.outside_starts / max(outcome.starts, 1)
    lent = outcome.lent_jobs / max(outcome.total_by_key["all"], 1)
    return f"{name:20} {shares} outside={outside:.3f} lent={lent:.3f}"


DIVISIONS: dict[str, dict[str, Any]] = {
    "no zones": {"notice_delay": 0.0},
    "notices": {},
    "zone first": {"zone_first": True},
    "zone first by speed": {"zone_first": True, "within_speed": True},
    "zones divided": {"by_zone": True},
}


def main() -> None:
    """Replay the loads and print the outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="replay loads whose name contains this")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--skews", type=float, nargs="+", default=SKEWS)
    arguments = parser.parse_args()
    for load in DIVISION_LOADS:
        if arguments.only is not None and arguments.only not in load.name:
            continue
        for skew in arguments.skews:
            print(f"-- {load.name}, demand 1 to {skew}")
            for name, options in DIVISIONS.items():
                outcome = DivisionOutcome()
                for seed in range(1, arguments.seeds + 1):
                    outcome.add(Division(load, skew, seed, **options).run())
                print(format_outcome(name, outcome), flush=True)


if __name__ == "__main__":
    main()
