"""What `unanswered_site` plays: the load, the fault, and what callers get."""

from __future__ import annotations

from dataclasses import dataclass

from boragetide.durable import DurableJob
from boragetide.effects import ReadRuns, StartRun, StopRun
from boragetide.policy.scheduling import due_at
from boragetide.types import Seconds

WARM_UP: Seconds = 2.0
CALL_KINDS = (StartRun, StopRun, ReadRuns)


@dataclass(frozen=True)
class Load:
    """What callers submit.

    Parameters
    ----------
    servers
        Number of backend servers, each with room for two tasks.
    estimates
        Run times of the tasks of a job, one of which is drawn for each job.
    widths
        Numbers of tasks of a job, likewise.
    utilization
        Share of the capacity that the jobs need.
    """

    servers: int = 12
    estimates: tuple[Seconds, ...] = (0.06, 0.06, 0.2, 0.9)
    widths: tuple[int, ...] = (1, 1, 2, 4)
    utilization: float = 0.5
    millicores: int = 27_000

    @property
    def jobs_per_second(self) -> float:
        """Rate of the submissions."""
        mean_estimate = sum(self.estimates) / len(self.estimates)
        mean_width = sum(self.widths) / len(self.widths)
        return self.utilization * 2 * self.servers / (mean_estimate * mean_width)


@dataclass(frozen=True)
class Fault:
    """Calls that get no answer, at all backend servers.

    Parameters
    ----------
    share
        Share of the calls without an answer.
    kinds
        Types of the orders that are concerned.
    silent
        Backend servers that answer nothing at all meanwhile.
    """

    share: float = 0.0
    kinds: tuple[type, ...] = CALL_KINDS
    begins_after: Seconds = WARM_UP
    duration: Seconds = 8.0
    silent: frozenset[str] = frozenset()


@dataclass
class Request:
    """A submission and what became of it."""

    job: DurableJob
    outcome: str = ""
    answered_at: Seconds = 0.0


def classify(request: Request) -> str:
    """Return what a caller got: in time, late, or without a result."""
    if request.outcome != "succeeded":
        return request.outcome
    return "in_time" if request.answered_at <= due_at(request.job) else "late"
