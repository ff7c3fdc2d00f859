"""Replays the load of a site through the dispatcher alone, on a virtual clock.

The dispatcher is the unmodified controller of the product; the baselines and the ideal
policies run in the same harness. ``python -m benchmarks.dispatch`` prints, for each
policy and class, how many jobs were served in time, late and not at all, and for the
product also the processor time per start.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.controllers import dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import (
    DurableJob,
    EndReason,
    ListedEnd,
    ListedRun,
    Resources,
    ServerReport,
    Step,
)
from boragetide.effects import Effect, ReadRuns, Reply, StartRun, StopRun
from boragetide.messages import (
    LeadershipGained,
    OrderResult,
    ReplyStatus,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.job_queue import LOOK_AHEAD
from boragetide.policy.scheduling import LATE_LIMIT_FACTOR, due_at, latest_start
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.types import DurableStarts, ReplyTo, Seconds

BEGIN: Seconds = 1_000_000.0
ONE_WAY_DELAY: Seconds = 0.001
TICK_INTERVAL: Seconds = 0.1
ANNOUNCEMENT_INTERVAL: Seconds = 1.5
BORN = 900_000_000  # Unix milliseconds
SERVER_CORES = 64_000  # thousandths of a core
SPEEDS = (0.7, 0.7, 1.7)
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
        due = generated.job.submitted_at + 1.6 * max(generated.work) + 0.06
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


@dataclass
class VirtualServer:
    """A backend server on the virtual clock.

    Parameters
    ----------
    free_millicores
        Free thousandths of a core; used by the baselines only.
    unacknowledged_ends
        Ends that the dispatcher has not acknowledged.
    end_count
        Number of ends so far, which is the number of the last listed end.
    pending_read
        Request for the list of runs that waits for an end.
    """

    id: str
    speed: float
    free_millicores: int = SERVER_CORES
    running: dict[tuple[str, int], ListedRun] = field(default_factory=dict)
    unacknowledged_ends: list[ListedEnd] = field(default_factory=list)
    end_count: int = 0
    pending_read: ReadRuns | None = None


class Clock:
    """Virtual clock: runs scheduled actions in order of time."""

    def __init__(self) -> None:
        self.now = BEGIN
        self.events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def schedule(self, when: Seconds, action: Callable[[], None]) -> None:
        """Schedule an action for a point in time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self, until: Seconds) -> None:
        """Run the scheduled actions that are due by a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()


def make_servers(load: Load) -> list[VirtualServer]:
    """Return the backend servers of a load."""
    return [
        VirtualServer(f"s{number}", SPEEDS[number % len(SPEEDS)])
        for number in range(load.servers)
    ]


def schedule_slowdown(
    clock: Clock, servers: list[VirtualServer], load: Load, seed: int
) -> None:
    """Schedule a slowdown of some backend servers for the middle third of the load."""
    count = round(load.slow_share * len(servers))
    for server in random.Random(seed).sample(servers, count):
        usual = server.speed

        def set_speed(server: VirtualServer, speed: float) -> None:
            server.speed = speed

        clock.schedule(
            BEGIN + load.seconds / 3,
            lambda m=server, s=usual / load.slowdown: set_speed(m, s),
        )
        clock.schedule(
            BEGIN + load.seconds * 2 / 3, lambda m=server, s=usual: set_speed(m, s)
        )


class ProductRun:
    """Replay with the product's dispatcher as the leader and simulated backend servers.

    Orders, answers and submissions each take `ONE_WAY_DELAY` seconds.
    """

    def __init__(self, load: Load, jobs: list[GeneratedJob], seed: int):
        self.load = load
        self.clock = Clock()
        self.generated_by_id = {generated.job.id: generated for generated in jobs}
        self.ended_by_id: dict[str, Seconds] = {}
        self.servers_by_id = {each.id: each for each in make_servers(load)}
        servers = list(self.servers_by_id.values())
        schedule_slowdown(self.clock, servers, load, seed)
        settings = parse_settings(EMBEDDED_DEFAULT)
        self.state = DispatcherState(settings, int((BEGIN - 60.0) * 1000))
        self.requests: dict[int, str] = {}
        self.processor_time = 0.0
        self.starts = 0
        self.wasted = 0.0
        for generated in jobs:
            self.clock.schedule(
                generated.job.submitted_at + ONE_WAY_DELAY,
                lambda t=generated: self.submit(t),
            )

    def run(self) -> dict[str, ClassOutcome]:
        """Replay the load and return the outcomes by class."""
        gained = LeadershipGained(1, (), BEGIN + 1e6, BEGIN - 10.0)
        self.handle(gained)
        self.announce(1)
        self.tick()
        self.clock.run(BEGIN + self.load.seconds + 10.0)
        outcomes = {kind.name: ClassOutcome() for kind in KINDS}
        for job_id, generated in self.generated_by_id.items():
            outcomes[generated.kind.name].record(
                generated, self.ended_by_id.get(job_id)
            )
        return outcomes

    def handle(self, message: Any) -> None:
        """Pass a message to the dispatcher and execute the effects that it returns."""
        start_time = time.perf_counter()
        effects = dispatcher.handle(message, self.state, self.clock.now)
        self.processor_time += time.perf_counter() - start_time
        for effect in effects:
            execute_effect(effect, self)

    def schedule_delayed(self, action: Callable[[], None]) -> None:
        """Schedule an action after `ONE_WAY_DELAY` seconds."""
        self.clock.schedule(self.clock.now + ONE_WAY_DELAY, action)

    def submit(self, generated: GeneratedJob) -> None:
        """Submit a job to the dispatcher."""
        number = len(self.requests)
        self.requests[number] = generated.job.id
        reply_to = ReplyTo("e", number)
        self.handle(SubmitDurableJob(job=generated.job, age=0.0, reply_to=reply_to))

    def announce(self, sequence: int) -> None:
        """Announce all backend servers every `ANNOUNCEMENT_INTERVAL` seconds."""
        for server in self.servers_by_id.values():
            report = ServerReport(
                id=server.id,
                address=server.id,
                pool="pool",
                zone="a",
                capacity=Resources(SERVER_CORES, 262_144),
                born=BORN,
                sequence=sequence,
            )
            self.handle(ReportServer(report=report, passed_on=True))
        next_at = self.clock.now + ANNOUNCEMENT_INTERVAL
        self.clock.schedule(next_at, lambda: self.announce(sequence + 1))

    def tick(self) -> None:
        """Send a `Tick` to the dispatcher every `TICK_INTERVAL` seconds."""
        self.handle(Tick())
        self.clock.schedule(self.clock.now + TICK_INTERVAL, self.tick)

    def start(self, order: StartRun) -> None:
        """Start a run on its backend server and answer the order."""
        server = self.servers_by_id[order.server]
        self.starts += 1
        generated = self.generated_by_id[order.task.job_id]
        key = (order.task.job_id, order.task.index)
        server.running[key] = ListedRun(order.task, order.run)
        seconds = generated.work[order.task.index] / server.speed
        self.clock.schedule(
            self.clock.now + seconds, lambda: self.end_run(server, key, EndReason.DONE)
        )
        self.answer_order(order, started=True)

    def stop(self, order: StopRun) -> None:
        """Stop a run and answer the order."""
        server = self.servers_by_id[order.server]
        key = (order.task.job_id, order.task.index)
        if key in server.running:
            generated = self.generated_by_id[order.task.job_id]
            self.wasted += generated.work[order.task.index]
        self.end_run(server, key, EndReason.STOPPED)
        self.answer_order(order, started=False)

    def answer_order(self, order: StartRun | StopRun, *, started: bool) -> None:
        """Send the dispatcher the answer to a start or stop order."""
        message = RunOrdered(
            server=order.server,
            term=order.fence,
            job_id=order.task.job_id,
            task=order.number,
            run=order.run,
            result=OrderResult.DONE,
            started=started,
            clock=self.clock.now,
            sent_at=self.clock.now - ONE_WAY_DELAY,
        )
        self.schedule_delayed(lambda: self.handle(message))

    def end_run(
        self, server: VirtualServer, key: tuple[str, int], reason: EndReason
    ) -> None:
        """End a run, and answer the pending request for the list of runs, if any."""
        run = server.running.pop(key, None)
        if run is None:
            return
        server.end_count += 1
        server.unacknowledged_ends.append(
            ListedEnd(server.end_count, run.task, run.run, reason)
        )
        if server.pending_read is not None:
            self.send_runs(server, server.pending_read)

    def answer_read(self, order: ReadRuns) -> None:
        """Answer a request for the list of runs, at the latest after ``order.wait``.

        The answer waits for an end if no unacknowledged end is listed.
        """
        server = self.servers_by_id[order.server]
        server.unacknowledged_ends = [
            end for end in server.unacknowledged_ends if end.number > order.acknowledged
        ]
        if server.unacknowledged_ends or not order.wait:
            self.send_runs(server, order)
            return
        server.pending_read = order
        self.clock.schedule(
            self.clock.now + order.wait, lambda: self.end_read_wait(server, order)
        )

    def end_read_wait(self, server: VirtualServer, order: ReadRuns) -> None:
        """Answer a request for the list of runs that is pending at its deadline."""
        if server.pending_read is order:
            self.send_runs(server, order)

    def send_runs(self, server: VirtualServer, order: ReadRuns) -> None:
        """Send the dispatcher the list of runs of a backend server."""
        server.pending_read = None
        message = RunsRead(
            server=server.id,
            term=order.fence,
            sent_at=self.clock.now - ONE_WAY_DELAY,
            clock=self.clock.now,
            born=BORN,
            running=tuple(server.running.values()),
            ended=tuple(server.unacknowledged_ends),
        )
        self.schedule_delayed(lambda: self.handle(message))


@singledispatch
def execute_effect(effect: Effect, run: ProductRun) -> None:
    """Execute one effect; log lines and metrics are ignored here."""


@execute_effect.register
def _(effect: StartRun, run: ProductRun) -> None:
    run.schedule_delayed(lambda: run.start(effect))


@execute_effect.register
def _(effect: StopRun, run: ProductRun) -> None:
    run.schedule_delayed(lambda: run.stop(effect))


@execute_effect.register
def _(effect: ReadRuns, run: ProductRun) -> None:
    run.schedule_delayed(lambda: run.answer_read(effect))


@execute_effect.register
def _(effect: Reply, run: ProductRun) -> None:
    if effect.to is None or effect.to.instance != "e":
        return
    if effect.message.status is ReplyStatus.ACCEPTED:
        job_id = run.requests[effect.to.request]
        run.ended_by_id[job_id] = run.clock.now + ONE_WAY_DELAY


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
        outcomes = {kind.name: ClassOutcome() for kind in KINDS}
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
            m for m in self.servers if m.free_millicores >= self.load.cores * 0.6
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
        cores = generated.job.steps[0].needs.millicores
        for task in list(tasks):
            server = next(
                (each for each in candidates if each.free_millicores >= cores), None
            )
            if server is None:
                return
            server.free_millicores -= cores
            tasks.remove(task)
            seconds = generated.work[task] / server.speed
            self.clock.schedule(
                self.clock.now + seconds,
                lambda m=server: self.end_task(generated, m, cores),
            )
        self.queued_by_id.pop(generated.job.id, None)

    def end_task(
        self, generated: GeneratedJob, server: VirtualServer, cores: int
    ) -> None:
        """End one task, free its cores and start queued tasks."""
        server.free_millicores += cores
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


def summarize(name: str, outcomes: dict[str, ClassOutcome]) -> str:
    """Return a line with the earned share of the worth and the counts by class."""
    total: Counter[str] = Counter()
    for outcome in outcomes.values():
        total["earned"] += outcome.earned_worth
        total["owed"] += outcome.total_worth
    counts = " ".join(
        f"{kind}={each.in_time}/{each.late}/{each.unserved}"
        for kind, each in outcomes.items()
    )
    return f"{name:18} earned={total['earned'] / total['owed']:.3f} {counts}"


def main() -> None:
    """Replay the loads and print the outcomes (in time/late/unserved by class)."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="replay loads whose name contains this")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--product-only", action="store_true")
    arguments = parser.parse_args()
    for load in LOADS:
        if arguments.only is not None and arguments.only not in load.name:
            continue
        jobs = generate(load, arguments.seed)
        tasks = sum(len(generated.work) for generated in jobs)
        print(f"-- {load.name}: {len(jobs)} jobs, {tasks} tasks")
        product = ProductRun(load, jobs, arguments.seed)
        print(summarize("product", product.run()))
        us_per_start = product.processor_time / max(product.starts, 1) * 1e6
        print(
            f"   {us_per_start:.0f} microseconds a start, {product.wasted:.1f} s wasted"
        )
        for name, sort_key in BASELINES.items() if not arguments.product_only else ():
            baseline = BaselineRun(load, jobs, arguments.seed, sort_key)
            print(summarize(name, baseline.run()))


if __name__ == "__main__":
    main()
