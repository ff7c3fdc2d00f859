"""Ends of runs that backend servers list: commits them to the log and frees runs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from boragetide.commands import RecordEnds
from boragetide.controllers.dispatch_state import DispatcherState, PendingEnds
from boragetide.controllers.job_records import append_command, apply_record
from boragetide.controllers.lost_runs import describe_cleared
from boragetide.controllers.orders import REASON_LISTED, free_run
from boragetide.controllers.queue_updates import update_tasks
from boragetide.controllers.server_health import (
    learn_run_time,
    learn_speed,
    record_outcome,
)
from boragetide.controllers.server_state import Run, Server
from boragetide.durable import (
    EndReason,
    JobPhase,
    ListedEnd,
    RunEnd,
    get_task_number,
)
from boragetide.effects import Count, Effect, LogEvent
from boragetide.policy import job_table
from boragetide.types import JobId, Seconds


def apply_ends(
    state: DispatcherState,
    server: Server,
    ended: tuple[ListedEnd, ...],
    may_learn: bool,
    listed_at: Seconds,
    now: Seconds,
) -> list[Effect]:
    """Append new ends to the log; those that need no commit take effect at once.

    Parameters
    ----------
    may_learn
        Whether the ends show the speed of the backend server.
    listed_at
        Time at which the backend server listed the ends.
    """
    ended_at = listed_at if may_learn else None
    effects: list[Effect] = []
    to_commit: list[RunEnd] = []
    numbers: list[int] = []
    new = [end for end in ended if end.number > server.listed]
    for end in sorted(new, key=lambda end: end.number):
        server.listed = end.number
        run_end, end_effects = _apply_end(state, server, end, ended_at, now)
        effects += end_effects
        if run_end is not None:
            to_commit.append(run_end)
            numbers.append(end.number)
    effects += [
        Count("runs_ended", {"how": reason.value}, count)
        for reason, count in Counter(end.reason for end in new).items()
    ]
    server.uncommitted_ends.update(numbers)
    _advance_acknowledged(server)
    if not to_commit:
        return effects
    _hold_tasks(state, to_commit)
    pending_ends = PendingEnds(
        server.report.id, server.report.born, tuple(numbers), tuple(to_commit)
    )
    command = RecordEnds(tuple(to_commit))
    return [*effects, append_command(state, command, ends=pending_ends)]


def _apply_end(
    state: DispatcherState,
    server: Server,
    end: ListedEnd,
    ended_at: Seconds | None,
    now: Seconds,
) -> tuple[RunEnd | None, list[Effect]]:
    """Apply a listed end; return the end to commit, if any, and the effects.

    Parameters
    ----------
    ended_at
        Time at which the run ended, or ``None`` if it may have ended much earlier than
        it was listed.
    """
    record = state.records_by_id.get(end.task.job_id)
    number = None if record is None else get_task_number(record.job, end.task)
    fields = {
        "job": end.task.job_id,
        "task": -1 if number is None else number,
        "run": end.run,
        "server": server.report.id,
        "end": end.number,
        "how": end.reason.value,
    }
    log = LogEvent("run_ended", fields)
    if number is None:
        if record is None and end.reason is EndReason.DONE:
            state.done_tasks_of_unknown_jobs[end.task] = now
        return None, [log]
    key = (end.task.job_id, number)
    run = server.runs_by_task.get(key)
    is_current = run is not None and run.number == end.run
    if is_current and end.reason in (EndReason.STOPPED, EndReason.LAPSED):
        return None, [log, *free_run(state, server, run, end.reason.value)]
    if end.reason not in (EndReason.DONE, EndReason.FAILED):
        return None, [log]
    failed = end.reason is EndReason.FAILED
    cleared = [] if failed else describe_cleared(state, *key)
    if is_current:
        server.end_run(run)
        record_outcome(server, failed, now)
        if ended_at is not None and not (failed or run.start_repeated):
            if state.looks_ahead:
                learn_run_time(state, server, run, record.job.class_name, ended_at)
            learn_speed(server, run, ended_at, now)
    elif not failed and _is_superseded(state, key, end.run):
        return None, [log]
    if record.phase is not JobPhase.ACTIVE:
        return None, [log, *_free_run_of_ended_job(state, server, run, is_current)]
    run_end = RunEnd(key[0], number, end.run, failed)
    if record.job.best_effort:
        current_run = run if is_current else None
        return None, [
            log,
            *cleared,
            *_apply_best_effort_end(state, server, current_run, run_end, now),
        ]
    return run_end, [log, *cleared]


def _is_superseded(
    state: DispatcherState, key: tuple[JobId, int], run_number: int
) -> bool:
    """Return whether a newer run was started or another run occupies the task.

    The end of the older run counts only if it is a failed attempt.
    """
    is_older = run_number < state.run_number_by_task.get(key, 0)
    return is_older or key in state.server_by_task


def _apply_best_effort_end(
    state: DispatcherState,
    server: Server,
    run: Run | None,
    end: RunEnd,
    now: Seconds,
) -> list[Effect]:
    """Apply an end at once, because nothing of a best-effort job is committed."""
    effects: list[Effect] = []
    changed = job_table.record_ends(state.records_by_id, (end,), now)
    if run is not None:
        effects += free_run(state, server, run, REASON_LISTED)
    if changed:
        effects += apply_record(state, state.records_by_id[end.job_id], now)
    return effects


def _free_run_of_ended_job(
    state: DispatcherState, server: Server, run: Run | None, is_current: bool
) -> list[Effect]:
    return free_run(state, server, run, "job_ended") if is_current else []


def _hold_tasks(state: DispatcherState, ends: list[RunEnd]) -> None:
    """Start no task again before its ends are committed, whichever leader ran it."""
    for end in ends:
        key = (end.job_id, end.task)
        state.uncommitted_ends_by_task.setdefault(key, []).append(end)
        state.started.add(end.job_id)
    _update_queue(state, ends)


def _release_tasks(state: DispatcherState, ends: tuple[RunEnd, ...]) -> None:
    """Let tasks start again unless another end of theirs is not committed yet."""
    for end in ends:
        key = (end.job_id, end.task)
        uncommitted = state.uncommitted_ends_by_task[key]
        uncommitted.remove(end)
        if not uncommitted:
            del state.uncommitted_ends_by_task[key]
    _update_queue(state, ends)


def _update_queue(state: DispatcherState, ends: Iterable[RunEnd]) -> None:
    numbers_by_job: defaultdict[JobId, set[int]] = defaultdict(set)
    for end in ends:
        numbers_by_job[end.job_id].add(end.task)
    for job_id, numbers in numbers_by_job.items():
        update_tasks(state, job_id, numbers)


def _advance_acknowledged(server: Server) -> None:
    last = min(server.uncommitted_ends, default=server.listed + 1) - 1
    if server.acknowledge_until is not None:
        last = min(last, server.acknowledge_until)
    server.acknowledged = max(server.acknowledged, last)


def acknowledge_ends(state: DispatcherState, ends: PendingEnds) -> None:
    """Acknowledge committed ends to the backend server and free their runs."""
    _release_tasks(state, ends.ends)
    server = state.servers_by_id.get(ends.server_id)
    if server is None:
        return
    if server.report.born == ends.born:
        server.uncommitted_ends.difference_update(ends.numbers)
        _advance_acknowledged(server)
    for end in ends.ends:
        run = server.runs_by_task.get((end.job_id, end.task))
        if run is not None and run.number == end.run:
            free_run(state, server, run, "kept")
