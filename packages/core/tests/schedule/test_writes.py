import base64
import json

import schedule_harness as harness

from peridothatch_core.message import rows
from peridothatch_core.model import steps, tables
from peridothatch_core.schedule import cycle, state, writes


def _encode(value):
    return json.dumps(str(value)).encode()


def _batches(scheduler):
    cycle.run(scheduler, harness.NOW_MS, harness.UNIX_MS)
    return writes.build_batches(scheduler, 77, _encode)


def test_a_jobs_row_and_its_orders_share_a_transaction_that_the_epoch_fences():
    # The next leader must never see a run whose order was not written.
    jobs = [harness.job(f"j{number}", harness.step(30, 0, 1)) for number in range(5)]
    scheduler = harness.make_scheduler(jobs, [harness.agent(f"n{number}") for number in range(5)])
    batches = _batches(scheduler)
    assert len(batches) > 1
    for batch in batches:
        assert rows.Condition(tables.EPOCH_KEY, 77) in batch.transaction.conditions
        written = {key for key, _ in batch.transaction.writes}
        for job_id in batch.saved_jobs:
            version = scheduler.job_versions[job_id]
            assert rows.Condition(tables.job_key(job_id), version) in batch.transaction.conditions
            for run in harness.open_runs(scheduler.jobs[job_id]):
                task = steps.task_name(job_id, 0, 0, run.index)
                assert tables.order_key(run.node, task, run.attempt) in written


def test_every_transaction_of_a_leader_fails_once_another_entry_leads():
    # A leader that was paused between any two of its steps must write nothing afterwards: no
    # order, stop, lapse, withdrawal, cancellation, deletion or request to renew.
    jobs = [harness.job(f"j{number}", harness.step(3, 1)) for number in range(6)]
    scheduler = harness.make_scheduler(jobs, [harness.agent(f"n{n}") for n in range(3)])
    batches = _batches(scheduler)
    harness.renew(scheduler, harness.NOW_MS)
    state.add_job(scheduler, harness.job("unclaimed", harness.step(1, 1)), 9)
    scheduler.cancelled.add("j0")
    run_ = harness.open_runs(jobs[1])[0]
    end = steps.End(
        steps.task_name("j1", 0, 0, run_.index), run_.attempt, run_.node, steps.EndKind.DONE
    )
    scheduler.ends[tables.end_key(end.task, end.attempt).key] = end
    scheduler.renewal_requests = ["n1"]
    for later_ms in (10, state.CLAIM_TIMEOUT_MS + 10, 30_000, 500_000):
        cycle.run(scheduler, harness.NOW_MS + later_ms, harness.UNIX_MS)
        batches += writes.build_batches(scheduler, 77, _encode)
    kinds = {key.key.split("/")[0] + ("" if value else " deleted")
             for batch in batches for key, value in batch.transaction.writes}  # fmt: skip
    assert {"j", "agent", "n1"} <= kinds
    assert {"n0 deleted", "n1 deleted", "n2 deleted"} & kinds
    for batch in batches:
        assert rows.Condition(tables.EPOCH_KEY, 77) in batch.transaction.conditions


def test_transactions_respect_the_limit_of_the_store():
    jobs = [harness.job(f"j{number}", harness.step(40, 0, 1)) for number in range(8)]
    scheduler = harness.make_scheduler(jobs, [harness.agent("n1"), harness.agent("n2")])
    for number in range(300):
        scheduler.ends[f"e/x{number}.0.0.0/1"] = steps.End(
            f"x{number}.0.0.0", 1, "n1", steps.EndKind.DONE
        )
    for batch in _batches(scheduler):
        assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100


def test_transactions_respect_the_byte_limit_of_the_store():
    # After a takeover the ends of many jobs with large rows were written in one call of more than
    # 1 MB. The store refused it each time, and nothing was scheduled any more.
    jobs = [harness.job(f"j{number}", harness.step(1, 0, 1)) for number in range(40)]
    scheduler = harness.make_scheduler(jobs, [harness.agent("n1")])
    cycle.run(scheduler, harness.NOW_MS, harness.UNIX_MS)
    batches = writes.build_batches(scheduler, 77, lambda _: b"x" * 40_000)
    assert sorted(job for batch in batches for job in batch.saved_jobs) == sorted(scheduler.jobs)
    for batch in batches:
        values = [value or b"" for _, value in batch.transaction.writes]
        assert sum(len(base64.b64encode(value)) for value in values) < 950_000


def test_a_lapse_is_conditional_on_the_row_that_was_seen():
    # If the agent renews first, the lapse must fail.
    job = harness.job("a")
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    scheduler.agent_versions["n1"] = 33
    cycle.run(scheduler, harness.NOW_MS + 30_000, harness.UNIX_MS)
    (batch,) = writes.build_batches(scheduler, 77, _encode)
    assert rows.Condition(tables.agent_key("n1"), 33) in batch.transaction.conditions
    assert batch.lapsed_nodes == ["n1"]


def test_agents_that_a_new_leader_has_not_heard_from_are_asked_and_get_no_orders():
    # Rows from before a power loss look recent to the next leader.
    job = harness.job("a")
    renewed_ms = harness.NOW_MS - state.TRUSTED_RENEWAL_AGE_MS - 1
    old = harness.agent("n1", hold_until_ms=renewed_ms + harness.HOLD_MS)
    scheduler = harness.make_scheduler([job], [old])
    state.request_confirmations(scheduler, harness.NOW_MS)
    (batch,) = _batches(scheduler)
    assert tables.renewal_key("n1") in {key for key, _ in batch.transaction.writes}
    assert not harness.open_runs(job)
    scheduler.unconfirmed.discard("n1")
    assert _batches(scheduler)
    assert harness.open_runs(job)


def test_agents_that_have_just_renewed_are_not_asked_to():
    # Each renewal occupies the store's partition for 5 ms; renewing all agents at once delays
    # urgent jobs.
    job = harness.job("a")
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    state.request_confirmations(scheduler, harness.NOW_MS + state.TRUSTED_RENEWAL_AGE_MS)
    assert not scheduler.renewal_requests
    assert _batches(scheduler)
    assert harness.open_runs(job)


def _batches_of_changes(*changes):
    """Return the batches of changed jobs, given as job and number of other rows to write."""
    scheduler = harness.make_scheduler([job for job, _ in changes])
    for job, keys in changes:
        pending = state.pending_change(scheduler, job.id)
        pending.save_job = True
        pending.writes = [(key, "row") for key in keys]
    return writes.build_batches(scheduler, 77, _encode)


def _orders(job_id, count=40):
    return [tables.order_key("n1", f"{job_id}.0.0.{index}", 1) for index in range(count)]


def _wide_jobs():
    return [
        (harness.job(f"wide{number}", priority=2), _orders(f"wide{number}")) for number in range(6)
    ]


def test_the_orders_of_an_urgent_job_do_not_wait_for_the_transactions_of_others():
    # Guards against urgent jobs that begin late because the leader is far from the store: their
    # orders came after those of all jobs that had changed before, one transaction after another.
    urgent = (harness.job("urgent", priority=0), _orders("urgent", 2))
    batches = _batches_of_changes(*_wide_jobs(), urgent)
    assert len(batches) > 2
    assert batches[0].saved_jobs[0] == "urgent"


def test_stops_do_not_wait_for_the_transactions_of_others():
    stopped = (harness.job("stopped", priority=2), [tables.stop_key("n1", "stopped.0.0.0", 1)])
    batches = _batches_of_changes(*_wide_jobs(), stopped)
    assert batches[0].saved_jobs[0] == "stopped"


def test_withdrawals_are_written_before_the_orders_of_urgent_jobs():
    # If the agent has claimed the order meanwhile, the withdrawal fails, and nothing may have been
    # ordered in its place.
    lost = harness.job("lost", harness.step(1, 8), priority=2)
    scheduler = harness.make_scheduler([lost], [harness.agent("n1")], {"ministry": 8})
    _batches(scheduler)
    later_ms = harness.NOW_MS + state.CLAIM_TIMEOUT_MS + 10
    for number in range(60):
        state.add_job(scheduler, harness.job(f"u{number}", harness.step(2, 0, 1), priority=0), 9)
    cycle.run(scheduler, later_ms, harness.UNIX_MS)
    batches = writes.build_batches(scheduler, 77, _encode)
    assert len(batches) > 1
    assert batches[0].saved_jobs[0] == "lost"


def test_an_unchanged_state_writes_nothing():
    scheduler = harness.make_scheduler([harness.job("a")], [harness.agent("n1")])
    assert _batches(scheduler)
    assert not _batches(scheduler)


def test_the_cancellation_of_a_wide_job_respects_the_transaction_limit():
    # The stops of more than 95 runs exceed one transaction, and the store rejects it each time.
    job = harness.job("a", harness.step(250, 0, 1))
    scheduler = harness.make_scheduler(
        [job], [harness.agent(f"n{number}") for number in range(10)]
    )
    for _ in range(8):
        harness.run(scheduler)
    assert len(harness.open_runs(job)) == 250
    scheduler.cancelled.add("a")
    batches = _batches(scheduler)
    written = [key for batch in batches for key, _ in batch.transaction.writes]
    assert sum(key.key.endswith(tables.STOP_SUFFIX) for key in written) == 250
    assert [batch.saved_jobs for batch in batches if batch.saved_jobs] == [["a"]]
    assert batches[-1].saved_jobs == ["a"]
    for batch in batches:
        assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100


def test_gangs_that_start_at_the_same_time_respect_the_transaction_limit():
    # Two gangs of one job that started in the same cycle took more than 100 entries. The store
    # refused the transaction each time, and nothing was scheduled any more.
    job = harness.job("a", harness.step(60, 0, 1, gang=True), harness.step(60, 0, 1, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent(f"n{number}") for number in range(4)])
    for _ in range(2):
        for batch in _batches(scheduler):
            assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100
    assert len(harness.open_runs(job)) == 120


def test_a_gang_that_replaces_withdrawn_members_respects_the_transaction_limit():
    # The withdrawals and the new orders of a wide gang share the transaction of the job's row.
    job = harness.job("a", harness.step(80, 0, 1, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent(f"n{number}") for number in range(4)])
    now_ms = harness.NOW_MS
    assert _batches(scheduler)
    for _ in range(20):
        now_ms += state.CLAIM_TIMEOUT_MS + 10
        harness.renew_unclaimed(scheduler, now_ms)
        cycle.run(scheduler, now_ms, harness.UNIX_MS)
        for batch in writes.build_batches(scheduler, 77, _encode):
            assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100
    assert min(run.attempt for run in harness.open_runs(job)) > 1
