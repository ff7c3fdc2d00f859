"""Ejection and return of backend servers."""

from __future__ import annotations

import random

from boragetide.policy.ejection import (
    MAX_PROBE_DELAY,
    PROBE_JITTER,
    UNLIMITED,
    ServerHealth,
    Tally,
    eject,
    observe_outcome,
    observe_probe,
    should_eject,
    start_probing,
)


def count_failures_until_ejection(
    pool_tally: Tally, *, fast: bool, limit: int = 50
) -> int:
    """Fail every task of a server; return the number of tasks before its ejection.

    Returns 0 if the server is not ejected within ``limit`` tasks.
    """
    health = ServerHealth()
    for number in range(1, limit + 1):
        observe_outcome(health, pool_tally, "c", True, fast, 1.0)
        if should_eject(health, 0, 8):
            return number
    return 0


def test_server_that_fails_everything_is_ejected_after_few_tasks() -> None:
    """Guards against a server that attracts tasks by failing them immediately."""
    healthy = Tally(ended=100.0, updated_at=1.0)
    assert count_failures_until_ejection(healthy, fast=False) <= 3
    assert count_failures_until_ejection(healthy, fast=True) <= 2


def test_class_that_fails_everywhere_ejects_no_server() -> None:
    """Guards against ejecting every server because of one faulty class."""
    failing = Tally(ended=50.0, failed=48.0, updated_at=1.0)
    assert count_failures_until_ejection(failing, fast=True) == 0


def test_occasional_failures_eject_no_server() -> None:
    """Guards against ejecting servers at the usual rate of failures."""
    health, pool, draw = ServerHealth(), Tally(), random.Random(1)
    for number in range(2000):
        failed = draw.random() < 0.02
        observe_outcome(health, pool, "c", failed, False, number * 0.01)
        assert not should_eject(health, 0, 8)


def test_at_most_half_of_the_servers_are_ejected() -> None:
    """Guards against ejecting so many servers that the pool becomes empty."""
    health = ServerHealth(evidence=100.0)
    assert should_eject(health, 3, 8)
    assert not should_eject(health, 4, 8)
    assert not should_eject(health, 0, 1)


def test_server_returns_gradually_and_waits_longer_after_a_failed_probe() -> None:
    """Guards against sending the full load to a server that still fails."""
    health, draw, pool = ServerHealth(), random.Random(1), Tally(100.0, 0.0, 1.0)
    eject(health, 10.0, draw)
    first = health.probe_at - 10.0
    start_probing(health)
    assert health.limit == 1
    observe_outcome(health, pool, "c", True, False, 11.0)
    assert observe_probe(health, True, 8)
    eject(health, 20.0, draw)
    assert health.probe_at - 20.0 > 1.2 * first
    start_probing(health)
    limits = []
    for _ in range(3):
        assert not observe_probe(health, False, 8)
        limits.append(health.limit)
    assert limits == [2, 4, UNLIMITED]


def test_server_may_be_ejected_any_number_of_times() -> None:
    """Guards against an overflow that ends the placer's process after some hours."""
    health, jitter = ServerHealth(), random.Random(1)
    for number in range(2000):
        eject(health, float(number), jitter)
    assert 0.0 < health.probe_at - 1999.0 <= MAX_PROBE_DELAY * (1 + PROBE_JITTER)
