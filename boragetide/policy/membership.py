"""Which instances live, and which of them places the jobs of a zone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from boragetide.types import InstanceId, Seconds, ZoneId


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance as the choice of a placer sees it."""

    id: InstanceId
    zone: ZoneId
    incarnation: int
    backend_servers: int
    stopping: bool


def is_live(last_heard: Seconds | None, now: Seconds, silence: Seconds) -> bool:
    """Tell whether an instance was heard within ``silence`` seconds."""
    return last_heard is not None and now - last_heard <= silence


def choose_placer(
    zone: ZoneId, candidates: Iterable[Candidate], for_jobs: bool = True
) -> Candidate | None:
    """Return the live instance that places the jobs of a zone.

    The longest running instance keeps the role, so that a restart never moves it. A
    zone without instances that can place uses the zone with the most backend servers,
    but only for jobs: announcements go to the zone's own placer.
    """
    able = [candidate for candidate in candidates if not candidate.stopping]
    in_zone = [candidate for candidate in able if candidate.zone == zone]
    if not in_zone:
        return None
    placer = min(in_zone, key=lambda c: (c.incarnation, c.id))
    if placer.backend_servers > 0 or not for_jobs:
        return placer
    elsewhere = [c for c in able if c.zone != zone and c.backend_servers > 0]
    return max(elsewhere, key=lambda c: (c.backend_servers, c.id), default=placer)
