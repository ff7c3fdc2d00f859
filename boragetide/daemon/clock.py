"""The clock of a process: Unix time that never steps."""

from __future__ import annotations

import time

from boragetide.types import Seconds

_START_UNIX = time.time()
# Unlike the monotonic clock, it counts the time in which the machine was suspended.
_START_BOOTTIME = time.clock_gettime(time.CLOCK_BOOTTIME)


def read_clock() -> Seconds:
    """Return Unix time in seconds, advanced by the boot-time clock since start."""
    return _START_UNIX + (time.clock_gettime(time.CLOCK_BOOTTIME) - _START_BOOTTIME)


def read_incarnation() -> int:
    """Return the start time of this process in milliseconds."""
    return int(_START_UNIX * 1000)
