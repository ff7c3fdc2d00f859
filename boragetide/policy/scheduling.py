"""Time limits of durable jobs, and the choice of a backend server.

The rules are designed for the load of the two sites: jobs of many parallel large tasks,
of which two or three fill a backend server, in bursts of up to 1.8 times the usual
rate.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from boragetide.durable import DurableJob, Resources, Step
from boragetide.types import BackendServerId, Seconds

# A late job is still of value to its caller if it ends within this many times its
# response time target.
LATE_LIMIT_FACTOR = 3.0
# Width of a speed class; backend servers of the same class count as equally fast.
SPEED_STEP = 0.2
_ROUNDING_MARGIN = 1e-9  # relative error of a computed speed


@dataclass(slots=True)
class ServerCandidate:
    """A backend server that may take a task.

    Parameters
    ----------
    room
        Free resources.
    speed
        Learned speed; a server of speed 1 runs a task in its declared time.
    """

    id: BackendServerId
    room: Resources
    speed: float
    labels: tuple[str, ...] = ()


class Timeliness(StrEnum):
    """What the end of a job is worth to its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    TOO_LATE = "too_late"  # of no use any more


def longest_chain(job: DurableJob) -> Seconds:
    """Return the declared run time of the longest chain of dependent steps."""
    return job.shape.longest_chain


def due_at(job: DurableJob) -> Seconds:
    """Return the Unix time by which a job should be done."""
    allowed = job.starts.stretch * longest_chain(job) + job.response_time
    return job.submitted_at + allowed


def latest_start(job: DurableJob) -> Seconds:
    """Return the latest Unix time at which a job can start and still end in time."""
    return due_at(job) - longest_chain(job)


def expires_at(job: DurableJob) -> Seconds:
    """Return the Unix time after which a start is of no use to the caller."""
    allowed = LATE_LIMIT_FACTOR * (due_at(job) - job.submitted_at)
    return job.submitted_at + allowed - longest_chain(job)


def find_timeliness(job: DurableJob, ended_at: Seconds) -> Timeliness:
    """Return what the end of a job at a time is worth to its caller."""
    return classify_end(job.submitted_at, due_at(job), ended_at)


def classify_end(submitted_at: Seconds, due: Seconds, ended_at: Seconds) -> Timeliness:
    """Return what an end is worth to a caller whose job should be done by ``due``."""
    if ended_at <= due:
        return Timeliness.IN_TIME
    if ended_at <= submitted_at + LATE_LIMIT_FACTOR * (due - submitted_at):
        return Timeliness.LATE
    return Timeliness.TOO_LATE


def rank_speed(speed: float) -> int:
    """Return the speed class of a backend server; a higher class is faster."""
    return round(speed / SPEED_STEP)


def min_useful_speed(step: Step, slack: Seconds | None) -> float:
    """Return a speed below which a task certainly cannot end within its slack.

    Parameters
    ----------
    slack
        As for `choose_server`.
    """
    if slack is None or step.estimate <= 0:
        return 0.0
    return (1 - _ROUNDING_MARGIN) * step.estimate / (step.estimate + slack)


def choose_server(
    step: Step,
    candidates: Iterable[ServerCandidate],
    counts_by_id: dict[BackendServerId, int],
    slack: Seconds | None = None,
) -> ServerCandidate | None:
    """Return the backend server for one task of a step.

    This is the first candidate near the data of the step that may take the task, or
    else the first candidate that may take it.

    Parameters
    ----------
    candidates
        Backend servers in the order of `ServerIndex.iterate`.
    counts_by_id
        Number of tasks of this step that run on each backend server.
    slack
        Seconds by which the task may exceed its run time at speed 1 while its job is
        still in time. A backend server that needs more is skipped. ``None`` if the job
        is late in any case.
    """
    fallback = None
    for candidate in candidates:
        if not _can_run(step, candidate, counts_by_id, slack):
            continue
        if not step.data_rack or step.data_rack in candidate.labels:
            return candidate
        fallback = fallback or candidate
    return fallback


def _can_run(
    step: Step,
    candidate: ServerCandidate,
    counts_by_id: dict[BackendServerId, int],
    slack: Seconds | None,
) -> bool:
    if not step.needs.fits_in(candidate.room):
        return False
    extra = step.estimate / candidate.speed - step.estimate
    if slack is not None and extra > slack:
        return False
    if step.required_label and step.required_label not in candidate.labels:
        return False
    return not 0 < step.max_per_server <= counts_by_id.get(candidate.id, 0)


def can_ever_fit(job: DurableJob, capacities: Iterable[Resources]) -> bool:
    """Return whether each step fits on a known backend server that is empty.

    The result is true while no backend server is known.
    """
    known = set(capacities)
    return not known or all(
        any(needs.fits_in(capacity) for capacity in known) for needs in job.shape.needs
    )
