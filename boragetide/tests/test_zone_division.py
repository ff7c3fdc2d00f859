"""What a division of the backend servers among zones costs, on a virtual clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from functools import cache
from typing import Any

import pytest

from benchmarks.dispatch_loads import WIDE_70, Load
from benchmarks.zone_division import (
    BURSTS,
    DIVISIONS,
    Division,
    DivisionOutcome,
    HomedPool,
    ZoneFirstIndex,
    list_weights,
)
from benchmarks.zone_loans import LendingDivision, Loans
from boragetide.effects import StartRun

SEEDS = 1, 2
BURST = replace(WIDE_70, name="burst", seconds=12.0, burst_by_kind=BURSTS)
# Three zones of the size of the one group that the other tests replay.
THREE_ZONES = replace(
    WIDE_70, servers=3 * 35, rate=3 * WIDE_70.rate, seconds=6.0, burst_by_kind=BURSTS
)
TWICE = 2.0
MAX_SHARE_LOSS = 0.01  # of the share of the jobs in time, in a burst
MIN_SHARE_LOSS_WHEN_DIVIDED = 0.02


@cache
def replay(name: str, load: Load = BURST) -> DivisionOutcome:
    """Return the outcome of a division where one zone has twice the demand."""
    outcome = DivisionOutcome()
    for seed in SEEDS:
        outcome.add(Division(load, TWICE, seed, **DIVISIONS[name]).run())
    return outcome


@pytest.mark.parametrize("name", ["notices", "zone first"])
def test_preference_for_the_home_zone_costs_next_to_nothing(name: str) -> None:
    """Guards against a preference that leaves servers idle while jobs wait."""
    assert replay(name).share() >= replay("no zones").share() - MAX_SHARE_LOSS


def test_divided_zones_serve_the_one_with_the_most_demand_worse() -> None:
    """Guards against a replay whose dispatchers share backend servers after all."""
    divided, undivided = replay("zones divided"), replay("no zones")
    assert divided.outside_starts == 0
    assert divided.share("a") <= undivided.share("a") - MIN_SHARE_LOSS_WHEN_DIVIDED
    assert divided.share("a") < divided.share("c")


def test_all_divisions_replay_the_same_jobs() -> None:
    """Guards against divisions that are compared by different jobs."""
    totals = [replay(name).total_by_key for name in DIVISIONS]
    assert all(total == totals[0] for total in totals)


def test_home_zone_comes_first_in_the_index() -> None:
    """Guards against a preference that the dispatcher never sees."""
    zone_by_id = {"s1": "a", "s2": "b", "s3": "a"}
    index = ZoneFirstIndex(zone_by_id=zone_by_id)
    for server, speed in (("s1", 1.0), ("s2", 2.0), ("s3", 1.0)):
        index.put(server, "pool", speed, 64_000)
    assert next(index.iterate("pool", 1)) == "s2"
    found = list(index.iterate(HomedPool.of("pool", "a"), 1))
    assert found == ["s1", "s3", "s2"]


def test_weights_of_the_zones_span_the_given_factor() -> None:
    """Guards against figures for another skew than the one that is named."""
    weights = list_weights(TWICE)
    assert weights[0] / weights[-1] == pytest.approx(TWICE)
    assert weights[0] > weights[1] > weights[2]


class RecordedLoans(LendingDivision):
    """A replay that counts the starts of each task over all dispatchers."""

    def __init__(self, **options: Any):
        super().__init__(THREE_ZONES, TWICE, 1, **options)
        self.starts_by_task: Counter[tuple[str, int]] = Counter()
        for part in self.parts:
            self._count_starts(part)

    def _count_starts(self, part: Any) -> None:
        start = part.start

        def count(order: StartRun) -> None:
            self.starts_by_task[order.task.job_id, order.number] += 1
            start(order)

        part.start = count


@cache
def replay_loans(loans: Loans) -> tuple[RecordedLoans, DivisionOutcome]:
    run = RecordedLoans(loans=loans)
    return run, run.run()


@pytest.mark.parametrize("loans", list(Loans))
def test_task_of_a_lent_job_starts_once(loans: Loans) -> None:
    """Guards against a loan that leaves the job at its home zone as well."""
    run, outcome = replay_loans(loans)
    assert max(run.starts_by_task.values()) == 1
    assert (outcome.lent_jobs > 0) == (loans is not Loans.NONE)


def test_loans_at_arrival_recover_a_part_of_the_cost() -> None:
    """Guards against loans that come too late to be of use."""
    _, without = replay_loans(Loans.NONE)
    _, at_arrival = replay_loans(Loans.AT_ARRIVAL)
    assert at_arrival.share("a") > without.share("a")
    assert at_arrival.share() > without.share()
