"""A backend server that follows the protocol for runs, through several processes.

A process that starts again under the same id has seen no fence and no run, and its
clock begins at 0. It cannot tell calls that were meant for an earlier process from its
own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from boragetide.durable import (
    EndReason,
    ListedEnd,
    ListedRun,
    Resources,
    ServerReport,
    Step,
    TaskRef,
)
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.messages import OrderResult
from boragetide.tests.durable_fixtures import make_report
from boragetide.types import Seconds

CAPACITY = Resources(64_000, 100_000)
MAX_LEASE: Seconds = 1.0
MIN_CLOCK_RATE = 0.98
FAILING_SPEC = "fail"  # spec of the jobs of which all runs fail


@dataclass(frozen=True)
class StartedRun:
    """A run in progress; ``ends_at`` is the time at which its work is done.

    Parameters
    ----------
    reason
        How the run ends if nothing interrupts it.
    """

    run: int
    millicores: int
    ends_at: Seconds
    reason: EndReason = EndReason.DONE


@dataclass(frozen=True)
class RunList:
    """What a backend server answers to a `ReadRuns`."""

    born: int
    clock: Seconds
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


@dataclass
class SimulatedServer:
    """A backend server.

    Parameters
    ----------
    started_at, clock_rate
        Time at which the clock of this process showed 0, and its rate.
    zone
        Availability zone.
    lease_until
        Time on the clock of this process at which everything that runs is killed.
    lapsed_ends
        Ends that were listed when the lease lapsed. By the rule TWICE, these are never
        taken note of.
    settled
        Runs that a process has listed as ended, or whose stop it has carried out.
    settled_fence
        Highest fence that any process has seen. One that has seen it has shown that it
        carries out no order with a lower fence.
    acknowledged
        Tasks whose end was taken note of, so that they may not start again.
    noted_failures
        Failed attempts that were taken note of, as pairs of the task and the time at
        which the run ended.
    ended_at_by_number
        Time of each end of this process.
    down_until
        Time until which no process answers; calls fail.
    address_reused
        Whether another backend server answers at the address while this one is down.
    shrunk_at
        Time at which the capacity last became smaller.
    left
        Whether the process has said that it leaves; it announces nothing later.
    begun
        Tasks of which this process has begun a run.
    crashes_by_task
        Number of processes that had begun a run of a task and have crashed.
    """

    id: str
    started_at: Seconds
    clock_rate: float = 1.0
    zone: str = "a"
    born: int = 900_000_000
    sequence: int = 0
    fence: int = 0
    running: dict[TaskRef, StartedRun] = field(default_factory=dict)
    highest_runs: dict[TaskRef, int] = field(default_factory=dict)
    ends: list[ListedEnd] = field(default_factory=list)
    end_count: int = 0
    lease_until: Seconds = 0.0
    lapsed_ends: set[int] = field(default_factory=set)
    settled: set[tuple[TaskRef, int]] = field(default_factory=set)
    settled_fence: int = 0
    acknowledged: set[TaskRef] = field(default_factory=set)
    noted_failures: list[tuple[TaskRef, Seconds]] = field(default_factory=list)
    ended_at_by_number: dict[int, Seconds] = field(default_factory=dict)
    cut: bool = False
    hangs: bool = False
    down_until: Seconds = 0.0
    address_reused: bool = False
    capacity: Resources = CAPACITY
    labels: tuple[str, ...] = ()
    draining: bool = False
    shrunk_at: Seconds = 0.0
    left: bool = False
    begun: set[TaskRef] = field(default_factory=set)
    crashes_by_task: Counter[TaskRef] = field(default_factory=Counter)

    def restart(
        self,
        now: Seconds,
        downtime: Seconds = 0.0,
        *,
        slow_clock: bool = False,
        address_reused: bool = False,
        born_change: int = 1,
    ) -> None:
        """Lose all state, as in a crash; the next process starts after a while."""
        self.born += born_change
        self.sequence = self.fence = self.end_count = 0
        self.lease_until = 0.0
        self.left = False
        self.crashes_by_task.update(self.begun)
        self.begun.clear()
        self.lapsed_ends.clear()
        self.running.clear()
        self.highest_runs.clear()
        self.ends.clear()
        self.ended_at_by_number.clear()
        self.down_until = self.started_at = now + downtime
        self.clock_rate = MIN_CLOCK_RATE if slow_clock else 1.0
        self.address_reused = address_reused

    def start_process(self, now: Seconds) -> None:
        """Start the next process now if it has not started."""
        if not self.is_up(now):
            self.down_until = self.started_at = now

    def is_up(self, now: Seconds) -> bool:
        """Return whether a process answers."""
        return now >= self.down_until

    def read_clock(self, now: Seconds) -> Seconds:
        """Return the time on the clock of this process."""
        return (now - self.started_at) * self.clock_rate

    def make_report(self, now: Seconds) -> ServerReport:
        """Return the next announcement."""
        self.sequence += 1
        return make_report(
            self.id,
            sequence=self.sequence,
            born=self.born,
            capacity=self.capacity,
            labels=self.labels,
            draining=self.draining,
            clock=self.read_clock(now),
            zone=self.zone,
        )

    def advance(self, now: Seconds) -> None:
        """End the runs whose work is done or whose lease has lapsed."""
        lapsed = self.read_clock(now) >= self.lease_until
        for task, started in list(self.running.items()):
            if lapsed:
                self._end(task, EndReason.LAPSED, now)
            elif now >= started.ends_at and not self.hangs:
                self._end(task, started.reason, now)
        if lapsed:
            self.lapsed_ends.update(end.number for end in self.ends)

    def _end(self, task: TaskRef, reason: EndReason, now: Seconds) -> None:
        started = self.running.pop(task)
        self.end_count += 1
        self.ends.append(ListedEnd(self.end_count, task, started.run, reason))
        self.ended_at_by_number[self.end_count] = now

    def _extend_lease(self, lease_until: Seconds, now: Seconds) -> None:
        """Extend the lease of all runs, by at most `MAX_LEASE` from now."""
        bound = self.read_clock(now) + MAX_LEASE
        self.lease_until = max(self.lease_until, min(lease_until, bound))

    def _observe_fence(self, fence: int) -> bool:
        """Return whether an order is fenced; note its fence if it is not."""
        if fence < self.fence:
            return True
        self.fence = fence
        self.settled_fence = max(self.settled_fence, fence)
        return False

    def has_settled(self, order: StartRun) -> bool:
        """Return whether some process has shown that it does not begin this run."""
        is_over = (order.task, order.run) in self.settled
        return is_over or order.fence < self.settled_fence

    def stop(self, order: StopRun, now: Seconds) -> OrderResult:
        """Carry out a stop; the run is refused if its start arrives later."""
        self.advance(now)
        if self._observe_fence(order.fence):
            return OrderResult.FENCED
        highest = self.highest_runs.get(order.task, 0)
        self.highest_runs[order.task] = max(highest, order.run)
        self.settled.add((order.task, order.run))
        started = self.running.get(order.task)
        if started is not None and started.run <= order.run:
            self._end(order.task, EndReason.STOPPED, now)
        return OrderResult.DONE

    def start(
        self,
        order: StartRun,
        now: Seconds,
        step: Step,
        check_start: Callable[[], None],
    ) -> OrderResult:
        """Carry out a start; ``check_start`` is called before a run begins."""
        self.advance(now)
        if self._observe_fence(order.fence):
            return OrderResult.FENCED
        self._extend_lease(order.lease_until, now)
        started = self.running.get(order.task)
        if started is not None and started.run == order.run:
            return OrderResult.DONE
        if order.run <= self.highest_runs.get(order.task, 0):
            return OrderResult.OLD_RUN
        if order.lease_until <= self.read_clock(now):
            return OrderResult.LATE
        used = sum(each.millicores for each in self.running.values())
        if used + step.needs.millicores > self.capacity.millicores:
            return OrderResult.NO_ROOM
        check_start()
        self.begun.add(order.task)
        reason = EndReason.FAILED if order.spec == FAILING_SPEC else EndReason.DONE
        self.highest_runs[order.task] = order.run
        self.running[order.task] = StartedRun(
            order.run, step.needs.millicores, now + step.estimate, reason
        )
        return OrderResult.DONE

    def list_runs(self, order: ReadRuns, now: Seconds) -> RunList | None:
        """Forget acknowledged ends, renew the lease; return ``None`` if fenced."""
        self.advance(now)
        if self._observe_fence(order.fence):
            return None
        for end in self.ends:
            if end.number <= order.acknowledged:
                self._take_note(end)
        self.ends = [e for e in self.ends if e.number > order.acknowledged]
        if order.lease_until is not None:
            self._extend_lease(order.lease_until, now)
        self.settled.update((end.task, end.run) for end in self.ends)
        return self.show_runs(now)

    def show_runs(self, now: Seconds) -> RunList:
        """Return both lists without a request, as at the end of a request's wait."""
        self.advance(now)
        return RunList(
            born=self.born,
            clock=self.read_clock(now),
            running=tuple(
                ListedRun(task, started.run) for task, started in self.running.items()
            ),
            ended=tuple(self.ends),
        )

    def _take_note(self, end: ListedEnd) -> None:
        """Record that an end was acknowledged, unless the lease has lapsed since."""
        if end.number in self.lapsed_ends:
            return
        if end.reason is EndReason.DONE:
            self.acknowledged.add(end.task)
        if end.reason is EndReason.FAILED:
            ended_at = self.ended_at_by_number[end.number]
            self.noted_failures.append((end.task, ended_at))
