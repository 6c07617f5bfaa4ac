"""Learned rows of the scheduler task: hand-over between leaders, lost and odd rows."""

import asyncio
import dataclasses

import pytest
import row_store

from peridothatch_core.message import rows
from peridothatch_core.model import learned, steps, tables
from peridothatch_core.schedule import learned_rows
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.hosted import clock, records
from peridothatch_wire import mailbox

RUN_TIMES = tables.run_times_key("", "q")
SPEED = tables.speed_key(row_store.NODE)
KNOWN = learned.RunTimes("", "q", ((140, 4.0),))


@pytest.fixture(autouse=True)
def _short_interval(monkeypatch):
    monkeypatch.setattr(learned_rows, "WRITE_INTERVAL_MS", 100)
    monkeypatch.setattr(learned_rows, "MIN_WRITE_INTERVAL_MS", 100)


def _store(intercept=lambda _: False):
    store = row_store.Store(intercept)
    agent_key = tables.agent_key(row_store.NODE)
    store.rows[tables.job_key(row_store.JOB)] = (records.encode(row_store.job()), 5)
    store.rows[agent_key] = (records.encode(row_store.agent()), 6)
    return store


RUN_SECONDS = 0.05
"""Duration of the run. Run times below `survival.MIN_SECONDS` are dropped as implausible."""


async def _finish_job(store):
    """Let the only run end as done, after a time that is long enough for a sample."""
    await row_store.until(lambda: store.exists(row_store.ORDER))
    await asyncio.sleep(RUN_SECONDS)
    claimed = dataclasses.replace(row_store.agent(), claimed=((row_store.TASK, 1),))
    end = steps.End(row_store.TASK, 1, row_store.NODE, steps.EndKind.DONE)
    store.put(
        (tables.agent_key(row_store.NODE), records.encode(claimed)),
        (row_store.ORDER, None),
        (tables.end_key(row_store.TASK, 1), records.encode(end)),
    )


async def _dump(running):
    reply = mailbox.Reply()
    mailbox.post(running.inbox, daemon_messages.DumpState(reply))
    return await mailbox.wait(reply, 5.0)


async def _samples(running):
    found = (await _dump(running))["run_times"].get("q", {})
    return found.get("samples", 0)


def _deliver_members(store):
    """Deliver the rows of the leadership, as the feed of a new process does."""
    now = clock.now()
    found = store.table(tables.MEMBERS_TABLE)
    store.deliver(rows.Snapshot(tables.MEMBERS_TABLE, found, int(1000 * now), now - 0.01, now))


def _run_times(store):
    return records.RUN_TIMES.decode(store.rows[RUN_TIMES][0])


async def _until_read(running):
    async with asyncio.timeout(5):
        while not (await _dump(running))["learned_read"]:  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_the_next_leader_continues_with_the_rows_of_the_previous_one():
    # Each takeover lost all that had been learned.
    store = _store()
    errors = []
    async with row_store.leader(store, lambda queue, _: errors.append(queue)) as running:
        await _finish_job(store)
        await row_store.until(lambda: store.exists(RUN_TIMES))
        dump = await _dump(running)
        assert dump["run_time_errors"]["q"]["runs"] == 1
        assert errors == ["q"]
    assert sum(weight for _, weight in _run_times(store).bins) == 1.0
    store.rows[RUN_TIMES] = (records.encode(KNOWN), 7)
    store.rows[SPEED] = (records.encode(learned.LastingSpeed(row_store.NODE, 1, 0.5, 6.0)), 7)
    async with row_store.leader(store) as running:
        _deliver_members(store)
        await _until_read(running)
        assert await _samples(running) == 4.0
        assert (await _dump(running))["worker_speeds"] == 1


async def test_a_leader_learns_anew_when_the_rows_are_lost():
    # A store that was emptied must not stop the scheduler.
    store = _store()
    async with row_store.leader(store) as running:
        await _until_read(running)
        assert await _samples(running) == 0
        await _finish_job(store)
        await row_store.until(lambda: store.exists(RUN_TIMES))


ODD = [
    b"", b"{", b"[]", b"null", b'{"customer": "", "queue": "q", "bins": [[-1, 1.0]]}',
    b'{"customer": "", "queue": "q", "bins": [[100000, 1.0]]}',
    b'{"customer": "", "queue": "q", "bins": [[1, -1.0]]}',
    b'{"customer": "", "queue": "q", "bins": [[1, 1e300]]}',
    b'{"customer": "", "queue": "q", "bins": [[1, NaN]]}',
    b'{"customer": "", "queue": "q", "bins": [' + b"[1, 1.0]," * 5000 + b"[1, 1.0]]}",
    records.encode(learned.RunTimes("another", "q", ((1, 1.0),))),
]  # fmt: skip


@pytest.mark.parametrize("value", ODD, ids=range(len(ODD)))
async def test_an_odd_row_is_skipped_and_learned_anew(value):
    # An exception would end the scheduler task of every new leader.
    store = _store()
    good = tables.run_times_key("b", "q2")
    store.rows[RUN_TIMES] = (value, 7)
    store.rows[rows.Key(tables.LEARNED_TABLE, "other/x")] = (b"{}", 7)
    store.rows[good] = (records.encode(learned.RunTimes("b", "q2", ((1, 4.0),))), 7)
    async with row_store.leader(store) as running:
        await _until_read(running)
        assert (await _dump(running))["run_times"].keys() == {"q2"}
        await row_store.until(lambda: not store.exists(RUN_TIMES))
        await _finish_job(store)
        await row_store.until(lambda: store.exists(RUN_TIMES))
    assert _run_times(store).customer == ""
    assert store.exists(rows.Key(tables.LEARNED_TABLE, "other/x"))


@pytest.mark.parametrize(
    "value", [b"{}", records.encode(learned.LastingSpeed(row_store.NODE, 1, 99.0, 1.0)),
              records.encode(learned.LastingSpeed("another", 1, 0.0, 1.0))]
)  # fmt: skip
async def test_an_odd_speed_is_skipped_and_deleted(value):
    # A speed of e^99 would make every run time zero.
    store = _store()
    store.rows[SPEED] = (value, 7)
    async with row_store.leader(store) as running:
        await _until_read(running)
        assert (await _dump(running))["worker_speeds"] == 0
        await row_store.until(lambda: not store.exists(SPEED))


async def test_a_failed_write_is_repeated_and_no_other_write_waits_for_it():
    # A write that is refused or has no answer must neither stop decisions nor lose the rows.
    held = []

    def hold(commit):
        if any(key.table == tables.LEARNED_TABLE for key, _ in commit.transaction.writes):
            held.append(commit)
            return True
        return False

    store = _store(hold)
    async with row_store.leader(store) as running:
        await _finish_job(store)
        await row_store.until(lambda: held)
        other = row_store.job("00000000000000bb")
        store.put((tables.job_key(other.id), records.encode(other)))
        order = tables.order_key(row_store.NODE, f"{other.id}.0.0.0", 1)
        await row_store.until(lambda: store.exists(order))
        assert len(held) == 1
        store.answer(held[0], rows.Outcome.NOT_DONE)
        await row_store.until(lambda: len(held) == 2)
        assert held[1].transaction == held[0].transaction
        assert (await _dump(running))["counters"]["learned_not_written"] == 1


async def test_learned_rows_wait_until_the_decisions_are_written():
    # In the queue of the partition they would go before orders and stops.
    learned_while_busy = []
    busy = []

    def hold(commit):
        keys = {key for key, _ in commit.transaction.writes}
        if any(key.table == tables.LEARNED_TABLE for key in keys):
            learned_while_busy.append(bool(busy))
        if tables.end_key(row_store.TASK, 1) in keys and not busy:
            busy.append(commit)
            return True
        return False

    store = _store(hold)
    async with row_store.leader(store) as running:
        await _finish_job(store)
        await row_store.until(lambda: busy)
        for _ in range(20):
            await _dump(running)
        assert not learned_while_busy
        commit = busy.pop()
        store.answer(commit, store.apply(commit.transaction))
        busy.clear()
        await row_store.until(lambda: store.exists(RUN_TIMES))
    assert not any(learned_while_busy)
