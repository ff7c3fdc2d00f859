"""Outcomes of the plays of `benchmarks.zone_leases`."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.zone_faults import FAULT_AT, OUTSIDE
from benchmarks.zone_lease_rules import Run, ServerModel, is_foreign
from benchmarks.zone_network import MAX_DELAY
from boragetide.types import Seconds


@dataclass(slots=True)
class Outcome:
    """Result of one play.

    Parameters
    ----------
    unserved
        Time in which nobody may start the jobs of the zone.
    deputy_after, leader_after
        Time from the begin of the fault until the deputy may start jobs, and from its
        end until the leader may.
    begins
        How often the deputy began.
    kept, in_progress
        Runs of jobs of the zone that were in progress on its servers at the begin of
        the fault, and how many of them were done.
    concurrent
        Runs that began while another run of the same task was in progress.
    repeated
        Runs of a job of the zone that began after another one was done.
    runs
        All runs.
    """

    unserved: Seconds = 0.0
    deputy_after: Seconds | None = None
    leader_after: Seconds | None = None
    begins: int = 0
    kept: int = 0
    in_progress: int = 0
    concurrent: int = 0
    repeated: int = 0
    runs: int = 0


def count_runs(
    outcome: Outcome, servers_by_id: dict[str, ServerModel], end_at: Seconds
) -> None:
    """Count the runs that were kept, and the jobs with two runs.

    Parameters
    ----------
    end_at
        End of the play.
    """
    runs = [run for each in servers_by_id.values() for run in each.history]
    runs.sort(key=lambda run: run.began_at)
    outcome.runs = len(runs)
    for name, server in servers_by_id.items():
        for run in server.history if name != OUTSIDE else ():
            was_there = run.began_at < FAULT_AT - MAX_DELAY and run.ends_at > FAULT_AT
            if was_there and not is_foreign(run.job):
                outcome.in_progress += 1
                outcome.kept += run.lease_until >= min(run.ends_at, end_at)
    last_by_job: dict[int, Run] = {}
    for run in runs:
        last = last_by_job.get(run.job)
        if last is not None:
            over_at = end_at if last.over_at is None else last.over_at
            outcome.concurrent += run.began_at < over_at
            was_done = over_at <= run.began_at and over_at == last.ends_at
            outcome.repeated += was_done and not is_foreign(run.job)
        last_by_job[run.job] = run


def summarize(name: str, outcomes: list[Outcome]) -> str:
    """Return a line of the table: means, the longest times, and counts."""
    deputy = [each.deputy_after for each in outcomes if each.deputy_after is not None]
    leader = [each.leader_after for each in outcomes if each.leader_after is not None]
    in_progress = sum(each.in_progress for each in outcomes)
    kept = sum(each.kept for each in outcomes) / max(in_progress, 1)
    return (
        f"{name:20} unserved={format_times([e.unserved for e in outcomes])} "
        f"deputy={format_times(deputy)} leader={format_times(leader)} "
        f"begins={sum(e.begins for e in outcomes)} kept={kept:.3f}/{in_progress} "
        f"concurrent={sum(e.concurrent for e in outcomes)} "
        f"repeated={sum(e.repeated for e in outcomes)} "
        f"runs={sum(e.runs for e in outcomes)}"
    )


def format_times(times: list[Seconds]) -> str:
    """Return the mean and the longest of some times."""
    if not times:
        return "-"
    return f"{sum(times) / len(times):.2f}/{max(times):.2f}"
