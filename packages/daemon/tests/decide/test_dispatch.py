"""Guards against lost replies, store rows that cannot be read back, and a blocked task."""

import asyncio
import json

import pytest

from peridothatch_core.message import link, store
from peridothatch_core.model import backend, config, request, verdict
from peridothatch_core.route import flight
from peridothatch_daemon import messages
from peridothatch_daemon.decide import claim_row, dispatch
from peridothatch_wire import mailbox

AGENT = link.Hello(1, "agent", "a1", "j1", "accra-a", "gh-south")
SERVER = backend.BackendServer("b1", "notices", "accra-a", "gh-south", 8)
LIMIT_SECONDS = 20.0


class EntryHarness:
    """The dispatch task between a fake agent, which answers immediately, and a fake store."""

    def __init__(self, links_capacity=4096):
        self.links = mailbox.create("links", links_capacity)
        self.store = mailbox.create("store")
        self.rows = {}
        self.version = 0
        self.runs = []
        self.mode = "up"
        self.body = b"done"

    async def __aenter__(self):
        settings = flight.Settings("e1", "i1", "accra-a", "gh-south")
        self.task = dispatch.start(settings, self.links, self.store)
        mailbox.post(self.task.inbox, messages.PeerConnected(AGENT))
        self.receive(link.AnnounceBackend(SERVER, "j1"))
        self.fake_tasks = [
            asyncio.create_task(self.serve()),
            asyncio.create_task(self.serve_store()),
        ]
        return self

    async def __aexit__(self, *_error):
        for fake in self.fake_tasks:
            fake.cancel()
        await dispatch.close(self.task)

    def receive(self, message):
        mailbox.post(self.task.inbox, messages.ReceivedFromPeer(AGENT, message))

    async def serve(self):
        while True:
            message = (await mailbox.take(self.links)).message
            if isinstance(message, link.Dispatch):
                request_id = message.request.id
                self.runs.append(request_id)
                answer = request.Answer(request_id, verdict.Verdict.RAN, 200, self.body)
                self.receive(link.AnswerReady(answer))

    async def serve_store(self):
        while True:
            message = await mailbox.take(self.store)
            if self.mode == "down":
                committed = store.Committed(message.transaction, store.Outcome.NOT_SENT)
            else:
                committed = self.commit(message.transaction)
            mailbox.post(message.reply_to, committed)

    def commit(self, transaction):
        failed = {}
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if isinstance(condition, store.VersionIs):
                holds = (row.version if row else 0) == condition.version
            else:
                holds = row is not None and row.value.get(condition.field) == condition.equals
            if not holds:
                failed[condition.key] = row
        if failed:
            return store.Committed(transaction, store.Outcome.CONFLICT, {}, failed)
        for write in transaction.writes:
            self.version += 1
            value = json.loads(json.dumps(write.value))
            self.rows[write.key] = store.Row(value, self.version)
            if value is None:
                del self.rows[write.key]
        return store.Committed(transaction, store.Outcome.APPLIED)

    async def submit(self, number, key, body=b""):
        reply = mailbox.Reply()
        submitted = request.Request(f"e1.i1.{number}", "pole", "notices", False, 15.0, body)
        mailbox.post(self.task.inbox, messages.SubmitRequest(submitted, key, reply))
        return await mailbox.wait(reply, LIMIT_SECONDS)

    async def ask(self, message):
        reply = mailbox.Reply()
        mailbox.post(self.task.inbox, message(reply))
        return await mailbox.wait(reply, LIMIT_SECONDS)


@pytest.mark.parametrize("body", [b"done \xff", b"x" * (claim_row.MAX_ANSWER_BYTES + 1)])
async def test_a_recorded_outcome_is_read_back_by_another_process(body):
    async with EntryHarness() as first:
        first.body = body
        assert (await first.submit(1, "k")).ok_value.body == body
        # A drain waits until the outcome is recorded in the row.
        assert await first.ask(messages.Drain) is True
    async with EntryHarness() as second:
        second.rows, second.version = first.rows, first.version
        again = await second.submit(2, "k")
        assert second.runs == []
    if len(body) <= claim_row.MAX_ANSWER_BYTES:
        assert again.ok_value.body == body
    else:
        assert again.err_value.verdict is verdict.Verdict.RAN


async def test_without_the_store_only_keyed_requests_are_refused():
    async with EntryHarness() as entry:
        entry.mode = "down"
        refusal = (await entry.submit(1, "k")).err_value
        assert refusal.verdict is verdict.Verdict.NOT_RUN
        assert refusal.code is verdict.Code.STORE_UNAVAILABLE
        assert (await entry.submit(2, "")).is_ok()
        assert entry.runs == ["e1.i1.2"]


async def test_a_row_that_cannot_be_read_runs_nothing():
    async with EntryHarness() as entry:
        entry.rows[claim_row.row_key("pole", "k")] = store.Row({"other": 1}, 1)
        refusal = (await entry.submit(1, "k")).err_value
        assert refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert entry.runs == []


async def test_a_full_links_mailbox_refuses_with_not_run():
    async with EntryHarness(links_capacity=1) as entry:
        for fake in entry.fake_tasks:
            fake.cancel()
        mailbox.post(entry.links, "fill")
        refusal = (await entry.submit(1, "")).err_value
        assert refusal.verdict is verdict.Verdict.NOT_RUN


async def test_an_answer_is_found_and_the_dump_is_plain():
    async with EntryHarness() as entry:
        mailbox.post(entry.task.inbox, messages.ConfigChanged(config.Snapshot(revision=1)))
        await entry.submit(1, "")
        found = await entry.ask(lambda reply: messages.FindRequest("e1.i1.1", "pole", reply))
        dump = json.loads(json.dumps(await entry.ask(messages.DumpState)))
    assert found.ok_value.body == b"done"
    assert dump["requests"]["ended"] == 1
    assert dump["backend_servers"]["a1"]["in_use"] == 0


async def test_closing_answers_the_callers_that_wait():
    async with EntryHarness() as entry:
        entry.fake_tasks[0].cancel()
        waiting = asyncio.create_task(entry.submit(1, ""))
        await entry.ask(messages.DumpState)
    assert (await waiting).err_value.verdict is verdict.Verdict.MAY_HAVE_RUN
