"""Other instances: heartbeats, silence and the choice of the placer."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.effects import AbandonRequests, Effect, LogEvent, Reconnect, Reply, Send
from boragetide.messages import (
    ChoosePlacer,
    ConfigurationChanged,
    Heartbeat,
    InstanceList,
    ListInstances,
    NewerConfiguration,
    PlacerChosen,
    PoolSize,
    StopRequested,
    Tick,
    WokeUp,
)
from boragetide.policy.membership import Candidate, choose_placer, is_live
from boragetide.settings import Settings
from boragetide.types import Address, InstanceId, Seconds

HEARTBEAT_JITTER = 0.1  # share of the heartbeat interval


@dataclass(slots=True)
class PeerView:
    """What this instance knows of a peer.

    Parameters
    ----------
    heartbeat
        The newest one, if any was heard.
    last_heard
        When it came, in Unix time.
    last_echo, echo_at
        The newest of our sequence numbers that the peer has heard, and when it said so.
    linked_at
        When the link to the peer was made.
    live
        Whether the last tick counted the peer as live.
    """

    linked_at: Seconds
    heartbeat: Heartbeat | None = None
    last_heard: Seconds | None = None
    last_echo: int = 0
    echo_at: Seconds = 0.0
    live: bool = False


@dataclass(slots=True)
class InstancesState:
    """View that this instance has of the others."""

    settings: Settings
    incarnation: int
    peers_by_id: dict[InstanceId, PeerView] = field(default_factory=dict)
    sequence: int = 0
    next_heartbeat: Seconds = 0.0
    configuration_version: int = 0
    backend_servers: int = 0
    stopping: bool = False
    jitter: random.Random = field(default_factory=random.Random)


@singledispatch
def handle(message: Any, state: InstancesState, now: Seconds) -> list[Effect]:
    """Apply one message to the view of the instances."""
    raise TypeError(f"instances controller cannot handle {message!r}")


@handle.register
def _(message: Tick, state: InstancesState, now: Seconds) -> list[Effect]:
    effects = _check_peers(state, now)
    if now >= state.next_heartbeat:
        effects += _send_heartbeats(state, now)
    return effects


def _check_peers(state: InstancesState, now: Seconds) -> list[Effect]:
    silence = state.settings.timing.instance_silence
    effects: list[Effect] = []
    for peer_id, view in state.peers_by_id.items():
        live = is_live(view.last_heard, now, silence)
        if view.live and not live:
            effects.append(AbandonRequests(peer_id))
            effects.append(LogEvent("instance_lost", {"peer": peer_id}))
        view.live = live
        if live and now - max(view.echo_at, view.linked_at) > silence:
            view.linked_at = now
            effects.append(Reconnect(peer_id))
            effects.append(LogEvent("link_silent", {"peer": peer_id}))
    return effects


def _send_heartbeats(state: InstancesState, now: Seconds) -> list[Effect]:
    interval = state.settings.timing.heartbeat_interval
    spread = state.jitter.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
    state.next_heartbeat = now + interval * spread
    state.sequence += 1
    heartbeat = Heartbeat(
        instance=state.settings.id,
        zone=state.settings.zone,
        incarnation=state.incarnation,
        sequence=state.sequence,
        echoes={
            peer_id: view.heartbeat.sequence
            for peer_id, view in state.peers_by_id.items()
            if view.heartbeat is not None
        },
        configuration_version=state.configuration_version,
        backend_servers=state.backend_servers,
        stopping=state.stopping,
    )
    effects: list[Effect] = []
    for peer_id in state.settings.peers_by_id:
        if peer_id == state.settings.id:
            continue
        state.peers_by_id.setdefault(peer_id, PeerView(linked_at=now))
        effects.append(Send(Address(peer_id, "instances"), heartbeat))
    return effects


@handle.register
def _(message: Heartbeat, state: InstancesState, now: Seconds) -> list[Effect]:
    if message.instance not in state.settings.peers_by_id:
        return [LogEvent("unknown_instance", {"peer": message.instance})]
    view = state.peers_by_id.setdefault(message.instance, PeerView(linked_at=now))
    known = view.heartbeat
    if known is not None and known.incarnation > message.incarnation:
        return []
    effects: list[Effect] = []
    if known is not None and known.incarnation < message.incarnation:
        effects.append(AbandonRequests(message.instance))
    if known is None or known.incarnation != message.incarnation:
        fields = {"peer": message.instance, "incarnation": message.incarnation}
        effects.append(LogEvent("instance_heard", fields))
    view.heartbeat = message
    view.last_heard = now
    view.live = True
    echo = message.echoes.get(state.settings.id, 0)
    if echo > view.last_echo or echo == state.sequence:
        view.last_echo = echo
        view.echo_at = now
    return effects + _report_newer_configuration(message, state)


def _report_newer_configuration(
    heartbeat: Heartbeat, state: InstancesState
) -> list[Effect]:
    version = heartbeat.configuration_version
    if version <= state.configuration_version:
        return []
    newer = NewerConfiguration(heartbeat.instance, version)
    return [Send(Address(state.settings.id, "configuration"), newer)]


@handle.register
def _(message: ChoosePlacer, state: InstancesState, now: Seconds) -> list[Effect]:
    candidates = _list_candidates(state, now)
    placer = choose_placer(message.zone, candidates)
    if placer is None:
        chosen = PlacerChosen(None, 0, len(candidates), "no live instance in the zone")
    else:
        reason = "longest_running" if placer.zone == message.zone else "other_zone"
        chosen = PlacerChosen(placer.id, placer.incarnation, len(candidates), reason)
    return [Reply(message.reply_to, chosen)]


def _list_candidates(state: InstancesState, now: Seconds) -> list[Candidate]:
    own = Candidate(
        state.settings.id,
        state.settings.zone,
        state.incarnation,
        state.backend_servers,
        state.stopping,
    )
    silence = state.settings.timing.instance_silence
    return [own] + [
        Candidate(
            peer_id,
            view.heartbeat.zone,
            view.heartbeat.incarnation,
            view.heartbeat.backend_servers,
            view.heartbeat.stopping,
        )
        for peer_id, view in state.peers_by_id.items()
        if view.heartbeat is not None and is_live(view.last_heard, now, silence)
    ]


@handle.register
def _(message: ListInstances, state: InstancesState, now: Seconds) -> list[Effect]:
    records = tuple(
        {
            "id": candidate.id,
            "availability_zone": candidate.zone,
            "incarnation": candidate.incarnation,
            "backend_servers": candidate.backend_servers,
            "stopping": candidate.stopping,
        }
        for candidate in _list_candidates(state, now)
    )
    return [Reply(message.reply_to, InstanceList(records))]


@handle.register
def _(message: PoolSize, state: InstancesState, now: Seconds) -> list[Effect]:
    state.backend_servers = message.backend_servers
    return []


@handle.register
def _(
    message: ConfigurationChanged, state: InstancesState, now: Seconds
) -> list[Effect]:
    state.configuration_version = message.configuration.version
    return []


@handle.register
def _(message: StopRequested, state: InstancesState, now: Seconds) -> list[Effect]:
    state.stopping = True
    return _send_heartbeats(state, now)


@handle.register
def _(message: WokeUp, state: InstancesState, now: Seconds) -> list[Effect]:
    """Forget what was heard before the pause; heartbeats will say who still lives."""
    for view in state.peers_by_id.values():
        view.last_heard = None
        view.live = False
        view.linked_at = now
    return [LogEvent("woke_up", {"seconds": now - message.asleep_since})]
