"""How fast and steadily workers work, learnt from their agents' reports.

Declared durations are far off, but tasks of one step are alike, so the progress of a task is
compared with that of its siblings, and with its own earlier progress where it has none.
"""

from __future__ import annotations

import dataclasses
import statistics
import typing

from peridothatch_core.model import agents, steps

if typing.TYPE_CHECKING:
    from peridothatch_core.schedule import state as states

LEAST_INTERVAL_MS = 1000
"""Least time between two reports that are compared; progress is in whole percent."""

SLOW_SHARE = 0.5
"""Part of the usual progress below which a worker counts as slow for now."""

SLOW_MS = 5000
"""Time for which a worker counts as slow after a report that showed it."""

UNSTEADY_MS = 8000
"""Time for which work goes elsewhere after a worker has started a new incarnation without
notice."""

LASTING_SHARE = 0.87
"""Part of the usual progress below which a worker is of a slower kind, on average."""

LEARNT_SHARE = 0.3
"""Weight of a new comparison in the average."""

ENOUGH = 3
"""Comparisons before the average of a worker is used."""


@dataclasses.dataclass(slots=True)
class WorkerSpeed:
    """What is known of one worker.

    Attributes
    ----------
    average : float
        Progress as a part of the usual one.
    avoid_until_ms : int
        Store time until which the worker counts as slow or unsteady.
    """

    average: float = 1.0
    compared: int = 0
    avoid_until_ms: int = 0


@dataclasses.dataclass(slots=True)
class Speeds:
    """Speeds by node, and the latest progress of runs in percent a second."""

    workers: dict[str, WorkerSpeed] = dataclasses.field(default_factory=dict)
    rates: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)


def observe(state: states.State, old: agents.Agent, new: agents.Agent) -> None:
    """Compare two reports of an agent; the promises of their leases tell the time between."""
    if old.worker and new.worker and old.worker.started_ms != new.worker.started_ms:
        _restarted(state, old, new)
        return
    interval_ms = new.hold_until_ms - old.hold_until_ms
    if interval_ms < LEAST_INTERVAL_MS:
        return
    before, after = _percents(old), _percents(new)
    compared = []
    for job, progress, run in state.runs.get(new.node, ()):
        # A run that is being stopped makes no progress on a sound worker either.
        if run.stopping or job.steps[progress.step].long_running:
            continue
        key = _key(job, progress, run)
        if key not in before or not before[key] <= after.get(key, 100) < 100:
            continue
        rate = 1000.0 * (after[key] - before[key]) / interval_ms
        usual = _usual(state, job, progress, run)
        state.speeds.rates[key] = rate
        if usual:
            compared.append(rate / usual)
    if compared:
        _learn(state, new, statistics.median(compared))


def forget_run(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    """Drop the progress of a run that has ended."""
    state.speeds.rates.pop(_key(job, progress, run), None)


def avoided_nodes(state: states.State, now_ms: int, *, lasting: bool) -> set[str]:
    """Return the nodes of workers that are slow or unsteady now.

    Parameters
    ----------
    lasting : bool
        Include workers of a slower kind.
    """
    return {
        node
        for node, speed in state.speeds.workers.items()
        if speed.avoid_until_ms > now_ms
        or (lasting and speed.compared >= ENOUGH and speed.average < LASTING_SHARE)
    }


def _percents(agent: agents.Agent) -> dict[tuple[str, int], int]:
    return {(report.task, report.attempt): report.percent for report in agent.runs}


def _key(job: steps.Job, progress: steps.StepProgress, run: steps.Run) -> tuple[str, int]:
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    return task, run.attempt


def _usual(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> float:
    """Return the progress of the siblings of a run on other workers, or its own before."""
    rates = [
        state.speeds.rates[key]
        for sibling in progress.runs
        if sibling.node != run.node and (key := _key(job, progress, sibling)) in state.speeds.rates
    ]
    return (
        statistics.median(rates)
        if rates
        else state.speeds.rates.get(_key(job, progress, run), 0.0)
    )


def _restarted(state: states.State, old: agents.Agent, new: agents.Agent) -> None:
    """Forget an incarnation that has ended; the next one may be of another kind."""
    speed = WorkerSpeed()
    if old.worker is not None and old.worker.state is not agents.WorkerState.DRAINING:
        speed.avoid_until_ms = new.hold_until_ms - state.limits.hold_ms + UNSTEADY_MS
    state.speeds.workers[new.node] = speed


def _learn(state: states.State, agent: agents.Agent, share: float) -> None:
    speed = state.speeds.workers.setdefault(agent.node, WorkerSpeed())
    if share < SLOW_SHARE:
        speed.avoid_until_ms = agent.hold_until_ms - state.limits.hold_ms + SLOW_MS
        return
    speed.compared += 1
    speed.average += LEARNT_SHARE * (min(share, 2.0) - speed.average)
