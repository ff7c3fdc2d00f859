"""Free cores of the backend servers of each kind.

Which waiting jobs could run on a backend server depends on its kind alone. A pass over
the queue thus decides about kinds, of which there are few, in place of servers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from boragetide.durable import Resources, Step
from boragetide.types import BackendServerId, PoolName


@dataclass(frozen=True, slots=True, eq=False)
class ServerKind:
    """Backend servers that can run the same tasks while they are empty.

    Parameters
    ----------
    rooms
        Free thousandths of a core of each of them that has any.
    """

    pool: PoolName
    labels: tuple[str, ...]
    capacity: Resources
    rooms: dict[BackendServerId, int] = field(default_factory=dict)

    def is_like(
        self, pool: PoolName, labels: tuple[str, ...], capacity: Resources
    ) -> bool:
        """Return whether a backend server is of this kind."""
        return self.pool == pool and self.labels == labels and self.capacity == capacity

    def could_run(self, step: Step) -> bool:
        """Return whether an empty backend server of this kind can run a task."""
        if step.required_label and step.required_label not in self.labels:
            return False
        return step.needs.fits_in(self.capacity)


@dataclass(slots=True)
class RoomIndex:
    """Kinds of the backend servers that have any free cores.

    Parameters
    ----------
    kind_by_key
        The kinds, by their pool, labels and capacity.
    kind_by_id
        Kind of each backend server with free cores.
    """

    kind_by_key: dict[tuple[PoolName, tuple[str, ...], Resources], ServerKind] = field(
        default_factory=dict
    )
    kind_by_id: dict[BackendServerId, ServerKind] = field(default_factory=dict)

    def put(
        self,
        server: BackendServerId,
        pool: PoolName,
        labels: tuple[str, ...],
        capacity: Resources,
        millicores: int,
    ) -> None:
        """Insert a backend server, or update it; remove it if it is full.

        Parameters
        ----------
        millicores
            Free thousandths of a core.
        """
        kind = self.kind_by_id.get(server)
        if kind is None or millicores <= 0 or not kind.is_like(pool, labels, capacity):
            self.remove(server)
            if millicores <= 0:
                return
            key = pool, labels, capacity
            kind = self.kind_by_key.setdefault(key, ServerKind(*key))
            self.kind_by_id[server] = kind
        kind.rooms[server] = millicores

    def remove(self, server: BackendServerId) -> None:
        """Remove a backend server if it is in the index."""
        kind = self.kind_by_id.pop(server, None)
        if kind is None:
            return
        del kind.rooms[server]
        if not kind.rooms:
            del self.kind_by_key[kind.pool, kind.labels, kind.capacity]
