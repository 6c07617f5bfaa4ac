"""An entry and an agent run against stand-ins for the platform."""

import asyncio
import base64
import dataclasses
import itertools
import json
import socket

import aiohttp
import platform_standin
import process_harness as harness
import pytest

from peridothatch_core.hold import state as hold_state
from peridothatch_daemon.hosted import agent, entry
from peridothatch_platform import store as store_client

JOB = harness.JOB
ONE_TASK = harness.ONE_TASK
HEARTBEAT = {
    "service": "render",
    "zone": "accra-a",
    "state": "ready",
    "born": 1,
    "capacity": {"cpu": 64000, "mem_mb": 1000, "gpu": 8},
    "labels": ["a", "r1"],
}
HISTOGRAMS = ("reception_seconds", "supervisor_start_seconds")


@dataclasses.dataclass
class System:
    """A running entry and agent, their stand-ins, and a client of the entry."""

    store: object
    worker: object
    entry: entry.Entry
    agent: agent.Agent
    machines: tuple
    caller: aiohttp.ClientSession

    async def call(self, method, path=JOB, body=None, key="k1", deadline_ms="3000"):
        headers = {"Host": "a.example", "Api-Key": key, "X-Request-Deadline": deadline_ms}
        async with self.caller.request(method, path, json=body, headers=headers) as response:
            payload = await response.json() if response.content_length else {}
            return response.status, payload, response.headers

    async def until_state(self, wanted, path=JOB):
        return await harness.until(lambda: self._state_is(wanted, path))

    async def _state_is(self, wanted, path):
        status, body, _ = await self.call("GET", path)
        return status == 200 and body["state"] == wanted


@pytest.fixture
async def system(store, worker, unused_tcp_port_factory):
    entry_machine = harness.machine(store, "front-1", unused_tcp_port_factory, worker=None)
    agent_machine = harness.machine(store, "side-1", unused_tcp_port_factory, worker=worker)
    started = System(
        store,
        worker,
        await entry.start(entry_machine),
        await agent.start(agent_machine, lambda: None),
        (entry_machine, agent_machine),
        aiohttp.ClientSession(f"http://{entry_machine.callers.text}"),
    )
    await _heartbeat(agent_machine)
    await harness.until(lambda: _is_set_up(started))
    yield started
    await started.caller.close()
    await agent.close(started.agent)
    await entry.close(started.entry)


async def test_a_job_runs_to_completion(system):
    status, _, _ = await system.call("POST", body=ONE_TASK)
    assert status == 200
    await system.until_state("completed")
    assert system.worker.starts == [("00000000000000aa.0.0.0", 1, "text", "")]
    assert await harness.until(lambda: _acknowledged(system))
    assert (await system.call("GET", "/jobs/"))[1] == {"pending": 0}


async def test_a_repeated_submission_runs_once(system):
    answers = await asyncio.gather(*(system.call("POST", body=ONE_TASK) for _ in range(3)))
    assert [status for status, _, _ in answers] == [200, 200, 200]
    await system.until_state("completed")
    assert (await system.call("POST", body=ONE_TASK))[0] == 200
    assert len(system.worker.starts) == 1


async def test_invalid_calls_are_refused_and_change_nothing(system):
    before = system.store.transactions
    bad = {"spec": "text", "phases": [{"count": "many"}]}
    status, body, _ = await system.call("POST", body=bad)
    assert (status, body["field"], body["verdict"]) == (400, "phases.0.count", "not_run")
    assert (await system.call("POST", "/jobs/short", body=ONE_TASK))[0] == 400
    assert (await system.call("POST", "/none/00000000000000aa", body=ONE_TASK))[0] == 404
    assert (await system.call("POST", body=ONE_TASK, key="gone"))[0] == 401
    assert (await system.call("GET"))[0] == 410
    assert (await system.call("DELETE"))[0] == 410
    rows = [name for name in system.store.rows if name[0] in ("work", "specs")]
    assert not rows, before


@pytest.mark.parametrize("path", ["/jobs/", "/jobs/00", "/jobs/00000000000000a"])
async def test_a_path_that_is_the_beginning_of_a_job_id_names_no_job(system, path):
    # Rows were read by the beginning of their key, so the cancellation reached another job.
    system.worker.task_seconds = 60
    await system.call("POST", body=ONE_TASK)
    assert (await system.call("DELETE", path))[0] == 410
    assert not [name for name in system.store.rows if name[2].startswith("c/")]


async def test_an_agent_does_not_take_the_row_of_a_node_with_a_longer_name(
    store, worker, unused_tcp_port_factory
):
    # Without a row of its own, side-1 read that of side-10 and could never register.
    other_fence = 7 * hold_state.FENCES_PER_PROCESS
    row = platform_standin.encode(
        {"node": "side-10", "zone": "accra-a", "fence": other_fence, "lapses": 2,
         "hold_until_ms": 1}
    )  # fmt: skip
    store.put("members", store_client.PARTITION, "agent/side-10", row)
    machine = harness.machine(store, "side-1", unused_tcp_port_factory, worker=worker)
    started = await agent.start(machine, lambda: None)
    own = ("members", store_client.PARTITION, "agent/side-1")
    await harness.until(lambda: _resolved(own in store.rows))
    fence = json.loads(base64.b64decode(store.rows[own][0]))["fence"]
    assert fence == hold_state.FENCES_PER_PROCESS
    await agent.close(started)


async def test_a_cancelled_job_stops_and_reports_its_state(system):
    system.worker.task_seconds = 60
    await system.call("POST", body=ONE_TASK)
    await harness.until(lambda: _resolved(bool(system.worker.running)))
    assert (await system.call("DELETE"))[0] == 200
    await system.until_state("cancelled")
    await harness.until(lambda: _resolved(not system.worker.running))


async def test_a_lost_store_response_is_not_treated_as_a_failure(system):
    system.store.mode = "lost"
    asyncio.get_running_loop().call_later(0.3, _set_mode, system.store, "up")
    assert (await system.call("POST", body=ONE_TASK))[0] == 200
    await system.until_state("completed")
    assert len(system.worker.starts) == 1


async def test_a_call_that_arrives_during_the_start_of_an_entry_is_accepted(
    store, unused_tcp_port_factory
):
    # The call waits in the backlog. It was refused when the entry started to serve before it had
    # read the first rows.
    entry_machine = harness.machine(store, "front-1", unused_tcp_port_factory, worker=None)
    listener = socket.create_server((entry_machine.callers.host, entry_machine.callers.port))
    opened = {(entry_machine.callers.host, entry_machine.callers.port): listener}
    async with aiohttp.ClientSession(f"http://{entry_machine.callers.text}") as caller:
        headers = {"Host": "a.example", "Api-Key": "k1", "X-Request-Deadline": "3000"}
        early = asyncio.create_task(caller.post(JOB, json=ONE_TASK, headers=headers))
        await asyncio.sleep(harness.STEP_SECONDS)
        started = await entry.start(entry_machine, opened)
        async with await early as response:
            assert response.status == 200
    await entry.close(started)
    assert not opened


async def test_a_refusal_by_the_store_is_reported_as_not_run(system):
    system.store.mode = "refuse"
    status, body, headers = await system.call("POST", body=ONE_TASK)
    assert (status, body["verdict"], headers["Retry-After"]) == (503, "not_run", "1")
    # A caller with a persistent connection sent its next calls to the same entry.
    assert headers["Connection"] == "close"
    system.store.mode = "up"
    await asyncio.sleep(0.5)
    assert not [name for name in system.store.rows if name[0] == "work"]


async def test_a_call_is_not_held_while_the_store_resets_connections(system):
    # The entry repeated the store request until the caller's deadline.
    system.store.mode = "reset"
    async with asyncio.timeout(harness.PATIENCE_SECONDS):
        status, body, _ = await system.call("POST", body=ONE_TASK, deadline_ms="600000")
    assert status in (503, 504)
    assert body["verdict"] == ("not_run" if status == 503 else "may_have_run")
    # After requests of the feed have failed too, nothing is sent to the store, and the refusal
    # gives this reason.
    jobs = (f"/jobs/{number:016x}" for number in itertools.count())
    await harness.until(lambda: _refused_untried(system, next(jobs)))
    if status == 504:
        # The first call may have run, so a repeated one is not told that the job has not run.
        status, body, _ = await system.call("POST", body=ONE_TASK, deadline_ms="600000")
        assert (status, body["verdict"]) == (504, "may_have_run")
    system.store.mode = "up"
    await harness.until(lambda: _accepted(system))
    await system.until_state("completed")
    assert len(system.worker.starts) == 1


async def test_an_entry_without_the_store_is_not_ready(system):
    # Callers kept connecting to an entry that could only refuse them.
    assert await _ready(system) == 200
    system.store.mode = "refuse"
    await harness.until(lambda: _equals(_ready(system), 503))
    system.store.mode = "up"
    await harness.until(lambda: _equals(_ready(system), 200))


async def test_a_start_without_an_answer_runs_once(system):
    system.worker.mode = "silent"
    await system.call("POST", body=ONE_TASK)
    await system.until_state("completed")
    assert len(system.worker.starts) == 1


async def test_a_refused_start_is_tried_again(system):
    system.worker.mode = "refuse"
    await system.call("POST", body=ONE_TASK)
    asyncio.get_running_loop().call_later(0.5, _set_mode, system.worker, "up")
    await system.until_state("completed")
    (start,) = system.worker.starts
    assert start[1] > 1


async def test_a_restarted_agent_keeps_the_run(system):
    system.worker.task_seconds = 3
    await system.call("POST", body=ONE_TASK)
    await harness.until(lambda: _resolved(bool(system.worker.running)))
    await agent.close(system.agent)
    system.agent = await agent.start(system.machines[1], lambda: None)
    await _heartbeat(system.machines[1], sequence=9)
    await system.until_state("completed")
    assert len(system.worker.starts) == 1


# Guards against a task that runs twice: a heartbeat of another writer ended the runs at work.
async def test_a_heartbeat_of_another_writer_keeps_the_run(system):
    system.worker.task_seconds = 2
    await system.call("POST", body=ONE_TASK)
    await harness.until(lambda: _resolved(bool(system.worker.running)))
    later = {"born": HEARTBEAT.get("born", 0) + 5_000, "service": "no-such-service", "seq": 99}
    await _heartbeat(system.machines[1], instance="other-1", **later)
    await _heartbeat(system.machines[1], **later)
    await system.until_state("completed")
    assert len(system.worker.starts) == 1
    await _heartbeat(system.machines[1], sequence=9)
    await system.call("POST", "/jobs/00000000000000bb", body=ONE_TASK)
    await harness.until(lambda: _resolved(len(system.worker.starts) == 2))


async def test_metrics_and_state_are_served(system):
    await system.call("POST", body=ONE_TASK)
    await system.until_state("completed")
    for machine, text in zip(system.machines, HISTOGRAMS, strict=True):
        async with aiohttp.ClientSession(f"http://{machine.metrics.text}") as session:
            async with session.get("/metrics") as response:
                assert f"peridothatch_{text}_bucket" in await response.text()
            async with session.get("/debug/state") as response:
                assert (await response.json())["process"]["node"] == machine.node


async def _heartbeat(machine, sequence=1, instance="w-1", **changes):
    async with aiohttp.ClientSession(f"http://{machine.heartbeats.text}") as session:
        path = f"/peridothatch/instances/{instance}"
        body = HEARTBEAT | {"seq": sequence} | changes
        async with session.put(path, json=body) as response:
            assert response.status == 200


async def _is_set_up(system):
    """Return whether the entry is the leader and the agent has registered."""
    session = aiohttp.ClientSession(f"http://{system.machines[0].metrics.text}")
    async with session, session.get("/debug/state") as response:
        dump = await response.json()
    members = [name for name in system.store.rows if name[2] == "agent/side-1"]
    ready = dump["tasks"]["reception"]["desired_version"] == 3
    return ready and dump["tasks"]["scheduler"]["leading"] and bool(members)


async def _acknowledged(system):
    return bool(system.worker.ended) and not [
        name for name in system.store.rows if name[0].startswith("orders")
    ]


async def _refused_untried(system, job):
    status, body, _ = await system.call("POST", job, body=ONE_TASK, deadline_ms="600000")
    return status == 503 and "calls to the store failed" in body["reason"]


async def _accepted(system):
    return (await system.call("POST", body=ONE_TASK))[0] == 200


async def _ready(system):
    address = system.machines[0].readiness
    async with aiohttp.ClientSession(f"http://{address.text}") as session:
        async with session.get("/peridothatch/ready") as response:
            return response.status


async def _equals(answer, wanted):
    return await answer == wanted


async def _resolved(value):
    return value


def _set_mode(standin, mode):
    standin.mode = mode
