"""Validated models of request bodies and their conversion to product types."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import singledispatch
from typing import Annotated, Any, TypeVar

import msgspec
from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from boragetide.json_values import find_unsupported_value, may_have_unsupported_value
from boragetide.limits import (
    HOST_PATTERN,
    MAX_CORES,
    MAX_MEMORY,
    MAX_NAME_LENGTH,
    MAX_TASKS,
    PORT_PATTERN,
)
from boragetide.types import BackendServer, Submission, Task

JobIdField = Annotated[
    str, Field(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"^[!-~]+$")
]
AddressField = Annotated[str, Field(pattern=rf"^http://{HOST_PATTERN}:{PORT_PATTERN}$")]
NameField = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$")]
TimeoutField = Annotated[float, Field(gt=0, le=120)]
SizeField = Annotated[float, Field(gt=0, le=3600)]


class _Body(BaseModel):
    model_config = ConfigDict(
        extra="forbid", strict=True, populate_by_name=True, allow_inf_nan=False
    )


class TaskBody(_Body):
    """One task of a job; memory is in bytes, ``size`` and ``timeout`` in seconds."""

    payload: Any
    size: SizeField | None = None
    timeout: TimeoutField = 30.0
    cores: Annotated[float, Field(ge=0, le=MAX_CORES)] = 0.0
    memory: Annotated[int, Field(ge=0, le=MAX_MEMORY)] = 0


class SubmissionBody(_Body):
    """Fields that jobs and single requests have in common."""

    id: JobIdField
    class_name: Annotated[NameField, Field(alias="class")]
    team: Annotated[str, Field(max_length=100)] = ""


class JobBody(SubmissionBody):
    """Body of ``POST /v1/jobs``."""

    tasks: Annotated[list[TaskBody], Field(min_length=1, max_length=MAX_TASKS)]


class RequestBody(SubmissionBody):
    """Body of ``POST /v1/requests``; ``size`` and ``timeout`` are in seconds."""

    payload: Any
    idempotent: bool
    size: SizeField | None = None
    timeout: TimeoutField = 30.0


class JobIdsBody(_Body):
    """Body of ``POST /v1/job-ids``."""

    count: Annotated[int, Field(ge=1, le=1000)] = 1


class BackendServerBody(_Body):
    """Body of ``PUT /v1/backend-servers/{id}``; memory is in bytes.

    ``lease`` is the newest lease that the backend server holds. It is empty if the
    backend server holds none, for example after a restart.
    """

    address: AddressField
    availability_zone: NameField
    rack: Annotated[str, Field(max_length=100)] = ""
    slots: Annotated[int, Field(gt=0, le=4096)]
    connections: Annotated[int, Field(gt=0, le=65_536)] = 64
    cores: Annotated[float, Field(gt=0, le=MAX_CORES)] = 1.0
    memory: Annotated[int, Field(gt=0, le=MAX_MEMORY)] = 1 << 30
    leaving: bool = False
    lease: Annotated[str, Field(max_length=200)] | None = None


_MESSAGES_BY_ERROR_TYPE = {
    "missing": "field is missing",
    "extra_forbidden": "unknown field",
}

_JOB_ID = TypeAdapter(JobIdField)
_NAME = TypeAdapter(NameField)


def find_id_error(text: str, *, job: bool = False) -> str | None:
    """Return why an id from a URL path is invalid, or ``None`` if it is valid."""
    try:
        (_JOB_ID if job else _NAME).validate_python(text)
    except ValidationError as error:
        return f"id: {error.errors(include_url=False)[0]['msg']}"
    return None


BodyType = TypeVar("BodyType", bound=_Body)


@dataclass(frozen=True, slots=True)
class BodyError:
    """Reason why a request body was rejected; the message names the field."""

    http_status: int
    message: str


def parse_body(model: type[BodyType], text: bytes) -> Result[BodyType, BodyError]:
    """Validate the JSON text of a request body."""
    try:
        body = model.model_validate_json(text)
    except ValidationError as error:
        return Error(_describe_error(error))
    for name, payload in (
        list_payloads(body) if may_have_unsupported_value(text) else ()
    ):
        reason = find_unsupported_value(payload)
        if reason is not None:
            return Error(BodyError(400, f"{name}: {reason}"))
    return Ok(body)


def _describe_error(error: ValidationError) -> BodyError:
    detail = error.errors(include_url=False)[0]
    name = ".".join(str(part) for part in detail["loc"]) or "body"
    status = 413 if detail["type"] == "too_long" else 400
    message = _MESSAGES_BY_ERROR_TYPE.get(detail["type"], detail["msg"])
    return BodyError(status, f"{name}: {message}")


@singledispatch
def list_payloads(body: _Body) -> list[tuple[str, Any]]:
    """Return the payloads of a body with the names of their fields."""
    return []


@list_payloads.register
def _(body: JobBody) -> list[tuple[str, Any]]:
    return [(f"tasks.{n}.payload", task.payload) for n, task in enumerate(body.tasks)]


@list_payloads.register
def _(body: RequestBody) -> list[tuple[str, Any]]:
    return [("payload", body.payload)]


@singledispatch
def to_submission(body: SubmissionBody) -> Submission:
    """Convert a validated body to a submission."""
    raise TypeError(f"no submission for {body!r}")


@to_submission.register
def _(body: JobBody) -> Submission:
    tasks = tuple(Task(**dict(task)) for task in body.tasks)
    digest = digest_payloads(tasks)
    return Submission(body.id, body.class_name, tasks, team=body.team, digest=digest)


@to_submission.register
def _(body: RequestBody) -> Submission:
    task = Task(body.payload, body.size, body.timeout)
    return Submission(
        body.id,
        body.class_name,
        (task,),
        idempotent=body.idempotent,
        team=body.team,
        digest=digest_payloads((task,)),
    )


def digest_payloads(tasks: tuple[Task, ...]) -> str:
    """Return a digest of the payloads that is independent of the order of keys."""
    payloads = [task.payload for task in tasks]
    encoded = msgspec.json.encode(payloads, order="deterministic")
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()


def to_backend_server(server_id: str, body: BackendServerBody) -> BackendServer:
    """Convert a validated announcement to a backend server."""
    return BackendServer(
        id=server_id,
        address=body.address,
        zone=body.availability_zone,
        rack=body.rack,
        slots=body.slots,
        connections=body.connections,
        cores=body.cores,
        memory=body.memory,
        leaving=body.leaving,
    )
