"""Follows urgent jobs within their customer's guarantee until their first step has begun.

A guarantee is kept if such a job begins in time, however full the fleet is. The events tell a job
that lost its guarantee while it waited from one that found no room although it kept it.
"""

from __future__ import annotations

import typing

from peridothatch_core.model import desired, steps
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

GUARANTEED = "guaranteed"
"""Kind of the event of a job that begins to wait within its customer's guarantee."""

EXCEEDED = "guarantee exceeded"
"""Kind of the event of a waiting job for which too little of the guarantee is left."""

BEGUN = "guaranteed begun"
"""Kind of the event of a job whose first step has begun in time."""

BEGUN_LATE = "guaranteed begun late"
"""Kind of the event of a job whose first step has begun later than guaranteed."""


def observe(
    state: states.State, protected: set[str], demand: dict[str, dict[str, int]], now_ms: int
) -> None:
    """Record which jobs wait within a guarantee, and for how long those have waited that began.

    Parameters
    ----------
    protected : set of str
        Jobs within their customer's guarantee.
    demand : dict
        Accelerators that each urgent job needs, by customer and job.
    """
    for job_id, since_ms in list(state.guaranteed_since_ms.items()):
        job = state.jobs.get(job_id)
        if job is None or job.state in steps.FINAL_STATES:
            del state.guaranteed_since_ms[job_id]
        elif _has_begun(state, job):
            del state.guaranteed_since_ms[job_id]
            state.guaranteed_begun.add(job_id)
            waited_ms = now_ms - since_ms
            kind = BEGUN_LATE if waited_ms > state.limits.reclaim_ms else BEGUN
            state.events.append(states.Event(kind, job_id, elapsed_ms=waited_ms))
        elif job_id not in protected:
            del state.guaranteed_since_ms[job_id]
            state.events.append(states.Event(EXCEEDED, job_id, detail=_shares(state, job, demand)))
    for job in _beginning(state, protected):
        state.guaranteed_since_ms[job.id] = now_ms
        state.events.append(states.Event(GUARANTEED, job.id, detail=_shares(state, job, demand)))


def _beginning(state: states.State, protected: set[str]) -> Iterable[steps.Job]:
    """Return the jobs that wait within a guarantee and did not in the cycle before."""
    known = state.guaranteed_since_ms.keys() | state.guaranteed_begun
    for job_id in sorted(protected - known):
        job = state.jobs[job_id]
        if _has_begun(state, job):
            state.guaranteed_begun.add(job_id)
        else:
            yield job


def _has_begun(state: states.State, job: steps.Job) -> bool:
    """Return whether agents have claimed a run of each task of the first step."""
    if not job.progress:
        return False
    first = job.progress[0]
    step = job.steps[first.step]
    claimed = {
        run.index
        for run in first.runs
        if (steps.task_name(job.id, first.occurrence, first.step, run.index), run.attempt)
        in state.claimed_runs
    }
    return len(claimed.union(first.done)) >= step.count


def _shares(state: states.State, job: steps.Job, demand: dict[str, dict[str, int]]) -> str:
    own = demand.get(job.customer, {})
    guarantee = (
        desired.guaranteed_accelerators(state.desired, job.customer) if state.desired else 0
    )
    return (
        f"the job needs {own.get(job.id, 0)} accelerators, the {len(own)} urgent jobs of "
        f"{job.customer} need {sum(own.values())}, and {guarantee} are guaranteed"
    )
