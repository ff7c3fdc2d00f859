"""Service of a leader whose processor is too small for the load, on a virtual clock."""

from __future__ import annotations

import pytest

from benchmarks.busy_leader import Phase, play_phases
from boragetide.types import Seconds

SEED = 1
WARM_UP: Seconds = 2.0
MEASURED: Seconds = 8.0
# Shares of the leader's processor of which the best one is compared with an overload.
BEARABLE_LOADS = (0.8, 0.9, 1.0)
LEAST_SHARE_OF_BEST = 0.8
OVERLOAD_TIME: Seconds = 4.0
RECOVERY_TIME: Seconds = 2.0
USUAL_LOAD = 0.8
# Share of the usual service from which on an overload counts as over.
RECOVERED_SHARE = 0.95


def measure_in_time_rate(processor_load: float) -> float:
    """Return the number of jobs that are served in time a second."""
    run = play_phases((Phase(WARM_UP + MEASURED, processor_load),), SEED)
    return run.count_served(WARM_UP, WARM_UP + MEASURED).in_time / MEASURED


@pytest.fixture(scope="module")
def best_rate() -> float:
    """Highest number of jobs a second that the leader serves in time."""
    return max(map(measure_in_time_rate, BEARABLE_LOADS))


@pytest.mark.parametrize("processor_load", [1.5, 2.0])
def test_overload_does_not_displace_work_that_is_still_of_use(
    processor_load: float, best_rate: float
) -> None:
    """Guards against a collapse in which the leader serves only jobs that are late."""
    rate = measure_in_time_rate(processor_load)
    assert rate >= LEAST_SHARE_OF_BEST * best_rate


def test_leader_recovers_within_two_seconds_after_overload() -> None:
    """Guards against an overload that feeds itself after its cause is gone."""
    phases = (
        Phase(WARM_UP + MEASURED, USUAL_LOAD),
        Phase(OVERLOAD_TIME, 2.0),
        Phase(RECOVERY_TIME + MEASURED, USUAL_LOAD),
    )
    run = play_phases(phases, SEED)
    before = run.count_served(WARM_UP, WARM_UP + MEASURED)
    begin = WARM_UP + MEASURED + OVERLOAD_TIME + RECOVERY_TIME
    after = run.count_served(begin, begin + MEASURED)
    usual = before.in_time / before.submitted
    assert after.in_time / after.submitted >= RECOVERED_SHARE * usual


def test_running_job_is_submitted_once() -> None:
    """Guards against copies of each job that runs longer than a message takes."""
    run = play_phases((Phase(WARM_UP + MEASURED, 0.5),), SEED)
    assert run.sent_copies == len(run.edge_requests)
