"""Index of the backend servers, in the order in which they are tried for a task.

A decision examines a few backend servers with free resources instead of all of them.
Otherwise 176 servers and 1,500 starts a second would take more than one core.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedDict, SortedList

from boragetide.durable import Resources
from boragetide.policy.room_index import RoomIndex, ServerKind
from boragetide.policy.scheduling import rank_speed
from boragetide.types import BackendServerId, PoolName

NO_RESOURCES = Resources()


@dataclass(frozen=True, slots=True)
class _Position:
    """Position of a backend server in the index."""

    pool: PoolName
    speed_rank: int
    millicores: int


@dataclass(slots=True)
class _SpeedClass:
    """Backend servers that count as equally fast.

    Parameters
    ----------
    by_room
        Free thousandths of a core and id of each backend server.
    max_speed
        Highest speed, or ``None`` if it has to be determined again.
    """

    by_room: SortedList = field(default_factory=SortedList)
    speed_by_id: dict[BackendServerId, float] = field(default_factory=dict)
    max_speed: float | None = None

    def put_speed(self, server: BackendServerId, speed: float) -> None:
        """Set the speed of a backend server."""
        previous = self.speed_by_id.get(server)
        self.speed_by_id[server] = speed
        if self.max_speed is None or previous == speed:
            return
        if speed >= self.max_speed:
            self.max_speed = speed
        elif previous == self.max_speed:
            self.max_speed = None

    def remove_speed(self, server: BackendServerId) -> None:
        """Forget the speed of a backend server."""
        if self.speed_by_id.pop(server) == self.max_speed:
            self.max_speed = None

    def reaches(self, speed: float) -> bool:
        """Return whether any of the backend servers is at least this fast."""
        if self.max_speed is None:
            self.max_speed = max(self.speed_by_id.values())
        return self.max_speed >= speed


@dataclass(slots=True)
class ServerIndex:
    """Backend servers of each pool, by speed and then by their free cores.

    Parameters
    ----------
    classes_by_speed_by_pool
        Speed classes of each pool with their backend servers that have any free cores.
        Classes are sorted from the fastest to the slowest; the keys are their negative
        ranks.
    position_by_id
        Position of each of these backend servers.
    rooms
        The same backend servers by their kind.
    """

    classes_by_speed_by_pool: dict[PoolName, SortedDict] = field(default_factory=dict)
    position_by_id: dict[BackendServerId, _Position] = field(default_factory=dict)
    rooms: RoomIndex = field(default_factory=RoomIndex)

    def put(
        self,
        server: BackendServerId,
        pool: PoolName,
        speed: float,
        millicores: int,
        labels: tuple[str, ...] = (),
        capacity: Resources = NO_RESOURCES,
    ) -> None:
        """Insert a backend server, or update its position; remove it if it is full.

        Parameters
        ----------
        millicores
            Free thousandths of a core.
        """
        position = _Position(pool, rank_speed(speed), millicores)
        self.rooms.put(server, ServerKind(pool, labels, capacity), millicores)
        if self.position_by_id.get(server) == position:
            self._get_class(position).put_speed(server, speed)
            return
        self._remove_position(server)
        if millicores <= 0:
            return
        self.position_by_id[server] = position
        speed_class = self._get_class(position)
        speed_class.by_room.add((millicores, server))
        speed_class.put_speed(server, speed)

    def _get_class(self, position: _Position) -> _SpeedClass:
        """Return the speed class of a position, which is added if it is new."""
        classes = self.classes_by_speed_by_pool.get(position.pool)
        if classes is None:
            classes = self.classes_by_speed_by_pool[position.pool] = SortedDict()
        speed_class = classes.get(-position.speed_rank)
        if speed_class is None:
            speed_class = classes[-position.speed_rank] = _SpeedClass()
        return speed_class

    def remove(self, server: BackendServerId) -> None:
        """Remove a backend server if it is in the index."""
        self.rooms.remove(server)
        self._remove_position(server)

    def _remove_position(self, server: BackendServerId) -> None:
        position = self.position_by_id.pop(server, None)
        if position is None:
            return
        classes = self.classes_by_speed_by_pool[position.pool]
        speed_class = classes[-position.speed_rank]
        speed_class.by_room.remove((position.millicores, server))
        speed_class.remove_speed(server)
        if not speed_class.by_room:
            del classes[-position.speed_rank]

    def find_max_free_millicores(self, pool: PoolName) -> int:
        """Return the largest number of free millicores on any server of a pool."""
        classes = self.classes_by_speed_by_pool.get(pool, {})
        return max((each.by_room[-1][0] for each in classes.values()), default=0)

    def iterate(
        self, pool: PoolName, millicores: int, min_speed: float = 0.0
    ) -> Iterator[BackendServerId]:
        """Yield the backend servers of a pool with at least ``millicores`` free.

        The fastest come first, and the fullest first among equally fast ones. Speed
        classes in which no backend server reaches ``min_speed`` are left out.
        """
        for speed_class in self.classes_by_speed_by_pool.get(pool, {}).values():
            if speed_class.by_room[-1][0] < millicores:
                continue
            if min_speed > 0 and not speed_class.reaches(min_speed):
                return
            for _, server in speed_class.by_room.irange((millicores, "")):
                yield server
