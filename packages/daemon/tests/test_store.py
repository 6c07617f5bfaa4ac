"""Guards against false store outcomes while the stand-in is down, slow or loses answers.

The stand-in runs in this process; the daemon package itself does not import it.
"""

import asyncio
import itertools

import aiohttp
import pytest

from peridothatch_core.message import store as model
from peridothatch_daemon import messages
from peridothatch_daemon.outlet import store, store_queue
from peridothatch_standins import server, table_service
from peridothatch_wire import mailbox

APPLIED, CONFLICT = model.Outcome.APPLIED, model.Outcome.CONFLICT
NOT_SENT, UNKNOWN = model.Outcome.NOT_SENT, model.Outcome.UNKNOWN
# Makes a test fail instead of hanging if an outcome never arrives.
HANG_SECONDS = 60


@pytest.fixture
async def table():
    running = await table_service.start()
    yield running
    await server.close(running)


@pytest.fixture
async def handle(table):
    started = store.start(table.url, jitter=lambda: 0.5)
    yield started
    await store.close(started)


async def set_mode(table, **fields):
    async with aiohttp.ClientSession() as session:
        async with session.post(f"{table.url}/switches", json=fields) as response:
            return await response.json()


def transaction(key, name, version=0):
    write = model.Write(key, {"by": name})
    return model.Transaction(name, (model.VersionIs(key, version),), (write,))


async def commit(handle, wanted, timeout_seconds=20.0):
    inbox = mailbox.create("test")
    mailbox.post(handle.inbox, messages.Commit(wanted, inbox, timeout_seconds))
    return await asyncio.wait_for(mailbox.take(inbox), HANG_SECONDS)


async def read(handle, *keys, timeout_seconds=20.0):
    inbox = mailbox.create("test")
    mailbox.post(handle.inbox, messages.Read("t", keys, (), inbox, timeout_seconds))
    return await asyncio.wait_for(mailbox.take(inbox), HANG_SECONDS)


async def test_outcomes_of_a_store_that_is_up(handle):
    """Guards against a conflict reported without the row that caused it."""
    applied = await commit(handle, transaction("k", "a"))
    assert (applied.outcome, applied.versions) == (APPLIED, {"k": 1})
    conflict = await commit(handle, transaction("k", "b"))
    assert conflict.outcome is CONFLICT
    assert conflict.failed == {"k": model.Row({"by": "a"}, 1, "a")}
    rows = await read(handle, "k", "absent")
    assert rows.ok
    assert rows.rows == {"k": model.Row({"by": "a"}, 1, "a")}


async def test_a_value_that_cannot_be_encoded_blocks_no_other_message(handle):
    """Guards against an attempt that never ends and counts as in flight forever."""
    bad = model.Transaction("bad", (), (model.Write("k", {"by": object()}),))
    assert (await commit(handle, bad, timeout_seconds=0.2)).outcome is UNKNOWN
    assert (await commit(handle, transaction("k", "a"))).outcome is APPLIED


async def test_a_transaction_is_resent_when_its_answer_is_lost(handle, table):
    """Guards against a conflict with an earlier attempt of the transaction, and double writes."""
    await set_mode(table, mode="lose_answers", probability=0.5, seed=3)
    for number in range(12):
        committed = await commit(handle, transaction(f"k{number}", f"t{number}"))
        assert (committed.outcome, committed.versions) == (APPLIED, {f"k{number}": 1})


async def test_a_write_without_any_answer_is_unknown(handle, table):
    """Guards against the outcome "not sent" for a write that took effect."""
    await set_mode(table, mode="lose_answers", probability=1.0)
    committed = await commit(handle, transaction("k", "a"), timeout_seconds=0.5)
    assert committed.outcome is UNKNOWN
    await set_mode(table, mode="up")
    assert (await read(handle, "k")).rows["k"].transaction == "a"


async def test_a_slow_store_gives_unknown_or_applied_but_never_not_sent(handle, table):
    """Guards against the outcome "not sent" for an attempt that timed out."""
    await set_mode(table, mode="slow", delay_ms=30_000)
    committed = await commit(handle, transaction("k", "a"), timeout_seconds=0.3)
    assert committed.outcome is UNKNOWN
    assert not (await read(handle, "k", timeout_seconds=0.3)).ok


async def test_a_store_that_refuses_connections_gives_not_sent(handle, table):
    """Guards against "may have run" for calls that were never sent."""
    await server.close(table)
    committed = await commit(handle, transaction("k", "a"), timeout_seconds=0.5)
    assert committed.outcome is NOT_SENT


async def test_writes_wait_unsent_through_an_outage_and_then_apply(handle, table):
    """Guards against writes that are lost, or sent as probes so that their outcome is unknown."""
    await set_mode(table, mode="down")
    while (await dump_state(handle))["state"] != "outage":
        await read(handle, "k", timeout_seconds=0.3)
    assert (await commit(handle, transaction("k", "a"), 0.2)).outcome is NOT_SENT
    waiting = [
        asyncio.create_task(commit(handle, transaction(f"w{n}", f"w{n}"))) for n in range(9)
    ]
    await set_mode(table, mode="up")
    outcomes = [(await item).outcome for item in waiting]
    assert outcomes == [APPLIED] * 9
    assert (await dump_state(handle))["unresolved"] == 0


async def dump_state(handle):
    reply = mailbox.Reply()
    mailbox.post(handle.inbox, messages.DumpState(reply))
    return await mailbox.wait(reply, 20)


async def test_closing_answers_every_sender(table):
    """Guards against a sender that waits forever, or gets "not sent" for a sent write."""
    await set_mode(table, mode="slow", delay_ms=30_000)
    handle, inbox = store.start(table.url), mailbox.create("test")
    mailbox.post(handle.inbox, messages.Commit(transaction("k", "a"), inbox, 60))
    while not (await dump_state(handle))["writes_in_flight"]:
        pass
    mailbox.post(handle.inbox, messages.Commit(transaction("k", "b"), inbox, 60))
    await store.close(handle)
    outcomes = {item.transaction.id: item.outcome for item in mailbox.take_available(inbox, 9)}
    assert outcomes == {"a": UNKNOWN, "b": NOT_SENT}


def commits(count, urgent=False, start=0):
    inbox = None
    for number in range(start, start + count):
        name = f"t{number}"
        yield messages.Commit(model.Transaction(name, (), (), urgent), inbox, 60)


def attempts_in(effects):
    return [item for item in effects if isinstance(item, store_queue.Attempt)]


def test_urgent_writes_go_first_and_the_rate_is_bounded():
    """Guards against urgent writes queued behind a backlog, and against bursts of requests."""
    state = store_queue.State(lambda: 0.5)
    attempts = []
    for message in itertools.chain(commits(500), commits(5, urgent=True, start=500)):
        attempts += attempts_in(store_queue.accept(state, message, 1.0))
    burst = len(attempts)
    assert burst <= store_queue.WRITES_PER_SECOND * store_queue.BURST_SECONDS
    assert state.writes.in_flight == burst
    later = attempts_in(store_queue.advance(state, 1.02))
    assert [item.message.transaction.urgent for item in later[:5]] == [True] * 5


def test_after_an_outage_the_rate_rises_slowly():
    """Guards against a backlog that overloads a store that has just recovered."""
    state = store_queue.State(lambda: 0.5)
    failed = store_queue.Failed(True, "cut")
    (first,) = attempts_in(store_queue.accept(state, next(commits(1)), 1.0))
    store_queue.record_result(state, first.number, failed, 0.1, 1.0)
    state.consecutive_failures = store_queue.FAILURES_BEFORE_OUTAGE - 1
    (again,) = attempts_in(store_queue.advance(state, 2.0))
    store_queue.record_result(state, again.number, failed, 0.1, 2.0)
    for message in commits(2000, start=1):
        assert attempts_in(store_queue.accept(state, message, 2.0)) == []
    (probe,) = store_queue.advance(state, 3.0)
    assert probe.number == store_queue.PROBE_NUMBER
    started, now = 0, 3.0
    effects = store_queue.record_result(state, probe.number, store_queue.Answered(), 0.1, now)
    in_flight = attempts_in(effects)
    while now < 4.0:
        now += 0.01
        answered = in_flight
        in_flight = []
        for attempt in answered:
            started += 1
            done = model.Committed(attempt.message.transaction, APPLIED)
            result = store_queue.Answered(done)
            in_flight += attempts_in(
                store_queue.record_result(state, attempt.number, result, 0.01, now)
            )
        in_flight += attempts_in(store_queue.advance(state, now))
    share = store_queue.RAMP_UP_START_SHARE + 1.0 / store_queue.RAMP_UP_SECONDS
    assert 10 < started <= store_queue.WRITES_PER_SECOND * share * 1.1 + 1
