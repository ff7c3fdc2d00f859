"""Isolation: suspects run alone on backend servers that are set apart for them."""

from __future__ import annotations

import math
from collections.abc import Iterator

from boragetide.controllers.best_effort import leave_unserved
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    has_authority,
    update_server_index,
)
from boragetide.controllers.placing_runs import find_pool, is_usable, start_task
from boragetide.controllers.runs import read_runs
from boragetide.controllers.server_state import Server
from boragetide.durable import DurableJob, RunLoss, Step
from boragetide.effects import Count, Effect, LogEvent
from boragetide.policy.crash_suspicion import (
    awaits_fate,
    max_empty_isolated_servers,
    max_isolated_servers,
    may_start_at,
)
from boragetide.policy.room_index import ServerKind
from boragetide.policy.scheduling import ServerCandidate, choose_server, expires_at
from boragetide.types import BackendServerId, JobId, PoolName, Seconds

# A suspect starts only at a backend server that has answered a question which was sent
# at most this long ago. At one that is down already, its start would be lost, and the
# next process there would count as a crash under it.
MAX_ANSWER_AGE: Seconds = 0.5


def place_suspects(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Start the waiting suspects, each alone on a backend server."""
    if not (state.suspects_by_job or state.isolated_servers):
        return []
    if not has_authority(state, now) or not state.takeover_complete:
        return []
    effects = _leave_useless_jobs(state, now)
    _release_lost_servers(state, now)
    turn = _Turn(state)
    for job_id, tasks in list(state.suspects_by_job.items()):
        job = state.records_by_id[job_id].job
        pool = find_pool(state, job)
        for number, step in list(tasks.items()):
            if now < _may_start_at(state, job_id, number):
                continue
            fitting = turn.find(pool, step)
            if not fitting:
                continue
            placed = _place_suspect(state, job, fitting, number, step, turn, now)
            if placed is None:
                turn.close(fitting)
            else:
                effects += placed
    _release_idle_servers(state, turn)
    return effects


class _Turn:
    """What the suspects that had their turn in one call leave to those after them.

    A kind of backend servers is closed while an earlier suspect waits that could run on
    it, so that the suspects start in the order of their losses. One that fits no
    backend server closes none.

    Parameters
    ----------
    asked
        Servers at which a suspect starts once they have answered.
    """

    def __init__(self, state: DispatcherState):
        self.asked: set[BackendServerId] = set()
        kinds = {
            server.kind
            for server in state.servers_by_id.values()
            if not server.evacuated
        }
        self._open_by_pool: dict[PoolName, set[ServerKind]] = {}
        for kind in kinds:
            self._open_by_pool.setdefault(kind.pool, set()).add(kind)

    def find(self, pool: PoolName, step: Step) -> set[ServerKind]:
        """Return the open kinds that could run a task of a step."""
        known = self._open_by_pool.get(pool, ())
        return {kind for kind in known if kind.could_run(step)}

    def close(self, kinds: set[ServerKind]) -> None:
        """Keep kinds for a suspect that could not start yet."""
        for kind in kinds:
            self._open_by_pool[kind.pool].discard(kind)

    def is_open(self, kind: ServerKind) -> bool:
        """Return whether no suspect waits for a kind."""
        return kind in self._open_by_pool.get(kind.pool, ())


def _may_start_at(state: DispatcherState, job_id: JobId, number: int) -> Seconds:
    return may_start_at(state.losses_by_job.get(job_id, ()), number)


def _leave_useless_jobs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """End the best-effort jobs for which another start comes too late."""
    effects: list[Effect] = []
    for job_id, tasks in list(state.suspects_by_job.items()):
        record = state.records_by_id[job_id]
        if tasks and record.job.best_effort and now > expires_at(record.job):
            effects += leave_unserved(state, record, now)
    return effects


def _place_suspect(
    state: DispatcherState,
    job: DurableJob,
    kinds: set[ServerKind],
    number: int,
    step: Step,
    turn: _Turn,
    now: Seconds,
) -> list[Effect] | None:
    """Start a suspect on an empty server, or set a server apart that will be empty.

    Parameters
    ----------
    kinds
        Kinds of the backend servers that may be used, all of one pool.

    Returns
    -------
    list of Effect or None
        ``None`` if the suspect has to wait for a server.
    """
    isolated = [state.servers_by_id[id_] for id_ in state.isolated_servers]
    empty = [
        server
        for server in isolated
        if server.report.id not in turn.asked
        and _is_empty(server)
        and is_usable(state, server, now)
    ]
    answered = [server for server in empty if _has_just_answered(server, now)]
    for servers in (answered, empty):
        chosen = choose_server(step, _make_candidates(servers, kinds), {})
        if chosen is not None:
            return _start_or_ask(state, job, number, step, chosen, turn, now)
    max_runs = _max_runs_to_isolate(state, find_pool(state, job), now)
    if max_runs is None:
        return None
    usable = [
        server
        for server in state.servers_by_id.values()
        if not server.isolated
        and server.active_runs <= max_runs
        and is_usable(state, server, now)
    ]
    chosen = choose_server(step, _make_candidates(_sort_by_load(usable), kinds), {})
    if chosen is None:
        return None
    server = state.servers_by_id[chosen.id]
    _isolate(state, server)
    if not _is_empty(server):
        return None
    return _start_or_ask(state, job, number, step, chosen, turn, now)


def _has_just_answered(server: Server, now: Seconds) -> bool:
    return server.has_answered_since(now - MAX_ANSWER_AGE)


def _start_or_ask(
    state: DispatcherState,
    job: DurableJob,
    number: int,
    step: Step,
    chosen: ServerCandidate,
    turn: _Turn,
    now: Seconds,
) -> list[Effect]:
    """Start a suspect, or first ask the server for a sign of life."""
    server = state.servers_by_id[chosen.id]
    if _has_just_answered(server, now):
        return _start_alone(state, job, number, step, chosen, now)
    turn.asked.add(chosen.id)
    asked = read_runs(state, server, now, wanted=True)
    if not asked:
        return []
    fields = {"job": job.id, "task": number, "server": chosen.id}
    fields |= {"born": server.report.born}
    fields["answered_ago"] = now - server.runs_requested_at
    return [LogEvent("suspect_server_asked", fields), *asked]


def _start_alone(
    state: DispatcherState,
    job: DurableJob,
    number: int,
    step: Step,
    chosen: ServerCandidate,
    now: Seconds,
) -> list[Effect]:
    start = start_task(state, job, number, step, chosen, now, alone=True)
    tasks = state.suspects_by_job[job.id]
    tasks.pop(number, None)
    server = state.servers_by_id[chosen.id]
    fields = {"job": job.id, "task": number, "server": chosen.id}
    fields |= {"born": server.report.born, "losses": len(state.losses_by_job[job.id])}
    fields["answered_ago"] = now - server.runs_requested_at
    return [LogEvent("suspect_placed", fields), Count("suspects_placed"), *start]


def _make_candidates(
    servers: list[Server], kinds: set[ServerKind]
) -> Iterator[ServerCandidate]:
    for server in servers:
        report = server.report
        if server.kind in kinds:
            yield ServerCandidate(
                report.id, report.capacity, server.speed, report.labels
            )


def _sort_by_load(servers: list[Server]) -> list[Server]:
    """Return the servers that are empty or will soon be empty first."""
    return sorted(servers, key=lambda server: (server.active_runs, -server.speed))


def _max_runs_to_isolate(
    state: DispatcherState, pool: PoolName, now: Seconds
) -> float | None:
    """Return how many runs another server to be set apart may have; `None` for none.

    Servers of the pool that were lost with a suspect count as set apart while their
    fate is awaited.
    """
    size = sum(
        server.report.pool == pool and not (server.departed or server.evacuated)
        for server in state.servers_by_id.values()
    )
    lost = {
        (loss.server, loss.born)
        for losses in state.losses_by_job.values()
        for loss in losses
        if loss.alone and awaits_fate(loss, now) and _may_be_in(state, loss, pool)
    }
    isolated = sum(
        state.servers_by_id[server_id].report.pool == pool
        for server_id in state.isolated_servers
    )
    used = isolated + len(lost)
    if used < max_isolated_servers(size):
        return math.inf
    if not lost and used < max_empty_isolated_servers(size):
        return 0
    return None


def _may_be_in(state: DispatcherState, loss: RunLoss, pool: PoolName) -> bool:
    """Return whether a lost server is of a pool, or is not known any more."""
    server = state.servers_by_id.get(loss.server)
    return server is None or server.report.pool == pool


def _is_empty(server: Server) -> bool:
    return server.active_runs == 0


def _isolate(state: DispatcherState, server: Server) -> None:
    server.isolated = True
    state.isolated_servers.add(server.report.id)
    update_server_index(state, server)


def _release(state: DispatcherState, server: Server) -> None:
    server.isolated = False
    state.isolated_servers.discard(server.report.id)
    update_server_index(state, server)


def _release_lost_servers(state: DispatcherState, now: Seconds) -> None:
    """Release the servers that were replaced, or are not usable and run no suspect."""
    for server_id in list(state.isolated_servers):
        server = state.servers_by_id.get(server_id)
        if server is None or not server.isolated:
            state.isolated_servers.discard(server_id)
        elif not _runs_suspect(server) and not is_usable(state, server, now):
            _release(state, server)


def _release_idle_servers(state: DispatcherState, turn: _Turn) -> None:
    """Release the servers that no suspect uses or waits for.

    A suspect may wait for a server that is not empty yet.
    """
    for server_id in list(state.isolated_servers):
        server = state.servers_by_id[server_id]
        is_emptied = not (_is_empty(server) or turn.is_open(server.kind))
        is_awaited = is_emptied or server_id in turn.asked
        if not (is_awaited or _runs_suspect(server)):
            _release(state, server)


def _runs_suspect(server: Server) -> bool:
    return any(run.alone for run in server.runs_by_task.values())
