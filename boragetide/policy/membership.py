"""Liveness of instances, and the choice of the instance that places a zone's jobs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from boragetide.types import InstanceId, Seconds, ZoneId


@dataclass(frozen=True, slots=True)
class PlacerCandidate:
    """An instance that may become the placer of its zone.

    Parameters
    ----------
    in_service_since
        Unix time in milliseconds since which the instance has run without a pause and
        without being cut off from most of its zone.
    """

    id: InstanceId
    zone: ZoneId
    incarnation: int
    in_service_since: int
    backend_servers: int
    stopping: bool


def is_live(last_heartbeat_at: Seconds | None, now: Seconds, silence: Seconds) -> bool:
    """Return whether an instance was heard within the last ``silence`` seconds."""
    return last_heartbeat_at is not None and now - last_heartbeat_at <= silence


def is_isolated(connected: int, zone_size: int) -> bool:
    """Return whether an instance is connected only to a minority of its zone.

    Parameters
    ----------
    connected
        Number of instances of the zone with which messages pass both ways, including
        this one.
    zone_size
        Number of configured instances of the zone.
    """
    return 2 * connected < zone_size


def find_placer(
    zone: ZoneId, candidates: Iterable[PlacerCandidate]
) -> PlacerCandidate | None:
    """Return the instance that has the placer role of a zone, or ``None``.

    The instance that has been in service longest keeps the role, so that a restarted,
    resumed or reconnected instance does not take it back.
    """
    eligible = (c for c in candidates if c.zone == zone and not c.stopping)
    return min(eligible, key=lambda c: (c.in_service_since, c.id), default=None)


def choose_placer(
    zone: ZoneId, candidates: Iterable[PlacerCandidate], for_jobs: bool = True
) -> PlacerCandidate | None:
    """Return the live instance that places the jobs of a zone, or ``None``.

    If the placer of a zone has no backend servers, jobs of the zone go to the placer
    with the most backend servers. Announcements always go to the zone's own placer.
    """
    candidates = tuple(candidates)
    placer = find_placer(zone, candidates)
    if placer is None or placer.backend_servers > 0 or not for_jobs:
        return placer
    zones = {candidate.zone for candidate in candidates}
    placers = (find_placer(other, candidates) for other in zones)
    eligible = [c for c in placers if c is not None and c.backend_servers > 0]
    return max(eligible, key=lambda c: (c.backend_servers, c.id), default=placer)
