"""Order of the jobs that wait for a slot: least remaining work first, with aging."""

from __future__ import annotations

import math

from boragetide.types import Seconds

# See `aging_rate`.
AGING = 2.0


def rank_job(remaining: Seconds, queued_at: Seconds, aging: float) -> float:
    """Return the rank of a job within its class; the lowest rank goes first.

    Every job of a class ages at the same rate, so the order of two waiting jobs does
    not depend on the current time. A job is overtaken only by jobs that arrive less
    than ``remaining / aging`` seconds after it.

    Parameters
    ----------
    remaining
        Expected work of the job that has not started, in seconds at the mean speed.
    queued_at
        Unix time in seconds.
    aging
        See `aging_rate`.
    """
    return remaining + aging * queued_at


def age_rank(rank: float, aging: float, now: Seconds) -> float:
    """Return a rank that is comparable between classes at this time."""
    return rank - aging * now


def aging_rate(total_speed: float, response_time: Seconds) -> float:
    """Return how much work a second of waiting outweighs.

    Parameters
    ----------
    total_speed
        Work that the pool does per second, over all slots.
    response_time
        Target of the class in seconds. A job that would fill the pool for the whole
        target is overtaken for ``1 / AGING`` of the target at most...
    """
    return AGING * total_speed / max(response_time, 1e-3)


def slots_of_share(slots: int, share: float) -> int:
    """Return how many of ``slots`` a share (0 to 1) stands for; at least one."""
    return max(1, math.ceil(slots * share))
