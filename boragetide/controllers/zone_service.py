"""Evacuation and return of availability zones, for the dispatcher of durable jobs.

The counterpart for the pool of a placer is `controllers.zone_pool`.
"""

from __future__ import annotations

from typing import Any

from boragetide.controllers.dispatch_state import (
    DispatcherState,
    has_authority,
    update_server_index,
)
from boragetide.controllers.server_state import Server
from boragetide.effects import Count, Effect, LogEvent, SetGauge
from boragetide.policy.zones import (
    begin_trial,
    find_obstacle,
    has_returned_recently,
    may_take_run,
)
from boragetide.types import Configuration, Seconds, ZoneId


def is_open(state: DispatcherState, server: Server, now: Seconds) -> bool:
    """Return whether the zone of a backend server is known to be in service."""
    return find_obstacle(server.report.zone, state.zones, now) is None


def may_start_on(
    state: DispatcherState, server: Server, now: Seconds, planned: int = 0
) -> bool:
    """Return whether a backend server may get another run as far as its zone goes.

    Parameters
    ----------
    planned
        Number of runs that it would have got before.
    """
    if not is_open(state, server, now):
        return False
    if server.trial is None:
        return True
    return may_take_run(server.trial, server.active_runs + planned, now)


def apply_zones(
    state: DispatcherState, configuration: Configuration, now: Seconds
) -> list[Effect]:
    """Apply the evacuated zones of the configuration in force."""
    before = state.zones.evacuated
    state.zones.apply(configuration)
    after = state.zones.evacuated
    if before == after:
        return []
    for zone in before - after:
        state.returned_at_by_zone[zone] = now
    for zone in after:
        state.returned_at_by_zone.pop(zone, None)
    for server in state.servers_by_id.values():
        zone = server.report.zone
        if zone in before - after:
            _begin_trial(server, now)
        elif zone in after:
            server.trial = None
        update_server_index(state, server)
    logs = [
        LogEvent(event, {"zone": zone, **_describe(state, zone, now)})
        for event, zones in (
            ("zone_evacuated", after - before),
            ("zone_returned", before - after),
        )
        for zone in sorted(zones)
    ]
    return [*logs, SetGauge("evacuated_zones", len(after))]


def _describe(state: DispatcherState, zone: ZoneId, now: Seconds) -> dict[str, Any]:
    """Return the fields of a log line about a change of a zone."""
    servers = [
        server for server in state.servers_by_id.values() if server.report.zone == zone
    ]
    return {
        "version": state.zones.version,
        "evacuated": len(state.zones.evacuated),
        "servers": len(servers),
        "runs": sum(server.active_runs for server in servers),
        "term": state.term,
    }


def _begin_trial(server: Server, now: Seconds) -> None:
    """Take a server back gradually; what was learned of its speed no longer holds."""
    server.trial = begin_trial(server.report.id, now)
    server.speed = 1.0
    server.speed_updated_at = now


def continue_trial(
    state: DispatcherState, server: Server, previous: Server | None, now: Seconds
) -> None:
    """Continue the trial of the previous process, or begin one after a return."""
    if previous is not None and previous.trial is not None:
        server.trial = previous.trial
        return
    returned_at = state.returned_at_by_zone.get(server.report.zone)
    if has_returned_recently(returned_at, now):
        _begin_trial(server, returned_at)


def end_trials(state: DispatcherState, now: Seconds) -> None:
    """Forget the trials that are over and the returns that are long ago."""
    returned = state.returned_at_by_zone
    for zone, returned_at in list(returned.items()):
        if not has_returned_recently(returned_at, now):
            del returned[zone]
    for server in state.servers_by_id.values():
        if server.trial is not None and server.trial.is_over(now):
            server.trial = None


def check_zone_view(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Log when the view of the zones becomes too old for starts, and when it is not."""
    is_withheld = has_authority(state, now) and not state.zones.is_recent(now)
    if is_withheld == (state.old_view_since is not None):
        return []
    fields = {
        "version": state.zones.version,
        "age": now - state.zones.confirmed_at,
        "waiting": len(state.queue.waiting_by_id),
        "term": state.term,
    }
    if is_withheld:
        state.old_view_since = now
        logged = LogEvent("starts_withheld", {"reason": "old_view", **fields})
        return [logged, Count("starts_withheld")]
    fields["after"] = now - state.old_view_since
    state.old_view_since = None
    return [LogEvent("starts_resumed", fields)]
