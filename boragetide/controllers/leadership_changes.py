"""Beginning and end of the time for which this instance leads the dispatcher."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import (
    DispatcherState,
    clear_leader_state,
    store_record,
)
from boragetide.controllers.held_submissions import list_held_requests
from boragetide.controllers.lost_runs import load_losses
from boragetide.controllers.queue_updates import queue_loaded_jobs
from boragetide.controllers.runs import read_runs
from boragetide.controllers.unanswered_starts import load_unanswered_starts
from boragetide.effects import Effect, LogEvent, Reply, SetGauge
from boragetide.messages import (
    DispatcherReply,
    LeadershipGained,
    LeadershipLost,
    ReplyStatus,
)
from boragetide.types import ReplyTo, Seconds


def gain_leadership(
    message: LeadershipGained, state: DispatcherState, now: Seconds
) -> list[Effect]:
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
    state.unqueued.extend(state.active)
    queue_loaded_jobs(state)
    fields = {
        "term": state.term,
        "jobs": len(state.active),
        "servers": len(state.servers_by_id),
        "registered": len(state.server_born_by_id),
        "missed_predecessor": state.missed_predecessor,
    }
    began = LogEvent("dispatch_began", fields)
    return [began, *effects, *read_all_servers(state, now)]


def lose_leadership(
    message: LeadershipLost, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Answer pending requests as undecided, so that callers ask the next leader."""
    term = state.term
    waiting = list_pending_requests(state)
    clear_leader_state(state)
    undecided = DispatcherReply(ReplyStatus.UNDECIDED)
    return [
        LogEvent("dispatch_ended", {"term": term, "waiting": len(waiting)}),
        SetGauge("stranded_jobs", 0),
        *(Reply(reply_to, undecided) for reply_to in waiting),
    ]


def list_pending_requests(state: DispatcherState) -> list[ReplyTo | None]:
    """Return all requests that have no answer yet."""
    waiting = [
        reply_to
        for waiting in (state.replies_by_command, state.waiters_by_job)
        for each in waiting.values()
        for reply_to in each
    ]
    waiting += [reply.to for reply in state.cancel_replies_by_command.values()]
    return [*waiting, *list_held_requests(state)]


def read_all_servers(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Read the runs of every backend server for which that is due."""
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        effects += read_runs(state, server, now)
    return effects
