"""Controller that dispatches durable jobs on the leader of the replicated log.

Only the leader sends orders to backend servers. The other members maintain the table of
backend servers, so that a new leader starts with a current one.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from boragetide.controllers.best_effort import refuse_expired, withdraw_submissions
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    clear_leader_state,
    has_authority,
    store_record,
)
from boragetide.controllers.explaining import explain_job
from boragetide.controllers.failed_lists import record_failed_read
from boragetide.controllers.held_submissions import list_held_requests
from boragetide.controllers.isolating import place_suspects
from boragetide.controllers.job_records import apply_record
from boragetide.controllers.job_requests import (
    cancel_job,
    count_waiting,
    look_up_job,
    make_reply,
    submit_job,
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
from boragetide.controllers.registrations import (
    apply_registration,
    needs_registration,
    register_servers,
    unregister_servers,
)
from boragetide.controllers.room_questions import answer_room_question, record_room
from boragetide.controllers.run_ends import acknowledge_ends
from boragetide.controllers.runs import read_runs, reconcile_runs
from boragetide.controllers.server_health import recover_speeds
from boragetide.controllers.server_table import (
    apply_report,
    pass_on_servers,
    remove_server,
    remove_stale_servers,
)
from boragetide.controllers.transfers import (
    adopt_delivered,
    answer_review,
    apply_commits,
    confirm_delivered,
    drop_reviewed,
    review_transfers,
)
from boragetide.controllers.unanswered_calls import report_unanswered_calls
from boragetide.controllers.unanswered_starts import (
    confirm_record,
    load_unanswered_starts,
    release_read_server,
    review_unanswered_starts,
)
from boragetide.controllers.zone_service import (
    apply_zones,
    check_zone_view,
    end_trials,
)
from boragetide.durable import JobPhase
from boragetide.effects import Effect, LogEvent, Reply, Send, SetGauge
from boragetide.messages import (
    AuthorityExtended,
    CancelDurableJob,
    ConfigurationChanged,
    ConfigurationConfirmed,
    CountWaiting,
    DeliverJobs,
    DispatcherReply,
    Drain,
    DrainState,
    ExplainDurableJob,
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
from boragetide.types import Address, ReplyTo, Seconds

REVIEW_INTERVAL: Seconds = 1.0
UNKNOWN_TASK_RETENTION: Seconds = 3.0


@singledispatch
def handle(message: Any, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Apply one message to the durable jobs and their backend servers."""
    raise TypeError(f"dispatcher cannot handle {message!r}")


@handle.register
def _(message: SubmitDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now) or message.term not in (0, state.term):
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    measured = measure_submission(message, state, now)
    return [*measured, *submit_job(message, state, now)]


@handle.register
def _(message: RefuseSubmissions, state: DispatcherState, now: Seconds) -> list[Effect]:
    return refuse_submissions(message, state, now)


@handle.register
def _(message: CancelDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    return cancel_job(message, state, now)


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
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    return look_up_job(message, state)


@handle.register
def _(message: ExplainDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    return explain_job(message, state, now)


@handle.register
def _(message: CountWaiting, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [make_reply(message, ReplyStatus.NOT_LEADER)]
    return count_waiting(message, state)


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
        cancelled = state.cancel_replies_by_command.pop(command_id, None)
        effects += [] if cancelled is None else [cancelled]
        ends = state.pending_ends_by_command.pop(command_id, None)
        if ends is None:
            continue
        acknowledge_ends(state, ends)
        server = state.servers_by_id.get(ends.server_id)
        if server is not None:
            effects += read_runs(state, server, now)
    effects += apply_commits(state, message.command_ids, now)
    confirm_record(state, message.command_ids)
    registered = apply_registration(state, message.command_ids)
    if registered:
        effects += [*registered, *register_servers(state, now)]
        effects += place_suspects(state, now)
    return [*effects, *_place_and_read(state, now)]


@handle.register
def _(message: LeadershipGained, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Load the committed jobs and read the runs of every backend server."""
    clear_leader_state(state)
    state.term = message.term
    state.authority_until = message.authority_until
    state.leader_since = now
    state.predecessor_until = message.predecessor_until
    state.missed_predecessor = message.missed_predecessor
    state.server_born_by_id = dict(message.server_born_by_id)
    load_unanswered_starts(state, message.unanswered_starts)
    state.cancelled_at_by_job = dict(message.cancelled_at_by_job)
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


@handle.register
def _(message: LeadershipLost, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Answer pending requests as undecided, so that callers ask the next leader."""
    term = state.term
    waiting = _list_pending_requests(state)
    clear_leader_state(state)
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
    release_read_server(state, message.server)
    settled = _settle_listed(state, message, now)
    effects += settled
    takeover = check_takeover(state, now)
    effects += takeover
    server = state.servers_by_id.get(message.server)
    if takeover:
        # Jobs that expired during the takeover would be started below.
        effects += refuse_expired(state, now)
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
    has_answered = message.born == message.target_born == server.report.born
    effects += settle_crashes(state, server.report, now, has_answered=has_answered)
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
    start = (message.server, message.job_id, message.task, message.run)
    goes_on = message.started and state.start_window.remove(start)
    effects = apply_order_result(state, message, now)
    server = state.servers_by_id.get(message.server)
    if server is not None:
        effects += read_runs(state, server, now)
    if not (effects or goes_on):
        return measured
    return [*measured, *effects, *place_runs(state, now)]


@handle.register
def _(
    message: ConfigurationChanged, state: DispatcherState, now: Seconds
) -> list[Effect]:
    state.configuration = message.configuration
    return apply_zones(state, message.configuration, now)


@handle.register
def _(
    message: ConfigurationConfirmed, state: DispatcherState, now: Seconds
) -> list[Effect]:
    state.zones.confirm(message.version, message.confirmed_at)
    if state.old_view_since is None:
        return []
    return [*check_zone_view(state, now), *place_runs(state, now)]


@handle.register
def _(message: Tick, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    if now >= state.next_review:
        state.next_review = now + REVIEW_INTERVAL
        job_table.drop_ended_jobs(state.records_by_id, now)
        state.remove_unused_run_numbers()
        state.fence.remove_old(now)
        state.start_window.remove_old(now)
        job_table.drop_old_notes(state.cancelled_at_by_job, now)
        remove_stale_servers(state, now)
        recover_speeds(state, now)
        _remove_old_unknown_tasks(state, now)
        remove_old_losses(state, now)
        if has_authority(state, now):
            effects += pass_on_servers(state, now)
            effects += unregister_servers(state, now)
            effects += register_servers(state, now)
            effects += report_unanswered_calls(state)
        end_trials(state, now)
    effects += check_zone_view(state, now)
    if not has_authority(state, now):
        return effects
    effects += check_admission(state, now)
    takeover = check_takeover(state, now)
    if takeover:
        effects += [*takeover, *register_servers(state, now)]
    effects += free_expired_runs(state, now)
    effects += review_unanswered_starts(state, now)
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
    waiting += [reply.to for reply in state.cancel_replies_by_command.values()]
    return [*waiting, *list_held_requests(state)]


handle.register(FindRoom, answer_room_question)
handle.register(RoomFound, record_room)
handle.register(DeliverJobs, adopt_delivered)
handle.register(JobsDelivered, confirm_delivered)
handle.register(ReviewTransfers, answer_review)
handle.register(TransfersReviewed, drop_reviewed)


@handle.register(StopRequested)
@handle.register(WokeUp)
def _(message: Any, state: DispatcherState, now: Seconds) -> list[Effect]:
    return []
