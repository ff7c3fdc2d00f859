"""Admits a job, or refuses it at once where its class target cannot be met."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from boragetide.types import BackendServer, ClassTarget, Seconds, Task

# A pool with less queued work than this share of the target counts as nearly idle.
IDLE_SHARE = 0.1

# The prediction is a mean. The share of the target that it may take leaves room for
# sizes that turn out larger.
TARGET_SHARE = 0.8


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
    """Return the expected response time of a job that is queued now, in seconds."""
    wait = load.waiting / load.total_speed
    if load.contended:
        share = load.total_speed * max(target.busy_share, 1e-3)
        wait = max(wait, load.own_waiting / share)
    return wait + ideal_response(load, work, longest)


def ideal_response(load: Load, work: Seconds, longest: Seconds) -> Seconds:
    """Return the response time of a job alone in the pool, in seconds."""
    return max(work / load.total_speed, longest / load.top_speed)


def refuse_for_target(
    load: Load, target: ClassTarget, work: Seconds, longest: Seconds
) -> str | None:
    """Return why a job cannot meet the target of its class, or ``None``.

    A job that even an empty pool could not answer in time is admitted while the pool
    is nearly idle; otherwise it could never run.
    """
    if load.total_speed <= 0 or load.top_speed <= 0:
        return None
    predicted = predict_response(load, target, work, longest)
    if predicted <= TARGET_SHARE * target.response_time:
        return None
    if load.waiting / load.total_speed <= IDLE_SHARE * target.response_time:
        return None
    return (
        f"expected response time of {predicted:.3g} s exceeds the target of "
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
