import json

import schedule_harness as harness

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import cycle, rejection, state, writes


def _encode(value):
    return json.dumps(str(value)).encode()


def _batches(scheduler, now_ms=harness.NOW_MS):
    cycle.run(scheduler, now_ms, harness.UNIX_MS)
    return [batch.saved_jobs for batch in writes.build_batches(scheduler, 77, _encode)]


def _with_jobs(*names):
    return harness.make_scheduler([harness.job(name) for name in names], [harness.agent("n1")])


def test_the_jobs_of_a_rejected_transaction_are_written_one_by_one_after_all_others():
    scheduler = _with_jobs("a", "b", "c", "d")
    rejection.record(scheduler, ["a", "c"], harness.NOW_MS)
    assert _batches(scheduler) == [["b", "d"], ["a"], ["c"]]


def test_a_job_is_written_with_others_again_once_its_transaction_has_committed():
    scheduler = _with_jobs("a", "b")
    rejection.record(scheduler, ["a", "b"], harness.NOW_MS)
    rejection.record_committed(scheduler, ["a", "b"])
    assert _batches(scheduler) == [["a", "b"]]


def test_nothing_is_decided_for_a_suspended_job_and_its_ends_are_kept():
    # A decision that is not written must not be acted on, and the end of a run that is deleted
    # cannot be read again.
    job = harness.job("a", harness.step(2))
    scheduler = harness.make_scheduler([job], [harness.agent("n1"), harness.agent("n2")])
    harness.run(scheduler)
    rejection.record(scheduler, ["a"], harness.NOW_MS)
    first, second = harness.open_runs(job)
    changes = harness.end(scheduler, job, first, steps.EndKind.DONE)
    scheduler.cancelled.add("a")
    state.update_agent(scheduler, agents.Agent(second.node, "accra-a", 1, 1, 0), 9)
    changes |= harness.run(scheduler)
    assert changes == {}
    assert len(scheduler.ends) == 1
    assert harness.open_runs(job) == [first, second]
    harness.run(scheduler, harness.NOW_MS + rejection.SUSPENSION_MS)
    assert not scheduler.ends
    assert job.state is steps.JobState.CANCELLED
