"""Workers on which several jobs fail, and jobs that fail on several workers."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

WORKERS_TO_FAIL_JOB = 3
"""Different workers on which a job fails before the job is held at fault."""

MAX_FAILED_RUNS = 6
"""Failed runs after which a job is not retried, on whatever workers they were."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How fast and how widely workers are ejected; the defaults suit runs of hours.

    Attributes
    ----------
    jobs_to_eject : int
        Different jobs that fail on a worker before it is ejected; one or two may be at fault.
    window_seconds : float
        Failures older than this no longer count against a worker.
    probe_seconds, longest_probe_seconds : float
        Time until an ejected worker takes work again; doubled each time it is ejected again.
    share : float
        Largest share of the workers that is ejected, but always one: a fault common to all
        workers must not take the whole data centre away.
    """

    jobs_to_eject: int = 3
    window_seconds: float = 3600.0
    probe_seconds: float = 600.0
    longest_probe_seconds: float = 7200.0
    share: float = 0.2


DEFAULT_POLICY = Policy()


@dataclasses.dataclass(slots=True)
class Record:
    """Failures that count.

    Attributes
    ----------
    by_worker : dict
        For each worker, when each job last failed on it.
    by_job : dict
        For each job, the workers on which it failed.
    ejected_until : dict
        For each ejected worker, when it takes work again.
    probes : dict
        For each worker that was ejected, how long its last probe period was, in seconds.
    """

    by_worker: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)
    by_job: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    failed_runs: dict[str, int] = dataclasses.field(default_factory=dict)
    ejected_until: dict[str, float] = dataclasses.field(default_factory=dict)
    last_probe_seconds: dict[str, float] = dataclasses.field(default_factory=dict)


def record_failure(record: Record, job_id: str, workers: tuple[str, ...], now: float) -> bool:
    """Record a failed run; return whether the job may run again.

    A job found at fault no longer counts against the workers on which it failed.
    """
    for worker_id in workers:
        record.by_worker.setdefault(worker_id, {})[job_id] = now
    blamed = record.by_job.setdefault(job_id, set())
    blamed.update(worker_id for worker_id in workers if worker_id not in record.ejected_until)
    record.failed_runs[job_id] = record.failed_runs.get(job_id, 0) + 1
    if len(blamed) < WORKERS_TO_FAIL_JOB and record.failed_runs[job_id] < MAX_FAILED_RUNS:
        return True
    if len(blamed) >= WORKERS_TO_FAIL_JOB:
        for failures in record.by_worker.values():
            failures.pop(job_id, None)
    return False


def record_success(record: Record, job_id: str, workers: tuple[str, ...]) -> None:
    """Record a run that succeeded: it clears the workers and the job."""
    for worker_id in workers:
        record.by_worker.pop(worker_id, None)
        record.last_probe_seconds.pop(worker_id, None)
    forget(record, job_id)


def forget(record: Record, job_id: str) -> None:
    """Drop what is known of a job that ended."""
    record.by_job.pop(job_id, None)
    record.failed_runs.pop(job_id, None)


def eject(
    record: Record, present: Collection[str], now: float, policy: Policy = DEFAULT_POLICY
) -> tuple[str, ...]:
    """Return workers to eject now, the worst first, within the share of those present."""
    bad = []
    for worker_id, failures in list(record.by_worker.items()):
        recent = {job: at for job, at in failures.items() if now - at <= policy.window_seconds}
        record.by_worker[worker_id] = recent
        if not recent:
            del record.by_worker[worker_id]
        needed = 1 if worker_id in record.last_probe_seconds else policy.jobs_to_eject
        known = worker_id in present and worker_id not in record.ejected_until
        if known and len(recent) >= needed:
            bad.append((-len(recent), worker_id))
    out = sum(worker_id in present for worker_id in record.ejected_until)
    room = max(1, int(policy.share * len(present))) - out
    ejected = tuple(worker_id for _, worker_id in sorted(bad)[: max(0, room)])
    for worker_id in ejected:
        last = record.last_probe_seconds.get(worker_id, policy.probe_seconds / 2)
        record.last_probe_seconds[worker_id] = min(2 * last, policy.longest_probe_seconds)
        record.ejected_until[worker_id] = now + record.last_probe_seconds[worker_id]
    return ejected


def readmit(record: Record, now: float) -> tuple[str, ...]:
    """Return ejected workers whose probe period is over; their failures are forgotten.

    One more failure ejects such a worker again, until a job succeeds on it.
    """
    ready = tuple(sorted(worker_id for worker_id, at in record.ejected_until.items() if at <= now))
    for worker_id in ready:
        del record.ejected_until[worker_id]
        record.by_worker.pop(worker_id, None)
    return ready
