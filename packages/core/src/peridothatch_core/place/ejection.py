"""Ejects workers on which several jobs fail, and fails jobs that fail on several workers."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

WORKERS_TO_FAIL_JOB = 3
"""Different workers on which a job fails before the job itself is considered faulty."""

MAX_FAILED_RUNS = 6
"""Failed runs after which a job is not retried, regardless of the workers they ran on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits for the ejection of workers; the defaults suit runs of hours.

    Attributes
    ----------
    jobs_to_eject : int
        Different jobs that fail on a worker before it is ejected; with one or two, the jobs
        themselves may be faulty.
    window_seconds : float
        Failures older than this no longer count against a worker.
    probe_seconds, longest_probe_seconds : float
        Time until an ejected worker is readmitted; it doubles with each further ejection, up
        to ``longest_probe_seconds``.
    share : float
        Largest share of the workers that may be ejected at a time, but at least one worker. It
        keeps a fault common to all workers from taking the whole data centre out of use.
    """

    jobs_to_eject: int = 3
    window_seconds: float = 3600.0
    probe_seconds: float = 600.0
    longest_probe_seconds: float = 7200.0
    share: float = 0.2


DEFAULT_POLICY = Policy()


@dataclasses.dataclass(slots=True)
class Record:
    """Failures of jobs on workers, and the workers that are ejected.

    Attributes
    ----------
    by_worker : dict
        For each worker, the time at which each job last failed on it.
    by_job : dict
        For each job, the workers on which it failed.
    failed_runs : dict
        For each job, the number of its failed runs.
    ejected_until : dict
        For each ejected worker, the time at which it is readmitted.
    last_probe_seconds : dict
        For each worker that was ejected, the length of its last ejection.
    """

    by_worker: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)
    by_job: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    failed_runs: dict[str, int] = dataclasses.field(default_factory=dict)
    ejected_until: dict[str, float] = dataclasses.field(default_factory=dict)
    last_probe_seconds: dict[str, float] = dataclasses.field(default_factory=dict)


def record_failure(record: Record, job_id: str, workers: tuple[str, ...], now: float) -> bool:
    """Record a failed run; return whether the job may be retried.

    The failures of a job that is considered faulty no longer count against its workers.
    """
    for worker_id in workers:
        record.by_worker.setdefault(worker_id, {})[job_id] = now
    failed_on = record.by_job.setdefault(job_id, set())
    failed_on.update(worker_id for worker_id in workers if worker_id not in record.ejected_until)
    record.failed_runs[job_id] = record.failed_runs.get(job_id, 0) + 1
    if len(failed_on) < WORKERS_TO_FAIL_JOB and record.failed_runs[job_id] < MAX_FAILED_RUNS:
        return True
    if len(failed_on) >= WORKERS_TO_FAIL_JOB:
        for failures in record.by_worker.values():
            failures.pop(job_id, None)
    return False


def record_success(record: Record, job_id: str, workers: tuple[str, ...]) -> None:
    """Record a successful run, which clears the failures of its workers and of the job."""
    for worker_id in workers:
        record.by_worker.pop(worker_id, None)
        record.last_probe_seconds.pop(worker_id, None)
    forget(record, job_id)


def forget(record: Record, job_id: str) -> None:
    """Remove the failures of a job that ended."""
    record.by_job.pop(job_id, None)
    record.failed_runs.pop(job_id, None)


def eject(
    record: Record, present: Collection[str], now: float, policy: Policy = DEFAULT_POLICY
) -> tuple[str, ...]:
    """Eject workers and return them, those with the most failed jobs first.

    The number of ejected workers stays within the policy's share of those present.
    """
    candidates = []
    for worker_id, failures in list(record.by_worker.items()):
        recent = {job: at for job, at in failures.items() if now - at <= policy.window_seconds}
        record.by_worker[worker_id] = recent
        if not recent:
            del record.by_worker[worker_id]
        needed = 1 if worker_id in record.last_probe_seconds else policy.jobs_to_eject
        known = worker_id in present and worker_id not in record.ejected_until
        if known and len(recent) >= needed:
            candidates.append((-len(recent), worker_id))
    ejected_count = sum(worker_id in present for worker_id in record.ejected_until)
    limit = max(1, int(policy.share * len(present))) - ejected_count
    ejected = tuple(worker_id for _, worker_id in sorted(candidates)[: max(0, limit)])
    for worker_id in ejected:
        last = record.last_probe_seconds.get(worker_id, policy.probe_seconds / 2)
        record.last_probe_seconds[worker_id] = min(2 * last, policy.longest_probe_seconds)
        record.ejected_until[worker_id] = now + record.last_probe_seconds[worker_id]
    return ejected


def readmit(record: Record, now: float) -> tuple[str, ...]:
    """Readmit workers whose ejection is over, clear their failures, and return them.

    Until a job succeeds on such a worker, a single failure ejects it again.
    """
    ready = tuple(sorted(worker_id for worker_id, at in record.ejected_until.items() if at <= now))
    for worker_id in ready:
        del record.ejected_until[worker_id]
        record.by_worker.pop(worker_id, None)
    return ready
