"""The ticket service client runs against a stand-in for the service."""

import asyncio

import pytest
from aiohttp import web

from peridothatch_core.message import tickets
from peridothatch_platform import settings, ticket_service
from peridothatch_wire import mailbox


@pytest.fixture
def serve(unused_tcp_port_factory):
    started = []

    async def start(answer=None, status=200):
        asked = []

        async def advise(request):
            asked.append(await request.json())
            return web.json_response(answer, status=status)

        app = web.Application()
        app.router.add_post("/peridothatch/advise", advise)
        runner = web.AppRunner(app)
        await runner.setup()
        port = unused_tcp_port_factory()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        started.append(runner)
        return settings.Address("127.0.0.1", port), asked

    return start


async def _ask(address):
    client = await ticket_service.start(address)
    answered = asyncio.get_running_loop().create_future()
    mailbox.post(
        client.inbox,
        tickets.Ask("token", "00000000000000aa.0.1", ("w-1", "w-2"), answered.set_result),
    )
    async with asyncio.timeout(20):
        found = await answered
    await ticket_service.close(client)
    return found


async def test_granted_tickets_are_returned_by_worker(serve):
    body = {"granted": [["w-1", "c81e"]], "validity_ms": 3000}
    address, asked = await serve(body)
    found = await _ask(address)
    assert (found.token, found.granted, found.valid_ms) == ("token", {"w-1": "c81e"}, 3000)
    assert asked == [{"step_id": "00000000000000aa.0.1", "workers": ["w-1", "w-2"]}]


@pytest.mark.parametrize(("body", "status"), [({}, 429), ({"granted": "none"}, 200)])
async def test_a_refusal_or_an_unreadable_answer_grants_nothing(serve, body, status):
    address, _ = await serve(body, status)
    found = await _ask(address)
    assert found.granted is None
    assert found.reason


async def test_an_unreachable_service_grants_nothing(unused_tcp_port):
    found = await _ask(settings.Address("127.0.0.1", unused_tcp_port))
    assert found.granted is None
