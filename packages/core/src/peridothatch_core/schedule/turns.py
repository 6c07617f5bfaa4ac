"""The order in which waiting jobs are offered workers.

By default, jobs of one priority start in order of arrival. Where a few customers are much larger
than the others, a burst of one of them would then take all workers, and `fair_share` decides.
"""

from __future__ import annotations

import math
import typing

from peridothatch_core.model import steps
from peridothatch_core.order import fair_share
from peridothatch_core.schedule import objectives, progress, rejection

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from peridothatch_core.schedule import state as states

OPTIMISTIC_QUANTILE = 0.8
"""Quantile of the run time by which a job can no longer meet its objective.

Objectives are multiples of the run time, so a long one leaves much slack.
"""

WORTH_FACTOR = 3
"""Multiple of its objective up to which a job is still worth serving to its caller."""


def by_urgency(state: states.State, protected: set[str], now_ms: int) -> list[steps.Job]:
    """Return the jobs that are neither final nor suspended, the most urgent first.

    Parameters
    ----------
    protected : set of str
        Jobs within their customer's guarantee, which come first.
    """
    open_jobs = [
        job
        for job in state.jobs.values()
        if job.state not in steps.FINAL_STATES and not rejection.is_suspended(state, job.id)
    ]
    open_jobs.sort(
        key=lambda job: (job.id not in protected, job.priority, job.submitted_ms, job.id)
    )
    if not fair_share.is_enabled(state.desired):
        return open_jobs
    ordered = [job for job in open_jobs if job.id in protected]
    for priority in sorted({job.priority for job in open_jobs}):
        equal = [job for job in open_jobs if job.priority == priority and job.id not in protected]
        ordered += _by_turn(state, equal, priority, now_ms)
    return ordered


def accelerators_in_use(state: states.State, lowest_priority: float = math.inf) -> dict[str, int]:
    """Return the accelerators in use by customer, for jobs down to a priority."""
    accelerators: dict[str, int] = {}
    for entries in state.runs.values():
        for job, step_progress, _ in entries:
            if job.priority <= lowest_priority:
                demand = job.steps[step_progress.step].demand.accelerators
                accelerators[job.customer] = accelerators.get(job.customer, 0) + demand
    return accelerators


def guaranteed_accelerators(state: states.State) -> dict[str, int]:
    """Return the guaranteed accelerators by customer."""
    tenancies = state.desired.tenancies if state.desired else ()
    return {tenancy.customer: tenancy.guaranteed_accelerators for tenancy in tenancies}


def usage(state: states.State, priority: int) -> fair_share.Usage:
    """Return what customers use for jobs of a priority.

    Work of lower priority does not count, because it yields to these jobs.
    """
    running = {
        job.id: job
        for entries in state.runs.values()
        for job, _, _ in entries
        if job.priority == priority
    }
    began_late = [job for job in running.values() if _began_after_slack(state, job, 0.5)]
    return fair_share.Usage(
        accelerators_in_use(state, priority),
        guaranteed_accelerators(state),
        {job.customer for job in began_late},
        any(_began_after_slack(state, job, OPTIMISTIC_QUANTILE) for job in began_late),
    )


def _by_turn(
    state: states.State, jobs: Iterable[steps.Job], priority: int, now_ms: int
) -> list[steps.Job]:
    """Order jobs of one priority; those without waiting tasks come last, in the given order."""
    waiting: list[fair_share.Waiting] = []
    by_id = {job.id: job for job in jobs}
    for job in by_id.values():
        accelerators, count = _waiting_demand(state, job, now_ms)
        if count:
            waiting.append(describe(state, job, accelerators, now_ms))
    ordered = fair_share.order(waiting, usage(state, priority)) if waiting else []
    first = [by_id.pop(entry.job) for entry in ordered]
    return [*first, *by_id.values()]


def _waiting_demand(state: states.State, job: steps.Job, now_ms: int) -> tuple[int, int]:
    """Return the accelerators and the number of the tasks that wait."""
    accelerators = count = 0
    for step_progress in progress.ready_steps(job):
        tasks = len(progress.waiting_tasks(state, job, step_progress, now_ms))
        accelerators += tasks * job.steps[step_progress.step].demand.accelerators
        count += tasks
    return accelerators, count


def describe(
    state: states.State, job: steps.Job, accelerators: int, now_ms: int
) -> fair_share.Waiting:
    """Describe a waiting job; one whose run times are not known counts as on time."""
    if not objectives.is_predictable(state, job):
        return fair_share.Waiting(
            job.id, job.customer, accelerators, job.submitted_ms,
            job.submitted_ms + job.objective_ms, fair_share.Prospect.ON_TIME,
        )  # fmt: skip
    seconds = objectives.step_seconds(state, job, quantile=0.5)
    rest = objectives.unfinished(job, seconds)
    slack = objectives.slack_seconds(job, seconds, rest, now_ms)
    prospect, is_soon_too_late = _prospect(state, job, now_ms)
    on_time = prospect is fair_share.Prospect.ON_TIME
    return fair_share.Waiting(
        job.id, job.customer, accelerators, job.submitted_ms, now_ms + 1000.0 * slack, prospect,
        slack < 0 if on_time else is_soon_too_late,
    )  # fmt: skip


def _prospect(
    state: states.State, job: steps.Job, now_ms: int
) -> tuple[fair_share.Prospect, bool]:
    """Return what a job can still reach, and whether it is too late one run time from now."""
    seconds = objectives.step_seconds(state, job, OPTIMISTIC_QUANTILE)
    rest = objectives.unfinished(job, seconds)
    slack = objectives.slack_seconds(job, seconds, rest, now_ms)
    worth_slack = slack + (WORTH_FACTOR - 1) * objectives.objective_seconds(job, seconds)
    is_soon_too_late = worth_slack < objectives.chain_seconds(job, rest)
    if slack >= 0:
        return fair_share.Prospect.ON_TIME, is_soon_too_late
    if worth_slack >= 0:
        return fair_share.Prospect.LATE, is_soon_too_late
    return fair_share.Prospect.TOO_LATE, is_soon_too_late


def _began_after_slack(state: states.State, job: steps.Job, quantile: float) -> bool:
    """Return whether the running tasks of a job began after its slack was used up.

    A job of which a step is done has begun earlier.
    """
    runs = [run for step_progress in job.progress for run in step_progress.runs]
    if any(step_progress.done for step_progress in job.progress) or not runs:
        return False
    if not objectives.is_predictable(state, job):
        return False
    seconds = objectives.step_seconds(state, job, quantile)
    began_ms = min(run.ordered_ms for run in runs)
    return objectives.slack_seconds(job, seconds, seconds, began_ms) < 0
