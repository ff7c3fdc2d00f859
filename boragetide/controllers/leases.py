"""Leases of the backend servers: grants, renewals, losses and release.

Part of the backend servers controller, whose state it changes. A lease that takes no
new task is retired: it is kept while tasks run under it, so that their results count.
"""

from __future__ import annotations

from dataclasses import replace

from boragetide.controllers import outcomes
from boragetide.controllers.placing import place_tasks
from boragetide.controllers.pool import (
    BackendServersState,
    LeasedServer,
    clear_pool,
    grant_lease,
    is_evacuated,
    refresh_server,
    remove_server,
)
from boragetide.effects import Effect, LogEvent, Reply, Send
from boragetide.messages import (
    AnnounceBackendServer,
    LeaseGranted,
    LeaseRefused,
    PlacerChanged,
    PoolSize,
    WokeUp,
)
from boragetide.types import (
    Address,
    BackendServer,
    BackendServerId,
    Seconds,
    TaskOutcome,
    TaskStatus,
)

# Entry instances that chose this placer before they learned of the change still send
# their jobs to it once the claim is decided, which takes a few round trips.
RELEASE_DELAY = 1.0  # seconds
RELEASE_RENEWAL = 0.2  # seconds between renewals while a former placer has a queue
CONFIRMATION_DELAY = 0.005  # seconds until the renewal that confirms a new lease


def announce(
    message: AnnounceBackendServer, state: BackendServersState, now: Seconds
) -> list[Effect]:
    """Grant, renew or refuse the lease of a backend server.

    Only the placer of the zone grants leases. An instance that lost the role continues
    to renew the leases it has granted until it has started all tasks in its queue.
    """
    server = message.server
    leased = state.servers_by_id.get(server.id)
    if state.placer != state.settings.id and not message.fence:
        if leased is None or not _is_current(message, leased):
            return [Reply(message.reply_to, _refuse(state))]
        if is_released(state, now):
            retired = _retire(leased, state, None, now)
            return [*retired, Reply(message.reply_to, _refuse(state))]
    effects: list[Effect] = []
    if leased is not None and not _is_current(message, leased):
        effects += _retire(leased, state, None, now)
        leased = None
    if leased is None:
        leased = grant_lease(state, server, now)
        effects.append(
            LogEvent(
                "backend_server_joined", {"server": server.id, "lease": leased.lease}
            )
        )
    leased.server = _keep_leaving(message, leased)
    leased.renewed_at = now
    # A backend server whose announcement names no lease counts as confirmed at once.
    leased.confirmed = message.lease is None or message.lease == leased.lease
    refresh_server(state, server.id, now)
    effects.append(report_pool_size(state))
    granted = Reply(message.reply_to, _describe_lease(leased, state))
    return [*effects, granted, *place_tasks(state, now)]


def _is_current(message: AnnounceBackendServer, leased: LeasedServer) -> bool:
    """Return whether the announcement comes from the process that holds the lease."""
    return message.server.address == leased.server.address and (
        message.lease is None or message.lease == leased.lease
    )


def _keep_leaving(
    message: AnnounceBackendServer, leased: LeasedServer
) -> BackendServer:
    """Return the announced server, still leaving if it was under the same lease.

    A process that leaves does not come back, so an announcement without the mark is an
    older one. Announcements that name no lease may come from the next process.
    """
    is_leaving = message.lease == leased.lease and leased.server.leaving
    return replace(message.server, leaving=message.server.leaving or is_leaving)


def _refuse(state: BackendServersState) -> LeaseRefused:
    return LeaseRefused(
        f"instance {state.settings.id} is not the placer of its zone; "
        f"the placer is {state.placer or 'not known'}"
    )


def _describe_lease(leased: LeasedServer, state: BackendServersState) -> LeaseGranted:
    timing = state.settings.timing
    renew_every = timing.lease_renewal
    if not leased.confirmed:
        renew_every = CONFIRMATION_DELAY
    elif state.placer != state.settings.id:
        renew_every = RELEASE_RENEWAL
    return LeaseGranted(
        lease=leased.lease,
        holder=state.settings.id,
        holder_address=f"http://{state.settings.own_peer.http_address}",
        renew_every=renew_every,
        expires_after=timing.lease_expiry,
    )


def report_pool_size(state: BackendServersState) -> Effect:
    """Tell the instances controller how many backend servers can take tasks."""
    accepting = sum(
        not (leased.server.leaving or is_evacuated(state, leased))
        for leased in state.servers_by_id.values()
    )
    return Send(Address(state.settings.id, "instances"), PoolSize(accepting))


def change_placer(
    message: PlacerChanged, state: BackendServersState, now: Seconds
) -> list[Effect]:
    """Record which instance places for this zone."""
    if state.placer == state.settings.id:
        state.role_lost_at = now
    state.placer = message.placer
    return []


def is_released(state: BackendServersState, now: Seconds) -> bool:
    """Return whether a former placer has started all tasks that were sent to it."""
    lost_at = state.role_lost_at
    delay_passed = lost_at is None or now - lost_at > RELEASE_DELAY
    return delay_passed and not state.queued_tasks and not state.delayed_tasks


def find_lease(
    server_id: BackendServerId, lease: str, state: BackendServersState
) -> LeasedServer | None:
    """Find a lease, current or retired, that tasks were started under."""
    leased = state.servers_by_id.get(server_id)
    if leased is not None and leased.lease == lease:
        return leased
    return state.retired_by_lease.get(lease)


def _retire(
    leased: LeasedServer,
    state: BackendServersState,
    tasks_end_by: Seconds | None,
    now: Seconds,
) -> list[Effect]:
    """Start no more tasks under a lease, and keep the lease while tasks run under it.

    Parameters
    ----------
    tasks_end_by
        Unix time at which tasks that still run end as unknown; ``None`` if their own
        timeouts bound them.
    """
    remove_server(state, leased.server.id, now)
    if leased.running_by_id:
        leased.tasks_end_by = tasks_end_by
        state.retired_by_lease[leased.lease] = leased
    return [report_pool_size(state)]


def expire_leases(state: BackendServersState, now: Seconds) -> list[Effect]:
    """Retire the leases that were not renewed and end the tasks of lost servers.

    A lost server may have been unable only to renew its lease, so its tasks get another
    lease period in which their results can arrive.
    """
    expiry = state.settings.timing.lease_expiry
    effects: list[Effect] = []
    for server_id, leased in list(state.servers_by_id.items()):
        if now - leased.renewed_at > expiry:
            fields = {"server": server_id, "running": len(leased.running_by_id)}
            effects.append(LogEvent("backend_server_lost", fields))
            effects += _retire(leased, state, now + expiry, now)
    for lease, leased in list(state.retired_by_lease.items()):
        if leased.tasks_end_by is not None and now > leased.tasks_end_by:
            effects += _end_tasks(leased, state, now)
        if not leased.running_by_id:
            del state.retired_by_lease[lease]
    return effects


def _end_tasks(
    leased: LeasedServer, state: BackendServersState, now: Seconds
) -> list[Effect]:
    error = f"backend server {leased.server.id!r} was lost while the task ran"
    outcome = TaskOutcome(TaskStatus.UNKNOWN, error=error)
    effects: list[Effect] = []
    for running in list(leased.running_by_id.values()):
        effects += outcomes.end_running(state, leased, running, outcome, None, now)
    return effects


def wake_up(message: WokeUp, state: BackendServersState, now: Seconds) -> list[Effect]:
    """Drop the queue and all leases; backend servers announce themselves again."""
    clear_pool(state, now)
    return [report_pool_size(state)]
