"""Bounds the starts without an answer, so that a leader orders its queue in parts.

A leader that ordered thousands of starts in one go would neither send the heartbeats of
its log nor handle any message meanwhile, and would lose its authority before the
backend servers carry the starts out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from boragetide.types import BackendServerId, JobId, Seconds

MAX_STARTS_IN_PROGRESS = 256
# Starts go on once so many have been answered that a pass over the queue is worth it.
RESUME_STARTS_IN_PROGRESS = 128
# A call ends earlier; one that failed unexpectedly leaves no result.
START_TIMEOUT: Seconds = 2.0

# Backend server, job, number of the task over all steps of the job, and run.
StartKey: TypeAlias = tuple[BackendServerId, JobId, int, int]


@dataclass(slots=True)
class StartWindow:
    """Starts in progress of one leader.

    Parameters
    ----------
    ordered_at_by_start
        Time at which each start was ordered.
    is_full
        Whether no other start may be ordered for now.
    """

    ordered_at_by_start: dict[StartKey, Seconds] = field(default_factory=dict)
    is_full: bool = False

    def add(self, start: StartKey, now: Seconds) -> None:
        """Record a start that is ordered."""
        self.ordered_at_by_start[start] = now
        if len(self.ordered_at_by_start) >= MAX_STARTS_IN_PROGRESS:
            self.is_full = True

    def remove(self, start: StartKey) -> bool:
        """Record the result of a start; return whether starts may go on from now."""
        self.ordered_at_by_start.pop(start, None)
        return self._reopen()

    def remove_old(self, now: Seconds) -> None:
        """Forget the starts that have no result although they should have one."""
        old = [
            start
            for start, ordered_at in self.ordered_at_by_start.items()
            if now - ordered_at > START_TIMEOUT
        ]
        for start in old:
            del self.ordered_at_by_start[start]
        self._reopen()

    def _reopen(self) -> bool:
        was_full = self.is_full
        if len(self.ordered_at_by_start) <= RESUME_STARTS_IN_PROGRESS:
            self.is_full = False
        return was_full and not self.is_full
