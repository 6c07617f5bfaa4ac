import dataclasses

import schedule_harness as harness

from peridothatch_core.model import steps
from peridothatch_core.schedule import last_attempt, state

FAILED_MS = harness.NOW_MS + 100
AGAIN_MS = FAILED_MS + 200


def _failed_once(nodes=3, priority=2, **changes):
    """Return a scheduler with a job that fails for good with its next failure."""
    item = harness.job("a", priority=priority, max_attempts=2, **changes)
    own = harness.scheduler([item], [harness.agent(f"n{number}") for number in range(nodes)])
    harness.run(own)
    (run_,) = harness.open_runs(item)
    harness.end(own, item, run_, steps.EndKind.FAILED, now_ms=FAILED_MS)
    return own, item, run_.node


def _with_proof(own, failed_on):
    """Let a worker show itself sound; return it. Another one looks fitter, but proves nothing."""
    fitter, proven = (node for node in ("n2", "n1", "n0") if node != failed_on)
    _work_on(own, fitter, AGAIN_MS - last_attempt.RECENT_MS - 1, accelerators=3)
    _work_on(own, proven, AGAIN_MS - last_attempt.SURVIVED_MS)
    return proven


def _work_on(own, node, since_ms, accelerators=1):
    """Add a run of another job that its agent has claimed."""
    other = harness.job(f"on {node}", harness.step(1, accelerators))
    other.opened = 1
    other.state = steps.JobState.RUNNING
    running = steps.Run(0, 1, node, 0, since_ms)
    other.progress = [
        steps.StepProgress(0, 0, attempts=[1], failures=[0], saved=[""], runs=[running])
    ]
    state.add_job(own, other, 9)
    harness.renew(own, AGAIN_MS)


def test_a_last_attempt_goes_to_a_worker_that_has_shown_itself_sound():
    # A job failed for good on an idle worker that failed whatever it was given.
    own, item, failed_on = _failed_once()
    proven = _with_proof(own, failed_on)
    harness.run(own, AGAIN_MS)
    assert [run_.node for run_ in harness.open_runs(item)] == [proven]


def test_a_last_attempt_waits_for_proof_but_not_for_ever():
    own, item, failed_on = _failed_once()
    for later_ms in (0, last_attempt.PROOF_PATIENCE_MS - 1):
        harness.run(own, AGAIN_MS + later_ms)
        assert not harness.open_runs(item)
    harness.renew(own, AGAIN_MS + last_attempt.PROOF_PATIENCE_MS)
    harness.run(own, AGAIN_MS + last_attempt.PROOF_PATIENCE_MS)
    (run_,) = harness.open_runs(item)
    assert run_.node != failed_on


def test_a_last_attempt_that_was_stopped_is_as_careful_again():
    # The run that failed the job followed a stop for an urgent job, not a failure.
    own, item, failed_on = _failed_once()
    proven = _with_proof(own, failed_on)
    harness.run(own, AGAIN_MS)
    harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.STOPPED, now_ms=AGAIN_MS + 50)
    assert [run_.node for run_ in harness.open_runs(item)] == [proven]


def test_an_urgent_last_attempt_prefers_a_sound_worker_but_does_not_wait():
    own, item, failed_on = _failed_once(priority=0)
    harness.run(own, AGAIN_MS)
    (run_,) = harness.open_runs(item)
    assert run_.node != failed_on
    own, item, failed_on = _failed_once(priority=0)
    proven = _with_proof(own, failed_on)
    harness.run(own, AGAIN_MS)
    assert [run_.node for run_ in harness.open_runs(item)] == [proven]


def test_a_last_attempt_does_not_wait_where_there_is_no_other_worker():
    own, item, failed_on = _failed_once(nodes=1)
    harness.run(own, AGAIN_MS)
    assert [run_.node for run_ in harness.open_runs(item)] == [failed_on]


def test_a_careful_task_does_not_hold_the_others_of_its_step_up():
    own, item, _ = _failed_once()
    item.steps = (dataclasses.replace(item.steps[0], count=3),)
    item.progress[0] = steps.StepProgress(
        0, 0, attempts=[1, 0, 0], failures=[1, 0, 0], saved=["", "", ""]
    )
    harness.run(own, AGAIN_MS)
    assert sorted(run_.index for run_ in harness.open_runs(item)) == [1, 2]
