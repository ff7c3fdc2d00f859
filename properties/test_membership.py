"""Controllers of instances over lossy links: agreement and bounded waits."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from boragetide.controllers import instances
from boragetide.effects import AbandonRequests, Effect, Reconnect, Send
from boragetide.messages import Heartbeat, StopRequested, Tick, WokeUp
from boragetide.policy.membership import find_placer
from boragetide.tests.conftest import make_settings

ZONES_BY_ID = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
TICK_INTERVAL = 0.1  # seconds between ticks
QUIET_PERIOD = 10.0  # seconds without faults after which all instances must agree
LOSS_RATE = 0.2  # share of messages that a lossy link drops

ids = st.sampled_from(sorted(ZONES_BY_ID))
links = st.tuples(ids, ids).filter(lambda ends: ends[0] != ends[1])


class MembershipMachine(RuleBasedStateMachine):
    """Five instances that are frozen, restarted and cut off from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000_000.0
        self.random = random.Random(0)
        self.cut: set[tuple[str, str]] = set()
        self.silent_links: set[tuple[str, str]] = set()
        self.lossy_links: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.handled_at: dict[str, float] = {}
        self.states_by_id: dict[str, instances.InstancesState] = {}
        for instance in ZONES_BY_ID:
            self.start(instance)

    def start(self, instance: str) -> None:
        self.now += 0.05
        settings = make_settings(instance, ZONES_BY_ID)
        state = instances.InstancesState(settings, int(self.now * 1000))
        state.jitter.seed(instance)
        self.states_by_id[instance] = state
        self.handled_at[instance] = self.now

    @property
    def instance_silence(self) -> float:
        return self.states_by_id["a1"].settings.timing.instance_silence

    def handle(self, instance: str, message: object) -> list[Effect]:
        state = self.states_by_id[instance]
        effects: list[Effect] = []
        asleep_since = self.handled_at[instance]
        if self.now - asleep_since > self.instance_silence:
            effects += instances.handle(WokeUp(asleep_since), state, self.now)
        self.handled_at[instance] = self.now
        effects += instances.handle(message, state, self.now)
        self.execute_effects(instance, effects)
        return effects

    def execute_effects(self, instance: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Reconnect):
                self.silent_links.discard((instance, effect.instance))
            if isinstance(effect, Send) and isinstance(effect.message, Heartbeat):
                self.deliver((instance, effect.to.instance), effect.message)

    def deliver(self, link: tuple[str, str], message: Heartbeat) -> None:
        lost = link in self.lossy_links and self.random.random() < LOSS_RATE
        if lost or link in self.cut | self.silent_links or link[1] in self.frozen:
            return
        self.handle(link[1], message)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.5, 5.0]))
    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_INTERVAL)):
            self.now += TICK_INTERVAL
            for instance in ZONES_BY_ID:
                if instance not in self.frozen:
                    self.check_waits(instance, self.handle(instance, Tick()))

    def check_waits(self, instance: str, effects: list[Effect]) -> None:
        """Check that requests to an instance silent for too long are abandoned."""
        state = self.states_by_id[instance]
        abandoned = {e.instance for e in effects if isinstance(e, AbandonRequests)}
        for peer, view in state.peers_by_id.items():
            quiet_since = max(view.last_heartbeat_at or 0.0, state.awake_since)
            if self.now - quiet_since > self.instance_silence:
                assert peer in abandoned

    @rule(link=links)
    def cut_link(self, link: tuple[str, str]) -> None:
        self.cut.add(link)

    @rule(zone=st.sampled_from("ab"))
    def cut_zone(self, zone: str) -> None:
        for here, own in ZONES_BY_ID.items():
            self.cut |= {(here, to) for to, z in ZONES_BY_ID.items() if z != own}

    @rule(instance=ids)
    def cut_instance(self, instance: str) -> None:
        others = set(ZONES_BY_ID) - {instance}
        self.cut |= {(instance, other) for other in others}
        self.cut |= {(other, instance) for other in others}

    @rule(link=links)
    def silence_link(self, link: tuple[str, str]) -> None:
        self.silent_links.add(link)

    @rule(link=links)
    def make_lossy(self, link: tuple[str, str]) -> None:
        self.lossy_links.add(link)

    @rule()
    def heal(self) -> None:
        self.cut.clear()
        self.lossy_links.clear()

    @rule(instance=ids)
    def restart(self, instance: str) -> None:
        self.frozen.discard(instance)
        self.start(instance)

    @rule(instance=ids)
    def freeze(self, instance: str) -> None:
        self.frozen.add(instance)

    @rule(instance=ids)
    def resume(self, instance: str) -> None:
        if instance in self.frozen:
            self.frozen.discard(instance)
            self.handle(instance, Tick())

    @rule(instance=ids)
    def stop(self, instance: str) -> None:
        if instance not in self.frozen:
            self.handle(instance, StopRequested())

    @rule()
    def quiet(self) -> None:
        """Check that after `QUIET_PERIOD` without faults all agree on live placers."""
        self.heal()
        for instance in sorted(self.frozen):
            self.resume(instance)
        self.advance(QUIET_PERIOD)
        for zone in "ab":
            able = [
                instance
                for instance, state in self.states_by_id.items()
                if ZONES_BY_ID[instance] == zone and not state.stopping
            ]
            placers = {
                getattr(find_placer(zone, self.list_candidates(instance)), "id", None)
                for instance in ZONES_BY_ID
            }
            assert len(placers) == 1
            assert placers <= (set(able) or {None})
        assert not self.silent_links

    def list_candidates(self, instance: str) -> list[object]:
        return instances._list_candidates(self.states_by_id[instance], self.now)

    @invariant()
    def live_marks_are_bounded(self) -> None:
        for instance, state in self.states_by_id.items():
            if instance in self.frozen:
                continue
            for candidate in self.list_candidates(instance):
                if candidate.id != instance:
                    heard = state.peers_by_id[candidate.id].last_heartbeat_at
                    assert self.now - heard <= self.instance_silence
            marked = [view for view in state.peers_by_id.values() if view.live]
            for view in marked:
                assert (
                    self.now - view.last_heartbeat_at
                    <= self.instance_silence + TICK_INTERVAL
                )

    def teardown(self) -> None:
        self.quiet()


TestMembership = MembershipMachine.TestCase
