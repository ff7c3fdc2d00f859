"""How far a pass over the queue looks past the jobs that do not fit now.

A large job would never start if small ones behind it took all cores that become free.
A kind of backend server is therefore closed for the rest of a pass once `LOOK_AHEAD`
jobs that could run on it were examined. Jobs that could not run on it do not count, so
that they keep nothing from it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from boragetide.durable import Resources
from boragetide.policy.room_index import KindRooms, RoomIndex, ServerKind, StepSet
from boragetide.types import ClassName, PoolName

# Number of jobs that could run on a kind of backend server and are examined in a pass.
LOOK_AHEAD = 24


@dataclass(frozen=True, slots=True)
class Demand:
    """What waiting jobs have in common that are listed together.

    Parameters
    ----------
    pool
        Pool of the class when the jobs were submitted.
    labels
        Required labels of the waiting steps; empty for a step that requires none.
    """

    class_name: ClassName
    pool: PoolName
    labels: frozenset[str]


class LookAhead:
    """Kinds of backend servers that a pass over the queue may still use.

    Parameters
    ----------
    find_pool
        Returns the current pool of a class, given its name and its earlier pool.
    """

    def __init__(
        self, rooms: RoomIndex, find_pool: Callable[[ClassName, PoolName], PoolName]
    ):
        self._rooms = rooms
        self._find_pool = find_pool
        self._examined_by_kind: Counter[KindRooms] = Counter()
        self._open_by_pool: dict[PoolName, list[KindRooms]] = {}

    def list_labels(self) -> Sequence[str]:
        """Return the labels of the backend servers with room, and the empty one."""
        return sorted(self._rooms.count_by_label)

    def open_kinds(self, millicores: float) -> None:
        """Open the kinds with a backend server that has this many millicores free."""
        for rooms in self._rooms.rooms_by_kind.values():
            if max(rooms.millicores_by_id.values()) >= millicores:
                self._open_by_pool.setdefault(rooms.kind.pool, []).append(rooms)

    def has_open_kinds(self) -> bool:
        """Return whether a backend server may still be used."""
        return any(self._open_by_pool.values())

    def list_capacities(self, demand: Demand) -> list[Resources]:
        """Return the capacities of the open kinds that have a label of a demand."""
        kinds = [rooms.kind for rooms in self._find_open(demand)]
        return list(
            {kind.capacity: None for kind in kinds if _has_label(kind, demand.labels)}
        )

    def find_rooms(self, demand: Demand, steps: StepSet) -> Sequence[KindRooms]:
        """Return the open kinds that could run a task of any of the steps."""
        return _find_rooms(self._find_open(demand), steps)

    def record(self, examined: Sequence[KindRooms]) -> None:
        """Count an examined job for the kinds that could run it."""
        counts = self._examined_by_kind
        for rooms in examined:
            counts[rooms] += 1
            if counts[rooms] == LOOK_AHEAD:
                self._open_by_pool[rooms.kind.pool].remove(rooms)

    def record_all(self, examined: Iterable[tuple[Demand, StepSet]]) -> None:
        """Count jobs that were examined before any kind was closed."""
        open_by_class: dict[tuple[ClassName, PoolName], list[KindRooms]] = {}
        for demand, steps in examined:
            key = demand.class_name, demand.pool
            if key not in open_by_class:
                open_by_class[key] = list(self._find_open(demand))
            self.record(_find_rooms(open_by_class[key], steps))

    def _find_open(self, demand: Demand) -> Sequence[KindRooms]:
        pool = self._find_pool(demand.class_name, demand.pool)
        return self._open_by_pool.get(pool, ())


def _has_label(kind: ServerKind, labels: frozenset[str]) -> bool:
    return "" in labels or not labels.isdisjoint(kind.labels)


def _find_rooms(open_rooms: Sequence[KindRooms], steps: StepSet) -> Sequence[KindRooms]:
    return [each for each in open_rooms if steps.could_run_on(each.kind)]
