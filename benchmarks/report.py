"""Summaries of measured jobs and tables that compare two runs."""

from __future__ import annotations

import statistics
from typing import Any

from benchmarks.load import MeasuredJob
from benchmarks.trace import TracedServer, ideal_response
from boragetide.types import Seconds

COLUMNS = ("jobs", "complete", "not_run", "mean", "p50", "p99", "wasted", "cpu_ms")


def summarize(
    measured: list[MeasuredJob], servers: tuple[TracedServer, ...], round_trip: Seconds
) -> dict[str, Any]:
    """Return the counts by status and the response times of the complete jobs.

    ``mean``, ``p50`` and ``p99`` are ratios to the ideal response time.
    """
    ratios = sorted(
        each.seconds / ideal_response(each.job, servers, round_trip)
        for each in measured
        if each.status == "complete"
    )
    refused = [each.seconds for each in measured if each.status == "not_run"]
    statuses = [each.status for each in measured]
    summary: dict[str, Any] = {
        "jobs": len(measured),
        "statuses": {
            status: statuses.count(status) for status in sorted(set(statuses))
        },
    }
    if ratios:
        summary["mean"] = statistics.fmean(ratios)
        summary["p50"] = _percentile(ratios, 0.50)
        summary["p99"] = _percentile(ratios, 0.99)
    seconds = sorted(each.seconds for each in measured if each.status == "complete")
    if seconds:
        summary["p99_seconds"] = _percentile(seconds, 0.99)
    if refused:
        summary["refusal_p99_seconds"] = _percentile(sorted(refused), 0.99)
    return summary


def _percentile(ordered: list[float], share: float) -> float:
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def format_table(runs: dict[str, dict[str, Any]]) -> str:
    """Return a table with one line per run."""
    lines = [f"{'run':<44}" + "".join(f"{name:>10}" for name in COLUMNS)]
    for name, run in runs.items():
        lines.append(f"{name:<44}" + "".join(_format_cells(run)))
    return "\n".join(lines)


def _format_cells(run: dict[str, Any]) -> list[str]:
    statuses = run.get("statuses", {})
    values = {
        **run,
        "complete": statuses.get("complete", 0),
        "not_run": statuses.get("not_run", 0),
        "wasted": run.get("wasted", {}).get("total"),
    }
    return [f"{_format_number(values.get(name)):>10}" for name in COLUMNS]


def _format_number(value: float | None) -> str:
    if value is None:
        return "-"
    return str(value) if isinstance(value, int) else f"{value:.2f}"


def compare(old: dict[str, Any], new: dict[str, Any]) -> str:
    """Return a table of two runs, with the old line of a scenario above the new one."""
    rows = {}
    for name, run in new.items():
        if name in old:
            rows[f"{name} (old)"] = old[name]
        rows[name] = run
    return format_table(rows)
