"""Exceptions of the package: each layer has its own and translates those below it."""

from __future__ import annotations

from typing import Any

from boragetide.types import Status

REASON_INTERRUPTED = "the instance stops before the request has ended"


class BoragetideError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(BoragetideError):
    """The settings file is invalid.

    Parameters
    ----------
    faults
        One line per fault, each naming the section, the option and the value.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("\n".join(faults))
        self.faults = faults


class StorageError(BoragetideError):
    """The data folder cannot be read or written."""


class LinkError(BoragetideError):
    """A message to another instance was not delivered or not answered."""


class ContentError(BoragetideError):
    """The content of a configuration that was received is not usable."""


class PeerUnreachable(LinkError):
    """The peer cannot be reached; the message was certainly not sent."""


class ReplyTimeout(LinkError):
    """No reply arrived in time; the peer may have received the message."""


class RequestError(BoragetideError):
    """A request is answered with an error instead of a result.

    Parameters
    ----------
    status
        ``NOT_RUN`` only if it is certain that no task started.
    http_status
        HTTP status code of the response.
    message
        Explanation shown to the caller.
    """

    def __init__(self, status: Status, http_status: int, message: str):
        super().__init__(message)
        self.status = status
        self.http_status = http_status


class CommandLineError(BoragetideError):
    """A command of the command-line client fails with this exit code.

    Parameters
    ----------
    exit_code
        One of `boragetide.cli.base.ExitCode`.
    message
        Explanation shown to the operator.
    body
        Additional fields of the JSON output.
    """

    def __init__(
        self, exit_code: int, message: str, body: dict[str, Any] | None = None
    ):
        super().__init__(message)
        self.exit_code = exit_code
        self.body = body or {}
