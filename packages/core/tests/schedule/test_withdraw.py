import dataclasses
import json

import schedule_harness as harness

from peridothatch_core.message import rows
from peridothatch_core.model import steps, tables
from peridothatch_core.schedule import cycle, state, writes

LATER_MS = harness.NOW_MS + state.CLAIM_MS + 1


def _encode(value):
    return json.dumps(str(value)).encode()


def _ordered(item):
    """Return a scheduler that has ordered a job on one of two agents, and that agent's node."""
    own = harness.scheduler([item], [harness.agent("n1"), harness.agent("n2")])
    harness.run(own)
    return own, harness.open_runs(item)[0].node


def _claim(own, node, index, attempt):
    claimed = ((steps.task_name("a", 0, 0, index), attempt),)
    row = dataclasses.replace(own.agents[node], claimed=claimed)
    state.update_agent(own, row, own.agent_versions[node] + 1)


def test_an_order_that_nobody_claims_goes_to_another_worker():
    # An urgent job that was ordered on a dead agent waited 8.5 s for the end of its lease.
    item = harness.job("a")
    own, first = _ordered(item)
    harness.run(own, LATER_MS)
    (run_,) = harness.open_runs(item)
    assert run_.node != first
    assert run_.attempt == 2


def test_a_withdrawal_fails_when_the_order_is_claimed_or_over_meanwhile():
    # The task would run twice.
    item = harness.job("a")
    own, node = _ordered(item)
    own.agent_versions[node] = 33
    cycle.run(own, LATER_MS, harness.UNIX_MS)
    (batch,) = writes.build_batches(own, 77, _encode)
    task = steps.task_name("a", 0, 0, 0)
    assert rows.Condition(tables.agent(node), 33) in batch.transaction.conditions
    assert rows.Condition(tables.end(task, 1), 0) in batch.transaction.conditions
    assert (tables.order(node, task, 1), None) in batch.transaction.writes


def test_a_claimed_order_is_never_withdrawn():
    item = harness.job("a")
    own, node = _ordered(item)
    _claim(own, node, 0, 1)
    harness.run(own, LATER_MS + 2_000)
    (run_,) = harness.open_runs(item)
    assert (run_.node, run_.attempt) == (node, 1)


def test_a_run_whose_end_is_heard_of_after_its_agents_row_is_not_withdrawn():
    # The two come by different feeds. Each such withdrawal failed, and all rows were read again.
    item = harness.job("a")
    own, node = _ordered(item)
    _claim(own, node, 0, 1)
    ended = dataclasses.replace(own.agents[node], claimed=())
    state.update_agent(own, ended, own.agent_versions[node] + 1)
    harness.run(own, LATER_MS)
    assert [run_.attempt for run_ in harness.open_runs(item)] == [1]


def test_a_slow_store_delays_withdrawals():
    # The claim itself is late then, and each withdrawal that conflicts costs a read of all rows.
    item = harness.job("a")
    own, node = _ordered(item)
    own.write_latency_ms = 300.0
    harness.run(own, LATER_MS)
    assert harness.open_runs(item)[0].node == node


def test_an_agent_that_left_an_order_gets_no_other_until_it_has_written():
    item = harness.job("a")
    own, first = _ordered(item)
    harness.run(own, LATER_MS)
    assert own.unconfirmed == {first}
    second = harness.open_runs(item)[0].node
    _claim(own, second, 0, 2)
    other = harness.job("b", harness.step(12, 1))
    state.add_job(own, other, 9)
    harness.run(own, LATER_MS + 10)
    assert {run_.node for run_ in harness.open_runs(other)} == {second}


def test_a_gang_whose_member_is_not_claimed_starts_again_whole():
    item = harness.job("a", harness.step(2, 8, gang=True))
    nodes = [harness.agent(f"n{number}") for number in range(4)]
    own = harness.scheduler([item], nodes)
    harness.run(own)
    kept, left = harness.open_runs(item)
    _claim(own, kept.node, kept.index, 1)
    harness.run(own, LATER_MS)
    assert [(run_.node, run_.stopping) for run_ in harness.open_runs(item)] == [(kept.node, True)]
    harness.end(own, item, kept, steps.EndKind.STOPPED, now_ms=LATER_MS + 300)
    again = harness.open_runs(item)
    assert [run_.attempt for run_ in again] == [2, 2]
    assert left.node not in {run_.node for run_ in again}


def test_an_unclaimed_run_that_is_stopping_is_withdrawn_with_its_stop():
    # Nobody would carry the stop out before the lease ends.
    item = harness.job("a")
    own, node = _ordered(item)
    own.cancelled.add("a")
    harness.run(own)
    changes = harness.run(own, LATER_MS)
    assert not harness.open_runs(item)
    task = steps.task_name("a", 0, 0, 0)
    assert (tables.stop(node, task, 1), None) in changes["a"].writes


def test_the_withdrawals_of_a_wide_job_fit_into_transactions():
    item = harness.job("a", harness.step(60, 0, 100))
    own = harness.scheduler([item], [harness.agent(f"n{number}") for number in range(4)])
    for _ in range(2):
        harness.run(own)
    assert len(harness.open_runs(item)) == 60
    for run_ in harness.open_runs(item)[:30]:
        run_.stopping = True
    for now_ms in range(LATER_MS, LATER_MS + 8):
        cycle.run(own, now_ms, harness.UNIX_MS)
        for batch in writes.build_batches(own, 77, _encode):
            assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100
    assert not [run_ for run_ in harness.open_runs(item) if run_.attempt == 1]


def test_nothing_is_withdrawn_right_after_a_read_of_all_rows():
    # A run may have ended between the reads of two tables; each withdrawal of such a run failed.
    item = harness.job("a")
    own, _ = _ordered(item)
    own.loaded_ms = LATER_MS
    harness.run(own, LATER_MS + state.SETTLE_MS - 1)
    assert [run_.attempt for run_ in harness.open_runs(item)] == [1]
    harness.run(own, LATER_MS + state.SETTLE_MS)
    assert [run_.attempt for run_ in harness.open_runs(item)] == [2]
