"""Commands that change the configuration."""

from __future__ import annotations

import sys
import uuid
from typing import Any, ClassVar

from cleo.helpers import argument, option

from boragetide.cli.base import (
    SHARED_OPTIONS,
    ExitCode,
    OperatorCommand,
    check_answer,
    parse_count,
    parse_share,
    parse_version,
)
from boragetide.errors import CommandLineError
from boragetide.settings_file import parse_duration

CHANGE_OPTIONS = [
    *SHARED_OPTIONS,
    option(
        "command-id",
        description="Id of this change; sending an id again does not repeat the change",
        flag=False,
    ),
    option(
        "expected-version",
        description="Version on which the change is based; the current one if absent",
        flag=False,
    ),
]


class ChangeCommand(OperatorCommand):
    """Base class of commands that propose a change of the configuration."""

    options: ClassVar = CHANGE_OPTIONS

    def read_configuration(self) -> dict[str, Any]:
        """Return the configuration in force."""
        return self.read_body("GET", "/v1/configuration")

    def propose(self, command: dict[str, Any], version: int | None = None) -> None:
        """Propose a change and print its outcome.

        Parameters
        ----------
        command
            Body of the command.
        version
            Expected version if the operator specified none. If it is ``None`` too, the
            version of the configuration in force is read.
        """
        expected = self.read_option("expected-version", parse_version)
        if expected is None:
            expected = version
        if expected is None:
            expected = self.read_configuration()["version"]
        command_id = self.option("command-id") or self._make_command_id()
        sent = {"command_id": command_id, "expected_version": expected}
        try:
            response = self.call_daemon(
                "POST", "/v1/configuration/commands", {**sent, "command": command}
            )
            if response.http_status == 409:
                current = response.body.get("version")
                message = f"conflict: expected version {expected}, current {current}"
                raise CommandLineError(ExitCode.REFUSED, message, response.body)
            check_answer(response)
        except CommandLineError as error:
            resend_options = f"--command-id={command_id} --expected-version={expected}"
            hint = f"\nresend it with {resend_options}"
            text = f"{error}{hint if error.exit_code == ExitCode.UNKNOWN else ''}"
            raise CommandLineError(
                error.exit_code, text, {**error.body, **sent}
            ) from error
        accepted = response.body["version"]
        self.emit(
            {**response.body, **sent}, f"accepted: version {accepted} ({command_id})"
        )

    def _make_command_id(self) -> str:
        command_id = str(uuid.uuid4())
        print(f"command id {command_id}", file=sys.stderr, flush=True)
        return command_id


class ClassSetCommand(ChangeCommand):
    """Sets the target of a class of work."""

    name = "class set"
    description = "Set the target of a class of work"
    help = (
        "Example: boragetide class set thumbnails --response-time=800ms "
        "--busy-share=25%\n"
        "An omitted option keeps its value. A new class needs a response time, and "
        "may occupy all slots if no busy share is given."
    )
    arguments: ClassVar = [argument("name", "Name of the class")]
    options: ClassVar = [
        *CHANGE_OPTIONS,
        option(
            "response-time",
            description="Target with a unit, such as 800ms or 2s",
            flag=False,
        ),
        option(
            "busy-share",
            description="Share of all slots, such as 25% or 0.25",
            flag=False,
        ),
        option(
            "pool",
            description="Pool of backend servers; makes the class durable",
            flag=False,
        ),
        option(
            "attempts",
            description="Failed runs of a task after which a durable job fails",
            flag=False,
        ),
        option(
            "stretch",
            description="Target time as a multiple of a job's longest chain of work",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Propose a target; omitted options keep the values in force."""
        given = {
            "response_time": self.read_option("response-time", parse_duration),
            "busy_share": self.read_option("busy-share", parse_share),
        }
        name = self.argument("name")
        configuration = self.read_configuration()
        version = configuration["version"]
        classes = {each["name"]: each for each in configuration["classes"]}
        known = classes.get(name, {"response_time": None, "busy_share": 1.0})
        given = {
            key: known[key] if value is None else value for key, value in given.items()
        }
        if given["response_time"] is None:
            message = f"class {name!r} is new: --response-time is missing"
            raise CommandLineError(ExitCode.USAGE, message)
        command = {"kind": "set_class", "name": name, **given}
        durable = self._merge_start_policy(known)
        if durable is not None:
            command["durable"] = durable
        self.propose(command, version)
        return ExitCode.DONE

    def _merge_start_policy(self, known: dict[str, Any]) -> dict[str, Any] | None:
        """Return the start policy of a durable class; omitted options keep their value.

        Returns ``None`` if the class is not durable and no option makes it durable.
        """
        given = {
            "pool": self.option("pool"),
            "attempts": self.read_option("attempts", parse_count),
            "stretch": self.read_option("stretch", float),
        }
        given = {key: value for key, value in given.items() if value is not None}
        in_force = known.get("durable")
        if not given and in_force is None:
            return None
        durable = {**(in_force or {}), **given}
        if "pool" not in durable:
            message = "--pool is missing: the class is not durable yet"
            raise CommandLineError(ExitCode.USAGE, message)
        return durable


class DrainCommand(ChangeCommand):
    """Takes a backend server out of use."""

    name = "backend-server drain"
    description = "Place no new tasks on a backend server; running tasks continue"
    help = "Example: boragetide backend-server drain server-7"
    arguments: ClassVar = [argument("id", "Id of the backend server")]

    def handle(self) -> int:
        """Propose the change."""
        self.propose({"kind": "drain_backend_server", "id": self.argument("id")})
        return ExitCode.DONE


class ReturnCommand(ChangeCommand):
    """Takes a drained backend server into use again."""

    name = "backend-server return"
    description = "Place tasks on a drained backend server again"
    help = "Example: boragetide backend-server return server-7"
    arguments: ClassVar = [argument("id", "Id of the backend server")]

    def handle(self) -> int:
        """Propose the change."""
        self.propose({"kind": "return_backend_server", "id": self.argument("id")})
        return ExitCode.DONE


class ZoneEvacuateCommand(ChangeCommand):
    """Takes an availability zone out of service."""

    name = "zone evacuate"
    description = "Start no more tasks in an availability zone; running tasks continue"
    help = (
        "Example: boragetide zone evacuate zone-2\n"
        "No task starts there from 5 s after the change was accepted. See also: "
        "zone return, zone list."
    )
    arguments: ClassVar = [argument("zone", "Name of the availability zone")]

    def handle(self) -> int:
        """Propose the change."""
        self.propose({"kind": "evacuate_zone", "zone": self.argument("zone")})
        return ExitCode.DONE


class ZoneReturnCommand(ChangeCommand):
    """Takes an evacuated availability zone into service again."""

    name = "zone return"
    description = "Start tasks in an evacuated availability zone again, gradually"
    help = "Example: boragetide zone return zone-2"
    arguments: ClassVar = [argument("zone", "Name of the availability zone")]

    def handle(self) -> int:
        """Propose the change."""
        self.propose({"kind": "return_zone", "zone": self.argument("zone")})
        return ExitCode.DONE
