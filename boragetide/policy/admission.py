"""Admits a job, or refuses it at once where its class target cannot be met."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from boragetide.types import BackendServer, ClassTarget, Seconds, Task

# A pool with less queued work than this share of the target counts as nearly idle.
IDLE_SHARE = 0.1

# Share of the admitted jobs that are to meet their target.
MET_SHARE = 0.99

# Bounds of the margin and its step after a job, as shares of the target. The first
# margin is between the bounds.
FIRST_MARGIN = 0.25
LEAST_MARGIN = 0.05
LARGEST_MARGIN = 0.75
MARGIN_STEP = 0.05


@dataclass(slots=True)
class Margin:
    """By how much the responses of a class exceed their prediction.

    Parameters
    ----------
    share
        The `MET_SHARE` quantile of the excess, as a share of the class target.
    """

    share: float = FIRST_MARGIN


def observe_response(
    margin: Margin, target: ClassTarget, predicted: Seconds, actual: Seconds
) -> None:
    """Learn from the response time of an admitted job, in seconds.

    The margin follows a quantile by steps: up after a job that exceeded it, and down
    by a smaller step after one that did not.
    """
    exceeded = actual - predicted > margin.share * target.response_time
    step = MARGIN_STEP * (MET_SHARE if exceeded else MET_SHARE - 1)
    margin.share = min(max(margin.share + step, LEAST_MARGIN), LARGEST_MARGIN)


@dataclass(frozen=True, slots=True)
class Load:
    """What the pool has to do when a job arrives; work in seconds at the mean speed.

    Parameters
    ----------
    total_speed
        Work per second over all slots.
    top_speed
        Speed of the fastest available server.
    waiting
        Queued work of all classes and half of the work that runs.
    own_waiting
        The part of it that belongs to the class of the job.
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

    It is 0 while no server is available.
    """
    if load.total_speed <= 0 or load.top_speed <= 0:
        return 0.0
    wait = load.waiting / load.total_speed
    if load.contended:
        share = load.total_speed * max(target.busy_share, 1e-3)
        wait = max(wait, load.own_waiting / share)
    return wait + ideal_response(load, work, longest)


def ideal_response(load: Load, work: Seconds, longest: Seconds) -> Seconds:
    """Return the response time of a job alone in the pool, in seconds."""
    return max(work / load.total_speed, longest / load.top_speed)


def refuse_for_target(
    load: Load, target: ClassTarget, margin: Margin, predicted: Seconds
) -> str | None:
    """Return why a job cannot meet the target of its class, or ``None``.

    A job that even an empty pool could not answer in time is admitted while the pool
    is nearly idle; otherwise it could never run.

    Parameters
    ----------
    load, target, margin
        What the pool has to do, and the target and the margin of the class.
    predicted
        See `predict_response`.
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
    """Return why a task fits none of the known servers, or ``None``."""
    needs = {(task.cores, task.memory) for task in tasks} - {(0.0, 0)}
    known = list(servers) if needs else []
    for cores, memory in sorted(needs):
        if known and not any(fits(server, cores, memory) for server in known):
            return f"no backend server has {cores:g} cores and {memory} bytes of memory"
    return None


def fits(server: BackendServer, cores: float, memory: int) -> bool:
    """Tell whether a task fits an otherwise empty backend server."""
    return cores <= server.cores and memory <= server.memory
