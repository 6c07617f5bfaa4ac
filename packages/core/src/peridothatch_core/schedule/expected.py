"""What run times to expect of the scheduler's tasks, from finished runs and reported progress."""

from __future__ import annotations

import typing

from peridothatch_core.model import agents, steps
from peridothatch_core.order import runtimes

if typing.TYPE_CHECKING:
    from peridothatch_core.schedule import state as states

MIN_PERCENT = 10
"""Least reported progress from which the rest of a run is extrapolated.

Progress is reported in whole percent, and the start of a run is known only to about a second.
"""


def run_seconds(
    state: states.State, job: steps.Job, step: steps.Step, quantile: float = 0.5
) -> float:
    """Return the expected run time of one task of a step in seconds."""
    return runtimes.estimate(
        state.runtimes, job.customer, job.queue, step.estimate_ms / 1000.0, quantile
    )


def remaining_seconds(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
    quantile: float = 0.5,
) -> float:
    """Return the expected time until a run ends, in seconds.

    Parameters
    ----------
    quantile : float
        Quantile of the run time that is used while the run has reported too little progress.
    """
    elapsed_seconds = max(0, now_ms - run.ordered_ms) / 1000.0
    agent = state.agents.get(run.node)
    task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, run.index)
    report = agents.find_run_report(agent, task, run.attempt) if agent else None
    if agent is not None and report is not None and report.percent >= MIN_PERCENT:
        reported_ms = agent.hold_until_ms - state.limits.hold_ms
        worked_seconds = max(0, reported_ms - run.ordered_ms) / 1000.0
        whole_seconds = 100.0 * worked_seconds / report.percent
        return max(0.0, whole_seconds - elapsed_seconds)
    step = job.steps[step_progress.step]
    expected = run_seconds(state, job, step, quantile)
    if expected > elapsed_seconds:
        return expected - elapsed_seconds
    return runtimes.remaining(
        state.runtimes, job.customer, job.queue, elapsed_seconds, step.estimate_ms / 1000.0
    )
