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
    has_authority,
)
from boragetide.controllers.explaining import explain_job
from boragetide.controllers.failed_lists import record_failed_read
from boragetide.controllers.isolating import place_suspects
from boragetide.controllers.job_records import apply_record
from boragetide.controllers.job_requests import (
    cancel_job,
    count_waiting,
    look_up_job,
    make_reply,
    submit_job,
)
from boragetide.controllers.leadership_changes import (
    gain_leadership,
    list_pending_requests,
    lose_leadership,
    read_all_servers,
)
from boragetide.controllers.lost_runs import (
    adopt_losses,
    assess_lost_runs,
    remove_old_losses,
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
from boragetide.controllers.placing_runs import place_runs
from boragetide.controllers.registrations import (
    apply_registration,
    needs_registration,
    register_servers,
    unregister_servers,
)
from boragetide.controllers.room_questions import answer_room_question, record_room
from boragetide.controllers.run_ends import acknowledge_ends
from boragetide.controllers.runs import read_runs, reconcile_runs
from boragetide.controllers.server_announcements import (
    deregister_server,
    report_server,
)
from boragetide.controllers.server_health import recover_speeds
from boragetide.controllers.server_table import (
    pass_on_servers,
    remove_stale_servers,
)
from boragetide.controllers.takeover import check_takeover
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
    release_read_server,
    review_unanswered_starts,
)
from boragetide.controllers.zone_service import (
    apply_zones,
    check_zone_view,
    end_trials,
)
from boragetide.durable import JobPhase
from boragetide.effects import Effect, Reply
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
    ReviewTransfers,
    RoomFound,
    RunOrdered,
    RunsRead,
    StopRequested,
    SubmitDurableJob,
    Tick,
    TransfersReviewed,
    WithdrawSubmissions,
    WokeUp,
)
from boragetide.policy import job_table
from boragetide.types import Seconds

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
def _(message: AuthorityExtended, state: DispatcherState, now: Seconds) -> list[Effect]:
    if message.term == state.term and state.fenced_term != state.term:
        state.authority_until = message.authority_until
    return []


@handle.register
def _(message: MembersChanged, state: DispatcherState, now: Seconds) -> list[Effect]:
    state.members = message.members
    return []


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
    if not (state.losses.has_open(message.server) and has_authority(state, now)):
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
    order = (message.server, message.job_id, message.task, message.run)
    goes_on = message.started and state.start_window.remove(order)
    effects = apply_order_result(state, message, now)
    if not message.started and state.stop_window.remove(order):
        effects += repeat_stops(state, now)
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
        state.stop_window.remove_old(now)
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
    return [*place_runs(state, now), *read_all_servers(state, now)]


@handle.register
def _(message: Drain, state: DispatcherState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(len(list_pending_requests(state))))]


handle.register(LeadershipGained, gain_leadership)
handle.register(LeadershipLost, lose_leadership)
handle.register(ReportServer, report_server)
handle.register(RemoveServer, deregister_server)
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
