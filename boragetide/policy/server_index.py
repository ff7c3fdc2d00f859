"""Index of the backend servers, in the order in which they are tried for a task.

A decision examines a few backend servers with free resources instead of all of them.
Otherwise 176 servers and 1,500 starts a second would take more than one core.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedDict, SortedList

from boragetide.policy.scheduling import rank_speed
from boragetide.types import BackendServerId, PoolName


@dataclass(frozen=True, slots=True)
class _Position:
    """Position of a backend server in the index."""

    pool: PoolName
    speed_rank: int
    millicores: int


@dataclass(slots=True)
class ServerIndex:
    """Backend servers of each pool, by speed and then by their free cores.

    Parameters
    ----------
    servers_by_speed_by_pool
        For each pool and speed class, the free thousandths of a core and the id of each
        backend server with any free cores. Classes are sorted from the fastest to the
        slowest; the keys are their negative ranks.
    position_by_id
        Position of each of these backend servers.
    """

    servers_by_speed_by_pool: dict[PoolName, SortedDict] = field(default_factory=dict)
    position_by_id: dict[BackendServerId, _Position] = field(default_factory=dict)

    def put(
        self, server: BackendServerId, pool: PoolName, speed: float, millicores: int
    ) -> None:
        """Insert a backend server, or update its position; remove it if it is full."""
        position = _Position(pool, rank_speed(speed), millicores)
        if self.position_by_id.get(server) == position:
            return
        self.remove(server)
        if millicores <= 0:
            return
        self.position_by_id[server] = position
        servers = self._get_servers(pool, position.speed_rank)
        servers.add((millicores, server))

    def _get_servers(self, pool: PoolName, speed_rank: int) -> SortedList:
        """Return the backend servers of a speed class, which is added if it is new."""
        servers_by_speed = self.servers_by_speed_by_pool.get(pool)
        if servers_by_speed is None:
            servers_by_speed = self.servers_by_speed_by_pool[pool] = SortedDict()
        servers = servers_by_speed.get(-speed_rank)
        if servers is None:
            servers = servers_by_speed[-speed_rank] = SortedList()
        return servers

    def remove(self, server: BackendServerId) -> None:
        """Remove a backend server if it is in the index."""
        position = self.position_by_id.pop(server, None)
        if position is None:
            return
        servers_by_speed = self.servers_by_speed_by_pool[position.pool]
        servers = servers_by_speed[-position.speed_rank]
        servers.remove((position.millicores, server))
        if not servers:
            del servers_by_speed[-position.speed_rank]

    def find_max_free_millicores(self, pool: PoolName) -> int:
        """Return the largest number of free millicores on any server of a pool."""
        servers_by_speed = self.servers_by_speed_by_pool.get(pool, {})
        return max((servers[-1][0] for servers in servers_by_speed.values()), default=0)

    def iterate(self, pool: PoolName, millicores: int) -> Iterator[BackendServerId]:
        """Yield the backend servers of a pool with at least ``millicores`` free.

        The fastest come first, and the fullest first among equally fast ones.
        """
        for servers in self.servers_by_speed_by_pool.get(pool, {}).values():
            if servers[-1][0] < millicores:
                continue
            for _, server in servers.irange((millicores, "")):
                yield server
