import dataclasses
import json

import schedule_harness as harness

from peridothatch_core.message import rows
from peridothatch_core.model import steps, tables
from peridothatch_core.schedule import cycle, state, writes

LATER_MS = harness.NOW_MS + state.CLAIM_TIMEOUT_MS + 1


def _encode(value):
    return json.dumps(str(value)).encode()


def _with_order(job):
    """Return a scheduler that has ordered a run on one of two nodes, and that node."""
    scheduler = harness.make_scheduler([job], [harness.agent("n1"), harness.agent("n2")])
    harness.run(scheduler)
    return scheduler, harness.open_runs(job)[0].node


def _claim(scheduler, node, index, attempt):
    claimed = ((steps.task_name("a", 0, 0, index), attempt),)
    row = dataclasses.replace(scheduler.agents[node], claimed=claimed)
    state.update_agent(scheduler, row, scheduler.agent_versions[node] + 1)


def test_an_unclaimed_order_goes_to_another_worker():
    # Otherwise a job that was ordered on a dead agent waits for its lease to lapse, up to 8.5 s.
    job = harness.job("a")
    scheduler, first = _with_order(job)
    harness.run(scheduler, LATER_MS)
    (run_,) = harness.open_runs(job)
    assert run_.node != first
    assert run_.attempt == 2


def test_a_withdrawal_fails_if_the_order_was_claimed_or_the_run_has_ended():
    # Otherwise the task could run twice.
    job = harness.job("a")
    scheduler, node = _with_order(job)
    scheduler.agent_versions[node] = 33
    cycle.run(scheduler, LATER_MS, harness.UNIX_MS)
    (batch,) = writes.build_batches(scheduler, 77, _encode)
    task = steps.task_name("a", 0, 0, 0)
    assert rows.Condition(tables.agent_key(node), 33) in batch.transaction.conditions
    assert rows.Condition(tables.end_key(task, 1), 0) in batch.transaction.conditions
    assert (tables.order_key(node, task, 1), None) in batch.transaction.writes


def test_a_claimed_order_is_never_withdrawn():
    job = harness.job("a")
    scheduler, node = _with_order(job)
    _claim(scheduler, node, 0, 1)
    harness.run(scheduler, LATER_MS + 2_000)
    (run_,) = harness.open_runs(job)
    assert (run_.node, run_.attempt) == (node, 1)


def test_a_run_whose_end_arrives_after_its_agents_row_is_not_withdrawn():
    # The two rows arrive by different feeds. Such a withdrawal conflicts, and a conflict causes a
    # read of all rows.
    job = harness.job("a")
    scheduler, node = _with_order(job)
    _claim(scheduler, node, 0, 1)
    ended = dataclasses.replace(scheduler.agents[node], claimed=())
    state.update_agent(scheduler, ended, scheduler.agent_versions[node] + 1)
    harness.run(scheduler, LATER_MS)
    assert [run_.attempt for run_ in harness.open_runs(job)] == [1]


def test_a_slow_store_delays_withdrawals():
    # The claim itself is late then, and each withdrawal that conflicts causes a read of all rows.
    job = harness.job("a")
    scheduler, node = _with_order(job)
    scheduler.write_latency_ms = 300.0
    harness.run(scheduler, LATER_MS)
    assert harness.open_runs(job)[0].node == node


def test_an_agent_that_ignored_an_order_receives_none_until_it_writes():
    job = harness.job("a")
    scheduler, first = _with_order(job)
    harness.run(scheduler, LATER_MS)
    assert scheduler.unconfirmed == {first}
    second = harness.open_runs(job)[0].node
    _claim(scheduler, second, 0, 2)
    other = harness.job("b", harness.step(12, 1))
    state.add_job(scheduler, other, 9)
    harness.run(scheduler, LATER_MS + 10)
    assert {run_.node for run_ in harness.open_runs(other)} == {second}


def test_a_gang_with_an_unclaimed_member_is_restarted_whole():
    job = harness.job("a", harness.step(2, 8, gang=True))
    nodes = [harness.agent(f"n{number}") for number in range(4)]
    scheduler = harness.make_scheduler([job], nodes)
    harness.run(scheduler)
    kept, left = harness.open_runs(job)
    _claim(scheduler, kept.node, kept.index, 1)
    harness.run(scheduler, LATER_MS)
    assert [(run_.node, run_.stopping) for run_ in harness.open_runs(job)] == [(kept.node, True)]
    harness.end(scheduler, job, kept, steps.EndKind.STOPPED, now_ms=LATER_MS + 300)
    again = harness.open_runs(job)
    assert [run_.attempt for run_ in again] == [2, 2]
    assert left.node not in {run_.node for run_ in again}


def test_an_unclaimed_run_that_is_stopping_is_withdrawn_with_its_stop():
    # Otherwise the stop would stay pending until the agent's lease lapses.
    job = harness.job("a")
    scheduler, node = _with_order(job)
    scheduler.cancelled.add("a")
    harness.run(scheduler)
    changes = harness.run(scheduler, LATER_MS)
    assert not harness.open_runs(job)
    task = steps.task_name("a", 0, 0, 0)
    assert (tables.stop_key(node, task, 1), None) in changes["a"].writes


def test_the_withdrawals_of_a_wide_job_fit_into_transactions():
    job = harness.job("a", harness.step(60, 0, 100))
    scheduler = harness.make_scheduler([job], [harness.agent(f"n{number}") for number in range(4)])
    for _ in range(2):
        harness.run(scheduler)
    assert len(harness.open_runs(job)) == 60
    for run_ in harness.open_runs(job)[:30]:
        run_.stopping = True
    for now_ms in range(LATER_MS, LATER_MS + 8):
        cycle.run(scheduler, now_ms, harness.UNIX_MS)
        for batch in writes.build_batches(scheduler, 77, _encode):
            assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100
    assert not [run_ for run_ in harness.open_runs(job) if run_.attempt == 1]


def test_nothing_is_withdrawn_right_after_a_read_of_all_rows():
    # A run may have ended between the reads of two tables, and its withdrawal would conflict.
    job = harness.job("a")
    scheduler, _ = _with_order(job)
    scheduler.loaded_ms = LATER_MS
    harness.run(scheduler, LATER_MS + state.FEED_CATCH_UP_MS - 1)
    assert [run_.attempt for run_ in harness.open_runs(job)] == [1]
    harness.run(scheduler, LATER_MS + state.FEED_CATCH_UP_MS)
    assert [run_.attempt for run_ in harness.open_runs(job)] == [2]


def test_an_order_is_not_withdrawn_before_the_agents_rows_of_that_time_have_been_read():
    # The feed of a busy leader was more than a second late: claims that were in the store had not
    # been read, each withdrawal failed on its condition, and all rows were read again.
    job = harness.job("a")
    scheduler, first = _with_order(job)
    scheduler.agents_seen_ms = harness.NOW_MS + state.CLAIM_TIMEOUT_MS - 1
    harness.run(scheduler, LATER_MS + 1_000)
    assert [(run_.node, run_.attempt) for run_ in harness.open_runs(job)] == [(first, 1)]
    scheduler.agents_seen_ms = LATER_MS
    harness.run(scheduler, LATER_MS + 1_000)
    (run_,) = harness.open_runs(job)
    assert run_.attempt == 2
