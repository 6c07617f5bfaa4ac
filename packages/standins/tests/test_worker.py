"""Guards against tasks that start too late, outlive their lease or lose their checkpoint."""

import hashlib
import time

import aiohttp
import pytest

from peridothatch_standins import object_store, server, tasks, worker


@pytest.fixture
async def objects():
    running = await object_store.start()
    yield running
    await server.close(running)


@pytest.fixture
async def running(objects):
    state = tasks.Worker("w1", "i1", 8, 64, 262144)
    started = await worker.start(state, objects.url)
    yield started
    await server.close(started)


@pytest.fixture
async def session(running):
    async with aiohttp.ClientSession(running.url) as opened:
        yield opened


def body(command, run=1, **changes):
    now = time.monotonic()
    return {
        "job": "j", "run": run, "task": 0, "command": command, "accelerators": [0],
        "lease_seconds": 60, "not_after_monotonic_seconds": now + 60,
    } | changes  # fmt: skip


async def post(session, path, **fields):
    async with session.post(path, json=fields) as response:
        return await response.json()


async def put(session, key, fields):
    async with session.put(f"/v1/tasks/{key}", json=fields) as response:
        return response.status, await response.json()


async def until(session, key, accept):
    """Long poll the tasks until ``accept`` holds for the task, and return it."""
    after = -1
    while True:
        async with session.get(f"/v1/tasks?wait_seconds=20&after={after}") as response:
            listing = await response.json()
        found = [item for item in listing["tasks"] if item["id"] == key and accept(item)]
        if found:
            return found[0]
        after = listing["sequence"]


def certificate(lot, digest, first, last):
    for part in range(first, last):
        digest = hashlib.sha256(f"{digest}:{lot}:{part}".encode()).hexdigest()
    return digest


async def test_a_checkpoint_holds_exactly_the_steps_done(session, objects):
    """Guards against a checkpoint that repeats or skips steps."""
    await put(session, "t1", body(["lot-certificate", "L7", "100000000"]))
    await post(session, "/v1/tasks/t1/stop", checkpoint=True)
    stopped = await until(session, "t1", lambda item: item["state"] == "stopped")
    assert stopped["checkpoint"] == "checkpoints/j/1/0"
    async with aiohttp.ClientSession() as other:
        async with other.get(f"{objects.url}/v1/objects/{stopped['checkpoint']}") as response:
            saved = await response.json(content_type=None)
    start = hashlib.sha256(b"L7").hexdigest()
    assert saved["partial"] == certificate("L7", start, 0, int(saved["done"]))


async def test_a_new_run_resumes_from_the_checkpoint(session, objects):
    """Guards against a run that ignores its checkpoint and starts from the beginning."""
    saved = {"done": 5, "total": 8, "partial": "x"}
    async with aiohttp.ClientSession() as other:
        await other.put(f"{objects.url}/v1/objects/checkpoints/j/1/0", json=saved)
    again = body(["lot-certificate", "L7", "8"], run=2, checkpoint="checkpoints/j/1/")
    await put(session, "t2", again)
    ended = await until(session, "t2", lambda item: item["state"] == "succeeded")
    assert ended["result"] == certificate("L7", "x", 5, 8)


@pytest.mark.parametrize("command", [["primes", "1000"], ["fail"], ["nonsense"]])
async def test_commands_end_with_their_result(session, command):
    """Guards against commands that never end or that end in the wrong state."""
    await put(session, "t", body(command))
    ended = await until(session, "t", lambda item: item["state"] != "running")
    expected = ("succeeded", "168") if command[0] == "primes" else ("failed", "")
    assert (ended["state"], ended["result"]) == expected


async def test_starts_are_refused_after_the_deadline_twice_or_on_accelerators_in_use(session):
    """Guards against a start after the proof of service expired, and against double runs."""
    late = body(["sleep", "60"], not_after_monotonic_seconds=time.monotonic() - 0.001)
    assert await put(session, "t", late) == (409, {"reason": "the time to start has passed"})
    first = body(["sleep", "60"])
    assert (await put(session, "t", first))[0] == 200
    assert (await put(session, "t", first))[0] == 200
    assert (await put(session, "u", first))[0] == 409
    await post(session, "/v1/tasks/t/stop", checkpoint=False)
    assert (await put(session, "t", first))[1] == {"reason": "the id ran before"}


async def test_a_lapsed_lease_stops_the_task_and_cannot_be_renewed(session):
    """Guards against a task that keeps running when no agent renews its lease."""
    await put(session, "t", body(["sleep", "60"], lease_seconds=0.1))
    ended = await until(session, "t", lambda item: item["state"] == "stopped")
    assert ended["detail"] == "lease lapsed"
    assert await post(session, "/v1/leases", tasks=["t"], lease_seconds=5) == {"tasks": []}


def test_a_worker_that_was_paused_checks_leases_before_it_computes():
    """Guards against work under a lease that expired while the worker was paused."""
    state = tasks.Worker("w", "i", 8, 64, 1024)
    spec = tasks.Spec("t", "j", 1, 0, ("primes", "10"), (), 5.0, 10.0)
    tasks.start(state, spec, 0.0)
    tasks.advance(state, 5.0, lambda: 5.0)
    assert state.tasks["t"].state == tasks.STOPPED
    assert state.tasks["t"].work.done == 0
