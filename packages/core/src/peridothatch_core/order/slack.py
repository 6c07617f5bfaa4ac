"""Due times of targets, and the order of waiting jobs by slack."""

from __future__ import annotations

import dataclasses
import datetime
import zoneinfo
from collections.abc import Iterator

import sortedcontainers

from peridothatch_core.model import job, workclass


@dataclasses.dataclass(slots=True)
class Queue:
    """Waiting jobs, sorted by (not urgent, latest start, id).

    Attributes
    ----------
    keys : SortedList
        Sort keys of all waiting jobs.
    by_job : dict
        Sort key of each job.
    """

    keys: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )
    by_job: dict[str, tuple[bool, float, str]] = dataclasses.field(default_factory=dict)


def due_at(target: workclass.Within | workclass.ByTime, submitted_at: float) -> float:
    """Return the Unix time at which a target falls due.

    A time of day falls due at its next occurrence after the submission, in the target's time zone.
    A time that occurs twice when clocks go back falls due at the first occurrence. A time that is
    skipped when clocks go forward is interpreted in the UTC offset before the change.

    Raises
    ------
    zoneinfo.ZoneInfoNotFoundError
        If the time zone is unknown. Changes to classes are validated, so that this does not occur
        for a stored target.
    """
    if isinstance(target, workclass.Within):
        return submitted_at + target.seconds
    zone = zoneinfo.ZoneInfo(target.zone)
    day = datetime.datetime.fromtimestamp(submitted_at, zone).date()
    time = datetime.time(target.hour, target.minute, tzinfo=zone)
    due = datetime.datetime.combine(day, time).timestamp()
    if due <= submitted_at:
        tomorrow = day + datetime.timedelta(days=1)
        due = datetime.datetime.combine(tomorrow, time).timestamp()
    return due


def slack(waiting: job.Job, now: float, run_seconds: float) -> float:
    """Return how many seconds a job can wait and still meet its target; negative if late."""
    return waiting.due_at - now - run_seconds


def put(queue: Queue, waiting: job.Job, run_seconds: float, *, urgent: bool) -> None:
    """Add a job, or update its position after a change of its estimate."""
    remove(queue, waiting.id)
    key = (not urgent, slack(waiting, 0.0, run_seconds), waiting.id)
    queue.by_job[waiting.id] = key
    queue.keys.add(key)


def remove(queue: Queue, job_id: str) -> None:
    """Remove a job from the queue, if it is there."""
    key = queue.by_job.pop(job_id, None)
    if key is not None:
        queue.keys.remove(key)


def latest_start(queue: Queue, job_id: str) -> float:
    """Return the latest Unix time at which a waiting job can start and meet its target."""
    return queue.by_job[job_id][1]


def start_order(queue: Queue, now: float) -> Iterator[str]:
    """Yield the ids of urgent jobs, then of the others by slack, with late jobs at the end.

    A job that will miss its target anyway must not cause other jobs to miss theirs; reservations
    bound its wait. The queue must not be modified during iteration.
    """
    yield from (key[2] for key in queue.keys.irange(maximum=(True,)))
    yield from (key[2] for key in queue.keys.irange(minimum=(True, now)))
    yield from (key[2] for key in queue.keys.irange((True,), (True, now)))
