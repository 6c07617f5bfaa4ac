"""An entry's view of the jobs, built from the feed of their rows."""

from __future__ import annotations

import dataclasses

from peridothatch_core.model import steps

START_CONFIRMATION_MS = 5000
"""Time after a job's first order during which the job still counts as not begun, because its start
has not been confirmed. An order is carried out or rejected well within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobSummary:
    """The part of a job's row that calls need.

    Attributes
    ----------
    ordered_ms : int
        Store time of the earliest open order; 0 if there is none.
    """

    queue: str
    state: steps.JobState
    begun: bool
    ordered_ms: int


@dataclasses.dataclass(slots=True)
class View:
    """Jobs by id, and the jobs of each queue that have not begun or ended."""

    jobs: dict[str, JobSummary] = dataclasses.field(default_factory=dict)
    not_begun: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    loaded: bool = False


def put(view: View, job: steps.Job) -> None:
    """Add or replace a job."""
    ordered = [run.ordered_ms for progress in job.progress for run in progress.runs]
    remove(view, job.id)
    view.jobs[job.id] = JobSummary(job.queue, job.state, job.begun, min(ordered, default=0))
    if not job.begun and job.state not in steps.FINAL_STATES:
        view.not_begun.setdefault(job.queue, set()).add(job.id)


def remove(view: View, job_id: str) -> None:
    """Remove a job."""
    summary = view.jobs.pop(job_id, None)
    if summary is not None:
        view.not_begun.get(summary.queue, set()).discard(job_id)


def replace(view: View, jobs: list[steps.Job]) -> None:
    """Replace all jobs; a job that is not in the list does not exist."""
    view.jobs.clear()
    view.not_begun.clear()
    for job in jobs:
        put(view, job)
    view.loaded = True


def count_pending(view: View, queue: str, now_ms: int) -> int:
    """Return the number of a queue's jobs that have not begun.

    A job without a confirmed start counts until its first order is ``START_CONFIRMATION_MS`` old.
    """
    count = 0
    for job_id in view.not_begun.get(queue, ()):
        summary = view.jobs[job_id]
        if not summary.ordered_ms or now_ms - summary.ordered_ms < START_CONFIRMATION_MS:
            count += 1
    return count
