"""Models of the JSON bodies, and their conversion to data classes.

The OpenAPI document contains the docstrings of the models.
"""

from __future__ import annotations

import typing

import pydantic

from peridothatch_core.admit import changes
from peridothatch_core.model import shape

Name = typing.Annotated[str, pydantic.StringConstraints(pattern=f"^{changes.NAME.pattern}$")]
Argument = typing.Annotated[str, pydantic.StringConstraints(max_length=4096)]
MAX_ACCELERATORS_PER_TASK = 64
MAX_CORES_PER_TASK = 4096
MAX_MEMORY_MB_PER_TASK = 64 * 1024 * 1024
MAX_QUOTA_ACCELERATORS = 1_000_000
MAX_EXPECTED_SECONDS = 366 * 86400.0


class Strict(pydantic.BaseModel):
    """Base class of bodies: forbids unknown fields and conversions between types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


class TaskShape(Strict):
    """What one task needs on its worker."""

    accelerators: int = pydantic.Field(ge=0, le=MAX_ACCELERATORS_PER_TASK)
    cores: int = pydantic.Field(default=1, ge=1, le=MAX_CORES_PER_TASK)
    memory_mb: int = pydantic.Field(default=256, ge=1, le=MAX_MEMORY_MB_PER_TASK)


class GangShape(Strict):
    """Equal tasks that run together or not at all."""

    tasks: int = pydantic.Field(default=1, ge=1, le=shape.MAX_GANG_TASKS)
    task: TaskShape
    adjacency: typing.Literal["worker", "rack", "data_centre"] = "data_centre"


class JobSubmission(Strict):
    """A job to run."""

    customer: str = pydantic.Field(default="", description="Needed from operators only.")
    work_class: Name
    shape: GangShape
    command: list[Argument] = pydantic.Field(min_length=1, max_length=256)
    checkpointable: bool = False
    expected_seconds: float = pydantic.Field(default=0.0, ge=0.0, le=MAX_EXPECTED_SECONDS)


def gang_shape(document: GangShape) -> shape.GangShape:
    """Convert the model of a shape to its data class."""
    return shape.GangShape(
        document.tasks,
        shape.TaskShape(document.task.accelerators, document.task.cores, document.task.memory_mb),
        shape.Adjacency(document.adjacency),
    )


class ClassDocument(Strict):
    """A class of work and its target."""

    target: str = pydantic.Field(
        max_length=100, description="Such as 'within 8h' or 'by 06:00 Africa/Accra'."
    )
    urgent: bool = False


class CustomerDocument(Strict):
    """A customer; without ``token_sha256`` an existing customer keeps its token."""

    quota_accelerators: int = pydantic.Field(ge=0, le=MAX_QUOTA_ACCELERATORS)
    token_sha256: str = pydantic.Field(
        default="",
        pattern=r"^([0-9a-f]{64})?$",
        description="SHA-256 of the bearer token, in lower-case hexadecimal.",
    )


class GuaranteeDocument(Strict):
    """A shape that a customer can always have, ``count`` times over."""

    customer: Name
    shape: GangShape
    count: int = pydantic.Field(default=1, ge=1, le=MAX_QUOTA_ACCELERATORS)
    data_centre: str = pydantic.Field(
        default="", max_length=63, description="Empty lets the system choose."
    )


class Problem(pydantic.BaseModel):
    """Why something was refused, and whether it may have run."""

    title: str
    status: int
    detail: str
    verdict: typing.Literal["ran", "not_run", "may_have_run"]
    field: str = ""
    value: str = ""
    expected: str = ""
