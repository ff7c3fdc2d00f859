"""Virtual clock and backend servers that run tasks on it."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.dispatch_loads import BEGIN, Load
from boragetide.durable import ListedEnd, ListedRun
from boragetide.effects import ReadRuns
from boragetide.types import Seconds


@dataclass
class VirtualServer:
    """A backend server on the virtual clock.

    Parameters
    ----------
    millicores
        Thousandths of a core.
    free_millicores
        Free thousandths of a core; used by the baselines only.
    unacknowledged_ends
        Ends that the dispatcher has not acknowledged.
    end_count
        Number of ends so far, which is the number of the last listed end.
    pending_read
        Request for the list of runs that waits for an end.
    """

    id: str
    speed: float
    millicores: int
    free_millicores: int
    running: dict[tuple[str, int], ListedRun] = field(default_factory=dict)
    unacknowledged_ends: list[ListedEnd] = field(default_factory=list)
    end_count: int = 0
    pending_read: ReadRuns | None = None


class Clock:
    """Virtual clock: runs scheduled actions in order of time."""

    def __init__(self) -> None:
        self.now = BEGIN
        self.events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def schedule(self, when: Seconds, action: Callable[[], None]) -> None:
        """Schedule an action for a point in time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self, until: Seconds) -> None:
        """Run the scheduled actions that are due by a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()


def make_servers(load: Load) -> list[VirtualServer]:
    """Return the backend servers of a load."""
    servers: list[VirtualServer] = []
    for number in range(load.servers):
        speed = load.speeds[number % len(load.speeds)]
        millicores = load.server_millicores[number % len(load.server_millicores)]
        servers.append(VirtualServer(f"s{number}", speed, millicores, millicores))
    return servers


def schedule_slowdown(
    clock: Clock, servers: list[VirtualServer], load: Load, seed: int
) -> None:
    """Schedule a slowdown of some backend servers for the middle third of the load."""
    count = round(load.slow_share * len(servers))
    for server in random.Random(seed).sample(servers, count):
        usual = server.speed

        def set_speed(server: VirtualServer, speed: float) -> None:
            server.speed = speed

        clock.schedule(
            BEGIN + load.seconds / 3,
            lambda m=server, s=usual / load.slowdown: set_speed(m, s),
        )
        clock.schedule(
            BEGIN + load.seconds * 2 / 3, lambda m=server, s=usual: set_speed(m, s)
        )
