"""Load: a large fleet, whose agents each write their row about once a second."""

import asyncio
import base64
import json

import platform_standin
import process_harness as harness

from peridothatch_core.schedule import lease_timing
from peridothatch_daemon.hosted import entry, entry_feeds
from peridothatch_platform import store as store_client

OBSERVED_SECONDS = 1.5


def _write_agents(store, count):
    for number in range(count):
        row = {
            "node": f"side-{number}",
            "zone": "accra-a",
            "fence": 1,
            "lapses": 0,
            "hold_until_ms": 1,
        }
        key = f"agent/side-{number}"
        store.put("members", store_client.PARTITION, key, platform_standin.encode(row))


async def _observe(store):
    """Return the connections that follow the rows of the agents from now on."""
    store.followers.clear()
    for _ in range(10):
        _write_agents(store, 5)
        await asyncio.sleep(OBSERVED_SECONDS / 10)
    return store.followers.get("members", set())


async def test_only_the_leader_follows_the_rows_of_the_agents(store, unused_tcp_port_factory):
    # 35 entries read each renewal of 160 agents, and filled the link between two regions.
    ports = unused_tcp_port_factory
    machines = [harness.machine(store, f"front-{number}", ports, None) for number in range(3)]
    started = [await entry.start(machine) for machine in machines]
    assert await harness.until(lambda: _is_followed(store))
    assert len(await _observe(store)) == 1
    (leader,) = [found for found in started if _leads(store, found)]
    await entry.close(leader)
    others = [found for found in started if found is not leader]
    assert await harness.until(lambda: _is_taken_over(store, others))
    assert await harness.until(lambda: _is_followed(store))
    assert len(await _observe(store)) == 1
    for found in others:
        await entry.close(found)


async def _is_followed(store):
    return bool(store.followers.get("members"))


def _leads(store, found):
    lease = store.rows.get(("members", store_client.PARTITION, "leader/lease"))
    holder = json.loads(base64.b64decode(lease[0]))["holder"] if lease else ""
    return holder.partition("/")[0] == found.machine.node


async def _is_taken_over(store, others):
    store.followers.clear()
    return any(_leads(store, found) for found in others)


def test_the_rows_of_the_leadership_are_read_in_time_for_a_takeover():
    # The lease is renewed every 0.35 s; an entry that misses a renewal would claim it needlessly.
    left_seconds = lease_timing.LEASE_DURATION_MS / 1000.0 - lease_timing.RENEW_INTERVAL_SECONDS
    assert left_seconds > 2 * entry_feeds.LEADER_INTERVAL_SECONDS
