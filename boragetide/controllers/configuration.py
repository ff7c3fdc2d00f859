"""The configuration in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from boragetide.effects import Effect, Reply
from boragetide.messages import (
    ConfigurationChanged,
    Drain,
    DrainState,
    FetchConfiguration,
    StopRequested,
    Tick,
    WokeUp,
)
from boragetide.settings import Settings
from boragetide.types import Configuration, Seconds


@dataclass(slots=True)
class ConfigurationState:
    """The configuration that this instance puts in force."""

    settings: Settings
    incarnation: int
    configuration: Configuration = field(default_factory=Configuration)


@singledispatch
def handle(message: Any, state: ConfigurationState, now: Seconds) -> list[Effect]:
    """Apply one message to the configuration."""
    raise TypeError(f"configuration controller cannot handle {message!r}")


@handle.register
def _(
    message: FetchConfiguration, state: ConfigurationState, now: Seconds
) -> list[Effect]:
    return [Reply(message.reply_to, ConfigurationChanged(state.configuration))]


@handle.register
def _(message: Drain, state: ConfigurationState, now: Seconds) -> list[Effect]:
    return [Reply(message.reply_to, DrainState(0))]


@handle.register(Tick)
@handle.register(WokeUp)
@handle.register(StopRequested)
def _(message: Any, state: ConfigurationState, now: Seconds) -> list[Effect]:
    return []
