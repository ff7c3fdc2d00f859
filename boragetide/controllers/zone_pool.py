"""Evacuation and return of the availability zone of a placer's pool.

The counterpart for durable jobs is `controllers.zone_service`.
"""

from __future__ import annotations

from boragetide.controllers.leases import report_pool_size
from boragetide.controllers.pool import BackendServersState, is_evacuated
from boragetide.effects import Effect, LogEvent, SetGauge
from boragetide.policy import ejection
from boragetide.policy.learning import SpeedModel
from boragetide.policy.zones import begin_trial, has_returned_recently
from boragetide.types import Seconds

# Jobs are queued for this long while the view of the zones is too old for starts. The
# first evacuation of an installation makes the view of each pool old until the first
# confirmation, which takes about 0.3 s and a round trip.
OLD_VIEW_TOLERANCE: Seconds = 1.0


def track_old_view(state: BackendServersState, now: Seconds) -> Seconds | None:
    """Record since when the view of the zones has been old, and return for how long.

    Returns ``None`` if it is recent.
    """
    if state.zones.is_recent(now):
        state.old_view_since = None
        return None
    if state.old_view_since is None:
        state.old_view_since = now
    return now - state.old_view_since


def find_zone_refusal(state: BackendServersState, now: Seconds) -> str | None:
    """Return why evacuated zones rule out any new job, or ``None`` if they do not."""
    old_for = track_old_view(state, now)
    if old_for is not None and old_for > OLD_VIEW_TOLERANCE:
        return "this instance cannot confirm which availability zones are evacuated"
    servers = state.servers_by_id.values()
    if servers and all(is_evacuated(state, leased) for leased in servers):
        return f"availability zone {state.settings.zone!r} is evacuated"
    return None


def apply_zones(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Apply the evacuated zones of the configuration in force.

    The servers of a zone that returns get one task each at first, as ejected servers
    do, and their learned speeds are forgotten. They may have restarted.
    """
    before = state.zones.evacuated
    state.zones.apply(state.configuration)
    after = state.zones.evacuated
    if before == after:
        return []
    returned = state.returned_at_by_zone
    for zone, returned_at in list(returned.items()):
        if zone in after or not has_returned_recently(returned_at, now):
            del returned[zone]
    returned |= dict.fromkeys(before - after, now)
    for server_id, leased in state.servers_by_id.items():
        if leased.server.zone in before - after:
            leased.speed_model = SpeedModel()
            trial = begin_trial(server_id, now)
            ejection.suspend(leased.health, trial.begins_at)
            state.ejected.add(server_id)
    own = state.settings.zone
    effects: list[Effect] = [
        SetGauge("evacuated_zones", len(after)),
        report_pool_size(state),
    ]
    if (own in before) == (own in after):
        return effects
    fields = {
        "zone": own,
        "version": state.configuration.version,
        "evacuated": len(after),
        "servers": len(state.servers_by_id),
        "running": sum(
            len(leased.running_by_id) for leased in state.servers_by_id.values()
        ),
        "waiting": state.queued_tasks,
    }
    event = "zone_evacuated" if own in after else "zone_returned"
    return [LogEvent(event, fields), *effects]
