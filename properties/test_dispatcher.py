"""The dispatcher with backend servers that lose responses, lag, crash or are cut off.

The oracle is the state of the backend servers: which runs are in progress there, and
which ends were acknowledged. Each new leader has a higher fence, as in the replicated
log.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from boragetide.commands import JobCommand
from boragetide.controllers import dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.runs import READ_MAX_WAIT
from boragetide.controllers.server_health import MAX_FAILURE_COOLDOWN
from boragetide.controllers.server_state import RunPhase
from boragetide.durable import JobPhase, Resources, Step, TaskRef, UnansweredStart
from boragetide.effects import ReadRuns, Reply, Send, StartRun, StopRun
from boragetide.log_records import Catalogue
from boragetide.messages import (
    AppendCommands,
    CancelDurableJob,
    ConfigurationChanged,
    ConfigurationConfirmed,
    JobsCommitted,
    LeadershipGained,
    LeadershipLost,
    OrderResult,
    ReadFailed,
    RemoveServer,
    ReplyStatus,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
    Tick,
    WithdrawSubmissions,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.policy.fencing import get_term
from boragetide.policy.reservations import Reservation
from boragetide.policy.zones import MAX_VIEW_AGE, RETURN_SPREAD
from boragetide.settings import (
    EMBEDDED_DEFAULT,
    DispatchSettings,
    PlacementRule,
    parse_settings,
)
from boragetide.tests.durable_fixtures import BEGIN, make_durable_job
from boragetide.types import Configuration, ReplyTo, Seconds
from properties.simulated_server import CAPACITY, FAILING_SPEC, SimulatedServer

STEP: Seconds = 0.05
AUTHORITY_DURATION: Seconds = 0.4
ORDER_TIMEOUT: Seconds = 0.2
# Delays of which only the first ends before the lease of the order lapses.
DELAYS_BY_FATE: dict[str, Seconds] = {
    "delayed": 0.5,
    "late": 2.0,
    "very_late": 5.0,
    "latest": 11.9,
}
# Time until a busy leader handles an answer that has arrived.
HANDLING_DELAY: Seconds = 0.6
FATES = (
    *["carried_out"] * 3,
    *("answer_lost", "lost", "handled_late", "failure_handled_late"),
    *DELAYS_BY_FATE,
)
LATE_FATES = ("answer_lost", "late", "very_late", "latest")
WORK_DURATION: Seconds = 0.3
LONG_WORK_DURATION: Seconds = 1.5  # longer than a lease
START_FATES = ("carried_out", "answer_lost", "handled_late", *DELAYS_BY_FATE)
# Time after a cut until the leader has recorded the starts without an answer.
SILENCE_DURATION: Seconds = 0.7
CANCELLING_EDGE = "e2"
EXPIRED_AGE: Seconds = 20.0  # age at which a job is of no use to its caller any more
SERVERS = ("s1", "s2", "s3")
MAX_SERVERS = 6
ZONES = ("z1", "z2")  # of the servers in turn
# Change of `born` from one process of a backend server to the next, in milliseconds.
BORN_CHANGES = (1, 1, -2000)
CLOCK_RATES = (1.0, 0.98, 1.0)
# Time for which the first processes have run when a test begins.
UPTIMES: tuple[Seconds, ...] = (500.0, 300.0, 20.0)
ANNOUNCEMENT_INTERVAL: Seconds = 1.5
# Time after the last fault until the leases of lost runs have lapsed, a new leader has
# taken over and no backend server is passed over any more.
SETTLING_DURATION: Seconds = 6.0
CALM_DURATION: Seconds = 12.0
NEEDS = Resources(27_000, 64)
SMALL_CAPACITY = Resources(30_000, 100_000)
# A capacity that has shrunk counts after this time.
SHRINKING_COUNTS_AFTER: Seconds = 4.5
SLOTS = len(SERVERS) * (CAPACITY.millicores // NEEDS.millicores)
# Each failing job may put backend servers into a cooldown for some time.
MAX_FAILING_JOBS = 3
FAILING_ATTEMPTS = 2
EXAMPLES = 60
PROFILE = settings(
    max_examples=max(EXAMPLES, settings.default.max_examples // 4),
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)


def find_zone(server_id: str) -> str:
    """Return the zone of a server, of which each has some."""
    return ZONES[int(server_id[1:]) % len(ZONES)]


class Dispatch(RuleBasedStateMachine):
    """One leader at a time; delayed orders of earlier leaders still arrive.

    The next leader is either the same process or the standby. The standby knows the
    backend servers that announced themselves since its process started.
    """

    best_effort = False
    placement = PlacementRule.FIRST_FIT

    def __init__(self) -> None:
        super().__init__()
        self.now = BEGIN
        self.configuration = Configuration()
        self.evacuated_at_by_zone: dict[str, Seconds] = {}
        self.view_is_cut = False
        self.term = 0
        self.catalogue = Catalogue()
        self.backends = {
            name: SimulatedServer(
                name, self.now - uptime, clock_rate=rate, zone=find_zone(name)
            )
            for name, uptime, rate in zip(SERVERS, UPTIMES, CLOCK_RATES, strict=True)
        }
        self.state = self.make_state(age=10.0)
        self.standby = self.make_state(age=10.0)
        self.next_announcement = self.now + ANNOUNCEMENT_INTERVAL
        self.scheduled: list[tuple[Seconds, Callable[[], None]]] = []
        self.appended: list[AppendCommands] = []
        self.jobs: dict[str, Any] = {}
        self.cancelled: set[str] = set()
        self.cancellations: list[str] = []
        self.acknowledged_cancellations: set[str] = set()
        self.refused: set[str] = set()
        self.replies: dict[int, str] = {}
        self.standby_is_deaf = False
        self.recorded_starts: set[UnansweredStart] = set()
        self.started_at: set[str] = set()
        self.failing: set[str] = set()
        self.start_times_by_task: dict[TaskRef, list[Seconds]] = defaultdict(list)
        self.start_leader(predecessor_until=self.now)
        self.run_for(1.0)

    def make_state(self, age: Seconds) -> DispatcherState:
        """Return the state of a process that started ``age`` seconds ago."""
        started_at = int((self.now - age) * 1000)
        settings = replace(
            parse_settings(EMBEDDED_DEFAULT),
            evacuation=True,
            dispatch=DispatchSettings(placement=self.placement),
        )
        made = DispatcherState(settings, started_at, members=("local", "standby"))
        dispatcher.handle(ConfigurationChanged(self.configuration), made, self.now)
        return made

    def start_leader(self, predecessor_until: Seconds) -> None:
        """Start the next leader.

        The predecessor gave its last orders at ``predecessor_until``.
        """
        self.term += 1
        records = tuple(self.catalogue.jobs_by_id.values())
        self.appended.clear()
        self.recorded_starts.update(self.catalogue.unanswered_starts)
        gained = LeadershipGained(
            self.term,
            records,
            self.now + AUTHORITY_DURATION,
            predecessor_until,
            server_born_by_id=dict(self.catalogue.server_born_by_id),
            unanswered_starts=self.catalogue.unanswered_starts,
            cancelled_at_by_job=dict(self.catalogue.cancelled_at_by_job),
        )
        if not self.standby_is_deaf:
            self.announce()
        self.handle(gained)

    def announce(self) -> None:
        """Announce the backend servers to the leader and the standby."""
        for report in self.make_reports():
            self.deliver_report(report, to_leader=True)

    def pass_on(self, report: ReportServer) -> None:
        """Pass an announcement on to the standby; it may be lost on the way."""
        if not self.standby_is_deaf:
            dispatcher.handle(report, self.standby, self.now)

    def make_reports(self) -> list[ReportServer]:
        """Return the next announcement of each backend server that can send one."""
        return [
            ReportServer(report=backend.make_report(self.now), passed_on=True)
            for backend in self.backends.values()
            if backend.is_up(self.now) and not (backend.cut or backend.left)
        ]

    def deliver_report(self, report: ReportServer, *, to_leader: bool) -> None:
        """Deliver an announcement, late if a rule says so.

        One that makes a backend server known is in time; `deafen_standby` loses those
        that are passed on.
        """

        def arrive() -> None:
            if to_leader:
                self.handle(report)
            self.pass_on(report)

        delays = self.announcement_delays
        self.announcement_delays = delays[1:] + delays[:1]
        states = (self.state, self.standby) if to_leader else (self.standby,)
        server_id = report.report.id
        if delays[0] and all(server_id in each.servers_by_id for each in states):
            self.scheduled.append((self.now + delays[0], arrive))
        else:
            arrive()

    announcement_delays: tuple[Seconds, ...] = (0.0,)

    def inform_standby(self) -> None:
        """Announce the backend servers to the standby and advance its clock."""
        if self.now >= self.next_announcement:
            self.next_announcement += ANNOUNCEMENT_INTERVAL
            for report in self.make_reports():
                self.deliver_report(report, to_leader=False)
        dispatcher.handle(Tick(), self.standby, self.now)

    def handle(self, message: Any) -> None:
        for effect in dispatcher.handle(message, self.state, self.now):
            self.execute_effect(effect)

    @singledispatchmethod
    def execute_effect(self, effect: Any) -> None:
        """Execute an effect; log lines and metrics are ignored here."""

    @execute_effect.register
    def _(self, effect: Send) -> None:
        if isinstance(effect.message, AppendCommands):
            self.appended.append(effect.message)
        elif isinstance(effect.message, ReportServer):
            self.pass_on(effect.message)

    @execute_effect.register
    def _(self, effect: Reply) -> None:
        if effect.to is None or effect.to.instance != CANCELLING_EDGE:
            return
        if effect.message.status in (ReplyStatus.ACCEPTED, ReplyStatus.NOT_FOUND):
            job_id = self.cancellations[effect.to.request]
            self.acknowledged_cancellations.add(job_id)

    @execute_effect.register
    def _(self, effect: StartRun) -> None:
        assert effect.task.job_id not in self.acknowledged_cancellations, effect
        assert effect.task.job_id not in self.refused, effect
        self.send_order(effect, started=True)

    @execute_effect.register
    def _(self, effect: StopRun) -> None:
        self.send_order(effect, started=False)

    def send_order(self, order: StartRun | StopRun, *, started: bool) -> None:
        """Execute an order at once, late or never; schedule its answer or time-out."""
        backend = self.backends[order.server]
        if started:
            self.started_at.add(order.server)
            self.check_zone(backend)
        fate = self.next_fate(backend)
        result = OrderResult.UNANSWERED
        if fate.startswith("misdirected"):
            result = OrderResult.OTHER_LIFE
        elif fate in ("carried_out", "answer_lost", "handled_late"):
            done = self.execute_order(order, backend, self.now)
            result = result if fate == "answer_lost" else done
        elif fate in DELAYS_BY_FATE:
            self.execute_late(order, backend, self.now + DELAYS_BY_FATE[fate])
        answered = result not in (OrderResult.UNANSWERED, OrderResult.OTHER_LIFE)
        answer = RunOrdered(
            server=order.server,
            term=get_term(order.fence),
            job_id=order.task.job_id,
            task=order.number,
            run=order.run,
            result=result,
            started=started,
            clock=backend.read_clock(self.now) if answered else None,
            sent_at=self.now,
            target_born=order.target_born,
        )
        pause = ORDER_TIMEOUT if result is OrderResult.UNANSWERED else 0.0
        self.schedule_answer(answer, self.now + pause, fate)

    def check_zone(self, backend: SimulatedServer) -> None:
        """Check that nothing is ordered in an evacuated zone after the bound."""
        evacuated_at = self.evacuated_at_by_zone.get(backend.zone)
        if evacuated_at is not None:
            assert self.now <= evacuated_at + MAX_VIEW_AGE, backend.id

    def inform_of_zones(self) -> None:
        """Deliver the newest zones, and the confirmation that they are the newest."""
        newest = self.configuration
        confirmed = ConfigurationConfirmed(newest.version, self.now)
        for message in (ConfigurationChanged(newest), confirmed):
            dispatcher.handle(message, self.standby, self.now)
            if not self.view_is_cut:
                self.handle(message)

    def schedule_answer(self, answer: Any, arrives_at: Seconds, fate: str) -> None:
        """Schedule the handling of an answer or of a time-out by the leader."""
        if fate.endswith("handled_late"):
            arrives_at += HANDLING_DELAY
        self.scheduled.append((arrives_at, lambda: self.handle(answer)))

    def execute_late(
        self, order: Any, backend: SimulatedServer, arrives_at: Seconds
    ) -> None:
        """Execute an order later, perhaps by the next process of its server."""
        born, sent_at = backend.born, self.now

        def arrive() -> None:
            if not backend.is_up(self.now):
                return
            if isinstance(order, ReadRuns):
                backend.list_runs(order, self.now)
            elif backend.born == born or self.may_reach_next_process(order, backend):
                self.execute_order(order, backend, sent_at)

        self.scheduled.append((arrives_at, arrive))

    def may_reach_next_process(
        self, order: StartRun | StopRun, backend: SimulatedServer
    ) -> bool:
        """Return whether a later process may carry out an order.

        No leader can avoid that a process which it has not called yet begins a run that
        an earlier process has ended, stopped or refused, or that an earlier leader has
        ordered without a record of it in the log.
        """
        if isinstance(order, StopRun):
            return True
        start = UnansweredStart(order.task.job_id, order.number, order.server)
        is_current = get_term(order.fence) == self.term
        is_known = is_current or start in self.recorded_starts
        return is_known and not backend.has_settled(order)

    def next_fate(self, backend: SimulatedServer) -> str:
        if backend.cut:
            return "lost"
        fate, *others = self.fates
        self.fates = (*others, fate)
        if backend.is_up(self.now):
            return fate
        late = "_handled_late" if fate.endswith("handled_late") else ""
        return ("misdirected" if backend.address_reused else "failure") + late

    fates: tuple[str, ...] = ("carried_out",)

    def execute_order(
        self, order: StartRun | StopRun, backend: SimulatedServer, sent_at: Seconds
    ) -> OrderResult:
        """Carry out an order that the leader has sent at ``sent_at``."""
        if isinstance(order, StopRun):
            return backend.stop(order, self.now)
        step = self.jobs[order.task.job_id].steps[order.task.step]
        result = backend.start(
            order,
            self.now,
            step,
            lambda: self.check_start(order, backend),
        )
        if result is OrderResult.NO_ROOM:
            assert sent_at < backend.shrunk_at + SHRINKING_COUNTS_AFTER, order
        return result

    def check_start(self, order: StartRun, backend: SimulatedServer) -> None:
        others = [b for b in self.backends.values() if order.task in b.running]
        assert not others, (order.task, backend.id, [b.id for b in others])
        if not self.best_effort:
            noted_by = [
                b for b in self.backends.values() if order.task in b.acknowledged
            ]
            assert not noted_by, order.task
        self.start_times_by_task[order.task].append(self.now)
        step = self.jobs[order.task.job_id].steps[order.task.step]
        for position in step.depends_on:
            done = self.count_done(order.task.job_id, position)
            assert done == self.jobs[order.task.job_id].steps[position].count

    def count_done(self, job_id: str, position: int) -> int:
        job = self.jobs[job_id]
        first = sum(step.count for step in job.steps[:position])
        record = self.state.records_by_id[job_id]
        numbers = range(first, first + job.steps[position].count)
        return len(record.done & set(numbers))

    @execute_effect.register
    def _(self, effect: ReadRuns) -> None:
        backend = self.backends[effect.server]
        fate = self.next_fate(backend)
        misdirected = fate.startswith("misdirected")
        message: Any = ReadFailed(
            effect.server,
            get_term(effect.fence),
            other_life=misdirected,
            target_born=effect.target_born,
        )
        if fate in ("carried_out", "answer_lost", "handled_late"):
            listed = self.list_runs(effect, backend)
            message = message if fate == "answer_lost" else listed
        elif fate in DELAYS_BY_FATE:
            self.execute_late(effect, backend, self.now + DELAYS_BY_FATE[fate])
        is_answer = isinstance(message, RunsRead)
        pause = effect.wait if is_answer else 0.0 if misdirected else ORDER_TIMEOUT
        self.schedule_answer(message, self.now + max(pause, STEP), fate)

    def list_runs(self, order: ReadRuns, backend: SimulatedServer) -> RunsRead:
        listed = backend.list_runs(order, self.now)
        if listed is None:
            return RunsRead(
                order.server,
                get_term(order.fence),
                self.now,
                fenced=True,
                target_born=order.target_born,
            )
        return RunsRead(
            server=order.server,
            term=get_term(order.fence),
            sent_at=self.now,
            target_born=order.target_born,
            clock=listed.clock,
            born=listed.born,
            running=listed.running,
            ended=listed.ended,
        )

    def run_for(self, seconds: Seconds) -> None:
        """Advance the clock: answers arrive, leases lapse, commands are committed."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for backend in self.backends.values():
                backend.advance(self.now)
            due = [each for each in self.scheduled if each[0] <= self.now]
            self.scheduled = [each for each in self.scheduled if each[0] > self.now]
            for _, action in due:
                action()
            self.commit()
            self.state.authority_until = self.now + AUTHORITY_DURATION
            self.inform_of_zones()
            self.handle(Tick())
            self.inform_standby()

    def commit(self) -> None:
        """Commit the appended commands of this term and notify the dispatcher."""
        appended, self.appended = self.appended, []
        for message in appended:
            if message.term != self.term:
                continue
            changed: set[str] = set()
            for command in message.commands_by_id.values():
                assert isinstance(command, JobCommand)
                changed |= apply_job_command(command, self.catalogue, self.now)
            known = self.catalogue.jobs_by_id
            records = tuple(known[job_id] for job_id in sorted(changed))
            self.handle(JobsCommitted(tuple(message.commands_by_id), records))

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.5, 1.5]))
    def pass_time(self, seconds: float) -> None:
        self.run_for(seconds)

    @rule(
        width=st.integers(1, 4),
        chained=st.booleans(),
        work=st.sampled_from([WORK_DURATION, LONG_WORK_DURATION]),
    )
    def submit(self, width: int, chained: bool, work: Seconds = WORK_DURATION) -> None:
        first = Step(width, NEEDS, work)
        steps = (first, Step(1, NEEDS, work, depends_on=(0,)))
        job = make_durable_job(
            f"j{len(self.jobs)}",
            *(steps if chained else (first,)),
            attempts=3,
            best_effort=self.best_effort,
            submitted_at=self.now,
        )
        self.jobs[job.id] = job
        self.send_submission(job)

    @precondition(lambda self: len(self.failing) < MAX_FAILING_JOBS)
    @rule(
        width=st.integers(1, 2),
        seconds=st.sampled_from([0.6, 1.1, 1.2, 1.3]),
        same=st.booleans(),
    )
    def change_leader_during_attempts(
        self, width: int, seconds: Seconds, same: bool
    ) -> None:
        """Replace the leader while the tasks of a job fail."""
        job = make_durable_job(
            f"j{len(self.jobs)}",
            Step(width, NEEDS, WORK_DURATION),
            attempts=FAILING_ATTEMPTS,
            best_effort=self.best_effort,
            submitted_at=self.now,
        )
        self.jobs[job.id] = replace(job, spec=FAILING_SPEC)
        self.failing.add(job.id)
        self.send_submission(self.jobs[job.id])
        self.run_for(seconds)
        self.change_leader(same, seconds=0.0)

    def send_submission(self, job: Any) -> None:
        request = len(self.replies)
        self.replies[request] = job.id
        self.handle(
            SubmitDurableJob(
                job=job, submitted_at=self.now, reply_to=ReplyTo("e1", request)
            )
        )

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 99))
    def cancel(self, number: int) -> None:
        job_id = f"j{number % len(self.jobs)}"
        self.cancelled.add(job_id)
        reply_to = ReplyTo(CANCELLING_EDGE, len(self.cancellations))
        self.cancellations.append(job_id)
        self.handle(CancelDurableJob(id=job_id, reply_to=reply_to))

    @rule(fates=st.lists(st.sampled_from(FATES), min_size=1, max_size=6))
    def disturb(self, fates: list[str]) -> None:
        """Set the fates of the next orders and of the next requests for the runs."""
        self.fates = tuple(fates)

    @rule()
    def calm(self) -> None:
        self.fates = ("carried_out",)

    @rule(number=st.integers(0, 2), cut=st.booleans())
    def cut(self, number: int, cut: bool) -> None:
        self.backends[SERVERS[number]].cut = cut

    @rule(number=st.integers(0, 2), hangs=st.booleans())
    def hang(self, number: int, hangs: bool) -> None:
        self.backends[SERVERS[number]].hangs = hangs

    @rule(
        number=st.integers(0, 2),
        heard=st.booleans(),
        downtime=st.sampled_from([0.0, 0.0, 0.3, 1.5, 4.0]),
        slow_clock=st.booleans(),
        address_reused=st.booleans(),
        born_change=st.sampled_from(BORN_CHANGES),
    )
    def crash(
        self,
        number: int,
        heard: bool,
        downtime: Seconds = 0.0,
        slow_clock: bool = False,
        address_reused: bool = False,
        born_change: int = 1,
    ) -> None:
        """Replace a process; the time of day may have been set back in the meantime."""
        self.backends[SERVERS[number]].restart(
            self.now,
            downtime,
            slow_clock=slow_clock,
            address_reused=address_reused,
            born_change=born_change,
        )
        if heard:
            self.announce()

    @precondition(lambda self: len(self.backends) < MAX_SERVERS)
    @rule(hangs=st.booleans())
    def join(self, hangs: bool) -> None:
        """Add a backend server, which announces itself at the leader."""
        name = f"s{len(self.backends) + 1}"
        self.backends[name] = SimulatedServer(
            name, self.now, hangs=hangs, zone=find_zone(name)
        )
        self.announce()

    @precondition(lambda self: len(self.backends) < MAX_SERVERS)
    @rule(seconds=st.sampled_from([0.05, 0.2]))
    def lose_leader_after_join(self, seconds: float) -> None:
        """Replace a leader that uses a backend server that its standby missed."""
        self.standby_is_deaf = True
        self.join(hangs=True)
        self.run_for(seconds)
        for _ in range(len(self.backends) // 2):
            self.submit(width=4, chained=False)
        self.run_for(seconds)
        self.change_leader(same=False, seconds=0.0)
        self.standby_is_deaf = False

    @rule(number=st.integers(0, 2), standby_hears=st.booleans())
    def leave(self, number: int, standby_hears: bool) -> None:
        """Let a process say that it leaves; it goes on with its runs until a crash."""
        backend = self.backends[SERVERS[number]]
        if not backend.is_up(self.now):
            return
        backend.left = True
        message = RemoveServer(backend.id, backend.born, passed_on=True)
        self.handle(message)
        if standby_hears:
            dispatcher.handle(message, self.standby, self.now)

    @rule(deaf=st.booleans())
    def deafen_standby(self, deaf: bool) -> None:
        """Lose the announcements that are passed on to the standby, or no longer."""
        self.standby_is_deaf = deaf

    @rule(
        fates=st.lists(st.sampled_from(START_FATES), min_size=1, max_size=4),
        width=st.integers(1, 4),
        work=st.sampled_from([WORK_DURATION, LONG_WORK_DURATION]),
        number=st.integers(0, 2),
        downtime=st.sampled_from([0.0, 0.3, 1.5]),
        seconds=st.sampled_from([0.0, 0.1, 0.3]),
    )
    def crash_during_starts(
        self,
        fates: list[str],
        width: int,
        work: Seconds,
        number: int,
        downtime: Seconds,
        seconds: Seconds,
    ) -> None:
        """Crash a backend server that was sent a start shortly before."""
        self.fates = tuple(fates)
        self.started_at.clear()
        self.submit(width, False, work)
        self.run_for(seconds)
        candidates = sorted(self.started_at) or SERVERS
        server = self.backends[candidates[number % len(candidates)]]
        server.restart(self.now, downtime)

    @rule(width=st.integers(1, 4), same=st.booleans())
    def lose_leader_after_late_starts(self, width: int, same: bool) -> None:
        """Replace a leader while silent servers restart and its starts are late."""
        self.fates = ("late",)
        self.started_at.clear()
        self.submit(width, False, LONG_WORK_DURATION)
        self.run_for(STEP)
        servers = [self.backends[name] for name in sorted(self.started_at)]
        for server in servers:
            server.cut = True
        self.fates = ("carried_out",)
        self.run_for(SILENCE_DURATION)
        for server in servers:
            server.restart(self.now)
        self.change_leader(same, seconds=0.0)
        self.run_for(DELAYS_BY_FATE["late"])

    @rule(
        fates=st.lists(st.sampled_from(LATE_FATES), min_size=1, max_size=3),
        work=st.sampled_from([WORK_DURATION, LONG_WORK_DURATION]),
        number=st.integers(0, 2),
        born_change=st.sampled_from(BORN_CHANGES),
        seconds=st.sampled_from([0.5, 1.5]),
        is_cut=st.booleans(),
        new_leader=st.sampled_from(["", "", "same", "standby"]),
    )
    def restart_behind_cut(
        self,
        fates: list[str],
        work: Seconds,
        number: int,
        born_change: int,
        seconds: Seconds,
        is_cut: bool,
        new_leader: str,
    ) -> None:
        """Restart a backend server that carries out orders late and is not reached.

        The jobs go on, or are submitted again, while its orders are under way.
        """
        self.fates = tuple(fates)
        self.started_at.clear()
        self.submit(4, False, work)
        self.run_for(STEP)
        self.fates = ("carried_out",)
        candidates = sorted(self.started_at) or SERVERS
        server = self.backends[candidates[number % len(candidates)]]
        server.cut = is_cut
        self.run_for(seconds)
        server.restart(self.now, born_change=born_change)
        if new_leader:
            self.change_leader(same=new_leader == "same", seconds=0.3)
        for _ in range(8):
            self.run_for(1.5)
            self.return_callers()

    def return_callers(self) -> None:
        """Let the callers of best-effort jobs that have no answer submit them again."""

    @rule(
        delays=st.lists(st.sampled_from([0.0, 0.3, 1.0]), min_size=1, max_size=4),
    )
    def delay_announcements(self, delays: list[Seconds]) -> None:
        """Set the delays of the next announcements, which may overtake each other."""
        self.announcement_delays = tuple(delays)

    @rule(number=st.integers(0, 2), small=st.booleans())
    def resize(self, number: int, small: bool) -> None:
        """Change a capacity while the leader has work and hears no announcement."""
        backend = self.backends[SERVERS[number]]
        if small and backend.capacity == CAPACITY:
            backend.shrunk_at = self.now
        backend.capacity = SMALL_CAPACITY if small else CAPACITY
        for _ in range(10):
            self.submit(4, chained=False)
            self.run_for(0.5)

    @rule(
        number=st.integers(0, 1),
        evacuates=st.booleans(),
        is_cut=st.booleans(),
        seconds=st.sampled_from([0.0, 0.5, MAX_VIEW_AGE + STEP]),
    )
    def change_zone(
        self, number: int, evacuates: bool, is_cut: bool, seconds: Seconds
    ) -> None:
        """Evacuate a zone, or return it; the leader may learn of it later or never."""
        zone = ZONES[number]
        self.view_is_cut = is_cut
        known = self.configuration
        zones = known.evacuated_zones
        self.configuration = replace(
            known,
            version=known.version + 1,
            evacuated_zones=zones | {zone} if evacuates else zones - {zone},
            evacuation_used=True,
        )
        if evacuates:
            self.evacuated_at_by_zone.setdefault(zone, self.now)
        else:
            self.evacuated_at_by_zone.pop(zone, None)
        self.submit(4, chained=False)
        self.run_with_announcements(seconds)
        self.submit(4, chained=False)
        self.run_for(STEP)

    @rule()
    def heartbeat(self) -> None:
        self.announce()

    @rule(same=st.booleans(), seconds=st.sampled_from([0.0, 0.3, 1.0]))
    def change_leader(self, same: bool, seconds: float) -> None:
        """Replace the leader; best-effort jobs are resubmitted to the next at once.

        The instance that does so has not heard of cancellations at other instances.
        """
        if same:
            self.handle(LeadershipLost())
        else:
            self.state, self.standby = self.standby, self.make_state(age=0.0)
        stopped_at = self.now
        self.now += seconds
        self.start_leader(predecessor_until=stopped_at)
        for job in list(self.jobs.values()):
            if self.best_effort:
                self.send_submission(job)

    @rule()
    def restart_standby(self) -> None:
        """Replace the standby by a process that knows no backend server yet."""
        self.standby = self.make_state(age=0.0)

    @invariant()
    def no_task_runs_twice(self) -> None:
        """Check all backend servers, including those that are cut off."""
        tasks = [task for each in self.backends.values() for task in each.running]
        assert len(tasks) == len(set(tasks))

    @invariant()
    def resources_in_use_are_those_of_the_runs(self) -> None:
        """Check the sum that each change of a run updates."""
        for server in self.state.servers_by_id.values():
            used = Resources()
            for run in server.runs_by_task.values():
                if run.phase is not RunPhase.ENDED:
                    used = used.plus(run.needs)
            assert server.used == used

    @invariant()
    def no_task_exceeds_its_attempts(self) -> None:
        """Check that nothing starts after the last attempt that was taken note of."""
        if self.best_effort:
            return
        failures: dict[TaskRef, list[Seconds]] = defaultdict(list)
        for backend in self.backends.values():
            for task, ended_at in backend.noted_failures:
                failures[task].append(ended_at)
        for task, times in failures.items():
            attempts = self.jobs[task.job_id].starts.attempts
            for last_ended_at in sorted(times)[attempts - 1 : attempts]:
                assert max(self.start_times_by_task[task]) <= last_ended_at, task

    @invariant()
    def finished_jobs_have_all_ends(self) -> None:
        for record in self.state.records_by_id.values():
            if record.phase is JobPhase.SUCCEEDED:
                assert len(record.done) == record.job.task_count

    def teardown(self) -> None:
        """Repair all faults; accepted jobs that were not cancelled must be finished."""
        self.fates = ("carried_out",)
        self.announcement_delays = (0.0,)
        for backend in self.backends.values():
            backend.cut = backend.hangs = False
            if backend.left:
                backend.restart(self.now)
            backend.start_process(self.now)
            backend.capacity = CAPACITY
        self.standby_is_deaf = False
        self.return_zones()
        repaired_at = self.now
        self.run_with_announcements(SETTLING_DURATION + self.compute_work_duration())
        self.run_failing_jobs()
        if not self.best_effort:
            for record in self.state.records_by_id.values():
                assert record.phase is not JobPhase.ACTIVE, record.job.id
        self.no_task_exceeds_its_attempts()
        self.run_with_announcements(CALM_DURATION - (self.now - repaired_at))

    def return_zones(self) -> None:
        """Return all zones, and wait until all servers are in service."""
        self.view_is_cut = False
        if not self.configuration.evacuation_used:
            return
        self.configuration = replace(
            self.configuration,
            version=self.configuration.version + 1,
            evacuated_zones=frozenset(),
        )
        self.evacuated_at_by_zone.clear()
        self.run_with_announcements(RETURN_SPREAD)

    def run_failing_jobs(self) -> None:
        """Advance the clock until the failing jobs have ended, within a bound.

        Each failed attempt may put a backend server into a cooldown.
        """
        runs = FAILING_ATTEMPTS * sum(
            self.jobs[job_id].task_count for job_id in self.failing
        )
        end = self.now + runs * MAX_FAILURE_COOLDOWN
        while self.now < end and any(
            record.phase is JobPhase.ACTIVE
            for record in self.state.records_by_id.values()
        ):
            self.run_with_announcements(1.0)

    def compute_work_duration(self) -> Seconds:
        """Return how long the tasks that are not done occupy all backend servers.

        A list shows the runs at its request and arrives up to `READ_MAX_WAIT` later. An
        end that is too late for one list is therefore known after twice that time.
        """
        tasks_left_by_job = {
            job_id: job.task_count - self.count_done_tasks(job_id)
            for job_id, job in self.jobs.items()
            if job_id not in self.cancelled
        }
        longest = max(
            (
                self.jobs[job_id].steps[0].estimate
                for job_id, left in tasks_left_by_job.items()
                if left
            ),
            default=WORK_DURATION,
        )
        rounds = math.ceil(sum(tasks_left_by_job.values()) / SLOTS)
        return rounds * (longest + 2 * READ_MAX_WAIT)

    def count_done_tasks(self, job_id: str) -> int:
        record = self.catalogue.jobs_by_id.get(job_id)
        return 0 if record is None else len(record.done)

    def run_with_announcements(self, seconds: Seconds) -> None:
        """Advance the clock while the backend servers announce themselves."""
        end = self.now + seconds
        while self.now < end:
            self.announce()
            self.run_for(min(ANNOUNCEMENT_INTERVAL, end - self.now))


class BestEffortDispatch(Dispatch):
    """Jobs whose state is kept only in the memory of the leader."""

    best_effort = True

    @rule()
    def deliver_copy_of_refused_job(self) -> None:
        """Refuse a job, and deliver an early copy of its submission afterwards.

        The connection was held up until a new process led at the same address.
        """
        job = make_durable_job(f"refused{len(self.refused)}", best_effort=True)
        early = SubmitDurableJob(job=job, reply_to=ReplyTo("e3", 1), term=self.term)
        self.refused.add(job.id)
        self.handle(replace(early, age=EXPIRED_AGE))
        self.change_leader(same=False, seconds=0.0)
        self.handle(early)
        self.run_for(1.0)

    def return_callers(self) -> None:
        """Submit all jobs again that have not succeeded, also those without callers."""
        for job in list(self.jobs.values()):
            record = self.state.records_by_id.get(job.id)
            if record is None or record.phase is not JobPhase.SUCCEEDED:
                self.cancelled.discard(job.id)
                self.send_submission(replace(job, submitted_at=self.now))

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 99))
    def withdraw(self, number: int) -> None:
        """Let the callers of a job leave; they may come back."""
        job_id = f"j{number % len(self.jobs)}"
        self.cancelled.add(job_id)
        self.handle(WithdrawSubmissions(job_id, "e1", self.now))


class ReservingDispatch(Dispatch):
    """Placement that looks ahead, with reservations of any server for any job.

    All jobs need the same here, so that none gets a reservation by itself.
    """

    placement = PlacementRule.LOOK_AHEAD

    @rule(
        server=st.sampled_from(SERVERS),
        number=st.integers(0, 99),
        wait=st.floats(0.0, 0.1),
    )
    def reserve(self, server: str, number: int, wait: float) -> None:
        """Reserve a server for a job that waits, or that does not any more."""
        self.state.reservations.by_server[server] = Reservation(
            job_id=f"j{number % (len(self.jobs) + 1)}",
            server=server,
            needs=NEEDS,
            latest_start=self.now - 100.0,
            in_time_until=self.now + 1.0,
            expected_at=self.now + wait,
            made_at=self.now,
        )
        self.run_for(0.05)


def test_durable_jobs_run_once_and_finish() -> None:
    """Guards against tasks of durable jobs that run twice, are lost or never end."""
    run_state_machine_as_test(Dispatch, settings=PROFILE)


def test_best_effort_jobs_run_once_at_a_time() -> None:
    """Guards against two concurrent runs of a task after a change of the leader."""
    run_state_machine_as_test(BestEffortDispatch, settings=PROFILE)


def test_jobs_run_once_and_finish_beside_reservations() -> None:
    """Guards against reservations that strand a job, or that let a task run twice."""
    run_state_machine_as_test(ReservingDispatch, settings=PROFILE)
