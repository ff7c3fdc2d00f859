"""Measures real daemons and backend servers under load.

``python -m benchmarks`` runs the short form in under two minutes; ``--full`` runs
longer and adds the other scenarios; ``--compare FILE`` prints the run next to an
earlier one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.load import measure_round_trip, run_trace
from benchmarks.messages import count_wasted_messages, read_metrics
from benchmarks.processes import read_cpu_seconds
from benchmarks.report import compare, format_table, summarize
from benchmarks.scenarios import Scenario, list_scenarios
from benchmarks.trace import generate_for, list_servers
from boragetide.tests.conftest import DAEMON_MODULE, System

ZONE = "a"
DAEMONS = ("a1", "a2", "a3")
WARM_UP = 8.0  # seconds during which speeds and sizes are learned


def main() -> None:
    """Run the scenarios and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--seconds", type=float, help="duration of each scenario")
    parser.add_argument("--only", help="run scenarios whose name contains this")
    parser.add_argument("--policy", help="run a policy of benchmarks.baseline_daemon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=Path, help="write the measurements as JSON")
    parser.add_argument("--compare", type=Path, help="JSON output of an earlier run")
    arguments = parser.parse_args()
    runs: dict[str, Any] = {}
    for scenario in list_scenarios(full=arguments.full, duration=arguments.seconds):
        if arguments.only is None or arguments.only in scenario.name:
            runs[scenario.name] = run_scenario(
                scenario, arguments.seed, arguments.policy
            )
            print(scenario.name, json.dumps(runs[scenario.name]), flush=True)
    if arguments.compare is not None:
        print(compare(json.loads(arguments.compare.read_text()), runs))
    else:
        print(format_table(runs))
    if arguments.output is not None:
        arguments.output.write_text(json.dumps(runs, indent=2))


def run_scenario(
    scenario: Scenario, seed: int, policy: str | None = None
) -> dict[str, Any]:
    """Run one scenario on newly started processes and return its measurements.

    Parameters
    ----------
    policy
        Name of a policy of `benchmarks.baseline_daemon`; None for the policy of the
        product.
    """
    module = DAEMON_MODULE
    if policy is not None:
        module = ("benchmarks.baseline_daemon", "--policy", policy)
    with tempfile.TemporaryDirectory() as folder:
        system = System(Path(folder), module)
        try:
            system.start(dict.fromkeys(DAEMONS, ZONE))
            for server in list_servers():
                system.add_server(
                    server.id, ZONE, slots=server.slots, speed=server.speed
                )
            return asyncio.run(_measure(system, scenario, seed))
        finally:
            system.close()


async def _measure(system: System, scenario: Scenario, seed: int) -> dict[str, Any]:
    daemons = list(system.daemons_by_id.values())
    urls = [daemon.url for daemon in daemons]
    round_trip = await measure_round_trip(urls[0])
    warm_up = generate_for(WARM_UP, seed=seed + 1, load=0.5, tasks=scenario.tasks)
    await run_trace(urls, warm_up.jobs, f"{ZONE}:warm-up-")
    for server_id, options in scenario.faults_by_server.items():
        system.control(server_id, **options)
    jobs = scenario.make_jobs(seed)
    tasks = sum(len(job.tasks) for job in jobs)
    before = [read_metrics(url) for url in urls]
    cpu_before = [read_cpu_seconds(daemon.process.pid) for daemon in daemons]
    measured = await run_trace(urls, jobs, f"{ZONE}:job-")
    cpu = [
        read_cpu_seconds(daemon.process.pid) - earlier
        for daemon, earlier in zip(daemons, cpu_before, strict=True)
    ]
    after = [read_metrics(url) for url in urls]
    summary = summarize(measured, scenario.servers, round_trip)
    summary["tasks"] = tasks
    summary["wasted"] = count_wasted_messages(
        _sum_counters(before), _sum_counters(after), tasks
    )
    summary["cpu_ms"] = 1000 * sum(cpu) / tasks
    summary["cpu_ms_by_daemon"] = [1000 * seconds / tasks for seconds in cpu]
    summary["round_trip"] = round_trip
    return summary


def _sum_counters(counters: list[Any]) -> Any:
    return sum(counters[1:], counters[0])


if __name__ == "__main__":
    main()
