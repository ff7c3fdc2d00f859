"""Membership as one instance sees it."""

from __future__ import annotations

import pytest

from boragetide.controllers.instances import InstancesState, handle
from boragetide.effects import AbandonRequests, Effect, Reconnect, Reply, Send
from boragetide.messages import Flush, Flushed, Heartbeat, Tick, WokeUp
from boragetide.settings import Settings
from boragetide.types import ReplyTo

STARTED = 1_000_000.0  # Unix time in seconds


@pytest.fixture
def view(settings: Settings) -> InstancesState:
    """State of the placer ``a1`` after heartbeats from ``a2`` and ``a3``."""
    state = InstancesState(settings, int(STARTED * 1000))
    advance(state, STARTED, STARTED + 1.0)
    return state


def deliver_heartbeat(
    state: InstancesState, peer: str, now: float, *, echo: int = 0, **changes: int
) -> list[Effect]:
    """Deliver a heartbeat; its sequence number is its time in milliseconds."""
    started = int(STARTED * 1000) + 1
    fields = {"incarnation": started, "in_service_since": started}
    fields |= {"sequence": int(now * 1000), "configuration_version": 0, **changes}
    message = Heartbeat(peer, "a", echo=echo, backend_servers=0, **fields)
    return handle(message, state, now)


def advance(
    state: InstancesState,
    start: float,
    end: float,
    peers: tuple[str, ...] = ("a2", "a3"),
) -> list[Effect]:
    """Tick from ``start`` to ``end`` while some peers send heartbeats with echoes."""
    effects: list[Effect] = []
    for step in range(round((end - start) / 0.1)):
        now = start + 0.1 * step
        effects += handle(Tick(), state, now)
        for peer in peers:
            effects += deliver_heartbeat(state, peer, now, echo=state.sequence)
    return effects


def test_isolated_placer_loses_the_role_permanently(view: InstancesState) -> None:
    """Guards against a placer role that moves back when a partition heals."""
    assert view.placer == "a1"
    advance(view, STARTED + 1.0, STARTED + 9.0, peers=())
    assert view.placer == "a1"
    advance(view, STARTED + 9.0, STARTED + 9.3)
    assert view.placer == "a2"


def test_resumed_placer_loses_the_role_permanently(view: InstancesState) -> None:
    """Guards against a paused placer that continues after others have replaced it."""
    handle(WokeUp(STARTED + 1.0), view, STARTED + 9.0)
    assert view.placer is None
    advance(view, STARTED + 9.0, STARTED + 9.3)
    assert view.placer == "a2"


def test_delayed_heartbeat_does_not_count_as_heard(view: InstancesState) -> None:
    """Guards against a dead peer that counts as live because of delayed messages."""
    heard = view.peers_by_id["a2"].last_heartbeat_at
    assert deliver_heartbeat(view, "a2", STARTED + 0.5) == []
    assert view.peers_by_id["a2"].last_heartbeat_at == heard


def test_restarted_peer_with_a_clock_set_back_is_heard(view: InstancesState) -> None:
    """Guards against ignoring a restarted peer until its clock has caught up."""
    old = int(STARTED * 1000) - 60_000
    later = STARTED + 4.0
    assert deliver_heartbeat(view, "a2", STARTED + 1.5, incarnation=old) == []
    assert AbandonRequests("a2") in deliver_heartbeat(
        view, "a2", later, incarnation=old
    )
    assert view.peers_by_id["a2"].last_heartbeat_at == later


def test_echo_of_an_earlier_incarnation_is_no_echo(settings: Settings) -> None:
    """Guards against replacing a link repeatedly after a restart."""
    state = InstancesState(settings, int(STARTED * 1000))
    handle(Tick(), state, STARTED)
    deliver_heartbeat(state, "a2", STARTED, echo=500)
    effects = advance(state, STARTED + 0.1, STARTED + 5.0)
    assert not [effect for effect in effects if isinstance(effect, Reconnect)]


def test_link_without_echo_is_replaced_though_its_peer_is_silent(
    view: InstancesState,
) -> None:
    """Guards against two peers that wait for each other behind silent links."""
    effects = advance(view, STARTED + 1.0, STARTED + 3.3, peers=("a3",))
    assert Reconnect("a2") in effects
    assert Reconnect("a3") not in effects


def test_requests_to_a_lost_peer_end_on_each_tick(view: InstancesState) -> None:
    """Guards against a request that never ends because it was sent to a lost peer."""
    advance(view, STARTED + 1.0, STARTED + 4.0, peers=("a3",))
    assert AbandonRequests("a2") in handle(Tick(), view, STARTED + 4.0)


def test_flush_ends_once_every_live_peer_has_echoed_it(view: InstancesState) -> None:
    """Guards against an exit that loses replies in transit."""
    asked = ReplyTo("a1", 1)
    now = STARTED + 1.0
    assert Reply(asked, Flushed()) not in handle(Flush(reply_to=asked), view, now)
    assert Reply(asked, Flushed()) not in deliver_heartbeat(
        view, "a2", now, echo=view.sequence
    )
    assert Reply(asked, Flushed()) in deliver_heartbeat(
        view, "a3", now, echo=view.sequence
    )


def test_instance_that_was_paused_before_its_first_tick_contacts_its_peers(
    settings: Settings,
) -> None:
    """Guards against two instances that never hear each other after a pause."""
    state = InstancesState(settings, int(STARTED * 1000))
    handle(WokeUp(STARTED), state, STARTED + 10.0)
    effects = handle(Tick(), state, STARTED + 10.0)
    sent = [each for each in effects if isinstance(each, Send)]
    asked = {each.to.instance for each in sent if isinstance(each.message, Heartbeat)}
    assert asked == {"a2", "a3"}


def test_echo_of_an_earlier_process_ends_no_flush(settings: Settings) -> None:
    """Guards against an exit that loses replies: peers echo the last process."""
    asked = ReplyTo("a1", 1)
    earlier = InstancesState(settings, int(STARTED * 1000) - 5_000)
    handle(Tick(), earlier, STARTED)
    state = InstancesState(settings, int(STARTED * 1000))
    for peer in ("a2", "a3"):
        deliver_heartbeat(state, peer, STARTED)
    effects = handle(Flush(reply_to=asked), state, STARTED)
    now = STARTED + 0.1
    for peer in ("a2", "a3"):
        effects += deliver_heartbeat(state, peer, now, echo=earlier.sequence)
    assert Reply(asked, Flushed()) not in effects
    now = STARTED + 0.2
    for peer in ("a2", "a3"):
        effects += deliver_heartbeat(state, peer, now, echo=state.sequence)
    assert Reply(asked, Flushed()) in effects
