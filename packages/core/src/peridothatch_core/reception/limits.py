"""Refuses jobs whose rows or transactions would exceed the limits of the store.

An accepted job of this kind could never be scheduled, because the store rejects its writes.
"""

from __future__ import annotations

import collections
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
"""Least estimated size of a step's description, which covers names of usual length."""

STEP_FIXED_BYTES = 360
"""Largest size of a step's description without its names and its predecessors."""

PROGRESS_BYTES = 160
"""Estimated size of a step's progress in one occurrence, without its tasks."""

TASK_BYTES = 40
"""Estimated size of a task's counters and checkpoint."""

RUN_BYTES = 120
"""Estimated size of an open run."""

ESCAPE_BYTES = 6
"""Size of a control character in JSON."""

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
        excess = sum(max(0, _step_bytes(step) - STEP_BYTES) for step in job_steps)
        if row_size - excess <= MAX_ROW_BYTES:
            return _refuse_descriptions(job_steps, row_size)
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
    return JOB_BYTES + sum(map(_step_bytes, job_steps)) + times * per_occurrence


def _refuse_descriptions(job_steps: tuple[steps.Step, ...], row_size: int) -> verdict.Refusal:
    """Return a refusal that names the field which takes most of the row."""
    totals: collections.Counter[str] = collections.Counter()
    for step in job_steps:
        totals.update(_variable_bytes(step))
    ((field, size),) = totals.most_common(1)
    expected = (
        f"less in this field of all steps: the job's state takes {row_size} bytes of "
        f"{MAX_ROW_BYTES}"
    )
    return verdict.invalid(field, f"{size} bytes", expected)


def _step_bytes(step: steps.Step) -> int:
    return max(STEP_BYTES, STEP_FIXED_BYTES + sum(_variable_bytes(step).values()))


def _variable_bytes(step: steps.Step) -> dict[str, int]:
    """Return the sizes of the parts of a step's description that have no fixed bound."""
    return {
        "image": _encoded_bytes(step.image),
        "requires": _encoded_bytes(step.requires),
        "affinity": _encoded_bytes(step.affinity),
        "after": sum(len(str(earlier)) + 1 for earlier in step.after),
    }


def _encoded_bytes(text: str) -> int:
    """Return an upper bound of the size of a text in JSON, without its quotation marks."""
    escaped = sum(character in '"\\' for character in text)
    control = sum(character < " " for character in text)
    return len(text.encode()) + escaped + (ESCAPE_BYTES - 1) * control
