"""Controller that dispatches durable jobs on the leader of the replicated log.

Only the leader sends orders to backend servers. The other members maintain the table of
backend servers, so that a new leader starts with a current one.
"""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch
from itertools import chain
from typing import Any

from boragetide.commands import AcceptJob, CancelJobs
from boragetide.controllers.arrivals import describe_arrival, observe_arrival
from boragetide.controllers.best_effort import (
    accept_best_effort,
    answer_resubmission,
    cancel_best_effort,
    has_returned,
    refuse_expired,
    refuse_if_late,
    restarts_when_resubmitted,
    withdraw_submissions,
)
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    has_authority,
    store_record,
    update_server_index,
)
from boragetide.controllers.held_submissions import (
    fits_elsewhere,
    hold_submission,
    list_held_requests,
)
from boragetide.controllers.isolating import place_suspects
from boragetide.controllers.job_records import (
    append_command,
    apply_record,
    make_transfer_reply,
)
from boragetide.controllers.lost_runs import (
    adopt_losses,
    assess_lost_runs,
    load_losses,
    remove_old_losses,
    settle_announced,
    settle_crashes,
    settle_survival,
)
from boragetide.controllers.orders import (
    apply_order_result,
    free_expired_runs,
    record_failed_read,
    repeat_stops,
    stop_overdue,
)
from boragetide.controllers.overload import (
    check_admission,
    measure_order,
    measure_submission,
    refuse_submissions,
)
from boragetide.controllers.placing_runs import (
    check_takeover,
    place_runs,
    update_queue,
)
from boragetide.controllers.refusals import (
    REASON_TOO_LARGE,
    refuse_job,
    refuse_void_submission,
)
from boragetide.controllers.registrations import (
    apply_registration,
    needs_registration,
    register_servers,
    unregister_servers,
)
from boragetide.controllers.run_ends import acknowledge_ends
from boragetide.controllers.runs import read_runs, reconcile_runs
from boragetide.controllers.server_health import recover_speeds
from boragetide.controllers.server_table import (
    apply_report,
    pass_on_servers,
    remove_server,
    remove_stale_servers,
)
from boragetide.controllers.transfer_state import TransferState
from boragetide.controllers.transfers import (
    adopt_delivered,
    answer_review,
    answer_room_question,
    apply_commits,
    ask_for_room,
    confirm_delivered,
    drop_reviewed,
    record_room,
    review_transfers,
)
from boragetide.durable import DurableJob, JobPhase, JobRecord
from boragetide.effects import Effect, LogEvent, Reply, Send, SetGauge
from boragetide.messages import (
    AuthorityExtended,
    CancelDurableJob,
    ConfigurationChanged,
    CountWaiting,
    DeliverJobs,
    DispatcherReply,
    Drain,
    DrainState,
    FindRoom,
    JobsCommitted,
    JobsDelivered,
    LeadershipGained,
    LeadershipLost,
    LookUpDurableJob,
    MembersChanged,
    ReadFailed,
    RefuseSubmissions,
    RemoveServer,
    ReplyStatus,
    ReportServer,
    Request,
    ReviewTransfers,
    RoomFound,
    RunOrdered,
    RunsRead,
    ServerReported,
    StopRequested,
    SubmitDurableJob,
    Tick,
    TransfersReviewed,
    WithdrawSubmissions,
    WokeUp,
)
from boragetide.policy import job_table
from boragetide.policy.overload import AdmissionControl
from boragetide.policy.scheduling import can_ever_fit
from boragetide.policy.transfer_table import is_undelivered
from boragetide.types import Address, ReplyTo, Seconds

REVIEW_INTERVAL: Seconds = 1.0
UNKNOWN_TASK_RETENTION: Seconds = 3.0


@singledispatch
def handle(message: Any, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Apply one message to the durable jobs and their backend servers."""
    raise TypeError(f"dispatcher cannot handle {message!r}")


@handle.register
def _(message: SubmitDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    measured = measure_submission(message, state, now)
    return [*measured, *_submit(message, state, now)]


@handle.register
def _(message: RefuseSubmissions, state: DispatcherState, now: Seconds) -> list[Effect]:
    return refuse_submissions(message, state, now)


def _submit(
    message: SubmitDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    job = message.job
    record = state.records_by_id.get(job.id)
    if record is not None and not _runs_again(message, record, state):
        return answer_resubmission(message, state, record)
    pending = state.command_by_job.get(job.id)
    if pending is not None:
        state.replies_by_command[pending].append(message.reply_to)
        return []
    job = _with_submission_time(message, now)
    arrival = describe_arrival(message, now)
    refused = refuse_void_submission(message, job, state, arrival, now)
    refused = refused or refuse_if_late(message, job, state, arrival, now)
    if refused:
        return refused
    if not _can_ever_fit(job, state):
        elsewhere = fits_elsewhere(state, job, now)
        if elsewhere is None:
            hold_submission(message, state, now)
            return ask_for_room(state, now)
        if not elsewhere:
            waiters = [message.reply_to]
            return refuse_job(
                state, job, waiters, REASON_TOO_LARGE, now, arrival=arrival
            )
    if job.best_effort:
        accepted = accept_best_effort(
            job, message.reply_to, arrival, state, now, transfers=message.transfers
        )
        return [*observe_arrival(message, now), *accepted]
    append = append_command(state, AcceptJob(job))
    (command_id,) = append.message.commands_by_id
    state.command_by_job[job.id] = command_id
    state.replies_by_command[command_id] = [message.reply_to]
    return [*observe_arrival(message, now), append]


def _runs_again(
    message: SubmitDurableJob, record: JobRecord, state: DispatcherState
) -> bool:
    """Return whether the submission of a known job makes it run from the start."""
    if record.phase is JobPhase.TRANSFERRED:
        return has_returned(record, message)
    is_void = state.fence.is_void(record.job.id, message.submitted_at)
    return restarts_when_resubmitted(record) and not is_void


def _with_submission_time(message: SubmitDurableJob, now: Seconds) -> DurableJob:
    """Return the job with its submission time on this instance's clock.

    The time on the way is included if the sender knows this clock.
    """
    arrived_at = now if message.arrived_at is None else message.arrived_at
    submitted_at = arrived_at - message.age
    if message.submitted_at is not None:
        submitted_at = min(submitted_at, message.submitted_at)
    return replace(message.job, submitted_at=submitted_at)


def _can_ever_fit(job: DurableJob, state: DispatcherState) -> bool:
    """Return whether a job can run on the known backend servers.

    If each step fits a backend server with free capacity, the total capacities need not
    be compared. A capacity that has shrunk may grow again.
    """
    servers = state.servers_by_id
    server_by_step = {
        step: next(state.index.iterate(job.starts.pool, step.needs.millicores), None)
        for step in job.steps
    }
    if all(
        server is not None and step.needs.fits_in(servers[server].free_resources)
        for step, server in server_by_step.items()
    ):
        return True
    capacities = [
        server.largest_capacity
        for server in servers.values()
        if server.report.pool == job.starts.pool and not server.departed
    ]
    return can_ever_fit(job, capacities)


@handle.register
def _(message: CancelDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    record = state.records_by_id.get(message.id)
    if message.id in state.transfers.command_by_job:
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    if record is not None and record.phase is JobPhase.TRANSFERRED:
        return _cancel_transferred(message, state, record, now)
    if record is None and message.id not in state.command_by_job:
        # The submission may still be on its way.
        state.fence.void(message.id, now)
        return [_reply(message, ReplyStatus.NOT_FOUND)]
    if record is not None and record.phase is not JobPhase.ACTIVE:
        return [_reply(message, ReplyStatus.ACCEPTED)]
    if record is not None and record.job.best_effort:
        return [
            *cancel_best_effort(state, record, now),
            _reply(message, ReplyStatus.ACCEPTED),
        ]
    append = append_command(state, CancelJobs((message.id,)))
    (command_id,) = append.message.commands_by_id
    state.replies_by_command[command_id] = [message.reply_to]
    return [append]


def _cancel_transferred(
    message: CancelDurableJob, state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Direct a cancellation to the group that has the job."""
    if has_returned(record, message):
        # The submission to this group may still be on its way.
        state.fence.void(message.id, now)
        return [_reply(message, ReplyStatus.NOT_FOUND)]
    if is_undelivered(record):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    return [Reply(message.reply_to, make_transfer_reply(state, record))]


@handle.register
def _(
    message: WithdrawSubmissions, state: DispatcherState, now: Seconds
) -> list[Effect]:
    if not has_authority(state, now):
        return []
    return withdraw_submissions(message, state, now)


@handle.register
def _(message: LookUpDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    record = state.records_by_id.get(message.id)
    if record is None:
        return [_reply(message, ReplyStatus.NOT_FOUND)]
    if record.phase is JobPhase.TRANSFERRED and record.transfer.delivered:
        return [Reply(message.reply_to, make_transfer_reply(state, record))]
    shown = _describe_state(state, record)
    return [_reply(message, ReplyStatus.FOUND, state=shown)]


def _describe_state(state: DispatcherState, record: JobRecord) -> str:
    if record.phase not in (JobPhase.ACTIVE, JobPhase.TRANSFERRED):
        return record.phase.value
    has_started = record.job.id in state.started or record.done or record.failures
    return "running" if has_started else "queued"


@handle.register
def _(message: CountWaiting, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    undelivered = chain.from_iterable(
        outbox.values() for outbox in state.transfers.outbox_by_group.values()
    )
    count = sum(
        record.job.class_name == message.class_name
        and _describe_state(state, record) == "queued"
        for record in map(
            state.records_by_id.__getitem__, chain(state.active, undelivered)
        )
    )
    return [_reply(message, ReplyStatus.FOUND, count=count)]


def _reply(message: Request, status: ReplyStatus, **fields: Any) -> Reply:
    return Reply(message.reply_to, DispatcherReply(status, **fields))


@handle.register
def _(message: JobsCommitted, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    for record in message.records:
        known = state.records_by_id.get(record.job.id)
        is_new = known is None or known.phase is JobPhase.TRANSFERRED
        if is_new:
            adopt_losses(state, record)
        effects += apply_record(state, record, now, is_new=is_new)
    for command_id in message.command_ids:
        waiting = state.replies_by_command.pop(command_id, ())
        accepted = DispatcherReply(ReplyStatus.ACCEPTED)
        effects += [Reply(reply_to, accepted) for reply_to in waiting]
        ends = state.pending_ends_by_command.pop(command_id, None)
        if ends is None:
            continue
        acknowledge_ends(state, ends)
        server = state.servers_by_id.get(ends.server_id)
        if server is not None:
            effects += read_runs(state, server, now)
    effects += apply_commits(state, message.command_ids, now)
    registered = apply_registration(state, message.command_ids)
    if registered:
        effects += [*registered, *register_servers(state, now)]
        effects += place_suspects(state, now)
    return [*effects, *_place_and_read(state, now)]


@handle.register
def _(message: LeadershipGained, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Load the committed jobs and read the runs of every backend server."""
    _clear_leader_state(state)
    state.term = message.term
    state.authority_until = message.authority_until
    state.leader_since = now
    state.predecessor_until = message.predecessor_until
    state.missed_predecessor = message.missed_predecessor
    state.server_born_by_id = dict(message.server_born_by_id)
    for record in message.records:
        store_record(state, record)
    state.started = {
        job_id
        for job_id in state.active
        if state.records_by_id[job_id].done or state.records_by_id[job_id].failures
    }
    effects = load_losses(state, message.records, now)
    for job_id in state.active:
        update_queue(state, job_id)
    fields = {
        "term": state.term,
        "jobs": len(state.active),
        "servers": len(state.servers_by_id),
        "registered": len(state.server_born_by_id),
        "missed_predecessor": state.missed_predecessor,
    }
    began = LogEvent("dispatch_began", fields)
    return [began, *effects, *_read_all_servers(state, now)]


def _clear_leader_state(state: DispatcherState) -> None:
    """Clear the state that only a leader holds; committed records stay in the log."""
    state.term = 0
    state.authority_until = 0.0
    state.records_by_id.clear()
    state.active.clear()
    state.server_by_task.clear()
    state.started.clear()
    state.takeover_complete = False
    state.waiters_by_job.clear()
    state.admission = AdmissionControl()
    state.done_tasks_of_unknown_jobs.clear()
    state.overdue_stopped_tasks.clear()
    state.run_number_by_task.clear()
    state.pending_ends_by_command.clear()
    state.replies_by_command.clear()
    state.command_by_job.clear()
    state.server_born_by_id.clear()
    state.pending_registration = None
    state.process_count = 0
    state.queue.clear()
    state.lost_runs.clear()
    state.losses_by_job.clear()
    state.lost_servers.clear()
    state.suspects_by_job.clear()
    state.isolated_servers.clear()
    state.transfers = TransferState()
    for server in state.servers_by_id.values():
        server.clear_runs()
        update_server_index(state, server)


@handle.register
def _(message: LeadershipLost, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Answer pending requests as undecided, so that callers ask the next leader."""
    term = state.term
    waiting = _list_pending_requests(state)
    _clear_leader_state(state)
    undecided = DispatcherReply(ReplyStatus.UNDECIDED)
    return [
        LogEvent("dispatch_ended", {"term": term, "waiting": len(waiting)}),
        SetGauge("stranded_jobs", 0),
        *(Reply(reply_to, undecided) for reply_to in waiting),
    ]


@handle.register
def _(message: AuthorityExtended, state: DispatcherState, now: Seconds) -> list[Effect]:
    if message.term == state.term and state.fenced_term != state.term:
        state.authority_until = message.authority_until
    return []


@handle.register
def _(message: MembersChanged, state: DispatcherState, now: Seconds) -> list[Effect]:
    state.members = message.members
    return []


@handle.register
def _(message: ReportServer, state: DispatcherState, now: Seconds) -> list[Effect]:
    report, age = message.report, message.find_age(now)
    effects = apply_report(state, report, age, now)
    effects += settle_announced(state, report, now)
    if not message.passed_on:
        onward = ReportServer(report=report, passed_on=True, age=age)
        effects += _forward_to_members(state, onward)
    leads = has_authority(state, now)
    effects.append(Reply(message.reply_to, ServerReported(leads)))
    server = state.servers_by_id.get(report.id)
    if leads and server is not None:
        effects += read_runs(state, server, now)
    return effects


def _forward_to_members(state: DispatcherState, message: Request) -> list[Effect]:
    return [
        Send(Address(other, "dispatcher"), message) for other in state.other_members
    ]


@handle.register
def _(message: RemoveServer, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects = remove_server(state, message.id, message.born)
    if has_authority(state, now):
        effects += settle_survival(state, message.id, message.born, now)
    if not message.passed_on:
        onward = RemoveServer(id=message.id, born=message.born, passed_on=True)
        effects += _forward_to_members(state, onward)
    known = ServerReported(has_authority(state, now))
    return [*effects, Reply(message.reply_to, known)]


@handle.register
def _(message: RunsRead, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects = reconcile_runs(state, message, now)
    settled = _settle_listed(state, message, now)
    effects += settled
    takeover = check_takeover(state, now)
    effects += takeover
    server = state.servers_by_id.get(message.server)
    if takeover or (server is not None and needs_registration(state, server)):
        effects += register_servers(state, now)
    if settled or (server is not None and server.isolated):
        effects += place_suspects(state, now)
    effects += place_runs(state, now)
    if server is not None:
        effects += read_runs(state, server, now)
    return effects


def _settle_listed(
    state: DispatcherState, message: RunsRead, now: Seconds
) -> list[Effect]:
    """Settle the losses whose fate a list of runs shows."""
    effects = assess_lost_runs(state, now)
    server = state.servers_by_id.get(message.server)
    if message.server not in state.lost_servers or not has_authority(state, now):
        return effects
    if server is None or message.born < server.report.born:
        return effects
    effects += settle_crashes(state, server.report, now)
    return [*effects, *settle_survival(state, message.server, message.born, now)]


@handle.register
def _(message: ReadFailed, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects = record_failed_read(state, message, now)
    server = state.servers_by_id.get(message.server)
    if server is not None:
        effects += read_runs(state, server, now)
    return effects


@handle.register
def _(message: RunOrdered, state: DispatcherState, now: Seconds) -> list[Effect]:
    measured = measure_order(message, state, now)
    effects = apply_order_result(state, message, now)
    server = state.servers_by_id.get(message.server)
    if server is not None:
        effects += read_runs(state, server, now)
    if not effects:
        return measured
    return [*measured, *effects, *place_runs(state, now)]


@handle.register
def _(
    message: ConfigurationChanged, state: DispatcherState, now: Seconds
) -> list[Effect]:
    state.configuration = message.configuration
    return []


@handle.register
def _(message: Tick, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    if now >= state.next_review:
        state.next_review = now + REVIEW_INTERVAL
        job_table.drop_ended_jobs(state.records_by_id, now)
        state.remove_unused_run_numbers()
        state.fence.remove_old(now)
        remove_stale_servers(state, now)
        recover_speeds(state, now)
        _remove_old_unknown_tasks(state, now)
        remove_old_losses(state, now)
        if has_authority(state, now):
            effects += pass_on_servers(state, now)
            effects += unregister_servers(state, now)
            effects += register_servers(state, now)
    if not has_authority(state, now):
        return effects
    effects += check_admission(state, now)
    takeover = check_takeover(state, now)
    if takeover:
        effects += [*takeover, *register_servers(state, now)]
    effects += free_expired_runs(state, now)
    effects += assess_lost_runs(state, now)
    effects += stop_overdue(state, now)
    effects += repeat_stops(state, now)
    effects += refuse_expired(state, now)
    effects += place_suspects(state, now)
    effects += review_transfers(state, now)
    return [*effects, *_place_and_read(state, now)]


def _remove_old_unknown_tasks(state: DispatcherState, now: Seconds) -> None:
    for task, listed_at in list(state.done_tasks_of_unknown_jobs.items()):
        if now - listed_at > UNKNOWN_TASK_RETENTION:
            del state.done_tasks_of_unknown_jobs[task]


def _place_and_read(state: DispatcherState, now: Seconds) -> list[Effect]:
    return [*place_runs(state, now), *_read_all_servers(state, now)]


def _read_all_servers(state: DispatcherState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        effects += read_runs(state, server, now)
    return effects


@handle.register
def _(message: Drain, state: DispatcherState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(len(_list_pending_requests(state))))]


def _list_pending_requests(state: DispatcherState) -> list[ReplyTo | None]:
    """Return all requests that have no answer yet."""
    waiting = [
        reply_to
        for waiting in (state.replies_by_command, state.waiters_by_job)
        for each in waiting.values()
        for reply_to in each
    ]
    return [*waiting, *list_held_requests(state)]


@handle.register
def _(message: FindRoom, state: DispatcherState, now: Seconds) -> list[Effect]:
    return answer_room_question(message, state, now)


@handle.register
def _(message: RoomFound, state: DispatcherState, now: Seconds) -> list[Effect]:
    return record_room(message, state, now)


@handle.register
def _(message: DeliverJobs, state: DispatcherState, now: Seconds) -> list[Effect]:
    return adopt_delivered(message, state, now)


@handle.register
def _(message: JobsDelivered, state: DispatcherState, now: Seconds) -> list[Effect]:
    return confirm_delivered(message, state, now)


@handle.register
def _(message: ReviewTransfers, state: DispatcherState, now: Seconds) -> list[Effect]:
    return answer_review(message, state, now)


@handle.register
def _(message: TransfersReviewed, state: DispatcherState, now: Seconds) -> list[Effect]:
    return drop_reviewed(message, state, now)


@handle.register(StopRequested)
@handle.register(WokeUp)
def _(message: Any, state: DispatcherState, now: Seconds) -> list[Effect]:
    return []
