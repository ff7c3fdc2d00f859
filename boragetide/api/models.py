"""Validated models of request and response bodies."""

from __future__ import annotations

import hashlib
from functools import singledispatch
from typing import Annotated, Any

import msgspec
from pydantic import BaseModel, ConfigDict, Field

from boragetide.types import BackendServer, Submission, Task

JobIdField = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[!-~]+$")]
NameField = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$")]
TimeoutField = Annotated[float, Field(gt=0, le=120)]
SizeField = Annotated[float, Field(gt=0, le=3600)]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, populate_by_name=True)


class TaskBody(_Body):
    """One task of a job."""

    payload: Any
    size: SizeField | None = None
    timeout: TimeoutField = 30.0
    cores: Annotated[float, Field(ge=0)] = 0.0
    memory: Annotated[int, Field(ge=0)] = 0


class SubmissionBody(_Body):
    """What jobs and single requests share."""

    id: JobIdField
    class_name: Annotated[NameField, Field(alias="class")]
    team: Annotated[str, Field(max_length=100)] = ""


class JobBody(SubmissionBody):
    """Body of ``POST /v1/jobs``."""

    tasks: Annotated[list[TaskBody], Field(min_length=1)]


class RequestBody(SubmissionBody):
    """Body of ``POST /v1/requests``."""

    payload: Any
    idempotent: bool
    size: SizeField | None = None
    timeout: TimeoutField = 30.0


class JobIdsBody(_Body):
    """Body of ``POST /v1/job-ids``."""

    count: Annotated[int, Field(ge=1, le=1000)] = 1


class BackendServerBody(_Body):
    """Body of ``PUT /v1/backend-servers/{id}``; memory is in bytes."""

    address: Annotated[str, Field(pattern=r"^http://[^/\s]+$")]
    availability_zone: NameField
    rack: str = ""
    slots: Annotated[int, Field(gt=0, le=4096)]
    connections: Annotated[int, Field(gt=0)] = 64
    cores: Annotated[float, Field(gt=0)] = 1.0
    memory: Annotated[int, Field(gt=0)] = 1 << 30
    leaving: bool = False


@singledispatch
def to_submission(body: SubmissionBody) -> Submission:
    """Turn a validated body into a submission."""
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
    """Return the same digest for equal payloads, in whatever order their keys are."""
    payloads = [task.payload for task in tasks]
    encoded = msgspec.json.encode(payloads, order="deterministic")
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()


def to_backend_server(server_id: str, body: BackendServerBody) -> BackendServer:
    """Turn a validated announcement into a backend server."""
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
