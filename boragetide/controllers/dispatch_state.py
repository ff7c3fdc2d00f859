"""State of the dispatcher: backend servers, runs and jobs, as the leader knows them."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from boragetide.controllers.call_counts import UnansweredCalls
from boragetide.controllers.run_state import FreedRun, LostRun, Run
from boragetide.controllers.server_state import Server
from boragetide.controllers.transfer_state import TransferState
from boragetide.durable import (
    JobPhase,
    JobRecord,
    RunEnd,
    Step,
    TaskRef,
    UnansweredStart,
)
from boragetide.effects import Reply
from boragetide.policy.expected_ends import RunTimes
from boragetide.policy.fencing import make_fence
from boragetide.policy.job_progress import JobProgress
from boragetide.policy.job_queue import JobQueue
from boragetide.policy.loss_table import LossTable
from boragetide.policy.order_window import OrderWindow
from boragetide.policy.overload import AdmissionControl
from boragetide.policy.reservations import Reservations
from boragetide.policy.server_index import ServerIndex
from boragetide.policy.submission_fence import SubmissionFence
from boragetide.policy.transfer_table import is_undelivered
from boragetide.policy.zones import ZoneView
from boragetide.settings import PlacementRule, Settings
from boragetide.types import (
    BackendServerId,
    Configuration,
    InstanceId,
    JobId,
    ReplyTo,
    Seconds,
    ZoneId,
)

# Each term numbers the runs of a task from its own multiple of this number, so that no
# leader reuses a number of an earlier one.
RUNS_PER_TERM = 1000


@dataclass(slots=True)
class PendingEnds:
    """Ends of runs on one backend server that a pending command records in the log."""

    server_id: BackendServerId
    born: int
    numbers: tuple[int, ...]
    ends: tuple[RunEnd, ...]


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
        yet. Changed only by `occupy_task` and `vacate_task`.
    counts_by_step
        Number of these tasks on each backend server, for each step with a limit, by the
        job and the position of the step.
    uncommitted_ends_by_task
        Listed ends that are not committed yet. Their tasks are not started.
    takeover_complete
        Whether the takeover is complete, that is, a task that no backend server lists
        is certainly not running.
    queue
        Jobs with tasks that are ready to start.
    index
        Free capacity and speed of the backend servers.
    progress_by_id
        Tasks of the queued jobs that may run, by what is done.
    unqueued
        Jobs that this leader has loaded and not queued yet.
    started
        Jobs of which a task was started or has ended.
    possible_runs_by_job
        Runs of each job that may have begun or may still begin, by task and run number.
    run_number_by_task
        Newest run number of each task that was started or adopted in this term.
    replies_by_command, pending_ends_by_command
        Requests to answer and ends to acknowledge once a command is committed.
    cancel_replies_by_command
        Replies to cancellations, which are sent once the command is committed.
    command_by_job
        Command that accepts a new job, until it is committed.
    waiters_by_job
        Requests that wait for the end of a best-effort job.
    fence
        Submissions that were refused or withdrawn; kept when the leadership is lost,
        because copies may arrive when this instance leads again.
    cancelled_at_by_job
        Jobs that were cancelled without a stored record, with the time; nothing of them
        is started. This leader notes them before the commit.
    admission
        Share of the submissions that this leader admits.
    overdue_stopped_tasks
        Tasks of which a run was stopped because it appeared to make no progress.
    start_window, stop_window
        Starts and stops in progress, whose number is bounded.
    done_tasks_of_unknown_jobs
        Tasks that were listed as done but whose jobs are not known here, with the time
        of the list.
    server_born_by_id
        Backend servers whose registration is committed, with the start of the
        registered process. Nothing is started at another one.
    pending_registration
        Registration that is not committed yet, if any.
    earlier_starts
        Starts without an answer that earlier leaders recorded.
    server_by_blocked_task
        Tasks that a backend server may begin late, by an order of an earlier leader.
    recorded_starts, pending_record
        Starts without an answer that the log names or will name, and the command that
        records them, if it is not committed yet.
    unanswered_calls
        Calls without an answer since the last report of them.
    freed_runs
        Runs of this term that were counted as over although their ends were not listed,
        by backend server, task and run number, oldest first.
    lost_runs
        Runs that were lost since the last `assess_lost_runs`.
    losses
        Losses of runs that count for the suspicion of their tasks. Those of durable
        jobs are also stored in the log.
    suspects_by_job
        Jobs with suspects, and those of the suspects that wait for a start.
    isolated_servers
        Backend servers that are set apart for suspects.
    transfers
        Jobs that go to other groups or come from them.
    zones
        What this instance knows of the evacuated zones.
    returned_at_by_zone
        Time at which this instance learned that a zone has returned to service.
    old_view_since
        Time since which the view of the zones has been too old for starts, if it is.
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
    counts_by_step: dict[tuple[JobId, int], Counter[BackendServerId]] = field(
        default_factory=dict
    )
    uncommitted_ends_by_task: dict[tuple[JobId, int], list[RunEnd]] = field(
        default_factory=dict
    )
    takeover_complete: bool = False
    queue: JobQueue = field(init=False)
    index: ServerIndex = field(default_factory=ServerIndex)
    progress_by_id: dict[JobId, JobProgress] = field(default_factory=dict)
    unqueued: deque[JobId] = field(default_factory=deque)
    started: set[JobId] = field(default_factory=set)
    possible_runs_by_job: dict[JobId, set[tuple[int, int]]] = field(
        default_factory=dict
    )
    run_number_by_task: dict[tuple[JobId, int], int] = field(default_factory=dict)
    replies_by_command: dict[str, list[ReplyTo | None]] = field(default_factory=dict)
    cancel_replies_by_command: dict[str, Reply] = field(default_factory=dict)
    command_by_job: dict[JobId, str] = field(default_factory=dict)
    waiters_by_job: dict[JobId, list[ReplyTo | None]] = field(default_factory=dict)
    fence: SubmissionFence = field(default_factory=SubmissionFence)
    cancelled_at_by_job: dict[JobId, Seconds] = field(default_factory=dict)
    admission: AdmissionControl = field(default_factory=AdmissionControl)
    overdue_stopped_tasks: set[tuple[JobId, int]] = field(default_factory=set)
    start_window: OrderWindow = field(default_factory=OrderWindow)
    stop_window: OrderWindow = field(default_factory=OrderWindow)
    done_tasks_of_unknown_jobs: dict[TaskRef, Seconds] = field(default_factory=dict)
    pending_ends_by_command: dict[str, PendingEnds] = field(default_factory=dict)
    server_born_by_id: dict[BackendServerId, int] = field(default_factory=dict)
    pending_registration: PendingRegistration | None = None
    earlier_starts: frozenset[UnansweredStart] = frozenset()
    server_by_blocked_task: dict[tuple[JobId, int], BackendServerId] = field(
        default_factory=dict
    )
    recorded_starts: frozenset[UnansweredStart] = frozenset()
    pending_record: str | None = None
    unanswered_calls: UnansweredCalls = field(default_factory=UnansweredCalls)
    freed_runs: OrderedDict[tuple[BackendServerId, TaskRef, int], FreedRun] = field(
        default_factory=OrderedDict
    )
    lost_runs: list[LostRun] = field(default_factory=list)
    losses: LossTable = field(default_factory=LossTable)
    suspects_by_job: dict[JobId, dict[int, Step]] = field(default_factory=dict)
    isolated_servers: set[BackendServerId] = field(default_factory=set)
    transfers: TransferState = field(default_factory=TransferState)
    run_times: RunTimes = field(default_factory=RunTimes)
    reservations: Reservations = field(default_factory=Reservations)
    next_command: int = 1
    process_count: int = 0
    next_review: Seconds = 0.0
    zones: ZoneView = field(init=False)
    returned_at_by_zone: dict[ZoneId, Seconds] = field(default_factory=dict)
    old_view_since: Seconds | None = None

    def __post_init__(self) -> None:
        """Make the parts that depend on the settings."""
        self.zones = ZoneView(enabled=self.settings.evacuation)
        self.queue = JobQueue(self.settings.dispatch.order)

    def remove_job(self, job_id: JobId) -> None:
        """Remove all state of a job that has not run."""
        self.records_by_id.pop(job_id, None)
        self.active.pop(job_id, None)
        self.started.discard(job_id)
        self.possible_runs_by_job.pop(job_id, None)
        self.suspects_by_job.pop(job_id, None)
        self.progress_by_id.pop(job_id, None)
        self.queue.remove(job_id)

    def remove_unused_run_numbers(self) -> None:
        """Remove the run numbers of jobs that are no longer known."""
        known = self.records_by_id
        for key in [key for key in self.run_number_by_task if key[0] not in known]:
            del self.run_number_by_task[key]

    @property
    def looks_ahead(self) -> bool:
        """Whether placement takes waiting jobs and expected ends into account."""
        return self.settings.dispatch.placement is PlacementRule.LOOK_AHEAD

    @property
    def other_members(self) -> tuple[InstanceId, ...]:
        """The other members of the log."""
        members = self.members or self.settings.initial_members
        return tuple(id_ for id_ in members if id_ != self.settings.id)


def update_server_index(state: DispatcherState, server: Server) -> None:
    """Update the index with the free capacity and the speed of a backend server.

    A server of an evacuated zone has no free capacity.
    """
    report = server.report
    server.evacuated = report.zone in state.zones.evacuated
    state.index.put(
        report.id,
        report.pool,
        server.speed,
        server.free_resources.millicores,
        report.labels,
        report.capacity,
    )


def clear_leader_state(state: DispatcherState) -> None:
    """Clear the state that only a leader holds; committed records stay in the log."""
    state.term = 0
    state.authority_until = 0.0
    state.records_by_id.clear()
    state.active.clear()
    state.server_by_task.clear()
    state.counts_by_step.clear()
    state.progress_by_id.clear()
    state.unqueued.clear()
    state.uncommitted_ends_by_task.clear()
    state.started.clear()
    state.possible_runs_by_job.clear()
    state.takeover_complete = False
    state.waiters_by_job.clear()
    state.admission = AdmissionControl()
    state.done_tasks_of_unknown_jobs.clear()
    state.overdue_stopped_tasks.clear()
    state.run_number_by_task.clear()
    state.pending_ends_by_command.clear()
    state.replies_by_command.clear()
    state.cancel_replies_by_command.clear()
    state.cancelled_at_by_job.clear()
    state.command_by_job.clear()
    state.server_born_by_id.clear()
    state.pending_registration = None
    state.earlier_starts = frozenset()
    state.server_by_blocked_task.clear()
    state.recorded_starts = frozenset()
    state.pending_record = None
    state.process_count = 0
    state.queue.clear()
    state.unanswered_calls = UnansweredCalls()
    state.freed_runs.clear()
    state.lost_runs.clear()
    state.start_window = OrderWindow()
    state.stop_window = OrderWindow()
    state.losses.clear()
    state.suspects_by_job.clear()
    state.isolated_servers.clear()
    state.transfers = TransferState()
    state.run_times = RunTimes()
    state.reservations = Reservations()
    for server in state.servers_by_id.values():
        server.clear_runs()
        update_server_index(state, server)


def add_run(state: DispatcherState, server: Server, run: Run) -> None:
    """Record a run that occupies its task and capacity of a backend server."""
    run.server_born = run.seen_born = server.report.born
    # A best-effort job that was forgotten and begins anew gets the same run numbers.
    state.freed_runs.pop((server.report.id, run.ref, run.number), None)
    server.put_run(run)
    occupy_task(state, run, server.report.id)
    state.started.add(run.job_id)
    possible = state.possible_runs_by_job.setdefault(run.job_id, set())
    possible.add((run.task, run.number))
    update_server_index(state, server)


def occupy_task(state: DispatcherState, run: Run, server: BackendServerId) -> None:
    """Note the backend server on which the task of a run may be running."""
    vacate_task(state, run)
    state.server_by_task[run.key] = server
    if _has_limit(state, run):
        step = (run.job_id, run.ref.step)
        state.counts_by_step.setdefault(step, Counter())[server] += 1


def vacate_task(state: DispatcherState, run: Run) -> None:
    """Note that the task of a run is not running."""
    server = state.server_by_task.pop(run.key, None)
    step = (run.job_id, run.ref.step)
    counts = state.counts_by_step.get(step)
    if server is None or counts is None:
        return
    counts[server] -= 1
    if counts[server] <= 0:
        del counts[server]
    if not counts:
        del state.counts_by_step[step]


def _has_limit(state: DispatcherState, run: Run) -> bool:
    record = state.records_by_id.get(run.job_id)
    return record is not None and record.job.steps[run.ref.step].max_per_server > 0


def is_occupied(state: DispatcherState, key: tuple[JobId, int]) -> bool:
    """Return whether a task may be running, so that no other run of it may start."""
    return key in state.server_by_task or key in state.server_by_blocked_task


def may_start(state: DispatcherState, key: tuple[JobId, int]) -> bool:
    """Return whether no run of a task may be running and no end of it is uncommitted.

    A start before the commit of an end might be one attempt too many, or a second run
    of a task that is done.
    """
    return not is_occupied(state, key) and key not in state.uncommitted_ends_by_task


def has_authority(state: DispatcherState, now: Seconds) -> bool:
    """Return whether this instance may send orders and answer requests."""
    return state.term > 0 and now < state.authority_until


def is_registered(state: DispatcherState, server: Server) -> bool:
    """Return whether the registration of a backend server's process is committed."""
    return state.server_born_by_id.get(server.report.id) == server.report.born


def store_record(state: DispatcherState, record: JobRecord) -> None:
    """Store the current record of a job."""
    job_id = record.job.id
    _update_outbox(state, record)
    state.records_by_id[job_id] = record
    if record.phase is JobPhase.ACTIVE:
        state.active.setdefault(job_id)
        return
    state.active.pop(job_id, None)
    state.started.discard(job_id)
    state.possible_runs_by_job.pop(job_id, None)
    state.progress_by_id.pop(job_id, None)
    state.queue.remove(job_id)
    state.overdue_stopped_tasks.difference_update(
        (job_id, number) for number in range(record.job.task_count)
    )


def _update_outbox(state: DispatcherState, record: JobRecord) -> None:
    """Add a job to those to deliver, or remove it once it is delivered or is back."""
    outboxes = state.transfers.outbox_by_group
    previous = state.records_by_id.get(record.job.id)
    if previous is not None and is_undelivered(previous):
        del outboxes[previous.transfer.group][previous.transfer.sequence]
    if is_undelivered(record):
        outbox = outboxes.setdefault(record.transfer.group, SortedDict())
        outbox[record.transfer.sequence] = record.job.id


def get_fence(state: DispatcherState, server: Server) -> int:
    """Return the fencing token of the orders to the known process of a server."""
    return make_fence(state.term, server.process)


def assign_run_number(state: DispatcherState, key: tuple[JobId, int]) -> int:
    """Return the number of the next run of a task, higher than all earlier ones."""
    base = state.records_by_id[key[0]].run_base
    first = base + (state.term - 1) * RUNS_PER_TERM + 1
    number = max(first, state.run_number_by_task.get(key, 0) + 1)
    state.run_number_by_task[key] = number
    return number


def make_command_id(state: DispatcherState) -> str:
    """Return the id of the next command of this term."""
    command_id = f"{state.settings.id}:{state.term}:{state.next_command}"
    state.next_command += 1
    return command_id
