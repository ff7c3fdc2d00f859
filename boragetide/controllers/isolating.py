"""Isolation: suspects run in small groups on backend servers that are set apart."""

from __future__ import annotations

from functools import partial

from boragetide.controllers.best_effort import leave_unserved
from boragetide.controllers.dispatch_state import DispatcherState, has_authority
from boragetide.controllers.placing_runs import find_pool, is_usable, start_task
from boragetide.controllers.runs import read_runs
from boragetide.controllers.suspect_hosts import (
    Host,
    PoolHosts,
    Suspect,
    isolate,
    make_host,
    make_hosts,
    release,
    runs_suspect,
)
from boragetide.durable import DurableJob
from boragetide.effects import Count, Effect, LogEvent
from boragetide.policy.crash_suspicion import (
    MAX_LOST_GROUPS,
    max_group_size,
    max_isolated_servers,
    may_start_at,
)
from boragetide.policy.loss_table import JobLosses
from boragetide.policy.scheduling import ServerCandidate, expires_at
from boragetide.types import BackendServerId, JobId, PoolName, Seconds


def place_suspects(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Start the waiting suspects in groups, on servers that run nothing else."""
    if not (state.suspects_by_job or state.isolated_servers):
        return []
    if not has_authority(state, now) or not state.takeover_complete:
        return []
    effects = _leave_useless_jobs(state, now)
    _release_lost_servers(state, now)
    pools = make_hosts(state, partial(find_pool, state), now)
    asked: set[BackendServerId] = set()
    for job_id in list(state.suspects_by_job):
        if state.start_window.is_full:
            break
        job = state.records_by_id[job_id].job
        of_pool = pools.get(find_pool(state, job))
        if of_pool is not None:
            effects += _place_job(state, job, of_pool, asked, now)
    _release_idle_servers(state, pools, asked)
    return effects


def _place_job(
    state: DispatcherState,
    job: DurableJob,
    of_pool: PoolHosts,
    asked: set[BackendServerId],
    now: Seconds,
) -> list[Effect]:
    """Start the suspects of a job for which there is a host."""
    effects: list[Effect] = []
    of_job = state.losses.by_job.get(job.id)
    is_doubtful = of_job is not None and _is_doubtful(state, of_job, job.id)
    unplaced: set[tuple[int, int]] = set()
    share = of_pool.find_share()
    for number, step in list(state.suspects_by_job[job.id].items()):
        if state.start_window.is_full:
            break
        losses = () if of_job is None else of_job.by_task.get(number, ())
        if now < may_start_at(losses, number):
            continue
        size = 1 if is_doubtful else _find_group_size(state, job.id, number)
        suspect = Suspect(job, number, step, size)
        key = (id(step), size)
        if key in unplaced:
            continue
        if is_doubtful and of_pool.runs_by_job[job.id] >= max_isolated_servers(
            of_pool.size
        ):
            host = None
        else:
            host = _find_host(state, suspect, of_pool, share, now)
        if host is None:
            unplaced.add(key)
            of_pool.keep_for(suspect)
            continue
        host.add(suspect)
        of_pool.runs_by_job[job.id] += 1
        effects += _start_or_ask(state, suspect, host, asked, now)
    return effects


def _is_doubtful(state: DispatcherState, of_job: JobLosses, job_id: JobId) -> bool:
    """Return whether each of the tasks of a job may be guilty.

    Several groups of them were lost, and none of the tasks has ever been done.
    """
    has_done_task = bool(state.records_by_id[job_id].done)
    return of_job.lost_groups >= MAX_LOST_GROUPS and not has_done_task


def _find_group_size(state: DispatcherState, job_id: JobId, number: int) -> int:
    """Return how many suspects may share a host with a suspect.

    A task of which no run was lost counts as lost once, with all suspects of its job.
    """
    losses = state.losses.get_of_task(job_id, number)
    if not losses:
        return max_group_size(1, len(state.losses.by_job[job_id].by_task))
    lost = state.losses.by_process[losses[-1].process]
    return max_group_size(len(losses), len(lost.tasks))


def _find_host(
    state: DispatcherState,
    suspect: Suspect,
    of_pool: PoolHosts,
    share: int,
    now: Seconds,
) -> Host | None:
    """Return a host with room for a suspect, or set a backend server apart.

    The waiting suspects are divided evenly among the hosts that they may use. If no
    more backend servers may be set apart, a group may grow up to its largest size.
    """
    even = -(-of_pool.waiting // share)
    host = of_pool.find_host(suspect, min(suspect.group_size, even))
    if host is not None:
        return host
    server = of_pool.take_candidate(suspect.step)
    if server is None:
        return of_pool.find_host(suspect, suspect.group_size)
    isolate(state, server)
    of_pool.isolated += 1
    if server.active_runs:
        of_pool.emptied.append(server)
        return of_pool.find_host(suspect, suspect.group_size)
    host = make_host(server, 0, (), now)
    of_pool.hosts.append(host)
    return host


def _leave_useless_jobs(state: DispatcherState, now: Seconds) -> list[Effect]:
    """End the best-effort jobs for which another start comes too late."""
    effects: list[Effect] = []
    for job_id, tasks in list(state.suspects_by_job.items()):
        record = state.records_by_id[job_id]
        if tasks and record.job.best_effort and now > expires_at(record.job):
            effects += leave_unserved(state, record, now)
    return effects


def _start_or_ask(
    state: DispatcherState,
    suspect: Suspect,
    host: Host,
    asked: set[BackendServerId],
    now: Seconds,
) -> list[Effect]:
    """Start a suspect, or first ask the server for a sign of life."""
    if host.has_answered:
        return _start_in_group(state, suspect, host, now)
    if host.is_asked:
        return []
    host.is_asked = True
    server = host.server
    asked.add(server.report.id)
    question = read_runs(state, server, now, wanted=True)
    if not question:
        return []
    fields = {"job": suspect.job.id, "task": suspect.number}
    fields |= {"server": server.report.id, "born": server.report.born}
    fields["answered_ago"] = now - server.runs_requested_at
    return [LogEvent("suspect_server_asked", fields), *question]


def _start_in_group(
    state: DispatcherState, suspect: Suspect, host: Host, now: Seconds
) -> list[Effect]:
    job, number, server = suspect.job, suspect.number, host.server
    report = server.report
    chosen = ServerCandidate(report.id, host.room, server.speed, report.labels)
    start = start_task(
        state, job, number, suspect.step, chosen, now, group_size=suspect.group_size
    )
    state.suspects_by_job[job.id].pop(number, None)
    fields = {"job": job.id, "task": number, "server": report.id}
    fields |= {"born": report.born}
    fields["losses"] = len(state.losses.get_of_task(job.id, number))
    fields |= {"together": host.runs, "group_size": suspect.group_size}
    fields["answered_ago"] = now - server.runs_requested_at
    return [LogEvent("suspect_placed", fields), Count("suspects_placed"), *start]


def _release_lost_servers(state: DispatcherState, now: Seconds) -> None:
    """Release the servers that were replaced, or are not usable and run no suspect."""
    for server_id in list(state.isolated_servers):
        server = state.servers_by_id.get(server_id)
        if server is None or not server.isolated:
            state.isolated_servers.discard(server_id)
        elif not runs_suspect(server) and not is_usable(state, server, now):
            release(state, server)


def _release_idle_servers(
    state: DispatcherState,
    pools: dict[PoolName, PoolHosts],
    asked: set[BackendServerId],
) -> None:
    """Release the servers that no suspect uses or waits for.

    A suspect may wait for a server that is not empty yet.
    """
    for server_id in list(state.isolated_servers):
        server = state.servers_by_id[server_id]
        of_pool = pools.get(server.report.pool)
        is_awaited = server_id in asked or (
            of_pool is not None
            and server.active_runs > 0
            and server.kind in of_pool.awaited_kinds
        )
        if not (is_awaited or runs_suspect(server)):
            release(state, server)
