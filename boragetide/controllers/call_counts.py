"""Numbers of unanswered calls to backend servers, by what was done about them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from boragetide.types import BackendServerId


class Call(StrEnum):
    """Kind of a call to a backend server."""

    START = "start"
    STOP = "stop"
    LIST = "list"


class Reaction(StrEnum):
    """What the leader does about an unanswered call."""

    REPEATED = "repeated"  # sent again at once
    DELAYED = "delayed"  # sent again after a pause
    STOPPED = "stopped"  # the run is stopped
    NONE = "none"  # the run is known to have begun, or its stop was answered


@dataclass(slots=True)
class UnansweredCalls:
    """Numbers of unanswered calls since the last log line."""

    by_server: dict[BackendServerId, int] = field(default_factory=dict)
    by_call: dict[Call, int] = field(default_factory=dict)
    by_reaction: dict[Reaction, int] = field(default_factory=dict)
