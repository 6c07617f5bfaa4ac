"""Detection of slow and unstable workers from the progress that their agents report.

Declared durations are inaccurate, but tasks of one step are alike. The rate of progress of a task
is therefore compared with that of the other tasks of its step, or with its own previous rate if
there are none.
"""

from __future__ import annotations

import dataclasses
import statistics
import typing

from peridothatch_core.model import agents, steps

if typing.TYPE_CHECKING:
    from peridothatch_core.schedule import state as states

MIN_INTERVAL_MS = 1000
"""Minimum time between two reports that are compared.

Progress is reported in whole percent, which is too coarse for shorter intervals.
"""

SLOW_RATIO = 0.5
"""Share of the reference rate below which a worker is temporarily avoided as slow."""

SLOW_AVOID_MS = 5000
"""Time for which a worker is avoided after a report of slow progress."""

RESTART_AVOID_MS = 8000
"""Time for which a worker is avoided after an unannounced restart."""

SLOWER_KIND_RATIO = 0.87
"""Average share of the reference rate below which a worker is considered a slower kind."""

SMOOTHING_FACTOR = 0.3
"""Weight of a new comparison in the exponential moving average."""

MIN_COMPARISONS = 3
"""Minimum number of comparisons before the average of a worker is used."""


@dataclasses.dataclass(slots=True)
class WorkerSpeed:
    """Measured speed of one worker.

    Attributes
    ----------
    average_ratio : float
        Moving average of the worker's rate of progress divided by the reference rate.
    comparisons : int
        Number of comparisons in the average.
    avoid_until_ms : int
        Store time until which the worker is avoided as slow or unstable.
    """

    average_ratio: float = 1.0
    comparisons: int = 0
    avoid_until_ms: int = 0


@dataclasses.dataclass(slots=True)
class Speeds:
    """Measured speeds of all workers.

    Attributes
    ----------
    workers : dict
        Speeds by node.
    rates : dict
        Latest rate of progress by task and attempt, in percent per second.
    compared : dict
        Row of each agent that was compared last, by node. Rows may follow each other faster than
        reports can be compared.
    """

    workers: dict[str, WorkerSpeed] = dataclasses.field(default_factory=dict)
    rates: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    compared: dict[str, agents.Agent] = dataclasses.field(default_factory=dict)


def observe(state: states.State, old: agents.Agent, new: agents.Agent) -> None:
    """Update the speed of a worker from two successive rows of its agent.

    The time between the reports is the difference between the ends of the two leases.
    """
    if old.worker and new.worker and old.worker.started_ms != new.worker.started_ms:
        _reset_after_restart(state, old, new)
        state.speeds.compared[new.node] = new
        return
    old = state.speeds.compared.setdefault(new.node, old)
    interval_ms = new.hold_until_ms - old.hold_until_ms
    if interval_ms < MIN_INTERVAL_MS:
        return
    state.speeds.compared[new.node] = new
    before, after = _progress_by_run(old), _progress_by_run(new)
    ratios = []
    for job, progress, run in state.runs.get(new.node, ()):
        # A run that is being stopped makes no progress on a healthy worker either.
        if run.stopping or job.steps[progress.step].long_running:
            continue
        key = _run_key(job, progress, run)
        if key not in before or not before[key] <= after.get(key, 100) < 100:
            continue
        rate = 1000.0 * (after[key] - before[key]) / interval_ms
        reference = _reference_rate(state, job, progress, run)
        state.speeds.rates[key] = rate
        if reference:
            ratios.append(rate / reference)
    if ratios:
        _update_average(state, new, statistics.median(ratios))


def forget_run(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    """Remove the rate of a run that has ended."""
    state.speeds.rates.pop(_run_key(job, progress, run), None)


def avoided_nodes(state: states.State, now_ms: int, *, include_slower_kinds: bool) -> set[str]:
    """Return the nodes of workers that are currently slow or unstable.

    Parameters
    ----------
    include_slower_kinds : bool
        Include workers that are slower on average.
    """
    return {
        node
        for node, speed in state.speeds.workers.items()
        if speed.avoid_until_ms > now_ms
        or (
            include_slower_kinds
            and speed.comparisons >= MIN_COMPARISONS
            and speed.average_ratio < SLOWER_KIND_RATIO
        )
    }


def _progress_by_run(agent: agents.Agent) -> dict[tuple[str, int], int]:
    return {(report.task, report.attempt): report.percent for report in agent.runs}


def _run_key(job: steps.Job, progress: steps.StepProgress, run: steps.Run) -> tuple[str, int]:
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    return task, run.attempt


def _reference_rate(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> float:
    """Return the median rate of the step's runs on other workers, or the run's own previous rate.

    The result is 0 if neither is known.
    """
    rates = [
        state.speeds.rates[key]
        for sibling in progress.runs
        if sibling.node != run.node
        and (key := _run_key(job, progress, sibling)) in state.speeds.rates
    ]
    return (
        statistics.median(rates)
        if rates
        else state.speeds.rates.get(_run_key(job, progress, run), 0.0)
    )


def _reset_after_restart(state: states.State, old: agents.Agent, new: agents.Agent) -> None:
    """Reset the speed of a worker that has restarted, as it may now be of another kind.

    The worker is avoided for a time unless it was draining, that is, unless the restart was
    planned.
    """
    speed = WorkerSpeed()
    if old.worker is not None and old.worker.state is not agents.WorkerState.DRAINING:
        speed.avoid_until_ms = new.hold_until_ms - state.limits.hold_ms + RESTART_AVOID_MS
    state.speeds.workers[new.node] = speed


def _update_average(state: states.State, agent: agents.Agent, ratio: float) -> None:
    speed = state.speeds.workers.setdefault(agent.node, WorkerSpeed())
    if ratio < SLOW_RATIO:
        speed.avoid_until_ms = agent.hold_until_ms - state.limits.hold_ms + SLOW_AVOID_MS
        return
    speed.comparisons += 1
    speed.average_ratio += SMOOTHING_FACTOR * (min(ratio, 2.0) - speed.average_ratio)
