"""State of the dispatcher: backend servers, runs and jobs, as the leader knows them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from boragetide.durable import (
    JobPhase,
    JobRecord,
    ListedRun,
    Resources,
    RunLoss,
    ServerReport,
    Step,
    TaskRef,
)
from boragetide.policy.fencing import make_fence
from boragetide.policy.job_queue import JobQueue
from boragetide.policy.overload import AdmissionControl
from boragetide.policy.peer_clock import MAX_CLOCK_DRIFT, PeerClock
from boragetide.policy.server_index import ServerIndex
from boragetide.policy.submission_fence import SubmissionFence
from boragetide.settings import Settings
from boragetide.types import (
    BackendServerId,
    Configuration,
    InstanceId,
    JobId,
    ReplyTo,
    Seconds,
)

# A lease is renewed about three times before it expires.
LEASE_DURATION: Seconds = 0.8
# A backend server shortens longer leases, for example those that were granted by the
# clock of an earlier process.
MAX_LEASE_DURATION: Seconds = 1.0
# An order without an answer may be carried out this much later.
MAX_ORDER_DELAY: Seconds = 3.0
MIN_CLOCK_RATE = 0.98  # the clock of a backend server may run 2% slow
MAX_SERVER_CLOCK_DRIFT = 1.0 - MIN_CLOCK_RATE + MAX_CLOCK_DRIFT
LEASE_EXPIRY_MARGIN: Seconds = 0.1
# Each term numbers the runs of a task from its own multiple of this number, so that no
# leader reuses a number of an earlier one.
RUNS_PER_TERM = 1000
# Sequence number of the report of a process that has not announced itself yet.
UNANNOUNCED_SEQUENCE = -1


class RunPhase(StrEnum):
    """Phase of a run that occupies its task, as far as the leader knows."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"  # listed as done or failed; the end is not committed yet


@dataclass(slots=True)
class Run:
    """One run of a task.

    Parameters
    ----------
    ordered_at
        Time at which the run was ordered or first listed.
    started_at
        Time at which the run was first known to be running.
    order_answered_at
        Time at which the last order for the run was answered. A list of runs that is
        requested later contains the run, unless the run is over.
    next_stop_at
        Time at which the stop is ordered again, because the last stop order may not
        have arrived.
    start_repeated
        Whether the start was ordered twice, because the first order was not answered.
    start_unanswered_at
        Time at which the last start was ordered, if one is not answered. It may begin
        the run at the next process of the backend server.
    server_born
        Start of the backend server's process that was known when the run was ordered or
        first listed, in Unix milliseconds.
    seen_born
        Start of the process that listed the run last, or to which it was ordered.
    alone
        Whether nothing else is started on the backend server while the run is there.
    """

    job_id: JobId
    task: int
    number: int
    needs: Resources
    ordered_at: Seconds
    phase: RunPhase = RunPhase.ORDERED
    started_at: Seconds | None = None
    order_answered_at: Seconds | None = None
    next_stop_at: Seconds | None = None
    start_repeated: bool = False
    start_unanswered_at: Seconds | None = None
    estimate: Seconds = 0.0
    server_born: int = 0
    seen_born: int = 0
    alone: bool = False

    @property
    def key(self) -> tuple[JobId, int]:
        """The task that this run occupies."""
        return self.job_id, self.task


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
    unanswered
        Number of consecutive `ReadRuns` requests that were not answered.
    leases_expired_at
        Time on this instance's clock at which the last lease that was granted by the
        clock of the known process has certainly expired.
    unknown_leases_expired_at
        The same for the leases that another leader granted, or that were granted by the
        clock of an earlier process.
    runs_by_task
        Runs that occupy their tasks. Those that have not ended use capacity.
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
    runs_listed_at
        Time at which the backend server made its last list of runs.
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
    unanswered: int = 0
    leases_expired_at: Seconds = 0.0
    unknown_leases_expired_at: Seconds = 0.0
    runs_by_task: dict[tuple[JobId, int], Run] = field(default_factory=dict)
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
    runs_listed_at: Seconds = 0.0
    last_run_done_at: Seconds = 0.0
    departed: bool = False
    left: bool = False
    announced_at: Seconds = 0.0
    largest_capacity: Resources = field(default_factory=Resources)
    isolated: bool = False
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

    def bound_unknown_leases(self, now: Seconds) -> None:
        """Bound the leases that another leader or for another process were granted.

        The process has just shown that it holds no other leases than these.
        """
        self.unknown_leases_expired_at = max(
            self.unknown_leases_expired_at,
            now + MAX_LEASE_DURATION / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN,
        )

    def clear_runs(self) -> None:
        """Clear the leader's view of the runs; the next leader reads them again."""
        self.read_term = 0
        self.reading = False
        self.runs_by_task.clear()
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
    def silent(self) -> bool:
        """Whether the last `ReadRuns` was not answered."""
        return self.unanswered > 0

    @property
    def ends_as_planned(self) -> bool:
        """Whether the process itself said that it will end."""
        return self.left or self.report.draining

    @property
    def free_resources(self) -> Resources:
        """Capacity that no run uses; none if the backend server is set apart."""
        if self.isolated:
            return Resources()
        free = self.report.capacity
        for run in self.runs_by_task.values():
            if run.phase is not RunPhase.ENDED:
                free = free.minus(run.needs)
        return free


@dataclass(slots=True)
class LostRun:
    """A run that was lost with the process of its backend server."""

    run: Run
    server: BackendServerId
    address: str


@dataclass(slots=True)
class PendingEnds:
    """Ends of runs on one backend server that a pending command records in the log."""

    server_id: BackendServerId
    born: int
    numbers: tuple[int, ...]
    tasks: tuple[tuple[JobId, int], ...]


@dataclass(frozen=True, slots=True)
class PendingRegistration:
    """Processes of backend servers that a pending command registers in the log."""

    command_id: str
    born_by_id: dict[BackendServerId, int]


@dataclass(slots=True)
class DispatcherState:
    """State of the controller.

    Parameters
    ----------
    term
        Term that this instance leads, or 0.
    authority_until
        Time until which this instance may send orders and answer requests.
    fenced_term
        Last term in which a backend server had orders from a leader of a later term.
        The authority of such a term is over, even if the log does not know it yet.
    leader_since
        Time at which this instance became the leader of the term.
    predecessor_until
        Time after which no earlier leader sends orders.
    missed_predecessor
        Whether an earlier leader may have used backend servers that are not known here.
    configuration
        Configuration in force on this instance.
    members
        Members of the log; empty before the log has named them.
    records_by_id
        Records of the jobs. Those of best-effort jobs exist only at the leader, all
        others are committed.
    active
        Jobs that have not ended, oldest first.
    server_by_task
        Backend server of each task that may be running or whose end is not committed
        yet.
    takeover_complete
        Whether the takeover is complete, that is, a task that no backend server lists
        is certainly not running.
    queue
        Jobs with tasks that are ready to start.
    index
        Free capacity and speed of the backend servers.
    started
        Jobs of which a task was started or has ended.
    run_number_by_task
        Newest run number of each task that was started or adopted in this term.
    replies_by_command, pending_ends_by_command
        Requests to answer and ends to acknowledge once a command is committed.
    command_by_job
        Command that accepts a new job, until it is committed.
    waiters_by_job
        Requests that wait for the end of a best-effort job.
    fence
        Submissions that were refused or withdrawn; kept when the leadership is lost,
        because copies may arrive when this instance leads again.
    admission
        Share of the submissions that this leader admits.
    overdue_stopped_tasks
        Tasks of which a run was stopped because it appeared to make no progress.
    done_tasks_of_unknown_jobs
        Tasks that were listed as done but whose jobs are not known here, with the time
        of the list.
    server_born_by_id
        Backend servers whose registration is committed, with the start of the
        registered process. Nothing is started at another one.
    pending_registration
        Registration that is not committed yet, if any.
    lost_runs
        Runs that were lost since the last `assess_lost_runs`.
    losses_by_job
        Losses of runs that count for the suspicion of their tasks. Those of durable
        jobs are also stored in the log.
    lost_servers
        Backend servers with which runs were lost and whose fate is not known.
    suspects_by_job
        Jobs with suspects, and those of the suspects that wait for a start.
    isolated_servers
        Backend servers that are set apart for suspects.
    next_command
        Number of the next command.
    process_count
        Number of processes of backend servers that joined in this term.
    next_review
        Time of the next review of ended jobs and silent backend servers.
    """

    settings: Settings
    incarnation: int
    term: int = 0
    authority_until: Seconds = 0.0
    fenced_term: int = 0
    leader_since: Seconds = 0.0
    predecessor_until: Seconds = 0.0
    missed_predecessor: bool = False
    configuration: Configuration | None = None
    members: tuple[InstanceId, ...] = ()
    servers_by_id: dict[BackendServerId, Server] = field(default_factory=dict)
    records_by_id: dict[JobId, JobRecord] = field(default_factory=dict)
    active: dict[JobId, None] = field(default_factory=dict)
    server_by_task: dict[tuple[JobId, int], BackendServerId] = field(
        default_factory=dict
    )
    takeover_complete: bool = False
    queue: JobQueue = field(default_factory=JobQueue)
    index: ServerIndex = field(default_factory=ServerIndex)
    started: set[JobId] = field(default_factory=set)
    run_number_by_task: dict[tuple[JobId, int], int] = field(default_factory=dict)
    replies_by_command: dict[str, list[ReplyTo | None]] = field(default_factory=dict)
    command_by_job: dict[JobId, str] = field(default_factory=dict)
    waiters_by_job: dict[JobId, list[ReplyTo | None]] = field(default_factory=dict)
    fence: SubmissionFence = field(default_factory=SubmissionFence)
    admission: AdmissionControl = field(default_factory=AdmissionControl)
    overdue_stopped_tasks: set[tuple[JobId, int]] = field(default_factory=set)
    done_tasks_of_unknown_jobs: dict[TaskRef, Seconds] = field(default_factory=dict)
    pending_ends_by_command: dict[str, PendingEnds] = field(default_factory=dict)
    server_born_by_id: dict[BackendServerId, int] = field(default_factory=dict)
    pending_registration: PendingRegistration | None = None
    lost_runs: list[LostRun] = field(default_factory=list)
    losses_by_job: dict[JobId, tuple[RunLoss, ...]] = field(default_factory=dict)
    lost_servers: set[BackendServerId] = field(default_factory=set)
    suspects_by_job: dict[JobId, dict[int, Step]] = field(default_factory=dict)
    isolated_servers: set[BackendServerId] = field(default_factory=set)
    next_command: int = 1
    process_count: int = 0
    next_review: Seconds = 0.0

    def remove_job(self, job_id: JobId) -> None:
        """Remove all state of a job that has not run."""
        self.records_by_id.pop(job_id, None)
        self.active.pop(job_id, None)
        self.started.discard(job_id)
        self.suspects_by_job.pop(job_id, None)
        self.queue.remove(job_id)

    def remove_unused_run_numbers(self) -> None:
        """Remove the run numbers of jobs that are no longer known."""
        known = self.records_by_id
        for key in [key for key in self.run_number_by_task if key[0] not in known]:
            del self.run_number_by_task[key]

    @property
    def other_members(self) -> tuple[InstanceId, ...]:
        """The other members of the log."""
        members = self.members or self.settings.initial_members
        return tuple(id_ for id_ in members if id_ != self.settings.id)


def update_server_index(state: DispatcherState, server: Server) -> None:
    """Update the index with the free capacity and the speed of a backend server."""
    report = server.report
    state.index.put(
        report.id, report.pool, server.speed, server.free_resources.millicores
    )


def add_run(state: DispatcherState, server: Server, run: Run) -> None:
    """Record a run that occupies its task and capacity of a backend server."""
    run.server_born = run.seen_born = server.report.born
    server.runs_by_task[run.key] = run
    state.server_by_task[run.key] = server.report.id
    state.started.add(run.job_id)
    update_server_index(state, server)


def has_authority(state: DispatcherState, now: Seconds) -> bool:
    """Return whether this instance may send orders and answer requests."""
    return state.term > 0 and now < state.authority_until


def is_registered(state: DispatcherState, server: Server) -> bool:
    """Return whether the registration of a backend server's process is committed."""
    return state.server_born_by_id.get(server.report.id) == server.report.born


def store_record(state: DispatcherState, record: JobRecord) -> None:
    """Store the current record of a job."""
    job_id = record.job.id
    state.records_by_id[job_id] = record
    if record.phase is JobPhase.ACTIVE:
        state.active.setdefault(job_id)
        return
    state.active.pop(job_id, None)
    state.started.discard(job_id)
    state.queue.remove(job_id)
    state.overdue_stopped_tasks.difference_update(
        (job_id, number) for number in range(record.job.task_count)
    )


def get_fence(state: DispatcherState, server: Server) -> int:
    """Return the fencing token of the orders to the known process of a server."""
    return make_fence(state.term, server.process)


def assign_run_number(state: DispatcherState, key: tuple[JobId, int]) -> int:
    """Return the number of the next run of a task, higher than all earlier ones."""
    first = (state.term - 1) * RUNS_PER_TERM + 1
    number = max(first, state.run_number_by_task.get(key, 0) + 1)
    state.run_number_by_task[key] = number
    return number


def make_command_id(state: DispatcherState) -> str:
    """Return the id of the next command of this term."""
    command_id = f"{state.settings.id}:{state.term}:{state.next_command}"
    state.next_command += 1
    return command_id
