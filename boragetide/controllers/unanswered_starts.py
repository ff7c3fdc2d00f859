"""Starts without an answer, which the leader records in the log for its successor.

The next process of a backend server may carry out a start up to `MAX_ORDER_DELAY` late,
if it has not been called yet. The leader that gave the order keeps the task occupied.
A later one knows the task from the log and does not start it meanwhile.
"""

from __future__ import annotations

from collections.abc import Collection

from boragetide.commands import RecordUnansweredStarts
from boragetide.controllers.best_effort import leave_unserved
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.job_records import append_command
from boragetide.controllers.orders import may_begin_late
from boragetide.controllers.queue_updates import update_tasks
from boragetide.controllers.run_state import Run, RunPhase
from boragetide.controllers.server_state import LATE_RUN_WAIT, Server
from boragetide.durable import JobPhase, JobRecord, UnansweredStart
from boragetide.effects import Effect, LogEvent
from boragetide.policy.scheduling import expires_at
from boragetide.types import BackendServerId, JobId, Seconds

# A start without any result is recorded in the log after this time, before it is
# repeated. Answers usually come within milliseconds.
RECORD_DELAY: Seconds = 0.1


def load_unanswered_starts(
    state: DispatcherState, starts: Collection[UnansweredStart]
) -> None:
    """Block the tasks that earlier leaders may have started at silent servers."""
    state.earlier_starts = state.recorded_starts = frozenset(starts)
    state.server_by_blocked_task = {
        (each.job_id, each.task): each.server for each in starts
    }


def release_read_server(state: DispatcherState, server_id: BackendServerId) -> None:
    """Release the tasks of a server that has listed its runs.

    It refuses the orders of earlier leaders, so that its list is final.
    """
    server = state.servers_by_id.get(server_id)
    if (
        not state.server_by_blocked_task
        or server is None
        or server.read_term != state.term
    ):
        return
    keys = [key for key, by in state.server_by_blocked_task.items() if by == server_id]
    _release(state, keys)


def _release(state: DispatcherState, keys: Collection[tuple[JobId, int]]) -> None:
    for key in keys:
        del state.server_by_blocked_task[key]
        update_tasks(state, key[0], key[1:])


def review_unanswered_starts(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Release the blocked tasks whose time has passed, and record what changed."""
    if now >= find_release_time(state):
        _release(state, list(state.server_by_blocked_task))
    return [*_leave_blocked_jobs(state, now), *_record_starts(state, now)]


def find_release_time(state: DispatcherState) -> Seconds:
    """Return the time at which no order of an earlier leader can be in progress."""
    return state.predecessor_until + LATE_RUN_WAIT


def _leave_blocked_jobs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Answer the callers of best-effort jobs that expire before they are released."""
    if not state.takeover_complete:
        return []
    effects: list[Effect] = []
    for record in _list_waiting_jobs(state):
        expires_first = expires_at(record.job) < find_release_time(state)
        if record.job.best_effort and expires_first:
            effects += leave_unserved(state, record, now)
    return effects


def _list_waiting_jobs(state: DispatcherState) -> list[JobRecord]:
    """Return the jobs that cannot end before one of their tasks is released."""
    records_by_id: dict[JobId, JobRecord] = {}
    for key in state.server_by_blocked_task:
        job_id, task = key
        record = state.records_by_id.get(job_id)
        if record is None or record.phase is not JobPhase.ACTIVE:
            continue
        if task not in record.done and key not in state.server_by_task:
            records_by_id[job_id] = record
    return list(records_by_id.values())


def _record_starts(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Append the starts without an answer if the log does not name all of them."""
    if state.pending_record is not None:
        return []
    starts = _list_unanswered_starts(state, now)
    is_complete = starts <= state.recorded_starts
    if is_complete and (starts or not state.recorded_starts):
        return []
    state.recorded_starts = starts
    ordered = sorted(starts, key=lambda each: (each.job_id, each.task))
    append = append_command(state, RecordUnansweredStarts(tuple(ordered)))
    (state.pending_record,) = append.message.commands_by_id
    fields = {"term": state.term, "count": len(starts)}
    return [LogEvent("unanswered_starts_recorded", fields), append]


def _list_unanswered_starts(
    state: DispatcherState, now: Seconds
) -> frozenset[UnansweredStart]:
    """Return the starts that may be carried out, of this and of earlier leaders.

    A run of which one of two starts has no answer is one of them although its server
    answers: the next process may begin it.
    """
    earlier = {
        UnansweredStart(job_id, task, server_id)
        for (job_id, task), server_id in state.server_by_blocked_task.items()
    }
    own = {
        UnansweredStart(run.job_id, run.task, server_id)
        for server_id, server in state.servers_by_id.items()
        for run in server.runs_by_task.values()
        if (
            run.start_repeated
            or _has_no_answer(run, now)
            or _may_be_replaced(state, server)
        )
        if run.phase is not RunPhase.ENDED and may_begin_late(server, run)
    }
    return frozenset(earlier | own)


def _has_no_answer(run: Run, now: Seconds) -> bool:
    """Return whether the only start of a run should have been answered by now."""
    ordered_at = run.start_unanswered_at
    return ordered_at is not None and now >= ordered_at + RECORD_DELAY


def _may_be_replaced(state: DispatcherState, server: Server) -> bool:
    """Return whether the next process of a server may be there, not yet called."""
    is_lost = server.list_failed or server.departed
    return is_lost or server.read_term != state.term


def confirm_record(state: DispatcherState, command_ids: Collection[str]) -> None:
    """Allow the next record once the last one is committed."""
    if state.pending_record in command_ids:
        state.pending_record = None
