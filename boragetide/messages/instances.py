"""Messages of the controller ``instances``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from boragetide.messages.common import Request
from boragetide.types import InstanceId, ZoneId


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message that an instance is alive, with its state and load.

    Parameters
    ----------
    in_service_since
        Unix time in milliseconds; the instance of a zone that has been in service
        longest is its placer.
    sequence
        Sequence number of this heartbeat at the sender.
    echo
        Last sequence number that the sender has received from the receiver.
    configuration_version
        Version of the configuration in force at the sender.
    backend_servers
        Number of live backend servers that the sender leases.
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
        Whether another zone's placer may be chosen if this zone has no backend
        servers; announcements always go to the zone's own placer.
    """

    zone: ZoneId
    for_jobs: bool = True


@dataclass(frozen=True, slots=True)
class PlacerChosen:
    """The placer for a zone, or ``None`` if no instance qualifies."""

    placer: InstanceId | None
    incarnation: int
    candidates: int
    reason: str


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Number of live backend servers that this instance leases."""

    backend_servers: int


@dataclass(frozen=True, slots=True)
class Flush(Request):
    """Answered with `Flushed` once the peers have read all earlier messages."""


@dataclass(frozen=True, slots=True)
class Flushed:
    """All live peers have read the messages sent before the `Flush`."""


@dataclass(frozen=True, slots=True)
class ListInstances(Request):
    """Asks for this instance's view of all instances."""


@dataclass(frozen=True, slots=True)
class InstanceList:
    """One instance's view of all instances, as plain records shown to operators."""

    instances: tuple[dict[str, Any], ...]
