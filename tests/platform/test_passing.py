"""Forwarding of calls between two entries, one of which cannot reach the store."""

import asyncio
import base64
import dataclasses
import json

import aiohttp
import aiohttp.test_utils
import platform_standin
import process_harness as harness
import pytest
from aiohttp import web

from peridothatch_core.model import tables
from peridothatch_daemon.hosted import entry
from peridothatch_platform import settings
from peridothatch_platform import store as client_module

HEADERS = {"Host": "a.example", "Api-Key": "k1", "X-Request-Deadline": "3000"}


@dataclasses.dataclass
class CutOff:
    """An entry whose store refuses everything, and the addresses of the other entry."""

    caller: aiohttp.ClientSession
    store: platform_standin.Store
    other: str
    internal: str


@pytest.fixture
async def cut_off(store, unused_tcp_port_factory):
    own_store = platform_standin.Store()
    own_store.put(*next((*name, value) for name, (value, _) in store.rows.items()))
    other = f"127.0.0.1:{unused_tcp_port_factory()}"
    internal = f"127.0.0.1:{unused_tcp_port_factory()}"
    row = platform_standin.encode({"node": "front-2", "callers": other, "internal": internal})
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
        yield CutOff(caller, own_store, other, internal)
    await entry.close(started)
    await server.close()


async def test_an_entry_that_cannot_reach_the_store_forwards_calls(
    cut_off, store, unused_tcp_port_factory
):
    # Callers were refused until the balancer redirected them, and some gave up before that.
    caller = cut_off.caller
    host, _, port = cut_off.other.partition(":")
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


async def test_an_entry_does_not_answer_by_an_older_desired_state_than_another_did_for_it(
    cut_off, store, unused_tcp_port_factory
):
    # An entry without the store passed a call for a new queue on, and then answered by itself for
    # an open queue that the newer desired state had removed.
    newer = json.loads(base64.b64decode(store.rows["op", "", "config"][0]))
    newer["version"] += 1
    newer["routes"].append(newer["routes"][0] | {"name": "new", "prefix": "/new/"})
    newer["routes"] = [route for route in newer["routes"] if route["name"] != "open"]
    store.put("op", "", "config", platform_standin.encode(newer))
    host, _, port = cut_off.other.partition(":")
    machine = dataclasses.replace(
        harness.machine(store, "front-2", unused_tcp_port_factory, worker=None),
        callers=settings.Address(host, int(port)),
    )
    second = await entry.start(machine)
    await harness.until(lambda: _has_status(cut_off.caller, "/new/", 200))
    status, _, headers = await _call(cut_off.caller, "GET", path="/open/")
    assert status == 404
    assert "Peridothatch-Desired-Version" not in headers
    await entry.close(second)
    # Nobody can tell now, and the older state still must not answer.
    assert (await _call(cut_off.caller, "GET", path="/open/"))[0] == 503


async def test_a_forwarded_call_is_not_decided_by_an_older_desired_state(
    store, unused_tcp_port_factory
):
    # Two entries without the store may know different versions; callers of the one with the newer
    # version must not get answers by the older.
    machine = harness.machine(store, "front-1", unused_tcp_port_factory, worker=None)
    started = await entry.start(machine)
    found = {}
    async with aiohttp.ClientSession(f"http://{machine.callers.text}") as caller:
        for version in ("3", "4", "x", "9" * 17):
            forwarded = {"Peridothatch-Passed-On": "1", "Peridothatch-Desired-Version": version}
            status, _, headers = await _call(caller, "GET", path="/jobs/", **forwarded)
            found[version] = status, headers["Peridothatch-Desired-Version"]
    assert found == {"3": (200, "3"), "4": (503, "3"), "x": (200, "3"), "9" * 17: (200, "3")}
    await entry.close(started)


async def test_a_call_that_no_entry_can_serve_is_refused_as_not_run(cut_off):
    caller = cut_off.caller
    status, body, headers = await _call(caller, "POST", harness.ONE_TASK)
    assert (status, body["verdict"], headers["Retry-After"]) == (503, "not_run", "1")


async def test_a_call_that_another_entry_leaves_unanswered_may_have_run(cut_off):
    # The other entry may have stored the job, so "not_run" would be wrong.
    caller = cut_off.caller
    host, _, port = cut_off.other.partition(":")
    taken = []

    async def accept(reader, writer):
        await reader.read(10)
        taken.append(writer)

    server = await asyncio.start_server(accept, host, int(port))
    status, body, _ = await _call(caller, "POST", harness.ONE_TASK)
    assert (status, body["verdict"]) == (504, "may_have_run")
    assert taken
    server.close()
    for writer in taken:
        writer.close()
        await writer.wait_closed()


@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize(("exists", "expected"), [(True, 200), (False, 504), (None, 504)])
async def test_a_refusal_elsewhere_does_not_hide_a_write_with_an_unknown_outcome(
    cut_off, method, exists, expected
):
    # The entry's own commit took effect without an answer; another entry, which knew of the
    # revoked key, refused the call, and the caller was told that its job had not run.
    job = platform_standin.encode(_stored_job())
    cut_off.store.put("work", client_module.PARTITION, "j/00000000000000aa", job)
    cut_off.store.mode = "up"
    if method == "DELETE":
        await harness.until(lambda: _is_reported(cut_off.caller))
    else:
        cut_off.store.put("work", client_module.PARTITION, "j/00000000000000aa", None)
        await harness.until(lambda: _is_absent(cut_off.caller))
    refused = await _serve_status(cut_off.other, 401)
    looked_up = await _serve_status(cut_off.internal, {True: 200, False: 404, None: 503}[exists])
    cut_off.store.mode = "lost_once"
    status, body, _ = await _call(cut_off.caller, method, harness.ONE_TASK)
    assert status == expected
    assert expected == 200 or body["verdict"] == "may_have_run"
    # A repeated call is not told that the job has not run either.
    if expected == 504:
        status, body, _ = await _call(cut_off.caller, method, harness.ONE_TASK, key="gone")
        assert (status, body["verdict"]) == (504, "may_have_run")
    await refused.close()
    await looked_up.close()


async def test_a_key_revoked_meanwhile_is_refused_when_nothing_was_written(cut_off):
    # The call was authorised here and refused where it was served; nothing has run.
    refused = await _serve_status(cut_off.other, 401)
    assert (await _call(cut_off.caller, "POST", harness.ONE_TASK))[0] == 401
    await refused.close()


async def test_a_read_that_no_entry_answers_has_not_run(cut_off):
    failed = await _serve_status(cut_off.other, 500)
    status, body, _ = await _call(cut_off.caller, "GET")
    assert (status, body["verdict"]) == (503, "not_run")
    await failed.close()


async def test_an_entry_looks_up_rows_of_jobs_for_other_entries(store, unused_tcp_port_factory):
    machine = harness.machine(store, "front-1", unused_tcp_port_factory, worker=None)
    started = await entry.start(machine)
    store.put("work", client_module.PARTITION, "j/aa", platform_standin.encode({}))
    found = {}
    async with aiohttp.ClientSession(f"http://{machine.metrics.text}") as session:
        for table, key in (("work", "j/aa"), ("work", "j/a"), ("work", ""), ("op", "config")):
            async with session.get("/v1/rows", params={"table": table, "key": key}) as response:
                found[table, key] = response.status
    assert list(found.values()) == [200, 404, 400, 400]
    await entry.close(started)


async def test_a_forwarded_call_is_not_forwarded_again(cut_off):
    # Otherwise two entries that cannot reach the store would forward the call to each other until
    # its deadline.
    caller = cut_off.caller
    host, _, port = cut_off.other.partition(":")
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


async def _call(caller, method, body=None, key="k1", path=harness.JOB, **more):
    headers = HEADERS | {"Api-Key": key} | more
    async with caller.request(method, path, json=body, headers=headers) as response:
        payload = await response.json() if response.content_length else {}
        return response.status, payload, response.headers


async def _has_status(caller, path, status):
    return (await _call(caller, "GET", path=path))[0] == status


async def _knows_other_entry(machine):
    async with aiohttp.ClientSession(f"http://{machine.metrics.text}") as session:
        async with session.get("/debug/state") as response:
            dump = await response.json()
    return "front-2" in dump["tasks"]["peers"]["addresses"]


async def _serve_status(address, status):
    """Answer every request on an address with a status."""

    async def handle(_):
        return web.Response(status=status)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    host, _, port = address.partition(":")
    server = aiohttp.test_utils.TestServer(app, host=host, port=int(port))
    await server.start_server()
    return server


def _stored_job():
    step = {"count": 1, "demand": {"cpu_millis": 100, "memory_mb": 0, "accelerators": 1}}
    return {
        "id": "00000000000000aa", "queue": "q", "service": "render", "customer": "ministry",
        "priority": 1, "max_attempts": 2, "slack_factor": 2.0, "objective_ms": 500,
        "steps": [step], "timetable": None, "submitted_ms": 1,
    }  # fmt: skip


async def _is_reported(caller):
    return (await _call(caller, "GET"))[0] == 200


async def _is_absent(caller):
    return (await _call(caller, "GET"))[0] == 410
