"""Evacuated availability zones: which starts they rule out, and how zones return.

Every start of a task asks `find_obstacle`. An instance may not know yet that a zone was
evacuated, so that its view counts only for a while after the time as of which a leader
of the log confirmed it.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from boragetide.types import BackendServerId, Configuration, Seconds, ZoneId

# A view that was confirmed this long ago or less may be used. An order that is decided
# at the end of this time expires with its lease, at most 0.92 s later, which is within
# the 5 s after which nothing starts in an evacuated zone. Without a leader of group 0,
# the other groups go on for this time less the interval of the confirmations.
MAX_VIEW_AGE: Seconds = 3.5
# The servers of a zone are taken back one after the other within this time.
RETURN_SPREAD: Seconds = 2.0
# Runs at a time on a server that was just taken back; one more with each run done.
FIRST_TRIAL_RUNS = 2
TRIAL_RUNS = 8  # runs done after which a server is trusted again
# A server that got no work for this long after its return counts as any other one.
MAX_TRIAL_TIME: Seconds = 30.0


class Obstacle(StrEnum):
    """Why nothing may start in a zone."""

    EVACUATED = "evacuated"
    OLD_VIEW = "old_view"


@dataclass(slots=True)
class ZoneView:
    """What an instance knows of the evacuated zones.

    Parameters
    ----------
    enabled
        Whether the settings turn evacuation on. Without it, the age of the view counts
        once it shows that a zone was ever evacuated.
    evacuated, used
        See `Configuration.evacuated_zones` and `Configuration.evacuation_used`.
    version
        Version of the configuration that the view is from, or -1.
    confirmed_at
        Time, on the clock of this instance, as of which nothing newer was committed.
    """

    enabled: bool = False
    evacuated: frozenset[ZoneId] = frozenset()
    used: bool = False
    version: int = -1
    confirmed_at: Seconds = 0.0

    def apply(self, configuration: Configuration) -> None:
        """Take over the zones of the configuration in force."""
        self.evacuated = configuration.evacuated_zones
        self.used = configuration.evacuation_used
        self.version = configuration.version

    def confirm(self, version: int, confirmed_at: Seconds) -> None:
        """Record that nothing newer than a version was committed as of a time."""
        if version <= self.version:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    @property
    def is_checked(self) -> bool:
        """Whether the age of the view counts."""
        return self.enabled or self.used

    def is_recent(self, now: Seconds) -> bool:
        """Return whether any evacuation that is in effect now is known."""
        return not self.is_checked or now - self.confirmed_at <= MAX_VIEW_AGE


def find_obstacle(zone: ZoneId, view: ZoneView, now: Seconds) -> Obstacle | None:
    """Return why no task may start on a backend server of a zone, if anything does.

    With an old view, any zone may have been evacuated meanwhile.
    """
    if zone in view.evacuated:
        return Obstacle.EVACUATED
    return None if view.is_recent(now) else Obstacle.OLD_VIEW


@dataclass(slots=True)
class Trial:
    """Return of a backend server to service after its zone was evacuated.

    Parameters
    ----------
    begins_at
        Time from which the server gets runs.
    max_runs
        Number of runs that it may have at a time.
    runs_done
        Number of runs done since the last failed one.
    """

    begins_at: Seconds
    max_runs: int = FIRST_TRIAL_RUNS
    runs_done: int = 0

    def is_over(self, now: Seconds) -> bool:
        """Return whether the server counts as any other one again."""
        is_old = now - self.begins_at > MAX_TRIAL_TIME
        return is_old or self.runs_done >= TRIAL_RUNS


def has_returned_recently(returned_at: Seconds | None, now: Seconds) -> bool:
    """Return whether a zone returned so lately that its servers are still on trial.

    Parameters
    ----------
    returned_at
        Time at which its last return was learned, or ``None`` if none is known.
    """
    return returned_at is not None and now - returned_at <= MAX_TRIAL_TIME


def begin_trial(server: BackendServerId, now: Seconds) -> Trial:
    """Return the trial of a server whose zone has returned just now."""
    digest = hashlib.blake2b(server.encode(), digest_size=2).digest()
    share = int.from_bytes(digest) / 2**16
    return Trial(now + share * RETURN_SPREAD)


def may_take_run(trial: Trial | None, runs: int, now: Seconds) -> bool:
    """Return whether a server with some runs in progress may get another one."""
    if trial is None or trial.is_over(now):
        return True
    return now >= trial.begins_at and runs < trial.max_runs


def record_trial_run(trial: Trial, *, failed: bool) -> None:
    """Raise the limit of a server after a run that was done, or lower it again."""
    if failed:
        trial.runs_done = 0
        trial.max_runs = 1
        return
    trial.runs_done += 1
    trial.max_runs += 1
