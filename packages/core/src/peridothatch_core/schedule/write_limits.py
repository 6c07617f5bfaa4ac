"""Bounds the new runs of a job, so that the store accepts its row and their transaction."""

from __future__ import annotations

import typing

from peridothatch_core.commit import limits
from peridothatch_core.reception import limits as row_limits

if typing.TYPE_CHECKING:
    from peridothatch_core.model import steps
    from peridothatch_core.schedule import state as states

ROW_ENTRIES = 3
"""Entries of a transaction for the epoch and for the version and the value of the job's row."""


def max_new_runs(state: states.State, job: steps.Job) -> int:
    """Return how many runs of a job may still be ordered in this cycle.

    All orders of a job are written in the transaction of its row, together with its withdrawals
    and stops. Each takes at least one entry. The row holds all open and all unreported runs.
    """
    change = state.changes.get(job.id)
    used = len(change.writes) + len(change.conditions) if change else 0
    free_entries = limits.MAX_ENTRIES - ROW_ENTRIES - used
    open_runs = sum(
        len(step_progress.runs) + len(step_progress.unreported) for step_progress in job.progress
    )
    free_runs = row_limits.max_open_runs(job.steps, job.timetable) - open_runs
    return max(0, min(free_entries, free_runs))
