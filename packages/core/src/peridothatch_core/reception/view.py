"""What an entry can say of jobs from the rows that it follows."""

from __future__ import annotations

import dataclasses

from peridothatch_core.model import steps

UNCONFIRMED_MS = 5000
"""Time after its first order during which a job counts as not begun: the start has not been
confirmed. An order is carried out or rejected well within it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """The part of a job's row that callers ask about.

    Attributes
    ----------
    ordered_ms : int
        Store time of the earliest order that is still open; 0 without one.
    """

    queue: str
    state: steps.JobState
    begun: bool
    ordered_ms: int


@dataclasses.dataclass(slots=True)
class View:
    """Jobs by id, and the unfinished jobs of each queue."""

    jobs: dict[str, Seen] = dataclasses.field(default_factory=dict)
    waiting: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    loaded: bool = False


def put(view: View, job: steps.Job) -> None:
    """Take a job's row over."""
    ordered = [run.ordered_ms for progress in job.progress for run in progress.runs]
    remove(view, job.id)
    view.jobs[job.id] = Seen(job.queue, job.state, job.begun, min(ordered, default=0))
    if not job.begun and job.state not in steps.FINAL_STATES:
        view.waiting.setdefault(job.queue, set()).add(job.id)


def remove(view: View, job_id: str) -> None:
    """Forget a job."""
    seen = view.jobs.pop(job_id, None)
    if seen is not None:
        view.waiting.get(seen.queue, set()).discard(job_id)


def replace(view: View, jobs: list[steps.Job]) -> None:
    """Take all rows over; jobs without a row do not exist."""
    view.jobs.clear()
    view.waiting.clear()
    for job in jobs:
        put(view, job)
    view.loaded = True


def count_pending(view: View, queue: str, now_ms: int) -> int:
    """Return the number of a queue's jobs of which no task has certainly begun."""
    count = 0
    for job_id in view.waiting.get(queue, ()):
        seen = view.jobs[job_id]
        if not seen.ordered_ms or now_ms - seen.ordered_ms < UNCONFIRMED_MS:
            count += 1
    return count
