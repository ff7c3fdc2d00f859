"""Replay of a load through the dispatcher of the product, on a virtual clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch
from typing import Any

from benchmarks.dispatch_loads import BEGIN, ClassOutcome, GeneratedJob, Load
from benchmarks.virtual_servers import (
    Clock,
    VirtualServer,
    make_servers,
    schedule_slowdown,
)
from boragetide.controllers import dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import EndReason, ListedEnd, ListedRun, Resources, ServerReport
from boragetide.effects import Effect, ReadRuns, Reply, Send, StartRun, StopRun
from boragetide.messages import (
    AppendCommands,
    DispatcherReply,
    JobsCommitted,
    LeadershipGained,
    OrderResult,
    ReplyStatus,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.fencing import get_term
from boragetide.settings import EMBEDDED_DEFAULT, DispatchSettings, parse_settings
from boragetide.types import InstanceId, ReplyTo, Seconds

ONE_WAY_DELAY: Seconds = 0.001
COMMIT_DELAY: Seconds = 0.015
TICK_INTERVAL: Seconds = 0.1
ANNOUNCEMENT_INTERVAL: Seconds = 1.5
EDGE = "e"  # instance that submits the jobs
BORN = 900_000_000  # Unix milliseconds


class ProductRun:
    """Replay with the product's dispatcher as the leader and simulated backend servers.

    Orders, answers and submissions each take `ONE_WAY_DELAY` seconds.

    Parameters
    ----------
    dispatch
        Order and placement of the jobs.
    """

    edges: tuple[InstanceId, ...] = (EDGE,)

    def __init__(
        self,
        load: Load,
        jobs: list[GeneratedJob],
        seed: int,
        dispatch: DispatchSettings | None = None,
    ):
        self.load = load
        self.clock = Clock()
        self.generated_by_id = {generated.job.id: generated for generated in jobs}
        self.ended_by_id: dict[str, Seconds] = {}
        self.refused_by_id: dict[str, Seconds] = {}
        self.servers_by_id = {each.id: each for each in make_servers(load)}
        servers = list(self.servers_by_id.values())
        schedule_slowdown(self.clock, servers, load, seed)
        settings = parse_settings(EMBEDDED_DEFAULT)
        settings = replace(settings, dispatch=dispatch or settings.dispatch)
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
        outcomes = {kind.name: ClassOutcome() for kind in self.load.kinds}
        for job_id, generated in self.generated_by_id.items():
            outcomes[generated.kind.name].record(
                generated, self.ended_by_id.get(job_id)
            )
        return outcomes

    def handle(self, message: Any) -> None:
        """Pass a message to the dispatcher and execute the effects that it returns."""
        for effect in self.decide(message):
            execute_effect(effect, self)

    def decide(self, message: Any) -> list[Effect]:
        """Pass a message to the dispatcher and return the effects."""
        start_time = time.perf_counter()
        effects = dispatcher.handle(message, self.state, self.clock.now)
        self.processor_time += time.perf_counter() - start_time
        return effects

    def schedule_delayed(self, action: Callable[[], None]) -> None:
        """Schedule an action after `ONE_WAY_DELAY` seconds."""
        self.clock.schedule(self.clock.now + ONE_WAY_DELAY, action)

    def submit(self, generated: GeneratedJob) -> None:
        """Submit a job to the dispatcher."""
        number = len(self.requests)
        self.requests[number] = generated.job.id
        reply_to = ReplyTo(EDGE, number)
        self.handle(SubmitDurableJob(job=generated.job, age=0.0, reply_to=reply_to))

    def receive_reply(self, to: ReplyTo, reply: DispatcherReply) -> None:
        """Record the end or the refusal of a job."""
        if reply.status is ReplyStatus.ACCEPTED:
            self.ended_by_id[self.requests[to.request]] = self.clock.now
        elif reply.status is ReplyStatus.REFUSED:
            self.refused_by_id[self.requests[to.request]] = self.clock.now

    def append(self, message: AppendCommands) -> None:
        """Commit commands that change no job after `COMMIT_DELAY` seconds."""
        committed = JobsCommitted(tuple(message.commands_by_id), ())
        self.clock.schedule(
            self.clock.now + COMMIT_DELAY, lambda: self.handle(committed)
        )

    def announce(self, sequence: int) -> None:
        """Announce all backend servers every `ANNOUNCEMENT_INTERVAL` seconds."""
        for server in self.servers_by_id.values():
            report = ServerReport(
                id=server.id,
                address=server.id,
                pool="pool",
                zone="a",
                capacity=Resources(server.millicores, 262_144),
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
            term=get_term(order.fence),
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
            term=get_term(order.fence),
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
def _(effect: Send, run: ProductRun) -> None:
    if isinstance(effect.message, AppendCommands):
        run.append(effect.message)


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
    if effect.to is not None and effect.to.instance in run.edges:
        run.schedule_delayed(lambda: run.receive_reply(effect.to, effect.message))
