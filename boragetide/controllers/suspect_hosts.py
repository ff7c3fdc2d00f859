"""Hosts: backend servers that are set apart for suspects, at one moment.

A host runs suspects only. How many of them may share it follows from what is known of
each (`boragetide.policy.crash_suspicion.max_group_size`).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from boragetide.controllers.dispatch_state import DispatcherState, update_server_index
from boragetide.controllers.placing_runs import is_usable
from boragetide.controllers.run_state import RunPhase
from boragetide.controllers.server_state import Server
from boragetide.durable import DurableJob, Resources, Step
from boragetide.policy.crash_suspicion import (
    FATE_WAIT,
    max_empty_isolated_servers,
    max_isolated_servers,
)
from boragetide.policy.room_index import ServerKind
from boragetide.types import BackendServerId, JobId, PoolName, Seconds

# A suspect starts only at a backend server that has answered a question which was sent
# at most this long ago. At one that is down already, its start would be lost, and the
# next process there would count as a crash under it.
MAX_ANSWER_AGE: Seconds = 0.5


@dataclass(frozen=True, slots=True)
class Suspect:
    """A suspect that may start now.

    Parameters
    ----------
    number
        Number of the task over all steps of its job.
    group_size
        Most suspects that may share a host with it, itself included.
    """

    job: DurableJob
    number: int
    step: Step
    group_size: int


@dataclass(slots=True)
class Host:
    """A backend server that is set apart and runs nothing but suspects.

    Parameters
    ----------
    runs
        Number of suspects that run on it, or that start once it has answered.
    group_size
        Most suspects that may share it, by those that run on it.
    room
        Resources that none of them uses.
    has_answered
        Whether it has shown a short while ago that it is up.
    is_asked
        Whether it was asked for a sign of life in this call.
    """

    server: Server
    runs: int
    group_size: float
    room: Resources
    has_answered: bool
    is_asked: bool = False

    def takes(self, suspect: Suspect, group_size: int) -> bool:
        """Return whether a suspect may join the group of at most this size."""
        step = suspect.step
        return (
            self.runs < min(self.group_size, group_size)
            and step.needs.fits_in(self.room)
            and has_label(self.server, step)
        )

    def add(self, suspect: Suspect) -> None:
        """Reserve the room of a suspect."""
        self.runs += 1
        self.group_size = min(self.group_size, suspect.group_size)
        self.room = self.room.minus(suspect.step.needs)


def has_label(server: Server, step: Step) -> bool:
    """Return whether a backend server has the label that a step requires."""
    return not step.required_label or step.required_label in server.report.labels


@dataclass(slots=True)
class PoolHosts:
    """Hosts of one pool, and how many more may be set apart.

    Parameters
    ----------
    size
        Number of backend servers of the pool that have not departed.
    lost
        Number of hosts that were lost and whose fate is awaited.
    isolated
        Number of backend servers that are set apart.
    emptied
        Backend servers that are set apart and still have other runs.
    candidates
        Other usable backend servers, those first that are empty or soon will be.
    waiting
        Number of suspects that wait.
    kinds
        Kinds of the backend servers in service.
    awaited_kinds
        Those on which a suspect could run that has not found a host.
    is_claimed
        Whether a host is kept free for the first suspect that has found none.
    """

    size: int = 0
    lost: int = 0
    isolated: int = 0
    hosts: list[Host] = field(default_factory=list)
    emptied: list[Server] = field(default_factory=list)
    candidates: list[Server] = field(default_factory=list)
    waiting: int = 0
    kinds: set[ServerKind] = field(default_factory=set)
    awaited_kinds: set[ServerKind] = field(default_factory=set)
    is_claimed: bool = False
    runs_by_job: Counter[JobId] = field(default_factory=Counter)

    def find_share(self) -> int:
        """Return the number of hosts among which the waiting suspects are divided."""
        empty = sum(server.active_runs == 0 for server in self.candidates)
        most = self._max_empty_hosts()
        share = max(min(most, self.isolated + empty), max_isolated_servers(self.size))
        return max(1, share - self.lost)

    def _max_empty_hosts(self) -> int:
        is_alarmed = self.lost > 0
        limit = max_isolated_servers if is_alarmed else max_empty_isolated_servers
        return limit(self.size)

    def max_runs_to_isolate(self) -> float | None:
        """Return how many runs another host may have at first; `None` if none may be.

        Lost hosts count as set apart while their fate is awaited.
        """
        used = self.isolated + self.lost
        if used < max_isolated_servers(self.size):
            return math.inf
        return 0 if used < self._max_empty_hosts() else None

    def find_host(self, suspect: Suspect, group_size: int) -> Host | None:
        """Return the host that a suspect joins, if any; those that answered first.

        Hosts near the data of the suspect come before others, and then those with the
        fewest suspects.
        """
        fitting = [host for host in self.hosts if host.takes(suspect, group_size)]
        rack = suspect.step.data_rack
        return min(
            fitting,
            key=lambda host: (
                not host.has_answered,
                bool(rack) and rack not in host.server.report.labels,
                host.runs,
                -host.server.speed,
            ),
            default=None,
        )

    def take_candidate(self, step: Step) -> Server | None:
        """Return a backend server to set apart for a step, if one may be."""
        max_runs = self.max_runs_to_isolate()
        if max_runs is None:
            return None
        fitting = [
            server
            for server in self.candidates
            if server.active_runs <= max_runs and server.kind.could_run(step)
        ]
        rack = step.data_rack
        near = (server for server in fitting if rack in server.report.labels)
        chosen = next(near, None) if rack else None
        chosen = chosen or next(iter(fitting), None)
        if chosen is not None:
            self.candidates.remove(chosen)
        return chosen

    def keep_for(self, suspect: Suspect) -> None:
        """Note that a suspect has found no host.

        Unless a server is emptied for it, the first one claims a host, which the
        suspects after it do not join, so that it becomes free: one on which it could
        run, or else any, whose place another backend server can then take.
        """
        kinds = {kind for kind in self.kinds if kind.could_run(suspect.step)}
        self.awaited_kinds |= kinds
        if self.is_claimed or not kinds:
            return
        self.is_claimed = True
        if any(server.kind in kinds for server in self.emptied):
            return
        host = min(
            self.hosts,
            key=lambda host: (host.server.kind not in kinds, host.runs),
            default=None,
        )
        if host is not None:
            host.group_size = 0


def make_hosts(
    state: DispatcherState, find_pool: Callable[[DurableJob], PoolName], now: Seconds
) -> dict[PoolName, PoolHosts]:
    """Return the hosts of each pool, by name.

    Parameters
    ----------
    find_pool
        Returns the current pool of a job.
    """
    pools: dict[PoolName, PoolHosts] = {}
    for server in state.servers_by_id.values():
        if not (server.departed or server.evacuated):
            of_pool = pools.setdefault(server.report.pool, PoolHosts())
            of_pool.size += 1
            of_pool.kinds.add(server.kind)
            _add_server(of_pool, state, server, now)
    for of_pool in pools.values():
        of_pool.candidates.sort(key=lambda each: (each.active_runs, -each.speed))
    for job_id, tasks in state.suspects_by_job.items():
        of_pool = pools.get(find_pool(state.records_by_id[job_id].job))
        if of_pool is not None:
            of_pool.waiting += len(tasks)
    for process, lost in state.losses.iterate_open():
        if lost.repeated and now < lost.lost_at + FATE_WAIT:
            for of_pool in _list_pools(state, pools, process.server):
                of_pool.lost += 1
    return pools


def _add_server(
    of_pool: PoolHosts, state: DispatcherState, server: Server, now: Seconds
) -> None:
    usable = is_usable(state, server, now)
    if not server.isolated:
        if usable:
            of_pool.candidates.append(server)
        return
    of_pool.isolated += 1
    runs = [
        run for run in server.runs_by_task.values() if run.phase is not RunPhase.ENDED
    ]
    of_pool.runs_by_job.update(run.job_id for run in runs)
    if usable and all(run.group_size for run in runs):
        sizes = [run.group_size for run in runs]
        of_pool.hosts.append(make_host(server, len(runs), sizes, now))
    elif usable:
        of_pool.emptied.append(server)


def make_host(
    server: Server, runs: int, group_sizes: Iterable[int], now: Seconds
) -> Host:
    """Return a host with a number of suspects and the sizes of their groups."""
    return Host(
        server=server,
        runs=runs,
        group_size=min(group_sizes, default=math.inf),
        room=server.report.capacity.minus(server.used),
        has_answered=server.has_answered_since(now - MAX_ANSWER_AGE),
    )


def _list_pools(
    state: DispatcherState, pools: dict[PoolName, PoolHosts], server: BackendServerId
) -> Iterable[PoolHosts]:
    """Return the pool of a lost server, or all if it is not known any more."""
    known = state.servers_by_id.get(server)
    if known is None:
        return pools.values()
    of_pool = pools.get(known.report.pool)
    return () if of_pool is None else (of_pool,)


def isolate(state: DispatcherState, server: Server) -> None:
    """Set a backend server apart: nothing but suspects starts there."""
    server.isolated = True
    state.isolated_servers.add(server.report.id)
    update_server_index(state, server)


def release(state: DispatcherState, server: Server) -> None:
    """Return a backend server that was set apart to the others."""
    server.isolated = False
    state.isolated_servers.discard(server.report.id)
    update_server_index(state, server)


def runs_suspect(server: Server) -> bool:
    """Return whether a suspect occupies a backend server."""
    return any(run.group_size for run in server.runs_by_task.values())
