"""Guards against a worker client that misreads listings or extends a lease too far."""

import asyncio
import time

import aiohttp.web
import pytest

from peridothatch_core.model import job
from peridothatch_core.start import member_state
from peridothatch_daemon.outlet import worker
from peridothatch_wire import mailbox

DESCRIPTION = {
    "id": "w", "incarnation": "v1", "accelerators": 4, "cores": 8, "memory_mb": 64,
    "monotonic_seconds": 0.0,
}  # fmt: skip


class FakeWorker:
    """A worker that records calls; with ``refuse`` set it answers them with 409."""

    def __init__(self):
        self.calls = mailbox.create("calls")
        self.tasks, self.refuse, self.malformed = [], False, False
        self.changed, self.sequence = asyncio.Event(), 0

    async def open(self):
        app = aiohttp.web.Application()
        app.router.add_get("/v1/worker", self.describe)
        app.router.add_get("/v1/tasks", self.list)
        app.router.add_put("/v1/tasks/{id}", self.record)
        app.router.add_delete("/v1/tasks/{id}", self.record)
        app.router.add_post("/v1/{path:.*}", self.record)
        self.runner = aiohttp.web.AppRunner(app)
        await self.runner.setup()
        site = aiohttp.web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.members = mailbox.create("members")
        settings = worker.Settings(f"http://127.0.0.1:{port}", "w", "dc", "rack")
        self.client = worker.start(settings, self.members)
        return self

    async def close(self):
        await worker.close(self.client)
        await self.runner.cleanup()

    async def describe(self, _request):
        return aiohttp.web.json_response(DESCRIPTION)

    async def list(self, request):
        if request.query.get("after") == str(self.sequence):
            self.changed.clear()
            await asyncio.wait([asyncio.ensure_future(self.changed.wait())], timeout=1.0)
        body = {"tasks": "x" if self.malformed else self.tasks, "sequence": self.sequence}
        return aiohttp.web.json_response(body)

    async def record(self, request):
        body = await request.json() if request.can_read_body else None
        mailbox.post(self.calls, (request.method, request.path, body))
        status = 409 if self.refuse else 200
        return aiohttp.web.json_response({"reason": "too late"}, status=status)

    def set_tasks(self, *tasks):
        self.tasks, self.sequence = list(tasks), self.sequence + 1
        self.changed.set()

    async def take_calls(self, count):
        async with asyncio.timeout(20):
            return [await mailbox.take(self.calls) for _ in range(count)]

    async def wait_for_message(self, matches):
        async with asyncio.timeout(20):
            while True:
                message = await mailbox.take(self.members)
                if matches(message):
                    return message


@pytest.fixture
async def fake():
    opened = await FakeWorker().open()
    yield opened
    await opened.close()


def task_body(state):
    return {
        "id": "j.2.0", "job": "j", "run": 2, "task": 0, "state": state, "progress": 0.5,
        "lease_remaining_seconds": 7.5, "result": None, "detail": "", "checkpoint": "k",
        "accelerators": [1], "command": ["x"],
    }  # fmt: skip


def create_start(lease_until):
    cell = job.Cell(0, "w", (1,))
    return member_state.StartTask("j", 2, cell, ("x",), "", lease_until, 5.5)


async def test_states_are_reported_as_they_change(fake):
    """Guards against state changes that reach the agent late or never."""
    first = await fake.wait_for_message(lambda item: isinstance(item, member_state.WorkerListed))
    assert (first.worker.rack, first.worker.incarnation, first.tasks) == ("rack", "v1", ())
    fake.set_tasks(task_body("running"))
    found = await fake.wait_for_message(lambda item: item.tasks)
    expected = member_state.TaskStatus("j", 2, 0, "running", 7.5, (1,), checkpoint="k")
    assert found.tasks == (expected,)


async def test_a_malformed_listing_is_not_treated_as_empty(fake):
    """Guards against members that are reported as ended because an answer was malformed."""
    fake.set_tasks(task_body("running"))
    await fake.wait_for_message(lambda item: item.tasks)
    fake.malformed = True
    fake.changed.set()
    await asyncio.sleep(0.1)
    fake.malformed = False
    for _ in range(3):
        listed = await fake.wait_for_message(
            lambda item: isinstance(item, member_state.WorkerListed)
        )
        assert listed.tasks


async def test_a_start_carries_its_deadline_and_lease(fake):
    """Guards against a start after its service proof expires, or a lease beyond the gang's."""
    mailbox.post(fake.client.inbox, create_start(time.monotonic() + 8.0))
    ((method, path, body),) = await fake.take_calls(1)
    assert (method, path) == ("PUT", "/v1/tasks/j.2.0")
    assert body["not_after_monotonic_seconds"] == 5.5
    assert 0 < body["lease_seconds"] <= 8.0


async def test_a_refused_start_is_reported(fake):
    """Guards against a planner that waits for a member that the worker refused to start."""
    fake.refuse = True
    mailbox.post(fake.client.inbox, create_start(time.monotonic() + 60.0))
    found = await fake.wait_for_message(lambda item: isinstance(item, member_state.StartRefused))
    assert (found.job, found.run, found.task) == ("j", 2, 0)


async def test_renewals_end_with_the_gang_lease(fake):
    """Guards against a task lease that is renewed beyond the end of its gang lease."""
    now = time.monotonic()
    for index, until in enumerate((now + 60, now + 61, now + 6, now - 1)):
        mailbox.post(fake.client.inbox, member_state.RenewTask("j", 2, index, until))
    calls = sorted((await fake.take_calls(2)), key=lambda call: call[2]["tasks"])
    assert [call[2]["tasks"] for call in calls] == [["j.2.0", "j.2.1"], ["j.2.2"]]
    assert calls[0][2]["lease_seconds"] == worker.TASK_LEASE_SECONDS
    assert 0 < calls[1][2]["lease_seconds"] <= 6
