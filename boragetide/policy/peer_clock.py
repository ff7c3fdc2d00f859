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
# Peers may show their clocks in whole milliseconds.
READING_PRECISION: Seconds = 0.002


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
        Time of the last reading, on the clock of this instance.
    max_drift
        Largest difference between the rates of the two clocks, in seconds per second.
    """

    offset: Seconds | None = None
    updated_at: Seconds = 0.0
    max_drift: float = MAX_CLOCK_DRIFT

    def record_reading(
        self, reading: Seconds, now: Seconds, asked_at: Seconds | None = None
    ) -> None:
        """Record a time that the peer read from its clock before ``now``.

        Parameters
        ----------
        asked_at
            Time before the reading, if known. A reading that is below the bound for
            this time shows that the peer has another clock, for example because it was
            restarted; the bound then begins anew.
        """
        known = self.find_offset(now)
        offset = reading - now
        if known is None or self.shows_restart(reading, now, asked_at):
            self.offset = offset
        else:
            self.offset = max(known, offset)
        self.updated_at = now

    def shows_restart(
        self, reading: Seconds, now: Seconds, asked_at: Seconds | None
    ) -> bool:
        """Return whether a reading shows another clock than the known bound."""
        known = self.find_offset(now)
        if known is None or asked_at is None:
            return False
        return reading < asked_at + known - READING_PRECISION

    def find_offset(self, now: Seconds) -> Seconds | None:
        """Return the bound at ``now``, or ``None`` if there is none."""
        if self.offset is None:
            return None
        return self.offset - self.max_drift * max(0.0, now - self.updated_at)

    def find_age(self, now: Seconds) -> Seconds | None:
        """Return the time since the last reading, or ``None`` if there is none."""
        return None if self.offset is None else now - self.updated_at
