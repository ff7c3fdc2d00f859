"""Chooses a free backend server for a task, or a faster one that is still busy."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from boragetide.types import BackendServerId, Seconds

# A task waits for a faster server only if it is expected to end there within this share
# of the time that it needs on a free one. The margin is needed because the expected
# ends of running tasks are uncertain.
MAX_FINISH_SHARE = 0.85

# If many tasks already wait for faster servers, a slow server still takes a task that
# ends within this many times the time in which the pool drains the queue.
DRAIN_FACTOR = 2.0

# A running task that is past its expected end is expected to run on for this share of
# the time that it has run so far.
OVERRUN_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class FreeServer:
    """A backend server with a free slot."""

    id: BackendServerId
    speed: float


@dataclass(slots=True)
class ExpectedRelease:
    """A slot that is expected to become free in ``wait`` seconds."""

    wait: Seconds
    speed: float
    reserved: bool = False


def expected_wait(expected_end: Seconds, started_at: Seconds, now: Seconds) -> Seconds:
    """Return the number of seconds in which a running task is expected to end."""
    if expected_end > now:
        return expected_end - now
    return OVERRUN_SHARE * (now - started_at)


def choose_server(free: Sequence[FreeServer]) -> FreeServer:
    """Return the fastest of the free candidates; ties go to the first."""
    return max(free, key=lambda candidate: candidate.speed)


def find_faster_release(
    size: Seconds, speed: float, releases: Sequence[ExpectedRelease]
) -> ExpectedRelease | None:
    """Return the release at which a task ends clearly earlier than on a free slot.

    The result is ``None`` if there is no such release.

    Parameters
    ----------
    size
        Expected work of the task, in seconds at the mean speed.
    speed
        Speed of the fastest free server.
    releases
        Expected releases, the earliest first. Reserved ones are kept for tasks that
        come earlier in the order.
    """
    best, best_finish = None, MAX_FINISH_SHARE * size / speed
    for release in releases:
        if release.wait >= best_finish:
            break
        if release.reserved or release.speed <= speed:
            continue
        finish = release.wait + size / release.speed
        if finish < best_finish:
            best, best_finish = release, finish
    return best


def fits_drain_time(size: Seconds, speed: float, drain_time: Seconds) -> bool:
    """Return whether a slow server ends a task soon enough while the queue is long.

    The limit is `DRAIN_FACTOR` times the time in which the pool drains its queue.

    Parameters
    ----------
    size
        Expected work of the task, in seconds at the mean speed.
    speed
        Speed of the free server.
    drain_time
        Queued work divided by the speed of the pool, in seconds.
    """
    return size / speed <= DRAIN_FACTOR * drain_time


def max_size_without_waiting(
    speed: float, releases: Sequence[ExpectedRelease]
) -> Seconds:
    """Return the largest task size for which no release ends the task clearly earlier.

    Reserved releases are ignored; see `find_faster_release`.
    """
    limit = float("inf")
    for release in releases:
        gain = MAX_FINISH_SHARE / speed - 1 / release.speed
        if not release.reserved and gain > 0:
            limit = min(limit, release.wait / gain)
    return limit
