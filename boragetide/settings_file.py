"""Validation models of the settings file and checks across its sections."""

from __future__ import annotations

import configparser
import os
import re
from collections.abc import Iterator
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)

from boragetide.errors import SettingsError
from boragetide.limits import MAX_PORT, MAX_TASKS
from boragetide.settings import JobOrder, PlacementRule

PEER_PREFIX = "peer "

_UNITS_IN_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_MESSAGES_BY_ERROR_TYPE = {
    "extra_forbidden": "unknown option",
    "bool_parsing": "not yes or no",
    "int_parsing": "not a whole number",
    "greater_than": "must be greater than zero",
}


def parse_duration(value: Any) -> float:
    """Convert a number with a unit, such as ``200ms`` or ``2s``, to seconds.

    Raises
    ------
    ValueError
        If the unit is missing or unknown.
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)", str(value).strip())
    if match is None:
        units = ", ".join(_UNITS_IN_SECONDS)
        raise ValueError(f"not a number with a unit of {units}")
    return float(match[1]) * _UNITS_IN_SECONDS[match[2]]


def _parse_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    try:
        address = IPv4Address(host)
    except AddressValueError as error:
        raise ValueError("not an IPv4 address and a port, HOST:PORT") from error
    if not separator or not re.fullmatch(r"[0-9]{1,9}", port):
        raise ValueError("not an IPv4 address and a port, HOST:PORT")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port is not between 1 and {MAX_PORT}")
    if address.is_unspecified:
        raise ValueError("other instances cannot connect to this address")
    return f"{address}:{int(port)}"


def _check_name(value: str) -> str:
    if re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9_-]{0,99}", value) is None:
        raise ValueError("not a name of letters, digits, '-' and '_'")
    return value


def _split_names(value: str) -> tuple[str, ...]:
    return tuple(_check_name(name) for name in value.split())


Duration = Annotated[float, BeforeValidator(parse_duration), Field(gt=0)]
HostPort = Annotated[str, AfterValidator(_parse_address)]
Name = Annotated[str, AfterValidator(_check_name)]
Positive = Annotated[int, Field(gt=0)]


def _to_option_name(name: str) -> str:
    return name.replace("_", "-")


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", alias_generator=_to_option_name)


class PeerSection(_Section):
    """Section ``[peer ID]``: another instance of the system."""

    availability_zone: Name
    http_address: HostPort
    peer_address: HostPort
    disk: bool = False


class InstanceSection(PeerSection):
    """Section ``[instance]``: the instance that reads the file."""

    id: Name
    data_folder: Path | None = None


class TimingSection(_Section):
    """Section ``[timing]``; options that are not given keep their defaults."""

    heartbeat_interval: Duration | None = None
    instance_silence: Duration | None = None
    lease_renewal: Duration | None = None
    lease_expiry: Duration | None = None
    resubmission_window: Duration | None = None
    answer_retention: Duration | None = None
    request_timeout: Duration | None = None
    stop_timeout: Duration | None = None
    tick: Duration | None = None


class LimitsSection(_Section):
    """Section ``[limits]``; options that are not given keep their defaults."""

    tasks_per_job: Annotated[int, Field(gt=0, le=MAX_TASKS)] | None = None
    body_bytes: Positive | None = None
    queued_tasks: Positive | None = None
    kept_results: Positive | None = None


class DispatchSection(_Section):
    """Section ``[dispatch]``; options that are not given keep their defaults."""

    order: JobOrder | None = None
    placement: PlacementRule | None = None


class ZonesSection(_Section):
    """Section ``[availability-zones]``: all zones that other sections may name."""

    names: Annotated[tuple[str, ...], BeforeValidator(_split_names)]


_MODELS_BY_SECTION: dict[str, type[_Section]] = {
    "instance": InstanceSection,
    "timing": TimingSection,
    "limits": LimitsSection,
    "dispatch": DispatchSection,
    "availability-zones": ZonesSection,
}


def read_sections(text: str, data_folder: Path | None = None) -> dict[str, Any]:
    """Validate INI text and return the section models by section name.

    Parameters
    ----------
    text
        Content of the settings file.
    data_folder
        Overrides the option ``data-folder`` of ``[instance]``, if given.

    Raises
    ------
    SettingsError
        With one line per fault, each naming the section, the option and the value.
    """
    parser = _parse_ini(text)
    options_by_section = {name: dict(parser[name]) for name in parser.sections()}
    if "instance" not in options_by_section:
        raise SettingsError(("[instance]: section is missing",))
    if data_folder is not None:
        options_by_section["instance"]["data-folder"] = str(data_folder)
    faults: list[str] = []
    sections = {
        name: _validate_section(name, options, faults)
        for name, options in options_by_section.items()
    }
    if faults:
        raise SettingsError(tuple(faults))
    faults = [
        *_check_identities(sections),
        *_check_addresses(sections),
        *_check_zones(sections),
        *_check_disks(sections),
    ]
    if faults:
        raise SettingsError(tuple(faults))
    return sections


def _parse_ini(text: str) -> configparser.ConfigParser:
    # With an empty default section name, [DEFAULT] is rejected as an unknown section.
    # Otherwise configparser would copy its options into every other section.
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        fault = f"[{error.section}]: section is listed twice (line {error.lineno})"
        raise SettingsError((fault,)) from error
    except configparser.DuplicateOptionError as error:
        fault = f"[{error.section}] {error.option}: option is given twice"
        raise SettingsError((f"{fault} (line {error.lineno})",)) from error
    except configparser.MissingSectionHeaderError as error:
        fault = f"line {error.lineno}: {error.line.strip()!r} is before any section"
        raise SettingsError((fault,)) from error
    except configparser.ParsingError as error:
        faults = [f"line {number}: cannot read {line}" for number, line in error.errors]
        raise SettingsError(tuple(faults)) from error
    return parser


def _validate_section(name: str, options: dict[str, str], faults: list[str]) -> Any:
    if name.startswith(PEER_PREFIX):
        model: type[_Section] | None = PeerSection
        try:
            _check_name(name.removeprefix(PEER_PREFIX))
        except ValueError as error:
            faults.append(f"[{name}]: {error}")
    else:
        model = _MODELS_BY_SECTION.get(name)
    if model is None:
        faults.append(f"[{name}]: unknown section")
        return None
    try:
        return model.model_validate(options)
    except ValidationError as error:
        faults.extend(_describe_fault(name, fault) for fault in error.errors())
        return None


def _describe_fault(section: str, fault: Any) -> str:
    option = ".".join(str(part) for part in fault["loc"])
    if fault["type"] == "missing":
        return f"[{section}] {option}: option is missing"
    if fault["type"] == "value_error":
        message = str(fault["ctx"]["error"])
    elif fault["type"] == "enum":
        message = f"must be {fault['ctx']['expected']}"
    else:
        message = _MESSAGES_BY_ERROR_TYPE.get(fault["type"], fault["msg"])
    return f"[{section}] {option} = {fault['input']}: {message}"


def _iterate_instances(sections: dict[str, Any]) -> Iterator[tuple[str, PeerSection]]:
    for name, section in sections.items():
        if isinstance(section, PeerSection):
            yield name, section


def _check_identities(sections: dict[str, Any]) -> Iterator[str]:
    own = sections["instance"].id
    if f"{PEER_PREFIX}{own}" in sections:
        yield f"[peer {own}]: peer is this instance itself, [instance] id = {own}"


def _check_addresses(sections: dict[str, Any]) -> Iterator[str]:
    users_by_address: dict[str, str] = {}
    for name, section in _iterate_instances(sections):
        for option in ("http_address", "peer_address"):
            address = getattr(section, option)
            user = f"[{name}] {_to_option_name(option)}"
            if address in users_by_address:
                first = users_by_address[address]
                yield f"{user} = {address}: already used by {first}"
            users_by_address.setdefault(address, user)


def _check_zones(sections: dict[str, Any]) -> Iterator[str]:
    if "availability-zones" not in sections:
        return
    names = sections["availability-zones"].names
    for name, section in _iterate_instances(sections):
        zone = section.availability_zone
        if zone not in names:
            known = " ".join(names)
            yield (
                f"[{name}] availability-zone = {zone}: not among "
                f"[availability-zones] names = {known}"
            )


def _check_disks(sections: dict[str, Any]) -> Iterator[str]:
    own = sections["instance"]
    if not any(section.disk for _, section in _iterate_instances(sections)):
        yield "[instance] disk = no: no instance has a disk, at least one must have one"
    if own.disk and own.data_folder is None:
        yield "[instance] disk = yes: option data-folder is missing"
    if own.data_folder is None:
        return
    option = f"[instance] data-folder = {own.data_folder}"
    if not own.disk:
        yield f"{option}: only allowed with disk = yes"
    elif not _is_writable(own.data_folder):
        yield f"{option}: folder is not writable and cannot be created"


def _is_writable(folder: Path) -> bool:
    """Return whether the folder is writable or, if missing, can be created."""
    existing = folder.absolute()
    while not os.path.lexists(existing):
        existing = existing.parent
    return existing.is_dir() and os.access(existing, os.W_OK | os.X_OK)


def check_durations(timing: Any) -> Iterator[str]:
    """Yield one fault for each pair of durations that contradict each other.

    Parameters
    ----------
    timing
        `Timing` with the values of section ``[timing]`` and the defaults.
    """
    if timing.lease_expiry <= timing.lease_renewal:
        yield (
            f"[timing] lease-expiry = {timing.lease_expiry:g}s: must be above "
            f"lease-renewal = {timing.lease_renewal:g}s"
        )
    for name in ("heartbeat_interval", "tick"):
        period = getattr(timing, name)
        if timing.instance_silence <= 2 * period:
            yield (
                f"[timing] instance-silence = {timing.instance_silence:g}s: must be "
                f"above twice the {_to_option_name(name)} = {period:g}s"
            )
