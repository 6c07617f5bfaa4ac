"""Jobs that the rows of the store cannot hold; they are refused instead of accepted and stuck."""

from __future__ import annotations

import typing

from peridothatch_core.model import verdict

if typing.TYPE_CHECKING:
    from peridothatch_core.model import steps

GANG_MEMBERS = 90
"""Members of a gang: all their orders and the job's row are one transaction of 100 entries."""

ROW_BYTES = 60_000
"""Size of a job's row; the store takes 65,536 bytes."""

JOB_BYTES = 800
"""Size of a job without its steps."""

STEP_BYTES = 600
"""Size of the description of a step."""

PROGRESS_BYTES = 160
"""Size of a step's progress in one occurrence, without its tasks."""

TASK_BYTES = 40
"""Size of a task's counts and checkpoint."""

RUN_BYTES = 120
"""Size of an open run."""

OPEN_OCCURRENCES = 2
"""Occurrences whose runs are usually open at a time."""


def check(
    parts: tuple[steps.Step, ...], timetable: steps.Timetable | None
) -> verdict.Refusal | None:
    """Return why a job cannot be held, or ``None``."""
    widest = max((step.count for step in parts if step.gang), default=0)
    if widest > GANG_MEMBERS:
        return verdict.invalid("gang", widest, f"at most {GANG_MEMBERS} members in one gang")
    needed = row_bytes(parts, timetable)
    if needed > ROW_BYTES:
        tasks = sum(step.count for step in parts)
        expected = f"fewer tasks or occurrences: its state takes {needed} bytes of {ROW_BYTES}"
        return verdict.invalid("count", tasks, expected)
    return None


def row_bytes(parts: tuple[steps.Step, ...], timetable: steps.Timetable | None) -> int:
    """Return an upper estimate of the size of a job's row."""
    times = timetable.times if timetable else 1
    tasks = sum(step.count for step in parts)
    each = PROGRESS_BYTES * len(parts) + TASK_BYTES * tasks
    runs = RUN_BYTES * tasks * min(times, OPEN_OCCURRENCES)
    return JOB_BYTES + STEP_BYTES * len(parts) + times * each + runs
