"""A request from ``SubmitRequest`` through dispatch and slots to an HTTP server and back."""

import asyncio
import contextlib

import aiohttp.web

from peridothatch_core.message import link
from peridothatch_core.model import request, verdict
from peridothatch_core.route import flight
from peridothatch_daemon import messages
from peridothatch_daemon.decide import dispatch, slots
from peridothatch_daemon.outlet import backend
from peridothatch_wire import mailbox

ENTRY = link.Hello(1, "entry", "e1", "i1", "accra-a", "gh-south")
AGENT = link.Hello(1, "agent", "a1", "j1", "accra-a", "gh-south")
LIMIT_SECONDS = 20.0


async def _describe(_request):
    server = {"id": "b1", "service": "notices", "slots": 8, "connections": 64, "leaving": False}
    return aiohttp.web.json_response(server)


async def _serve(incoming):
    body = b"served " + await incoming.read()
    return aiohttp.web.Response(
        body=body, headers={"X-Request-Id": incoming.headers["X-Request-Id"]}
    )


@contextlib.asynccontextmanager
async def http_server(serve):
    app = aiohttp.web.Application()
    app.router.add_get("/v1/server", _describe)
    app.router.add_post("/v1/serve", serve)
    runner = aiohttp.web.AppRunner(app)
    await runner.setup()
    site = aiohttp.web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


async def _forward(links, sender, receiver):
    while True:
        message = await mailbox.take(links)
        mailbox.post(receiver, messages.ReceivedFromPeer(sender, message.message))


@contextlib.asynccontextmanager
async def connected_entry(serve):
    """Yield the dispatch task of an entry and the slots task of the agent connected to it."""
    async with http_server(serve) as url:
        entry_links, agent_links = mailbox.create("entry links"), mailbox.create("agent links")
        outlet = backend.start(url, AGENT)
        agent = slots.start(AGENT, agent_links, outlet.inbox)
        entry = dispatch.start(
            flight.Settings("e1", "i1", "accra-a", "gh-south"),
            entry_links,
            mailbox.create("store"),
        )
        forwarders = [
            asyncio.create_task(_forward(entry_links, ENTRY, agent.inbox)),
            asyncio.create_task(_forward(agent_links, AGENT, entry.inbox)),
        ]
        mailbox.post(entry.inbox, messages.PeerConnected(AGENT))
        mailbox.post(agent.inbox, messages.PeerConnected(ENTRY))
        yield entry, agent
        for forwarder in forwarders:
            forwarder.cancel()
        await dispatch.close(entry)
        await slots.close(agent)
        await backend.close(outlet)


def submit(inbox, number, body=b"", idempotent=False):
    reply = mailbox.Reply()
    submitted = request.Request(f"e1.i1.{number}", "pole", "notices", idempotent, 15.0, body)
    mailbox.post(inbox, messages.SubmitRequest(submitted, "", reply))
    return reply


async def test_an_answer_of_the_backend_server_reaches_its_caller():
    async with connected_entry(_serve) as (entry, _agent):
        replies = [submit(entry.inbox, number, b"%d" % number) for number in range(30)]
        for number, reply in enumerate(replies):
            answer = (await mailbox.wait(reply, LIMIT_SECONDS)).unwrap()
            assert answer.verdict is verdict.Verdict.RAN
            assert answer.body == b"served %d" % number


async def test_drain_ends_after_the_last_answer():
    async with connected_entry(_serve) as (entry, agent):
        first = submit(entry.inbox, 1)
        await mailbox.wait(first, LIMIT_SECONDS)
        drained = [mailbox.Reply(), mailbox.Reply()]
        mailbox.post(entry.inbox, messages.Drain(drained[0]))
        late = submit(entry.inbox, 2)
        assert await mailbox.wait(drained[0], LIMIT_SECONDS) is True
        refusal = (await mailbox.wait(late, LIMIT_SECONDS)).unwrap_err()
        assert refusal.verdict is verdict.Verdict.NOT_RUN
        mailbox.post(agent.inbox, messages.Drain(drained[1]))
        assert await mailbox.wait(drained[1], LIMIT_SECONDS) is True


async def test_crossed_answers_of_the_backend_server_reach_their_own_callers():
    waiting = []

    async def cross(incoming):
        """Answer each of two requests with the id and body of the other."""
        answer = incoming.headers["X-Request-Id"], await incoming.read()
        own_answer = asyncio.get_running_loop().create_future()
        waiting.append((answer, own_answer))
        if len(waiting) == 2:
            (first, one), (second, other) = waiting
            one.set_result(second)
            other.set_result(first)
            waiting.clear()
        request_id, body = await own_answer
        return aiohttp.web.Response(body=body, headers={"X-Request-Id": request_id})

    async with connected_entry(cross) as (entry, agent):
        replies = [submit(entry.inbox, number, b"%d" % number) for number in range(20)]
        for number, reply in enumerate(replies):
            assert (await mailbox.wait(reply, LIMIT_SECONDS)).unwrap().body == b"%d" % number
        dumped = mailbox.Reply()
        mailbox.post(agent.inbox, messages.DumpState(dumped))
        dump = await mailbox.wait(dumped, LIMIT_SECONDS)
    assert dump["counters"]["crossed_answers"] == 20
    assert dump["breaches"] == {"true_not_run": 0, "no_work_to_leaving": 0}
