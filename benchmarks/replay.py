"""Replays a trace through the pure controllers on a virtual clock.

The policy of the daemon is that of the controllers ``backend_servers`` and ``jobs``;
the baselines are small functions in the same harness. Run ``python -m benchmarks.replay
--help`` for the options.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch
from pathlib import Path
from typing import Any

from benchmarks import trace as traces
from benchmarks.trace import Trace, TracedJob, ideal_response
from boragetide import effects
from boragetide.controllers import backend_servers, jobs
from boragetide.messages import (
    AnnounceBackendServer,
    ConfigurationChanged,
    JobAnswer,
    PlacerChanged,
    SubmitJob,
    TaskReport,
    Tick,
)
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.types import (
    BackendServer,
    Claim,
    ClassTarget,
    Configuration,
    ReplyTo,
    Status,
    Submission,
    Task,
    TaskOutcome,
    TaskStatus,
)

CLIENT_ONE_WAY_DELAY = 0.001  # seconds between caller and instance
SERVER_ONE_WAY_DELAY = 0.0005  # seconds between instance and backend server
FAILURE_TIME = 0.001  # seconds; a server that fails every task answers after this
TICK_INTERVAL = 0.1  # seconds
START = 1_000_000.0  # Unix time at which the virtual clock starts


@dataclass(frozen=True, slots=True)
class Result:
    """Result of one job.

    Parameters
    ----------
    response
        Response time, in seconds.
    stretch
        Ratio of the response time to the ideal response time.
    """

    job: TracedJob
    status: Status
    response: float
    stretch: float


@dataclass(slots=True)
class VirtualServer:
    """A backend server on the virtual clock.

    Parameters
    ----------
    queue
        Tasks that a baseline has bound to this server, as (number of the job, work).
    """

    id: str
    slots: int
    speed: float
    fails: bool = False
    running: int = 0
    queue: deque[tuple[int, float]] = field(default_factory=deque)

    def run_time(self, work: float) -> float:
        """Return how long a task of this work occupies a slot, in seconds."""
        return FAILURE_TIME if self.fails else work / self.speed


@dataclass(slots=True)
class Clock:
    """Virtual clock: makes scheduled calls in order of time."""

    now: float = START
    calls: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    numbers: Any = field(default_factory=itertools.count)

    def schedule(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self.calls, (time, next(self.numbers), call))

    def run(self, done: Callable[[], bool]) -> None:
        """Make the scheduled calls in order until ``done`` returns true."""
        while self.calls and not done():
            self.now, _, call = heapq.heappop(self.calls)
            call()


@dataclass(slots=True)
class Replay:
    """State of one run: the trace, the servers, the results and the controllers."""

    trace: Trace
    clock: Clock
    servers_by_id: dict[str, VirtualServer]
    results: list[Result] = field(default_factory=list)
    pool_state: Any = None
    jobs_state: Any = None
    counts: dict[str, float] = field(default_factory=dict)
    failed_tasks: int = 0

    def record_result(self, number: int, status: Status) -> None:
        """Record the end of a job, by its number in the trace."""
        job = self.trace.jobs[number]
        response = self.clock.now - START - job.at + 2 * CLIENT_ONE_WAY_DELAY
        stretch = response / ideal_response(
            job, self.trace.servers, 2 * CLIENT_ONE_WAY_DELAY
        )
        self.results.append(Result(job, status, response, stretch))


def replay(trace: Trace, policy: str, seed: int = 1) -> Replay:
    """Replay a trace until every job has ended.

    Parameters
    ----------
    trace
        Arrivals and servers.
    policy
        ``boragetide`` or a baseline: ``random``, ``round_robin``,
        ``fewest_outstanding``, ``first_come``.
    seed
        Seed of the random choices.
    """
    servers_by_id = {s.id: VirtualServer(s.id, s.slots, s.speed) for s in trace.servers}
    run = Replay(trace, Clock(), servers_by_id)
    for event in trace.events:
        run.clock.schedule(
            START + event["at"], lambda event=event: _apply_event(run, event)
        )
    make_submit = (
        _make_controller_submit if policy == "boragetide" else _make_baseline_submit
    )
    submit = make_submit(run, policy, random.Random(seed))
    for number, job in enumerate(trace.jobs):
        run.clock.schedule(START + job.at, lambda number=number: submit(number))
    run.clock.run(lambda: len(run.results) == len(trace.jobs))
    return run


def _apply_event(run: Replay, event: dict[str, Any]) -> None:
    server = run.servers_by_id[event["server"]]
    server.speed /= event.get("slower", 1.0)
    server.fails = event.get("fails", server.fails)


def _make_controller_submit(
    run: Replay, policy: str, rng: random.Random
) -> Callable[[int], None]:
    settings = parse_settings(EMBEDDED_DEFAULT)
    run.pool_state = backend_servers.BackendServersState(settings, 1, jitter=rng)
    run.jobs_state = jobs.JobsState(settings, 1)
    classes = {
        name: ClassTarget(name, target) for name, target in run.trace.targets.items()
    }
    _deliver(run, "backend_servers", PlacerChanged(settings.id))
    _deliver(run, "backend_servers", ConfigurationChanged(Configuration(1, classes)))
    _tick(run)
    return lambda number: _submit(run, number)


def _tick(run: Replay) -> None:
    now = run.clock.now
    for server in run.servers_by_id.values():
        known = run.pool_state.servers_by_id.get(server.id)
        if known is None or now - known.renewed_at > 2.0:
            record = BackendServer(
                server.id, f"http://{server.id}", "local", "", server.slots, 64, 64, 1
            )
            _deliver(run, "backend_servers", AnnounceBackendServer(record))
    _deliver(run, "backend_servers", Tick())
    run.clock.schedule(now + TICK_INTERVAL, lambda: _tick(run))


def _submit(run: Replay, number: int) -> None:
    job, job_id = run.trace.jobs[number], f"j{number}"
    tasks = tuple(
        Task(position, size, timeout=120.0)
        for position, (_, size) in enumerate(job.tasks)
    )
    message = SubmitJob(
        Submission(job_id, job.class_name, tasks, team=job.team),
        Claim(job_id, "local", 1, run.clock.now),
        reply_to=ReplyTo("local", number),
    )
    _deliver(run, "jobs", message)


def _deliver(run: Replay, controller: str, message: Any) -> None:
    """Apply a message, and the messages that it causes without a delay."""
    pending = deque([(controller, message)])
    while pending:
        controller, message = pending.popleft()
        if controller == "jobs":
            made_effects = jobs.handle(message, run.jobs_state, run.clock.now)
        elif controller == "backend_servers":
            made_effects = backend_servers.handle(
                message, run.pool_state, run.clock.now
            )
        else:
            continue
        for effect in made_effects:
            pending.extend(_execute_effect(effect, run))


@singledispatch
def _execute_effect(effect: Any, run: Replay) -> list[tuple[str, Any]]:
    """Execute an effect; return the messages that it sends without a delay."""
    return []


@_execute_effect.register
def _(effect: effects.Send, run: Replay) -> list[tuple[str, Any]]:
    return [(effect.to.controller, effect.message)]


@_execute_effect.register
def _(effect: effects.Count, run: Replay) -> list[tuple[str, Any]]:
    run.counts[effect.metric] = run.counts.get(effect.metric, 0.0) + effect.value
    return []


@_execute_effect.register
def _(effect: effects.Reply, run: Replay) -> list[tuple[str, Any]]:
    if isinstance(effect.message, JobAnswer):
        run.record_result(effect.to.request, effect.message.answer.status)
    return []


@_execute_effect.register
def _(effect: effects.StartTasks, run: Replay) -> list[tuple[str, Any]]:
    server = run.servers_by_id[effect.server]
    for start in effect.tasks:
        number = int(start.job_id.removeprefix("j"))
        work = run.trace.jobs[number].tasks[start.payload][0]
        seconds = server.run_time(work)
        run.failed_tasks += server.fails
        status = TaskStatus.FAILED if server.fails else TaskStatus.DONE
        report = TaskReport(
            effect.server, effect.lease, start.id, TaskOutcome(status), seconds
        )
        run.clock.schedule(
            run.clock.now + seconds + 2 * SERVER_ONE_WAY_DELAY,
            lambda report=report: _deliver(run, "backend_servers", report),
        )
    return []


def _make_baseline_submit(
    run: Replay, policy: str, rng: random.Random
) -> Callable[[int], None]:
    """Return the submit function of a baseline policy.

    ``first_come`` binds tasks in order of arrival, each when a slot is free; the other
    baselines bind each task to a server on arrival.
    """
    servers = list(run.servers_by_id.values())
    turns = itertools.cycle(servers)
    choose: dict[str, Callable[[], VirtualServer]] = {
        "random": lambda: rng.choice(servers),
        "round_robin": lambda: next(turns),
        "fewest_outstanding": lambda: min(
            servers, key=lambda s: (s.running + len(s.queue), rng.random())
        ),
    }
    shared: deque[tuple[int, float]] = deque()
    remaining_tasks = [len(job.tasks) for job in run.trace.jobs]
    failed: set[int] = set()

    def start(server: VirtualServer, number: int, work: float) -> None:
        server.running += 1
        fails = server.fails
        run.clock.schedule(
            run.clock.now + server.run_time(work) + 2 * SERVER_ONE_WAY_DELAY,
            lambda: end(server, number, fails),
        )

    def end(server: VirtualServer, number: int, fails: bool) -> None:
        server.running -= 1
        queue = shared if policy == "first_come" else server.queue
        if queue:
            start(server, *queue.popleft())
        remaining_tasks[number] -= 1
        if fails:
            failed.add(number)
        if not remaining_tasks[number]:
            run.record_result(
                number, Status.FAILED if number in failed else Status.COMPLETE
            )

    def submit(number: int) -> None:
        for work, _ in run.trace.jobs[number].tasks:
            if policy == "first_come":
                free = [server for server in servers if server.running < server.slots]
                if not free:
                    shared.append((number, work))
                    continue
                start(rng.choice(free), number, work)
                continue
            server = choose[policy]()
            if server.running < server.slots:
                start(server, number, work)
            else:
                server.queue.append((number, work))

    return submit


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of a replay.

    Parameters
    ----------
    mean, p50, p99
        Stretch of the complete jobs: response time over ideal response time.
    complete, refused, failed
        Numbers of jobs.
    """

    mean: float
    p50: float
    p99: float
    complete: int
    refused: int
    failed: int


def summarize(run: Replay, skip: int = 0) -> Summary:
    """Summarize a replay without its first ``skip`` results."""
    results = run.results[skip:]
    stretches = sorted(r.stretch for r in results if r.status is Status.COMPLETE)
    count = len(stretches)
    return Summary(
        mean=statistics.fmean(stretches) if stretches else 0.0,
        p50=stretches[count // 2] if stretches else 0.0,
        p99=stretches[min(count * 99 // 100, count - 1)] if stretches else 0.0,
        complete=count,
        refused=sum(r.status is Status.NOT_RUN for r in results),
        failed=sum(r.status is Status.FAILED for r in results),
    )


BASELINES = ("random", "round_robin", "fewest_outstanding", "first_come")


def main() -> None:
    """Replay trace files and print one line per file and policy."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("traces", nargs="+", type=Path)
    parser.add_argument("--baselines", action="store_true")
    arguments = parser.parse_args()
    for path in arguments.traces:
        trace = traces.read(path)
        for policy in ("boragetide", *(BASELINES if arguments.baselines else ())):
            print(f"{path.stem} {policy} {summarize(replay(trace, policy))}")


if __name__ == "__main__":
    main()
