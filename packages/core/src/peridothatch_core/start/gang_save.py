"""Writing of job rows; a transaction is sent again until its outcome is known."""

from __future__ import annotations

import typing

from peridothatch_core.message import store
from peridothatch_core.start import gang_state

if typing.TYPE_CHECKING:
    from peridothatch_core.model import job

RETRY_SECONDS = 1.0


def save(
    state: gang_state.State, entry: gang_state.Entry, written: job.Job
) -> list[gang_state.Effect]:
    """Start a transaction that replaces the row as it was last read."""
    state.attempts += 1
    entry.saving = gang_state.Saving(written, entry.version, state.attempts)
    return [gang_state.SaveJob(written, entry.version, state.attempts)]


def saved(
    state: gang_state.State, entry: gang_state.Entry, event: gang_state.Saved, now: float
) -> list[gang_state.Effect]:
    """Record an outcome; on ``APPLIED`` the entry holds the new row and ``saving`` is empty."""
    saving = entry.saving
    if saving is None or saving.attempt != event.attempt:
        return []
    if event.outcome is store.Outcome.APPLIED:
        entry.job, entry.version, entry.saving = saving.job, event.version, None
        return []
    if event.outcome is store.Outcome.CONFLICT:
        # The row decides: a transaction that the store no longer remembers conflicts with itself.
        state.counters.conflicts += 1
        return [gang_state.ReadJob(event.job_id)]
    if event.outcome is store.Outcome.UNKNOWN:
        state.counters.unknown_outcomes += 1
        saving.in_doubt = True
    saving.retry_at = now + RETRY_SECONDS
    return []


def retry(state: gang_state.State, now: float) -> list[gang_state.Effect]:
    """Send again, under the same attempt, what has not been recorded."""
    effects: list[gang_state.Effect] = []
    if not state.may_decide:
        return effects
    for entry in state.jobs.values():
        saving = entry.saving
        if saving is not None and saving.retry_at <= now:
            saving.retry_at = float("inf")
            effects.append(gang_state.SaveJob(saving.job, saving.version, saving.attempt))
    return effects


def read(entry: gang_state.Entry, found: job.Job, version: int) -> bool:
    """Take over a row that was read; return whether it is newer than what was known.

    A row with a higher version than a transaction expects decides its outcome: either the
    transaction wrote that row or an earlier one, or it can never apply.
    """
    if version <= entry.version:
        return False
    entry.job, entry.version, entry.saving = found, version, None
    entry.last_run = max(entry.last_run, found.run)
    return True
