"""Workers that leave at short notice, several at a time, with gangs on them."""

import dataclasses

import pytest
import schedule_harness as harness

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import departures, state

NODES = tuple(f"n{number}" for number in range(8))


def _announce(scheduler, nodes, leaves_in_ms, now_ms=harness.NOW_MS):
    """Let the workers of some nodes announce that they leave; all agents have claimed."""
    for node, old in list(scheduler.agents.items()):
        draining = {"state": agents.WorkerState.DRAINING, "leaves_in_ms": leaves_in_ms}
        changes = draining if node in nodes else {}
        reports = tuple(
            agents.RunReport(
                steps.task_name(job.id, progress.occurrence, progress.step, run.index),
                run.attempt,
                "",
                5,
            )
            for job, progress, run in scheduler.runs.get(node, ())
        )
        renewed = dataclasses.replace(
            old,
            hold_until_ms=now_ms + harness.HOLD_MS,
            worker=dataclasses.replace(old.worker, **changes),
            runs=reports,
        )
        state.update_agent(scheduler, renewed, scheduler.agent_versions[node] + 1)


def _start(*parts, **changes):
    job = harness.job("aa", *parts, priority=0, slack_factor=1.1, **changes)
    scheduler = harness.make_scheduler([job], [harness.agent(node) for node in NODES])
    harness.run(scheduler)
    return scheduler, job


def _gang(count=4, estimate_ms=8000, **changes):
    return harness.step(count, accelerators=8, estimate_ms=estimate_ms, gang=True, **changes)


def test_a_gang_moves_at_once_from_a_worker_that_leaves_before_it_can_end():
    # It used to work on until the worker was gone, and its work was lost as well as the time.
    scheduler, job = _start(_gang())
    node = harness.open_runs(job)[0].node
    _announce(scheduler, {node}, 2000)
    harness.run(scheduler, harness.NOW_MS + 100)
    assert all(run.stopping for run in harness.open_runs(job))
    for run in harness.open_runs(job):
        harness.end(scheduler, job, run, steps.EndKind.STOPPED, now_ms=harness.NOW_MS + 300)
    started = harness.open_runs(job)
    assert len(started) == 4
    assert node not in {run.node for run in started}


@pytest.mark.parametrize(
    "step",
    [
        _gang(estimate_ms=1000),
        _gang(estimate_ms=4000),
        _gang(checkpointing=True),
        harness.step(3, long_running=True, max_unavailable=1),
    ],
)
def test_work_that_can_end_or_be_saved_in_time_goes_on(step):
    scheduler, job = _start(step)
    _announce(scheduler, set(NODES), 3000)
    harness.run(scheduler, harness.NOW_MS + 100)
    assert not any(run.stopping for run in harness.open_runs(job))
    # Stopped later, it would lose more work and gain less time.
    harness.run(scheduler, harness.NOW_MS + 2800)
    assert not any(run.stopping for run in harness.open_runs(job))


def test_a_job_that_can_start_again_in_time_works_on():
    # The worker may stay longer than it announces, and the caller loses nothing by that.
    scheduler, job = _start(_gang(), objective_ms=6000)
    _announce(scheduler, set(NODES), 2000)
    harness.run(scheduler, harness.NOW_MS + 100)
    assert not any(run.stopping for run in harness.open_runs(job))


def test_the_notice_counts_from_the_first_row_that_tells_it():
    # Later rows repeat the time left of the last heartbeat, which has gone by meanwhile.
    scheduler, job = _start(_gang(estimate_ms=2500))
    node = harness.open_runs(job)[0].node
    _announce(scheduler, {node}, 3000)
    harness.run(scheduler, harness.NOW_MS + 100)
    assert not any(run.stopping for run in harness.open_runs(job))
    _announce(scheduler, {node}, 3000, harness.NOW_MS + 1400)
    departures.observe(scheduler)
    assert scheduler.leaving_at_ms[node] == harness.NOW_MS + 3000


def test_a_worker_that_stays_after_all_is_not_taken_for_a_leaving_one():
    scheduler, job = _start(_gang())
    node = harness.open_runs(job)[0].node
    scheduler.leaving_at_ms[node] = harness.NOW_MS
    harness.run(scheduler, harness.NOW_MS + 100)
    assert node not in scheduler.leaving_at_ms
    assert not any(run.stopping for run in harness.open_runs(job))


def test_a_broken_gang_starts_again_without_the_end_of_the_member_that_was_lost():
    # An urgent gang waited 1.65 s until the loss of a worker that had left was certain.
    scheduler, job = _start(_gang())
    _announce(scheduler, (), 0)
    lost, *others = harness.open_runs(job)
    for run in others:
        harness.end(scheduler, job, run, steps.EndKind.BROKEN, now_ms=harness.NOW_MS + 1000)
    assert harness.open_runs(job) == [lost]
    harness.run(scheduler, harness.NOW_MS + 1000 + departures.BROKEN_GANG_DELAY_MS)
    assert [run.attempt for run in harness.open_runs(job)] == [2, 2, 2, 2]


def test_a_member_whose_start_was_never_confirmed_is_waited_for():
    # Its worker may still carry the start out.
    scheduler, job = _start(_gang())
    _, *others = harness.open_runs(job)
    for run in others:
        harness.end(scheduler, job, run, steps.EndKind.BROKEN, now_ms=harness.NOW_MS + 200)
    harness.run(scheduler, harness.NOW_MS + 700)
    assert [run.attempt for run in harness.open_runs(job)] == [1]
