"""Answers of backend servers to a `ReadRuns`, whose lists are read row by row.

A row that cannot be read is skipped, so that it does not hide the others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from boragetide.durable import EndReason, ListedEnd, ListedRun, TaskRef

# A backend server may list its ends in parts of this size.
MAX_LISTED_ENDS = 500
# Stands for the task of an end that can only be acknowledged; no job has this id.
UNREADABLE_TASK = TaskRef("", 0, 0)


class TaskRow(Protocol):
    """Row of which only the task is read."""

    def to_task_ref(self) -> TaskRef:
        """Return the reference of the run's task."""
        ...


class RunRow(TaskRow, Protocol):
    """Row of a run that is executing."""

    run: int


class NumberRow(Protocol):
    """Row of which only the number of the end is read."""

    number: int


class EndRow(NumberRow, RunRow, Protocol):
    """Row of the end of a run."""

    def to_reason(self) -> EndReason:
        """Return how the run ended."""
        ...


@dataclass(frozen=True, slots=True)
class RowTypes:
    """Models of the rows of one protocol.

    Parameters
    ----------
    task, number
        Models of the part of a row that is used if the rest cannot be read.
    """

    run: type[RunRow]
    task: type[TaskRow]
    end: type[EndRow]
    number: type[NumberRow]


@dataclass(frozen=True, slots=True)
class RunLists:
    """The runs that an answer lists.

    Parameters
    ----------
    unreadable
        Tasks that are listed as running under a number that cannot be used.
    acknowledge_until
        Number of the last end before the first one whose number cannot be read, which
        would be lost if a later number were acknowledged; ``None`` if there is no such
        end.
    is_partial
        Whether more ends may follow once these are acknowledged.
    faults
        Why rows were skipped.
    """

    running: tuple[ListedRun, ...]
    unreadable: tuple[TaskRef, ...]
    ended: tuple[ListedEnd, ...]
    acknowledge_until: int | None
    is_partial: bool
    faults: tuple[str, ...]


def read_run_lists(
    running: Iterable[Any], ended: Iterable[Any], types: RowTypes
) -> RunLists:
    """Read the decoded rows of both lists."""
    faults: list[str] = []
    runs = _read_running(running, types, faults.append)
    ends = _read_ended(ended, types, faults.append)
    unreadable = tuple(each for each in runs if isinstance(each, TaskRef))
    listed_runs = tuple(each for each in runs if isinstance(each, ListedRun))
    positions = (at for at, end in enumerate(ends) if end is None)
    first_gap = next(positions, None)
    readable = tuple(end for end in ends if end is not None)
    until = None
    if first_gap is not None:
        until = readable[first_gap - 1].number if first_gap else 0
    is_partial = len(ends) >= MAX_LISTED_ENDS
    return RunLists(listed_runs, unreadable, readable, until, is_partial, tuple(faults))


def _read_running(
    rows: Iterable[Any], types: RowTypes, report: Callable[[str], None]
) -> list[ListedRun | TaskRef]:
    """Return each run, or its task if the rest of the row cannot be read."""
    listed: list[ListedRun | TaskRef] = []
    for row in rows:
        read = _convert(row, types.run, report)
        if read is not None:
            listed.append(ListedRun(read.to_task_ref(), read.run))
            continue
        task = _convert(row, types.task)
        if task is not None:
            listed.append(task.to_task_ref())
    return listed


def _read_ended(
    rows: Iterable[Any], types: RowTypes, report: Callable[[str], None]
) -> list[ListedEnd | None]:
    """Return each end, or ``None`` if its number cannot be read.

    An end of which only the number can be read is included, so that it is acknowledged.
    """
    return [_read_end(row, types, report) for row in rows]


def _read_end(
    row: Any, types: RowTypes, report: Callable[[str], None]
) -> ListedEnd | None:
    read = _convert(row, types.end, report)
    if read is not None:
        return ListedEnd(read.number, read.to_task_ref(), read.run, read.to_reason())
    numbered = _convert(row, types.number)
    if numbered is None:
        return None
    return ListedEnd(numbered.number, UNREADABLE_TASK, 0, EndReason.STOPPED)


def _convert(
    row: Any, type_: type, report: Callable[[str], None] | None = None
) -> Any | None:
    """Return a row as its model, or report why it does not match and return none."""
    try:
        return msgspec.convert(row, type_)
    except (msgspec.ValidationError, RecursionError) as error:
        if report is not None:
            report(str(error))
        return None
