"""Messages and periodic actions under a fault, for `benchmarks.zone_leases`."""

from __future__ import annotations

import random
from collections.abc import Callable

from benchmarks.virtual_servers import Clock
from benchmarks.zone_faults import DEPUTY, Fault
from boragetide.types import Seconds

MIN_DELAY: Seconds = 0.0005
MAX_DELAY: Seconds = 0.0014


class FaultyNetwork:
    """Delivers messages between the nodes, unless the fault loses them."""

    def __init__(self, fault: Fault, seed: int):
        self.fault, self.clock, self.rng = fault, Clock(), random.Random(seed)

    def repeat(self, interval: Seconds, action: Callable[[], None]) -> None:
        """Run an action again and again, at first after a random time."""

        def act() -> None:
            action()
            jitter = self.rng.uniform(0.9, 1.1)
            self.clock.schedule(self.clock.now + interval * jitter, act)

        self.clock.schedule(self.clock.now + self.rng.uniform(0, interval), act)

    def send(self, sender: str, to: str, action: Callable[[], None]) -> None:
        """Deliver a message, unless the fault loses it."""
        now = self.clock.now
        if self.fault.loses(sender, to, now):
            return
        at = now + self.rng.uniform(MIN_DELAY, MAX_DELAY)
        self.clock.schedule(at, lambda: self.receive(to, action))

    def receive(self, to: str, action: Callable[[], None]) -> None:
        """Handle a message, after the pause of a frozen deputy."""
        pause_end = self.fault.find_pause_end(self.clock.now)
        if to == DEPUTY and pause_end is not None:
            self.clock.schedule(pause_end, lambda: self.receive(to, action))
            return
        action()

    def is_frozen(self) -> bool:
        """Return whether the deputy does not run now."""
        return self.fault.find_pause_end(self.clock.now) is not None
