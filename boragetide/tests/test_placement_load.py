"""What callers get from the placement under load, on a virtual clock."""

from __future__ import annotations

import hashlib
from dataclasses import replace

import pytest

from benchmarks.dispatch_loads import LOADS, NARROW_95, WIDE_95, Load, generate
from benchmarks.placement_sizes import (
    PlacementRun,
    SizeOutcome,
    divide_by_size,
    find_needs,
)
from boragetide.controllers import reserving
from boragetide.effects import StartRun
from boragetide.policy.reservations import SEARCH_INTERVAL
from boragetide.settings import PlacementRule

SEEDS = 1, 2, 3
SECONDS = 8.0
OVERLOAD = next(load for load in LOADS if load.name == "overload of 3")


class RecordedRun(PlacementRun):
    """A replay that computes a digest of which tasks start when and where."""

    def __init__(self, load: Load, seed: int, placement: PlacementRule):
        self.jobs = generate(load, seed)
        super().__init__(
            load, self.jobs, seed, placement=placement, collects_events=True
        )
        self.digest = hashlib.sha256()
        self.play()

    def start(self, order: StartRun) -> None:
        """Start a run and add it to the digest."""
        start = f"{order.task.job_id} {order.number} {order.run} {order.server}"
        self.digest.update(f"{start} {self.clock.now:.6f}\n".encode())
        super().start(order)


@pytest.mark.parametrize(
    ("load", "digest"),
    [
        (WIDE_95, "6dfaac48cf491313"),
        (NARROW_95, "6b1140c8da1f4d8d"),
        (OVERLOAD, "3f60a829904283b5"),
    ],
    ids=lambda value: value.name if isinstance(value, Load) else value,
)
def test_first_fit_starts_what_it_always_started(load: Load, digest: str) -> None:
    """Guards against other starts in installations that do not look ahead.

    The digests are those of the dispatcher before it could look ahead. Only a change
    that is meant to alter the default may replace them.
    """
    run = RecordedRun(replace(load, seconds=4.0), 1, PlacementRule.FIRST_FIT)
    assert run.digest.hexdigest()[:16] == digest


@pytest.fixture(scope="module")
def runs_by_rule() -> dict[PlacementRule, list[RecordedRun]]:
    """Replays of the same jobs with each placement."""
    load = replace(WIDE_95, seconds=SECONDS)
    return {
        rule: [RecordedRun(load, seed, rule) for seed in SEEDS]
        for rule in PlacementRule
    }


def sum_in_time(runs: list[RecordedRun], size: str | None = None) -> float:
    """Return the share of the jobs in time, of one size by needs or of all."""
    outcomes: list[SizeOutcome] = []
    for run in runs:
        jobs = run.jobs
        if size is not None:
            jobs = divide_by_size(jobs, find_needs)[size]
        outcomes.append(run.summarize(jobs))
    return sum(each.in_time for each in outcomes) / sum(each.total for each in outcomes)


def test_jobs_with_large_needs_gain_and_the_others_lose_little(
    runs_by_rule: dict[PlacementRule, list[RecordedRun]],
) -> None:
    """Guards against looking ahead that helps no caller, or some at others' cost."""
    before = runs_by_rule[PlacementRule.FIRST_FIT]
    after = runs_by_rule[PlacementRule.LOOK_AHEAD]
    assert sum_in_time(after, "largest") >= sum_in_time(before, "largest") + 0.02
    assert sum_in_time(after, "rest") >= sum_in_time(before, "rest") - 0.02
    assert sum_in_time(after) >= sum_in_time(before) - 0.005


@pytest.mark.parametrize("rule", PlacementRule)
def test_no_task_starts_twice_or_without_room(
    runs_by_rule: dict[PlacementRule, list[RecordedRun]], rule: PlacementRule
) -> None:
    """Guards against a reservation that is counted as free room."""
    for run in runs_by_rule[rule]:
        assert run.max_used_share <= 1.0
        assert max(run.starts_by_task.values()) == 1


def test_volume_of_log_lines_about_reservations_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log line for each job that is overtaken."""
    monkeypatch.setattr(reserving, "MIN_TIMES_OVERTAKEN", 1)
    load = replace(WIDE_95, seconds=4.0)
    run = RecordedRun(load, 1, PlacementRule.LOOK_AHEAD)
    made, kept, given_up = (
        len(run.events.get(f"reservation_{outcome}", ()))
        for outcome in ("made", "kept", "given_up")
    )
    assert 10 < made <= 4.0 / SEARCH_INTERVAL
    assert made - 1 <= kept + given_up <= made
    assert run.max_used_share <= 1.0
    assert max(run.starts_by_task.values()) == 1
