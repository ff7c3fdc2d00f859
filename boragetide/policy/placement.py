"""Chooses a backend server for the next task."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from boragetide.types import BackendServerId


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server with free slots, as placement sees it."""

    id: BackendServerId
    free_slots: int
    speed: float


def choose_server(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the fastest candidate with a free slot; ties go to the emptiest."""
    free = [candidate for candidate in candidates if candidate.free_slots > 0]
    if not free:
        return None
    return max(free, key=lambda c: (c.speed, c.free_slots, c.id))
