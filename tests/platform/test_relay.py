"""Agents commit through an entry while the store turns them away."""

import asyncio

import aiohttp
import process_harness as harness
import pytest
from aiohttp import web

from peridothatch_core.message import peers, rows
from peridothatch_core.model import entries, tables
from peridothatch_daemon.hosted import clock, commit_route, entry, grouping, records
from peridothatch_platform import peer_calls, relay_calls
from peridothatch_platform import store as store_client
from peridothatch_wire import mailbox

AGENT_KEY = tables.agent_key("side-1")


@pytest.fixture
async def relaying(store, unused_tcp_port_factory):
    """Yield an entry's machine and a client that lets it commit."""
    machine = harness.machine(store, "front-1", unused_tcp_port_factory, worker=None)
    started = await entry.start(machine)
    client = await peer_calls.start(clock.now)
    yield machine, client
    await peer_calls.close(client)
    await entry.close(started)


async def _relay(client, address, transaction, seconds=1.0):
    answers = asyncio.Queue()
    commit = rows.Commit("row", transaction, seconds, answers.put_nowait)
    mailbox.post(client.inbox, peers.Relay(commit, address))
    return await asyncio.wait_for(answers.get(), 5)


def _transaction(key=AGENT_KEY, version=0, value=b"{}"):
    return rows.Transaction((rows.Condition(key, version),), ((key, value),))


async def test_an_entry_commits_for_an_agent(relaying, store):
    machine, client = relaying
    done = await _relay(client, machine.metrics.text, _transaction())
    assert done.outcome is rows.Outcome.COMMITTED
    assert done.version == store.rows[AGENT_KEY.table, store_client.PARTITION, AGENT_KEY.key][1]
    assert done.now_ms
    again = await _relay(client, machine.metrics.text, _transaction())
    assert again.outcome is rows.Outcome.CONFLICT


async def test_transactions_of_several_agents_take_one_of_the_store():
    taken = mailbox.create("store")
    running = grouping.start(taken)
    for number in range(8):
        transaction = _transaction(tables.agent_key(f"side-{number}"))
        mailbox.post(running.inbox, rows.Commit(number, transaction, 1.0, print))
    sent = await asyncio.wait_for(mailbox.take(taken), 5)
    assert len(sent.transaction.conditions) == len(sent.transaction.writes) == 8
    assert taken.depth == 0
    await grouping.close(running)


async def test_a_conflict_of_one_agent_does_not_fail_the_others(relaying):
    machine, client = relaying
    stale = _transaction(tables.agent_key("side-2"), version=77)
    done = await asyncio.gather(
        _relay(client, machine.metrics.text, _transaction()),
        _relay(client, machine.metrics.text, stale),
    )
    assert [item.outcome for item in done] == [rows.Outcome.COMMITTED, rows.Outcome.CONFLICT]


async def test_an_unknown_outcome_is_passed_on_as_unknown(relaying, store):
    # Otherwise a renewal or an end that was written would be taken for not written.
    machine, client = relaying
    store.mode = "lost"
    done = await _relay(client, machine.metrics.text, _transaction())
    assert done.outcome is rows.Outcome.UNKNOWN


async def test_an_entry_names_the_leader_and_how_long_the_store_took(relaying):
    # Without the name, agents stay with the first entry beside the leader that also writes.
    machine, client = relaying

    async def is_named():
        done = await _relay(client, machine.metrics.text, _transaction(version=77))
        return done.relayed is not None and done.relayed.leader == "front-1"

    assert await harness.until(is_named)
    done = await _relay(client, machine.metrics.text, _transaction(version=77))
    assert done.relayed.store_seconds > 0.0


async def test_an_agent_learns_that_the_partition_is_full(relaying, store):
    # It took the refusal for a fault of the entry and went on to the next one.
    machine, client = relaying
    store.mode = "full"
    done = await _relay(client, machine.metrics.text, _transaction())
    assert (done.outcome, done.busy) == (rows.Outcome.NOT_DONE, True)


async def test_an_entry_that_is_not_there_has_done_nothing(unused_tcp_port):
    client = await peer_calls.start(clock.now)
    done = await _relay(client, f"127.0.0.1:{unused_tcp_port}", _transaction())
    assert done.outcome is rows.Outcome.NOT_DONE
    await peer_calls.close(client)


async def test_an_entry_that_fails_while_it_commits_leaves_the_outcome_unknown():
    # An entry that is stopped answers 500 to a call that it has passed to the store. The agent
    # took this for not done, so that it did not read its row back.
    async def fail(_):
        return web.Response(status=500)

    application = web.Application()
    application.router.add_post(relay_calls.PATH, fail)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = await peer_calls.start(clock.now)
    done = await _relay(client, f"127.0.0.1:{runner.addresses[0][1]}", _transaction())
    assert done.outcome is rows.Outcome.UNKNOWN
    await peer_calls.close(client)
    await runner.cleanup()


@pytest.mark.parametrize("key", [tables.LEASE_KEY, tables.job_key("a"), rows.Key("op", "config")])
async def test_rows_that_no_agent_writes_are_refused(relaying, key):
    machine, client = relaying
    done = await _relay(client, machine.metrics.text, _transaction(key, value=b"x"))
    assert done.outcome is rows.Outcome.NOT_DONE
    assert "400" in done.reason


async def test_an_agent_that_the_store_turns_away_commits_through_an_entry():
    # Its lease lapsed after 5.5 s, and all its runs were lost, while other machines were served.
    direct, relayed = mailbox.create("store"), mailbox.create("peers")
    running = commit_route.start("side-1", "accra-a", direct, relayed)
    row = entries.Entry("front-1", "10.0.0.1:80", "10.0.0.1:7000")
    key = tables.entry_key("front-1")
    known = rows.Row(key.table, key.key, records.encode(row), 1)
    mailbox.post(running.inbox, rows.Fetched("entries", (known,)))
    answers = asyncio.Queue()
    commit = rows.Commit("row", _transaction(), 1.0, answers.put_nowait)
    mailbox.post(running.inbox, commit)
    first = await asyncio.wait_for(mailbox.take(direct), 5)
    first.answer(rows.Committed("row", rows.Outcome.NOT_DONE))
    assert (await asyncio.wait_for(answers.get(), 5)).outcome is rows.Outcome.NOT_DONE
    mailbox.post(running.inbox, commit)
    second = await asyncio.wait_for(mailbox.take(relayed), 5)
    assert second.address == "10.0.0.1:7000"
    await commit_route.close(running)


async def test_a_group_that_the_store_refuses_is_refused_for_all():
    taken = mailbox.create("store")
    running = grouping.start(taken)
    answers = asyncio.Queue()
    for node in ("side-1", "side-2"):
        transaction = _transaction(tables.agent_key(node))
        mailbox.post(running.inbox, rows.Commit(node, transaction, 1.0, answers.put_nowait))
    sent = await asyncio.wait_for(mailbox.take(taken), 5)
    sent.answer(rows.Committed(sent.token, rows.Outcome.NOT_DONE))
    found = [await asyncio.wait_for(answers.get(), 5) for _ in range(2)]
    assert [(item.token, item.outcome) for item in found] == [
        ("side-1", rows.Outcome.NOT_DONE), ("side-2", rows.Outcome.NOT_DONE)
    ]  # fmt: skip
    await grouping.close(running)


async def test_a_body_that_is_no_transaction_is_refused_with_its_field(relaying):
    machine, _ = relaying
    async with aiohttp.ClientSession(f"http://{machine.metrics.text}") as session:
        async with session.post("/v1/transactions", data=b'{"seconds": 1}') as response:
            assert response.status == 400
            assert "conditions" in await response.text()


async def test_a_group_that_the_store_rejects_is_committed_one_by_one():
    # One transaction that the store never accepts must not keep out those of other agents.
    taken = mailbox.create("store")
    running = grouping.start(taken)
    for node in ("side-1", "side-2"):
        transaction = _transaction(tables.agent_key(node))
        mailbox.post(running.inbox, rows.Commit(node, transaction, 1.0, print))
    sent = await asyncio.wait_for(mailbox.take(taken), 5)
    sent.answer(rows.Committed(sent.token, rows.Outcome.NOT_DONE, rejected=True))
    alone = [await asyncio.wait_for(mailbox.take(taken), 5) for _ in range(2)]
    assert [[commit.token for commit in one.token] for one in alone] == [["side-1"], ["side-2"]]
    await grouping.close(running)
