"""When a new leader may start runs: once no unknown run of an earlier one is left."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState, has_authority
from boragetide.controllers.server_state import LEASE_EXPIRY_MARGIN, LONGEST_LEASE
from boragetide.effects import Effect, LogEvent
from boragetide.types import BackendServerId, Seconds

# All backend servers have announced themselves to a process of this age.
DISCOVERY_PERIOD: Seconds = 3.5
# Leases that an earlier leader granted have expired this long after its last order,
# also at a process whose clock it did not know.
LEASE_EXPIRY_WAIT: Seconds = LONGEST_LEASE + LEASE_EXPIRY_MARGIN


def is_takeover_complete(state: DispatcherState, now: Seconds) -> bool:
    """Return whether a task that no backend server lists is certainly not running.

    No run is started before the takeover is complete, because an earlier leader may
    have started any job that is submitted again.
    """
    if have_predecessor_leases_expired(state, now):
        return True
    if is_young(state, now) or state.missed_predecessor:
        return False
    has_unread_registered = any(
        not _is_read(state, server_id, born)
        for server_id, born in state.server_born_by_id.items()
    )
    if has_unread_registered:
        return False
    return all(
        server.read_term == state.term
        for server in state.servers_by_id.values()
        if not server.departed
    )


def is_young(state: DispatcherState, now: Seconds) -> bool:
    """Return whether backend servers may not have announced themselves here yet."""
    return now - state.incarnation / 1000 < DISCOVERY_PERIOD


def have_predecessor_leases_expired(state: DispatcherState, now: Seconds) -> bool:
    """Return whether all leases that earlier leaders granted have expired."""
    return now >= state.predecessor_until + LEASE_EXPIRY_WAIT


def count_unread_registered(state: DispatcherState) -> int:
    """Count the registered backend servers that have not listed their runs.

    A process that leaves may go on with its runs for a while, so it counts as well.
    """
    return sum(
        not _is_read(state, server_id, born)
        for server_id, born in state.server_born_by_id.items()
    )


def _is_read(state: DispatcherState, server_id: BackendServerId, born: int) -> bool:
    """Return whether the registered process or a later one has listed its runs."""
    server = state.servers_by_id.get(server_id)
    if server is None or server.report.born < born:
        return False
    return server.read_term == state.term


def check_takeover(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Allow starts once every run of an earlier leader is known or over."""
    if state.takeover_complete or not has_authority(state, now):
        return []
    if not is_takeover_complete(state, now):
        return []
    state.takeover_complete = True
    fields = {
        "term": state.term,
        "after": now - state.leader_since,
        "registered": len(state.server_born_by_id),
        "unread": count_unread_registered(state),
    }
    return [LogEvent("takeover_done", fields)]
