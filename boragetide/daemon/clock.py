"""Clock of the process: Unix time that is not affected by clock adjustments."""

from __future__ import annotations

import time

from boragetide.types import Seconds

_START_UNIX = time.time()
# Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time in which the machine was
# suspended.
_START_BOOTTIME = time.clock_gettime(time.CLOCK_BOOTTIME)


def read_clock() -> Seconds:
    """Return Unix time in seconds: that at process start plus the time since then."""
    return _START_UNIX + (time.clock_gettime(time.CLOCK_BOOTTIME) - _START_BOOTTIME)


def read_incarnation() -> int:
    """Return the Unix time of this process's start, in milliseconds."""
    return int(_START_UNIX * 1000)
