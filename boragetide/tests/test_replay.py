"""Replays of recorded traces through the policies, with expected outcomes."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks import trace as traces
from benchmarks.replay import BASELINES, Summary, replay, summarize
from boragetide.types import Status

FOLDER = Path(traces.__file__).parent / "traces"

# Mean ratio of response time to ideal response time of the complete jobs, number of
# refused jobs, number of failed jobs.
OUTCOMES_BY_TRACE = {
    "burst": (2.454, 0, 0),
    "failing": (1.896, 0, 3),
    "large_70": (1.695, 0, 0),
    "large_95": (1.811, 0, 0),
    "overload": (3.640, 115, 0),
    "small_70": (1.484, 0, 0),
    "small_95": (1.794, 0, 0),
    "straggler": (1.609, 0, 0),
}


def run(name: str, policy: str = "boragetide") -> Summary:
    """Replay a committed trace."""
    return summarize(replay(traces.read(FOLDER / f"{name}.jsonl"), policy))


@pytest.mark.parametrize("name", sorted(OUTCOMES_BY_TRACE))
def test_trace_has_its_stated_outcome(name: str) -> None:
    """Guards against a change of the policy that was not noticed or measured."""
    mean, refused, failed = OUTCOMES_BY_TRACE[name]
    summary = run(name)
    assert summary.mean == pytest.approx(mean, abs=0.001)
    assert (summary.refused, summary.failed) == (refused, failed)


@pytest.mark.parametrize("name", ["small_95", "large_95"])
def test_mean_and_p99_at_high_load_beat_every_baseline(name: str) -> None:
    """Guards against a policy that is no better than a simple one."""
    summary = run(name)
    for baseline in BASELINES:
        other = run(name, baseline)
        assert summary.mean < 0.75 * other.mean, baseline
        assert summary.p99 < 0.75 * other.p99, baseline


@pytest.mark.parametrize(
    ("tasks", "jobs"), [((1, 16), 1500), ((4, 256), 250)], ids=["small", "large"]
)
def test_mean_and_p99_are_half_of_those_of_binding_on_arrival(
    tasks: tuple[int, int], jobs: int
) -> None:
    """Guards against missing the target for 95% load.

    The traces are long enough for queues to build up.
    """
    trace = traces.generate(seed=1, load=0.95, tasks=tasks, jobs=jobs)
    summary = summarize(replay(trace, "boragetide"))
    for baseline in ("random", "round_robin", "fewest_outstanding"):
        other = summarize(replay(trace, baseline))
        assert summary.mean <= 0.5 * other.mean, baseline
        assert summary.p99 <= 0.5 * other.p99, baseline


def test_failing_server_costs_at_most_one_percent_of_the_tasks() -> None:
    """Guards against a server that attracts tasks by failing them immediately."""
    trace = traces.read(FOLDER / "failing.jsonl")
    done = replay(trace, "boragetide")
    tasks = sum(len(job.tasks) for job in trace.jobs)
    assert done.failed_tasks <= 0.01 * tasks


def test_admitted_jobs_meet_their_target_at_double_load() -> None:
    """Guards against admitting jobs that the pool cannot complete within the target."""
    trace = traces.read(FOLDER / "overload.jsonl")
    results = replay(trace, "boragetide").results
    admitted = [r for r in results if r.status is Status.COMPLETE]
    met = sum(r.response <= trace.targets["default"] for r in admitted)
    assert met >= 0.97 * len(admitted)
    refused = [r.response for r in results if r.status is Status.NOT_RUN]
    assert max(refused) < 0.01
