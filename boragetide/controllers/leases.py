"""Leases of backend servers: announcements, expiry and fencing."""

from __future__ import annotations

from boragetide.controllers.placing import place
from boragetide.controllers.pool import (
    BackendServersState,
    LeasedServer,
    clear_pool,
    forget_server,
    refresh_server,
)
from boragetide.effects import Effect, LogEvent, Reply, Send
from boragetide.messages import AnnounceBackendServer, LeaseGranted, PoolSize, WokeUp
from boragetide.types import Address, Seconds


def announce(
    message: AnnounceBackendServer, state: BackendServersState, now: Seconds
) -> list[Effect]:
    """Lease a backend server that announced or renewed itself."""
    server = message.server
    leased = state.servers_by_id.get(server.id)
    effects: list[Effect] = []
    if leased is None:
        state.leases += 1
        lease = f"{state.settings.id}/{state.incarnation}/{state.leases}"
        leased = LeasedServer(server, lease, now)
        state.servers_by_id[server.id] = leased
        effects.append(
            LogEvent("backend_server_joined", {"server": server.id, "lease": lease})
        )
        effects.append(_tell_pool_size(state))
    leased.server = server
    leased.renewed_at = now
    refresh_server(state, server.id, now)
    granted = LeaseGranted(
        lease=leased.lease,
        holder=state.settings.id,
        holder_address=f"http://{state.settings.own.http_address}",
        renew_every=state.settings.timing.lease_renewal,
        expires_after=state.settings.timing.lease_expiry,
    )
    return [*effects, Reply(message.reply_to, granted), *place(state, now)]


def _tell_pool_size(state: BackendServersState) -> Effect:
    size = PoolSize(len(state.servers_by_id))
    return Send(Address(state.settings.id, "instances"), size)


def wake_up(message: WokeUp, state: BackendServersState, now: Seconds) -> list[Effect]:
    """Drop the queue and every lease; backend servers announce themselves again."""
    clear_pool(state, now)
    return [_tell_pool_size(state)]


def expire_leases(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Drop backend servers that did not renew their lease in time."""
    expiry = state.settings.timing.lease_expiry
    effects: list[Effect] = []
    for server_id, leased in list(state.servers_by_id.items()):
        if now - leased.renewed_at > expiry and not leased.running_by_id:
            forget_server(state, server_id, now)
            effects.append(LogEvent("backend_server_lost", {"server": server_id}))
            effects.append(_tell_pool_size(state))
    return effects
