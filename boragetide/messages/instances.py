"""Messages of the controller ``instances``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from boragetide.messages.common import Request
from boragetide.types import InstanceId, ZoneId


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that an instance lives and what it has heard.

    Parameters
    ----------
    in_service_since
        Unix time in milliseconds; the longest in service of a zone is its placer.
    sequence
        Counts this sender's heartbeats.
    echo
        Last sequence number that the sender heard from the receiver.
    """

    instance: InstanceId
    zone: ZoneId
    incarnation: int
    in_service_since: int
    sequence: int
    echo: int
    configuration_version: int
    backend_servers: int
    stopping: bool = False


@dataclass(frozen=True, slots=True)
class ChoosePlacer(Request):
    """Asks for the placer of a zone; answered with `PlacerChosen`.

    Parameters
    ----------
    for_jobs
        Whether another zone's placer may be chosen where this zone has no backend
        servers; announcements always go to the zone's own placer.
    """

    zone: ZoneId
    for_jobs: bool = True


@dataclass(frozen=True, slots=True)
class PlacerChosen:
    """The placer for a zone, or ``None`` where no instance qualifies."""

    placer: InstanceId | None
    incarnation: int
    candidates: int
    reason: str


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Number of live backend servers this instance leases."""

    backend_servers: int


@dataclass(frozen=True, slots=True)
class Flush(Request):
    """Answered with `Flushed` once the peers have read all that was sent before."""


@dataclass(frozen=True, slots=True)
class Flushed:
    """Every live peer has read what this instance had sent."""


@dataclass(frozen=True, slots=True)
class ListInstances(Request):
    """Asks for this instance's view of all instances."""


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The instances that one instance sees, as plain records for operators."""

    instances: tuple[dict[str, Any], ...]
