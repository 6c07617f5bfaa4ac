"""Runs that were closed before their agent has reported how they ended.

Answers agents that restart, are cut off or reach the store late while a gang ends. A gang starts
again as soon as it is known to be broken, but the end that is missing may be the failure that
broke it. The worker keeps that end until its agent acknowledges it, so the order of the run stays
in the store until the agent has reported the end or its lease has lapsed. Until then the attempt
counts as one that may have failed.
"""

from __future__ import annotations

from peridothatch_core.model import steps, tables
from peridothatch_core.schedule import state as states


def set_aside(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    """Close a run and keep its order, so that its agent reports how it ended."""
    states.close_run(state, job, progress, run)
    progress.unreported.append(run)
    states.index_unreported(state, job, progress, run)


def discard(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    """Forget a run whose end makes no difference any more, and delete its order."""
    forget(state, job, progress, run)
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    pending = states.pending_change(state, job.id)
    pending.deferred_deletes.append(tables.order_key(run.node, task, run.attempt))
    pending.deferred_deletes.append(tables.stop_key(run.node, task, run.attempt))


def discard_attempt(
    state: states.State, job: steps.Job, progress: steps.StepProgress, attempt: int
) -> None:
    """Forget the runs of an attempt whose failure has been counted."""
    for run in list(progress.unreported):
        if run.attempt == attempt:
            discard(state, job, progress, run)


def discard_job(state: states.State, job: steps.Job) -> None:
    """Forget the runs of a job that starts no more of them."""
    for progress in job.progress:
        for run in list(progress.unreported):
            discard(state, job, progress, run)


def forget(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    """Forget a run whose end has been reported."""
    progress.unreported.remove(run)
    entries = state.unreported[run.node]
    entries[:] = [entry for entry in entries if entry[2] is not run]
    if not entries:
        del state.unreported[run.node]
    states.pending_change(state, job.id).save_job = True


def may_use_up_attempts(job: steps.Job, progress: steps.StepProgress) -> bool:
    """Return whether a gang has no attempt left if all unreported ones have failed."""
    if not progress.unreported or job.steps[progress.step].long_running:
        return False
    attempts = {run.attempt for run in progress.unreported}
    failures = progress.failures[steps.progress_index(job.steps[progress.step], 0)]
    return failures + len(attempts) >= job.max_attempts
