"""State of one backend server and of its runs, as the leader knows them."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.controllers.run_state import Run, RunPhase
from boragetide.durable import ListedRun, Resources, ServerReport
from boragetide.policy.call_timeouts import CallRecord
from boragetide.policy.peer_clock import MAX_CLOCK_DRIFT, PeerClock
from boragetide.policy.room_index import ServerKind
from boragetide.policy.zones import Trial
from boragetide.types import JobId, Seconds

# A lease is renewed about three times before it expires.
LEASE_DURATION: Seconds = 0.8
# A backend server shortens longer leases, for example those that were granted by the
# clock of an earlier process.
MAX_LEASE_DURATION: Seconds = 1.0
# An order without an answer may be carried out this much later.
MAX_ORDER_DELAY: Seconds = 12.0
MIN_CLOCK_RATE = 0.98  # the clock of a backend server may run 2% slow
MAX_SERVER_CLOCK_DRIFT = 1.0 - MIN_CLOCK_RATE + MAX_CLOCK_DRIFT
LEASE_EXPIRY_MARGIN: Seconds = 0.1
# Time after which any lease has expired, counted from the arrival of its order.
LONGEST_LEASE: Seconds = MAX_LEASE_DURATION / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN
# Time from an order without an answer until the lease that it grants has expired.
LATE_RUN_WAIT: Seconds = MAX_ORDER_DELAY + LONGEST_LEASE
# A backend server of which so many lists in a row have failed counts as silent, also
# if it answers other calls: the ends of its runs are not known.
MAX_FAILED_LISTS = 6
# Sequence number of the report of a process that has not announced itself yet.
UNANNOUNCED_SEQUENCE = -1


def make_server_clock() -> PeerClock:
    """Make the bound of a backend server's clock, before its first reading."""
    return PeerClock(max_drift=MAX_SERVER_CLOCK_DRIFT)


@dataclass(slots=True)
class Server:
    """A backend server.

    Parameters
    ----------
    report
        Newest announcement of the backend server.
    last_contact_at
        Time of the last announcement or answer.
    clock
        Lower bound of the backend server's clock. A lease that is granted by it ends no
        later than one that is granted by the clock itself.
    process
        Number of the process among those that this leader has come to know.
    read_term
        Term in which the process last listed its runs for a request with its own
        fencing token. Nothing is started there before it has done so in the current
        term. From then on it carries out no order that an earlier leader gave or that
        was meant for an earlier process.
    reading
        Whether a `ReadRuns` is in progress.
    next_read_at
        Earliest time of the next `ReadRuns`.
    calls
        Response times of the process, and the repetitions of calls that are left.
    answered_at
        Latest time at which the process can have answered a start or a stop.
    unanswered
        Number of consecutive `ReadRuns` requests that were not answered.
    failing_since, first_failed_sent_at
        Time at which the first of them was found unanswered, and at which it was sent.
    leases_expired_at
        Time on this instance's clock at which the last lease that was granted by the
        clock of the known process has certainly expired.
    unknown_leases_expired_at
        The same for the leases that another leader granted, or that were granted by the
        clock of an earlier process.
    runs_by_task
        Runs that occupy their tasks. Those that have not ended use capacity. Changed
        only by `put_run`, `remove_run`, `end_run` and `clear_runs`.
    used
        Resources that these runs use.
    listed, acknowledged
        Number of the last end that was listed, and the number up to which all ends are
        committed.
    acknowledged_sent
        Number that was last acknowledged to the backend server; 0 if the
        acknowledgement may not have arrived.
    uncommitted_ends
        Numbers of the ends that were listed and are not committed yet.
    acknowledge_until
        Number of the last end before one whose number cannot be read, which would be
        lost if a later one were acknowledged; ``None`` if there is no such end.
    held_ends
        Number of ends in the last list that wait behind such an end.
    unexpected_runs
        Runs of jobs that are not known here, and runs that are being stopped as
        unwanted, with the time at which they were first listed. The resources of
        unknown jobs are not known, so nothing is started on the backend server while
        there are such runs.
    consecutive_failures, cooldown_until
        Number of runs that failed since the last one was done, and the time until which
        the backend server gets no new runs.
    speed
        Learned speed; 1 if tasks run in their declared time.
    speed_updated_at
        Time at which the learned speed was last updated from a run.
    runs_requested_at, runs_listed_at
        Earliest and latest time at which the backend server can have made its last list
        of runs.
    last_run_done_at
        Time at which the backend server last listed a run as done.
    departed
        Whether the backend server has left or its process was replaced. Its runs end
        when their lease has expired. A later announcement of the process shows that it
        is there, because what said otherwise may have concerned an earlier process.
    left
        Whether the process itself said that it leaves; it announces nothing later.
    announced_at
        Time of the last announcement.
    largest_capacity
        Largest amount of each resource that the process has announced.
    isolated
        Whether the backend server is set apart for tasks that run alone.
    evacuated
        Whether the zone of the backend server is evacuated; set with its index entry.
    trial
        Return of the backend server to service after its zone was evacuated.
    follows_planned_end
        Whether the end of the previous process was announced.
    """

    report: ServerReport
    last_contact_at: Seconds
    clock: PeerClock = field(default_factory=make_server_clock)
    process: int = 0
    read_term: int = 0
    reading: bool = False
    next_read_at: Seconds = 0.0
    calls: CallRecord = field(default_factory=CallRecord)
    answered_at: Seconds = 0.0
    unanswered: int = 0
    failing_since: Seconds = 0.0
    first_failed_sent_at: Seconds = 0.0
    leases_expired_at: Seconds = 0.0
    unknown_leases_expired_at: Seconds = 0.0
    runs_by_task: dict[tuple[JobId, int], Run] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    listed: int = 0
    acknowledged: int = 0
    acknowledged_sent: int = 0
    uncommitted_ends: set[int] = field(default_factory=set)
    acknowledge_until: int | None = None
    held_ends: int = 0
    unexpected_runs: dict[ListedRun, Seconds] = field(default_factory=dict)
    consecutive_failures: int = 0
    cooldown_until: Seconds = 0.0
    speed: float = 1.0
    speed_updated_at: Seconds = 0.0
    runs_requested_at: Seconds = 0.0
    runs_listed_at: Seconds = 0.0
    last_run_done_at: Seconds = 0.0
    departed: bool = False
    left: bool = False
    announced_at: Seconds = 0.0
    largest_capacity: Resources = field(default_factory=Resources)
    isolated: bool = False
    evacuated: bool = False
    trial: Trial | None = None
    follows_planned_end: bool = False

    def record_report(self, report: ServerReport, announced_at: Seconds) -> None:
        """Record an announcement, which is newer than the known one."""
        self.report = report
        self.announced_at = announced_at
        self.largest_capacity = self.largest_capacity.maximum(report.capacity)

    def record_answer(self, clock: Seconds, sent_at: Seconds, now: Seconds) -> Seconds:
        """Record the clock in an answer; return when it was read.

        Parameters
        ----------
        clock
            Clock of the backend server when it answered.
        sent_at
            Time at which the answered request was sent.

        Returns
        -------
        Seconds
            Latest time, on the clock of this instance, at which the backend server
            can have answered. The answer may have arrived or been handled later.
        """
        if self.clock.shows_restart(clock, now, sent_at):
            self.bound_unknown_leases(now)
            self.read_term = 0
        self.clock.record_reading(clock, now, sent_at)
        answered_at = min(now, max(sent_at, clock - self.clock.find_offset(now)))
        self.last_contact_at = max(self.last_contact_at, answered_at)
        return answered_at

    def record_response(
        self, answered_at: Seconds, sent_at: Seconds, now: Seconds
    ) -> None:
        """Record that a start or a stop was answered, and after which time."""
        self.answered_at = max(self.answered_at, answered_at)
        self.calls.record_response(now - sent_at)

    def record_failed_list(self, sent_at: Seconds, now: Seconds) -> None:
        """Record that a `ReadRuns` that was sent at ``sent_at`` is unanswered."""
        if not self.unanswered:
            self.failing_since, self.first_failed_sent_at = now, sent_at
        self.unanswered += 1
        self.calls.unanswered_at = now

    def bound_unknown_leases(self, now: Seconds) -> None:
        """Bound the leases that another leader granted, or that an earlier process got.

        The process has just shown that it holds no other leases than these.
        """
        self.unknown_leases_expired_at = max(
            self.unknown_leases_expired_at,
            now + LONGEST_LEASE,
        )

    def have_leases_expired(self, now: Seconds) -> bool:
        """Return whether all known leases have certainly expired, whoever granted them.

        A call that is carried out late may grant another one to the next process.
        """
        return now >= max(self.leases_expired_at, self.unknown_leases_expired_at)

    def put_run(self, run: Run) -> None:
        """Add a run."""
        self.remove_run(run.key)
        self.runs_by_task[run.key] = run
        if run.phase is not RunPhase.ENDED:
            self.used = self.used.plus(run.needs)

    def remove_run(self, task: tuple[JobId, int]) -> None:
        """Remove the run of a task, if there is one."""
        run = self.runs_by_task.pop(task, None)
        if run is not None and run.phase is not RunPhase.ENDED:
            self.used = self.used.minus(run.needs)

    def end_run(self, run: Run) -> None:
        """Note that a run has ended, which still occupies its task."""
        if run.phase is not RunPhase.ENDED:
            run.phase = RunPhase.ENDED
            self.used = self.used.minus(run.needs)

    def clear_runs(self) -> None:
        """Clear the leader's view of the runs; the next leader reads them again."""
        self.process = 0
        self.read_term = 0
        self.reading = False
        self.runs_by_task.clear()
        self.used = Resources()
        self.listed = self.acknowledged = self.acknowledged_sent = 0
        self.uncommitted_ends.clear()
        self.acknowledge_until, self.held_ends = None, 0
        self.unexpected_runs.clear()
        self.isolated = False

    def is_target(self, target_born: int) -> bool:
        """Return whether a call was meant for this process, as far as is known."""
        return target_born in (0, self.report.born)

    @property
    def announced(self) -> bool:
        """Whether the process has announced itself.

        The capacity and the labels of one that has only listed its runs are not known,
        so nothing is started there.
        """
        return self.report.sequence != UNANNOUNCED_SEQUENCE

    @property
    def list_failed(self) -> bool:
        """Whether the last `ReadRuns` was not answered."""
        return self.unanswered > 0

    @property
    def silent(self) -> bool:
        """Whether the process counts as unreachable, so that nothing starts there.

        A failed list says nothing about a process that has answered another call since
        it was asked for, unless further lists fail as well.
        """
        if self.unanswered >= MAX_FAILED_LISTS:
            return True
        return self.list_failed and self.answered_at <= self.first_failed_sent_at

    def has_answered_since(self, moment: Seconds) -> bool:
        """Return whether the process has certainly listed its runs after a time."""
        is_lost = self.list_failed or self.departed
        return not is_lost and self.runs_requested_at >= moment

    @property
    def ends_as_planned(self) -> bool:
        """Whether the process itself said that it will end."""
        return self.left or self.report.draining

    @property
    def kind(self) -> ServerKind:
        """Kind of the backend server, as it was announced last."""
        report = self.report
        return ServerKind(report.pool, report.labels, report.capacity)

    @property
    def active_runs(self) -> int:
        """Number of runs that have not ended."""
        return sum(
            run.phase is not RunPhase.ENDED for run in self.runs_by_task.values()
        )

    @property
    def free_resources(self) -> Resources:
        """Capacity that no run uses; none if the server is set apart or evacuated."""
        if self.isolated or self.evacuated:
            return Resources()
        return self.report.capacity.minus(self.used)
