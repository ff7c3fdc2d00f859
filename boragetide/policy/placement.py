"""Chooses a backend server for the next task, or a faster one that is still busy."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from boragetide.types import BackendServerId, Seconds

# Waiting for a faster server must promise to end the task at this share of the time
# that it needs on a free one, because expected ends of running tasks are uncertain.
HOLD_SHARE = 0.65

# A running task past its expected end is expected to go on for this share of the time
# it has run.
OVERRUN_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server with a free slot, as placement sees it."""

    id: BackendServerId
    speed: float


@dataclass(slots=True)
class Release:
    """A slot that is expected to become free; ``wait`` is in seconds from now."""

    wait: Seconds
    speed: float
    claimed: bool = False


def expected_wait(expected_end: Seconds, started_at: Seconds, now: Seconds) -> Seconds:
    """Return in how many seconds a running task is expected to end."""
    if expected_end > now:
        return expected_end - now
    return OVERRUN_SHARE * (now - started_at)


def choose_server(free: Sequence[Candidate]) -> Candidate:
    """Return the fastest of the free candidates; ties go to the first."""
    return max(free, key=lambda candidate: candidate.speed)


def find_faster_release(
    size: Seconds, speed: float, releases: Sequence[Release]
) -> Release | None:
    """Return the release that ends a task clearly earlier than a free slot does.

    Parameters
    ----------
    size
        Expected work of the task, in seconds at the mean speed.
    speed
        Speed of the fastest free server.
    releases
        Expected releases, the earliest first. Claimed ones belong to tasks that go
        first.
    """
    best, best_finish = None, HOLD_SHARE * size / speed
    for release in releases:
        if release.wait >= best_finish:
            break
        if release.claimed or release.speed <= speed:
            continue
        finish = release.wait + size / release.speed
        if finish < best_finish:
            best, best_finish = release, finish
    return best


def largest_size_to_start(speed: float, releases: Sequence[Release]) -> Seconds:
    """Return the largest size that no unclaimed release ends clearly earlier."""
    limit = float("inf")
    for release in releases:
        gain = HOLD_SHARE / speed - 1 / release.speed
        if not release.claimed and gain > 0:
            limit = min(limit, release.wait / gain)
    return limit
