"""Dispatches durable jobs: at the leader of the log, which alone gives orders.

The other members keep the table of backend servers: a new leader begins with it.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from boragetide.commands import AcceptJob, CancelJobs
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    RunPhase,
    Server,
    has_authority,
    keep_record,
)
from boragetide.controllers.placing_runs import (
    ANNOUNCEMENT_SILENCE,
    check_takeover,
    place,
    requeue,
)
from boragetide.controllers.runs import (
    adopt_foreign,
    append_command,
    free_lapsed,
    free_run,
    note_kept,
    read_runs,
    stop_overdue,
    take_failed_read,
    take_order,
    take_record,
    take_runs,
)
from boragetide.durable import JobPhase, JobRecord, ServerReport
from boragetide.effects import Count, Effect, LogEvent, Reply, Send
from boragetide.messages import (
    AuthorityExtended,
    CancelDurableJob,
    ConfigurationChanged,
    CountWaiting,
    DispatcherReply,
    Drain,
    DrainState,
    JobsCommitted,
    LeadershipGained,
    LeadershipLost,
    LookUpDurableJob,
    ReadFailed,
    RemoveServer,
    ReplyStatus,
    ReportServer,
    Request,
    RunOrdered,
    RunsRead,
    ServerReported,
    StopRequested,
    SubmitDurableJob,
    Tick,
    WokeUp,
)
from boragetide.policy import job_table
from boragetide.policy.scheduling import can_ever_fit
from boragetide.types import Address, ReplyTo, Seconds

REVIEW_INTERVAL: Seconds = 1.0
FORGET_SERVER: Seconds = 30.0
# The usual burst of a site is over by then.
RETRY_AFTER: Seconds = 4.0
FORGET_FOREIGN: Seconds = 3.0


@singledispatch
def handle(message: Any, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Apply one message to the durable jobs and their backend servers."""
    raise TypeError(f"dispatcher cannot handle {message!r}")


@handle.register
def _(message: SubmitDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    job = message.job
    record = state.records_by_id.get(job.id)
    if record is not None and not _runs_again(record):
        return _attach(message, state, record)
    pending = state.command_by_job.get(job.id)
    if pending is not None:
        state.replies_by_command[pending].append(message.reply_to)
        return []
    capacities = [
        server.report.capacity
        for server in state.servers_by_id.values()
        if server.report.pool == job.starts.pool and not server.gone
    ]
    if not can_ever_fit(job, capacities):
        reason = "no backend server is large enough for one of its tasks"
        fields = {"job": job.id, "class": job.class_name, "reason": reason}
        # Nothing larger joins soon: a caller need not come back before it is told.
        refused = _reply(message, ReplyStatus.REFUSED, reason=reason, term=state.term)
        count = Count("durable_jobs_refused")
        return [LogEvent("job_refused", fields), count, refused]
    if job.best_effort:
        return _accept_best_effort(message, state, now)
    append = append_command(state, AcceptJob(job))
    (command_id,) = append.message.commands_by_id
    state.command_by_job[job.id] = command_id
    state.replies_by_command[command_id] = [message.reply_to]
    return [append]


def _runs_again(record: JobRecord) -> bool:
    """Tell whether a job that is submitted again runs again from the start."""
    return record.job.best_effort and record.phase is JobPhase.CANCELLED


def _attach(
    message: SubmitDurableJob, state: DispatcherState, record: JobRecord
) -> list[Effect]:
    """Answer a resubmission, or let it wait for the end of a best-effort job."""
    if record.job.best_effort and record.phase is JobPhase.ACTIVE:
        waiters = state.waiters_by_job.setdefault(record.job.id, [])
        waiters.append(message.reply_to)
        return []
    return [_reply(message, ReplyStatus.ACCEPTED, state=record.phase.value)]


def _accept_best_effort(
    message: SubmitDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    job = message.job
    state.records_by_id.pop(job.id, None)
    state.waiters_by_job[job.id] = [message.reply_to]
    record = JobRecord(job, changed_at=now)
    effects = take_record(state, record, now, is_new=True)
    effects += adopt_foreign(state, record, now)
    return [*effects, *place(state, now)]


@handle.register
def _(message: CancelDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    record = state.records_by_id.get(message.id)
    if record is None and message.id not in state.command_by_job:
        return [_reply(message, ReplyStatus.NOT_FOUND)]
    if record is not None and record.phase is not JobPhase.ACTIVE:
        return [_reply(message, ReplyStatus.ACCEPTED)]
    if record is not None and record.job.best_effort:
        return [
            *_cancel_best_effort(state, record, now),
            _reply(message, ReplyStatus.ACCEPTED),
        ]
    append = append_command(state, CancelJobs((message.id,)))
    (command_id,) = append.message.commands_by_id
    state.replies_by_command[command_id] = [message.reply_to]
    return [append]


def _cancel_best_effort(
    state: DispatcherState, record: JobRecord, now: Seconds
) -> list[Effect]:
    """Cancel a job whose caller is gone, unless another request waits for it."""
    job_id = record.job.id
    if len(state.waiters_by_job.get(job_id, ())) > 1:
        return []
    job_table.cancel_job(state.records_by_id, job_id, now)
    return take_record(state, state.records_by_id[job_id], now)


@handle.register
def _(message: LookUpDurableJob, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    record = state.records_by_id.get(message.id)
    if record is None:
        return [_reply(message, ReplyStatus.NOT_FOUND)]
    shown = _show(state, record)
    return [_reply(message, ReplyStatus.FOUND, state=shown)]


def _show(state: DispatcherState, record: JobRecord) -> str:
    if record.phase is not JobPhase.ACTIVE:
        return record.phase.value
    has_started = record.job.id in state.started or record.done or record.failures
    return "running" if has_started else "queued"


@handle.register
def _(message: CountWaiting, state: DispatcherState, now: Seconds) -> list[Effect]:
    if not has_authority(state, now):
        return [_reply(message, ReplyStatus.NOT_LEADER)]
    count = sum(
        record.job.class_name == message.class_name and _show(state, record) == "queued"
        for record in (state.records_by_id[job_id] for job_id in state.active)
    )
    return [_reply(message, ReplyStatus.FOUND, count=count)]


def _reply(message: Request, status: ReplyStatus, **fields: Any) -> Reply:
    return Reply(message.reply_to, DispatcherReply(status, **fields))


@handle.register
def _(message: JobsCommitted, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    for record in message.records:
        is_new = record.job.id not in state.records_by_id
        effects += take_record(state, record, now, is_new=is_new)
    for command_id in message.command_ids:
        waiting = state.replies_by_command.pop(command_id, ())
        accepted = DispatcherReply(ReplyStatus.ACCEPTED)
        effects += [Reply(reply_to, accepted) for reply_to in waiting]
        ends = state.ends_by_command.pop(command_id, None)
        if ends is None:
            continue
        note_kept(state, ends)
        server = state.servers_by_id.get(ends.server_id)
        if server is not None:
            effects += read_runs(state, server, now)
    return [*effects, *_place_and_read(state, now)]


@handle.register
def _(message: LeadershipGained, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Begin with what is kept, and ask every backend server what runs there."""
    _drop_leadership(state)
    state.term = message.term
    state.authority_until = message.authority_until
    state.leading_since = now
    state.predecessor_until = message.predecessor_until
    for record in message.records:
        keep_record(state, record)
    state.started = {
        job_id
        for job_id in state.active
        if state.records_by_id[job_id].done or state.records_by_id[job_id].failures
    }
    for job_id in state.active:
        requeue(state, job_id)
    fields = {
        "term": state.term,
        "jobs": len(state.active),
        "servers": len(state.servers_by_id),
    }
    return [LogEvent("dispatch_began", fields), *_read_all(state, now)]


def _drop_leadership(state: DispatcherState) -> None:
    """Forget all that only a leader knows; the kept records stay with the log."""
    state.term = 0
    state.authority_until = 0.0
    state.records_by_id.clear()
    state.active.clear()
    state.occupied.clear()
    state.started.clear()
    state.taken_over = False
    state.waiters_by_job.clear()
    state.foreign_done.clear()
    state.stopped_once.clear()
    state.run_by_task.clear()
    state.ends_by_command.clear()
    state.replies_by_command.clear()
    state.command_by_job.clear()
    state.queue.clear()
    for server in state.servers_by_id.values():
        server.reset_runs()


@handle.register
def _(message: LeadershipLost, state: DispatcherState, now: Seconds) -> list[Effect]:
    """Send those who wait to the next leader, which decides."""
    term = state.term
    waiting = _list_waiting(state)
    _drop_leadership(state)
    undecided = DispatcherReply(ReplyStatus.UNDECIDED)
    return [
        LogEvent("dispatch_ended", {"term": term, "waiting": len(waiting)}),
        *(Reply(reply_to, undecided) for reply_to in waiting),
    ]


@handle.register
def _(message: AuthorityExtended, state: DispatcherState, now: Seconds) -> list[Effect]:
    if state.term:
        state.authority_until = message.authority_until
    return []


@handle.register
def _(message: ReportServer, state: DispatcherState, now: Seconds) -> list[Effect]:
    report = message.report
    effects = _take_report(state, report, now)
    if not message.passed_on:
        effects += _pass_on(state, ReportServer(report=report, passed_on=True))
    leads = has_authority(state, now)
    effects.append(Reply(message.reply_to, ServerReported(leads)))
    server = state.servers_by_id.get(report.id)
    if leads and server is not None:
        effects += read_runs(state, server, now)
    return effects


def _pass_on(state: DispatcherState, message: Request) -> list[Effect]:
    return [Send(Address(other, "dispatcher"), message) for other in state.others]


def _take_report(
    state: DispatcherState, report: ServerReport, now: Seconds
) -> list[Effect]:
    server = state.servers_by_id.get(report.id)
    if server is None or report.born > server.report.born:
        return _take_new_life(state, report, server, now)
    if report.born < server.report.born or (report.sequence <= server.report.sequence):
        return []
    was_draining = server.report.draining
    server.report = report
    server.heard_at = now
    if report.draining and not was_draining:
        return [LogEvent("backend_server_draining", {"server": report.id})]
    return []


def _take_new_life(
    state: DispatcherState, report: ServerReport, former: Server | None, now: Seconds
) -> list[Effect]:
    """Take a backend server that is new, or that knows nothing of its earlier life."""
    effects: list[Effect] = []
    if former is not None:
        for run in list(former.runs_by_task.values()):
            if run.phase is not RunPhase.ENDED:
                effects += free_run(state, former, run, "server_restarted")
    state.servers_by_id[report.id] = Server(report, now)
    fields = {
        "server": report.id,
        "pool": report.pool,
        "zone": report.zone,
        "born": report.born,
        "millicores": report.capacity.millicores,
        "servers": len(state.servers_by_id),
    }
    return [*effects, LogEvent("backend_server_joined", fields)]


@handle.register
def _(message: RemoveServer, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    server = state.servers_by_id.get(message.id)
    if server is not None and message.born in (0, server.report.born):
        server.gone = True
        effects.append(LogEvent("backend_server_left", {"server": message.id}))
    if not message.passed_on:
        onward = RemoveServer(id=message.id, born=message.born, passed_on=True)
        effects += _pass_on(state, onward)
    known = ServerReported(has_authority(state, now))
    return [*effects, Reply(message.reply_to, known)]


@handle.register
def _(message: RunsRead, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects = take_runs(state, message, now)
    effects += check_takeover(state, now)
    server = state.servers_by_id.get(message.server)
    effects += place(state, now)
    if server is not None:
        effects += read_runs(state, server, now)
    return effects


@handle.register
def _(message: ReadFailed, state: DispatcherState, now: Seconds) -> list[Effect]:
    return take_failed_read(state, message, now)


@handle.register
def _(message: RunOrdered, state: DispatcherState, now: Seconds) -> list[Effect]:
    effects = take_order(state, message, now)
    server = state.servers_by_id.get(message.server)
    if server is not None:
        effects += read_runs(state, server, now)
    return [*effects, *place(state, now)] if effects else []


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
        job_table.forget_ended(state.records_by_id, now)
        _forget_servers(state, now)
        _forget_foreign(state, now)
    if not has_authority(state, now):
        return effects
    effects += check_takeover(state, now)
    effects += free_lapsed(state, now)
    effects += stop_overdue(state, now)
    effects += _refuse_expired(state, now)
    return [*effects, *_place_and_read(state, now)]


def _refuse_expired(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Refuse best-effort jobs that come too late, unless a task was started."""
    effects: list[Effect] = []
    for waiting in state.queue.list_expired(now):
        job = waiting.job
        if not job.best_effort or job.id in state.started:
            continue
        reason = "it cannot be served in time"
        refused = DispatcherReply(
            ReplyStatus.REFUSED,
            reason=reason,
            retry_after=RETRY_AFTER,
            term=state.term,
        )
        fields = {"job": job.id, "class": job.class_name, "reason": reason}
        fields |= {"age": now - job.submitted_at, "waiting": len(state.queue.late)}
        effects += [LogEvent("job_refused", fields), Count("durable_jobs_refused")]
        waiters = state.waiters_by_job.pop(job.id, ())
        effects += [Reply(reply_to, refused) for reply_to in waiters]
        state.forget_job(job.id)
    return effects


def _forget_servers(state: DispatcherState, now: Seconds) -> None:
    for server_id, server in list(state.servers_by_id.items()):
        silence = now - server.heard_at
        is_over = server.gone and silence > ANNOUNCEMENT_SILENCE
        if (is_over or silence > FORGET_SERVER) and not server.runs_by_task:
            del state.servers_by_id[server_id]


def _forget_foreign(state: DispatcherState, now: Seconds) -> None:
    for task, listed_at in list(state.foreign_done.items()):
        if now - listed_at > FORGET_FOREIGN:
            del state.foreign_done[task]


def _place_and_read(state: DispatcherState, now: Seconds) -> list[Effect]:
    return [*place(state, now), *_read_all(state, now)]


def _read_all(state: DispatcherState, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        effects += read_runs(state, server, now)
    return effects


@handle.register
def _(message: Drain, state: DispatcherState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(len(_list_waiting(state))))]


def _list_waiting(state: DispatcherState) -> list[ReplyTo | None]:
    """Return all requests that have no answer yet."""
    return [
        reply_to
        for waiting in (state.replies_by_command, state.waiters_by_job)
        for each in waiting.values()
        for reply_to in each
    ]


@handle.register(StopRequested)
@handle.register(WokeUp)
def _(message: Any, state: DispatcherState, now: Seconds) -> list[Effect]:
    return []
