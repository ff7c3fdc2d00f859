"""Rules of a zone lease and of a deputy, played against faults on a virtual clock."""

from __future__ import annotations

from functools import cache

import pytest

from benchmarks import zone_leases
from benchmarks.zone_faults import FAULTS, make_random_fault
from benchmarks.zone_lease_rules import DeputyModel, Holder, LeaderModel
from benchmarks.zone_leases import Outcome, Play
from boragetide.types import Seconds

SEEDS = range(1, 6)
# From the begin of a cut to service by the deputy, and from contact to the leader's.
MAX_BEGIN: Seconds = 1.0
MAX_RETURN: Seconds = 1.0
SHORT_WAIT: Seconds = 0.25  # in place of `ZONE_LEASE_WAIT`
LEAST_KEPT = 0.9  # of the runs in progress; some leases end before the deputy begins


@cache
def play(name: str) -> list[Outcome]:
    return [Play(FAULTS[name], seed).run() for seed in SEEDS]


def count_concurrent(name: str) -> int:
    return sum(Play(FAULTS[name], seed).run().concurrent for seed in SEEDS)


@pytest.mark.parametrize("name", FAULTS)
def test_no_task_runs_twice_at_the_same_time(name: str) -> None:
    """Guards against two holders of the zone that start the same job."""
    outcomes = play(name)
    assert sum(outcome.runs for outcome in outcomes) > 0
    assert [outcome.concurrent for outcome in outcomes] == [0] * len(outcomes)


def test_cut_off_zone_is_served_and_keeps_its_runs() -> None:
    """Guards against a zone that waits for the leader, or loses what runs there."""
    for outcome in play("cut"):
        assert outcome.deputy_after is not None
        assert outcome.deputy_after < MAX_BEGIN
        assert outcome.leader_after is not None
        assert outcome.leader_after < MAX_RETURN
        assert outcome.kept >= LEAST_KEPT * outcome.in_progress > 0


@pytest.mark.parametrize("name", ["none", "deputy frozen", "deputy alone"])
def test_lost_deputy_costs_the_leader_nothing(name: str) -> None:
    """Guards against a leader that waits for a deputy whose servers answer it."""
    for outcome in play(name):
        assert outcome.unserved <= 0.1
        assert outcome.kept == outcome.in_progress > 0


def test_model_shows_a_deputy_that_does_not_wait_for_leases(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model in which no run goes on at a server that is not read."""

    def should_begin(self: DeputyModel, now: Seconds) -> bool:
        return self.begun_at is None and now >= self.granted_at + SHORT_WAIT

    def may_start(self: DeputyModel, now: Seconds) -> bool:
        return self.begun_at is not None and self.taken_fence is None

    monkeypatch.setattr(DeputyModel, "should_begin", should_begin)
    monkeypatch.setattr(DeputyModel, "may_start", may_start)
    assert count_concurrent("zone in two") > 0


def test_model_shows_a_start_outside_that_is_not_noted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model whose deputy knows of starts outside by itself."""

    def start_outside(self: Play, job: int) -> None:
        now, leader = self.clock.now, self.leader
        if leader.may_use_zone(now) and leader.holder.may_run(job):
            self.start(zone_leases.LEADER, zone_leases.OUTSIDE, job)

    monkeypatch.setattr(Play, "try_leader", start_outside)
    assert count_concurrent("cut") > 0


def test_model_shows_a_deputy_that_renews_all_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model without runs that the leader counts as over."""
    monkeypatch.setattr(Holder, "is_clean", lambda self, server: True)
    monkeypatch.setattr(Play, "stop_foreign", lambda *arguments: None)
    assert count_concurrent("cut") > 0


def test_model_shows_a_leader_that_starts_without_the_zone_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model in which fences alone suffice."""
    monkeypatch.setattr(LeaderModel, "may_use_zone", lambda self, now: True)
    assert count_concurrent("zone in two") > 0


def test_deputy_does_not_begin_above_the_token_that_closes_its_zone() -> None:
    """Guards against questions that name the token of a leader that closes the zone.

    The answers of the deputy are lost for a while, and then its zone is cut off.
    """
    assert Play(make_random_fault(442), 442).run().concurrent == 0


def test_random_faults_start_no_task_twice_at_the_same_time() -> None:
    """Guards against rules that hold only for the faults that somebody thought of."""
    plays = [Play(make_random_fault(seed), seed) for seed in range(1, 41)]
    outcomes = [each.run() for each in plays]
    assert sum(outcome.begins for outcome in outcomes) > 0
    assert [outcome.concurrent for outcome in outcomes] == [0] * len(outcomes)
    assert [outcome.repeated for outcome in outcomes] == [0] * len(outcomes)
