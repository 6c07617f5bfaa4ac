"""Chooses the jobs to stop so that a gang can be placed."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence

from peridothatch_core.model import job

Cells = tuple[job.Cell, ...]

RECENT_PREEMPTION_SECONDS = 600.0
"""A job preempted within this time is stopped again only if there is no alternative."""

MAX_TRIED = 64
"""Candidates that are tried in one search, which bounds the time of one decision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A job that could be stopped, or a claim that could be dropped.

    Attributes
    ----------
    cost : tuple
        Sort key by the work that is lost.
    release, restore : callable
        Free its resources in the fleet for a trial, and undo that.
    """

    id: str
    cost: tuple[float, ...]
    release: Callable[[], None]
    restore: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Candidates to stop, and the cells that are free once they have stopped."""

    stop: tuple[str, ...]
    cells: Cells


def preemption_cost(running: job.Job, *, urgent: bool) -> tuple[float, ...]:
    """Return the preemption cost of a running job as a sort key.

    Jobs that are not urgent come first; among these, jobs with a checkpoint, then those that
    can write one, then the others; among equals, the one that started last.
    """
    checkpoint_rank = 0 if running.checkpoint else 1 if running.checkpointable else 2
    return float(urgent), float(checkpoint_rank), -running.started_at


def choose_victims(
    candidates: Sequence[Candidate],
    probe: Callable[[], Cells | None],
    max_tried: int = MAX_TRIED,
) -> Plan | None:
    """Return the candidates to stop so that ``probe`` finds cells, or ``None``.

    Candidates are released in order of cost until there are cells. Those that turn out not to
    be needed are then restored, the most expensive first. The fleet is unchanged afterwards.
    """
    released: list[Candidate] = []
    cells = None
    for candidate in sorted(candidates, key=lambda c: (c.cost, c.id))[:max_tried]:
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
    """Restore the candidates that are not needed; return the cells without them."""
    for candidate in list(reversed(released)):
        candidate.restore()
        found = probe()
        if found is None:
            candidate.release()
        else:
            cells = found
            released.remove(candidate)
    return cells
