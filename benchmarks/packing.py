"""Cores in use on one saturated backend server, by a model and by the dispatcher.

``python -m benchmarks.packing`` prints the share of the cores that tasks of different
needs keep in use if the first waiting tasks that fit are started, or the largest ones
that fit, by the number of waiting tasks that are examined. The model has no delays and
always enough waiting tasks. The last line is a replay through the dispatcher of the
product, whose queue is full of jobs of one task.
"""

from __future__ import annotations

import argparse
import heapq
import random

from benchmarks.dispatch_loads import JobKind, Load, generate
from benchmarks.placement_sizes import PlacementRun
from boragetide.settings import PlacementRule

SERVER_MILLICORES = 64_000
MEAN_MILLICORES = 32_000
TASK_COUNT = 20_000
NEEDS_DEVIATION = 0.2  # as in the replay
MAX_NEEDS_FACTOR = 1.5
CASES = ((1, False), (4, False), (24, False), (24, True))


def generate_needs(mean: int, rng: random.Random) -> int:
    """Return the need of a task in millicores, the unit of ``mean``."""
    factor = rng.lognormvariate(-0.5 * NEEDS_DEVIATION**2, NEEDS_DEVIATION)
    return int(mean * min(factor, MAX_NEEDS_FACTOR))


def model_used_share(examined: int, takes_largest: bool, seed: int) -> float:
    """Return the share of the cores in use on one server with a full queue.

    Parameters
    ----------
    examined
        Number of waiting tasks that are examined for the free cores.
    takes_largest
        Whether the largest examined task that fits is started, and not the first.
    """
    rng = random.Random(seed)
    queue = [generate_needs(MEAN_MILLICORES, rng) for _ in range(examined)]
    running: list[tuple[float, int]] = []
    now, free, used = 0.0, SERVER_MILLICORES, 0.0
    for _ in range(TASK_COUNT):
        while True:
            fitting = [needs for needs in queue if needs <= free]
            if not fitting:
                break
            needs = max(fitting) if takes_largest else fitting[0]
            queue.remove(needs)
            queue.append(generate_needs(MEAN_MILLICORES, rng))
            free -= needs
            seconds = 0.2 * rng.lognormvariate(-0.08, 0.4)
            used += needs * seconds
            heapq.heappush(running, (now + seconds, needs))
        now, needs = heapq.heappop(running)
        free += needs
    return used / (now * SERVER_MILLICORES)


def replay_used_share(placement: PlacementRule, seed: int) -> float:
    """Return the same from a replay with three times the work that can be done."""
    # The mean work of a job is 0.2 s on 32 cores, so that 10 a second fill the server.
    kind = JobKind("single", 30.0, 1, 0.2, 0.01)
    load = Load(
        "saturated",
        servers=1,
        millicores=MEAN_MILLICORES,
        rate=1.0,
        seconds=200.0,
        kinds=(kind,),
        server_millicores=(SERVER_MILLICORES,),
        speeds=(1.0,),
    )
    jobs = generate(load, seed)
    run = PlacementRun(load, jobs, seed, placement=placement)
    run.play()
    return run.used_share


def main() -> None:
    """Print the share of the cores in use for each rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for examined, takes_largest in CASES:
        rule = "the largest" if takes_largest else "the first"
        share = model_used_share(examined, takes_largest, seed)
        print(f"model: {rule} of {examined} that fits: {share:.3f}")
    for placement in PlacementRule:
        share = replay_used_share(placement, seed)
        print(f"replay: {placement.value}: {share:.3f}")


if __name__ == "__main__":
    main()
