"""Answers to questions about the configuration."""

from __future__ import annotations

from dataclasses import replace

from boragetide.controllers.configuration_state import (
    ConfigurationState,
    is_current_leader,
)
from boragetide.effects import Effect, Reply, Send
from boragetide.messages import (
    AskConfirmation,
    ConfigurationChanged,
    ConfigurationRead,
    FetchConfiguration,
    History,
    ListHistory,
    ReadConfiguration,
    ReadZone,
    VersionConfirmed,
    ZoneRead,
)
from boragetide.types import Address, Configuration, Seconds


def fetch_configuration(
    message: FetchConfiguration, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Answer with the configuration in force on this instance."""
    in_force = state.distribution.in_force
    changed = ConfigurationChanged(in_force or Configuration(), in_force is not None)
    return [Reply(message.reply_to, changed)]


def read_configuration(
    message: ReadConfiguration, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Answer with the configuration only if no other leader can have a newer one."""
    replica = state.member
    if replica is None:
        return [Reply(message.reply_to, ConfigurationRead(None))]
    newest = None
    if state.leadership.announced_term and now < replica.authority_until(now):
        newest = state.distribution.in_force
    if newest is None:
        return [Reply(message.reply_to, ConfigurationRead(None, replica.leader))]
    content: Configuration | None = newest
    if message.held is not None and (
        message.held == newest.version or not state.leadership.content.is_small(newest)
    ):
        content = None
    read = ConfigurationRead(content, replica.leader, newest.version)
    return [Reply(message.reply_to, read)]


def read_zone(
    message: ReadZone, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Answer with the state of a zone only if no other leader can have a newer one."""
    replica = state.member
    if replica is None or not is_current_leader(state, now):
        leader = None if replica is None else replica.leader
        return [Reply(message.reply_to, ZoneRead(None, leader=leader))]
    catalogue = replica.catalogue
    read = ZoneRead(
        catalogue.order_by_zone.get(message.zone, 0),
        message.zone in catalogue.configuration.evacuated_zones,
        replica.leader,
    )
    return [Reply(message.reply_to, read)]


def confirm_version(
    message: AskConfirmation, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Confirm the newest version, or pass the question on to the leader once."""
    if not is_current_leader(state, now):
        return _forward_question(message, state)
    version = state.distribution.version
    answer = VersionConfirmed(state.settings.id, message.number, version)
    return [Send(Address(message.sender, "configuration"), answer)]


def _forward_question(
    message: AskConfirmation, state: ConfigurationState
) -> list[Effect]:
    leader = None if state.member is None else state.member.leader
    if message.forwarded or leader in (None, state.settings.id):
        return []
    onward = replace(message, forwarded=True)
    return [Send(Address(leader, "configuration"), onward)]


def list_history(
    message: ListHistory, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    """Answer with the newest accepted commands of the operators."""
    if state.replica is None:
        return [Reply(message.reply_to, History(-1, ()))]
    catalogue = state.replica.catalogue
    newest = tuple(reversed(catalogue.history[-message.limit :]))
    return [Reply(message.reply_to, History(catalogue.configuration.version, newest))]
