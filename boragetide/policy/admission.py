"""Admission control: refuses a job on arrival if its class target cannot be met."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from boragetide.types import BackendServer, ClassTarget, Seconds, Task

# A pool is nearly idle if it needs at most this share of the class target to finish
# its waiting work.
IDLE_SHARE = 0.1

# Share of the admitted jobs that should meet their class target.
TARGET_MET_SHARE = 0.99

# Initial value, bounds and step of the margin, as shares of the class target. The
# initial value lies between the bounds.
INITIAL_MARGIN = 0.25
MIN_MARGIN = 0.05
MAX_MARGIN = 0.75
MARGIN_STEP = 0.05


@dataclass(slots=True)
class Margin:
    """Safety margin of a class: by how much its response times exceed the prediction.

    Parameters
    ----------
    share
        The `TARGET_MET_SHARE` quantile of the excess, as a share of the class target.
    """

    share: float = INITIAL_MARGIN


def observe_response(
    margin: Margin, target: ClassTarget, predicted: Seconds, actual: Seconds
) -> None:
    """Update the margin from the predicted and the actual response time of a job.

    The margin tracks a quantile in steps: it grows after a job that exceeded it, and
    shrinks by a smaller step after any other job.

    Parameters
    ----------
    margin, target
        Margin and target of the job's class.
    predicted, actual
        Response times in seconds.
    """
    exceeded = actual - predicted > margin.share * target.response_time
    step = MARGIN_STEP * (TARGET_MET_SHARE if exceeded else TARGET_MET_SHARE - 1)
    margin.share = min(max(margin.share + step, MIN_MARGIN), MAX_MARGIN)


@dataclass(frozen=True, slots=True)
class Load:
    """Load of the pool when a job arrives; work is in seconds at the mean speed.

    Parameters
    ----------
    total_speed
        Work per second over all slots.
    top_speed
        Speed of the fastest available server.
    waiting
        Queued work of all classes, and half of the running work.
    own_waiting
        Part of ``waiting`` that belongs to the class of the job.
    contended
        Whether other classes have queued work.
    """

    total_speed: float
    top_speed: float
    waiting: Seconds
    own_waiting: Seconds
    contended: bool


def predict_response(
    load: Load, target: ClassTarget, work: Seconds, longest: Seconds
) -> Seconds:
    """Return the expected response time of a job that is queued now, in seconds.

    The result is 0 while no server is available.

    Parameters
    ----------
    load, target
        Load of the pool, and the target of the job's class.
    work, longest
        Expected work of the whole job and of its longest task, in seconds at the mean
        speed.
    """
    if load.total_speed <= 0 or load.top_speed <= 0:
        return 0.0
    wait = load.waiting / load.total_speed
    if load.contended:
        share = load.total_speed * max(target.busy_share, 1e-3)
        wait = max(wait, load.own_waiting / share)
    return wait + ideal_response(load, work, longest)


def ideal_response(load: Load, work: Seconds, longest: Seconds) -> Seconds:
    """Return the response time, in seconds, of a job that is alone in the pool."""
    return max(work / load.total_speed, longest / load.top_speed)


def refuse_for_target(
    load: Load, target: ClassTarget, margin: Margin, predicted: Seconds
) -> str | None:
    """Return why a job cannot meet the target of its class, or ``None`` if it can.

    While the pool is nearly idle, no job is refused for its target; otherwise a job
    that even an empty pool could not finish in time could never run.

    Parameters
    ----------
    load, target, margin
        Load of the pool, and the target and the margin of the job's class.
    predicted
        Expected response time in seconds; see `predict_response`.
    """
    if load.total_speed <= 0:
        return None
    if predicted <= (1 - margin.share) * target.response_time:
        return None
    if load.waiting / load.total_speed <= IDLE_SHARE * target.response_time:
        return None
    return (
        f"expected response time of {predicted:.3g} s is too close to the target of "
        f"{target.response_time:.3g} s for class {target.name!r}"
    )


def refuse_for_size(
    tasks: Iterable[Task], servers: Iterable[BackendServer]
) -> str | None:
    """Return why a task fits on none of the known servers, or ``None`` if all fit."""
    needs = {(task.cores, task.memory) for task in tasks} - {(0.0, 0)}
    known = list(servers) if needs else []
    for cores, memory in sorted(needs):
        if known and not any(fits(server, cores, memory) for server in known):
            return f"no backend server has {cores:g} cores and {memory} bytes of memory"
    return None


def fits(server: BackendServer, cores: float, memory: int) -> bool:
    """Return whether a task fits on an otherwise empty backend server."""
    return cores <= server.cores and memory <= server.memory
