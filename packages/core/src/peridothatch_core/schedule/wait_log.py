"""Events that tell why the tasks of a step wait, at a limited rate."""

from __future__ import annotations

import typing

from peridothatch_core.schedule import pacing
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from peridothatch_core.model import steps
    from peridothatch_core.schedule import fit

WAIT_LOG_INTERVAL_MS = 2000
"""Minimum interval between log lines about the same waiting step."""


def log_waiting(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    count: int,
    candidates: list[fit.Candidate],
    now_ms: int,
) -> None:
    """Log why tasks wait, at a limited rate, so that late jobs can be explained."""
    if not _is_due(state, job, step_progress, now_ms):
        return
    free = sum(candidate.free[2] for candidate in candidates)
    step = job.steps[step_progress.step]
    detail = (
        f"{count} tasks of step {step_progress.step} need {step.demand.accelerators} accelerators "
        f"each; {free} are free on {len(candidates)} workers; affinity {step.affinity or 'none'}, "
        f"gang {step.gang}, one rack {step.same_rack}"
    )
    state.events.append(states.Event("waiting", job.id, detail=detail))


def log_paced(
    state: states.State, job: steps.Job, step_progress: steps.StepProgress, now_ms: int
) -> None:
    """Log at a limited rate that tasks fit and wait for the claims of other orders."""
    if not _is_due(state, job, step_progress, now_ms):
        return
    detail = (
        f"{len(state.nodes_without_claim)} agents have unclaimed orders; at most "
        f"{pacing.max_nodes(state)} may, and writes take {state.write_latency_ms:.0f} ms"
    )
    state.events.append(states.Event("paced", job.id, detail=detail))


def _is_due(
    state: states.State, job: steps.Job, step_progress: steps.StepProgress, now_ms: int
) -> bool:
    """Return whether the step may log now, and record that it does."""
    key = (job.id, step_progress.occurrence, step_progress.step)
    if now_ms - state.wait_logged_at.get(key, -WAIT_LOG_INTERVAL_MS) < WAIT_LOG_INTERVAL_MS:
        return False
    state.wait_logged_at[key] = now_ms
    return True
