"""Processor time of a pass over a queue of durable jobs of which most cannot run.

``python -m benchmarks.waiting_jobs`` prints one line per case: what the jobs lack that
cannot run, and the mean time of a pass while no backend server has room, and of one
that finds an idle backend server.
"""

from __future__ import annotations

import argparse
import time

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.controllers.orders import REASON_LISTED, free_run
from boragetide.controllers.placing_runs import place_runs
from boragetide.durable import JobRecord, Resources, Step
from boragetide.settings import EMBEDDED_DEFAULT, parse_settings
from boragetide.tests.durable_fixtures import BEGIN, Leader, make_durable_job
from boragetide.types import Seconds

SERVER_COUNT = 35
RACK_COUNT = 4
PASSES = 200
CAPACITY = Resources(64_000, 100_000)
RUNNABLE = Step(1, Resources(60_000, 64), 0.2)
LABEL_COUNTS = {"one label": 1, "100 labels": 100, "own labels": 1_000_000}


def make_blocked_step(lack: str, number: int) -> Step:
    """Return a step that no backend server can run."""
    if lack in LABEL_COUNTS:
        label = f"lost{number % LABEL_COUNTS[lack]}"
        return Step(1, RUNNABLE.needs, 0.2, required_label=label)
    if lack == "cores":
        return Step(1, Resources(70_000 + number, 64), 0.2)
    return Step(1, Resources(1_000, 200_000 + number), 0.2)


LACKS = (*LABEL_COUNTS, "cores", "memory")


def make_state(lack: str, blocked: int, runnable: int) -> DispatcherState:
    """Return the state of a leader whose backend servers are all in use."""
    leader = Leader(parse_settings(EMBEDDED_DEFAULT))
    leader.lead()
    for number in range(SERVER_COUNT):
        labels = ("a", f"r{number % RACK_COUNT}")
        leader.join(f"s{number}", labels=labels, capacity=CAPACITY)
    put_jobs(leader.state, [RUNNABLE] * SERVER_COUNT, "first", BEGIN)
    place_runs(leader.state, BEGIN)
    steps = [make_blocked_step(lack, number) for number in range(blocked)]
    put_jobs(leader.state, steps, "blocked", BEGIN - 60.0)
    put_jobs(leader.state, [RUNNABLE] * runnable, "runnable", BEGIN - 50.0)
    place_runs(leader.state, BEGIN)
    return leader.state


def put_jobs(
    state: DispatcherState, steps: list[Step], name: str, submitted_at: Seconds
) -> None:
    """Put a job of each step into the queue."""
    for number, step in enumerate(steps):
        at = submitted_at + number / 1e6
        job = make_durable_job(f"{name}{number}", step, submitted_at=at)
        state.records_by_id[job.id] = JobRecord(job)
        state.queue.put(job, {0: step})


def measure_pass(state: DispatcherState) -> tuple[Seconds, int]:
    """Return the processor time of a pass and the number of started runs."""
    running = len(state.server_by_task)
    begin = time.process_time()
    place_runs(state, BEGIN)
    return time.process_time() - begin, len(state.server_by_task) - running


def empty_server(state: DispatcherState) -> None:
    """End the run that was started first, unless none is left."""
    key = next(iter(state.server_by_task), None)
    if key is None:
        return
    server = state.servers_by_id[state.server_by_task[key]]
    del state.records_by_id[key[0]]
    free_run(state, server, server.runs_by_task[key], REASON_LISTED)


def main() -> None:
    """Print the time of a pass for each kind of jobs that cannot run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=100_000)
    parser.add_argument("--runnable", type=int, default=1_000)
    arguments = parser.parse_args()
    for lack in LACKS:
        blocked = arguments.jobs - arguments.runnable
        state = make_state(lack, blocked, arguments.runnable)
        full = [measure_pass(state)[0] for _ in range(PASSES)]
        idle: list[Seconds] = []
        starts = 0
        for _ in range(PASSES):
            empty_server(state)
            seconds, started = measure_pass(state)
            idle.append(seconds)
            starts += started
        print(
            f"{lack:10} full {sum(full) / PASSES * 1e6:7.0f} us,"
            f" one idle {sum(idle) / PASSES * 1e6:7.0f} us,"
            f" {starts} starts in {PASSES} passes"
        )


if __name__ == "__main__":
    main()
