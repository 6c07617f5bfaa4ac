"""Refuses jobs whose rows or transactions would exceed the limits of the store.

An accepted job of this kind could never be scheduled, because the store rejects its writes.
"""

from __future__ import annotations

import typing

from peridothatch_core.model import verdict

if typing.TYPE_CHECKING:
    from peridothatch_core.model import steps

MAX_GANG_MEMBERS = 90
"""Most members of a gang. The orders of all members and the job's row are written in one
transaction, which has at most 100 entries."""

MAX_ROW_BYTES = 60_000
"""Largest estimated size of a job's row; the store accepts 65,536 bytes."""

JOB_BYTES = 800
"""Estimated size of a job without its steps."""

STEP_BYTES = 600
"""Estimated size of a step's description."""

PROGRESS_BYTES = 160
"""Estimated size of a step's progress in one occurrence, without its tasks."""

TASK_BYTES = 40
"""Estimated size of a task's counters and checkpoint."""

RUN_BYTES = 120
"""Estimated size of an open run."""

OPEN_OCCURRENCES = 2
"""Occurrences that may have open runs at the same time in every job that is accepted."""


def check(
    job_steps: tuple[steps.Step, ...], timetable: steps.Timetable | None
) -> verdict.Refusal | None:
    """Return a refusal if the job exceeds the limits of the store, or ``None``."""
    largest_gang = max((step.count for step in job_steps if step.gang), default=0)
    if largest_gang > MAX_GANG_MEMBERS:
        return verdict.invalid(
            "gang", largest_gang, f"at most {MAX_GANG_MEMBERS} members in one gang"
        )
    row_size = estimate_row_bytes(job_steps, timetable)
    if row_size > MAX_ROW_BYTES:
        tasks = sum(step.count for step in job_steps)
        expected = (
            f"fewer tasks or occurrences: its state takes {row_size} bytes of {MAX_ROW_BYTES}"
        )
        return verdict.invalid("count", tasks, expected)
    return None


def estimate_row_bytes(
    job_steps: tuple[steps.Step, ...], timetable: steps.Timetable | None
) -> int:
    """Return an upper estimate of the size of a job's row, in bytes."""
    times = timetable.times if timetable else 1
    tasks = sum(step.count for step in job_steps)
    runs = RUN_BYTES * tasks * min(times, OPEN_OCCURRENCES)
    return _bytes_without_runs(job_steps, timetable) + runs


def max_open_runs(job_steps: tuple[steps.Step, ...], timetable: steps.Timetable | None) -> int:
    """Return how many runs of an accepted job may be open, so that the store takes its row.

    More occurrences than usual have open runs when they fall due during an outage, or when their
    tasks take longer than the interval between them.
    """
    left_bytes = MAX_ROW_BYTES - _bytes_without_runs(job_steps, timetable)
    return max(0, left_bytes) // RUN_BYTES


def _bytes_without_runs(
    job_steps: tuple[steps.Step, ...], timetable: steps.Timetable | None
) -> int:
    times = timetable.times if timetable else 1
    tasks = sum(step.count for step in job_steps)
    per_occurrence = PROGRESS_BYTES * len(job_steps) + TASK_BYTES * tasks
    return JOB_BYTES + STEP_BYTES * len(job_steps) + times * per_occurrence
