"""Replay of a load at a leader whose processor is too small for it.

Messages to the leader wait in one queue, as they do in its sockets and in its event
loop, until its processor has handled all earlier ones. The edges send a copy of a
submission after each timeout and cancel the jobs of callers that leave, as the front
ends do.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import cache, partial
from typing import Any

from benchmarks.dispatch_loads import (
    BEGIN,
    ClassOutcome,
    GeneratedJob,
    Load,
    generate,
)
from benchmarks.product_run import ProductRun, execute_effect
from benchmarks.virtual_edges import EdgeRequest, VirtualEdge
from boragetide.controllers.directory import ASK_INTERVAL
from boragetide.durable import JobPhase
from boragetide.effects import Effect, ReadRuns, Reply, Send, StartRun, StopRun
from boragetide.filters.durable import (
    ANSWER_MARGIN,
    LEADER_RETRY_DELAY,
    reply_timeout,
)
from boragetide.messages import (
    Admission,
    AdmissionChanged,
    DispatcherReply,
    FollowLeader,
    LeaderNotice,
    ReplyStatus,
    SubmitDurableJob,
    WithdrawSubmissions,
)
from boragetide.policy.scheduling import LATE_LIMIT_FACTOR, due_at
from boragetide.types import Address, ReplyTo, Seconds

MESSAGE_TIME: Seconds = 0.0003  # processor time of a message that the leader handles
ORDER_TIME: Seconds = 0.0006  # processor time of an order to a backend server
REQUEST_DEADLINE: Seconds = 5.0  # time for which an edge asks the leader
# The processor of the leader is the only bottleneck.
SERVER_COUNT = 160
CALIBRATION_STEPS = 3
CALIBRATION_TIME: Seconds = 8.0
LEADER = "a1"
EDGES = tuple(f"e{number}" for number in range(6))


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of a load: its length and its share of the leader's processor."""

    seconds: Seconds
    processor_load: float


@dataclass(slots=True)
class ServedCounts:
    """Numbers of jobs that were submitted, served in time, and refused."""

    submitted: int = 0
    in_time: int = 0
    refused: int = 0


class BusyLeaderRun(ProductRun):
    """Replay with a virtual processor at the leader and with edges in front of it.

    Parameters
    ----------
    limits_admission
        Whether the edges refuse what the leader does not admit.
    """

    edges = EDGES

    def __init__(
        self,
        load: Load,
        jobs: list[GeneratedJob],
        seed: int,
        *,
        limits_admission: bool = True,
    ):
        super().__init__(load, jobs, seed)
        self.limits_admission = limits_admission
        self.inbox: deque[Any] = deque()
        self.is_busy = False
        self.busy_time: Seconds = 0.0
        self.sent_copies = 0
        self.edge_requests: list[EdgeRequest] = []
        self.edges_by_id = {edge: VirtualEdge(edge) for edge in EDGES}
        self.admitted_share = 1.0

    def run(self) -> dict[str, ClassOutcome]:
        """Replay the load, with edges that know the leader from the beginning."""
        for edge in self.edges_by_id.values():
            edge.receive(self.make_notice(), self.clock.now)
            self.follow_leader(edge)
        return super().run()

    def follow_leader(self, edge: VirtualEdge) -> None:
        """Ask for the leader every `ASK_INTERVAL` seconds, as the directory does."""
        message = FollowLeader(edge.id, version=0)
        self.schedule_delayed(lambda: self.handle(message))
        next_at = self.clock.now + ASK_INTERVAL
        self.clock.schedule(next_at, lambda: self.follow_leader(edge))

    def make_notice(self) -> LeaderNotice:
        """Return the notice of the leader to an edge."""
        return LeaderNotice(
            LEADER,
            term=1,
            leader=LEADER,
            members=(),
            clock=self.clock.now,
            admitted_share=self.admitted_share,
        )

    def decide(self, message: Any) -> list[Effect]:
        """Handle a message; a change of the admitted share is sent to all edges."""
        if isinstance(message, FollowLeader):
            return [Send(Address(message.sender, "directory"), self.make_notice())]
        effects: list[Effect] = []
        for effect in super().decide(message):
            if isinstance(effect, Send) and isinstance(
                effect.message, AdmissionChanged
            ):
                self.admitted_share = effect.message.share
                notice = self.make_notice()
                effects += [Send(Address(id_, "directory"), notice) for id_ in EDGES]
            else:
                effects.append(effect)
        return effects

    def handle(self, message: Any) -> None:
        """Queue a message in front of the leader's processor."""
        self.inbox.append(message)
        if not self.is_busy:
            self.process_next()

    def process_next(self) -> None:
        """Handle the next message; its effects appear when the processor is done."""
        self.is_busy = bool(self.inbox)
        if not self.inbox:
            return
        effects = self.decide(self.inbox.popleft())
        seconds = MESSAGE_TIME + sum(map(compute_processor_time, effects))
        self.busy_time += seconds
        self.clock.schedule(
            self.clock.now + seconds, lambda: self.finish_message(effects)
        )

    def finish_message(self, effects: Iterable[Effect]) -> None:
        """Execute the effects of a message and handle the next one."""
        for effect in effects:
            if isinstance(effect, Send) and effect.to.instance in self.edges_by_id:
                self.schedule_delayed(partial(self.deliver, effect))
            execute_effect(effect, self)
        self.process_next()

    def deliver(self, effect: Send) -> None:
        """Deliver a message of the leader to an edge."""
        edge = self.edges_by_id[effect.to.instance]
        self.execute_at_edge(edge.receive(effect.message, self.clock.now))

    def submit(self, generated: GeneratedJob) -> None:
        """Receive a job at an edge."""
        job, now = generated.job, self.clock.now
        number = len(self.edge_requests)
        allowed = LATE_LIMIT_FACTOR * (due_at(job) - job.submitted_at)
        edge = EDGES[number % len(EDGES)]
        request = EdgeRequest(number, edge, generated, now, now + allowed)
        self.edge_requests.append(request)
        self.clock.schedule(
            request.useful_until, lambda: self.leave_if_waiting(request)
        )
        if self.limits_admission:
            self.execute_at_edge(self.edges_by_id[edge].ask_admission(request, now))
        else:
            self.ask_leader(request)

    def execute_at_edge(self, effects: Iterable[Effect]) -> None:
        """Execute the effects of the directory of an edge."""
        for effect in effects:
            if isinstance(effect, Reply):
                self.apply_admission(effect)
            elif isinstance(effect, Send):
                self.schedule_delayed(partial(self.handle, effect.message))

    def apply_admission(self, effect: Reply) -> None:
        """Send a submission to the leader or refuse it."""
        request = self.edge_requests[effect.to.request]
        if effect.message.admission is Admission.ADMITTED:
            self.ask_leader(request)
            return
        is_refused = effect.message.admission is Admission.REFUSED
        status = ReplyStatus.REFUSED if is_refused else ReplyStatus.UNDECIDED
        request.reply = DispatcherReply(status)
        request.replied_at = self.clock.now

    def ask_leader(self, request: EdgeRequest) -> None:
        """Send a copy of a submission to the leader, and the next after a timeout."""
        now = self.clock.now
        remaining = request.received_at + REQUEST_DEADLINE - ANSWER_MARGIN - now
        if request.reply is not None or request.has_left(now) or remaining <= 0:
            return
        self.sent_copies += 1
        message = SubmitDurableJob(
            job=request.generated.job,
            age=now - request.received_at,
            submitted_at=request.received_at,
            attempt=request.timeouts + 1,
            reply_to=ReplyTo(request.edge, request.number),
        )
        self.schedule_delayed(lambda: self.handle(message))
        timeout = min(remaining, reply_timeout(message) * 2**request.timeouts)
        request.timeouts += 1
        self.clock.schedule(
            now + timeout + LEADER_RETRY_DELAY, lambda: self.ask_leader(request)
        )

    def leave_if_waiting(self, request: EdgeRequest) -> None:
        """Cancel the job of a caller that leaves without an answer."""
        if request.reply is None:
            job_id = request.generated.job.id
            message = WithdrawSubmissions(job_id, request.edge, self.clock.now)
            self.schedule_delayed(lambda: self.handle(message))

    def receive_reply(self, to: ReplyTo, reply: DispatcherReply) -> None:
        """Answer the caller with the first reply of the leader."""
        request = self.edge_requests[to.request]
        if request.reply is not None:
            return
        request.reply, request.replied_at = reply, self.clock.now
        if reply.state == JobPhase.SUCCEEDED:
            self.ended_by_id[request.generated.job.id] = self.clock.now

    def count_served(self, begin: Seconds, end: Seconds) -> ServedCounts:
        """Count the jobs that were submitted in an interval of the load."""
        counts = ServedCounts()
        for request in self.edge_requests:
            if not begin <= request.generated.job.submitted_at - BEGIN < end:
                continue
            counts.submitted += 1
            counts.in_time += self.is_in_time(request)
            counts.refused += request.is_refused
        return counts

    def is_in_time(self, request: EdgeRequest) -> bool:
        """Return whether a job ended in time."""
        generated = request.generated
        ended_at = self.ended_by_id.get(generated.job.id)
        return ended_at is not None and ended_at <= generated.due_at


def compute_processor_time(effect: Effect) -> Seconds:
    """Return the processor time of the leader that an effect takes."""
    if isinstance(effect, StartRun | StopRun | ReadRuns):
        return ORDER_TIME
    return MESSAGE_TIME if isinstance(effect, Send) else 0.0


def generate_phases(phases: Iterable[Phase], seed: int) -> list[GeneratedJob]:
    """Generate the jobs of the phases of a load, in order of arrival."""
    jobs: list[GeneratedJob] = []
    begin: Seconds = 0.0
    for number, phase in enumerate(phases):
        rate = phase.processor_load * find_full_rate()
        load = Load("phase", rate=rate, seconds=phase.seconds)
        for generated in generate(load, seed + number):
            job = replace(
                generated.job,
                id=f"{number}-{generated.job.id}",
                submitted_at=generated.job.submitted_at + begin,
            )
            jobs.append(replace(generated, job=job))
        begin += phase.seconds
    return jobs


@cache
def find_full_rate() -> float:
    """Return the rate of a `Load` that keeps the leader's processor just busy.

    The processor time of a job falls with the rate, because one list of runs then shows
    more ends, so that the rate is approached in steps.
    """
    rate = 0.5
    for _ in range(CALIBRATION_STEPS):
        load = Load("calibration", SERVER_COUNT, rate=rate, seconds=CALIBRATION_TIME)
        jobs = generate(load, seed=0)
        run = BusyLeaderRun(load, jobs, seed=0, limits_admission=False)
        run.run()
        rate *= load.seconds / run.busy_time
    return rate


def play_phases(phases: tuple[Phase, ...], seed: int) -> BusyLeaderRun:
    """Replay the phases of a load and return the completed run."""
    seconds = sum(phase.seconds for phase in phases)
    load = Load("phases", servers=SERVER_COUNT, seconds=seconds)
    run = BusyLeaderRun(load, generate_phases(phases, seed), seed)
    run.run()
    return run
