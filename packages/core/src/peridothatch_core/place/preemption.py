"""Which borrowed work to stop so that a shape can be formed."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence

from peridothatch_core.model import job

Cells = tuple[job.Cell, ...]

RECENT_PREEMPTION_SECONDS = 600.0
"""A job preempted within this time is stopped again only when there is no other choice."""

MAX_TRIED = 64
"""Candidates that are released in search of room, which bounds the time of one decision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Something that could stop.

    Attributes
    ----------
    loss : tuple
        Sorts candidates by the work that is lost when they stop.
    release, restore : callable
        Free its room in the fleet for a trial, and undo that.
    """

    id: str
    cost: tuple[float, ...]
    release: Callable[[], None]
    restore: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Candidates that must stop, and the cells that are free when they have stopped."""

    stop: tuple[str, ...]
    cells: Cells


def preemption_cost(running: job.Job, *, urgent: bool) -> tuple[float, ...]:
    """Return the sort key of a running job: what its stop loses.

    Work that is not urgent goes first; then jobs with a checkpoint, then those that can write
    one, then the rest; the youngest first among equals.
    """
    kept = 0 if running.checkpoint else 1 if running.checkpointable else 2
    return float(urgent), float(kept), -running.started_at


def choose_victims(
    candidates: Sequence[Candidate],
    probe: Callable[[], Cells | None],
    most_tried: int = MAX_TRIED,
) -> Plan | None:
    """Return which candidates to stop so that ``probe`` finds cells, or ``None``.

    Candidates are released in order of loss until there are cells. Those whose room is not
    needed after all are then kept, starting with the greatest loss. The fleet is as before
    afterwards.
    """
    released: list[Candidate] = []
    cells = None
    for candidate in sorted(candidates, key=lambda c: (c.cost, c.id))[:most_tried]:
        candidate.release()
        released.append(candidate)
        cells = probe()
        if cells is not None:
            break
    if cells is not None:
        cells = _restore_unneeded(released, probe, cells)
    for candidate in reversed(released):
        candidate.restore()
    return None if cells is None else Plan(tuple(c.id for c in released), cells)


def _restore_unneeded(
    released: list[Candidate], probe: Callable[[], Cells | None], cells: Cells
) -> Cells:
    """Restore the candidates that are not needed, and return the cells without them."""
    for candidate in list(reversed(released)):
        candidate.restore()
        without = probe()
        if without is None:
            candidate.release()
        else:
            cells = without
            released.remove(candidate)
    return cells
