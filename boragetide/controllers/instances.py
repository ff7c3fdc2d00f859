"""Controller of the other instances: heartbeats, silence and choice of the placer."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.effects import AbandonRequests, Effect, LogEvent, Reconnect, Reply, Send
from boragetide.messages import (
    ChoosePlacer,
    ConfigurationChanged,
    Drain,
    DrainState,
    Flush,
    Flushed,
    Heartbeat,
    InstanceList,
    ListInstances,
    NewerConfiguration,
    PlacerChanged,
    PlacerChosen,
    PoolSize,
    StopRequested,
    Tick,
    WokeUp,
)
from boragetide.policy import membership
from boragetide.policy.membership import PlacerCandidate
from boragetide.policy.process_numbers import choose_first_number
from boragetide.settings import Settings
from boragetide.types import Address, InstanceId, ReplyTo, Seconds, ZoneId

HEARTBEAT_JITTER = 0.1  # share of the heartbeat interval


@dataclass(slots=True)
class PeerView:
    """What this instance knows of a peer.

    Parameters
    ----------
    heartbeat
        Newest heartbeat of the peer, if any was received.
    last_heartbeat_at
        Unix time at which the newest heartbeat was received; ``None`` if none was since
        this process started or woke up.
    last_echo, echo_at
        Newest sequence number of this instance that the peer has echoed, and the Unix
        time at which the echo was received.
    link_opened_at, link_timeout
        Unix time at which the link to the peer was made, and the seconds without an
        echo after which the link is replaced.
    live
        Whether the last tick or heartbeat counted the peer as live.
    """

    link_opened_at: Seconds
    link_timeout: Seconds
    heartbeat: Heartbeat | None = None
    last_heartbeat_at: Seconds | None = None
    last_echo: int = 0
    echo_at: Seconds = 0.0
    live: bool = False


@dataclass(slots=True)
class InstancesState:
    """State of the controller: this instance's view of the other instances.

    Parameters
    ----------
    in_service_since
        Unix time in milliseconds; reset after a pause and when this instance
        becomes isolated.
    awake_since
        Unix time in seconds of the first tick after the start or a pause.
    discovery_done
        Whether all other instances of the zone were heard, or the time to wait for them
        is over.
    isolated
        Whether this instance is connected to less than half of its zone. True until the
        first check after a start or a pause.
    pending_flushes
        Requests to answer once the peers have echoed a sequence number.
    sequence, first_sequence
        Number of the last heartbeat, and the number before the first one. No other
        process of this instance uses the numbers between them.
    """

    settings: Settings
    incarnation: int
    in_service_since: int = 0
    peers_by_id: dict[InstanceId, PeerView] = field(default_factory=dict)
    sequence: int = field(default_factory=choose_first_number)
    next_heartbeat: Seconds = 0.0
    awake_since: Seconds | None = None
    discovery_done: bool = False
    isolated: bool = True
    placer: InstanceId | None = None
    configuration_version: int = 0
    backend_servers: int = 0
    stopping: bool = False
    pending_flushes: list[tuple[ReplyTo | None, int]] = field(default_factory=list)
    jitter: random.Random = field(default_factory=random.Random)
    first_sequence: int = field(init=False)

    def __post_init__(self) -> None:
        self.first_sequence = self.sequence
        self.in_service_since = self.in_service_since or self.incarnation


@singledispatch
def handle(message: Any, state: InstancesState, now: Seconds) -> list[Effect]:
    """Apply one message to the view of the instances."""
    raise TypeError(f"instances controller cannot handle {message!r}")


@handle.register
def _(message: Tick, state: InstancesState, now: Seconds) -> list[Effect]:
    if state.awake_since is None:
        state.awake_since = now
    _add_missing_peers(state, now)
    effects = _check_peers(state, now)
    effects += _check_role(state, now)
    effects += _answer_flushes(state)
    if now >= state.next_heartbeat:
        effects += _send_heartbeats(state, now)
    return effects


def _add_missing_peers(state: InstancesState, now: Seconds) -> None:
    """Add the peers of the settings, which none but this instance may ever contact."""
    if len(state.peers_by_id) >= len(state.settings.peers_by_id) - 1:
        return
    silence = state.settings.timing.instance_silence
    for peer_id in state.settings.peers_by_id:
        if peer_id != state.settings.id:
            state.peers_by_id.setdefault(peer_id, PeerView(now, silence))


def _check_peers(state: InstancesState, now: Seconds) -> list[Effect]:
    silence = state.settings.timing.instance_silence
    effects: list[Effect] = []
    for peer_id, view in state.peers_by_id.items():
        live = membership.is_live(view.last_heartbeat_at, now, silence)
        if view.live and not live:
            effects.append(LogEvent("instance_lost", {"peer": peer_id}))
        view.live = live
        if _is_lost(view, state, now):
            # Repeated on every tick, so that requests sent after the loss are abandoned
            # too.
            effects.append(AbandonRequests(peer_id))
        if now - max(view.echo_at, view.link_opened_at) > view.link_timeout:
            # This includes peers that are not heard: such a peer may itself be waiting
            # for this link to be replaced.
            view.link_opened_at = now
            view.link_timeout = silence * state.jitter.uniform(1, 2)
            effects.append(Reconnect(peer_id))
            if live:
                effects.append(LogEvent("link_silent", {"peer": peer_id}))
    return effects


def _is_lost(view: PeerView, state: InstancesState, now: Seconds) -> bool:
    silent_since = max(view.last_heartbeat_at or 0.0, state.awake_since or now)
    return now - silent_since > state.settings.timing.instance_silence


def _check_role(state: InstancesState, now: Seconds) -> list[Effect]:
    """Update discovery and isolation, and report a change of placer to the pool."""
    silence = state.settings.timing.instance_silence
    zone_peers = [
        view
        for peer_id, view in state.peers_by_id.items()
        if state.settings.peers_by_id[peer_id].zone == state.settings.zone
    ]
    if all(view.live for view in zone_peers) or now - state.awake_since > silence:
        state.discovery_done = True
    connected = sum(view.live and now - view.echo_at <= silence for view in zone_peers)
    isolated = membership.is_isolated(connected + 1, len(zone_peers) + 1)
    effects: list[Effect] = []
    if isolated and not state.isolated:
        # The others have chosen another placer, which keeps the role when this
        # instance is connected again.
        state.in_service_since = _to_milliseconds(now)
        effects.append(LogEvent("isolated", {"connected": connected}))
    state.isolated = isolated
    return effects + _report_placer(state, now)


def _report_placer(state: InstancesState, now: Seconds) -> list[Effect]:
    candidates = _list_candidates(state, now)
    found = membership.find_placer(state.settings.zone, candidates)
    placer = None if found is None else found.id
    if placer == state.placer:
        return []
    state.placer = placer
    return [
        Send(Address(state.settings.id, "backend_servers"), PlacerChanged(placer)),
        LogEvent("placer_changed", {"placer": placer, "candidates": len(candidates)}),
    ]


def _to_milliseconds(now: Seconds) -> int:
    return int(now * 1000)


def _send_heartbeats(state: InstancesState, now: Seconds) -> list[Effect]:
    interval = state.settings.timing.heartbeat_interval
    spread = state.jitter.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
    state.next_heartbeat = now + interval * spread
    state.sequence += 1
    return [
        Send(Address(peer_id, "instances"), _make_heartbeat(view, state))
        for peer_id, view in state.peers_by_id.items()
    ]


def _make_heartbeat(view: PeerView, state: InstancesState) -> Heartbeat:
    return Heartbeat(
        instance=state.settings.id,
        zone=state.settings.zone,
        incarnation=state.incarnation,
        in_service_since=state.in_service_since,
        sequence=state.sequence,
        echo=0 if view.heartbeat is None else view.heartbeat.sequence,
        configuration_version=state.configuration_version,
        backend_servers=state.backend_servers,
        stopping=state.stopping,
    )


@handle.register
def _(message: Heartbeat, state: InstancesState, now: Seconds) -> list[Effect]:
    if message.instance not in state.settings.peers_by_id:
        return [LogEvent("unknown_instance", {"peer": message.instance})]
    silence = state.settings.timing.instance_silence
    view = state.peers_by_id.setdefault(message.instance, PeerView(now, silence))
    known = view.heartbeat
    if known is not None and not _is_newer(message, view, state, now):
        return []
    effects: list[Effect] = []
    restarted = known is not None and known.incarnation != message.incarnation
    if restarted:
        effects.append(AbandonRequests(message.instance))
    if known is None or restarted or not view.live:
        fields = {"peer": message.instance, "incarnation": message.incarnation}
        effects.append(LogEvent("instance_heard", fields))
    view.heartbeat = message
    view.last_heartbeat_at = now
    view.live = True
    if restarted:
        view.last_echo, view.echo_at = 0, now
    if _is_new_echo(message.echo, view, state):
        view.last_echo, view.echo_at = message.echo, now
        view.link_timeout = silence
    effects += _report_newer_configuration(message, state)
    return effects + _answer_flushes(state)


def _is_new_echo(echo: int, view: PeerView, state: InstancesState) -> bool:
    """Return whether an echo names a later heartbeat of this process.

    Other numbers belong to an earlier process of this instance.
    """
    last = max(view.last_echo, state.first_sequence)
    return last < echo <= state.sequence


def _report_newer_configuration(
    heartbeat: Heartbeat, state: InstancesState
) -> list[Effect]:
    version = heartbeat.configuration_version
    if version <= state.configuration_version:
        return []
    newer = NewerConfiguration(heartbeat.instance, version)
    return [Send(Address(state.settings.id, "configuration"), newer)]


def _is_newer(
    message: Heartbeat, view: PeerView, state: InstancesState, now: Seconds
) -> bool:
    """Return whether a heartbeat is newer than the known one, and not a delayed one.

    A lower incarnation is accepted once the higher one is lost: the clock of a machine
    may have been set back between two starts.
    """
    known = view.heartbeat
    if message.incarnation == known.incarnation:
        return message.sequence > known.sequence
    return message.incarnation > known.incarnation or _is_lost(view, state, now)


@handle.register
def _(message: ChoosePlacer, state: InstancesState, now: Seconds) -> list[Effect]:
    candidates = _list_candidates(state, now)
    placer = membership.choose_placer(message.zone, candidates, message.for_jobs)
    return [Reply(message.reply_to, _describe(placer, message.zone, len(candidates)))]


def _describe(
    placer: PlacerCandidate | None, zone: ZoneId, candidates: int
) -> PlacerChosen:
    if placer is None:
        return PlacerChosen(None, 0, candidates, f"no instance places for zone {zone}")
    reason = "longest_in_service" if placer.zone == zone else "other_zone"
    return PlacerChosen(placer.id, placer.incarnation, candidates, reason)


def _list_candidates(state: InstancesState, now: Seconds) -> list[PlacerCandidate]:
    """List the live instances; the list is empty until discovery is done."""
    return _list_live(state, now) if state.discovery_done else []


def _list_live(state: InstancesState, now: Seconds) -> list[PlacerCandidate]:
    silence = state.settings.timing.instance_silence
    peers = [
        PlacerCandidate(
            peer_id,
            view.heartbeat.zone,
            view.heartbeat.incarnation,
            view.heartbeat.in_service_since,
            view.heartbeat.backend_servers,
            view.heartbeat.stopping,
        )
        for peer_id, view in state.peers_by_id.items()
        if membership.is_live(view.last_heartbeat_at, now, silence)
    ]
    return [_describe_self(state), *peers]


def _describe_self(state: InstancesState) -> PlacerCandidate:
    return PlacerCandidate(
        state.settings.id,
        state.settings.zone,
        state.incarnation,
        state.in_service_since,
        state.backend_servers,
        state.stopping,
    )


@handle.register
def _(message: ListInstances, state: InstancesState, now: Seconds) -> list[Effect]:
    candidates = _list_live(state, now)
    records = tuple(
        {
            "id": candidate.id,
            "availability_zone": candidate.zone,
            "incarnation": candidate.incarnation,
            "backend_servers": candidate.backend_servers,
            "stopping": candidate.stopping,
        }
        for candidate in candidates
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
def _(message: Drain, state: InstancesState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(0))]


@handle.register
def _(message: Flush, state: InstancesState, now: Seconds) -> list[Effect]:
    """Send heartbeats after all earlier messages; their echo confirms the arrival."""
    effects = _send_heartbeats(state, now)
    state.pending_flushes.append((message.reply_to, state.sequence))
    return effects + _answer_flushes(state)


def _answer_flushes(state: InstancesState) -> list[Effect]:
    if not state.pending_flushes:
        return []
    echoed = min(
        (view.last_echo for view in state.peers_by_id.values() if view.live),
        default=state.sequence,
    )
    ended = [to for to, sequence in state.pending_flushes if sequence <= echoed]
    state.pending_flushes = [
        entry for entry in state.pending_flushes if entry[1] > echoed
    ]
    return [Reply(to, Flushed()) for to in ended]


@handle.register
def _(message: WokeUp, state: InstancesState, now: Seconds) -> list[Effect]:
    """Discard what was heard before the pause; new heartbeats show who is live."""
    state.in_service_since = _to_milliseconds(now)
    state.awake_since = now
    state.discovery_done = False
    state.isolated = True
    for view in state.peers_by_id.values():
        view.last_heartbeat_at = None
        view.live = False
        view.link_opened_at = now
    fields = {"seconds": now - message.asleep_since}
    return [LogEvent("woke_up", fields), *_report_placer(state, now)]
