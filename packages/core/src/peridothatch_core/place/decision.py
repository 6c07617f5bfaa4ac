"""Decisions for the planner of a data centre to carry out."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import job


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Start the whole gang on these cells.

    The cells are already allocated in the state. ``record_started`` confirms the start;
    ``record_waiting`` releases the cells when the gang could not be started.
    """

    job_id: str
    cells: tuple[job.Cell, ...]
    borrowed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a borrowed job for another one, after a checkpoint if the job can write one.

    Its cells stay allocated until ``record_waiting`` or ``record_ended`` reports that it stopped.
    """

    job_id: str
    for_job: str


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuate:
    """Checkpoint and stop a job because the data centre is out of service.

    The decision is returned once per job, until ``record_waiting`` or ``record_ended`` reports
    that the job stopped.
    """

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Assign a waiting job to another data centre in its row, since it cannot run here now.

    ``data_centre`` is chosen by the digests of the other data centres; it is empty when none of
    them is in service. The job stays in the state until ``record_ended`` removes it, and the
    decision is repeated after a pause until then.
    """

    job_id: str
    reason: str
    data_centre: str = ""


Decision = Place | Preempt | Evacuate | Transfer
