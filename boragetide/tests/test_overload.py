"""Service of a leader whose processor is too small for the load, on a virtual clock."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from benchmarks.busy_leader import EDGES, BusyLeaderRun, Phase, play_phases
from benchmarks.dispatch_loads import KINDS
from benchmarks.virtual_edges import EdgeRequest
from boragetide.policy.scheduling import due_at
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
# Share of the jobs that are sent at half of the load that the leader bears.
USUAL_SHARE_SENT = 0.95
# Share of the refusals that come before the caller's job would have been due.
SHARE_BEFORE_DUE = 0.9
UNEVENNESS = 0.1  # difference of the refused shares


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
    sent = [request for request in run.edge_requests if request.was_sent]
    assert run.sent_copies == len(sent)
    assert len(sent) >= USUAL_SHARE_SENT * len(run.edge_requests)


@pytest.fixture(scope="module")
def overloaded_run() -> BusyLeaderRun:
    """A run at twice the load that the leader's processor bears."""
    return play_phases((Phase(WARM_UP + MEASURED, 2.0),), SEED)


def test_excess_is_refused_before_it_is_due(overloaded_run: BusyLeaderRun) -> None:
    """Guards against callers that wait for a refusal until it is too late for them."""
    refused = [each for each in overloaded_run.edge_requests if each.is_refused]
    early = [each for each in refused if each.replied_at <= due_at(each.generated.job)]
    assert len(early) >= SHARE_BEFORE_DUE * len(refused) > 0


def test_refusals_are_even_over_edges_and_classes(
    overloaded_run: BusyLeaderRun,
) -> None:
    """Guards against a part of the callers that bears most of the refusals."""
    requests = overloaded_run.edge_requests
    usual = find_refused_share(requests)
    assert usual > 0
    for edge in EDGES:
        of_edge = [each for each in requests if each.edge == edge]
        assert abs(find_refused_share(of_edge) - usual) <= UNEVENNESS, edge
    for kind in KINDS:
        of_kind = [each for each in requests if each.generated.kind is kind]
        assert abs(find_refused_share(of_kind) - usual) <= UNEVENNESS, kind.name


def find_refused_share(requests: Sequence[EdgeRequest]) -> float:
    return sum(request.is_refused for request in requests) / len(requests)
