"""Settings of one daemon: INI text, validated once, then passed whole."""

from __future__ import annotations

import configparser
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from boragetide.errors import SettingsError
from boragetide.types import InstanceId, Seconds, ZoneId

_PEER_PREFIX = "peer "
_UNITS_IN_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}

EMBEDDED_DEFAULT = """
[instance]
id = local
availability-zone = local
http-address = 127.0.0.1:8080
peer-address = 127.0.0.1:8090
disk = yes
data-folder = data
"""


@dataclass(frozen=True, slots=True)
class Peer:
    """An instance of the system, this one included, as the settings name it."""

    id: InstanceId
    zone: ZoneId
    http_address: str
    peer_address: str
    disk: bool


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods and bounds, in seconds."""

    heartbeat_interval: Seconds = 0.5
    instance_silence: Seconds = 2.0
    lease_renewal: Seconds = 2.0
    lease_expiry: Seconds = 6.0
    resubmission_window: Seconds = 600.0
    answer_retention: Seconds = 300.0
    request_timeout: Seconds = 2.0
    stop_timeout: Seconds = 60.0
    tick: Seconds = 0.1


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what one request or one instance takes."""

    tasks_per_job: int = 1200
    body_bytes: int = 8 * 1024 * 1024
    queued_tasks: int = 50_000


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon.

    Parameters
    ----------
    id, zone
        Name and availability zone of this instance.
    peers_by_id
        Every instance of the system, this one included.
    data_folder
        Where files live; ``None`` on an instance without a disk.
    """

    id: InstanceId
    zone: ZoneId
    peers_by_id: dict[InstanceId, Peer]
    data_folder: Path | None
    timing: Timing = field(default_factory=Timing)
    limits: Limits = field(default_factory=Limits)

    @property
    def own(self) -> Peer:
        """Entry of this instance among the peers."""
        return self.peers_by_id[self.id]

    @property
    def zones(self) -> tuple[ZoneId, ...]:
        """All availability zones, sorted."""
        return tuple(sorted({peer.zone for peer in self.peers_by_id.values()}))

    @property
    def disk_ids(self) -> tuple[InstanceId, ...]:
        """Instances that have a disk, sorted."""
        return tuple(sorted(p.id for p in self.peers_by_id.values() if p.disk))


def _parse_duration(value: Any) -> float:
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)", str(value).strip())
    if match is None:
        raise ValueError(
            f"duration {value!r} is not a number with a unit of "
            f"{', '.join(_UNITS_IN_SECONDS)}"
        )
    return float(match[1]) * _UNITS_IN_SECONDS[match[2]]


Duration = Annotated[float, BeforeValidator(_parse_duration), Field(gt=0)]
HostPort = Annotated[str, Field(pattern=r"^\d+\.\d+\.\d+\.\d+:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]*$")]


def _dashed(name: str) -> str:
    return name.replace("_", "-")


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", alias_generator=_dashed)


class _PeerSection(_Section):
    availability_zone: Name
    http_address: HostPort
    peer_address: HostPort
    disk: bool = False


class _InstanceSection(_PeerSection):
    id: Name
    data_folder: Path | None = None


class _TimingSection(_Section):
    heartbeat_interval: Duration | None = None
    instance_silence: Duration | None = None
    lease_renewal: Duration | None = None
    lease_expiry: Duration | None = None
    resubmission_window: Duration | None = None
    answer_retention: Duration | None = None
    request_timeout: Duration | None = None
    stop_timeout: Duration | None = None
    tick: Duration | None = None


class _LimitsSection(_Section):
    tasks_per_job: Annotated[int, Field(gt=0)] | None = None
    body_bytes: Annotated[int, Field(gt=0)] | None = None
    queued_tasks: Annotated[int, Field(gt=0)] | None = None


_MODELS_BY_SECTION = {
    "instance": _InstanceSection,
    "timing": _TimingSection,
    "limits": _LimitsSection,
}


def load_settings(path: Path | None) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path
        INI file; ``None`` takes the embedded default of one instance.

    Raises
    ------
    SettingsError
        With one line per fault.
    """
    if path is None:
        return parse_settings(EMBEDDED_DEFAULT)
    try:
        return parse_settings(path.read_text())
    except OSError as error:
        raise SettingsError((f"settings file {str(path)!r}: {error.strerror}",)) from (
            error
        )


def parse_settings(text: str) -> Settings:
    """Validate INI text and build the settings.

    Raises
    ------
    SettingsError
        With one line per fault.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError((str(error).replace("\n", " "),)) from error
    faults: list[str] = []
    sections = {
        name: _validate_section(name, dict(parser[name]), faults)
        for name in parser.sections()
    }
    own = sections.get("instance")
    if own is not None and own.disk and own.data_folder is None:
        faults.append("[instance] data-folder is missing, but disk = yes")
    if "instance" not in sections:
        faults.append("section [instance] is missing")
    if faults:
        raise SettingsError(tuple(faults))
    return _build_settings(sections)


def _validate_section(name: str, options: dict[str, str], faults: list[str]) -> Any:
    model = (
        _PeerSection if name.startswith(_PEER_PREFIX) else _MODELS_BY_SECTION.get(name)
    )
    if model is None:
        faults.append(f"[{name}]: unknown section")
        return None
    try:
        return model.model_validate(options)
    except ValidationError as error:
        for fault in error.errors():
            option = ".".join(str(part) for part in fault["loc"])
            faults.append(f"[{name}] {option} = {fault['input']!r}: {fault['msg']}")
        return None


def _build_settings(sections: dict[str, Any]) -> Settings:
    own = sections["instance"]
    peers = {own.id: _build_peer(own.id, own)}
    for name, section in sections.items():
        if name.startswith(_PEER_PREFIX):
            peer_id = name.removeprefix(_PEER_PREFIX)
            peers[peer_id] = _build_peer(peer_id, section)
    timing = sections.get("timing") or _TimingSection()
    limits = sections.get("limits") or _LimitsSection()
    return Settings(
        id=own.id,
        zone=own.availability_zone,
        peers_by_id=peers,
        data_folder=own.data_folder if own.disk else None,
        timing=Timing(**timing.model_dump(exclude_none=True)),
        limits=Limits(**limits.model_dump(exclude_none=True)),
    )


def _build_peer(peer_id: InstanceId, section: _PeerSection) -> Peer:
    return Peer(
        id=peer_id,
        zone=section.availability_zone,
        http_address=section.http_address,
        peer_address=section.peer_address,
        disk=section.disk,
    )
