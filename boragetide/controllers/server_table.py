"""The table of backend servers, which is built from their announcements."""

from __future__ import annotations

from dataclasses import replace

from boragetide.controllers.dispatch_state import DispatcherState, update_server_index
from boragetide.controllers.placing_runs import ANNOUNCEMENT_TIMEOUT
from boragetide.controllers.server_state import UNANNOUNCED_SEQUENCE, Server
from boragetide.controllers.zone_service import continue_trial
from boragetide.durable import ServerReport
from boragetide.effects import Effect, LogEvent, Send
from boragetide.messages import ReportServer
from boragetide.types import Address, BackendServerId, Seconds

SERVER_RETENTION: Seconds = 30.0
# A backend server that has missed an announcement is passed on by the leader.
PASS_ON_DELAY: Seconds = 2.0


def apply_report(
    state: DispatcherState, report: ServerReport, age: Seconds, now: Seconds
) -> list[Effect]:
    """Apply an announcement that was heard ``age`` ago unless a newer one is known."""
    server = state.servers_by_id.get(report.id)
    if server is None or report.born > server.report.born:
        return _add_server(state, report, server, now, age)
    if report.born < server.report.born or (report.sequence <= server.report.sequence):
        return []
    was_draining = server.report.draining
    server.record_report(report, now - age)
    server.departed = server.left
    server.last_contact_at = now
    _record_clock(server, now)
    update_server_index(state, server)
    if report.draining and not was_draining:
        return [LogEvent("backend_server_draining", {"server": report.id})]
    return []


def remove_server(
    state: DispatcherState, server_id: BackendServerId, born: int
) -> list[Effect]:
    """Start nothing more on a backend server whose process says that it leaves.

    Parameters
    ----------
    born
        Start of that process in Unix milliseconds, or 0 if it is not known. An earlier
        process than the known one has left already.
    """
    server = state.servers_by_id.get(server_id)
    if server is None or 0 < born < server.report.born:
        return []
    server.departed = True
    server.left = born > 0
    return [LogEvent("backend_server_left", {"server": server_id, "born": born})]


def _record_clock(server: Server, now: Seconds) -> None:
    """Record the clock in the announcement of the process that is known."""
    if server.report.clock is not None:
        server.clock.record_reading(server.report.clock, now)


def replace_process(
    state: DispatcherState, previous: Server, born: int, now: Seconds
) -> list[Effect]:
    """Replace a backend server whose list shows a process that is not announced yet."""
    report = replace(
        previous.report, born=born, sequence=UNANNOUNCED_SEQUENCE, clock=None
    )
    effects = _add_server(state, report, previous, now)
    # It may have carried out orders by the clock of the earlier process.
    state.servers_by_id[report.id].bound_unknown_leases(now)
    return effects


def _add_server(
    state: DispatcherState,
    report: ServerReport,
    previous: Server | None,
    now: Seconds,
    age: Seconds = 0.0,
) -> list[Effect]:
    """Add a backend server that is new or whose process was replaced.

    The runs that were ordered there are carried over, because the new process may have
    carried out an order before its first announcement arrived. Its first list of runs
    shows which ones, and the others are freed.
    """
    state.process_count += 1
    server = Server(report, now, process=state.process_count)
    server.record_report(report, now - age)
    if previous is not None:
        server.runs_by_task = dict(previous.runs_by_task)
        server.used = previous.used
        server.follows_planned_end = previous.ends_as_planned
        server.leases_expired_at = previous.leases_expired_at
        server.unknown_leases_expired_at = previous.unknown_leases_expired_at
        # The previous process has yet to answer its read, or the read to fail.
        server.reading = previous.reading
    _record_clock(server, now)
    continue_trial(state, server, previous, now)
    state.servers_by_id[report.id] = server
    update_server_index(state, server)
    fields = {
        "server": report.id,
        "pool": report.pool,
        "zone": report.zone,
        "address": report.address,
        "born": report.born,
        "millicores": report.capacity.millicores,
        "servers": len(state.servers_by_id),
    }
    return [LogEvent("backend_server_joined", fields)]


def pass_on_servers(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Pass on to the members the backend servers in use that miss announcements.

    A backend server may answer its leader while its announcements are lost. A member
    whose process is younger than the last announcement would not know it, and would
    start its tasks elsewhere after a change of the leader.
    """
    effects: list[Effect] = []
    for server in state.servers_by_id.values():
        if not _is_passed_on(server, now):
            continue
        age = now - server.announced_at
        message = ReportServer(report=server.report, passed_on=True, age=age)
        effects += [
            Send(Address(other, "dispatcher"), message) for other in state.other_members
        ]
    return effects


def _is_passed_on(server: Server, now: Seconds) -> bool:
    if server.departed or now - server.announced_at < PASS_ON_DELAY:
        return False
    may_start = now - server.last_contact_at < ANNOUNCEMENT_TIMEOUT
    return may_start or bool(server.runs_by_task)


def remove_stale_servers(state: DispatcherState, now: Seconds) -> None:
    """Remove backend servers that have left or have been silent for a long time."""
    for server_id, server in list(state.servers_by_id.items()):
        silence = now - server.last_contact_at
        has_departed = server.departed and silence > ANNOUNCEMENT_TIMEOUT
        if (has_departed or silence > SERVER_RETENTION) and not server.runs_by_task:
            del state.servers_by_id[server_id]
            state.index.remove(server_id)
