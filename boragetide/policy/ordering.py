"""Order of the jobs that wait for a slot: least remaining work first, with aging."""

from __future__ import annotations

import math

from boragetide.types import Seconds

# A job that has waited as long as the response-time target of its class ranks as if its
# remaining work had fallen by a factor of e this many times.
AGING = 3.0
MIN_WORK: Seconds = 1e-3


def rank_job(remaining: Seconds, queued_at: Seconds, aging: float) -> float:
    """Return the rank of a job within its class; the lowest rank goes first.

    The rank is the logarithm of the remaining work, minus the aged wait. All jobs of a
    class age at the same rate, so the order of two waiting jobs does not depend on the
    current time. A job with ``n`` times the work of another job is overtaken by it only
    if the other job arrives less than ``log(n) / aging`` seconds later.

    Parameters
    ----------
    remaining
        Expected work of the job's tasks that have not started, in seconds at the mean
        speed.
    queued_at
        Unix time in seconds at which the job was queued.
    aging
        Rate per second; see `aging_rate`.
    """
    return math.log(max(remaining, MIN_WORK)) + aging * queued_at


def age_rank(rank: float, aging: float, now: Seconds) -> float:
    """Return a rank that is comparable between classes at the time ``now``."""
    return rank - aging * now


def aging_rate(response_time: Seconds) -> float:
    """Return the rate of aging per second for a target in seconds.

    Aging is relative to the logarithm of the work. Aging that is linear in the work and
    fast enough to bound the wait of large jobs would order small jobs by arrival: with
    it, the mean ratio of response time to ideal response time was 3.3 at 95% load.
    """
    return AGING / max(response_time, MIN_WORK)


def slots_of_share(slots: int, share: float) -> int:
    """Return the number of slots that a share (0 to 1) amounts to; at least one."""
    return max(1, math.ceil(slots * share))
