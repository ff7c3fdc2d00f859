"""Free cores of the backend servers of each kind.

Which waiting jobs could run on a backend server depends on its kind alone. A pass over
the queue thus decides about kinds, of which there are few, in place of servers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.durable import Resources, Step
from boragetide.types import BackendServerId, PoolName


@dataclass(frozen=True, slots=True)
class ServerKind:
    """Backend servers that can run the same tasks while they are empty."""

    pool: PoolName
    labels: tuple[str, ...]
    capacity: Resources

    def could_run(self, step: Step) -> bool:
        """Return whether an empty backend server of this kind can run a task."""
        if step.required_label and step.required_label not in self.labels:
            return False
        return step.needs.fits_in(self.capacity)


class StepSet:
    """Steps of one job, of which any could run on a kind of backend server.

    What was found for a kind is remembered, so that a pass over the queue does not
    compare each step with each kind again.
    """

    __slots__ = ("_could_run_by_kind", "steps")

    def __init__(self, steps: tuple[Step, ...]):
        self.steps = steps
        self._could_run_by_kind: dict[ServerKind, bool] = {}

    def could_run_on(self, kind: ServerKind) -> bool:
        """Return whether an empty backend server can run a task of any step."""
        if len(self.steps) == 1:
            return kind.could_run(self.steps[0])
        known = self._could_run_by_kind.get(kind)
        if known is None:
            known = any(map(kind.could_run, self.steps))
            self._could_run_by_kind[kind] = known
        return known


@dataclass(frozen=True, slots=True, eq=False)
class KindRooms:
    """Free thousandths of a core of the backend servers of a kind that have any."""

    kind: ServerKind
    millicores_by_id: dict[BackendServerId, int] = field(default_factory=dict)


@dataclass(slots=True)
class RoomIndex:
    """Kinds of the backend servers that have any free cores.

    Parameters
    ----------
    rooms_by_id
        The rooms to which each backend server with free cores belongs.
    count_by_label
        Number of the kinds with each label, and 1 for the empty label.
    """

    rooms_by_kind: dict[ServerKind, KindRooms] = field(default_factory=dict)
    rooms_by_id: dict[BackendServerId, KindRooms] = field(default_factory=dict)
    count_by_label: dict[str, int] = field(default_factory=lambda: {"": 1})

    def put(self, server: BackendServerId, kind: ServerKind, millicores: int) -> None:
        """Insert a backend server, or update it; remove it if it is full.

        Parameters
        ----------
        millicores
            Free thousandths of a core.
        """
        rooms = self.rooms_by_id.get(server)
        if rooms is None or millicores <= 0 or rooms.kind != kind:
            self.remove(server)
            if millicores <= 0:
                return
            rooms = self._get_rooms(kind)
            self.rooms_by_id[server] = rooms
        rooms.millicores_by_id[server] = millicores

    def _get_rooms(self, kind: ServerKind) -> KindRooms:
        """Return the rooms of a kind, which are added if they are new."""
        rooms = self.rooms_by_kind.get(kind)
        if rooms is None:
            rooms = self.rooms_by_kind[kind] = KindRooms(kind)
            for label in kind.labels:
                self.count_by_label[label] = self.count_by_label.get(label, 0) + 1
        return rooms

    def remove(self, server: BackendServerId) -> None:
        """Remove a backend server if it is in the index."""
        rooms = self.rooms_by_id.pop(server, None)
        if rooms is None:
            return
        del rooms.millicores_by_id[server]
        if not rooms.millicores_by_id:
            del self.rooms_by_kind[rooms.kind]
            for label in rooms.kind.labels:
                self.count_by_label[label] -= 1
                if not self.count_by_label[label]:
                    del self.count_by_label[label]
