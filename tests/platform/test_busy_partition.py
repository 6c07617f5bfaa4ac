"""Load: a slow partition; entries and the routes of agents as real tasks on the store stand-in."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import process_harness as harness

from peridothatch_core.message import rows
from peridothatch_core.model import entries, tables
from peridothatch_daemon.hosted import clock, commit_route, entry, log, records
from peridothatch_platform import peer_calls
from peridothatch_platform import store as store_client
from peridothatch_wire import mailbox

AGENTS = 12
ENTRIES = ("front-1", "front-2")
TXN_SECONDS = 0.15
LONGEST_WAIT_SECONDS = 0.5
RETRY_SECONDS = 0.25
TIMEOUT_SECONDS = 1.5


@dataclasses.dataclass
class _Agent:
    """Renews its row again and again; ``renewals`` are the outcomes COMMITTED."""

    node: str
    route: commit_route.CommitRoute
    version: int = 0
    renewals: int = 0


@contextlib.asynccontextmanager
async def _running_agent(store, machines, node):
    client = await store_client.start(store.address, clock.now, log.unreadable)
    peer_client = await peer_calls.start(clock.now)
    route = commit_route.start(node, "accra-a", client.inbox, peer_client.inbox)
    known = [
        entries.Entry(machine.node, machine.callers.text, machine.metrics.text)
        for machine in machines
    ]
    found = [
        rows.Row(tables.MEMBERS_TABLE, tables.entry_key(item.node).key, records.encode(item), 1)
        for item in known
    ]
    mailbox.post(route.inbox, rows.Fetched("entries", tuple(found)))
    try:
        yield _Agent(node, route)
    finally:
        await commit_route.close(route)
        await peer_calls.close(peer_client)
        await store_client.close(client)


async def _renew_forever(agent, store):
    key = tables.agent_key(agent.node)
    while True:
        answers = asyncio.Queue()
        transaction = rows.Transaction((rows.Condition(key, agent.version),), ((key, b"{}"),))
        due_at = clock.now() + 5.0
        commit = rows.Commit("row", transaction, TIMEOUT_SECONDS, answers.put_nowait, due_at)
        mailbox.post(agent.route.inbox, commit)
        done = await answers.get()
        if done.outcome is rows.Outcome.COMMITTED:
            agent.version = done.version
            agent.renewals += 1
        elif done.outcome is not rows.Outcome.NOT_DONE:
            name = (key.table, store_client.PARTITION, key.key)
            agent.version = store.rows.get(name, ("", 0))[1]
        await asyncio.sleep(RETRY_SECONDS)


async def _state(machine):
    async with aiohttp.ClientSession(f"http://{machine.metrics.text}") as session:
        async with session.get("/debug/state") as response:
            return (await response.json())["tasks"]


async def test_all_agents_renew_their_rows_and_one_entry_leads_while_the_partition_is_slow(
    store, unused_tcp_port_factory
):
    # Agents that renewed directly were refused until their leases lapsed, and so was the leader.
    machines = [
        harness.machine(store, node, unused_tcp_port_factory, worker=None) for node in ENTRIES
    ]
    async with contextlib.AsyncExitStack() as stack:
        for machine in machines:
            started = await entry.start(machine)
            stack.push_async_callback(entry.close, started)
        agents = [
            await stack.enter_async_context(_running_agent(store, machines, f"side-{number}"))
            for number in range(AGENTS)
        ]
        renewing = [asyncio.create_task(_renew_forever(agent, store)) for agent in agents]
        stack.callback(lambda: [item.cancel() for item in renewing])

        async def all_have_renewed(count=1):
            return all(agent.renewals >= count for agent in agents)

        assert await harness.until(all_have_renewed)
        store.txn_seconds, store.longest_wait_seconds = TXN_SECONDS, LONGEST_WAIT_SECONDS
        store.mode = "queued"

        async def has_refused():
            return store.refused > 0

        assert await harness.until(has_refused)
        before = [agent.renewals for agent in agents]

        async def all_go_on():
            return all(
                agent.renewals >= count + 3 for agent, count in zip(agents, before, strict=True)
            )

        assert await harness.until(all_go_on)
        grouped = [state["grouping"]["counters"] for state in await _states(machines)]
        committed = sum(item["groups_committed"] for item in grouped)
        assert sum(item["transactions_grouped"] for item in grouped) >= 2 * committed > 0

        async def one_leads():
            return sum(state["scheduler"]["leading"] for state in await _states(machines)) == 1

        assert await harness.until(one_leads)
        store.mode = "up"


async def _states(machines):
    return [await _state(machine) for machine in machines]
