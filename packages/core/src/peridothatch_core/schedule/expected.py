"""What run times to expect of the scheduler's tasks, from finished runs and reported progress.

Handles queues whose declared run times are wrong by a large factor, workers of unequal speed, and
runs that were resumed from a checkpoint and do only the rest of their work.
"""

from __future__ import annotations

import math
import typing

from peridothatch_core.model import agents, steps
from peridothatch_core.order import calibration, expectations
from peridothatch_core.schedule import learned

if typing.TYPE_CHECKING:
    from peridothatch_core.schedule import state as states

MIN_PERCENT = 10
"""Least reported progress from which the rest of a run is extrapolated.

Progress is reported in whole percent, and the start of a run is known only to about a second.
"""

MAX_RESUMED_PERCENT = 80
"""First reported progress of a resumed run above which its whole run time is not derived from the
rest; the rounding of the percent would be multiplied by more than five."""

REFRESH_INTERVAL_MS = 500
"""Interval at which the open runs are counted; shorter than the shortest common tasks."""

MAX_LOG_SPEED = math.log(8.0)
"""Bound on the logarithm of a worker's speed, against an odd estimate."""


def run_seconds(
    state: states.State, job: steps.Job, step: steps.Step, quantile: float = 0.5
) -> float:
    """Return the expected run time of one task of a step in seconds."""
    return run_expectation(state, job, step, quantile).seconds


def run_expectation(
    state: states.State,
    job: steps.Job,
    step: steps.Step,
    quantile: float = 0.5,
) -> expectations.Expectation:
    """Return the expected run time of one task of a step, and what it is based on."""
    return expectations.estimate(
        state.learned.history, job.customer, job.queue, step.estimate_ms / 1000.0, quantile
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
    step = job.steps[step_progress.step]
    if not step.long_running:
        reported = _remaining_by_progress(state, job, step_progress, run, now_ms, quantile)
        if reported is not None:
            return reported
    speed = _run_speed(state, job, step_progress, run)
    elapsed_seconds = max(0, now_ms - run.ordered_ms) / 1000.0
    return (
        expectations.remaining(
            state.learned.history,
            job.customer,
            job.queue,
            elapsed_seconds * speed,
            step.estimate_ms / 1000.0,
            quantile,
        )
        / speed
    )


def forecast(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    run: steps.Run,
) -> calibration.Forecast | None:
    """Return and remember the run time that is expected of a run that is being ordered.

    The result is ``None`` for a run without an end and for one that is resumed, as the share of
    its work is not known yet.
    """
    step = job.steps[step_progress.step]
    if step.long_running or is_resumed(job, step_progress, run):
        return None
    speed = _speed(state, run.node)
    found = [run_expectation(state, job, step, share) for share in calibration.QUANTILES]
    seconds = tuple(each.seconds / speed for each in found)
    made = calibration.Forecast(seconds, found[0].samples, found[0].level)
    state.learned.forecasts[_run_key(job, step_progress, run)] = made
    return made


def record_done(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
    *,
    resumed: bool,
) -> None:
    """Learn from a run that is done and not yet counted in its step.

    A gang is one sample. The tasks of another step together are one sample, as they are alike.
    """
    step = job.steps[step_progress.step]
    counted = bool(step_progress.done) if step.gang else run.index in step_progress.done
    if step.long_running or counted:
        return
    key = _run_key(job, step_progress, run)
    made = find_forecast(state, job, step_progress, run)
    seconds = (now_ms - run.ordered_ms) / 1000.0
    if resumed:
        seconds = _whole_seconds(state.learned.first_reports.get(key), now_ms)
    weight = 1.0 if step.gang else 1.0 / step.count
    speed = _run_speed(state, job, step_progress, run)
    plausible = expectations.record(
        state.learned.history,
        job.customer,
        job.queue,
        seconds * speed,
        weight,
        step.estimate_ms / 1000.0,
    )
    state.learned.unsaved_runs += plausible
    if plausible and made is not None:
        error = calibration.record(state.learned.errors, job.queue, made, seconds)
        state.learned.new_errors.append((job.queue, error))


def find_forecast(
    state: states.State, job: steps.Job, step_progress: steps.StepProgress, run: steps.Run
) -> calibration.Forecast | None:
    """Return what was expected of a run when it was ordered, if this leader ordered it."""
    return state.learned.forecasts.get(_run_key(job, step_progress, run))


def is_resumed(job: steps.Job, step_progress: steps.StepProgress, run: steps.Run) -> bool:
    """Return whether an open run was started from a checkpoint."""
    slot = steps.progress_index(job.steps[step_progress.step], run.index)
    return slot < len(step_progress.saved) and bool(step_progress.saved[slot])


def observe_reports(state: states.State, agent: agents.Agent) -> None:
    """Remember the first progress that an agent reports of each run."""
    reported_ms = agent.hold_until_ms - state.limits.hold_ms
    for report in agent.runs:
        state.learned.first_reports.setdefault(
            (report.task, report.attempt), learned.FirstReport(report.percent, reported_ms)
        )


def refresh(state: states.State, now_ms: int) -> None:
    """Count the open runs as run times that are longer than the time so far, if that is due.

    What is remembered of runs that are not open any more is removed.
    """
    known = state.learned
    if 0 <= now_ms - known.refreshed_ms < REFRESH_INTERVAL_MS:
        return
    known.refreshed_ms = now_ms
    open_runs = [entry for entries in state.runs.values() for entry in entries]
    known.gang_speeds = {}
    for job, progress, run in open_runs:
        if job.steps[progress.step].gang:
            gang = _gang_key(job, progress, run)
            speed = min(_speed(state, run.node), known.gang_speeds.get(gang, math.inf))
            known.gang_speeds[gang] = speed
    keys = {_run_key(*entry) for entry in open_runs}
    known.first_reports = {
        key: report for key, report in known.first_reports.items() if key in keys
    }
    known.forecasts = {key: made for key, made in known.forecasts.items() if key in keys}
    expectations.observe_running(known.history, _running_samples(state, open_runs, now_ms))


def _running_samples(
    state: states.State,
    open_runs: list[tuple[steps.Job, steps.StepProgress, steps.Run]],
    now_ms: int,
) -> typing.Iterator[expectations.OpenRun]:
    """Yield the open runs with their times so far at ordinary speed; a gang counts once."""
    for job, progress, run in open_runs:
        step = job.steps[progress.step]
        if run.stopping or step.long_running or (step.gang and run.index > 0):
            continue
        elapsed_seconds = (now_ms - run.ordered_ms) / 1000.0
        speed = _run_speed(state, job, progress, run)
        weight = 1.0 if step.gang else 1.0 / step.count
        yield expectations.OpenRun(
            job.customer,
            job.queue,
            elapsed_seconds * speed,
            weight,
            step.estimate_ms / 1000.0,
        )


def _remaining_by_progress(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
    quantile: float,
) -> float | None:
    """Return the remaining time by the progress that was reported, or ``None`` if that is little.

    The rate between two reports does not depend on where a resumed run began, nor on how long the
    start took. A fresh run began at 0 with its order. If a resumed run has only one report, the
    rest of the work is taken from the expected whole run time.
    """
    key = _run_key(job, step_progress, run)
    agent = state.agents.get(run.node)
    report = agents.find_run_report(agent, *key) if agent else None
    if agent is None or report is None:
        return None
    reported_ms = agent.hold_until_ms - state.limits.hold_ms
    resumed = is_resumed(job, step_progress, run)
    first = state.learned.first_reports.get(key)
    if first is None or report.percent - first.percent < MIN_PERCENT:
        first = None if resumed else learned.FirstReport(0, run.ordered_ms)
    since_report = (now_ms - reported_ms) / 1000.0
    if first is not None:
        worked_seconds = (reported_ms - first.reported_ms) / 1000.0
        if report.percent - first.percent < MIN_PERCENT or worked_seconds <= 0:
            return None
        rate = (report.percent - first.percent) / worked_seconds
        return max(0.0, (100.0 - report.percent) / rate - since_report)
    step = job.steps[step_progress.step]
    speed = _run_speed(state, job, step_progress, run)
    whole_seconds = run_seconds(state, job, step, quantile) / speed
    return max(0.0, whole_seconds * (1.0 - report.percent / 100.0) - since_report)


def _whole_seconds(first: learned.FirstReport | None, now_ms: int) -> float:
    """Return the whole run time of a resumed run that has ended; not a number if it is unknown."""
    if first is None or first.percent > MAX_RESUMED_PERCENT:
        return math.nan
    return (now_ms - first.reported_ms) / 1000.0 * 100.0 / (100.0 - first.percent)


def _run_speed(
    state: states.State, job: steps.Job, step_progress: steps.StepProgress, run: steps.Run
) -> float:
    """Return the speed of a run; a gang is as slow as its slowest member."""
    speed = _speed(state, run.node)
    if job.steps[step_progress.step].gang:
        gang = _gang_key(job, step_progress, run)
        speed = min(speed, state.learned.gang_speeds.get(gang, math.inf))
    return speed


def _speed(state: states.State, node: str) -> float:
    """Return the lasting speed of a worker relative to the fleet; 1 if it is not known."""
    known = state.learned.speeds.get(node)
    if known is None:
        return 1.0
    return math.exp(min(max(known.log_ratio, -MAX_LOG_SPEED), MAX_LOG_SPEED))


def _run_key(job: steps.Job, step_progress: steps.StepProgress, run: steps.Run) -> learned.RunKey:
    task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, run.index)
    return task, run.attempt


def _gang_key(
    job: steps.Job, step_progress: steps.StepProgress, run: steps.Run
) -> learned.GangKey:
    return job.id, step_progress.occurrence, step_progress.step, run.attempt
