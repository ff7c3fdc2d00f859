"""What callers get from the placement, by class and by size of their jobs.

``python -m benchmarks.placement_sizes`` replays the loads of the new installations
through the dispatcher of the product on a virtual clock. It prints for each class and
size the jobs in time, late and of no use, the mean and the 99th percentile of the
response time over the ideal one, and the mean time until the last task is started; and
for each load the cores in use and the processor time per start. The ideal response is
that of an idle installation. Refused jobs have no response time, so the means of two
runs are comparable only where about as many jobs are served. The column ``all`` has the
mean with each job of no use counted as if it had ended at three times its target.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from benchmarks.dispatch_loads import (
    BEGIN,
    NARROW,
    NARROW_70,
    NARROW_95,
    WIDE,
    WIDE_70,
    WIDE_95,
    GeneratedJob,
    Load,
    generate,
)
from benchmarks.product_run import ONE_WAY_DELAY, ProductRun
from benchmarks.virtual_servers import VirtualServer
from boragetide.durable import EndReason
from boragetide.effects import Effect, LogEvent, StartRun
from boragetide.messages import LeadershipGained
from boragetide.policy.scheduling import LATE_LIMIT_FACTOR, Timeliness
from boragetide.settings import DispatchSettings, PlacementRule
from boragetide.types import Seconds

# In the bursts, the jobs need about 120% of what all cores can do.
PLACEMENT_LOADS = (
    replace(WIDE_70, name="wide, 70%"),
    replace(WIDE_95, name="wide, 95%"),
    replace(WIDE, name="wide, burst of 2", rate=1.6, burst=2.0),
    replace(NARROW_70, name="narrow, 70%"),
    replace(NARROW_95, name="narrow, 95%"),
    replace(NARROW, name="narrow, burst of 2", rate=1.3, burst=2.0),
)
WARM_UP: Seconds = 2.0  # left out of the figures
SIZES = ("largest", "below", "rest")
LARGEST_SHARE, BELOW_SHARE = 0.1, 0.2
TRIPS = 4  # submission, order, list of ends and answer


@dataclass(slots=True)
class SizeOutcome:
    """Outcome of the jobs of one class and size.

    Parameters
    ----------
    in_time, late, of_no_use
        Numbers of jobs; of no use are those that were refused or not answered, and
        those that ended after three times their target.
    response
        Mean response time over the ideal one, of the jobs in time or late.
    p99
        The 99th percentile of the same.
    bounded_response
        Mean over all jobs, where one of no use counts as ended at three times its
        target.
    wait
        Mean time from the submission until the last task was started.
    """

    in_time: int = 0
    late: int = 0
    of_no_use: int = 0
    response: float = 0.0
    p99: float = 0.0
    bounded_response: float = 0.0
    wait: Seconds = 0.0

    @property
    def total(self) -> int:
        """Number of jobs."""
        return self.in_time + self.late + self.of_no_use


class PlacementRun(ProductRun):
    """Replay that measures waits and cores in use.

    Parameters
    ----------
    collects_events
        Whether to keep the log lines of the dispatcher, by name in ``events``.
    """

    def __init__(
        self,
        load: Load,
        jobs: list[GeneratedJob],
        seed: int,
        *,
        placement: PlacementRule = PlacementRule.FIRST_FIT,
        collects_events: bool = False,
    ):
        super().__init__(load, jobs, seed, DispatchSettings(placement=placement))
        servers = self.servers_by_id.values()
        # Cores of speed 1 that can do the same work.
        self.capacity_cores = sum(
            each.millicores / 1000 * each.speed for each in servers
        )
        self.last_start_by_job: dict[str, Seconds] = {}
        self.millicore_seconds = 0.0
        self.collects_events = collects_events
        self.events: dict[str, list[dict[str, Any]]] = {}
        self.max_used_share = 0.0
        self.starts_by_task: Counter[tuple[str, int]] = Counter()
        self._used_by_id = dict.fromkeys(self.servers_by_id, 0)

    def play(self) -> None:
        """Replay the load."""
        self.handle(LeadershipGained(1, (), BEGIN + 1e6, BEGIN - 10.0))
        self.announce(1)
        self.tick()
        self.clock.run(BEGIN + self.load.seconds + 10.0)

    def decide(self, message: Any) -> list[Effect]:
        """Pass a message to the dispatcher and return the effects."""
        effects = super().decide(message)
        if self.collects_events:
            for effect in effects:
                if isinstance(effect, LogEvent):
                    self.events.setdefault(effect.event, []).append(effect.fields)
        return effects

    def start(self, order: StartRun) -> None:
        """Start a run, and note its wait and the cores that it uses."""
        generated = self.generated_by_id[order.task.job_id]
        server = self.servers_by_id[order.server]
        seconds = generated.work[order.task.index] / server.speed
        needs = generated.job.steps[0].needs.millicores
        begin = max(self.clock.now, BEGIN + WARM_UP)
        end = min(self.clock.now + seconds, BEGIN + self.load.seconds)
        self.millicore_seconds += needs * max(end - begin, 0.0)
        self._used_by_id[server.id] += needs
        used_share = self._used_by_id[server.id] / server.millicores
        self.max_used_share = max(self.max_used_share, used_share)
        self.starts_by_task[generated.job.id, order.number] += 1
        self.last_start_by_job[generated.job.id] = self.clock.now
        super().start(order)

    def end_run(
        self, server: VirtualServer, key: tuple[str, int], reason: EndReason
    ) -> None:
        """End a run and release its cores."""
        if key in server.running:
            needs = self.generated_by_id[key[0]].job.steps[0].needs.millicores
            self._used_by_id[server.id] -= needs
        super().end_run(server, key, reason)

    @property
    def used_share(self) -> float:
        """Share of the cores that was in use while jobs arrived."""
        servers = self.servers_by_id.values()
        total = sum(server.millicores for server in servers)
        return self.millicore_seconds / (total * (self.load.seconds - WARM_UP))

    def compute_ideal(self, generated: GeneratedJob) -> Seconds:
        """Return the response time of a job if nothing else were running."""
        needs = generated.job.steps[0].needs.millicores / 1000
        longest = max(generated.work) / max(self.load.speeds)
        spread = sum(generated.work) * needs / self.capacity_cores
        return max(longest, spread) + TRIPS * ONE_WAY_DELAY

    def summarize(self, jobs: Iterable[GeneratedJob]) -> SizeOutcome:
        """Return the outcome of some of the jobs."""
        outcome = SizeOutcome()
        responses: list[float] = []
        bounds: list[float] = []
        waits: list[float] = []
        for generated in jobs:
            submitted_at = generated.job.submitted_at
            ended_at = self.ended_by_id.get(generated.job.id)
            ideal = self.compute_ideal(generated)
            timeliness = generated.find_timeliness(ended_at)
            if timeliness is Timeliness.TOO_LATE:
                bound = LATE_LIMIT_FACTOR * (generated.due_at - submitted_at)
                outcome.of_no_use += 1
                bounds.append(bound / ideal)
                continue
            if timeliness is Timeliness.IN_TIME:
                outcome.in_time += 1
            else:
                outcome.late += 1
            responses.append((ended_at - submitted_at) / ideal)
            waits.append(self.last_start_by_job[generated.job.id] - submitted_at)
        if responses:
            responses.sort()
            outcome.response = sum(responses) / len(responses)
            outcome.p99 = responses[int(len(responses) * 0.99)]
            outcome.wait = sum(waits) / len(waits)
        if outcome.total:
            outcome.bounded_response = sum(responses + bounds) / outcome.total
        return outcome


def find_work_size(generated: GeneratedJob) -> float:
    """Return the work of a job, in millicore-seconds at speed 1."""
    return sum(generated.work) * generated.job.steps[0].needs.millicores


def find_needs(generated: GeneratedJob) -> float:
    """Return the need of each task of a job, in millicores."""
    return generated.job.steps[0].needs.millicores


SIZE_KEYS = {"work": find_work_size, "needs": find_needs}


def divide_by_size(jobs: list[GeneratedJob], key: Any) -> dict[str, list[GeneratedJob]]:
    """Return the largest tenth, the fifth below it and the rest of some jobs."""
    ordered = sorted(jobs, key=key, reverse=True)
    largest = round(len(ordered) * LARGEST_SHARE)
    below = largest + round(len(ordered) * BELOW_SHARE)
    parts = ordered[:largest], ordered[largest:below], ordered[below:]
    return dict(zip(SIZES, parts, strict=True))


def list_rows(
    run: PlacementRun, jobs: list[GeneratedJob]
) -> list[tuple[str, str, str, SizeOutcome]]:
    """Return the outcomes by class, key of the size and size."""
    counted = [
        generated for generated in jobs if generated.job.submitted_at >= BEGIN + WARM_UP
    ]
    rows = [("all", "", "all", run.summarize(counted))]
    for kind in run.load.kinds:
        of_kind = [generated for generated in counted if generated.kind is kind]
        rows.append((kind.name, "", "all", run.summarize(of_kind)))
        for title, key in SIZE_KEYS.items():
            for size, part in divide_by_size(of_kind, key).items():
                rows.append((kind.name, title, size, run.summarize(part)))
    return rows


def format_row(kind: str, title: str, size: str, outcome: SizeOutcome) -> str:
    """Return a line of the table."""
    shares = " ".join(
        f"{count / max(outcome.total, 1):6.3f}"
        for count in (outcome.in_time, outcome.late, outcome.of_no_use)
    )
    return (
        f"{kind:6} {title:5} {size:8} {outcome.total:6} {shares} "
        f"{outcome.response:8.2f} {outcome.p99:7.2f} {outcome.bounded_response:7.2f} "
        f"{outcome.wait * 1000:8.1f}"
    )


def main() -> None:
    """Replay the loads and print the outcomes by class and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="replay loads whose name contains this")
    parser.add_argument("--seed", type=int, default=1)
    rules = [rule.value for rule in PlacementRule]
    parser.add_argument("--placement", choices=rules, default=rules[0])
    parser.add_argument("--brief", action="store_true", help="without the sizes")
    arguments = parser.parse_args()
    for load in PLACEMENT_LOADS:
        if arguments.only is not None and arguments.only not in load.name:
            continue
        jobs = generate(load, arguments.seed)
        placement = PlacementRule(arguments.placement)
        run = PlacementRun(load, jobs, arguments.seed, placement=placement)
        run.play()
        us_per_start = run.processor_time / max(run.starts, 1) * 1e6
        print(
            f"-- {load.name}: {len(jobs)} jobs, {run.starts} starts, "
            f"cores in use {run.used_share:.3f}, {us_per_start:.0f} us a start"
        )
        print(
            "class  by    size       jobs in time   late  no use "
            "response     p99     all  wait ms"
        )
        for row in list_rows(run, jobs):
            if not (arguments.brief and row[1]):
                print(format_row(*row))


if __name__ == "__main__":
    main()
