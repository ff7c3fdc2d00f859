"""Outcomes of a replayed load by class and by the size of the jobs within their class.

``python -m benchmarks.outcomes_by_size`` prints, for each class and for its largest
jobs, how many jobs were owed, served in time, served late, refused at once, refused
after a wait, and of no use to their callers, because they ended too late or were not
answered.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.dispatch_loads import (
    INSTALLATION_LOADS,
    LOADS,
    GeneratedJob,
    Load,
    generate,
)
from benchmarks.product_run import ONE_WAY_DELAY, ProductRun
from boragetide.policy.scheduling import Timeliness
from boragetide.settings import DispatchSettings, JobOrder, PlacementRule
from boragetide.types import Seconds

OF_NO_USE = "of no use"  # ended too late, or not answered
OUTCOMES = ("in time", "late", "refused at once", "refused late", OF_NO_USE)
OUTCOME_BY_TIMELINESS = {
    Timeliness.IN_TIME: "in time",
    Timeliness.LATE: "late",
    Timeliness.TOO_LATE: OF_NO_USE,
}
# A refusal that took longer than a round trip and this waited in the queue.
AT_ONCE: Seconds = 0.005


@dataclass(frozen=True, slots=True)
class Part:
    """Some of the jobs of a class, chosen by their size.

    Parameters
    ----------
    smallest, largest
        Limits of the rank by true work within the class, from 0 to 1.
    """

    name: str
    smallest: float
    largest: float


PARTS = (
    Part("all", 0.0, 1.0),
    Part("largest tenth", 0.9, 1.0),
    Part("fifth below", 0.7, 0.9),
)


def list_part(
    jobs: Iterable[GeneratedJob], kind: str, part: Part
) -> list[GeneratedJob]:
    """Return the jobs of a part of a class, the smallest first."""
    of_kind = [generated for generated in jobs if generated.kind.name == kind]
    of_kind.sort(key=lambda generated: sum(generated.work))
    first = int(len(of_kind) * part.smallest)
    return of_kind[first : int(len(of_kind) * part.largest)]


def classify(run: ProductRun, generated: GeneratedJob) -> str:
    """Return the outcome of a job, as its caller sees it."""
    ended_at = run.ended_by_id.get(generated.job.id)
    refused_at = run.refused_by_id.get(generated.job.id)
    if ended_at is not None or refused_at is None:
        return OUTCOME_BY_TIMELINESS[generated.find_timeliness(ended_at)]
    at_once = refused_at <= generated.job.submitted_at + 2 * ONE_WAY_DELAY + AT_ONCE
    return "refused at once" if at_once else "refused late"


def count_outcomes(
    run: ProductRun, jobs: list[GeneratedJob]
) -> dict[tuple[str, str], Counter[str]]:
    """Return the number of jobs of each outcome, by class and part."""
    return {
        (kind.name, part.name): Counter(
            classify(run, generated) for generated in list_part(jobs, kind.name, part)
        )
        for kind in run.load.kinds
        for part in PARTS
    }


def replay(
    load: Load, seeds: Iterable[int], dispatch: DispatchSettings
) -> tuple[dict[tuple[str, str], Counter[str]], float]:
    """Replay a load with several seeds; return outcomes and microseconds a start."""
    totals: dict[tuple[str, str], Counter[str]] = {}
    processor_time, starts = 0.0, 0
    for seed in seeds:
        jobs = generate(load, seed)
        run = ProductRun(load, jobs, seed, dispatch)
        run.run()
        processor_time += run.processor_time
        starts += run.starts
        for key, counts in count_outcomes(run, jobs).items():
            totals.setdefault(key, Counter()).update(counts)
    return totals, processor_time / max(starts, 1) * 1e6


def format_row(key: tuple[str, str], counts: Counter[str]) -> str:
    """Return a line with the number of jobs and the share of each outcome."""
    owed = counts.total()
    shares = " ".join(f"{counts[outcome] / max(owed, 1):15.3f}" for outcome in OUTCOMES)
    return f"{key[0]:8} {key[1]:14} {owed:6} {shares}"


def main() -> None:
    """Replay the loads and print one table for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="replay loads whose name contains this")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--order", default=JobOrder.LATEST_START, type=JobOrder)
    parser.add_argument("--placement", default=PlacementRule.FIRST_FIT)
    arguments = parser.parse_args()
    dispatch = DispatchSettings(arguments.order, PlacementRule(arguments.placement))
    for load in (*INSTALLATION_LOADS, *LOADS):
        if arguments.only is not None and arguments.only not in load.name:
            continue
        totals, us_per_start = replay(load, range(1, arguments.seeds + 1), dispatch)
        print(f"-- {load.name}, order {arguments.order}: {us_per_start:.0f} us a start")
        heads = " ".join(f"{outcome:>15}" for outcome in OUTCOMES)
        print(f"{'class':8} {'part':14} {'owed':>6} {heads}")
        for key, counts in totals.items():
            print(format_row(key, counts))


if __name__ == "__main__":
    main()
