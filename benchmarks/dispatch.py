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
from boragetide.policy.scheduling import LATE_FACTOR, latest_start, objective
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.types import DurableStarts, ReplyTo, Seconds

BEGIN: Seconds = 1_000_000.0
ONE_WAY: Seconds = 0.001
TICK: Seconds = 0.1
ANNOUNCEMENT: Seconds = 1.5
BORN = 900_000_000  # Unix milliseconds
SERVER_CORES = 64_000  # thousandths of a core
SPEEDS = (0.7, 0.7, 1.7)
ESTIMATE_ERROR = 0.4  # standard deviation of the logarithm
LATE_WORTH = 0.2  # share of its worth that a late job earns


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
class TracedJob:
    """A generated job with the true work of each task, in seconds at speed 1."""

    job: DurableJob
    kind: JobKind
    work: tuple[Seconds, ...]


def generate(load: Load, seed: int) -> list[TracedJob]:
    """Generate the jobs of a load at random, in order of arrival."""
    draw = random.Random(seed)
    jobs: list[TracedJob] = []
    for kind in KINDS:
        now = 0.0
        while now < load.seconds:
            in_burst = load.seconds / 3 < now < load.seconds * 2 / 3
            rate = kind.rate * load.rate * (load.burst if in_burst else 1.0)
            now += draw.expovariate(rate)
            jobs.append(_draw_job(kind, load, BEGIN + now, len(jobs), draw))
    return sorted(jobs, key=lambda traced: traced.job.submitted_at)


def _draw_job(
    kind: JobKind, load: Load, at: Seconds, number: int, draw: random.Random
) -> TracedJob:
    width = max(1, round(kind.width * draw.lognormvariate(-0.08, 0.4)))
    mean = kind.work * draw.lognormvariate(-0.08, 0.4)
    cores = min(
        int(load.cores * draw.lognormvariate(-0.02, 0.2)), int(load.cores * 1.5)
    )
    work = tuple(mean * draw.uniform(0.85, 1.15) for _ in range(width))
    declared = mean * draw.lognormvariate(0.0, ESTIMATE_ERROR)
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
    return TracedJob(job, kind, work)


@dataclass
class Outcome:
    """Outcome of the jobs of one class.

    Parameters
    ----------
    in_time, late, unserved
        Numbers of jobs.
    earned
        Worth of the jobs in time, and the share `LATE_WORTH` of that of late jobs.
    owed
        Worth of all jobs.
    """

    in_time: int = 0
    late: int = 0
    unserved: int = 0
    earned: float = 0.0
    owed: float = 0.0

    def note(self, traced: TracedJob, ended_at: Seconds | None) -> None:
        """Count a job that ended at ``ended_at``, or was not served if that is None."""
        work = sum(traced.work) / (traced.kind.width * traced.kind.work)
        worth = traced.kind.worth * min(4.0, 0.3 + 0.7 * work)
        self.owed += worth
        due = traced.job.submitted_at + 1.6 * max(traced.work) + 0.06
        limit = traced.job.submitted_at + LATE_FACTOR * (due - traced.job.submitted_at)
        if ended_at is not None and ended_at <= due:
            self.in_time += 1
            self.earned += worth
        elif ended_at is not None and ended_at <= limit:
            self.late += 1
            self.earned += worth * LATE_WORTH
        else:
            self.unserved += 1


@dataclass
class Machine:
    """A backend server on the virtual clock.

    Parameters
    ----------
    room
        Free thousandths of a core; used by the baselines only.
    unlisted
        Ends that the dispatcher has not acknowledged.
    ends
        Number of ends so far; numbers the listed ends.
    waiting
        Request for the list of runs that waits for an end.
    """

    id: str
    speed: float
    room: int = SERVER_CORES
    running: dict[tuple[str, int], ListedRun] = field(default_factory=dict)
    unlisted: list[ListedEnd] = field(default_factory=list)
    ends: int = 0
    waiting: ReadRuns | None = None


class Clock:
    """Virtual clock: runs scheduled actions in order of time."""

    def __init__(self) -> None:
        self.now = BEGIN
        self.events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def at(self, when: Seconds, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self, until: Seconds) -> None:
        """Run the scheduled actions that are due by a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()


def make_machines(load: Load) -> list[Machine]:
    """Return the backend servers of a load."""
    return [
        Machine(f"s{number}", SPEEDS[number % len(SPEEDS)])
        for number in range(load.servers)
    ]


def schedule_slowness(
    clock: Clock, machines: list[Machine], load: Load, seed: int
) -> None:
    """Schedule a slowdown of some backend servers for the middle third of the load."""
    count = round(load.slow_share * len(machines))
    for machine in random.Random(seed).sample(machines, count):
        usual = machine.speed

        def set_speed(machine: Machine, speed: float) -> None:
            machine.speed = speed

        clock.at(
            BEGIN + load.seconds / 3,
            lambda m=machine, s=usual / load.slowdown: set_speed(m, s),
        )
        clock.at(
            BEGIN + load.seconds * 2 / 3, lambda m=machine, s=usual: set_speed(m, s)
        )


class ProductRun:
    """Replay with the product's dispatcher as the leader and simulated backend servers.

    Orders, answers and submissions each take `ONE_WAY` seconds.
    """

    def __init__(self, load: Load, jobs: list[TracedJob], seed: int):
        self.load = load
        self.clock = Clock()
        self.traced_by_id = {traced.job.id: traced for traced in jobs}
        self.ended_by_id: dict[str, Seconds] = {}
        self.machines_by_id = {each.id: each for each in make_machines(load)}
        machines = list(self.machines_by_id.values())
        schedule_slowness(self.clock, machines, load, seed)
        settings = parse_settings(EMBEDDED_DEFAULT)
        self.state = DispatcherState(settings, int((BEGIN - 60.0) * 1000))
        self.requests: dict[int, str] = {}
        self.processor_time = 0.0
        self.starts = 0
        self.wasted = 0.0
        for traced in jobs:
            self.clock.at(
                traced.job.submitted_at + ONE_WAY, lambda t=traced: self.submit(t)
            )

    def run(self) -> dict[str, Outcome]:
        """Replay the load and return the outcomes by class."""
        gained = LeadershipGained(1, (), BEGIN + 1e6, BEGIN - 10.0)
        self.handle(gained)
        self.announce(1)
        self.tick()
        self.clock.run(BEGIN + self.load.seconds + 10.0)
        outcomes = {kind.name: Outcome() for kind in KINDS}
        for job_id, traced in self.traced_by_id.items():
            outcomes[traced.kind.name].note(traced, self.ended_by_id.get(job_id))
        return outcomes

    def handle(self, message: Any) -> None:
        """Pass a message to the dispatcher and execute the effects that it returns."""
        begun = time.perf_counter()
        effects = dispatcher.handle(message, self.state, self.clock.now)
        self.processor_time += time.perf_counter() - begun
        for effect in effects:
            perform(effect, self)

    def later(self, action: Callable[[], None]) -> None:
        """Schedule an action after `ONE_WAY` seconds."""
        self.clock.at(self.clock.now + ONE_WAY, action)

    def submit(self, traced: TracedJob) -> None:
        """Submit a job to the dispatcher."""
        number = len(self.requests)
        self.requests[number] = traced.job.id
        reply_to = ReplyTo("e", number)
        self.handle(SubmitDurableJob(job=traced.job, age=0.0, reply_to=reply_to))

    def announce(self, sequence: int) -> None:
        """Announce all backend servers, and again every `ANNOUNCEMENT` seconds."""
        for machine in self.machines_by_id.values():
            report = ServerReport(
                id=machine.id,
                address=machine.id,
                pool="pool",
                zone="a",
                capacity=Resources(SERVER_CORES, 262_144),
                born=BORN,
                sequence=sequence,
            )
            self.handle(ReportServer(report=report, passed_on=True))
        next_at = self.clock.now + ANNOUNCEMENT
        self.clock.at(next_at, lambda: self.announce(sequence + 1))

    def tick(self) -> None:
        """Send a `Tick` to the dispatcher every `TICK` seconds."""
        self.handle(Tick())
        self.clock.at(self.clock.now + TICK, self.tick)

    def start(self, order: StartRun) -> None:
        """Start a run on its backend server and answer the order."""
        machine = self.machines_by_id[order.server]
        self.starts += 1
        traced = self.traced_by_id[order.task.job_id]
        key = (order.task.job_id, order.task.index)
        machine.running[key] = ListedRun(order.task, order.run)
        seconds = traced.work[order.task.index] / machine.speed
        self.clock.at(
            self.clock.now + seconds, lambda: self.end(machine, key, EndReason.DONE)
        )
        self.answer(order, started=True)

    def stop(self, order: StopRun) -> None:
        """Stop a run and answer the order."""
        machine = self.machines_by_id[order.server]
        key = (order.task.job_id, order.task.index)
        if key in machine.running:
            traced = self.traced_by_id[order.task.job_id]
            self.wasted += traced.work[order.task.index]
        self.end(machine, key, EndReason.STOPPED)
        self.answer(order, started=False)

    def answer(self, order: StartRun | StopRun, *, started: bool) -> None:
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
            sent_at=self.clock.now - ONE_WAY,
        )
        self.later(lambda: self.handle(message))

    def end(self, machine: Machine, key: tuple[str, int], reason: EndReason) -> None:
        """End a run, and answer the pending request for the list of runs, if any."""
        run = machine.running.pop(key, None)
        if run is None:
            return
        machine.ends += 1
        machine.unlisted.append(ListedEnd(machine.ends, run.task, run.run, reason))
        if machine.waiting is not None:
            self.list_runs(machine, machine.waiting)

    def read(self, order: ReadRuns) -> None:
        """Answer a request for the list of runs, at the latest after ``order.wait``.

        The answer waits for an end if no unacknowledged end is listed.
        """
        machine = self.machines_by_id[order.server]
        machine.unlisted = [
            end for end in machine.unlisted if end.number > order.acknowledged
        ]
        if machine.unlisted or not order.wait:
            self.list_runs(machine, order)
            return
        machine.waiting = order
        self.clock.at(self.clock.now + order.wait, lambda: self.give_up(machine, order))

    def give_up(self, machine: Machine, order: ReadRuns) -> None:
        """Answer a request for the list of runs that is pending at its deadline."""
        if machine.waiting is order:
            self.list_runs(machine, order)

    def list_runs(self, machine: Machine, order: ReadRuns) -> None:
        """Send the dispatcher the list of runs of a backend server."""
        machine.waiting = None
        message = RunsRead(
            server=machine.id,
            term=order.fence,
            sent_at=self.clock.now - ONE_WAY,
            clock=self.clock.now,
            born=BORN,
            running=tuple(machine.running.values()),
            ended=tuple(machine.unlisted),
        )
        self.later(lambda: self.handle(message))


@singledispatch
def perform(effect: Effect, run: ProductRun) -> None:
    """Execute one effect; log lines and metrics are ignored here."""


@perform.register
def _(effect: StartRun, run: ProductRun) -> None:
    run.later(lambda: run.start(effect))


@perform.register
def _(effect: StopRun, run: ProductRun) -> None:
    run.later(lambda: run.stop(effect))


@perform.register
def _(effect: ReadRuns, run: ProductRun) -> None:
    run.later(lambda: run.read(effect))


@perform.register
def _(effect: Reply, run: ProductRun) -> None:
    if effect.to is None or effect.to.instance != "e":
        return
    if effect.message.status is ReplyStatus.ACCEPTED:
        job_id = run.requests[effect.to.request]
        run.ended_by_id[job_id] = run.clock.now + ONE_WAY


Order = Callable[[TracedJob, Seconds], Any]


def first_come(traced: TracedJob, now: Seconds) -> Any:
    """Order jobs by arrival."""
    return traced.job.submitted_at


def shortest_first(traced: TracedJob, now: Seconds) -> Any:
    """Order jobs by declared work."""
    (step,) = traced.job.steps
    return step.count * step.estimate


def strict_priority(traced: TracedJob, now: Seconds) -> Any:
    """Order jobs by the worth of their class, then by arrival."""
    return -traced.kind.worth, traced.job.submitted_at


def true_deadline(traced: TracedJob, now: Seconds) -> Any:
    """Order jobs by their true latest start; jobs past it come last."""
    due = traced.job.submitted_at + 0.6 * max(traced.work) + 0.06
    return due < now, due


def true_worth(traced: TracedJob, now: Seconds) -> Any:
    """Order jobs by worth per core-second; jobs past their latest start come last."""
    due = traced.job.submitted_at + 0.6 * max(traced.work) + 0.06
    (step,) = traced.job.steps
    work = sum(traced.work) * step.needs.millicores
    return due < now, -traced.kind.worth * (0.3 + 0.7 * sum(traced.work)) / work


class BaselineRun:
    """Replay with one queue for all backend servers, without network delays.

    The next task starts on the fastest backend server with enough free cores. A job
    none of whose tasks has started is dropped once it would end too late to be of any
    use to its caller.

    Parameters
    ----------
    order
        Returns the sort key of a queued job at a time; the lowest key is first.
    """

    def __init__(self, load: Load, jobs: list[TracedJob], seed: int, order: Order):
        self.load, self.order = load, order
        self.clock = Clock()
        self.machines = make_machines(load)
        schedule_slowness(self.clock, self.machines, load, seed)
        self.jobs = jobs
        self.waiting: dict[str, tuple[TracedJob, list[int]]] = {}
        self.left: dict[str, int] = {}
        self.ended_by_id: dict[str, Seconds] = {}
        for traced in jobs:
            self.clock.at(traced.job.submitted_at, lambda t=traced: self.submit(t))

    def run(self) -> dict[str, Outcome]:
        """Replay the load and return the outcomes by class."""
        self.clock.run(BEGIN + self.load.seconds + 10.0)
        outcomes = {kind.name: Outcome() for kind in KINDS}
        for traced in self.jobs:
            ended_at = self.ended_by_id.get(traced.job.id)
            outcomes[traced.kind.name].note(traced, ended_at)
        return outcomes

    def submit(self, traced: TracedJob) -> None:
        """Queue a job and start as many tasks as fit."""
        self.waiting[traced.job.id] = (traced, list(range(len(traced.work))))
        self.left[traced.job.id] = len(traced.work)
        self.place()

    def place(self) -> None:
        """Start as many queued tasks as fit on the backend servers."""
        now = self.clock.now
        roomy = [m for m in self.machines if m.room >= self.load.cores * 0.6]
        if not roomy:
            return
        roomy.sort(key=lambda machine: (-machine.speed, machine.room))
        ordered = sorted(
            self.waiting.values(), key=lambda each: self.order(each[0], now)
        )
        for traced, tasks in ordered[:LOOK_AHEAD]:
            due = objective(traced.job) - traced.job.submitted_at
            if now > latest_start(traced.job) + (LATE_FACTOR - 1) * due:
                if len(tasks) == len(traced.work):
                    del self.waiting[traced.job.id]
                continue
            self.place_job(traced, tasks, roomy)

    def place_job(
        self, traced: TracedJob, tasks: list[int], roomy: list[Machine]
    ) -> None:
        """Start the tasks of one job that fit; remove the job once all have started."""
        cores = traced.job.steps[0].needs.millicores
        for task in list(tasks):
            machine = next((each for each in roomy if each.room >= cores), None)
            if machine is None:
                return
            machine.room -= cores
            tasks.remove(task)
            seconds = traced.work[task] / machine.speed
            self.clock.at(
                self.clock.now + seconds,
                lambda m=machine: self.end(traced, m, cores),
            )
        self.waiting.pop(traced.job.id, None)

    def end(self, traced: TracedJob, machine: Machine, cores: int) -> None:
        """End one task, free its cores and start queued tasks."""
        machine.room += cores
        self.left[traced.job.id] -= 1
        if not self.left[traced.job.id]:
            self.ended_by_id[traced.job.id] = self.clock.now
        self.place()


BASELINES: dict[str, Order] = {
    "first come": first_come,
    "shortest first": shortest_first,
    "strict priority": strict_priority,
    "ideal by deadline": true_deadline,
    "ideal by worth": true_worth,
}


def summarize(name: str, outcomes: dict[str, Outcome]) -> str:
    """Return a line with the earned share of the worth and the counts by class."""
    total: Counter[str] = Counter()
    for outcome in outcomes.values():
        total["earned"] += outcome.earned
        total["owed"] += outcome.owed
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
        tasks = sum(len(traced.work) for traced in jobs)
        print(f"-- {load.name}: {len(jobs)} jobs, {tasks} tasks")
        product = ProductRun(load, jobs, arguments.seed)
        print(summarize("product", product.run()))
        micros = product.processor_time / max(product.starts, 1) * 1e6
        print(f"   {micros:.0f} microseconds a start, {product.wasted:.1f} s wasted")
        for name, order in BASELINES.items() if not arguments.product_only else ():
            baseline = BaselineRun(load, jobs, arguments.seed, order)
            print(summarize(name, baseline.run()))


if __name__ == "__main__":
    main()
