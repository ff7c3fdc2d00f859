"""Settings of one daemon, read from INI text and validated once at start."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING, Any

from boragetide.errors import SettingsError
from boragetide.types import CONTROLLERS, InstanceId, Seconds, ZoneId

if TYPE_CHECKING:
    from boragetide.settings_file import PeerSection

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
    """An instance of the system named in the settings, including this instance."""

    id: InstanceId
    zone: ZoneId
    http_address: str
    peer_address: str
    disk: bool


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and time limits, in seconds."""

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
    """Limits on the size of one request and on the load of one instance.

    Parameters
    ----------
    tasks_per_job
        Tasks of one job.
    body_bytes
        Size of one request body, in bytes.
    queued_tasks
        Tasks that wait in the queue of one instance.
    kept_results
        Task results, over all answers that an instance keeps for resubmissions.
    """

    tasks_per_job: int = 1200
    body_bytes: int = 8 * 1024 * 1024
    queued_tasks: int = 50_000
    kept_results: int = 500_000


class JobOrder(StrEnum):
    """Order in which waiting durable jobs are considered."""

    LATEST_START = "latest-start"
    PRIORITY = "priority"  # also by the priority of the job's class


class PlacementRule(StrEnum):
    """How the backend server of a durable task is chosen."""

    FIRST_FIT = "first-fit"
    LOOK_AHEAD = "look-ahead"  # also by waiting jobs and expected ends


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """How the dispatcher orders and places durable jobs.

    Parameters
    ----------
    order
        Order of the waiting jobs.
    placement
        Choice of the backend server.
    """

    order: JobOrder = JobOrder.LATEST_START
    placement: PlacementRule = PlacementRule.FIRST_FIT


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon.

    Parameters
    ----------
    id, zone
        Name and availability zone of this instance.
    peers_by_id
        Every instance of the system, including this one.
    data_folder
        Folder of the journals; ``None`` on an instance without a disk.
    may_found_group
        Whether members without durable state may form a new log.
    controllers
        Controllers that run on this instance.
    configuration_subscribers
        Controllers that are notified of each configuration in force.
    founders
        Initial members of the log, if these are not all instances with a disk.
    contacts
        Other instances that may know the members of the log; the leader notifies them.
    member_count
        Number of members that the log should have; 0 keeps the initial members.
    group, group_count
        Group whose controllers these settings are for, and number of groups
        (`boragetide.groups`).
    follows_leader
        Whether this instance asks for the leader of the log continuously, or only while
        requests need it.
    ids_are_addresses
        Whether the id of an instance is its IP address, so that links to instances
        that are not named in the settings can be created on demand.
    dispatch
        How the dispatcher orders and places durable jobs.
    """

    id: InstanceId
    zone: ZoneId
    peers_by_id: dict[InstanceId, Peer]
    data_folder: Path | None
    timing: Timing = field(default_factory=Timing)
    limits: Limits = field(default_factory=Limits)
    may_found_group: bool = True
    controllers: tuple[str, ...] = CONTROLLERS
    configuration_subscribers: tuple[str, ...] = ("backend_servers", "instances")
    founders: tuple[InstanceId, ...] = ()
    contacts: tuple[InstanceId, ...] = ()
    member_count: int = 0
    group: int = 0
    group_count: int = 1
    follows_leader: bool = True
    ids_are_addresses: bool = False
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)

    @property
    def dispatches(self) -> bool:
        """Whether this instance runs the dispatcher of durable jobs."""
        return "dispatcher" in self.controllers

    def for_group(self, group: int) -> Settings:
        """Return the settings of one group's controllers.

        Only the log of group 0 holds a configuration.
        """
        subscribers = self.configuration_subscribers if group == 0 else ()
        return replace(self, group=group, configuration_subscribers=subscribers)

    @property
    def own_peer(self) -> Peer:
        """Entry of this instance in ``peers_by_id``."""
        return self.peers_by_id[self.id]

    @property
    def zones(self) -> tuple[ZoneId, ...]:
        """All availability zones, sorted."""
        return tuple(sorted({peer.zone for peer in self.peers_by_id.values()}))

    @property
    def initial_members(self) -> tuple[InstanceId, ...]:
        """Members of the log before the first membership change, sorted."""
        return self.founders or self.ids_with_disk

    @property
    def ids_with_disk(self) -> tuple[InstanceId, ...]:
        """Ids of the instances that have a disk, sorted."""
        return tuple(sorted(p.id for p in self.peers_by_id.values() if p.disk))


def load_settings(path: Path | None, data_folder: Path | None = None) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path
        INI file; ``None`` selects the embedded default, a single local instance.
    data_folder
        Overrides the data folder named in the file, if given.

    Raises
    ------
    SettingsError
        With one line per fault.
    """
    if path is None:
        return parse_settings(EMBEDDED_DEFAULT, data_folder)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        fault = f"settings file {str(path)!r}: {error.strerror}"
        raise SettingsError((fault,)) from error
    except UnicodeDecodeError as error:
        fault = f"settings file {str(path)!r}: not UTF-8 at byte {error.start}"
        raise SettingsError((fault,)) from error
    return parse_settings(text, data_folder)


def parse_settings(text: str, data_folder: Path | None = None) -> Settings:
    """Validate INI text and build the settings.

    Raises
    ------
    SettingsError
        With one line per fault.
    """
    # Imported here so that processes with another source of settings do not load the
    # models of the settings file.
    from boragetide.settings_file import PEER_PREFIX, check_durations, read_sections

    sections = read_sections(text, data_folder)
    own = sections["instance"]
    peers = {own.id: _build_peer(own.id, own)}
    for name, section in sections.items():
        if name.startswith(PEER_PREFIX):
            peer_id = name.removeprefix(PEER_PREFIX)
            peers[peer_id] = _build_peer(peer_id, section)
    timing = Timing(**_collect_given_options(sections, "timing"))
    faults = tuple(check_durations(timing))
    if faults:
        raise SettingsError(faults)
    return Settings(
        id=own.id,
        zone=own.availability_zone,
        peers_by_id=peers,
        data_folder=own.data_folder,
        timing=timing,
        limits=Limits(**_collect_given_options(sections, "limits")),
        controllers=(
            *CONTROLLERS,
            "directory",
            *(("dispatcher",) if own.disk else ()),
        ),
        configuration_subscribers=(
            "backend_servers",
            "instances",
            *(("dispatcher",) if own.disk else ()),
        ),
        follows_leader=False,
        dispatch=DispatchSettings(**_collect_given_options(sections, "dispatch")),
    )


def _collect_given_options(sections: dict[str, Any], name: str) -> dict[str, Any]:
    section = sections.get(name)
    return section.model_dump(exclude_none=True) if section is not None else {}


def _build_peer(peer_id: InstanceId, section: PeerSection) -> Peer:
    return Peer(
        id=peer_id,
        zone=section.availability_zone,
        http_address=section.http_address,
        peer_address=section.peer_address,
        disk=section.disk,
    )
