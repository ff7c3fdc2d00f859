"""Shows from the logs of an overload run how long jobs spend in each stage.

``python -m benchmarks.overload_stages FOLDER`` reads the folder that was given to
``python -m benchmarks.overload --logs`` and prints the mean times of each second.
"""

from __future__ import annotations

import argparse
import re
import statistics
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from pathlib import Path

from benchmarks.overload_callers import KINDS, MS_PER_SECOND
from boragetide.types import JobId, Seconds

_FIELD = re.compile(r"(\w+)=(\S+)")
_WORK_BY_COUNT = {str(kind.count): kind.work for kind in KINDS}


class Stage(StrEnum):
    """Part of the time from the arrival of a job at an edge to the edge's answer.

    The work itself is not included.
    """

    ACCEPT = "edge_to_accepted"
    ORDER = "accepted_to_order"
    START = "order_to_start"
    END = "end_to_leader"
    ANSWER = "leader_to_answer"
    WHOLE = "whole_less_work"


@dataclass(slots=True)
class JobTimes:
    """Unix times of the events of one job.

    Parameters
    ----------
    ordered_by_task
        Time, worker and number of the first run of each task.
    ended_by_task
        Time at which the leader learned that the first run was done.
    """

    accepted_at: Seconds
    age: Seconds
    work: Seconds
    ordered_by_task: dict[str, tuple[Seconds, str, str]] = field(default_factory=dict)
    ended_by_task: dict[str, Seconds] = field(default_factory=dict)
    ended_at: Seconds | None = None


@dataclass(slots=True)
class RunLogs:
    """Events of a run.

    Parameters
    ----------
    starts_by_run
        Unix time of the first start of each job's task at each worker.
    answers_by_job
        Unix time and response time of each answer of an edge for an accepted job.
    """

    jobs_by_id: dict[JobId, JobTimes] = field(default_factory=dict)
    starts_by_run: dict[tuple[JobId, str, str], Seconds] = field(default_factory=dict)
    answers_by_job: dict[JobId, tuple[Seconds, Seconds]] = field(default_factory=dict)


def read_logs(folder: Path) -> RunLogs:
    """Read the logs of the programs and the starts at the workers."""
    logs = RunLogs()
    for path in sorted(folder.glob("starts-*.log")):
        for line in path.read_text().splitlines():
            at, task, worker = line.split()
            job_id, _, _, index = task.split(".")
            logs.starts_by_run.setdefault((job_id, index, worker), float(at))
    for path in sorted(folder.glob("127.*.log")):
        for line in path.read_text().splitlines():
            if " job=" in line:
                _add_event(logs, dict(_FIELD.findall(line)))
    return logs


def _add_event(logs: RunLogs, event: dict[str, str]) -> None:
    at = datetime.fromisoformat(event["time"]).timestamp()
    job_id, name = event["job"], event["event"]
    job = logs.jobs_by_id.get(job_id)
    if name == "job_accepted" and job is None:
        work = _WORK_BY_COUNT[event["tasks"]]
        logs.jobs_by_id[job_id] = JobTimes(at, float(event["age"]), work)
    elif name == "request" and event["outcome"] == "accepted":
        logs.answers_by_job[job_id] = (at, float(event["seconds"]))
    elif job is None:
        return
    elif name == "run_ordered":
        run = (at, event["server"], event["run"])
        job.ordered_by_task.setdefault(event["task"], run)
    elif name == "run_ended" and event["how"] == "done":
        first = job.ordered_by_task.get(event["task"])
        if first is not None and first[2] == event["run"]:
            job.ended_by_task[event["task"]] = at
    elif name == "job_ended" and event["phase"] == "succeeded":
        job.ended_at = at


def iterate_stages(logs: RunLogs, job_id: JobId) -> Iterator[tuple[Stage, Seconds]]:
    """Return the times of a job in each stage; per task for the stages of a run."""
    job = logs.jobs_by_id[job_id]
    yield Stage.ACCEPT, job.age
    for task, (ordered_at, worker, _) in job.ordered_by_task.items():
        yield Stage.ORDER, ordered_at - job.accepted_at
        started_at = logs.starts_by_run.get((job_id, task, worker))
        if started_at is None:
            continue
        yield Stage.START, started_at - ordered_at
        if task in job.ended_by_task:
            yield Stage.END, job.ended_by_task[task] - started_at - job.work
    if job.ended_at is not None and job_id in logs.answers_by_job:
        answered_at, response = logs.answers_by_job[job_id]
        yield Stage.ANSWER, answered_at - job.ended_at
        yield Stage.WHOLE, response - job.work


def main() -> None:
    """Print the mean times in milliseconds, by the second of acceptance."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    logs = read_logs(parser.parse_args().folder)
    ids_by_second: dict[int, list[JobId]] = defaultdict(list)
    for job_id, job in logs.jobs_by_id.items():
        ids_by_second[int(job.accepted_at)].append(job_id)
    print("second  jobs " + " ".join(f"{stage:>17}" for stage in Stage))
    first = min(ids_by_second, default=0)
    for second, job_ids in sorted(ids_by_second.items()):
        times_by_stage: dict[Stage, list[Seconds]] = defaultdict(list)
        for job_id in job_ids:
            for stage, seconds in iterate_stages(logs, job_id):
                times_by_stage[stage].append(seconds * MS_PER_SECOND)
        cells = (
            f"{statistics.fmean(times_by_stage[stage]):17.0f}"
            if times_by_stage[stage]
            else f"{'-':>17}"
            for stage in Stage
        )
        print(f"{second - first:6d} {len(job_ids):5d} " + " ".join(cells))


if __name__ == "__main__":
    main()
