"""Where the last attempt of a task may run.

A worker that fails whatever it starts would fail the job with it. Such workers are found by their
failures, so a last attempt goes to a worker that has lately started something else that is still
at work, and waits a while for one.
"""

from __future__ import annotations

import typing

from peridothatch_core.model import steps
from peridothatch_core.schedule import fit, preemption
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Collection

SURVIVED_MS = 1000
"""Age of a run that shows its worker to be sound; bad ones fail a run within a fraction of it."""

RECENT_MS = 10_000
"""Age above which a run shows nothing: what was started earlier may work on beside failures."""

PROOF_PATIENCE_MS = 3000
"""Wait for a worker that has shown itself sound, of jobs whose objective leaves time for it."""

SOUND_PATIENCE_MS = 10_000
"""Wait for a worker that is not avoided, in all."""


def is_last(job: steps.Job, step_progress: steps.StepProgress, index: int) -> bool:
    """Tell whether a failure of the next run of a task fails its job, after an earlier one."""
    step = job.steps[step_progress.step]
    failures = step_progress.failures[steps.slot(step, index)]
    return 0 < failures >= job.max_attempts - 1 and not step.long_running


def choices(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    index: int,
    found: list[fit.Room],
    avoided: Collection[str],
    now_ms: int,
) -> list[list[fit.Room]]:
    """Return the rooms for the next run of a task, the best choice first.

    Parameters
    ----------
    avoided : collection of str
        Nodes that are used last.
    """
    if not is_last(job, step_progress, index):
        return [found]
    proven = proven_nodes(state, now_ms)
    sound = [room for room in found if room.agent.node not in avoided]
    best = [room for room in sound if room.agent.node in proven]
    step = job.steps[step_progress.step]
    waits = any(fit.takes(room, step, job.service) for room in sound)
    if job.priority == preemption.URGENT_PRIORITY or not waits:
        return [best, sound, found]
    key = (job.id, step_progress.occurrence, step_progress.step, steps.slot(step, index))
    waited_ms = now_ms - state.cautious_since.setdefault(key, now_ms)
    if waited_ms >= SOUND_PATIENCE_MS:
        return [best, sound, found]
    return [best, sound] if waited_ms >= PROOF_PATIENCE_MS else [best]


def proven_nodes(state: states.State, now_ms: int) -> set[str]:
    """Return the nodes on which a run that was started lately is at work."""
    return {
        node
        for node, entries in state.runs.items()
        if any(_survives(state, *entry, now_ms) for entry in entries)
    }


def _survives(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
) -> bool:
    if not SURVIVED_MS <= now_ms - run.ordered_ms <= RECENT_MS:
        return False
    task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, run.index)
    return (task, run.attempt) in state.claimed_runs
