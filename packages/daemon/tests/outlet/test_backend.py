"""Guards against false verdicts after malformed answers of a backend server, over real HTTP."""

import asyncio
import contextlib
import re

import pytest

from peridothatch_core.message import link
from peridothatch_core.model import request
from peridothatch_core.route import agent_exchange
from peridothatch_daemon import messages
from peridothatch_daemon.outlet import backend
from peridothatch_wire import mailbox

OWN = link.Hello(1, "agent", "a1", "j1", "accra-a", "gh-south")
SERVER = b'{"id": "b1", "service": "notices", "slots": 8, "connections": 64, "leaving": true}'
LIMIT_SECONDS = 20.0


def http_response(status, body, *headers, length=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body) if length is None else length}"]
    return ("\r\n".join([*lines, *headers]) + "\r\n\r\n").encode() + body


class Server:
    """Answers with the bytes that ``respond`` returns for a request id; ``None``: no answer."""

    def __init__(self, respond):
        self.respond = respond
        self.served = []

    async def handle(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"(?i)^content-length: (\d+)", head, re.MULTILINE)
                await reader.readexactly(int(length[1]) if length else 0)
                if head.startswith("GET /v1/server"):
                    writer.write(http_response(200, SERVER))
                    continue
                request_id = re.search(r"(?i)^x-request-id: (\S+)", head, re.MULTILINE)[1]
                self.served.append(request_id)
                data = self.respond(request_id)
                if data is None:
                    await reader.read()
                writer.write(data or b"")
                if b"Close: yes" in (data or b""):
                    break
        writer.close()


@contextlib.asynccontextmanager
async def start_client(respond):
    server = Server(respond)
    listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = backend.start(f"http://127.0.0.1:{port}", OWN)
    yield client, server
    await backend.close(client)
    listener.close()


async def call_backend(client, request_id="r1", timeout_seconds=15.0):
    inbox = mailbox.create("slots")
    wanted = request.Request(request_id, "pole", "notices", False, 15.0, b"body")
    mailbox.post(client.inbox, messages.CallBackend(wanted, timeout_seconds, inbox))
    return await asyncio.wait_for(mailbox.take(inbox), LIMIT_SECONDS)


@pytest.mark.parametrize(("status", "answered"), [(200, "r1"), (500, "r1"), (200, "r2")])
async def test_a_complete_answer_carries_the_request_id_of_its_header(status, answered):
    async with start_client(
        lambda _r: http_response(status, b"done", f"X-Request-Id: {answered}")
    ) as (client, _):
        report = await call_backend(client)
    assert report == agent_exchange.Served("r1", answered, status, b"done", report.content_type)


@pytest.mark.parametrize(
    "respond",
    [
        lambda r: http_response(200, b"do", f"X-Request-Id: {r}", "Close: yes", length=4),
        lambda _r: http_response(200, b"done"),
        lambda r: http_response(200, b"", f"X-Request-Id: {r}", length=2**20 + 1),
        lambda _r: b"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nClose: yes\r\n\r\ndone",
        lambda _r: b"Close: yes, not HTTP\r\n\r\n",
        lambda _r: http_response(503, b'{"reason": "maintenance"}'),
        lambda _r: http_response(503, b'{"reason": "no free slot"}', "Close: yes", length=30),
    ],
    ids=["truncated", "no id", "too long", "no length", "garbage", "other 503", "cut 503"],
)  # fmt: skip
async def test_a_request_with_a_malformed_answer_may_have_run(respond):
    async with start_client(respond) as (client, server):
        report = await call_backend(client)
        assert server.served == ["r1"]
    assert isinstance(report, agent_exchange.NotServed)
    assert report.status == 0


async def test_a_request_without_an_answer_may_have_run():
    async with start_client(lambda _r: None) as (client, _server):
        report = await call_backend(client, timeout_seconds=0.2)
    assert report.status == 0


async def test_a_request_refused_for_lack_of_a_slot_has_not_run():
    body = b'{"reason": "no free slot"}'
    async with start_client(lambda r: http_response(503, body, f"X-Request-Id: {r}")) as (
        client,
        _server,
    ):
        report = await call_backend(client)
    assert report.status == agent_exchange.BUSY_STATUS


async def test_a_request_whose_connection_is_refused_has_not_run():
    listener = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    listener.close()
    await listener.wait_closed()
    client = backend.start(f"http://127.0.0.1:{port}", OWN)
    report = await call_backend(client)
    await backend.close(client)
    assert report.status == agent_exchange.UNREACHABLE_STATUS


async def test_a_redirect_is_not_followed():
    def respond(request_id):
        return http_response(307, b"", f"X-Request-Id: {request_id}", "Location: /v1/serve")

    async with start_client(respond) as (client, server):
        report = await call_backend(client)
        assert server.served == ["r1"]
    assert report.status == 307


async def test_a_slow_answer_does_not_delay_another():
    async with start_client(
        lambda r: None if r == "slow" else http_response(200, b"", f"X-Request-Id: {r}")
    ) as (
        client,
        _server,
    ):
        slow = asyncio.create_task(call_backend(client, "slow", 15.0))
        report = await call_backend(client, "quick")
        assert report.answered_id == "quick"
        assert not slow.done()
        slow.cancel()


async def test_the_description_of_the_server_is_reported():
    async with start_client(lambda _r: None) as (client, _server):
        inbox = mailbox.create("slots")
        mailbox.post(client.inbox, messages.WatchBackend(inbox))
        polled = await asyncio.wait_for(mailbox.take(inbox), LIMIT_SECONDS)
    assert (polled.server.id, polled.server.leaving) == ("b1", True)
    assert (polled.server.data_centre, polled.server.region) == ("accra-a", "gh-south")
