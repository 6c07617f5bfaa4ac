"""Models of the JSON bodies, and their conversion to data classes."""

from __future__ import annotations

import typing

import pydantic

from peridothatch_core.model import shape

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
Name = typing.Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]
Argument = typing.Annotated[str, pydantic.StringConstraints(max_length=4096)]
MAX_ACCELERATORS_PER_TASK = 64
MAX_CORES_PER_TASK = 4096
MAX_MEMORY_MB_PER_TASK = 64 * 1024 * 1024
MAX_EXPECTED_SECONDS = 366 * 86400.0


class Strict(pydantic.BaseModel):
    """A body: unknown fields are errors and no value is converted to another type."""

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
    """Return the data class of a shape."""
    return shape.GangShape(
        document.tasks,
        shape.TaskShape(document.task.accelerators, document.task.cores, document.task.memory_mb),
        shape.Adjacency(document.adjacency),
    )
