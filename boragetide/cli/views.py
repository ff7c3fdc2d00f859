"""Read-only commands."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any, ClassVar

from cleo.helpers import argument, option

from boragetide.cli.base import (
    SHARED_OPTIONS,
    ExitCode,
    OperatorCommand,
    format_table,
    parse_count,
)
from boragetide.errors import CommandLineError


def _format_class(target: dict[str, Any]) -> tuple[str, str, str]:
    share = f"{target['busy_share'] * 100:g}%"
    return target["name"], f"{target['response_time']:g}s", share


def _format_classes(classes: list[dict[str, Any]]) -> str:
    headers = ("CLASS", "RESPONSE TIME", "BUSY SHARE")
    return format_table(headers, map(_format_class, classes))


class ClassListCommand(OperatorCommand):
    """Lists the classes of work."""

    name = "class list"
    description = "List the classes of work with their targets"
    help = "Example: boragetide class list --json"

    def handle(self) -> int:
        """Print one line per class."""
        configuration = self.read_body("GET", "/v1/configuration")
        self.emit(configuration, _format_classes(configuration["classes"]))
        return ExitCode.DONE


class ClassShowCommand(OperatorCommand):
    """Shows one class of work."""

    name = "class show"
    description = "Show the target of a class of work"
    help = "Example: boragetide class show thumbnails"
    arguments: ClassVar = [argument("name", "Name of the class")]

    def handle(self) -> int:
        """Print the target, or refuse an unknown class."""
        name = self.argument("name")
        configuration = self.read_body("GET", "/v1/configuration")
        found = [each for each in configuration["classes"] if each["name"] == name]
        if not found:
            raise CommandLineError(ExitCode.REFUSED, f"class {name!r} does not exist")
        self.emit(
            {**found[0], "version": configuration["version"]}, _format_classes(found)
        )
        return ExitCode.DONE


class ConfigShowCommand(OperatorCommand):
    """Shows the configuration in force."""

    name = "config show"
    description = "Show the configuration in force"
    help = "Example: boragetide config show"

    def handle(self) -> int:
        """Print the version, the classes, and what is drained or evacuated."""
        configuration = self.read_body("GET", "/v1/configuration")
        drained = " ".join(configuration["drained"]) or "none"
        evacuated = " ".join(configuration.get("evacuated_zones", ())) or "none"
        text = [
            f"version {configuration['version']}",
            _format_classes(configuration["classes"]),
            f"drained backend servers: {drained}",
            f"evacuated availability zones: {evacuated}",
        ]
        self.emit(configuration, "\n".join(text))
        return ExitCode.DONE


class ConfigHistoryCommand(OperatorCommand):
    """Lists the changes of the configuration."""

    name = "config history"
    description = "List the accepted changes, newest first"
    help = "Example: boragetide config history --limit=5"
    options: ClassVar = [
        *SHARED_OPTIONS,
        option(
            "limit", description="Number of changes to show", flag=False, default="20"
        ),
    ]

    def handle(self) -> int:
        """Print one line per change."""
        limit = self.read_option("limit", parse_count)
        history = self.read_body("GET", f"/v1/configuration/history?limit={limit}")
        rows = [
            (
                entry["version"],
                _format_time(entry["accepted_at"]),
                entry["command_id"],
                json.dumps(entry["command"]),
            )
            for entry in history["entries"]
        ]
        headers = ("VERSION", "ACCEPTED", "COMMAND ID", "COMMAND")
        self.emit(history, format_table(headers, rows))
        return ExitCode.DONE


def _format_time(seconds: float | None) -> str:
    if seconds is None:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


class BackendServerListCommand(OperatorCommand):
    """Lists the backend servers of all availability zones."""

    name = "backend-server list"
    description = "List the backend servers of all reachable availability zones"
    help = "Example: boragetide backend-server list"

    def handle(self) -> int:
        """Print one line per backend server."""
        listed = self.read_body("GET", "/v1/backend-servers")
        rows = [
            (
                each["id"],
                each["availability_zone"],
                each["rack"],
                f"{each['running']}/{each['slots']}",
                f"{each['speed']:.2f}",
                _format_state(each),
                each["address"],
            )
            for each in listed["backend_servers"]
        ]
        headers = ("ID", "ZONE", "RACK", "BUSY", "SPEED", "STATE", "ADDRESS")
        text = format_table(headers, rows)
        silent = listed.get("silent_placers", [])
        silent += listed.get("zones_without_placer", [])
        if silent:
            text += f"\nno answer from: {' '.join(silent)}"
        self.emit(listed, text)
        return ExitCode.DONE


def _format_state(server: dict[str, Any]) -> str:
    states = [name for name in ("leaving", "drained", "ejected") if server.get(name)]
    return ",".join(states) or "in service"


class ZoneListCommand(OperatorCommand):
    """Lists the availability zones."""

    name = "zone list"
    description = "List the availability zones and whether they are evacuated"
    help = "Example: boragetide zone list"

    def handle(self) -> int:
        """Print one line per zone, with those that only the configuration names."""
        status = self.read_body("GET", "/v1/status")
        evacuated = set(status["evacuated_zones"])
        states_by_zone = {
            zone: "evacuated" if zone in evacuated else "in service"
            for zone in sorted(evacuated.union(status["availability_zones"]))
        }
        listed = {
            "version": status["configuration_version"],
            "zones": [
                {"zone": zone, "evacuated": zone in evacuated}
                for zone in states_by_zone
            ],
        }
        self.emit(listed, format_table(("ZONE", "STATE"), states_by_zone.items()))
        return ExitCode.DONE


class StatusCommand(OperatorCommand):
    """Shows one daemon's view of the system."""

    name = "status"
    description = "Show the live instances as one daemon sees them"
    help = "Example: boragetide status --server=http://10.0.0.1:8080"

    def handle(self) -> int:
        """Print the daemon and one line per live instance."""
        status = self.read_body("GET", "/v1/status")
        pool = status["pool"]
        rows = [
            (
                each["id"],
                each["availability_zone"],
                each["role"],
                each["backend_servers"],
                "stopping" if each["stopping"] else "up",
                _format_time(each["incarnation"] / 1000),
            )
            for each in status["instances"]
        ]
        text = [
            f"instance {status['instance']} in {status['availability_zone']}, "
            f"configuration version {status['configuration_version']}, "
            f"{len(rows)} of {status['known_instances']} instances live",
            f"pool: {pool['backend_servers']} backend servers, "
            f"{pool['running_tasks']} of {pool['slots']} slots busy, "
            f"{pool['queued_tasks']} tasks queued",
            format_table(("ID", "ZONE", "ROLE", "SERVERS", "STATE", "STARTED"), rows),
        ]
        evacuated = status.get("evacuated_zones")
        if evacuated:
            text.append(f"evacuated availability zones: {' '.join(evacuated)}")
        self.emit(status, "\n".join(text))
        return ExitCode.DONE
