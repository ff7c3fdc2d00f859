"""Reads the resources that a process has used."""

from __future__ import annotations

import os
from pathlib import Path

from boragetide.types import Seconds

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
NANOSECONDS_PER_SECOND = 1e9


def read_cpu_seconds(pid: int) -> Seconds:
    """Return the processor time that a running process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_cpu_wait(pid: int) -> Seconds:
    """Return how long the main thread has waited for a free processor, in seconds."""
    waited = Path(f"/proc/{pid}/schedstat").read_text().split()[1]
    return int(waited) / NANOSECONDS_PER_SECOND
