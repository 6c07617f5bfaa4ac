"""Jobs, their states and their placement."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import shape


class State(enum.StrEnum):
    """Where a job stands; the last three are final."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({State.SUCCEEDED, State.FAILED, State.CANCELLED})


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """The part of one worker that one task holds.

    Attributes
    ----------
    task : int
        Index of the task in its gang.
    accelerators : tuple of int
        Indices of adjacent accelerators on the worker.
    """

    task: int
    worker: str
    accelerators: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as its row in the store holds it.

    Attributes
    ----------
    run : int
        Number of the current or last run; 0 before the first. It fences earlier runs.
    submitted_at : float
        Seconds since 1970-01-01 UTC.
    due_at : float
        When the class's target falls due, in the same unit.
    expected_seconds : float
        The submitter's hint; 0 when absent.
    trace : str
        Action of the structured log that the job belongs to.
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
