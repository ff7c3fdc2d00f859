"""Runs that were counted as over without a listed end, and lists that contradict this.

A run is freed when its start was refused, when a list does not hold it, or when its
lease has expired. If its backend server lists it afterwards, it was carried out all the
same, and its task may have run twice. Nothing is decided here: the log line and the
metric tell operators that the evidence was wrong.
"""

from __future__ import annotations

from functools import singledispatch

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.run_state import FreedRun, Run
from boragetide.controllers.server_state import Server
from boragetide.durable import ListedEnd, ListedRun
from boragetide.effects import Count, Effect, LogEvent
from boragetide.messages import RunsRead
from boragetide.types import Seconds

MAX_FREED_RUNS = 10_000
LISTED_AS_RUNNING = "running"


def remember_freed_run(
    state: DispatcherState,
    server: Server,
    run: Run,
    reason: str,
    now: Seconds,
    *,
    may_have_ended: bool = False,
) -> None:
    """Remember a run that is freed although its end was not listed.

    Parameters
    ----------
    may_have_ended
        Whether the run may have ended unnoticed, so that only a list that shows it as
        running contradicts the reason.
    """
    state.freed_runs[server.report.id, run.ref, run.number] = FreedRun(
        run.task, reason, now, run.seen_born, may_have_ended
    )
    if len(state.freed_runs) > MAX_FREED_RUNS:
        state.freed_runs.popitem(last=False)


def report_listed_freed_runs(
    state: DispatcherState, message: RunsRead, now: Seconds
) -> list[Effect]:
    """Report, once for each run, that a list shows a run that was counted as over."""
    if not state.freed_runs:
        return []
    effects: list[Effect] = []
    for listed in (*message.running, *message.ended):
        key = (message.server, listed.task, listed.run)
        freed = state.freed_runs.get(key)
        if freed is None or not _contradicts(listed, freed):
            continue
        del state.freed_runs[key]
        effects += _describe(freed, listed, message, now)
    return effects


@singledispatch
def _contradicts(listed: ListedRun | ListedEnd, freed: FreedRun) -> bool:
    """Return whether a row of a list contradicts that a run was over when freed."""
    raise TypeError(f"a list of runs cannot hold {listed!r}")


@_contradicts.register
def _(listed: ListedRun, freed: FreedRun) -> bool:
    return True


@_contradicts.register
def _(listed: ListedEnd, freed: FreedRun) -> bool:
    return not freed.may_have_ended


@singledispatch
def _get_listed_state(listed: ListedRun | ListedEnd) -> str:
    """Return how a list shows a run."""
    raise TypeError(f"a list of runs cannot hold {listed!r}")


@_get_listed_state.register
def _(listed: ListedRun) -> str:
    return LISTED_AS_RUNNING


@_get_listed_state.register
def _(listed: ListedEnd) -> str:
    return listed.reason.value


def _describe(
    freed: FreedRun, listed: ListedRun | ListedEnd, message: RunsRead, now: Seconds
) -> list[Effect]:
    fields = {
        "job": listed.task.job_id,
        "task": freed.task,
        "run": listed.run,
        "server": message.server,
        "reason": freed.reason,
        "freed_ago": now - freed.freed_at,
        "listed_as": _get_listed_state(listed),
        "same_process": message.born == freed.born,
        "term": message.term,
    }
    return [
        LogEvent("run_listed_after_over", fields),
        Count("runs_listed_after_over", {"reason": freed.reason}),
    ]
