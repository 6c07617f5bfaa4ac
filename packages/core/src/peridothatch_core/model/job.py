"""Jobs, their states and the resources assigned to them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import shape


class State(enum.StrEnum):
    """State of a job; the last three values are final."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({State.SUCCEEDED, State.FAILED, State.CANCELLED})


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """Resources of a worker that are assigned to a task.

    Attributes
    ----------
    task : int
        Index of the task in its gang.
    accelerators : tuple of int
        Indices of the assigned accelerators, which are adjacent on the worker.
    """

    task: int
    worker: str
    accelerators: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job, as stored in its row.

    Attributes
    ----------
    run : int
        Number of the current or last run; 0 before the first. Serves as a fencing token
        against earlier runs.
    submitted_at : float
        Seconds since 1970-01-01 UTC.
    due_at : float
        Completion time required by the job's class, in the same unit.
    expected_seconds : float
        Duration estimated by the submitter; 0 if not given.
    trace : str
        Action in the structured log to which the job belongs.
    """

    id: str
    customer: str
    work_class: str
    shape: shape.GangShape
    command: tuple[str, ...]
    data_centre: str
    submitted_at: float
    due_at: float
    state: State = State.WAITING
    run: int = 0
    epoch: int = 0
    cells: tuple[Cell, ...] = ()
    checkpointable: bool = False
    checkpoint: str = ""
    expected_seconds: float = 0.0
    borrowed: bool = False
    started_at: float = 0.0
    ended_at: float = 0.0
    failures: int = 0
    results: tuple[str, ...] = ()
    detail: str = ""
    cancel_requested: bool = False
    trace: str = ""
