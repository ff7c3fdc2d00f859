"""Ejects backend servers that fail tasks which others complete, and readmits them.

Evidence is collected by a sequential probability ratio test, which compares a broken
server with one that fails each class as often as the other servers do. An ejected
server returns gradually.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from boragetide.policy.exponential_wait import grow_wait
from boragetide.types import ClassName, Seconds, TaskStatus

BROKEN_FAILURE_RATE = 0.9
EXPECTED_FAILURE_RATE = 0.02
PRIOR_WEIGHT = 5.0
TALLY_DECAY_TIME: Seconds = 30.0

# Three failures in a row reach this evidence, and so do two fast ones. A healthy server
# that fails 2% of its tasks has three failures in a row once in 125,000 tasks.
EJECTION_EVIDENCE = math.log(10_000)
FAST_SHARE = 0.1
FAST_WEIGHT = 1.5
MAX_EJECTED_SHARE = 0.5

FIRST_PROBE_DELAY: Seconds = 1.0
MAX_PROBE_DELAY: Seconds = 30.0
PROBE_JITTER = 0.2

UNLIMITED = 1 << 30
_FAILURES = frozenset({TaskStatus.FAILED, TaskStatus.UNKNOWN, TaskStatus.NOT_RUN})


@dataclass(slots=True)
class Tally:
    """Numbers of ended and of failed tasks, with exponential decay."""

    ended: float = 0.0
    failed: float = 0.0
    updated_at: Seconds = 0.0


@dataclass(slots=True)
class ServerHealth:
    """Failure statistics of one backend server.

    Parameters
    ----------
    evidence
        Logarithm of the likelihood ratio for a broken server; never below 0.
    limit
        Number of tasks that may run at once: 0 while the server is ejected, then
        doubled by each success.
    probe_at
        Time at which an ejected server gets its next probe task.
    ejections
        Number of consecutive ejections, without a full return in between.
    """

    evidence: float = 0.0
    limit: int = UNLIMITED
    probe_at: Seconds = 0.0
    ejections: int = 0
    tallies_by_class: dict[ClassName, Tally] = field(default_factory=dict)


def is_failure(status: TaskStatus) -> bool:
    """Return whether an outcome counts as a failure of the backend server."""
    return status in _FAILURES


def observe_outcome(
    health: ServerHealth,
    pool: Tally,
    class_name: ClassName,
    failed: bool,
    fast: bool,
    now: Seconds,
) -> None:
    """Update the evidence and the tallies with the outcome of one task.

    Parameters
    ----------
    health
        Statistics of the server that ran the task.
    pool
        Tally of the class over all servers.
    class_name
        Class of the task.
    failed, fast
        Whether the task failed, and whether it took less than `FAST_SHARE` of its
        expected time.
    now
        Unix time in seconds.
    """
    own = health.tallies_by_class.setdefault(class_name, Tally())
    _decay_tally(own, now)
    _decay_tally(pool, now)
    rate = _failure_rate_elsewhere(pool, own)
    if failed:
        evidence = math.log(BROKEN_FAILURE_RATE / rate)
        health.evidence += evidence * (FAST_WEIGHT if fast else 1.0)
    else:
        health.evidence += math.log((1 - BROKEN_FAILURE_RATE) / (1 - rate))
    health.evidence = max(health.evidence, 0.0)
    for tally in (own, pool):
        tally.ended += 1
        tally.failed += failed


def _decay_tally(tally: Tally, now: Seconds) -> None:
    factor = math.exp((tally.updated_at - now) / TALLY_DECAY_TIME)
    tally.ended *= factor
    tally.failed *= factor
    tally.updated_at = now


def _failure_rate_elsewhere(pool: Tally, own: Tally) -> float:
    """Return the failure rate of a class on the other servers, with a prior."""
    failed = max(pool.failed - own.failed, 0.0)
    ended = max(pool.ended - own.ended, failed)
    prior = EXPECTED_FAILURE_RATE * PRIOR_WEIGHT
    rate = (failed + prior) / (ended + PRIOR_WEIGHT)
    return min(max(rate, EXPECTED_FAILURE_RATE), BROKEN_FAILURE_RATE)


def should_eject(health: ServerHealth, ejected: int, servers: int) -> bool:
    """Return whether the evidence suffices and enough other servers remain.

    Parameters
    ----------
    health
        Statistics of the server in question.
    ejected, servers
        Number of servers that are already ejected, and number of all servers.
    """
    if health.evidence < EJECTION_EVIDENCE or health.limit == 0:
        return False
    return ejected + 1 <= servers * MAX_EJECTED_SHARE


def eject(health: ServerHealth, now: Seconds, jitter: random.Random) -> None:
    """Eject a server until its next probe; the wait doubles with each ejection."""
    wait = grow_wait(FIRST_PROBE_DELAY, health.ejections, MAX_PROBE_DELAY)
    spread = jitter.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
    health.limit = 0
    health.evidence = 0.0
    health.ejections += 1
    health.probe_at = now + wait * spread


def suspend(health: ServerHealth, until: Seconds) -> None:
    """Let a server wait for its first probe, as if it had been ejected."""
    health.limit = 0
    health.evidence = 0.0
    health.probe_at = until


def start_probing(health: ServerHealth) -> None:
    """Allow one probe task on an ejected server."""
    health.limit = 1
    health.evidence = 0.0


def observe_probe(health: ServerHealth, failed: bool, slots: int) -> bool:
    """Raise the limit of a returning server after a success.

    A failure counts against the server only if other servers complete the class,
    according to the evidence of `observe_outcome`.

    Returns
    -------
    bool
        Whether the server must be ejected again.
    """
    if health.limit in (0, UNLIMITED):
        return False
    if failed:
        return health.evidence > 0
    health.limit *= 2
    if health.limit >= slots:
        health.limit = UNLIMITED
        health.ejections = 0
    return False
