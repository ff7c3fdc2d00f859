"""Models of request bodies for durable jobs and the backend servers that run them."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from boragetide.api.models import AddressField, JobIdField, NameField, SizeField
from boragetide.durable import DurableJob, Resources, ServerReport, Step
from boragetide.limits import (
    MAX_ACCELERATORS,
    MAX_CLOCK,
    MAX_CORES,
    MAX_LABELS,
    MAX_MEMORY,
    MAX_SEQUENCE,
    MAX_SPEC_LENGTH,
    MAX_TASKS,
    MAX_TIMESTAMP_MS,
)
from boragetide.types import ClassTarget, Seconds

MILLICORES_PER_CORE = 1000
BYTES_PER_MIB = 1 << 20
MAX_STEPS = 64
LabelField = Annotated[str, Field(max_length=100)]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


class StepBody(_Body):
    """Identical tasks of a job; memory is in bytes, ``estimate`` in seconds."""

    count: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    cores: Annotated[float, Field(gt=0, le=MAX_CORES)] = 1.0
    memory: Annotated[int, Field(ge=0, le=MAX_MEMORY)] = 0
    accelerators: Annotated[int, Field(ge=0, le=MAX_ACCELERATORS)] = 0
    estimate: SizeField
    depends_on: Annotated[list[int], Field(max_length=MAX_STEPS)] = []
    required_label: LabelField = ""
    data_rack: LabelField = ""
    max_per_server: Annotated[int, Field(ge=0, le=MAX_TASKS)] = 0


class DurableJobBody(_Body):
    """Body of ``POST /v1/durable-jobs``."""

    id: JobIdField
    class_name: Annotated[NameField, Field(alias="class")]
    spec: Annotated[str, Field(max_length=MAX_SPEC_LENGTH)] = ""
    steps: Annotated[list[StepBody], Field(min_length=1, max_length=MAX_STEPS)]
    best_effort: bool = False

    @model_validator(mode="after")
    def _check_steps(self) -> DurableJobBody:
        for position, step in enumerate(self.steps):
            for other in step.depends_on:
                if not 0 <= other < position:
                    message = f"step {position} depends on {other}, no earlier step"
                    raise ValueError(message)
        return self


class RunServerBody(_Body):
    """Body of ``PUT /v1/run-servers/{id}``.

    ``born`` is the Unix time in milliseconds at which the process started. ``sequence``
    increases with each announcement of that process. ``clock`` is its monotonic clock
    in seconds.
    """

    address: AddressField
    pool: NameField
    availability_zone: NameField
    cores: Annotated[float, Field(gt=0, le=MAX_CORES)]
    memory: Annotated[int, Field(gt=0, le=MAX_MEMORY)]
    accelerators: Annotated[int, Field(ge=0, le=MAX_ACCELERATORS)] = 0
    labels: Annotated[list[LabelField], Field(max_length=MAX_LABELS)] = []
    leaving: bool = False
    born: Annotated[int, Field(gt=0, le=MAX_TIMESTAMP_MS)]
    sequence: Annotated[int, Field(ge=0, le=MAX_SEQUENCE)]
    clock: Annotated[float, Field(ge=0, le=MAX_CLOCK)] | None = None


def to_durable_job(
    body: DurableJobBody, target: ClassTarget, now: Seconds
) -> DurableJob:
    """Convert a validated body to a job of a durable class."""
    return DurableJob(
        id=body.id,
        class_name=target.name,
        spec=body.spec,
        steps=tuple(_to_step(step) for step in body.steps),
        starts=target.durable,
        submitted_at=now,
        response_time=target.response_time,
        best_effort=body.best_effort,
    )


def _to_step(body: StepBody) -> Step:
    return Step(
        count=body.count,
        needs=_to_resources(body.cores, body.memory, body.accelerators),
        estimate=body.estimate,
        depends_on=tuple(body.depends_on),
        required_label=body.required_label,
        data_rack=body.data_rack,
        max_per_server=body.max_per_server,
    )


def _to_resources(cores: float, memory: int, accelerators: int) -> Resources:
    return Resources(
        round(cores * MILLICORES_PER_CORE), memory // BYTES_PER_MIB, accelerators
    )


def to_server_report(server_id: str, body: RunServerBody) -> ServerReport:
    """Convert a validated announcement to a report for the dispatcher."""
    return ServerReport(
        id=server_id,
        address=body.address,
        pool=body.pool,
        zone=body.availability_zone,
        capacity=_to_resources(body.cores, body.memory, body.accelerators),
        labels=tuple(body.labels),
        draining=body.leaving,
        born=body.born,
        sequence=body.sequence,
        clock=body.clock,
    )
