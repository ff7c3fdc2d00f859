"""Ends of runs that backend servers list: commits them to the log and frees runs."""

from __future__ import annotations

from collections import Counter

from boragetide.commands import RecordEnds
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    KeptEnds,
    Run,
    RunPhase,
    Server,
    occupy,
)
from boragetide.controllers.job_records import append_command, take_record
from boragetide.controllers.orders import LISTED_END, free_run
from boragetide.controllers.placing_runs import requeue
from boragetide.controllers.server_health import learn_speed, note_outcome
from boragetide.durable import (
    EndReason,
    JobPhase,
    JobRecord,
    ListedEnd,
    Resources,
    RunEnd,
    number_task,
)
from boragetide.effects import Count, Effect, LogEvent
from boragetide.policy import job_table
from boragetide.types import JobId, Seconds


def take_ends(
    state: DispatcherState,
    server: Server,
    ended: tuple[ListedEnd, ...],
    may_learn: bool,
    now: Seconds,
) -> list[Effect]:
    """Append new ends to the log; those that need no commit take effect at once."""
    effects: list[Effect] = []
    to_keep: list[RunEnd] = []
    numbers: list[int] = []
    new = [end for end in ended if end.number > server.listed]
    for end in sorted(new, key=lambda end: end.number):
        server.listed = end.number
        kept, more = _take_end(state, server, end, may_learn, now)
        effects += more
        if kept is not None:
            to_keep.append(kept)
            numbers.append(end.number)
    effects += [
        Count("runs_ended", {"how": reason.value}, count)
        for reason, count in Counter(end.reason for end in new).items()
    ]
    server.unkept.update(numbers)
    _advance_acknowledged(server)
    if not to_keep:
        return effects
    tasks = tuple((end.job_id, end.task) for end in to_keep)
    kept_ends = KeptEnds(server.report.id, server.report.born, tuple(numbers), tasks)
    command = RecordEnds(tuple(to_keep))
    return [*effects, append_command(state, command, ends=kept_ends)]


def _take_end(
    state: DispatcherState,
    server: Server,
    end: ListedEnd,
    may_learn: bool,
    now: Seconds,
) -> tuple[RunEnd | None, list[Effect]]:
    """Apply a listed end; return the end to commit, if any, and the effects."""
    record = state.records_by_id.get(end.task.job_id)
    number = None if record is None else number_task(record.job, end.task)
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
            state.foreign_done[end.task] = now
        return None, [log]
    key = (end.task.job_id, number)
    run = server.runs_by_task.get(key)
    is_current = run is not None and run.number == end.run
    if is_current and end.reason in (EndReason.STOPPED, EndReason.LAPSED):
        return None, [log, *free_run(state, server, run, end.reason.value)]
    if end.reason not in (EndReason.DONE, EndReason.FAILED):
        return None, [log]
    failed = end.reason is EndReason.FAILED
    if is_current:
        run.phase = RunPhase.ENDED
        note_outcome(server, failed, now)
        if may_learn and not (failed or run.repeated):
            learn_speed(server, run, now)
    elif end.run < state.run_by_task.get(key, 0) or key in state.occupied:
        # A newer run exists, so this end counts only if it is a failed attempt.
        if not failed:
            return None, [log]
    elif not failed and not record.job.best_effort:
        _hold_task(state, server, key, end, record, now)
    if record.phase is not JobPhase.ACTIVE:
        return None, [log, *_drop_ended(state, server, run, is_current)]
    kept = RunEnd(key[0], number, end.run, failed)
    if record.job.best_effort:
        over = run if is_current else None
        return None, [log, *_end_best_effort(state, server, over, kept, now)]
    return kept, [log]


def _end_best_effort(
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
        effects += free_run(state, server, run, LISTED_END)
    if changed:
        effects += take_record(state, state.records_by_id[end.job_id], now)
    return effects


def _drop_ended(
    state: DispatcherState, server: Server, run: Run | None, is_current: bool
) -> list[Effect]:
    return free_run(state, server, run, "job_ended") if is_current else []


def _hold_task(
    state: DispatcherState,
    server: Server,
    key: tuple[JobId, int],
    end: ListedEnd,
    record: JobRecord,
    now: Seconds,
) -> None:
    """Occupy a task until the end of a run from an earlier leader is committed."""
    run = Run(key[0], key[1], end.run, Resources(), now, RunPhase.ENDED)
    occupy(state, server, run)
    state.run_by_task[key] = end.run
    requeue(state, key[0])


def _advance_acknowledged(server: Server) -> None:
    server.acknowledged = min(server.unkept, default=server.listed + 1) - 1


def note_kept(state: DispatcherState, ends: KeptEnds) -> None:
    """Acknowledge committed ends to the backend server and free their runs."""
    server = state.servers_by_id.get(ends.server_id)
    if server is None:
        return
    if server.report.born == ends.born:
        server.unkept.difference_update(ends.numbers)
        _advance_acknowledged(server)
    for key in ends.tasks:
        run = server.runs_by_task.get(key)
        if run is not None and run.phase is RunPhase.ENDED:
            free_run(state, server, run, "kept")
