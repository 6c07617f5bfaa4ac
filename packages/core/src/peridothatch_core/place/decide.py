"""The job decisions of one data centre: what to place, preempt, move out or send elsewhere.

The planner task owns one ``State``. It reports events with the ``record_*`` functions and then
calls ``decide``. A returned ``Place`` or ``Preempt`` is already recorded in the state, so that
the next call does not repeat it; the planner reports how it went with another event.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from peridothatch_core.model import config, job, worker


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
class MoveOut:
    """Checkpoint and stop a job because the data centre is out of service.

    Each job is returned once, until ``record_waiting`` or ``record_ended`` reports it.
    """

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Elsewhere:
    """A waiting job cannot run here; the planner should write another data centre in its row.

    ``data_centre`` is the choice by the digests of the others, empty when none has room. The job
    stays in the state, and is returned again after a pause, until ``record_ended`` removes it.
    """

    job_id: str
    reason: str
    data_centre: str = ""


Decision = Place | Preempt | MoveOut | Elsewhere


@dataclasses.dataclass(frozen=True, slots=True)
class OtherCentre:
    """Free capacity of another data centre, from its planner's digest."""

    in_service: bool
    free_accelerators: int
    free_blocks: tuple[int, ...]


@dataclasses.dataclass(slots=True)
class State:
    """What the planner of one data centre knows; changed by this module's functions only.

    Attributes
    ----------
    in_service : bool
        Whether the data centre is in service, from the snapshot.
    others : mapping of str to OtherCentre
        The other data centres by name; assigned by the planner.
    held_elsewhere : mapping of str to int
        Accelerators that each customer holds in other data centres; assigned by the planner.
    """

    data_centre: str
    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    in_service: bool = True
    others: Mapping[str, OtherCentre] = dataclasses.field(default_factory=dict)
    held_elsewhere: Mapping[str, int] = dataclasses.field(default_factory=dict)
    waiting: dict[str, job.Job] = dataclasses.field(default_factory=dict)
    running: dict[str, job.Job] = dataclasses.field(default_factory=dict)


def create(data_centre: str) -> State:
    """Return the state of a planner that knows no worker and no job yet."""
    return State(data_centre)


def decide(state: State, now: float) -> list[Decision]:
    """Return what to do now.

    Parameters
    ----------
    now : float
        Seconds since 1970-01-01 UTC, as in job rows. It affects order and waits only.
    """
    raise NotImplementedError


def record_config(state: State, snapshot: config.Snapshot, now: float) -> None:
    """Record a new configuration; it carries the service state of the data centre."""
    raise NotImplementedError


def record_waiting(state: State, waiting: job.Job, now: float) -> None:
    """Record that a job waits here: new, stopped, or not started after ``Place``.

    Cells that it held are free again, so it must be certain that none of its tasks runs.
    """
    raise NotImplementedError


def record_started(state: State, started: job.Job, now: float) -> None:
    """Record that a job holds ``started.cells``, after ``Place`` or when read from its row.

    The cells may be on workers that have not joined yet.
    """
    raise NotImplementedError


def record_ended(state: State, job_id: str, now: float, *, succeeded: bool = False) -> None:
    """Record that a job ended, was cancelled or went to another data centre."""
    raise NotImplementedError


def record_failed(state: State, job_id: str, workers: tuple[str, ...], now: float) -> bool:
    """Record a run that failed on these workers; return whether to run the job again.

    The job keeps its cells until ``record_waiting`` or ``record_ended`` follows.
    """
    raise NotImplementedError


def record_worker_joined(state: State, joined: worker.Worker, now: float) -> None:
    """Record a worker that announced itself, or announced itself again."""
    raise NotImplementedError


def record_worker_lost(state: State, worker_id: str, now: float) -> tuple[str, ...]:
    """Record that a worker is gone; return the jobs that hold cells on it."""
    raise NotImplementedError
