import json

import schedule_harness as harness

from peridothatch_core.message import rows
from peridothatch_core.model import steps, tables
from peridothatch_core.schedule import cycle, state, writes


def _encode(value):
    return json.dumps(str(value)).encode()


def _batches(own):
    cycle.run(own, harness.NOW_MS, harness.UNIX_MS)
    return writes.build_batches(own, 77, _encode)


def test_a_jobs_row_and_its_orders_share_a_transaction_that_the_epoch_fences():
    # A successor must never see a run whose order was not written.
    items = [harness.job(f"j{number}", harness.step(30, 0, 1)) for number in range(5)]
    own = harness.scheduler(items, [harness.agent(f"n{number}") for number in range(5)])
    batches = _batches(own)
    assert len(batches) > 1
    for batch in batches:
        assert rows.Condition(tables.EPOCH, 77) in batch.transaction.conditions
        written = {key for key, _ in batch.transaction.writes}
        for job_id in batch.saved_jobs:
            version = own.job_versions[job_id]
            assert rows.Condition(tables.job(job_id), version) in batch.transaction.conditions
            for run in harness.open_runs(own.jobs[job_id]):
                task = steps.task_name(job_id, 0, 0, run.index)
                assert tables.order(run.node, task, run.attempt) in written


def test_a_transaction_stays_within_the_limit_of_the_store():
    items = [harness.job(f"j{number}", harness.step(40, 0, 1)) for number in range(8)]
    own = harness.scheduler(items, [harness.agent("n1"), harness.agent("n2")])
    for number in range(300):
        own.ends[f"e/x{number}.0.0.0/1"] = steps.End(
            f"x{number}.0.0.0", 1, "n1", steps.EndKind.DONE
        )
    for batch in _batches(own):
        assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100


def test_a_lapse_is_conditional_on_the_row_that_was_seen():
    # A renewal that comes first must void the lapse.
    item = harness.job("a")
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    own.agent_versions["n1"] = 33
    cycle.run(own, harness.NOW_MS + 30_000, harness.UNIX_MS)
    (batch,) = writes.build_batches(own, 77, _encode)
    assert rows.Condition(tables.agent("n1"), 33) in batch.transaction.conditions
    assert batch.lapsed_nodes == ["n1"]


def test_agents_that_a_new_leader_has_not_heard_from_are_asked_and_get_no_orders():
    # Rows from before a loss of power look recent to the next leader.
    item = harness.job("a")
    renewed_ms = harness.NOW_MS - state.CONFIRMED_WITHIN_MS - 1
    old = harness.agent("n1", hold_until_ms=renewed_ms + harness.HOLD_MS)
    own = harness.scheduler([item], [old])
    state.request_confirmations(own, harness.NOW_MS)
    (batch,) = _batches(own)
    assert tables.renewal("n1") in {key for key, _ in batch.transaction.writes}
    assert not harness.open_runs(item)
    own.unconfirmed.discard("n1")
    assert _batches(own)
    assert harness.open_runs(item)


def test_agents_that_have_just_renewed_are_not_asked_to():
    # All agents at once take 5 ms each of the store's partition, while urgent jobs wait.
    item = harness.job("a")
    own = harness.scheduler([item], [harness.agent("n1")])
    state.request_confirmations(own, harness.NOW_MS + state.CONFIRMED_WITHIN_MS)
    assert not own.renewals
    assert _batches(own)
    assert harness.open_runs(item)


def test_an_unchanged_state_writes_nothing():
    own = harness.scheduler([harness.job("a")], [harness.agent("n1")])
    assert _batches(own)
    assert not _batches(own)


def test_a_wide_job_that_is_cancelled_fits_the_store():
    # The stops of more than 95 runs went into one transaction, which the store refuses for good.
    item = harness.job("a", harness.step(250, 0, 1))
    own = harness.scheduler([item], [harness.agent(f"n{number}") for number in range(10)])
    for _ in range(8):
        harness.run(own)
    assert len(harness.open_runs(item)) == 250
    own.cancelled.add("a")
    batches = _batches(own)
    written = [key for batch in batches for key, _ in batch.transaction.writes]
    assert sum(key.key.endswith(tables.STOP_SUFFIX) for key in written) == 250
    assert [batch.saved_jobs for batch in batches if batch.saved_jobs] == [["a"]]
    assert batches[-1].saved_jobs == ["a"]
    for batch in batches:
        assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100
