"""Shapes of tasks and gangs."""

from __future__ import annotations

import dataclasses
import enum

MAX_GANG_TASKS = 1024


class Adjacency(enum.StrEnum):
    """The smallest part of the hierarchy that must hold the whole gang."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskShape:
    """What one task needs on its worker; its accelerators are adjacent there.

    Attributes
    ----------
    accelerators, cores, memory_mb : int
        Amounts per task; ``accelerators`` may be 0.
    """

    accelerators: int
    cores: int = 1
    memory_mb: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class GangShape:
    """A number of equal tasks that run together or not at all."""

    tasks: int
    task: TaskShape
    adjacency: Adjacency = Adjacency.DATA_CENTRE


def total_accelerators(gang: GangShape) -> int:
    """Return the number of accelerators of the whole gang."""
    return gang.tasks * gang.task.accelerators
