"""Bounds the difference between the clocks of two instances.

Clocks of instances may differ by seconds. An instance that knows a bound of the
difference can express a time on another instance's clock, without agreement on the time
of day.
"""

from __future__ import annotations

from dataclasses import dataclass

from boragetide.types import Seconds

# Largest difference between the rates of two clocks, in seconds per second: each may be
# slewed by 500 ppm.
MAX_CLOCK_DRIFT = 0.001


@dataclass(slots=True)
class PeerClock:
    """Lower bound of a peer's clock minus the clock of this instance.

    Each message that carries the peer's clock took some time to arrive, so that the
    peer's clock was at least that far when it was received. The message that was
    fastest gives the best bound, which becomes less certain as the clocks drift.

    Parameters
    ----------
    offset
        The bound at ``updated_at``, in seconds; ``None`` before the first reading.
    updated_at
        Time on the clock of this instance.
    """

    offset: Seconds | None = None
    updated_at: Seconds = 0.0

    def record_reading(self, reading: Seconds, now: Seconds) -> None:
        """Record a time that the peer read from its clock before ``now``."""
        known = self.find_offset(now)
        offset = reading - now
        self.offset = offset if known is None else max(known, offset)
        self.updated_at = now

    def find_offset(self, now: Seconds) -> Seconds | None:
        """Return the bound at ``now``, or ``None`` if there is none."""
        if self.offset is None:
            return None
        return self.offset - MAX_CLOCK_DRIFT * max(0.0, now - self.updated_at)
