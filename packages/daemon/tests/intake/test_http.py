"""Guards against callers that hold resources or get no clear answer, and against cut requests."""

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

TOKEN = {"Authorization": "Bearer token-kolar"}
HEAD = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-kolar\r\n"
REQUESTS = "/v1/services/notices/requests"


@contextlib.asynccontextmanager
async def serving(front):
    ports = front.ports
    intake = await http.start(http.Settings("127.0.0.1", 0, "e1", "1", front.limits), ports)
    mailbox.post(intake.inbox, messages.ConfigChanged(front.snapshot))
    try:
        yield intake
    finally:
        await http.close(intake)


async def exchange(port, data, *, finish=False):
    """Send bytes and return status line, headers and body, reading to the end."""
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
        (HEAD + b"X: " + b"x" * 20_000, 431),
        (HEAD + b"X: " + b"x" * 20_000 + b"\r\nConnection: close\r\n\r\n", 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"NONSENSE\r\n\r\n", 400),
        (HEAD + b"Content-Length: many\r\n\r\n", 400),
        (HEAD + b"Content-Length: 2000000\r\nConnection: close\r\n\r\n", 413),
        (HEAD + b"Content-Length: 10\r\nConnection: close\r\n\r\n{", 408),
        (HEAD + b"X: y\r\n", 408),
    ],
    ids=["unfinished", "headers", "path", "nonsense", "length", "body", "slow body", "slow head"],
)
async def test_a_bad_request_gets_a_status_and_a_verdict(create_front, data, status):
    front = create_front(limits=call.Limits(body_seconds=0.2, header_seconds=0.2))
    async with serving(front) as intake:
        answered, headers, body = await exchange(intake.port, data)
    assert answered == status
    assert "peridothatch-verdict: not_run" in headers
    assert json.loads(body)["verdict"] == "not_run"
    assert json.loads(body)["field"]


async def test_a_silent_connection_is_closed(create_front):
    front = create_front(limits=call.Limits(header_seconds=0.1))
    async with serving(front) as intake:
        reader, writer = await asyncio.open_connection("127.0.0.1", intake.port)
        assert await reader.read() == b""
        writer.close()


async def test_the_endless_body_of_a_refused_request_is_cut_off(create_front):
    front = create_front(limits=call.Limits(linger_seconds=0.1, body_bytes=1000))
    async with serving(front) as intake:
        reader, writer = await asyncio.open_connection("127.0.0.1", intake.port)
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for _ in range(10_000):
                writer.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.001)
        assert intake.server.server_state.connections == set()
        writer.close()
        del reader


async def test_too_many_requests_in_progress_are_refused(create_front):
    front = create_front(limits=call.Limits(requests_in_progress=1, reply_seconds=30.0))
    async with serving(front) as intake, aiohttp.ClientSession() as session:
        base = f"http://127.0.0.1:{intake.port}"
        first = asyncio.create_task(session.get(f"{base}/v1/jobs/j1", headers=TOKEN))
        asked = await mailbox.take(front.ports.jobs)
        async with session.get(f"{base}/v1/jobs/j2", headers=TOKEN) as refused:
            assert refused.status == 429
            assert refused.headers["Peridothatch-Verdict"] == "not_run"
        refusal = verdict.not_run(verdict.Code.NOT_FOUND, "there is no such job")
        mailbox.answer(asked.reply, result.Err(refusal))
        assert (await first).status == 404


async def test_a_full_mailbox_is_a_true_not_run(create_front):
    front = create_front()
    while mailbox.post(front.ports.requests, "waiting"):
        pass
    status, _, body = await front.send("POST", REQUESTS, "token-kolar", b"{}")
    assert (status, json.loads(body)["verdict"]) == (429, "not_run")


async def test_a_decision_that_does_not_come_may_have_run(create_front):
    front = create_front(limits=call.Limits(reply_seconds=0.01))
    status, _, body = await front.send("DELETE", "/v1/jobs/j1", "token-kolar")
    assert (status, json.loads(body)["verdict"]) == (504, "may_have_run")


async def test_a_fault_in_a_handler_shows_no_traceback(create_front):
    front = create_front()

    def decide(message):
        mailbox.answer(message.reply, result.Ok("not a job"))

    async with front.answering(decide):
        status, headers, body = await front.send("GET", "/v1/jobs/j1", "token-kolar")
    assert status == 500
    assert headers["peridothatch-verdict"] == "may_have_run"
    assert b"Error" not in body
    assert b"str" not in body
    assert front.state.in_progress == 0


async def test_drain_refuses_new_requests_and_finishes_those_in_flight(create_front):
    front = create_front()
    async with aiohttp.ClientSession() as session:
        async with serving(front) as intake:
            base = f"http://127.0.0.1:{intake.port}"
            first = asyncio.create_task(session.post(base + REQUESTS, headers=TOKEN, data=b"{}"))
            asked = await mailbox.take(front.ports.requests)
            closing = asyncio.create_task(http.close(intake))
            await asyncio.sleep(0)
            async with session.post(base + REQUESTS, headers=TOKEN, data=b"{}") as refused:
                assert refused.status == 503
                assert refused.headers["Peridothatch-Verdict"] == "not_run"
            assert not closing.done()
            assert isinstance(await mailbox.take(front.ports.jobs), messages.EndLongPolls)
            answer = request.Answer(asked.request.id, verdict.Verdict.RAN, 200, b"whole")
            mailbox.answer(asked.reply, result.Ok(answer))
            async with await first as served:
                assert (served.status, await served.read()) == (200, b"whole")
            await closing
            assert not intake.serving.running
            with pytest.raises(aiohttp.ClientConnectionError):
                await session.get(f"{base}/metrics", headers=TOKEN)


async def test_a_caller_that_hangs_up_frees_its_place(create_front):
    front = create_front()
    async with serving(front) as intake:
        _, writer = await asyncio.open_connection("127.0.0.1", intake.port)
        writer.write(HEAD + b"Content-Length: 10\r\n\r\n{")
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        reply = mailbox.Reply()
        mailbox.post(intake.inbox, messages.Drain(reply))
        assert await mailbox.wait(reply, 10.0) is True


async def test_a_port_in_use_is_an_error_at_start(create_front):
    front = create_front()
    async with serving(front) as intake:
        with pytest.raises(OSError, match="in use"):
            await http.start(http.Settings("127.0.0.1", intake.port, "e2", "1"), front.ports)
    assert not task.failure(intake.serving)
