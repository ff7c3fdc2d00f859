"""Base class, options, exit codes and output of all commands."""

from __future__ import annotations

import asyncio
import json
import os
import re
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from boragetide.cli.client import Call, Response, send
from boragetide.errors import CommandLineError, PeerUnreachable, ReplyTimeout
from boragetide.settings_file import parse_duration
from boragetide.types import Seconds

SERVER_VARIABLE = "BORAGETIDE_SERVER"
DEFAULT_SERVER = "http://127.0.0.1:8080"


class ExitCode(IntEnum):
    """Exit codes of every command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4


SHARED_OPTIONS = [
    option(
        "server",
        description=(
            "URL of a daemon; repeat it to name several, which are tried in order. "
            f"Default: the URLs in {SERVER_VARIABLE}, separated by spaces or commas, "
            f"otherwise {DEFAULT_SERVER}"
        ),
        flag=False,
        multiple=True,
    ),
    option("json", description="Print one JSON object"),
    option(
        "resend-for",
        description="How long to resend a request whose answer was lost",
        flag=False,
        default="10s",
    ),
]


class OperatorCommand(Command):
    """Base class of the commands; calls daemons."""

    options: ClassVar = SHARED_OPTIONS

    def call_daemon(
        self, method: str, path: str, body: Any = None, timeout: Seconds = 10.0
    ) -> Response:
        """Send one request to the first daemon that answers.

        Raises
        ------
        CommandLineError
            If no daemon was reached or the outcome is unknown.
        """
        resend_for = self.read_option("resend-for", parse_duration)
        call = Call(method, path, body, timeout, resend_for)
        try:
            return asyncio.run(send(call, self._list_servers()))
        except PeerUnreachable as error:
            message = f"no daemon reachable: {error}"
            raise CommandLineError(ExitCode.UNREACHABLE, message) from error
        except ReplyTimeout as error:
            message = f"outcome unknown: {error}"
            raise CommandLineError(
                ExitCode.UNKNOWN, message, {"status": "unknown"}
            ) from error
        except KeyboardInterrupt as error:
            message = "outcome unknown: interrupted"
            raise CommandLineError(
                ExitCode.UNKNOWN, message, {"status": "unknown"}
            ) from error

    def read_body(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Return the response body of a read-only request.

        Raises
        ------
        CommandLineError
            If the request fails. Without an answer, the exit code is ``UNREACHABLE``
            rather than ``UNKNOWN``.
        """
        try:
            response = self.call_daemon(method, path, body)
            check_answer(response)
        except CommandLineError as error:
            if error.exit_code != ExitCode.UNKNOWN:
                raise
            message = str(error).removeprefix("outcome unknown: ")
            raise CommandLineError(ExitCode.UNREACHABLE, message) from error
        return response.body

    def read_option(self, name: str, parse: Callable[[str], Any]) -> Any:
        """Parse the value of an option; ``None`` stays ``None``.

        Raises
        ------
        CommandLineError
            If the value is invalid; the message shows the option and the value.
        """
        value = self.option(name)
        if value is None:
            return None
        try:
            return parse(value)
        except ValueError as error:
            message = f"--{name} = {value}: {error}"
            raise CommandLineError(ExitCode.USAGE, message) from error

    def emit(self, body: dict[str, Any], text: str) -> None:
        """Print the body if ``--json`` is given, otherwise the text."""
        print(json.dumps(body) if self.option("json") else text)

    def _list_servers(self) -> tuple[str, ...]:
        named = self.option("server")
        if not named:
            named = re.split(r"[\s,]+", os.environ.get(SERVER_VARIABLE, "").strip())
        servers = tuple(server for server in named if server) or (DEFAULT_SERVER,)
        for server in servers:
            if re.fullmatch(r"https?://[^/\s]+/?", server) is None:
                message = f"--server = {server}: not a URL such as {DEFAULT_SERVER}"
                raise CommandLineError(ExitCode.USAGE, message)
        return servers


def check_answer(response: Response) -> None:
    """Raise an error unless the response is a success.

    Raises
    ------
    CommandLineError
        If the response is not a success; its body becomes the JSON output.
    """
    if response.http_status == 200:
        return
    body = response.body
    message = body.get("error") or f"HTTP status {response.http_status}"
    if response.http_status >= 500 and body.get("status") != "not_run":
        raise CommandLineError(ExitCode.UNKNOWN, f"outcome unknown: {message}", body)
    if response.other_answer_lost:
        message = f"outcome unknown: an answer was lost, another is: {message}"
        raise CommandLineError(ExitCode.UNKNOWN, message, {**body, "status": "unknown"})
    raise CommandLineError(ExitCode.REFUSED, f"refused: {message}", body)


def parse_share(text: str) -> float:
    """Parse a percentage such as ``25%`` or a fraction such as ``0.25``.

    Raises
    ------
    ValueError
        If the text is neither, or the share is 0% or above 100%.
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(%?)", text.strip())
    if match is None:
        raise ValueError("not a percentage such as 25% or a fraction such as 0.25")
    share = float(match[1]) / (100 if match[2] else 1)
    if not 0 < share <= 1:
        raise ValueError("not above 0% and at most 100%")
    return share


def parse_count(text: str) -> int:
    """Parse a positive integer.

    Raises
    ------
    ValueError
        If the text is not a positive integer of at most 9 digits.
    """
    if re.fullmatch(r"[1-9][0-9]{0,8}", text) is None:
        raise ValueError("not a positive whole number")
    return int(text)


def parse_version(text: str) -> int:
    """Parse a configuration version.

    Raises
    ------
    ValueError
        If the text is not an integer of at most 15 digits.
    """
    if re.fullmatch(r"[0-9]{1,15}", text) is None:
        raise ValueError("not a configuration version")
    return int(text)


def format_table(headers: tuple[str, ...], rows: Iterable[Iterable[Any]]) -> str:
    """Return a text table in which each column is as wide as its widest cell."""
    cells = [headers, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
