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
    """

    rooms_by_kind: dict[ServerKind, KindRooms] = field(default_factory=dict)
    rooms_by_id: dict[BackendServerId, KindRooms] = field(default_factory=dict)

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
            rooms = self.rooms_by_kind.setdefault(kind, KindRooms(kind))
            self.rooms_by_id[server] = rooms
        rooms.millicores_by_id[server] = millicores

    def remove(self, server: BackendServerId) -> None:
        """Remove a backend server if it is in the index."""
        rooms = self.rooms_by_id.pop(server, None)
        if rooms is None:
            return
        del rooms.millicores_by_id[server]
        if not rooms.millicores_by_id:
            del self.rooms_by_kind[rooms.kind]
