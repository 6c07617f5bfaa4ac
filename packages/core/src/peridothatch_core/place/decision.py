"""What the planner of a data centre is told to do."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import job


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Start the whole gang on these cells.

    The cells are taken in the state. ``record_started`` confirms the start; ``record_waiting``
    gives the cells back when the gang could not be started.
    """

    job_id: str
    cells: tuple[job.Cell, ...]
    borrowed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a borrowed job for another one, after a checkpoint where it can write one.

    Its cells stay taken until ``record_waiting`` or ``record_ended`` reports that it stopped.
    """

    job_id: str
    for_job: str


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuate:
    """Checkpoint and stop a job because the data centre is out of service.

    Each job is returned once, until ``record_waiting`` or ``record_ended`` reports it.
    """

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """A waiting job cannot run here; the planner should write another data centre in its row.

    ``data_centre`` is the choice by the digests of the others, empty when none has room. The job
    stays in the state, and is returned again after a pause, until ``record_ended`` removes it.
    """

    job_id: str
    reason: str
    data_centre: str = ""


Decision = Place | Preempt | Evacuate | Transfer
