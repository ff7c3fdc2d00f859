"""Registrations of backend servers in the replicated log.

The leader registers a backend server before the first start there. A later leader thus
knows of every backend server that has runs, although announcements may be lost.
"""

from __future__ import annotations

from boragetide.commands import RegisterBackendServers, UnregisterBackendServers
from boragetide.controllers.dispatch_state import (
    DispatcherState,
    PendingRegistration,
    has_authority,
    is_registered,
)
from boragetide.controllers.job_records import append_command
from boragetide.controllers.server_state import Server
from boragetide.controllers.takeover import have_predecessor_leases_expired
from boragetide.effects import Effect, LogEvent
from boragetide.types import BackendServerId, Seconds

MAX_LOGGED_IDS = 8


def needs_registration(state: DispatcherState, server: Server) -> bool:
    """Return whether a backend server must be registered before it is used."""
    return (
        server.read_term == state.term
        and not (server.departed or server.silent)
        and not is_registered(state, server)
    )


def register_servers(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Append one registration of all backend servers that need it.

    Those that need one while it is pending go into the next one. Before the takeover
    is complete, an earlier process that is registered may still have runs.
    """
    if state.pending_registration is not None or not state.takeover_complete:
        return []
    if not has_authority(state, now):
        return []
    born_by_id = {
        server_id: server.report.born
        for server_id, server in state.servers_by_id.items()
        if needs_registration(state, server)
    }
    if not born_by_id:
        return []
    append = append_command(state, RegisterBackendServers(born_by_id))
    (command_id,) = append.message.commands_by_id
    state.pending_registration = PendingRegistration(command_id, born_by_id)
    return [append]


def apply_registration(
    state: DispatcherState, command_ids: tuple[str, ...]
) -> list[Effect]:
    """Allow starts at the backend servers whose registration is committed."""
    pending = state.pending_registration
    if pending is None or pending.command_id not in command_ids:
        return []
    state.pending_registration = None
    state.server_born_by_id.update(pending.born_by_id)
    return [_log(state, "backend_servers_registered", pending.born_by_id)]


def unregister_servers(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Append one removal of all registered backend servers that can have no run."""
    if not has_authority(state, now) or not state.takeover_complete:
        return []
    if not have_predecessor_leases_expired(state, now):
        return []
    born_by_id = {
        server_id: born
        for server_id, born in state.server_born_by_id.items()
        if _has_certainly_no_run(state, server_id, now)
    }
    if not born_by_id:
        return []
    for server_id in born_by_id:
        del state.server_born_by_id[server_id]
    append = append_command(state, UnregisterBackendServers(born_by_id))
    return [_log(state, "backend_servers_unregistered", born_by_id), append]


def _has_certainly_no_run(
    state: DispatcherState, server_id: BackendServerId, now: Seconds
) -> bool:
    """Return whether all leases at a backend server are over.

    One that is not in the table got no lease from this leader.
    """
    server = state.servers_by_id.get(server_id)
    if server is None:
        return True
    is_unused = server.departed or server.silent or server.read_term != state.term
    return is_unused and not server.runs_by_task and server.have_leases_expired(now)


def _log(
    state: DispatcherState, event: str, born_by_id: dict[BackendServerId, int]
) -> LogEvent:
    ids = sorted(born_by_id)
    fields = {
        "term": state.term,
        "count": len(ids),
        "servers": ",".join(ids[:MAX_LOGGED_IDS]),
        "registered": len(state.server_born_by_id),
    }
    return LogEvent(event, fields)
