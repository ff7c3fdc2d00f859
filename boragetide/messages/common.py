"""Messages that every controller handles, and the base class of requests."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from boragetide.types import ReplyTo, Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A message that is answered with a `Reply` effect."""

    reply_to: ReplyTo | None = None


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic message on which a controller checks its own timers."""


@dataclass(frozen=True, slots=True)
class WokeUp:
    """The process was suspended or blocked from ``asleep_since`` until now."""

    asleep_since: Seconds


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop began: accept no new work and finish the work in progress."""


@dataclass(frozen=True, slots=True)
class Drain(Request):
    """Asks a controller of a stopping instance how much work it has left."""


@dataclass(frozen=True, slots=True)
class DrainState:
    """Number of work items that a controller must finish before the process exits."""

    remaining: int


@singledispatch
def add_arrival_time(message: Any, now: Seconds) -> Any:
    """Return a message with its arrival time added, if its type has one."""
    return message
