"""Runs of tasks, as the leader knows them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from boragetide.durable import Resources, TaskRef
from boragetide.types import BackendServerId, JobId, Seconds


class RunPhase(StrEnum):
    """Phase of a run that occupies its task, as far as the leader knows."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"  # listed as done or failed; the end is not committed yet


@dataclass(slots=True)
class Run:
    """One run of a task.

    Parameters
    ----------
    ref
        Reference of the task; the record of its job may be dropped before the run is
        over.
    ordered_at
        Time at which the run was ordered or first listed.
    started_at
        Time at which the run was first known to be running.
    order_answered_at
        Time at which the last order for the run was answered. A list of runs that is
        requested later contains the run, unless the run is over.
    next_stop_at
        Time at which the stop is ordered again, because the last stop order may not
        have arrived.
    stop_answered
        Whether a stop has been answered since the stop was decided, so that the run
        does not begin any more at this process.
    start_repeated
        Whether the start was ordered again, because an order was not answered.
    start_copies, answered_copies
        Number of orders that this leader gave to start the run, and of those that were
        answered, in time or late.
    start_unanswered_at
        Latest time at which a start was ordered that has no answer, if there is one. It
        may begin the run at the next process of the backend server.
    server_born
        Start of the backend server's process that was known when the run was ordered or
        first listed, in Unix milliseconds.
    seen_born
        Start of the process that listed the run last, or to which it was ordered.
    group_size
        Most suspects, this one included, that run on the backend server while the run
        is there, and nothing else does; 0 if the run is none of a suspect.
    adopted
        Whether an earlier leader ordered the run.
    began
        Whether the backend server has shown that the run began.
    """

    job_id: JobId
    task: int
    ref: TaskRef
    number: int
    needs: Resources
    ordered_at: Seconds
    phase: RunPhase = RunPhase.ORDERED
    started_at: Seconds | None = None
    order_answered_at: Seconds | None = None
    next_stop_at: Seconds | None = None
    stop_answered: bool = False
    start_repeated: bool = False
    start_copies: int = 0
    answered_copies: int = 0
    start_unanswered_at: Seconds | None = None
    estimate: Seconds = 0.0
    server_born: int = 0
    seen_born: int = 0
    group_size: int = 0
    adopted: bool = False
    began: bool = False

    @property
    def key(self) -> tuple[JobId, int]:
        """The task that this run occupies."""
        return self.job_id, self.task

    @property
    def alone(self) -> bool:
        """Whether nothing else is started on the backend server beside the run."""
        return self.group_size == 1


@dataclass(frozen=True, slots=True)
class FreedRun:
    """A run that was counted as over although its end was not listed.

    Parameters
    ----------
    reason
        Why the run was counted as over.
    born
        Start of the process that listed the run last, or to which it was ordered.
    may_have_ended
        Whether the run may have ended unnoticed, so that its end may be listed later.
    """

    task: int
    reason: str
    freed_at: Seconds
    born: int
    may_have_ended: bool


@dataclass(slots=True)
class LostRun:
    """A run that was lost with the process of its backend server."""

    run: Run
    server: BackendServerId
    address: str
