"""Resource requirements of tasks and gangs."""

from __future__ import annotations

import dataclasses
import enum

MAX_GANG_TASKS = 1024


class Adjacency(enum.StrEnum):
    """The unit of the hardware hierarchy within which the whole gang must be placed."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskShape:
    """Resources that a task needs on its worker, where its accelerators must be adjacent.

    Attributes
    ----------
    accelerators, cores, memory_mb : int
        Amount for each task; ``accelerators`` may be 0.
    """

    accelerators: int
    cores: int = 1
    memory_mb: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class GangShape:
    """A number of identical tasks that are started together or not at all."""

    tasks: int
    task: TaskShape
    adjacency: Adjacency = Adjacency.DATA_CENTRE


def total_accelerators(gang: GangShape) -> int:
    """Return the number of accelerators needed by all tasks of a gang."""
    return gang.tasks * gang.task.accelerators
