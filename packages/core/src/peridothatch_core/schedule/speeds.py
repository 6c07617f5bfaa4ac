"""Detection of slow and unstable workers from the progress that their agents report.

Declared durations are inaccurate, but tasks of one step are alike. The rate of progress of a task
is therefore compared with that of the other tasks of its step, or with its own previous rate if
there are none.

Each comparison serves two purposes. A worker that makes little progress now is avoided for some
seconds. The rates of the tasks of many steps together give a lasting estimate of each worker's
speed (`speed_fit`).
"""

from __future__ import annotations

import dataclasses
import math
import statistics
import typing

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import speed_fit

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

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

STALL_RATIO = 0.25
"""Share of the reference rate below which progress does not count for the lasting speed.

Workers of one service differ by less than this. A task so slow is held up for a time, or has more
work than the others.
"""

MIN_STALL_PERCENT = 4.0
"""Expected progress in percent from which a task can be found to be held up.

Below that, the rounding of the reports hides the difference.
"""

MIN_RATE_PERCENT = 5.0
"""Progress in percent from which the rate of a task counts for the lasting speed."""

FULL_RATE_PERCENT = 20.0
"""Progress in percent from which the rate of a task has full weight."""

MAX_STEPS = 24
"""Number of latest steps whose rates are kept; older ones are summarized for each worker."""

MAX_TASKS_PER_STEP = 128
"""Number of tasks of a step whose rates are kept, which bounds the time of a fit."""

REFIT_INTERVAL_MS = 2000
"""Minimum time between two fits of the lasting speeds; a fit of 1,000 rates takes about 16 ms."""

NEW_INCARNATION_WEIGHT = 0.5
"""Weight, in tasks, of the lasting speed after the worker was replaced.

The machine may be of another kind, so a few tasks suffice to change the estimate.
"""

StepKey = tuple[str, int, int, bool]
"""Job, occurrence and step, and whether the tasks run near the data of the step."""


@dataclasses.dataclass(slots=True)
class TaskRate:
    """Observed progress of one run of a task.

    Attributes
    ----------
    percent, elapsed_ms : float, float
        Progress during the compared intervals, and their total duration.
    """

    node: str
    percent: float = 0.0
    elapsed_ms: float = 0.0


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
    task_rates : dict
        Observed progress of the tasks of the latest steps without gang, by step and by run,
        including runs that have ended.
    priors : dict
        Summary of older steps, and restored estimates, by node.
    lasting : dict
        Lasting speeds by node, from the latest fit. The start times identify the incarnations.
    incarnations : dict
        Start time of the worker's incarnation by node.
    fitted_ms : int
        Store time of the latest fit.
    is_outdated : bool
        There are observations that are not in the latest fit.
    task_deviation : float
        Standard deviation of the logarithm of the rates of similar tasks on one worker.
    """

    workers: dict[str, WorkerSpeed] = dataclasses.field(default_factory=dict)
    rates: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    compared: dict[str, agents.Agent] = dataclasses.field(default_factory=dict)
    task_rates: dict[StepKey, dict[tuple[str, int], TaskRate]] = dataclasses.field(
        default_factory=dict
    )
    priors: dict[str, speed_fit.NodeSpeed] = dataclasses.field(default_factory=dict)
    lasting: dict[str, speed_fit.NodeSpeed] = dataclasses.field(default_factory=dict)
    incarnations: dict[str, int] = dataclasses.field(default_factory=dict)
    fitted_ms: int = 0
    is_outdated: bool = False
    task_deviation: float = speed_fit.MIN_DEVIATION


def observe(state: states.State, old: agents.Agent, new: agents.Agent) -> None:
    """Update the speed of a worker from two successive rows of its agent.

    The time between the reports is the difference between the ends of the two leases.
    """
    if new.worker is not None:
        _note_incarnation(state.speeds, new.node, new.worker.started_ms)
    # After a read of all rows, only the row that was compared last shows a restart before it.
    for before in (old, state.speeds.compared.get(new.node, old)):
        if before.worker and new.worker and before.worker.started_ms != new.worker.started_ms:
            _reset_after_restart(state, before, new)
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
        if shows_speed(job.steps[progress.step]):
            percent = after[key] - before[key]
            _record_progress(state, new, job, progress, key, percent, interval_ms, reference)
        if reference:
            ratios.append(rate / reference)
    if ratios:
        _update_average(state, new, statistics.median(ratios))


def forget_run(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    """Remove the rate of a run that has ended."""
    state.speeds.rates.pop(_run_key(job, progress, run), None)


def record_rate(
    speeds: Speeds, step: StepKey, run: tuple[str, int], node: str, percent: float, ms: float
) -> None:
    """Add progress of a task to what the lasting speeds are estimated from."""
    found = speeds.task_rates.setdefault(step, {})
    if run not in found and len(found) >= MAX_TASKS_PER_STEP:
        return
    rate = found.setdefault(run, TaskRate(node))
    rate.percent += percent
    rate.elapsed_ms += ms
    speeds.is_outdated = True
    while len(speeds.task_rates) > MAX_STEPS:
        _summarize_oldest_step(speeds)


def refit(speeds: Speeds, now_ms: int) -> None:
    """Update the lasting speeds if there are new observations and some time has passed."""
    if not speeds.is_outdated or now_ms - speeds.fitted_ms < REFIT_INTERVAL_MS:
        return
    speeds.is_outdated = False
    speeds.fitted_ms = now_ms
    samples = {step: _samples(found.values()) for step, found in speeds.task_rates.items()}
    fitted = speed_fit.fit(samples, speeds.priors, speeds.lasting)
    speeds.task_deviation = speed_fit.task_deviation(samples, fitted)
    speeds.lasting = {
        node: dataclasses.replace(speed, started_ms=speeds.incarnations.get(node, 0))
        for node, speed in fitted.items()
    }


def restore(speeds: Speeds, restored: dict[str, speed_fit.NodeSpeed]) -> None:
    """Add lasting speeds that an earlier leader has saved of workers without an estimate.

    A speed of another incarnation than the present one is kept with low weight.
    """
    for node, speed in restored.items():
        speeds.priors[node] = speed
        present = speeds.incarnations.get(node, speed.started_ms)
        if present != speed.started_ms:
            speeds.priors[node] = _after_replacement(speed, present)
        speeds.incarnations[node] = present
        speeds.lasting[node] = speeds.priors[node]
    speeds.is_outdated = True


def shows_speed(step: steps.Step) -> bool:
    """Return whether the progress of the tasks of a step shows the speeds of their workers.

    The members of a gang have the pace of the slowest, long-running tasks report a rate, and the
    progress of filling tasks depends on the tasks beside them. A single task cannot be compared.
    """
    return not (step.gang or step.long_running or step.fills) and step.count > 1


def relative_speed(speeds: Speeds, node: str) -> float:
    """Return the lasting speed of a worker relative to the others; 1 if nothing is known."""
    found = speeds.lasting.get(node)
    return speed_fit.ratio(found) if found else 1.0


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

    The rates are corrected for the speeds of the workers. The result is 0 if neither is known.
    """
    own_speed = _known_speed(state, job, progress, run)
    rates = [
        state.speeds.rates[key] * own_speed / _known_speed(state, job, progress, sibling)
        for sibling in progress.runs
        if sibling.node != run.node
        and (key := _run_key(job, progress, sibling)) in state.speeds.rates
    ]
    return (
        statistics.median(rates)
        if rates
        else state.speeds.rates.get(_run_key(job, progress, run), 0.0)
    )


def _record_progress(
    state: states.State,
    agent: agents.Agent,
    job: steps.Job,
    progress: steps.StepProgress,
    key: tuple[str, int],
    percent: int,
    interval_ms: int,
    reference: float,
) -> None:
    """Record the progress of a task, unless the task was held up."""
    if agent.worker is None:
        return
    step = job.steps[progress.step]
    expected_percent = reference * interval_ms / 1000.0
    if expected_percent >= MIN_STALL_PERCENT and percent < STALL_RATIO * expected_percent:
        return
    is_near = not step.affinity or agent.worker.rack == step.affinity
    step_key = (job.id, progress.occurrence, progress.step, is_near)
    record_rate(state.speeds, step_key, key, agent.node, percent, interval_ms)


def _samples(rates: Iterable[TaskRate]) -> list[speed_fit.Sample]:
    return [
        speed_fit.Sample(
            rate.node,
            math.log(rate.percent / rate.elapsed_ms),
            min(1.0, rate.percent / FULL_RATE_PERCENT),
        )
        for rate in rates
        if rate.percent >= MIN_RATE_PERCENT and rate.elapsed_ms > 0
    ]


def _summarize_oldest_step(speeds: Speeds) -> None:
    """Add the oldest step to the priors of its workers, and remove its rates."""
    step = next(iter(speeds.task_rates))
    samples = _samples(speeds.task_rates.pop(step).values())
    for node, speed in speed_fit.summarize(samples, speeds.lasting, speeds.priors).items():
        started_ms = speeds.incarnations.get(node, 0)
        speeds.priors[node] = dataclasses.replace(speed, started_ms=started_ms)


def _note_incarnation(speeds: Speeds, node: str, started_ms: int) -> None:
    """Keep the lasting speed with low weight if the worker was replaced by another one."""
    known = speeds.incarnations.get(node)
    speeds.incarnations[node] = started_ms
    if known is None or known == started_ms:
        return
    for found in speeds.task_rates.values():
        for run in [run for run, rate in found.items() if rate.node == node]:
            del found[run]
    if node in speeds.lasting:
        speeds.priors[node] = _after_replacement(speeds.lasting[node], started_ms)
        speeds.lasting[node] = speeds.priors[node]
    speeds.is_outdated = True


def _after_replacement(speed: speed_fit.NodeSpeed, started_ms: int) -> speed_fit.NodeSpeed:
    weight = min(speed.weight, NEW_INCARNATION_WEIGHT)
    return speed_fit.NodeSpeed(started_ms, speed.log_ratio, weight)


def _known_speed(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> float:
    """Return the speed of a run's worker relative to others; 1 unless speeds are placed by.

    The members of a gang have the same pace on any worker.
    """
    has_tiers = job.service in state.speed_tiers.by_service
    if not has_tiers or job.steps[progress.step].gang:
        return 1.0
    return relative_speed(state.speeds, run.node)


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
