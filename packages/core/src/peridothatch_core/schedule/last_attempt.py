"""Placement of attempts after failures.

A last attempt on a worker that fails every run would fail the whole job. Faulty workers are only
detected by failed runs, so a last attempt goes to a worker that has recently started another run
which is still working, and waits a limited time for such a worker. For the same reason no attempt
of a step goes at once to a worker on which the step has failed, even if only that one has room.
"""

from __future__ import annotations

import typing

from peridothatch_core.model import steps
from peridothatch_core.schedule import fit, preemption
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Collection

MIN_HEALTHY_RUN_AGE_MS = 1000
"""Minimum age of a run that shows its worker to be healthy.

Faulty workers fail a run within a fraction of this time.
"""

MAX_HEALTHY_RUN_AGE_MS = 10_000
"""Maximum age of a run that shows its worker to be healthy.

Runs that were started earlier may keep working on a worker that has since become faulty.
"""

HEALTHY_WORKER_WAIT_MS = 3000
"""Maximum wait for a healthy worker; urgent jobs do not wait, as their objectives are tight."""

FAILED_WORKER_WAIT_MS = 1500
"""Time for which an attempt waits rather than going to a worker on which its step has failed, and
an urgent last attempt rather than going to one that is avoided. Runs that are stopped for the job
make room elsewhere within this time."""

UNAVOIDED_WORKER_WAIT_MS = 10_000
"""Maximum wait for a worker that is not avoided, counted from the start of the same wait."""


def is_last(job: steps.Job, step_progress: steps.StepProgress, index: int) -> bool:
    """Return whether a task has failed before and its next failure fails the job."""
    step = job.steps[step_progress.step]
    failures = step_progress.failures[steps.progress_index(step, index)]
    return 0 < failures >= job.max_attempts - 1 and not step.long_running


def candidate_tiers(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    index: int,
    candidates: list[fit.Candidate],
    avoided: Collection[str],
    now_ms: int,
) -> list[list[fit.Candidate]]:
    """Return lists of workers for the next run of a task, the preferred list first.

    Parameters
    ----------
    avoided : collection of str
        Nodes that are used only if no other node fits.
    """
    if not is_last(job, step_progress, index):
        failed = state.failed_nodes.get((job.id, step_progress.occurrence, step_progress.step))
        others = [c for c in candidates if c.agent.node not in failed] if failed else []
        if not _has_eligible(others, job, step_progress):
            return [candidates]
        waited_ms = _waited_ms(state, job, step_progress, index, now_ms)
        return [others, candidates] if waited_ms >= FAILED_WORKER_WAIT_MS else [others]
    healthy = healthy_nodes(state, now_ms)
    unavoided = [candidate for candidate in candidates if candidate.agent.node not in avoided]
    best = [candidate for candidate in unavoided if candidate.agent.node in healthy]
    if not _has_eligible(unavoided, job, step_progress):
        return [best, unavoided, candidates]
    waited_ms = _waited_ms(state, job, step_progress, index, now_ms)
    if job.priority == preemption.URGENT_PRIORITY:
        waited = waited_ms >= FAILED_WORKER_WAIT_MS
        return [best, unavoided, candidates] if waited else [best, unavoided]
    if waited_ms >= UNAVOIDED_WORKER_WAIT_MS:
        return [best, unavoided, candidates]
    return [best, unavoided] if waited_ms >= HEALTHY_WORKER_WAIT_MS else [best]


def _has_eligible(
    candidates: list[fit.Candidate], job: steps.Job, step_progress: steps.StepProgress
) -> bool:
    step = job.steps[step_progress.step]
    return any(fit.is_eligible(candidate, step, job.service) for candidate in candidates)


def _waited_ms(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    index: int,
    now_ms: int,
) -> int:
    """Return the time since this attempt first looked for a worker."""
    slot = steps.progress_index(job.steps[step_progress.step], index)
    key = (job.id, step_progress.occurrence, step_progress.step, slot)
    return now_ms - state.attempt_wait_since.setdefault(key, now_ms)


def healthy_nodes(state: states.State, now_ms: int) -> set[str]:
    """Return the nodes on which a recently started run is working."""
    return {
        node
        for node, entries in state.runs.items()
        if any(_shows_health(state, *entry, now_ms) for entry in entries)
    }


def _shows_health(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
) -> bool:
    if not MIN_HEALTHY_RUN_AGE_MS <= now_ms - run.ordered_ms <= MAX_HEALTHY_RUN_AGE_MS:
        return False
    task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, run.index)
    return (task, run.attempt) in state.claimed_runs
