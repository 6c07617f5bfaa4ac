"""Objectives of jobs by the expected run times: how much time a job has left, and needs.

The declared durations are wrong by a factor of up to ten, so that they do not tell which jobs are
about to miss their objectives.
"""

from __future__ import annotations

import typing

from peridothatch_core.model import steps
from peridothatch_core.order import expectations
from peridothatch_core.schedule import expected

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from peridothatch_core.schedule import state as states


def is_predictable(state: states.State, job: steps.Job) -> bool:
    """Return whether a job has an objective, and run times known from finished runs.

    The objective of a recurring job counts from its due time, which is not in store time.
    """
    expectation = expected.run_expectation(state, job, steps.Step(1))
    learned = expectation.level is not expectations.Level.DEFAULT
    return learned and job.timetable is None and not any(step.long_running for step in job.steps)


def step_seconds(state: states.State, job: steps.Job, quantile: float) -> list[float]:
    """Return the expected run time of a task of each step."""
    return [expected.run_seconds(state, job, step, quantile) for step in job.steps]


def unfinished(job: steps.Job, seconds: Sequence[float]) -> list[float]:
    """Return the given times of the steps, with 0 for those that are done."""
    done = {
        progress.step
        for progress in job.progress
        if len(progress.done) >= job.steps[progress.step].count
    }
    return [0.0 if index in done else time for index, time in enumerate(seconds)]


def objective_seconds(job: steps.Job, whole: Sequence[float]) -> float:
    """Return the objective of a job, counted from its submission.

    Parameters
    ----------
    whole : list of float
        Time that each step takes in total.
    """
    return job.slack_factor * chain_seconds(job, whole) + job.objective_ms / 1000.0


def slack_seconds(
    job: steps.Job, whole: Sequence[float], rest: Sequence[float], now_ms: int
) -> float:
    """Return how much later than now the rest of a job may start.

    Parameters
    ----------
    whole, rest : list of float
        Time that each step takes in total, and from now on.
    """
    waited = (now_ms - job.submitted_ms) / 1000.0
    return objective_seconds(job, whole) - waited - chain_seconds(job, rest)


def chain_seconds(job: steps.Job, seconds: Sequence[float]) -> float:
    """Return the duration of the longest chain of steps, each of which has a duration."""
    ends: list[float] = []
    for step, duration in zip(job.steps, seconds, strict=True):
        ends.append(duration + max((ends[before] for before in step.after), default=0.0))
    return max(ends, default=0.0)
