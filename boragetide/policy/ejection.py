"""Ejects backend servers that fail what others complete, and takes them back slowly.

Evidence is a sequential probability ratio test: a broken server against one that fails
each class as often as the other servers do.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from boragetide.types import ClassName, Seconds, TaskStatus

BROKEN_FAILURE_RATE = 0.9
EXPECTED_FAILURE_RATE = 0.02
EXPECTED_WEIGHT = 5.0
FORGET_AFTER: Seconds = 30.0

# Reached by three failures in a row, or two fast ones. A healthy server that fails 2%
# of its tasks has three in a row once in 125,000 tasks.
EJECTION_EVIDENCE = math.log(10_000)
FAST_SHARE = 0.1
FAST_WEIGHT = 1.5
MAX_EJECTED_SHARE = 0.5

FIRST_PROBE: Seconds = 1.0
LAST_PROBE: Seconds = 30.0
PROBE_JITTER = 0.2

UNLIMITED = 1 << 30
_FAILURES = frozenset({TaskStatus.FAILED, TaskStatus.UNKNOWN, TaskStatus.NOT_RUN})


@dataclass(slots=True)
class Tally:
    """Numbers of ended and of failed tasks, forgotten exponentially."""

    ended: float = 0.0
    failed: float = 0.0
    updated_at: Seconds = 0.0


@dataclass(slots=True)
class ServerHealth:
    """What is held against one backend server.

    Parameters
    ----------
    evidence
        Logarithm of the likelihood ratio for a broken server; never below 0.
    limit
        How many tasks may run at once: 0 while ejected, then doubled by each success.
    probe_at
        When an ejected server gets its next probing task.
    ejections
        In a row, without a full return in between.
    """

    evidence: float = 0.0
    limit: int = UNLIMITED
    probe_at: Seconds = 0.0
    ejections: int = 0
    tallies_by_class: dict[ClassName, Tally] = field(default_factory=dict)


def is_failure(status: TaskStatus) -> bool:
    """Tell whether an outcome speaks against the backend server."""
    return status in _FAILURES


def observe_outcome(
    health: ServerHealth,
    pool: Tally,
    class_name: ClassName,
    failed: bool,
    fast: bool,
    now: Seconds,
) -> None:
    """Weigh one outcome of a class.

    Parameters
    ----------
    health
        Of the server that ran the task.
    pool
        Tally of the class over all servers.
    class_name
        Class of the task.
    failed, fast
        Whether it failed, and whether it took less than `FAST_SHARE` of the expected
        time.
    now
        Unix time in seconds.
    """
    own = health.tallies_by_class.setdefault(class_name, Tally())
    _forget(own, now)
    _forget(pool, now)
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


def _forget(tally: Tally, now: Seconds) -> None:
    share = math.exp((tally.updated_at - now) / FORGET_AFTER)
    tally.ended *= share
    tally.failed *= share
    tally.updated_at = now


def _failure_rate_elsewhere(pool: Tally, own: Tally) -> float:
    """Return the failure rate of a class on the other servers, with a prior."""
    failed = max(pool.failed - own.failed, 0.0)
    ended = max(pool.ended - own.ended, failed)
    prior = EXPECTED_FAILURE_RATE * EXPECTED_WEIGHT
    rate = (failed + prior) / (ended + EXPECTED_WEIGHT)
    return min(max(rate, EXPECTED_FAILURE_RATE), BROKEN_FAILURE_RATE)


def should_eject(health: ServerHealth, ejected: int, servers: int) -> bool:
    """Tell whether the evidence suffices and enough other servers remain.

    Parameters
    ----------
    health
        Of the server in question.
    ejected, servers
        How many servers are ejected already, of how many.
    """
    if health.evidence < EJECTION_EVIDENCE or health.limit == 0:
        return False
    return ejected + 1 <= servers * MAX_EJECTED_SHARE


def eject(health: ServerHealth, now: Seconds, jitter: random.Random) -> None:
    """Stop new tasks until the next probe; the wait doubles with each ejection."""
    wait = min(FIRST_PROBE * 2**health.ejections, LAST_PROBE)
    spread = jitter.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
    health.limit = 0
    health.evidence = 0.0
    health.ejections += 1
    health.probe_at = now + wait * spread


def start_probing(health: ServerHealth) -> None:
    """Let one probing task run."""
    health.limit = 1
    health.evidence = 0.0


def observe_probe(health: ServerHealth, failed: bool, slots: int) -> bool:
    """Widen the limit of a returning server; return whether it is to be ejected again.

    A failure counts against it only where the evidence of `observe_outcome` says that
    other servers complete the class.
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
