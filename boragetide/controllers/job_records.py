"""Records of durable jobs: appends commands to the log and applies changed records."""

from __future__ import annotations

from typing import Any

from boragetide.commands import JobCommand
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    PendingEnds,
    make_command_id,
    store_record,
)
from boragetide.controllers.orders import stop_run
from boragetide.controllers.queue_updates import update_tasks
from boragetide.durable import JobPhase, JobRecord
from boragetide.effects import Count, Effect, LogEvent, Observe, Reply, Send
from boragetide.messages import AppendCommands, DispatcherReply, ReplyStatus
from boragetide.policy.scheduling import find_timeliness
from boragetide.types import Address, JobId, Seconds


def append_command(
    state: DispatcherState,
    command: JobCommand,
    *,
    ends: PendingEnds | None = None,
) -> Effect:
    """Append a command to the log; `JobsCommitted` reports when it is committed."""
    command_id = make_command_id(state)
    if ends is not None:
        state.pending_ends_by_command[command_id] = ends
    to = Address(state.settings.id, "configuration")
    return Send(to, AppendCommands(state.term, {command_id: command}))


def apply_record(
    state: DispatcherState,
    record: JobRecord,
    now: Seconds,
    *,
    is_new: bool = False,
    arrival: dict[str, Any] | None = None,
) -> list[Effect]:
    """Apply a changed record; the end of a job stops its runs and answers its waiters.

    Parameters
    ----------
    is_new
        Whether the job was accepted by this change.
    arrival
        Fields of the log line that tell how the submission of a new job arrived.
    """
    job_id = record.job.id
    store_record(state, record)
    state.command_by_job.pop(job_id, None)
    update_tasks(state, job_id)
    if record.phase is JobPhase.TRANSFERRED:
        return _apply_transfer(state, record)
    age = now - record.job.submitted_at
    fields = {
        "job": job_id,
        "class": record.job.class_name,
        "phase": record.phase.value,
        "done": len(record.done),
        "tasks": record.job.task_count,
        "failures": len(record.failures),
        "transfers": record.transfers,
        "age": age,
        "term": state.term,
    }
    if record.phase is JobPhase.ACTIVE:
        return [LogEvent("job_accepted", fields | (arrival or {}))] if is_new else []
    ended = DispatcherReply(ReplyStatus.ACCEPTED, state=record.phase.value)
    return [
        LogEvent("job_ended", fields),
        Observe("durable_job_seconds", age, {"phase": record.phase.value}),
        _count_outcome(record, now),
        *(Reply(to, ended) for to in state.waiters_by_job.pop(job_id, ())),
        *_stop_runs(state, job_id, now),
    ]


def _count_outcome(record: JobRecord, now: Seconds) -> Effect:
    """Count the end of a job for its class, by what it is worth to the caller."""
    outcome: str = record.phase.value
    if record.phase is JobPhase.SUCCEEDED:
        outcome = find_timeliness(record.job, now).value
    labels = {"class": record.job.class_name, "outcome": outcome}
    return Count("durable_job_outcomes", labels)


def _apply_transfer(state: DispatcherState, record: JobRecord) -> list[Effect]:
    """Tell the waiters of a best-effort job which group to ask."""
    job_id, transfer = record.job.id, record.transfer
    fields = {
        "job": job_id,
        "to": transfer.group,
        "sequence": transfer.sequence,
        "delivered": transfer.delivered,
        "transfers": record.transfers,
        "term": state.term,
    }
    waiters = state.waiters_by_job.pop(job_id, ())
    reply = make_transfer_reply(state, record)
    return [
        LogEvent("job_transferred", fields),
        Count("jobs_transferred", {"delivered": str(transfer.delivered).lower()}),
        *(Reply(reply_to, reply) for reply_to in waiters),
    ]


def make_transfer_reply(state: DispatcherState, record: JobRecord) -> DispatcherReply:
    """Return the answer that another group has a job."""
    return DispatcherReply(
        ReplyStatus.TRANSFERRED,
        term=state.term,
        group=record.transfer.group,
        transfers=record.transfers,
    )


def _stop_runs(state: DispatcherState, job_id: JobId, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    record = state.records_by_id[job_id]
    for number in range(record.job.task_count):
        server_id = state.server_by_task.get((job_id, number))
        if server_id is None:
            continue
        server = state.servers_by_id[server_id]
        effects += stop_run(
            state, server, server.runs_by_task[job_id, number], "job_ended", now
        )
    return effects
