"""HTTP handlers for the configuration, its history and its commands."""

from __future__ import annotations

from functools import singledispatch
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

from boragetide.api.base import Handler
from boragetide.api.models import JobIdField, NameField, parse_body
from boragetide.commands import (
    Command,
    CommandStatus,
    DrainBackendServer,
    EvacuateZone,
    ReturnBackendServer,
    ReturnZone,
    SetClass,
    ZoneCommand,
)
from boragetide.errors import LinkError
from boragetide.messages import FetchConfiguration, History, ListHistory, Propose
from boragetide.policy.catalogue import RETAINED_HISTORY
from boragetide.policy.proposals import PROPOSAL_TIMEOUT
from boragetide.types import (
    Address,
    Configuration,
    DurableStarts,
    Seconds,
    Status,
)

# The controller answers within `PROPOSAL_TIMEOUT`, so this timeout expires only if the
# controller is stuck.
COMMAND_TIMEOUT: Seconds = PROPOSAL_TIMEOUT + 1.0
DEFAULT_HISTORY = 100
MAX_VERSION = 2**62  # messages between instances carry 64-bit integers
MAX_LIMIT_DIGITS = 9
MAX_ATTEMPTS = 100
MAX_PRIORITY = 100

HTTP_STATUS_BY_OUTCOME = {
    CommandStatus.ACCEPTED: 200,
    CommandStatus.CONFLICT: 409,
    CommandStatus.UNKNOWN: 503,
}


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class DurableStartsBody(_Body):
    """How the tasks of a durable class are started; see `DurableStarts`."""

    pool: NameField
    attempts: Annotated[int, Field(ge=1, le=MAX_ATTEMPTS)] = 1
    priority: Annotated[int, Field(ge=0, le=MAX_PRIORITY)] = 0
    stretch: Annotated[float, Field(ge=1, le=1000)] = 1.0


class SetClassBody(_Body):
    """The command ``set_class``; times are in seconds."""

    kind: Literal["set_class"]
    name: NameField
    response_time: Annotated[float, Field(gt=0, le=3600)]
    busy_share: Annotated[float, Field(ge=0, le=1)]
    durable: DurableStartsBody | None = None


class DrainBody(_Body):
    """The command ``drain_backend_server``."""

    kind: Literal["drain_backend_server"]
    id: JobIdField


class ReturnBody(_Body):
    """The command ``return_backend_server``."""

    kind: Literal["return_backend_server"]
    id: JobIdField


class EvacuateZoneBody(_Body):
    """The command ``evacuate_zone``."""

    kind: Literal["evacuate_zone"]
    zone: NameField


class ReturnZoneBody(_Body):
    """The command ``return_zone``."""

    kind: Literal["return_zone"]
    zone: NameField


class CommandBody(_Body):
    """Body of ``POST /v1/configuration/commands``."""

    command_id: JobIdField
    expected_version: Annotated[int, Field(ge=0, le=MAX_VERSION)]
    command: Annotated[
        SetClassBody | DrainBody | ReturnBody | EvacuateZoneBody | ReturnZoneBody,
        Field(discriminator="kind"),
    ]


@singledispatch
def to_command(body: BaseModel) -> Command:
    """Convert a validated body to a command."""
    raise TypeError(f"no command for {body!r}")


@to_command.register
def _(body: SetClassBody) -> Command:
    durable = None if body.durable is None else DurableStarts(**dict(body.durable))
    return SetClass(body.name, body.response_time, body.busy_share, durable)


@to_command.register
def _(body: DrainBody) -> Command:
    return DrainBackendServer(body.id)


@to_command.register
def _(body: ReturnBody) -> Command:
    return ReturnBackendServer(body.id)


@to_command.register
def _(body: EvacuateZoneBody) -> Command:
    return EvacuateZone(body.zone)


@to_command.register
def _(body: ReturnZoneBody) -> Command:
    return ReturnZone(body.zone)


def describe_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return the JSON body for a configuration."""
    classes = configuration.classes_by_name
    return {
        "version": configuration.version,
        "classes": [classes[name] for name in sorted(classes)],
        "drained": sorted(configuration.drained),
        "evacuated_zones": sorted(configuration.evacuated_zones),
    }


class CommandHandler(Handler):
    """Accepts configuration commands of operators."""

    async def post(self) -> None:
        """Propose a command and respond with the single outcome of its command id."""
        parsed = parse_body(CommandBody, self.take_body())
        if parsed.is_error():
            self.refuse(parsed.error.http_status, parsed.error.message)
            return
        body = parsed.ok
        proposal = Propose(
            to_command(body.command), body.command_id, body.expected_version
        )
        try:
            error = await self._find_zone_error(proposal.command)
            if error is not None:
                self.refuse(400, error)
                return
            outcome = await self.runtime.ask(
                self.runtime.local("configuration"), proposal, COMMAND_TIMEOUT
            )
        except LinkError as error:
            self.respond(503, {"status": Status.UNKNOWN, "error": str(error)})
            return
        if outcome.status is CommandStatus.UNKNOWN:
            message = (
                "no majority of the instances with a disk has agreed on the command "
                f"within {PROPOSAL_TIMEOUT} s; resend it with the same command_id"
            )
            self.respond(503, {"status": outcome.status, "error": message})
            return
        self.respond(
            HTTP_STATUS_BY_OUTCOME[outcome.status],
            {"status": outcome.status, "version": outcome.version},
        )

    async def _find_zone_error(self, command: Command) -> str | None:
        """Return why a zone cannot be evacuated or returned, if it is not known.

        A zone that is evacuated can be returned after the settings have dropped it.
        """
        if not isinstance(command, ZoneCommand):
            return None
        known = set(self.runtime.settings.zones)
        if command.zone in known:
            return None
        if isinstance(command, ReturnZone):
            own = self.runtime.local("configuration")
            timeout = self.runtime.settings.timing.request_timeout
            read = await self.runtime.ask(own, FetchConfiguration(), timeout)
            if command.zone in read.configuration.evacuated_zones:
                return None
        names = ", ".join(sorted(known))
        return f"zone: unknown availability zone {command.zone!r}; known are {names}"


class ConfigurationHandler(Handler):
    """Shows the configuration in force on this instance."""

    async def get(self) -> None:
        """Return the configuration, or 503 if none is in force yet."""
        try:
            reply = await self.runtime.ask(
                self.runtime.local("configuration"),
                FetchConfiguration(),
                self.runtime.settings.timing.request_timeout,
            )
        except LinkError as error:
            self.respond(503, {"status": Status.UNKNOWN, "error": str(error)})
            return
        if not reply.in_force:
            message = "this instance has no configuration in force yet"
            self.respond(503, {"status": Status.UNKNOWN, "error": message})
            return
        self.respond(200, describe_configuration(reply.configuration))


class HistoryHandler(Handler):
    """Lists the accepted commands."""

    async def get(self) -> None:
        """Return the history of an instance with a disk, preferably of this one."""
        text = self.get_query_argument("limit", str(DEFAULT_HISTORY))
        limit = int(text) if text.isdecimal() and len(text) <= MAX_LIMIT_DIGITS else 0
        if not 1 <= limit <= RETAINED_HISTORY:
            message = f"limit: {text!r} is not a number from 1 to {RETAINED_HISTORY}"
            self.refuse(400, message)
            return
        history = await self._fetch_history(limit)
        if history is None:
            message = "no instance with a disk has the history up to this version"
            self.respond(503, {"status": Status.UNKNOWN, "error": message})
            return
        self.respond(200, {"entries": history.entries})

    async def _fetch_history(self, limit: int) -> History | None:
        """Return the history of the first member that is up to date.

        A member whose log lags behind the configuration in force does not have the
        newest commands. Returns ``None`` if no member is up to date.
        """
        settings = self.runtime.settings
        timeout = settings.timing.request_timeout
        own = self.runtime.local("configuration")
        try:
            in_force = await self.runtime.ask(own, FetchConfiguration(), timeout)
        except LinkError:
            return None
        for member in sorted(
            settings.ids_with_disk, key=lambda id_: id_ != settings.id
        ):
            to = Address(member, "configuration")
            try:
                history = await self.runtime.ask(to, ListHistory(limit), timeout)
            except LinkError:
                continue
            if history.version >= in_force.configuration.version:
                return history
        return None
