"""Expected run times of the scheduler's tasks; declared run times are wrong by large factors."""

import dataclasses
import math

import pytest
import schedule_harness as harness

from peridothatch_core.model import agents, learned, steps
from peridothatch_core.order import expectations
from peridothatch_core.schedule import expected, state

NODES = tuple(f"n{number}" for number in range(4))
STEP = harness.step(estimate_ms=50_000)


def _scheduler(*jobs):
    return harness.make_scheduler(jobs, [harness.agent(node) for node in NODES])


def _report(scheduler, job, percent, now_ms):
    """Renew the agents' rows; all runs of a job have made some progress."""
    for node, old in list(scheduler.agents.items()):
        reports = tuple(
            agents.RunReport(
                steps.task_name(found.id, progress.occurrence, progress.step, run.index),
                run.attempt,
                "",
                percent,
            )
            for found, progress, run in scheduler.runs.get(node, ())
            if found is job
        )
        renewed = dataclasses.replace(old, hold_until_ms=now_ms + harness.HOLD_MS, runs=reports)
        state.update_agent(scheduler, renewed, scheduler.agent_versions[node] + 1)


def _end_all(scheduler, job, after_ms, kind=steps.EndKind.DONE, saved=""):
    """End all runs of a job in one cycle."""
    found = harness.open_runs(job)
    for run in found:
        task = steps.task_name(job.id, 0, job.progress[0].step, run.index)
        scheduler.ends[f"e/{task}/{run.attempt}"] = steps.End(
            task, run.attempt, run.node, kind, saved
        )
    harness.run(scheduler, found[0].ordered_ms + after_ms)


def _samples(scheduler, job):
    series = scheduler.learned.history.series.get((job.customer, job.queue))
    return sum(expectations.summarize(series).values()) if series else 0.0


def _remaining(scheduler, job, now_ms, quantile=0.5):
    progress = job.progress[0]
    return expected.remaining_seconds(scheduler, job, progress, progress.runs[0], now_ms, quantile)


def test_without_history_the_declared_run_time_is_expected():
    # An installation that has just started must behave as it did without learned run times.
    job = harness.job("aa", STEP)
    scheduler = _scheduler(job)
    harness.run(scheduler)
    assert expected.run_seconds(scheduler, job, STEP, 0.95) == 50.0
    assert _remaining(scheduler, job, harness.NOW_MS + 20_000) == 30.0
    assert _remaining(scheduler, job, harness.NOW_MS + 70_000) == 70.0
    undeclared = expected.run_seconds(scheduler, job, harness.step())
    assert undeclared == expectations.DEFAULT_SECONDS


@pytest.mark.parametrize("gang", [False, True])
def test_a_step_of_any_width_is_one_sample(gang):
    # Sixteen members of a gang end together; as samples of their own they would set the estimate.
    part = harness.step(16, gang=gang, estimate_ms=50_000)
    scheduler = _scheduler()
    for number in range(3):
        now_ms = harness.NOW_MS + 10_000 * number
        job = harness.job(f"j{number}", part, submitted_ms=now_ms)
        state.add_job(scheduler, job, 1)
        harness.renew(scheduler, now_ms)
        harness.run(scheduler, now_ms)
        _end_all(scheduler, job, 4000)
        assert _samples(scheduler, job) == pytest.approx(number + 1)
    assert expected.run_seconds(scheduler, job, part) == pytest.approx(4.0, rel=0.06)


@pytest.mark.parametrize("kind", [kind for kind in steps.EndKind if kind != steps.EndKind.DONE])
def test_a_run_that_is_not_done_is_no_run_time(kind):
    # A run that was stopped or failed after a second would make all work look short.
    job = harness.job("aa", STEP)
    scheduler = _scheduler(job)
    harness.run(scheduler)
    _end_all(scheduler, job, 1000, kind)
    assert _samples(scheduler, job) == 0


def test_reported_progress_refines_the_remaining_time():
    # The declared 50 s are wrong: the run is half done after 3 s, one of which the start took.
    job = harness.job("aa", STEP)
    scheduler = _scheduler(job)
    harness.run(scheduler)
    start = harness.NOW_MS
    _report(scheduler, job, 25, start + 2000)
    assert _remaining(scheduler, job, start + 2000) == pytest.approx(6.0)
    _report(scheduler, job, 50, start + 3000)
    assert _remaining(scheduler, job, start + 3000) == pytest.approx(2.0)
    assert _remaining(scheduler, job, start + 4000) == pytest.approx(1.0)


def _resume(scheduler, job):
    harness.run(scheduler)
    _end_all(scheduler, job, 1000, steps.EndKind.STOPPED, "c1")
    harness.run(scheduler, harness.NOW_MS + 1000)
    return harness.open_runs(job)[0].ordered_ms


def test_the_remaining_time_of_a_resumed_run_does_not_count_its_earlier_work():
    # A run resumed at 60 % reported 60 % after a second and was expected to end within another,
    # so it was spared as a victim and its gang was left on a worker that was leaving.
    job = harness.job("aa", harness.step(estimate_ms=50_000, checkpointing=True))
    scheduler = _scheduler(job)
    start = _resume(scheduler, job)
    assert _remaining(scheduler, job, start) == 50.0
    _report(scheduler, job, 60, start + 1000)
    assert _remaining(scheduler, job, start + 1000) == pytest.approx(20.0)
    _report(scheduler, job, 70, start + 3000)
    assert _remaining(scheduler, job, start + 3000) == pytest.approx(6.0)


def test_a_resumed_run_is_a_sample_of_the_whole_run_time():
    # The rest of a run, taken for a whole one, would make checkpointed work look short.
    job = harness.job("aa", harness.step(estimate_ms=50_000, checkpointing=True))
    scheduler = _scheduler(job)
    start = _resume(scheduler, job)
    _report(scheduler, job, 60, start + 1000)
    _end_all(scheduler, job, 5000)
    assert job.state is steps.JobState.COMPLETED
    assert _samples(scheduler, job) == 1.0
    assert expected.run_seconds(scheduler, job, job.steps[0]) == pytest.approx(10.0, rel=0.06)
    assert not scheduler.learned.errors


@pytest.mark.parametrize("percent", [None, 95])
def test_a_resumed_run_whose_share_of_the_work_is_unknown_is_dropped(percent):
    # Its run time says nothing about a whole run.
    job = harness.job("aa", harness.step(estimate_ms=50_000, checkpointing=True))
    scheduler = _scheduler(job)
    start = _resume(scheduler, job)
    if percent is not None:
        _report(scheduler, job, percent, start + 1000)
    _end_all(scheduler, job, 1500)
    assert _samples(scheduler, job) == 0


def test_run_times_are_corrected_by_the_speed_of_the_worker():
    # On two kinds of workers, the same work would look like work of two kinds. A gang is as slow
    # as its slowest member.
    jobs = [harness.job(f"j{number}", harness.step(16, gang=True)) for number in range(3)]
    scheduler = _scheduler(*jobs)
    speeds = {NODES[0]: 2.0, NODES[1]: 0.5}
    for node, speed in speeds.items():
        scheduler.learned.speeds[node] = learned.LastingSpeed(node, 1, math.log(speed), 9.0)
    now_ms = harness.NOW_MS
    for job in jobs:
        harness.renew(scheduler, now_ms)
        harness.run(scheduler, now_ms)
        nodes = {run.node for run in harness.open_runs(job)}
        slowest = min(speeds.get(node, 1.0) for node in nodes)
        harness.run(scheduler, now_ms + 600)
        _end_all(scheduler, job, int(6000 / slowest))
        now_ms += 20_000
    whole = expected.run_seconds(scheduler, jobs[0], jobs[0].steps[0])
    assert whole == pytest.approx(6.0, rel=0.06)


def test_the_remaining_time_depends_on_the_speed_of_the_worker():
    # A run on a worker of half the speed has twice the time to go.
    job = harness.job("aa", STEP)
    scheduler = _scheduler(job)
    harness.run(scheduler)
    for _ in range(3):
        expectations.record(scheduler.learned.history, job.customer, job.queue, 10.0)
    node = harness.open_runs(job)[0].node
    fast = _remaining(scheduler, job, harness.NOW_MS)
    scheduler.learned.speeds[node] = learned.LastingSpeed(node, 1, math.log(0.5), 9.0)
    assert _remaining(scheduler, job, harness.NOW_MS) == pytest.approx(2 * fast)


def test_what_is_remembered_of_runs_ends_with_them():
    # The state would grow with every run, and a later run could find an earlier one's report.
    job = harness.job("aa", harness.step(3))
    scheduler = _scheduler(job)
    harness.run(scheduler)
    _report(scheduler, job, 20, harness.NOW_MS + 1000)
    assert len(scheduler.learned.first_reports) == len(scheduler.learned.forecasts) == 3
    _end_all(scheduler, job, 2000)
    harness.run(scheduler, harness.NOW_MS + 4000)
    assert not scheduler.learned.first_reports
    assert not scheduler.learned.forecasts
    assert not scheduler.learned.history.running


def test_open_runs_are_counted_in_the_expected_run_time():
    # A burst of long runs at the start of a queue is not visible in the runs that have ended.
    job = harness.job("aa", harness.step(8, gang=True), harness.step(4))
    scheduler = _scheduler(job)
    harness.run(scheduler)
    for _ in range(4):
        expectations.record(scheduler.learned.history, job.customer, job.queue, 1.0)
    before = expected.run_seconds(scheduler, job, STEP, 0.8)
    harness.run(scheduler, harness.NOW_MS + 30_000)
    assert expected.run_seconds(scheduler, job, STEP, 0.8) > before


def test_an_order_and_an_end_tell_what_was_expected():
    # The log lines with the expected and the actual run time are what the quality is judged by.
    job = harness.job("aa", STEP)
    scheduler = _scheduler(job)
    expected.refresh(scheduler, harness.NOW_MS)
    harness.cycle.run(scheduler, harness.NOW_MS, harness.UNIX_MS)
    ordered = next(event for event in scheduler.events if event.kind == "ordered")
    assert ordered.forecast.seconds == (50.0, 50.0, 50.0)
    assert ordered.forecast.level == expectations.Level.DECLARED
    _end_all(scheduler, job, 5000)
    errors = scheduler.learned.errors[job.queue]
    assert (errors.runs, errors.within) == (1, [1, 1, 1])
    assert errors.log_error_sum == pytest.approx(math.log(10.0))
