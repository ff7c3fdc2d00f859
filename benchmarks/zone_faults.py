"""Faults of an availability zone and of its deputy, for `benchmarks.zone_leases`."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.dispatch_loads import BEGIN
from benchmarks.zone_lease_rules import SERVERS
from boragetide.types import Seconds

LEADER, MEMBER, DEPUTY, OUTSIDE = "leader", "member", "deputy", "outside"
ZONE_NODES = frozenset({DEPUTY, *SERVERS})
FAULT_AT: Seconds = BEGIN + 5.0
CLOCK_STEP: Seconds = 1e-6  # above the rounding of the virtual clock


@dataclass(frozen=True, slots=True)
class Cut:
    """Loss of messages; times count from `FAULT_AT`.

    Parameters
    ----------
    loses
        Returns whether messages from one node to another are lost.
    """

    begin: Seconds
    end: Seconds
    loses: Callable[[str, str], bool]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault.

    Parameters
    ----------
    cuts
        What is lost, and when.
    pauses
        Begins and ends of the pauses in which the deputy does not run.
    """

    cuts: tuple[Cut, ...] = ()
    pauses: tuple[tuple[Seconds, Seconds], ...] = ()

    @property
    def ends_at(self) -> Seconds:
        """Time from which no message is lost."""
        return FAULT_AT + max((cut.end for cut in self.cuts), default=0.0)

    def loses(self, sender: str, to: str, now: Seconds) -> bool:
        """Return whether a message that is sent now is lost."""
        at = now - FAULT_AT
        return any(c.begin <= at < c.end and c.loses(sender, to) for c in self.cuts)

    def find_pause_end(self, now: Seconds) -> Seconds | None:
        """Return when the deputy runs again, or ``None`` if it runs."""
        at = now - FAULT_AT
        ends = [end for begin, end in self.pauses if begin <= at < end]
        return FAULT_AT + max(ends) + CLOCK_STEP if ends else None


def crosses(sender: str, to: str) -> bool:
    """Return whether a message enters or leaves the zone."""
    return (sender in ZONE_NODES) != (to in ZONE_NODES)


def splits_zone(sender: str, to: str) -> bool:
    """Return whether one half of the zone, with the deputy, is on another side."""
    side = {DEPUTY, *SERVERS[: len(SERVERS) // 2]}
    return (sender in side) != (to in side)


def _enters(sender: str, to: str) -> bool:
    return crosses(sender, to) and to in ZONE_NODES


def _leaves(sender: str, to: str) -> bool:
    return crosses(sender, to) and sender in ZONE_NODES


def _isolates_deputy(sender: str, to: str) -> bool:
    return DEPUTY in (sender, to)


def _separates_deputy(sender: str, to: str) -> bool:
    """Cut the deputy off from the other members, and not from its servers."""
    return crosses(sender, to) and DEPUTY in (sender, to)


DURATION: Seconds = 5.5
WHOLE_CUT = Cut(0.0, DURATION, crosses)
FAULTS = {
    "none": Fault(),
    "cut": Fault((WHOLE_CUT,)),
    "cut of 0.6 s": Fault((Cut(0.0, 0.6, crosses),)),
    "three cuts of 1.5 s": Fault(
        tuple(Cut(begin, begin + 1.5, crosses) for begin in (0.0, 2.0, 4.0))
    ),
    "into the zone": Fault((Cut(0.0, DURATION, _enters),)),
    "out of the zone": Fault((Cut(0.0, DURATION, _leaves),)),
    "deputy alone": Fault((Cut(0.0, DURATION, _isolates_deputy),)),
    "deputy from members": Fault((Cut(0.0, DURATION, _separates_deputy),)),
    "zone in two": Fault((Cut(0.0, DURATION, splits_zone),)),
    "deputy frozen": Fault(pauses=((0.0, 3.0),)),
    "deputy slow": Fault(pauses=tuple((t, t + 0.2) for t in range(5))),
    "frozen at the end": Fault((WHOLE_CUT,), ((4.0, 8.0),)),
    "frozen at the begin": Fault((WHOLE_CUT,), ((-0.2, 2.0),)),
}


def make_random_fault(seed: int) -> Fault:
    """Return up to four cuts between random nodes, and up to two pauses."""
    rng = random.Random(f"{seed} fault")
    cuts = []
    for _ in range(rng.randint(1, 4)):
        begin = rng.uniform(0.0, 6.0)
        length = rng.choice((rng.uniform(0.1, 1.0), rng.uniform(1.0, 6.0)))
        cuts.append(Cut(begin, begin + length, _draw_loss(rng)))
    begins = [rng.uniform(-1.0, 8.0) for _ in range(rng.randint(0, 2))]
    pauses = tuple((begin, begin + rng.uniform(0.1, 4.0)) for begin in begins)
    return Fault(tuple(cuts), pauses)


def _draw_loss(rng: random.Random) -> Callable[[str, str], bool]:
    """Return a loss between two sides, in both directions or in one."""
    nodes = (LEADER, MEMBER, DEPUTY, *SERVERS)
    is_zone_cut = rng.random() < 0.4
    drawn = {node for node in nodes if rng.random() < 0.5}
    side = ZONE_NODES if is_zone_cut else frozenset(drawn)
    direction = rng.choice(("both", "in", "out"))

    def loses(sender: str, to: str) -> bool:
        if (sender in side) == (to in side):
            return False
        return direction == "both" or (to in side) == (direction == "in")

    return loses
