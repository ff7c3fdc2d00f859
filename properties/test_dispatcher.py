"""The dispatcher with backend servers that lose responses, lag, crash or are cut off.

The oracle is the state of the backend servers: which runs are in progress there, and
which ends were acknowledged. Each new leader has a higher fence, as in the replicated
log.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
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

from boragetide.commands import Catalogue, JobCommand
from boragetide.controllers import dispatcher
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.runs import READ_MAX_WAIT
from boragetide.durable import (
    EndReason,
    JobPhase,
    ListedEnd,
    ListedRun,
    Resources,
    Step,
    TaskRef,
)
from boragetide.effects import ReadRuns, Reply, Send, StartRun, StopRun
from boragetide.messages import (
    AppendCommands,
    CancelDurableJob,
    JobsCommitted,
    LeadershipGained,
    LeadershipLost,
    OrderResult,
    ReadFailed,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.catalogue import apply_job_command
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.tests.durable_fixtures import BEGIN, make_durable_job, make_report
from boragetide.types import ReplyTo, Seconds

STEP: Seconds = 0.05
AUTHORITY_DURATION: Seconds = 0.4
ORDER_TIMEOUT: Seconds = 0.2
# Delays that end before ("delayed") and after ("late") the lease of the order lapses.
DELAYS_BY_FATE: dict[str, Seconds] = {"delayed": 0.5, "late": 2.0}
SERVERS = ("s1", "s2", "s3")
ANNOUNCEMENT_INTERVAL: Seconds = 1.5
# Time after the last fault until the leases of lost runs have lapsed, a new leader has
# taken over and no backend server is passed over any more.
SETTLING_DURATION: Seconds = 6.0
CALM_DURATION: Seconds = 12.0
WORK_DURATION: Seconds = 0.3
CAPACITY = Resources(64_000, 100_000)
NEEDS = Resources(27_000, 64)
SMALL_CAPACITY = Resources(30_000, 100_000)
# A capacity that has shrunk counts after this time.
SHRINKING_COUNTS_AFTER: Seconds = 4.5
SLOTS = len(SERVERS) * (CAPACITY.millicores // NEEDS.millicores)
EXAMPLES = 60
PROFILE = settings(
    max_examples=max(EXAMPLES, settings.default.max_examples // 4),
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)


@dataclass
class Backend:
    """A backend server that follows the protocol for runs.

    Its clock is ``clock_lag`` seconds behind the virtual clock of the test. Its lease
    lasts until ``lease_until`` on its clock. ``lapsed_ends`` are the ends that were
    listed when it lapsed. By the rule TWICE, these are never taken note of.
    """

    id: str
    clock_lag: Seconds
    born: int = 900_000_000
    sequence: int = 0
    fence: int = 0
    running: dict[TaskRef, tuple[int, Seconds, Seconds]] = field(default_factory=dict)
    highest_runs: dict[TaskRef, int] = field(default_factory=dict)
    ends: list[ListedEnd] = field(default_factory=list)
    end_count: int = 0
    lease_until: Seconds = 0.0
    lapsed_ends: set[int] = field(default_factory=set)
    cut: bool = False
    hangs: bool = False
    capacity: Resources = CAPACITY
    shrunk_at: Seconds = 0.0

    def restart(self) -> None:
        """Lose all state, as in a crash."""
        self.born += 1
        self.sequence = self.fence = self.end_count = 0
        self.lease_until = 0.0
        self.lapsed_ends.clear()
        self.running.clear()
        self.highest_runs.clear()
        self.ends.clear()

    def advance(self, now: Seconds) -> None:
        """End the runs whose work is done or whose lease has lapsed."""
        for task, (run, ends_at, lease) in list(self.running.items()):
            if now - self.clock_lag >= lease:
                self.end(task, run, EndReason.LAPSED)
            elif now >= ends_at and not self.hangs:
                self.end(task, run, EndReason.DONE)
        if now - self.clock_lag >= self.lease_until:
            self.lapsed_ends.update(end.number for end in self.ends)

    def extend_lease(self, lease_until: Seconds) -> None:
        """Extend the lease of the backend server, which never shortens."""
        self.lease_until = max(self.lease_until, lease_until)

    def end(self, task: TaskRef, run: int, reason: EndReason) -> None:
        """End a run and add it to the list of ends."""
        del self.running[task]
        self.end_count += 1
        self.ends.append(ListedEnd(self.end_count, task, run, reason))


class Dispatch(RuleBasedStateMachine):
    """One leader at a time; delayed orders of earlier leaders still arrive.

    The next leader is either the same process or the standby. The standby knows the
    backend servers that announced themselves since its process started.
    """

    best_effort = False

    def __init__(self) -> None:
        super().__init__()
        self.now = BEGIN
        self.term = 0
        self.catalogue = Catalogue()
        self.backends = {
            name: Backend(name, clock_lag=number * 0.7 - 0.7)
            for number, name in enumerate(SERVERS)
        }
        self.state = self.make_state(age=10.0)
        self.standby = self.make_state(age=10.0)
        self.next_announcement = self.now + ANNOUNCEMENT_INTERVAL
        self.scheduled: list[tuple[Seconds, Callable[[], None]]] = []
        self.appended: list[AppendCommands] = []
        self.jobs: dict[str, Any] = {}
        self.acknowledged: set[TaskRef] = set()
        self.cancelled: set[str] = set()
        self.replies: dict[int, str] = {}
        self.start_leader()
        self.run_for(1.0)

    def make_state(self, age: Seconds) -> DispatcherState:
        """Return the state of a process that started ``age`` seconds ago."""
        started_at = int((self.now - age) * 1000)
        embedded = parse_settings(EMBEDDED_DEFAULT)
        return DispatcherState(embedded, started_at, members=("local", "standby"))

    def start_leader(self) -> None:
        """Start the next leader.

        The predecessor's authority lasts `AUTHORITY_DURATION` more.
        """
        self.term += 1
        records = tuple(self.catalogue.jobs_by_id.values())
        self.appended.clear()
        gained = LeadershipGained(
            self.term,
            records,
            self.now + AUTHORITY_DURATION,
            self.now + AUTHORITY_DURATION,
        )
        self.announce()
        self.handle(gained)

    def announce(self) -> None:
        """Announce the backend servers to the leader, who passes it on."""
        for report in self.make_reports():
            self.handle(report)
            dispatcher.handle(report, self.standby, self.now)

    def make_reports(self) -> list[ReportServer]:
        """Return the next announcement of each backend server that is not cut off."""
        reports = []
        for backend in self.backends.values():
            if backend.cut:
                continue
            backend.sequence += 1
            report = make_report(
                backend.id,
                sequence=backend.sequence,
                born=backend.born,
                capacity=backend.capacity,
            )
            reports.append(ReportServer(report=report, passed_on=True))
        return reports

    def inform_standby(self) -> None:
        """Announce the backend servers to the standby and advance its clock."""
        if self.now >= self.next_announcement:
            self.next_announcement += ANNOUNCEMENT_INTERVAL
            for report in self.make_reports():
                dispatcher.handle(report, self.standby, self.now)
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
            dispatcher.handle(effect.message, self.standby, self.now)

    @execute_effect.register
    def _(self, effect: Reply) -> None:
        pass

    @execute_effect.register
    def _(self, effect: StartRun) -> None:
        self.send_order(effect, started=True)

    @execute_effect.register
    def _(self, effect: StopRun) -> None:
        self.send_order(effect, started=False)

    def send_order(self, order: StartRun | StopRun, *, started: bool) -> None:
        """Execute an order at once, late or never; schedule its answer or time-out."""
        backend = self.backends[order.server]
        fate = self.next_fate(backend)
        result = OrderResult.UNANSWERED
        if fate in ("carried_out", "answer_lost"):
            done = self.execute_order(order, backend)
            result = done if fate == "carried_out" else result
        elif fate in DELAYS_BY_FATE:
            born = backend.born
            arrives_at = self.now + DELAYS_BY_FATE[fate]

            def arrive() -> None:
                if backend.born == born:
                    self.execute_order(order, backend)

            self.scheduled.append((arrives_at, arrive))
        pause = 0.0 if result is not OrderResult.UNANSWERED else ORDER_TIMEOUT
        answer = RunOrdered(
            server=order.server,
            term=order.fence,
            job_id=order.task.job_id,
            task=order.number,
            run=order.run,
            result=result,
            started=started,
            clock=None if pause else self.now - backend.clock_lag,
            sent_at=self.now,
        )
        self.scheduled.append((self.now + pause, lambda: self.handle(answer)))

    def next_fate(self, backend: Backend) -> str:
        if backend.cut:
            return "lost"
        fates = self.fates
        self.fates = fates[1:] + fates[:1]
        return fates[0]

    fates: tuple[str, ...] = ("carried_out",)

    def execute_order(self, order: StartRun | StopRun, backend: Backend) -> OrderResult:
        backend.advance(self.now)
        if order.fence < backend.fence:
            return OrderResult.FENCED
        backend.fence = order.fence
        known = backend.running.get(order.task)
        if isinstance(order, StartRun):
            backend.extend_lease(order.lease_until)
        if isinstance(order, StopRun):
            highest = backend.highest_runs.get(order.task, 0)
            backend.highest_runs[order.task] = max(highest, order.run)
            if known is not None and known[0] <= order.run:
                backend.end(order.task, known[0], EndReason.STOPPED)
            return OrderResult.DONE
        return self.start_run(order, backend, known)

    def start_run(
        self, order: StartRun, backend: Backend, known: tuple[int, Any, Any] | None
    ) -> OrderResult:
        if known is not None and known[0] == order.run:
            return OrderResult.DONE
        if order.run <= backend.highest_runs.get(order.task, 0):
            return OrderResult.OLD_RUN
        if order.lease_until <= self.now - backend.clock_lag:
            return OrderResult.LATE
        used = sum(self.get_millicores(task) for task in backend.running)
        if used + self.get_millicores(order.task) > backend.capacity.millicores:
            assert self.now < backend.shrunk_at + SHRINKING_COUNTS_AFTER, order
            return OrderResult.NO_ROOM
        self.check_start(order, backend)
        backend.highest_runs[order.task] = order.run
        backend.running[order.task] = (
            order.run,
            self.now + WORK_DURATION,
            order.lease_until,
        )
        return OrderResult.DONE

    def get_millicores(self, task: TaskRef) -> int:
        return self.jobs[task.job_id].steps[task.step].needs.millicores

    def check_start(self, order: StartRun, backend: Backend) -> None:
        others = [b for b in self.backends.values() if order.task in b.running]
        assert not others, (order.task, backend.id, [b.id for b in others])
        if not self.best_effort:
            assert order.task not in self.acknowledged, order.task
        step = self.jobs[order.task.job_id].steps[order.task.step]
        for position in step.depends_on:
            done = self.count_done(order.task.job_id, position)
            assert done == self.jobs[order.task.job_id].steps[position].count

    def count_done(self, job_id: str, position: int) -> int:
        job = self.jobs[job_id]
        first = sum(step.count for step in job.steps[:position])
        record = self.state.records_by_id[job_id]
        numbers = range(first, first + job.steps[position].count)
        return len(record.done.intersection(numbers))

    @execute_effect.register
    def _(self, effect: ReadRuns) -> None:
        backend = self.backends[effect.server]
        fate = self.next_fate(backend)
        message: Any = ReadFailed(effect.server, effect.fence)
        if fate in ("carried_out", "answer_lost"):
            listed = self.list_runs(effect, backend)
            message = listed if fate == "carried_out" else message
        pause = effect.wait if isinstance(message, RunsRead) else ORDER_TIMEOUT
        self.scheduled.append(
            (self.now + max(pause, STEP), lambda: self.handle(message))
        )

    def list_runs(self, order: ReadRuns, backend: Backend) -> RunsRead:
        backend.advance(self.now)
        if order.fence < backend.fence:
            return RunsRead(order.server, order.fence, self.now, fenced=True)
        backend.fence = order.fence
        for end in backend.ends:
            if end.number <= order.acknowledged and self.is_noted(backend, end):
                self.acknowledged.add(end.task)
        backend.ends = [e for e in backend.ends if e.number > order.acknowledged]
        if order.lease_until is not None:
            backend.extend_lease(order.lease_until)
            backend.running = {
                task: (run, ends_at, max(lease, order.lease_until))
                for task, (run, ends_at, lease) in backend.running.items()
            }
        return RunsRead(
            server=order.server,
            term=order.fence,
            sent_at=self.now,
            clock=self.now - backend.clock_lag,
            born=backend.born,
            running=tuple(
                ListedRun(task, run) for task, (run, _, _) in backend.running.items()
            ),
            ended=tuple(backend.ends),
        )

    def is_noted(self, backend: Backend, end: ListedEnd) -> bool:
        """Return whether an acknowledgement of an end forbids another start."""
        return end.reason is EndReason.DONE and end.number not in backend.lapsed_ends

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

    @rule(width=st.integers(1, 4), chained=st.booleans())
    def submit(self, width: int, chained: bool) -> None:
        first = Step(width, NEEDS, WORK_DURATION)
        steps = (first, Step(1, NEEDS, WORK_DURATION, depends_on=(0,)))
        job = make_durable_job(
            f"j{len(self.jobs)}",
            *(steps if chained else (first,)),
            attempts=3,
            best_effort=self.best_effort,
            submitted_at=self.now,
        )
        self.jobs[job.id] = job
        self.send_submission(job)

    def send_submission(self, job: Any) -> None:
        request = len(self.replies)
        self.replies[request] = job.id
        self.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", request)))

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 99))
    def cancel(self, number: int) -> None:
        job_id = f"j{number % len(self.jobs)}"
        self.cancelled.add(job_id)
        self.handle(CancelDurableJob(id=job_id, reply_to=ReplyTo("e1", -1)))

    @rule(
        fates=st.lists(
            st.sampled_from(
                ["carried_out"] * 3 + ["answer_lost", "lost", *DELAYS_BY_FATE]
            ),
            min_size=1,
            max_size=6,
        )
    )
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

    @rule(number=st.integers(0, 2), heard=st.booleans())
    def crash(self, number: int, heard: bool) -> None:
        self.backends[SERVERS[number]].restart()
        if heard:
            self.announce()

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

    @rule()
    def heartbeat(self) -> None:
        self.announce()

    @rule(same=st.booleans(), seconds=st.sampled_from([0.0, 0.3, 1.0]))
    def change_leader(self, same: bool, seconds: float) -> None:
        """Replace the leader; best-effort jobs are resubmitted to the next at once."""
        if same:
            self.handle(LeadershipLost())
        else:
            self.state, self.standby = self.standby, self.make_state(age=0.0)
        self.now += seconds
        self.start_leader()
        for job in list(self.jobs.values()):
            if job.id not in self.cancelled and self.best_effort:
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
    def finished_jobs_have_all_ends(self) -> None:
        for record in self.state.records_by_id.values():
            if record.phase is JobPhase.SUCCEEDED:
                assert len(record.done) == record.job.task_count

    def teardown(self) -> None:
        """Repair all faults; accepted jobs that were not cancelled must be finished."""
        self.fates = ("carried_out",)
        for backend in self.backends.values():
            backend.cut = backend.hangs = False
            backend.capacity = CAPACITY
        repaired_at = self.now
        self.run_with_announcements(SETTLING_DURATION + self.compute_work_duration())
        if not self.best_effort:
            for record in self.state.records_by_id.values():
                assert record.phase is not JobPhase.ACTIVE, record.job.id
        self.run_with_announcements(CALM_DURATION - (self.now - repaired_at))

    def compute_work_duration(self) -> Seconds:
        """Return how long the tasks that are not done occupy all backend servers.

        A list shows the runs at its request and arrives up to `READ_MAX_WAIT` later. An
        end that is too late for one list is therefore known after twice that time.
        """
        tasks = sum(
            job.task_count - self.count_done_tasks(job_id)
            for job_id, job in self.jobs.items()
            if job_id not in self.cancelled
        )
        return math.ceil(tasks / SLOTS) * (WORK_DURATION + 2 * READ_MAX_WAIT)

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


def test_durable_jobs_run_once_and_finish() -> None:
    """Guards against tasks of durable jobs that run twice, are lost or never end."""
    run_state_machine_as_test(Dispatch, settings=PROFILE)


def test_best_effort_jobs_run_once_at_a_time() -> None:
    """Guards against two concurrent runs of a task after a change of the leader."""
    run_state_machine_as_test(BestEffortDispatch, settings=PROFILE)
