"""Replays the load of a site through the dispatcher alone, on a virtual clock.

The dispatcher is the unmodified controller of the product; the baselines and the ideal
policies run in the same harness. ``python -m benchmarks.dispatch`` prints, for each
policy and class, how many jobs were served in time, late and not at all, and for the
product also the processor time per start.
"""

from __future__ import annotations

import argparse
from collections import Counter

from benchmarks.dispatch_baselines import BASELINES, BaselineRun
from benchmarks.dispatch_loads import LOADS, ClassOutcome, generate
from benchmarks.product_run import ProductRun
from boragetide.settings import DispatchSettings, PlacementRule


def summarize(name: str, outcomes: dict[str, ClassOutcome]) -> str:
    """Return a line with the earned share of the worth and the counts by class."""
    total: Counter[str] = Counter()
    for outcome in outcomes.values():
        total["earned"] += outcome.earned_worth
        total["owed"] += outcome.total_worth
    counts = " ".join(
        f"{kind}={each.in_time}/{each.late}/{each.unserved}"
        for kind, each in outcomes.items()
    )
    return f"{name:18} earned={total['earned'] / total['owed']:.3f} {counts}"


def main() -> None:
    """Replay the loads and print the outcomes (in time/late/unserved by class)."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="replay loads whose name contains this")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--product-only", action="store_true")
    rules = [rule.value for rule in PlacementRule]
    parser.add_argument("--placement", choices=rules, default=rules[0])
    arguments = parser.parse_args()
    for load in LOADS:
        if arguments.only is not None and arguments.only not in load.name:
            continue
        jobs = generate(load, arguments.seed)
        tasks = sum(len(generated.work) for generated in jobs)
        print(f"-- {load.name}: {len(jobs)} jobs, {tasks} tasks")
        dispatch = DispatchSettings(placement=PlacementRule(arguments.placement))
        product = ProductRun(load, jobs, arguments.seed, dispatch)
        print(summarize("product", product.run()))
        us_per_start = product.processor_time / max(product.starts, 1) * 1e6
        print(
            f"   {us_per_start:.0f} microseconds a start, {product.wasted:.1f} s wasted"
        )
        for name, sort_key in BASELINES.items() if not arguments.product_only else ():
            baseline = BaselineRun(load, jobs, arguments.seed, sort_key)
            print(summarize(name, baseline.run()))


if __name__ == "__main__":
    main()
