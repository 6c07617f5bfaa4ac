"""What owners of running work can spare, and how long an urgent job can wait.

Answers bursts of urgent gangs in a full fleet of work with much slack: the urgent objectives are
missed within seconds, while the owners of the running work still meet theirs after a restart.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from peridothatch_core.schedule import expected, objectives

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from peridothatch_core.model import steps
    from peridothatch_core.schedule import state as states

CAUTIOUS_QUANTILE = 0.2
"""Quantile of the run time by which slack is judged.

Objectives are multiples of the run time, so a short one leaves little slack.
"""

LATE_QUANTILE = 0.8
"""Quantile of the run time by which the end of a run is awaited."""

START_SECONDS = 1.0
"""Time from the end of a run, or from the order to stop it, to the start of a task in its place.

It covers the stop order, the report of the end, and the new order, each of which is written to the
store and delivered by a feed.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What an urgent job asks of running work.

    Attributes
    ----------
    wait_seconds : float
        How long the job can wait for running work to end and still meet its objective.
    occupied_seconds : float
        Time after which the workers that the job takes are free again.
    """

    wait_seconds: float
    occupied_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What is expected of runs that are stopped together.

    Attributes
    ----------
    remaining_seconds : float
        Time until the last of the runs ends; infinite if it is not known.
    spare_seconds : float
        Delay before a restart after which the owner still meets its objective; negative if it does
        not, or if it is not known.
    """

    remaining_seconds: float
    spare_seconds: float


UNKNOWN = Outlook(math.inf, -math.inf)


def terms(
    state: states.State, job: steps.Job, progress: steps.StepProgress, now_ms: int
) -> Terms | None:
    """Return what a waiting job asks of running work.

    The result is ``None`` if the job's run times have not been learned, or if the job misses its
    objective even if other work is stopped for it now.
    """
    if not objectives.is_predictable(state, job):
        return None
    seconds = objectives.step_seconds(state, job, quantile=0.5)
    unfinished = objectives.unfinished(job, seconds)
    if objectives.slack_seconds(job, seconds, unfinished, now_ms) < START_SECONDS:
        return None
    cautious = objectives.step_seconds(state, job, CAUTIOUS_QUANTILE)
    unfinished = objectives.unfinished(job, cautious)
    slack = objectives.slack_seconds(job, cautious, unfinished, now_ms)
    return Terms(max(0.0, slack - START_SECONDS), START_SECONDS + seconds[progress.step])


def outlook(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    runs: Sequence[steps.Run],
    now_ms: int,
) -> Outlook:
    """Return what is expected of runs of a step; it is computed once in a cycle."""
    key = (job.id, progress.occurrence, progress.step, runs[0].index, runs[0].attempt)
    known = state.outlooks.get(key)
    if known is None:
        known = state.outlooks[key] = _outlook(state, job, progress, runs, now_ms)
    return known


def _outlook(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    runs: Sequence[steps.Run],
    now_ms: int,
) -> Outlook:
    step = job.steps[progress.step]
    if step.long_running or not objectives.is_predictable(state, job):
        return UNKNOWN
    late, cautious = (
        max(
            expected.remaining_seconds(state, job, progress, run, now_ms, quantile) for run in runs
        )
        for quantile in (LATE_QUANTILE, CAUTIOUS_QUANTILE)
    )
    elapsed = max(0, now_ms - min(run.ordered_ms for run in runs)) / 1000.0
    seconds = objectives.step_seconds(state, job, CAUTIOUS_QUANTILE)
    seconds[progress.step] = elapsed + cautious
    rest = objectives.unfinished(job, seconds)
    all_started = len(progress.done) + len(progress.runs) >= step.count
    if step.checkpointing and all_started:
        rest[progress.step] = cautious
    return Outlook(late, objectives.slack_seconds(job, seconds, rest, now_ms) - START_SECONDS)
