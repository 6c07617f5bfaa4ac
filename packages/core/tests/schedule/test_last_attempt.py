import dataclasses

import pytest
import schedule_harness as harness

from peridothatch_core.model import steps
from peridothatch_core.schedule import last_attempt, state

FAILED_MS = harness.NOW_MS + 100
AGAIN_MS = FAILED_MS + 200


def _failed_once(nodes=3, priority=2, **changes):
    """Return a scheduler, a job whose next failure is its last, and the node where it failed."""
    job = harness.job("a", priority=priority, max_attempts=2, **changes)
    scheduler = harness.make_scheduler(
        [job], [harness.agent(f"n{number}") for number in range(nodes)]
    )
    harness.run(scheduler)
    (run_,) = harness.open_runs(job)
    harness.end(scheduler, job, run_, steps.EndKind.FAILED, now_ms=FAILED_MS)
    return scheduler, job, run_.node


def _add_runs_on_others(scheduler, failed_on):
    """Add runs to the two other workers; return the one whose run shows it to be healthy.

    The other worker is a better fit, but its run is too old to show anything.
    """
    better_fit, healthy = (node for node in ("n2", "n1", "n0") if node != failed_on)
    _add_run(
        scheduler, better_fit, AGAIN_MS - last_attempt.MAX_HEALTHY_RUN_AGE_MS - 1, accelerators=3
    )
    _add_run(scheduler, healthy, AGAIN_MS - last_attempt.MIN_HEALTHY_RUN_AGE_MS)
    return healthy


def _add_run(scheduler, node, since_ms, accelerators=1):
    """Add a run of another job, claimed by its agent."""
    other = harness.job(f"on {node}", harness.step(1, accelerators))
    other.opened = 1
    other.state = steps.JobState.RUNNING
    running = steps.Run(0, 1, node, 0, since_ms)
    other.progress = [
        steps.StepProgress(0, 0, attempts=[1], failures=[0], saved=[""], runs=[running])
    ]
    state.add_job(scheduler, other, 9)
    harness.renew(scheduler, AGAIN_MS)


def test_a_last_attempt_goes_to_a_worker_with_a_recent_healthy_run():
    # Otherwise an idle faulty worker, which fails every run, fails the job.
    scheduler, job, failed_on = _failed_once()
    healthy = _add_runs_on_others(scheduler, failed_on)
    harness.run(scheduler, AGAIN_MS)
    assert [run_.node for run_ in harness.open_runs(job)] == [healthy]


def test_a_last_attempt_waits_for_a_healthy_worker_for_a_limited_time():
    scheduler, job, failed_on = _failed_once()
    for later_ms in (0, last_attempt.HEALTHY_WORKER_WAIT_MS - 1):
        harness.run(scheduler, AGAIN_MS + later_ms)
        assert not harness.open_runs(job)
    harness.renew(scheduler, AGAIN_MS + last_attempt.HEALTHY_WORKER_WAIT_MS)
    harness.run(scheduler, AGAIN_MS + last_attempt.HEALTHY_WORKER_WAIT_MS)
    (run_,) = harness.open_runs(job)
    assert run_.node != failed_on


def test_a_stopped_last_attempt_goes_to_a_healthy_worker_again():
    # The previous run may have been preempted by an urgent job instead of failing.
    scheduler, job, failed_on = _failed_once()
    healthy = _add_runs_on_others(scheduler, failed_on)
    harness.run(scheduler, AGAIN_MS)
    harness.end(
        scheduler, job, harness.open_runs(job)[0], steps.EndKind.STOPPED, now_ms=AGAIN_MS + 50
    )
    assert [run_.node for run_ in harness.open_runs(job)] == [healthy]


def test_an_urgent_last_attempt_prefers_a_healthy_worker_but_does_not_wait():
    scheduler, job, failed_on = _failed_once(priority=0)
    harness.run(scheduler, AGAIN_MS)
    (run_,) = harness.open_runs(job)
    assert run_.node != failed_on
    scheduler, job, failed_on = _failed_once(priority=0)
    healthy = _add_runs_on_others(scheduler, failed_on)
    harness.run(scheduler, AGAIN_MS)
    assert [run_.node for run_ in harness.open_runs(job)] == [healthy]


def test_a_last_attempt_does_not_wait_where_there_is_no_other_worker():
    scheduler, job, failed_on = _failed_once(nodes=1)
    harness.run(scheduler, AGAIN_MS)
    assert [run_.node for run_ in harness.open_runs(job)] == [failed_on]


def test_a_waiting_last_attempt_does_not_delay_other_tasks_of_its_step():
    scheduler, job, _ = _failed_once()
    job.steps = (dataclasses.replace(job.steps[0], count=3),)
    job.progress[0] = steps.StepProgress(
        0, 0, attempts=[1, 0, 0], failures=[1, 0, 0], saved=["", "", ""]
    )
    harness.run(scheduler, AGAIN_MS)
    assert sorted(run_.index for run_ in harness.open_runs(job)) == [1, 2]


@pytest.mark.parametrize("failures", [0, 1])
def test_an_urgent_attempt_does_not_go_to_the_worker_that_has_just_failed_its_step(failures):
    # Only the faulty worker had room while others were being freed: it failed four tasks of an
    # urgent job within a second, one of them for the second time, and so the whole job.
    scheduler, job, failed_on = _failed_once(priority=0)
    job.progress[0].failures[0] = failures
    for node in {"n0", "n1", "n2"} - {failed_on}:
        _add_run(scheduler, node, AGAIN_MS, accelerators=8)
    harness.run(scheduler, AGAIN_MS)
    assert not harness.open_runs(job)
    stopping = [
        run_ for entries in scheduler.runs.values() for _, _, run_ in entries if run_.stopping
    ]
    assert stopping, "room is made on another worker"
    harness.renew(scheduler, AGAIN_MS + last_attempt.FAILED_WORKER_WAIT_MS)
    harness.run(scheduler, AGAIN_MS + last_attempt.FAILED_WORKER_WAIT_MS)
    assert [run_.node for run_ in harness.open_runs(job)] == [failed_on]
