"""Isolates jobs whose transaction the store rejects, so that all other jobs go on.

A transaction that exceeds a limit of the store is rejected each time it is sent. The jobs of such
a transaction are written one by one, after all others. A job whose own transaction is rejected is
suspended for a time: its runs go on, but nothing is decided for it.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Collection

    from peridothatch_core.schedule import state as states

SUSPENSION_MS = 2000
"""Time for which a job is suspended. Each rejection causes a read of all rows, which this keeps to
a small share of the time."""


def record(state: states.State, job_ids: Collection[str], now_ms: int) -> None:
    """Record that the store has rejected a transaction with the rows of these jobs."""
    if len(job_ids) == 1:
        state.suspended_until_ms.update(dict.fromkeys(job_ids, now_ms + SUSPENSION_MS))
    state.written_alone.update(job_ids)


def record_committed(state: states.State, job_ids: Collection[str]) -> None:
    """Record that a transaction with the rows of these jobs has been committed."""
    state.written_alone.difference_update(job_ids)


def resume_jobs(state: states.State, now_ms: int) -> None:
    """End the suspensions whose time is over."""
    for job_id, until_ms in list(state.suspended_until_ms.items()):
        if until_ms <= now_ms:
            del state.suspended_until_ms[job_id]


def is_suspended(state: states.State, job_id: str) -> bool:
    """Return whether nothing may be decided for a job."""
    return job_id in state.suspended_until_ms
