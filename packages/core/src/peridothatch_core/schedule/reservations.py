"""Keeps the room that is being freed for a job until the job gets it.

Answers bursts of urgent jobs in a full fleet. Stops take several cycles, and each cycle plans
anew. If another job may take the room in between, the job for which it was freed stops more work
and waits for another round of stops.
"""

from __future__ import annotations

import typing

from peridothatch_core.schedule import fit, progress, rejection
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from peridothatch_core.model import steps


def record(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    targets: Iterable[fit.Candidate],
) -> None:
    """Record the workers, one for each task, on which work is stopped for a step."""
    nodes = tuple(candidate.agent.node for candidate in targets)
    state.reservations[_key(job, step_progress)] = nodes


def apply_guaranteed(
    state: states.State, candidates: list[fit.Candidate], protected: set[str], now_ms: int
) -> None:
    """Reserve the recorded room of guaranteed jobs for the current cycle."""
    state.reserved_targets.clear()
    keys = [key for key in state.reservations if key[0] in protected]
    _apply(state, candidates, keys, now_ms)


def apply_others(
    state: states.State, candidates: list[fit.Candidate], protected: set[str], now_ms: int
) -> None:
    """Reserve the recorded room of the other jobs, once all guaranteed ones have had their turn.

    A guaranteed job may take the room that is being freed for another one.
    """
    keys = [key for key in state.reservations if key[0] not in protected]
    _apply(state, candidates, keys, now_ms)


def release(
    state: states.State, job: steps.Job, step_progress: steps.StepProgress
) -> list[fit.Candidate]:
    """Undo the reservation of a step, so that its tasks may use the room; return its workers."""
    key = _key(job, step_progress)
    state.reservations.pop(key, None)
    targets = state.reserved_targets.pop(key, [])
    demand = states.reserved_demand(job.steps[step_progress.step])
    for candidate in targets:
        fit.reserve(candidate, tuple(-amount for amount in demand))
    return targets


def keep(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    targets: Iterable[fit.Candidate],
    count: int,
) -> bool:
    """Reserve room for ``count`` tasks on these workers; return whether it will be free.

    Nothing is reserved otherwise.
    """
    demand = states.reserved_demand(job.steps[step_progress.step])
    kept: list[fit.Candidate] = []
    for candidate in targets:
        if len(kept) < count and fit.fits(candidate.free_after_stops, demand):
            fit.reserve(candidate, demand)
            kept.append(candidate)
    key = _key(job, step_progress)
    state.reserved_targets[key] = kept
    if len(kept) < count:
        release(state, job, step_progress)
        return False
    record(state, job, step_progress, kept)
    return True


def are_free(step: steps.Step, targets: Iterable[fit.Candidate], count: int) -> bool:
    """Return whether ``count`` tasks fit on these workers now, one on each item."""
    demand = states.reserved_demand(step)
    tried: list[fit.Candidate] = []
    for candidate in targets:
        if fit.fits(candidate.free, demand):
            fit.reserve(candidate, demand)
            tried.append(candidate)
    for candidate in tried:
        fit.reserve(candidate, tuple(-amount for amount in demand))
    return len(tried) >= count


def _apply(
    state: states.State,
    candidates: list[fit.Candidate],
    keys: list[tuple[str, int, int]],
    now_ms: int,
) -> None:
    """Reserve recorded room.

    A record is dropped if its step does not wait any longer, or if the room will not be free after
    the stops, for example because a worker is lost.
    """
    by_node = {candidate.agent.node: candidate for candidate in candidates}
    for key in keys:
        nodes = state.reservations.pop(key)
        found = _find_step(state, key)
        if found is None or not progress.waiting_tasks(state, *found, now_ms):
            continue
        targets = [by_node[node] for node in nodes if node in by_node]
        if len(targets) == len(nodes):
            keep(state, *found, targets, len(targets))


def _key(job: steps.Job, step_progress: steps.StepProgress) -> tuple[str, int, int]:
    return (job.id, step_progress.occurrence, step_progress.step)


def _find_step(
    state: states.State, key: tuple[str, int, int]
) -> tuple[steps.Job, steps.StepProgress] | None:
    job = state.jobs.get(key[0])
    if job is None or rejection.is_suspended(state, job.id):
        return None
    for step_progress in progress.ready_steps(job):
        if (step_progress.occurrence, step_progress.step) == key[1:]:
            return job, step_progress
    return None
