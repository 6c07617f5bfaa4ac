"""Forwarding of calls between two entries, one of which cannot reach the store."""

import asyncio
import dataclasses

import aiohttp
import aiohttp.test_utils
import platform_standin
import process_harness as harness
import pytest

from peridothatch_core.model import tables
from peridothatch_daemon.hosted import entry
from peridothatch_platform import settings
from peridothatch_platform import store as client_module

HEADERS = {"Host": "a.example", "Api-Key": "k1", "X-Request-Deadline": "3000"}


@pytest.fixture
async def cut_off(store, unused_tcp_port_factory):
    """Yield a client of an entry whose store refuses everything, and the other entry's address."""
    own_store = platform_standin.Store()
    own_store.put(*next((*name, value) for name, (value, _) in store.rows.items()))
    other = f"127.0.0.1:{unused_tcp_port_factory()}"
    row = platform_standin.encode({"node": "front-2", "callers": other})
    key = tables.entry_key("front-2")
    own_store.put(key.table, client_module.PARTITION, key.key, row)
    server = aiohttp.test_utils.TestServer(own_store.application())
    await server.start_server()
    own_store.address = settings.Address("127.0.0.1", server.port)
    machine = harness.machine(own_store, "front-1", unused_tcp_port_factory, worker=None)
    started = await entry.start(machine)
    await harness.until(lambda: _knows_other_entry(machine))
    own_store.mode = "refuse"
    async with aiohttp.ClientSession(f"http://{machine.callers.text}") as caller:
        yield caller, other
    await entry.close(started)
    await server.close()


async def test_an_entry_that_cannot_reach_the_store_forwards_calls(
    cut_off, store, unused_tcp_port_factory
):
    # Callers were refused until the balancer redirected them, and some gave up before that.
    caller, other = cut_off
    host, _, port = other.partition(":")
    machine = dataclasses.replace(
        harness.machine(store, "front-2", unused_tcp_port_factory, worker=None),
        callers=settings.Address(host, int(port)),
    )
    second = await entry.start(machine)
    status, _, _ = await _call(caller, "POST", harness.ONE_TASK)
    assert status == 200
    assert ("work", client_module.PARTITION, "j/00000000000000aa") in store.rows
    assert (await _call(caller, "GET"))[:2] == (200, {"state": "queued"})
    status, _, _ = await _call(caller, "POST", harness.ONE_TASK, key="gone")
    assert status == 401
    await entry.close(second)


async def test_a_call_that_no_entry_can_serve_is_refused_as_not_run(cut_off):
    caller, _ = cut_off
    status, body, headers = await _call(caller, "POST", harness.ONE_TASK)
    assert (status, body["verdict"], headers["Retry-After"]) == (503, "not_run", "1")


async def test_a_call_that_another_entry_leaves_unanswered_may_have_run(cut_off):
    # The other entry may have stored the job, so "not_run" would be wrong.
    caller, other = cut_off
    host, _, port = other.partition(":")
    taken = []

    async def accept(reader, writer):
        taken.append(await reader.read(10))
        await asyncio.sleep(60)
        writer.close()

    server = await asyncio.start_server(accept, host, int(port))
    status, body, _ = await _call(caller, "POST", harness.ONE_TASK)
    assert (status, body["verdict"]) == (504, "may_have_run")
    assert taken
    server.close()


async def test_a_forwarded_call_is_not_forwarded_again(cut_off):
    # Otherwise two entries that cannot reach the store would forward the call to each other until
    # its deadline.
    caller, other = cut_off
    host, _, port = other.partition(":")
    taken = []

    async def accept(_, writer):
        taken.append(writer)
        writer.close()

    server = await asyncio.start_server(accept, host, int(port))
    header = {"Peridothatch-Passed-On": "1"}
    status, body, _ = await _call(caller, "POST", harness.ONE_TASK, **header)
    assert (status, body["verdict"]) == (503, "not_run")
    assert not taken
    server.close()


async def _call(caller, method, body=None, key="k1", **more):
    headers = HEADERS | {"Api-Key": key} | more
    async with caller.request(method, harness.JOB, json=body, headers=headers) as response:
        payload = await response.json() if response.content_length else {}
        return response.status, payload, response.headers


async def _knows_other_entry(machine):
    async with aiohttp.ClientSession(f"http://{machine.metrics.text}") as session:
        async with session.get("/debug/state") as response:
            dump = await response.json()
    return "front-2" in dump["tasks"]["peers"]["addresses"]
