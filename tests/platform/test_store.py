import asyncio
import time

from peridothatch_core.message import rows
from peridothatch_daemon.hosted import reception
from peridothatch_platform import settings
from peridothatch_platform import store as client_module
from peridothatch_wire import mailbox

KEY = rows.Key("work", "j/1")


async def _commit(client, transaction, timeout=1.0):
    future = asyncio.get_running_loop().create_future()
    mailbox.post(client.inbox, rows.Commit("t", transaction, timeout, future.set_result))
    return await asyncio.wait_for(future, 5)


async def _fetch(client, table, prefix=""):
    future = asyncio.get_running_loop().create_future()
    mailbox.post(client.inbox, rows.Fetch("t", table, prefix, 1.0, future.set_result))
    return await asyncio.wait_for(future, 5)


async def test_write_outcomes_are_distinguished(store):
    client = await _start(store)
    put = rows.Transaction((rows.Condition(KEY, 0),), ((KEY, b"one"),))
    done = await _commit(client, put)
    assert done.outcome is rows.Outcome.COMMITTED
    assert done.version == store.version
    assert (await _commit(client, put)).outcome is rows.Outcome.CONFLICT
    store.mode = "refuse"
    assert (await _commit(client, put)).outcome is rows.Outcome.NOT_DONE
    store.mode = "lost"
    other = rows.Transaction((), ((rows.Key("work", "j/2"), b"two"),))
    assert (await _commit(client, other)).outcome is rows.Outcome.UNKNOWN
    await _close(client)


async def test_a_transaction_that_the_store_will_never_accept_is_told_from_one_to_be_repeated(
    store,
):
    # A transaction over a limit of the store was repeated for ever.
    client = await _start(store)
    put = rows.Transaction((), ((KEY, b"one"),))
    for mode, rejected in (("refuse", False), ("reject", True)):
        store.mode = mode
        found = await _commit(client, put)
        assert (found.outcome, found.rejected) == (rows.Outcome.NOT_DONE, rejected)
    await _close(client)


async def test_a_refused_connection_is_reported_as_not_done(unused_tcp_port):
    client = await client_module.start(
        settings.Address("127.0.0.1", unused_tcp_port), time.monotonic, _fail
    )
    done = await _commit(client, rows.Transaction((), ((KEY, b"one"),)))
    assert done.outcome is rows.Outcome.NOT_DONE
    await client_module.close(client)


async def test_reads_fetch_all_pages_and_only_the_prefix(store):
    client = await _start(store)
    for number in range(8):
        key = rows.Key("work", f"j/{number}")
        await _commit(client, rows.Transaction((), ((key, b"%d" % number),)))
    await _commit(client, rows.Transaction((), ((rows.Key("work", "c/1"), b""),)))
    fetched = await _fetch(client, "work", "j/")
    assert [row.value for row in fetched.rows] == [b"%d" % number for number in range(8)]
    assert fetched.version == store.version
    await _close(client)


async def test_a_feed_delivers_a_snapshot_changes_and_a_new_snapshot_after_lost_history(store):
    client = await _start(store)
    await _commit(client, rows.Transaction((), ((KEY, b"one"),)))
    delivered = asyncio.Queue()
    lost = asyncio.Queue()
    feed = await client_module.follow(
        store.address, "work", time.monotonic, delivered.put_nowait,
        lambda _, reason: lost.put_nowait(reason), lambda table: lost.put_nowait(f"{table} back"),
        _fail,
    )  # fmt: skip
    first = await asyncio.wait_for(delivered.get(), 5)
    assert isinstance(first, rows.Snapshot)
    assert [row.value for row in first.rows] == [b"one"]
    await _commit(client, rows.Transaction((), ((KEY, None),)))
    change = await _next_change(delivered)
    assert [(row.key, row.value) for row in change.rows] == [("j/1", None)]
    store.mode = "forgotten"
    while not isinstance(await asyncio.wait_for(delivered.get(), 5), rows.Snapshot):
        pass
    assert "history" in await asyncio.wait_for(lost.get(), 5)
    store.mode = "refuse"
    assert "503" in await asyncio.wait_for(lost.get(), 5)
    store.mode = "up"
    while await asyncio.wait_for(lost.get(), 5) != "work back":
        pass
    await client_module.unfollow(feed)
    await _close(client)


async def test_a_store_that_leaves_long_polls_unanswered_delays_no_change(store):
    # After the store had dropped its history, a long poll returned a change only at its end, and
    # urgent jobs started a second late.
    delivered = asyncio.Queue()
    seen = asyncio.Queue()
    feed = await client_module.follow(
        store.address, "work", time.monotonic, delivered.put_nowait,
        lambda *_: seen.put_nowait("lost"), lambda _: seen.put_nowait("regained"), _fail,
    )  # fmt: skip
    assert isinstance(await asyncio.wait_for(delivered.get(), 5), rows.Snapshot)
    store.mode = "long_polls_lost"
    while await asyncio.wait_for(seen.get(), 5) != "regained":
        pass
    store.put("work", client_module.PARTITION, "j/1", "")
    change = await _next_change(delivered)
    assert [row.key for row in change.rows] == ["j/1"]
    assert seen.empty(), "the change came only after another call was lost"
    store.mode = "up"
    await client_module.unfollow(feed)


async def test_a_watch_delivers_the_rows_of_a_prefix_and_no_others(store):
    # A feed delivers the changes of the whole table, which on a large fleet fill the link.
    client = await _start(store)
    for name in ("agent/side-1", "leader/lease"):
        await _commit(client, rows.Transaction((), ((rows.Key("members", name), b"{}"),)))
    delivered = asyncio.Queue()
    lost = asyncio.Queue()
    watch = await client_module.watch(
        store.address, "members", "leader/", time.monotonic, delivered.put_nowait,
        lambda name, _: lost.put_nowait(name), lambda name: lost.put_nowait(f"{name} back"),
        _fail, 0.05,
    )  # fmt: skip
    found = await asyncio.wait_for(delivered.get(), 5)
    assert [row.key for row in found.rows] == ["leader/lease"]
    assert (found.table, found.prefix) == ("members", "leader/")
    assert found.now_ms
    store.mode = "refuse"
    assert await asyncio.wait_for(lost.get(), 5) == "members/leader/"
    store.mode = "up"
    while await asyncio.wait_for(lost.get(), 5) != "members/leader/ back":
        pass
    await client_module.unfollow(watch)
    await _close(client)


async def test_a_feed_can_begin_with_the_changes_after_a_version(store):
    # What a leader has read already is not read again.
    client = await _start(store)
    await _commit(client, rows.Transaction((), ((KEY, b"one"),)))
    known = store.version
    delivered = asyncio.Queue()
    feed = await client_module.follow(
        store.address, "work", time.monotonic, delivered.put_nowait, _fail, _fail, _fail,
        after=known,
    )  # fmt: skip
    await _commit(client, rows.Transaction((), ((rows.Key("work", "j/2"), b"two"),)))
    change = await _next_change(delivered)
    assert [row.key for row in change.rows] == ["j/2"]
    await client_module.unfollow(feed)
    await _close(client)


def test_two_changes_missed_by_long_polls_are_found_in_time():
    # Long polls may miss both a job and its order; urgent work must start within 1.1 s.
    poll = client_module.LONG_POLL_MS / 1000 + client_module.LONG_POLL_MARGIN_SECONDS
    assert 2 * poll <= 1.1


def _fail(table, key, reason):
    raise AssertionError(f"{table} {key} cannot be read: {reason}")


async def _next_change(delivered):
    while True:
        message = await asyncio.wait_for(delivered.get(), 5)
        if message.rows:
            return message


async def _start(standin):
    return await client_module.start(standin.address, time.monotonic, _fail)


async def _close(client):
    await client_module.close(client)


def test_an_entry_stays_ready_despite_a_lost_poll_and_a_slow_store():
    # Otherwise the balancer would stop sending connections to an entry that can serve them.
    lost = client_module.LONG_POLL_MS / 1000 + client_module.LONG_POLL_MARGIN_SECONDS
    slow_answer = 0.35
    assert (
        lost + client_module.SHORT_POLL_INTERVAL_SECONDS + slow_answer
        < reception.MAX_STORE_SILENCE_SECONDS
    )
    wait = client_module.LONG_POLL_MS / 1000
    assert reception.MAX_STORE_SILENCE_SECONDS + wait < reception.MAX_DESIRED_AGE_SECONDS
