"""Guards against callers that exhaust resources or get no verdict, and interrupted requests."""

import asyncio
import contextlib
import json

import aiohttp
import pytest
import result

from peridothatch_core.model import request, verdict
from peridothatch_daemon import messages
from peridothatch_daemon.intake import call, http
from peridothatch_wire import mailbox, task

HEADERS = {"Authorization": "Bearer token-kolar"}
REQUEST_HEAD = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-kolar\r\n"
REQUESTS_PATH = "/v1/services/notices/requests"


@contextlib.asynccontextmanager
async def run_server(client):
    ports = client.ports
    server = await http.start(http.Settings("127.0.0.1", 0, "e1", "1", client.limits), ports)
    mailbox.post(server.inbox, messages.ConfigChanged(client.snapshot))
    try:
        yield server
    finally:
        await http.close(server)


async def send_bytes(port, data, *, finish=False):
    """Send bytes, read until the connection closes and return status, headers and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if finish:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = head.decode().lower().split("\r\n")
    return int(lines[0].split()[1]), lines[1:], body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (REQUEST_HEAD + b"X: " + b"x" * 20_000, 431),
        (REQUEST_HEAD + b"X: " + b"x" * 20_000 + b"\r\nConnection: close\r\n\r\n", 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"NONSENSE\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: many\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: 2000000\r\nConnection: close\r\n\r\n", 413),
        (REQUEST_HEAD + b"Content-Length: 10\r\nConnection: close\r\n\r\n{", 408),
        (REQUEST_HEAD + b"X: y\r\n", 408),
    ],
    ids=["unfinished", "headers", "path", "nonsense", "length", "body", "slow body", "slow head"],
)
async def test_a_bad_request_gets_a_status_and_a_verdict(create_client, data, status):
    client = create_client(
        limits=call.Limits(body_timeout_seconds=0.2, header_timeout_seconds=0.2)
    )
    async with run_server(client) as server:
        answered, headers, body = await send_bytes(server.port, data)
    assert answered == status
    assert "peridothatch-verdict: not_run" in headers
    assert json.loads(body)["verdict"] == "not_run"
    assert json.loads(body)["field"]


async def test_a_connection_that_sends_nothing_is_closed(create_client):
    client = create_client(limits=call.Limits(header_timeout_seconds=0.1))
    async with run_server(client) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        assert await reader.read() == b""
        writer.close()


async def test_an_endless_body_of_a_refused_request_closes_the_connection(create_client):
    client = create_client(limits=call.Limits(linger_timeout_seconds=0.1, max_body_bytes=1000))
    async with run_server(client) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for _ in range(10_000):
                writer.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.001)
        assert server.uvicorn_server.server_state.connections == set()
        writer.close()
        del reader


async def test_too_many_requests_in_progress_are_refused(create_client):
    client = create_client(
        limits=call.Limits(max_requests_in_progress=1, reply_timeout_seconds=30.0)
    )
    async with run_server(client) as server, aiohttp.ClientSession() as session:
        base = f"http://127.0.0.1:{server.port}"
        first = asyncio.create_task(session.get(f"{base}/v1/jobs/j1", headers=HEADERS))
        received = await mailbox.take(client.ports.jobs)
        async with session.get(f"{base}/v1/jobs/j2", headers=HEADERS) as refused:
            assert refused.status == 429
            assert refused.headers["Peridothatch-Verdict"] == "not_run"
        refusal = verdict.not_run(verdict.Code.NOT_FOUND, "there is no such job")
        mailbox.answer(received.reply, result.Err(refusal))
        assert (await first).status == 404


async def test_a_full_mailbox_gives_not_run(create_client):
    client = create_client()
    while mailbox.post(client.ports.requests, "waiting"):
        pass
    status, _, body = await client.send("POST", REQUESTS_PATH, "token-kolar", b"{}")
    assert (status, json.loads(body)["verdict"]) == (429, "not_run")


async def test_a_missing_reply_gives_may_have_run(create_client):
    client = create_client(limits=call.Limits(reply_timeout_seconds=0.01))
    status, _, body = await client.send("DELETE", "/v1/jobs/j1", "token-kolar")
    assert (status, json.loads(body)["verdict"]) == (504, "may_have_run")


async def test_an_exception_in_a_handler_shows_no_traceback(create_client):
    client = create_client()

    def handler(message):
        mailbox.answer(message.reply, result.Ok("not a job"))

    async with client.run_tasks(handler):
        status, headers, body = await client.send("GET", "/v1/jobs/j1", "token-kolar")
    assert status == 500
    assert headers["peridothatch-verdict"] == "may_have_run"
    assert b"Error" not in body
    assert b"str" not in body
    assert client.state.in_progress == 0


async def test_drain_refuses_new_requests_and_finishes_those_in_flight(create_client):
    client = create_client()
    async with aiohttp.ClientSession() as session:
        async with run_server(client) as server:
            base = f"http://127.0.0.1:{server.port}"
            first = asyncio.create_task(
                session.post(base + REQUESTS_PATH, headers=HEADERS, data=b"{}")
            )
            received = await mailbox.take(client.ports.requests)
            closing = asyncio.create_task(http.close(server))
            await asyncio.sleep(0)
            async with session.post(base + REQUESTS_PATH, headers=HEADERS, data=b"{}") as refused:
                assert refused.status == 503
                assert refused.headers["Peridothatch-Verdict"] == "not_run"
            assert not closing.done()
            assert isinstance(await mailbox.take(client.ports.jobs), messages.EndLongPolls)
            answer = request.Answer(received.request.id, verdict.Verdict.RAN, 200, b"whole")
            mailbox.answer(received.reply, result.Ok(answer))
            async with await first as served:
                assert (served.status, await served.read()) == (200, b"whole")
            await closing
            assert not server.server_task.running
            with pytest.raises(aiohttp.ClientConnectionError):
                await session.get(f"{base}/metrics", headers=HEADERS)


async def test_a_disconnected_caller_does_not_block_the_drain(create_client):
    client = create_client()
    async with run_server(client) as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST_HEAD + b"Content-Length: 10\r\n\r\n{")
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        reply = mailbox.Reply()
        mailbox.post(server.inbox, messages.Drain(reply))
        assert await mailbox.wait(reply, 10.0) is True


async def test_start_raises_when_the_port_is_in_use(create_client):
    client = create_client()
    async with run_server(client) as server:
        with pytest.raises(OSError, match="in use"):
            await http.start(http.Settings("127.0.0.1", server.port, "e2", "1"), client.ports)
    assert not task.failure(server.server_task)


async def test_an_unanswered_request_is_not_answered_by_the_refusal_of_the_next(create_client):
    # The caller of the first request took "not run" for its answer, although it may have run.
    client = create_client(limits=call.Limits(reply_timeout_seconds=30.0))
    async with run_server(client) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        first = REQUEST_HEAD.replace(b"POST /v1/jobs", b"GET /v1/jobs/j1")
        writer.write(first + b"\r\n")
        received = await mailbox.take(client.ports.jobs)
        writer.write(b"NONSENSE\r\n\r\n")
        assert await reader.read() == b""
        writer.close()
        refusal = verdict.not_run(verdict.Code.NOT_FOUND, "there is no such job")
        mailbox.answer(received.reply, result.Err(refusal))


async def test_pipelined_requests_are_answered_in_order(create_client):
    client = create_client()
    heads = [b"GET /v1/none/%d HTTP/1.1\r\nHost: x\r\n\r\n" % number for number in range(200)]
    heads.append(b"GET /v1/last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    async with run_server(client) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"".join(heads))
        answers = await reader.read()
        writer.close()
    assert answers.count(b"HTTP/1.1 ") == len(heads)
