"""Writes job rows and resends each transaction until its outcome is known."""

from __future__ import annotations

import typing

from peridothatch_core.message import store
from peridothatch_core.start import gang_event, gang_state

if typing.TYPE_CHECKING:
    from peridothatch_core.model import job

RETRY_SECONDS = 1.0


def save(
    state: gang_state.State, entry: gang_state.Entry, written: job.Job
) -> list[gang_event.Effect]:
    """Start a transaction that replaces the last known version of the row."""
    state.attempts += 1
    state.saving.add(written.id)
    entry.saving = gang_state.PendingWrite(written, entry.version, state.attempts)
    return [gang_event.SaveJob(written, entry.version, state.attempts)]


def apply_result(
    state: gang_state.State, entry: gang_state.Entry, event: gang_event.SaveResult, now: float
) -> list[gang_event.Effect]:
    """Apply the outcome of a transaction.

    After ``APPLIED`` the entry holds the new row and ``saving`` is ``None``.
    """
    saving = entry.saving
    if saving is None or saving.attempt != event.attempt:
        return []
    if event.outcome is store.Outcome.APPLIED:
        entry.job, entry.version = saving.job, event.version
        clear_pending(state, entry)
        return []
    if event.outcome is store.Outcome.CONFLICT:
        # Reread the row: when the store no longer remembers a transaction that it applied,
        # resending that transaction conflicts with its own write.
        state.counters.conflicts += 1
        return [gang_event.ReadJob(event.job_id)]
    if event.outcome is store.Outcome.UNKNOWN:
        state.counters.unknown_outcomes += 1
        saving.in_doubt = True
    saving.retry_at = now + RETRY_SECONDS
    return []


def retry(state: gang_state.State, now: float) -> list[gang_event.Effect]:
    """Resend unfinished transactions under their attempt numbers, when they are due."""
    effects: list[gang_event.Effect] = []
    if not state.may_decide:
        return effects
    for job_id in sorted(state.saving):
        saving = state.jobs[job_id].saving
        if saving is not None and saving.retry_at <= now:
            saving.retry_at = float("inf")
            effects.append(gang_event.SaveJob(saving.job, saving.version, saving.attempt))
    return effects


def clear_pending(state: gang_state.State, entry: gang_state.Entry) -> None:
    """Remove a transaction whose outcome is known."""
    entry.saving = None
    state.saving.discard(entry.job.id)


def apply_row(
    state: gang_state.State, entry: gang_state.Entry, found: job.Job, version: int
) -> bool:
    """Adopt a row that was read; return whether it is newer than the known version.

    A version higher than a pending transaction expects settles its outcome: the transaction
    wrote that row or an earlier one, or it can never apply.
    """
    if version <= entry.version:
        return False
    entry.job, entry.version = found, version
    clear_pending(state, entry)
    entry.last_run = max(entry.last_run, found.run)
    return True
