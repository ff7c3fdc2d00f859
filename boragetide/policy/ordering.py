"""Order of the jobs that wait for a slot: least remaining work first, with aging."""

from __future__ import annotations

import math

from boragetide.types import Seconds

# Number of times that a waiting job's rank falls by a factor of e within the target of
# its class.
AGING = 3.0
MIN_WORK: Seconds = 1e-3


def rank_job(remaining: Seconds, queued_at: Seconds, aging: float) -> float:
    """Return the rank of a job within its class; the lowest rank goes first.

    It is the logarithm of the remaining work, less the aged wait. All jobs of a class
    age at the same rate, so the order of two waiting jobs does not depend on the
    current time. A job with ``n`` times the work of another one is overtaken by it only
    if that one arrives less than ``log(n) / aging`` seconds later.

    Parameters
    ----------
    remaining
        Expected work of the job that has not started, in seconds at the mean speed.
    queued_at
        Unix time in seconds.
    aging
        See `aging_rate`.
    """
    return math.log(max(remaining, MIN_WORK)) + aging * queued_at


def age_rank(rank: float, aging: float, now: Seconds) -> float:
    """Return a rank that is comparable between classes at this time."""
    return rank - aging * now


def aging_rate(response_time: Seconds) -> float:
    """Return the rate of aging per second for a target in seconds.

    A linear rate in work instead, high enough to bound the wait of large jobs, orders
    small ones by arrival: the mean of response over ideal at 95% load was 3.3 then.
    """
    return AGING / max(response_time, MIN_WORK)


def slots_of_share(slots: int, share: float) -> int:
    """Return how many of ``slots`` a share (0 to 1) stands for; at least one."""
    return max(1, math.ceil(slots * share))
