"""Confirmations that the configuration in force on an instance is the newest.

An instance notes the time when it asks, and the leader of group 0 answers only while no
other instance can lead. If the instance then has the version that the leader names,
nothing newer was committed at the time of the question. Clocks of two instances are
never compared.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from boragetide.effects import Effect, Send
from boragetide.messages import (
    AskConfirmation,
    ConfigurationConfirmed,
    VersionConfirmed,
)
from boragetide.policy.process_numbers import choose_first_number
from boragetide.settings import Settings
from boragetide.types import Address, Configuration, InstanceId, Seconds

ASK_INTERVAL: Seconds = 0.3
# The leader confirms its own view to the controllers of its instance this often.
OWN_INTERVAL: Seconds = 0.2
# Without an answer for this long, an instance asks all members that it knows.
LEADER_SILENCE: Seconds = 0.7
MAX_OPEN_QUESTIONS = 16
# Answers kept for versions that are not in force yet; the oldest is dropped first.
MAX_UNMET_ANSWERS = 16
INFORMED_CONTROLLERS = frozenset({"backend_servers", "dispatcher"})


@dataclass(slots=True)
class UnmetAnswers:
    """Answers that named a version which was not in force when they arrived.

    Under frequent changes, each answer may name a version that arrives just after it.

    Parameters
    ----------
    entries
        Pairs of the version and the time of the question, oldest first.
    """

    entries: list[tuple[int, Seconds]] = field(default_factory=list)

    def add(self, version: int, asked_at: Seconds) -> None:
        """Keep an answer until its version is in force."""
        self.entries = [*self.entries, (version, asked_at)][-MAX_UNMET_ANSWERS:]

    def take_met(self, version: int) -> Seconds | None:
        """Remove the answers that a version meets; return when the newest was asked."""
        met = [asked_at for named, asked_at in self.entries if named <= version]
        self.entries = [each for each in self.entries if each[0] > version]
        return max(met, default=None)


@dataclass(slots=True)
class Confirmations:
    """State of the questions of one instance.

    Parameters
    ----------
    confirmed_at
        Newest time as of which the configuration in force was the newest.
    asked_at_by_number
        Time of each question that has no answer yet, oldest first.
    unmet
        Answers that named a newer version than the one in force.
    next_number
        Number of the next question. No other process of this instance uses it.
    leader, leader_answered_at
        Instance that answered last, and the time of its answer.
    """

    settings: Settings
    confirmed_at: Seconds = 0.0
    asked_at_by_number: OrderedDict[int, Seconds] = field(default_factory=OrderedDict)
    unmet: UnmetAnswers = field(default_factory=UnmetAnswers)
    next_number: int = field(default_factory=choose_first_number)
    next_ask_at: Seconds = 0.0
    leader: InstanceId | None = None
    leader_answered_at: Seconds = 0.0

    def is_needed(self, in_force: Configuration | None) -> bool:
        """Return whether anything on this instance depends on confirmations."""
        if self.settings.group != 0 or not self._list_informed():
            return False
        is_used = in_force is not None and in_force.evacuation_used
        return self.settings.evacuation or is_used

    def inform(self, in_force: Configuration | None) -> list[Effect]:
        """Tell the controllers of this instance that start tasks."""
        version = -1 if in_force is None else in_force.version
        confirmed = ConfigurationConfirmed(version, self.confirmed_at)
        own = self.settings.id
        return [Send(Address(own, name), confirmed) for name in self._list_informed()]

    def _list_informed(self) -> list[str]:
        return [
            name
            for name in self.settings.configuration_subscribers
            if name.partition(".")[0] in INFORMED_CONTROLLERS
        ]


def confirm_own(
    state: Confirmations, in_force: Configuration | None, now: Seconds
) -> list[Effect]:
    """Confirm the view of the leader itself, which has authority now."""
    if now - state.confirmed_at < OWN_INTERVAL or not state.is_needed(in_force):
        return []
    state.confirmed_at = now
    return state.inform(in_force)


def ask_leader(
    state: Confirmations,
    in_force: Configuration | None,
    leader: InstanceId | None,
    now: Seconds,
) -> list[Effect]:
    """Ask for a confirmation if it is time.

    Parameters
    ----------
    leader
        Leader that the own member of the log knows, if there is one.
    """
    if now < state.next_ask_at or not state.is_needed(in_force):
        return []
    state.next_ask_at = now + ASK_INTERVAL
    number = state.next_number
    state.next_number += 1
    state.asked_at_by_number[number] = now
    while len(state.asked_at_by_number) > MAX_OPEN_QUESTIONS:
        state.asked_at_by_number.popitem(last=False)
    question = AskConfirmation(state.settings.id, number)
    asked = _choose_asked(state, leader, now)
    return [Send(Address(each, "configuration"), question) for each in asked]


def _choose_asked(
    state: Confirmations, leader: InstanceId | None, now: Seconds
) -> list[InstanceId]:
    """Return the leader, or all members that may know better while it is silent."""
    is_silent = now - state.leader_answered_at > LEADER_SILENCE
    known = {leader or state.leader} - {None}
    if is_silent or not known:
        known |= {*state.settings.initial_members, *state.settings.contacts}
    return sorted(known - {state.settings.id})


def record_answer(
    state: Confirmations,
    message: VersionConfirmed,
    in_force: Configuration | None,
    now: Seconds,
) -> list[Effect]:
    """Record an answer, which counts once the version that it names is in force."""
    asked_at = state.asked_at_by_number.pop(message.number, None)
    if asked_at is None:
        return []
    state.leader, state.leader_answered_at = message.sender, now
    state.unmet.add(message.version, asked_at)
    return confirm_met(state, in_force)


def confirm_met(state: Confirmations, in_force: Configuration | None) -> list[Effect]:
    """Confirm the view by the answers whose version is in force by now."""
    met_at = state.unmet.take_met(-1 if in_force is None else in_force.version)
    if met_at is None or met_at <= state.confirmed_at:
        return []
    state.confirmed_at = met_at
    return state.inform(in_force)
