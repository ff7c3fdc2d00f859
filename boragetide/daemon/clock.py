"""The clock of a process: Unix time that never steps."""

from __future__ import annotations

import time

from boragetide.types import Seconds

_START_UNIX = time.time()
_START_MONOTONIC = time.monotonic()


def read_clock() -> Seconds:
    """Return Unix time in seconds, advanced by the monotonic clock since start."""
    return _START_UNIX + (time.monotonic() - _START_MONOTONIC)


def read_incarnation() -> int:
    """Return the start time of this process in milliseconds."""
    return int(_START_UNIX * 1000)
