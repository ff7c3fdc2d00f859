"""A dispatcher under load whose calls to backend servers partly get no answer.

The simulation is driven by events and uses no network. A call without an answer is
carried out late, as in the fault that `docs/design/unanswered-calls.md` describes.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from itertools import count
from typing import Any

from boragetide.commands import JobCommand
from boragetide.controllers import dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.durable import JobPhase, Resources, Step
from boragetide.effects import ReadRuns, Reply, Send, StartRun, StopRun
from boragetide.links.order_call import ORDER_TIMEOUT, READ_MARGIN
from boragetide.links.order_results import make_failed_read, make_run_ordered
from boragetide.log_records import Catalogue
from boragetide.messages import (
    AppendCommands,
    JobsCommitted,
    LeadershipGained,
    OrderResult,
    ReplyStatus,
    ReportServer,
    RunsRead,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.policy.fencing import get_term
from boragetide.policy.scheduling import LATE_LIMIT_FACTOR, due_at
from boragetide.settings import (
    EMBEDDED_DEFAULT,
    DispatchSettings,
    JobOrder,
    parse_settings,
)
from boragetide.tests.durable_fixtures import BEGIN, make_durable_job
from boragetide.types import ReplyTo, Seconds
from properties.simulated_server import SimulatedServer
from properties.unanswered_plays import Fault, Load, Request, classify

TRANSIT: Seconds = 0.0005  # one way between the leader and a backend server
COMMIT_DURATION: Seconds = 0.015
TICK_INTERVAL: Seconds = 0.1
LEASE_CHECK_INTERVAL: Seconds = 0.02
ANNOUNCEMENT_INTERVAL: Seconds = 1.5
AUTHORITY_DURATION: Seconds = 0.4
# Bounds of the delay after which a call without an answer is carried out.
LATE_AFTER: tuple[Seconds, Seconds] = (2.0, 12.0)
# A caller waits this long for a job that is of no use any more.
CALLER_GRACE_PERIOD: Seconds = 0.5


@dataclass
class Pending:
    """A request for a list of runs that a backend server holds until a run ends."""

    order: ReadRuns
    sent_at: Seconds
    answered: bool = False


@dataclass
class Site:
    """One leader, its backend servers and its callers."""

    load: Load = field(default_factory=Load)
    fault: Fault = field(default_factory=Fault)
    seed: int = 1

    def __post_init__(self) -> None:
        self.now = BEGIN
        self.random = random.Random(self.seed)
        self.arrivals = random.Random(self.seed)
        self.events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self.numbers = count()
        self.catalogue = Catalogue()
        settings = replace(
            parse_settings(EMBEDDED_DEFAULT),
            dispatch=DispatchSettings(order=JobOrder.PRIORITY),
        )
        self.state = DispatcherState(settings, int((BEGIN - 60.0) * 1000))
        self.requests: dict[str, Request] = {}
        self.servers = {
            f"s{number}": SimulatedServer(f"s{number}", BEGIN - 500.0)
            for number in range(self.load.servers)
        }
        self.holds_by_server: dict[str, list[Pending]] = {
            name: [] for name in self.servers
        }
        self.messages: Counter[str] = Counter()
        self.ordered_jobs: set[str] = set()
        self.begun_jobs: set[str] = set()
        self.refused_jobs: set[str] = set()
        self.begin_count = 0
        self.starts: list[tuple[Seconds, StartRun]] = []
        self.lost_at = BEGIN + self.fault.begins_after
        self.back_at = self.lost_at + self.fault.duration
        self._begin()

    def _begin(self) -> None:
        self.handle(LeadershipGained(1, (), BEGIN + AUTHORITY_DURATION, BEGIN - 5.0))
        for name in self.servers:
            self._announce(name)
        self._tick()
        self._check_leases()
        self.after(1.0, self._submit)

    def after(self, delay: Seconds, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), action))

    def run(self, seconds: Seconds) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def _tick(self) -> None:
        self.state.authority_until = self.now + AUTHORITY_DURATION
        self.handle(Tick())
        self.after(TICK_INTERVAL, self._tick)

    def _announce(self, name: str) -> None:
        report = self.servers[name].make_report(self.now)
        self.handle(ReportServer(report=report, passed_on=True))
        self.after(ANNOUNCEMENT_INTERVAL, lambda: self._announce(name))

    def _check_leases(self) -> None:
        for server in self.servers.values():
            self._advance(server)
        self.after(LEASE_CHECK_INTERVAL, self._check_leases)

    def _advance(self, server: SimulatedServer) -> None:
        """End what is over at a server, and answer the requests that wait for it."""
        server.advance(self.now)
        if server.ends:
            for pending in self.holds_by_server[server.id]:
                self._answer_hold(pending, server)
            self.holds_by_server[server.id].clear()

    def _submit(self) -> None:
        load = self.load
        estimate = self.arrivals.choice(load.estimates)
        needs = Resources(load.millicores, 64)
        job = make_durable_job(
            f"j{len(self.requests)}",
            Step(self.arrivals.choice(load.widths), needs, estimate),
            best_effort=True,
            submitted_at=self.now,
        )
        self.requests[job.id] = Request(job)
        caller = ReplyTo("e1", len(self.requests) - 1)
        self.handle(SubmitDurableJob(job=job, submitted_at=self.now, reply_to=caller))
        useful = LATE_LIMIT_FACTOR * (due_at(job) - job.submitted_at)
        self.after(useful + CALLER_GRACE_PERIOD, lambda: self._withdraw(job.id))
        pause = self.arrivals.expovariate(load.jobs_per_second)
        self.after(pause, self._submit)

    def _withdraw(self, job_id: str) -> None:
        request = self.requests[job_id]
        if request.outcome:
            return
        request.outcome, request.answered_at = "timeout", self.now
        self.handle(WithdrawSubmissions(job_id, "e1", self.now))

    def handle(self, message: Any) -> None:
        """Let the dispatcher handle a message, and execute the effects."""
        for effect in dispatcher.handle(message, self.state, self.now):
            self.execute(effect)

    @singledispatchmethod
    def execute(self, effect: Any) -> None:
        """Execute an effect; others than these are ignored."""

    @execute.register
    def _(self, effect: Send) -> None:
        if isinstance(effect.message, AppendCommands):
            message = effect.message
            self.after(COMMIT_DURATION, lambda: self._commit(message))

    def _commit(self, message: AppendCommands) -> None:
        changed: set[str] = set()
        for command in message.commands_by_id.values():
            assert isinstance(command, JobCommand)
            changed |= apply_job_command(command, self.catalogue, self.now)
        records = tuple(self.catalogue.jobs_by_id[each] for each in sorted(changed))
        self.handle(JobsCommitted(tuple(message.commands_by_id), records))

    @execute.register
    def _(self, effect: Reply) -> None:
        if effect.to is None or effect.to.instance != "e1":
            return
        request = self.requests[f"j{effect.to.request}"]
        if request.outcome:
            return
        request.answered_at = self.now
        reply = effect.message
        if reply.status is ReplyStatus.REFUSED:
            request.outcome = "refused"
            assert request.job.id not in self.begun_jobs, request.job.id
            self.refused_jobs.add(request.job.id)
        elif reply.status is ReplyStatus.ACCEPTED:
            request.outcome = reply.state
        else:
            request.outcome = "undecided"

    @execute.register(StartRun)
    @execute.register(StopRun)
    @execute.register(ReadRuns)
    def _(self, effect: StartRun | StopRun | ReadRuns) -> None:
        self.messages[type(effect).__name__] += 1
        if isinstance(effect, StartRun):
            self.ordered_jobs.add(effect.task.job_id)
            self.starts.append((self.now, effect))
        sent_at = self.now
        if self._is_lost(effect):
            self.after(
                self.random.uniform(*LATE_AFTER),
                lambda: self._carry_out(effect, sent_at, None),
            )
            self.after(find_timeout(effect), lambda: self._time_out(effect, sent_at))
        else:
            pending = Pending(effect, sent_at)
            self.after(TRANSIT, lambda: self._carry_out(effect, sent_at, pending))

    def _is_lost(self, effect: Any) -> bool:
        if not self.lost_at <= self.now < self.back_at:
            return False
        if effect.server in self.fault.silent:
            return True
        drawn = self.random.random()
        return isinstance(effect, self.fault.kinds) and drawn < self.fault.share

    @singledispatchmethod
    def _time_out(self, effect: Any, sent_at: Seconds) -> None:
        result = make_run_ordered(effect, sent_at, OrderResult.UNANSWERED, None)
        self.handle(result)

    @_time_out.register
    def _(self, effect: ReadRuns, sent_at: Seconds) -> None:
        self.handle(make_failed_read(effect, sent_at))

    @singledispatchmethod
    def _carry_out(
        self, effect: Any, sent_at: Seconds, pending: Pending | None
    ) -> None:
        raise TypeError(effect)

    @_carry_out.register
    def _(self, effect: StartRun, sent_at: Seconds, pending: Pending | None) -> None:
        server = self.servers[effect.server]
        step = self.requests[effect.task.job_id].job.steps[effect.task.step]
        result = server.start(
            effect, self.now, step, lambda: self._check_begin(effect, server)
        )
        if effect.task in server.running:
            ends_at = server.running[effect.task].ends_at
            self.after(max(ends_at - self.now, 0.0), lambda: self._advance(server))
        self._deliver(effect, sent_at, result, server, pending)

    @_carry_out.register
    def _(self, effect: StopRun, sent_at: Seconds, pending: Pending | None) -> None:
        server = self.servers[effect.server]
        result = server.stop(effect, self.now)
        self._deliver(effect, sent_at, result, server, pending)
        self._advance(server)

    @_carry_out.register
    def _(self, effect: ReadRuns, sent_at: Seconds, pending: Pending | None) -> None:
        server = self.servers[effect.server]
        assert server.list_runs(effect, self.now) is not None
        if pending is None:
            return
        if server.ends or not effect.wait:
            self._answer_hold(pending, server)
            return
        self.holds_by_server[server.id].append(pending)
        self.after(effect.wait, lambda: self._answer_hold(pending, server))

    def _check_begin(self, order: StartRun, server: SimulatedServer) -> None:
        """Check that a run begins beside no other one, nor after a refusal."""
        task = order.task
        others = [each.id for each in self.servers.values() if task in each.running]
        assert not others, (task, server.id, others)
        assert task.job_id not in self.refused_jobs, task
        record = self.state.records_by_id.get(task.job_id)
        if record is not None and record.phase is JobPhase.ACTIVE:
            assert order.number not in record.done, task
        self.begun_jobs.add(task.job_id)
        self.begin_count += 1

    def _deliver(
        self,
        effect: StartRun | StopRun,
        sent_at: Seconds,
        result: OrderResult,
        server: SimulatedServer,
        pending: Pending | None,
    ) -> None:
        if pending is None:
            return
        clock = server.read_clock(self.now)
        answer = make_run_ordered(effect, sent_at, result, clock)
        self.after(TRANSIT, lambda: self.handle(answer))

    def _answer_hold(self, pending: Pending, server: SimulatedServer) -> None:
        if pending.answered:
            return
        pending.answered = True
        listed = server.show_runs(self.now)
        server.settled.update((end.task, end.run) for end in server.ends)
        order = pending.order
        answer = RunsRead(
            server=server.id,
            term=get_term(order.fence),
            sent_at=pending.sent_at,
            target_born=order.target_born,
            clock=listed.clock,
            born=listed.born,
            running=listed.running,
            ended=listed.ended,
            waited=order.wait > 0.0,
        )
        self.after(TRANSIT, lambda: self.handle(answer))

    def list_requests(self, begin: Seconds, end: Seconds) -> list[Request]:
        """Return the requests submitted in a time after the beginning."""
        return [
            each
            for each in self.requests.values()
            if begin <= each.job.submitted_at - BEGIN < end
        ]

    def count_outcomes(self, begin: Seconds, end: Seconds) -> Counter[str]:
        """Count what the callers got who submitted in a time after the beginning."""
        counts: Counter[str] = Counter()
        for request in self.list_requests(begin, end):
            counts["all"] += 1
            counts[classify(request)] += 1
            if request.outcome in ("timeout", "undecided"):
                counts["unordered_504"] += request.job.id not in self.ordered_jobs
                counts["unbegun_504"] += request.job.id not in self.begun_jobs
        return counts


def find_timeout(order: StartRun | StopRun | ReadRuns) -> Seconds:
    """Return the time after which an order counts as unanswered."""
    if order.timeout is not None:
        return order.timeout
    return order.wait + READ_MARGIN if isinstance(order, ReadRuns) else ORDER_TIMEOUT
