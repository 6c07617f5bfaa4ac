"""How tasks that do not fit get room: by preemption, or as it becomes free.

Answers a full fleet. A plan whose loss the job justifies is executed; the room of another one is
only kept for the current cycle, so that smaller tasks do not take it.
"""

from __future__ import annotations

import typing

from peridothatch_core.schedule import fit, preemption, reservations
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from peridothatch_core.model import steps


def make(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    count: int,
    candidates: list[fit.Candidate],
    avoided: set[str],
    protected: set[str],
    now_ms: int,
) -> None:
    """Preempt other work for tasks that do not fit, or keep the room that they will get."""
    step = job.steps[step_progress.step]
    eligible = [
        candidate for candidate in candidates if fit.is_eligible(candidate, step, job.service)
    ]
    plan = find_plan(state, job, step_progress, count, [eligible], avoided, protected, now_ms)
    if plan is not None and not free(state, job, step_progress, plan, protected, now_ms):
        preemption.reserve(step, plan)


def find_plan(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    count: int,
    groups: list[list[fit.Candidate]],
    avoided: set[str],
    protected: set[str],
    now_ms: int,
) -> preemption.Plan | None:
    """Return a preemption plan.

    Plans that avoid ``avoided`` nodes are preferred. All nodes are considered if there is no such
    plan or its loss is not acceptable.
    """
    step = job.steps[step_progress.step]
    unavoided = [
        [candidate for candidate in group if candidate.agent.node not in avoided]
        for group in groups
    ]
    first = None
    for choice in (unavoided, groups) if avoided else (groups,):
        plan = preemption.plan(state, job, step_progress, count, choice, protected, now_ms)
        if plan is not None and preemption.is_acceptable(state, job, step, plan, protected):
            return plan
        first = first or plan
    return first


def free(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    plan: preemption.Plan | None,
    protected: set[str],
    now_ms: int,
) -> bool:
    """Execute a plan if its loss is acceptable; return whether the tasks will fit soon."""
    step = job.steps[step_progress.step]
    if plan is None or not preemption.is_acceptable(state, job, step, plan, protected):
        return False
    if plan.victims and states.awaits_confirmations(state, now_ms):
        return False
    preemption.execute(state, job, step, plan, protected)
    reservations.record(state, job, step_progress, plan.targets)
    return True
