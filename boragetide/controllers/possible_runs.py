"""Runs that may have begun, by job.

A job of which no run can have begun is refused when it cannot be served in time,
although starts were ordered.
"""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.run_state import Run
from boragetide.durable import JobRecord


def discard_possible_run(state: DispatcherState, run: Run) -> None:
    """Note that an ordered run has not begun, and that no copy of it will.

    Either its only start was refused, or all copies of its start and its stop were
    answered and a later list of the same process does not hold it.
    """
    possible = state.possible_runs_by_job.get(run.job_id)
    if possible is not None:
        possible.discard((run.task, run.number))


def has_no_possible_run(state: DispatcherState, record: JobRecord) -> bool:
    """Return whether no task of a job has begun or will begin by an earlier order."""
    if record.done or record.failures:
        return False
    return not state.possible_runs_by_job.get(record.job.id)
