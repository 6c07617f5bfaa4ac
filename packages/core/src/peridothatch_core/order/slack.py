"""When targets fall due, and which waiting job comes next."""

from __future__ import annotations

import dataclasses
import datetime
import zoneinfo
from collections.abc import Iterator

import sortedcontainers

from peridothatch_core.model import job, workclass


@dataclasses.dataclass(slots=True)
class Queue:
    """Waiting jobs by (not urgent, latest start, id)."""

    keys: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )
    by_job: dict[str, tuple[bool, float, str]] = dataclasses.field(default_factory=dict)


def due_at(target: workclass.Within | workclass.ByTime, submitted_at: float) -> float:
    """Return when a target falls due, in seconds since 1970-01-01 UTC.

    A time of day is the next one after the submission in its zone. When clocks go back, it is
    the first of the two; when they go forward over it, it counts in the offset before.

    Raises
    ------
    zoneinfo.ZoneInfoNotFoundError
        The zone is unknown; changes to classes are checked for this.
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
    """Return how long a job can still wait and meet its target, in seconds; negative if late."""
    return waiting.due_at - now - run_seconds


def put(queue: Queue, waiting: job.Job, run_seconds: float, *, urgent: bool) -> None:
    """Add a job, or move it when its estimate changed."""
    remove(queue, waiting.id)
    key = (not urgent, slack(waiting, 0.0, run_seconds), waiting.id)
    queue.by_job[waiting.id] = key
    queue.keys.add(key)


def remove(queue: Queue, job_id: str) -> None:
    """Remove a job."""
    key = queue.by_job.pop(job_id, None)
    if key is not None:
        queue.keys.remove(key)


def latest_start(queue: Queue, job_id: str) -> float:
    """Return when a waiting job must start to meet its target."""
    return queue.by_job[job_id][1]


def start_order(queue: Queue, now: float) -> Iterator[str]:
    """Yield the ids of urgent jobs, then of jobs by slack, then of those already too late.

    A job that misses its target anyway would make jobs behind it miss theirs; reservations keep
    it from waiting without bound. The queue must not change meanwhile.
    """
    yield from (key[2] for key in queue.keys.irange(maximum=(True,)))
    yield from (key[2] for key in queue.keys.irange(minimum=(True, now)))
    yield from (key[2] for key in queue.keys.irange((True,), (True, now)))
