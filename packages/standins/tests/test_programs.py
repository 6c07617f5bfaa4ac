"""Stand-ins as programs: start, printed URL, clean shutdown and injected faults."""

import asyncio
import json
import signal
import subprocess
import sys
import urllib.request

import aiohttp
import pytest

from peridothatch_standins import backend_server, server, serving

WORKER = ["worker", "--id", "w", "--object-store", "http://127.0.0.1:9", "--accelerators", "8"]
PROGRAMS = [
    (["table_service"], "/switches", "mode"),
    (["object_store"], "/v1/objects", "keys"),
    ([*WORKER, "--cores", "64", "--memory-mb", "262144"], "/v1/worker", "incarnation"),
    (["backend_server", "--id", "b", "--service", "notices"], "/v1/server", "slots"),
]


@pytest.mark.parametrize(("arguments", "path", "field"), PROGRAMS, ids=lambda item: item[0])
def test_a_program_serves_and_stops_on_sigterm(arguments, path, field):
    module, *options = arguments
    command = [sys.executable, "-m", f"peridothatch_standins.{module}", *options]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        word, url = process.stdout.readline().split()
        with urllib.request.urlopen(url + path, timeout=10) as response:
            assert field in json.load(response)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
    assert word == "ready"


@pytest.fixture
async def session():
    running = await backend_server.start(serving.Server("b", "notices", 2, 64))
    async with aiohttp.ClientSession(running.url) as opened:
        yield opened
    await server.close(running)


async def call(session, request_id, **fields):
    headers = {"X-Request-Id": request_id}
    async with session.post("/v1/serve", json=fields, headers=headers) as response:
        return response.status, response.headers["X-Request-Id"], await response.json()


async def test_delivery_counts_stay_correct_under_faults(session):
    """Guards against wrong delivery counts: a truncated notice counts, a failed one does not."""
    notice = {"operation": "notice", "notice": "n", "compound": "c"}
    assert (await call(session, "1", **notice))[:2] == (200, "1")
    for mode in ("truncated", "failing"):
        await (await session.post("/switches", json={"mode": mode})).read()
        if mode == "truncated":
            with pytest.raises(aiohttp.ClientError):
                await call(session, "2", **notice)
        else:
            assert (await call(session, "3", **notice))[0] == 500
    async with session.get("/v1/deliveries") as response:
        listed = await response.json()
    assert listed == {"deliveries": [{"notice": "n", "compound": "c", "count": 2}]}


async def test_crossed_answers_keep_their_ids(session):
    """Guards against a swap of bodies without their request ids, which no caller can detect."""
    await (await session.post("/switches", json={"mode": "crossed"})).read()
    first = session.post(
        "/v1/serve", json={"operation": "echo", "text": "x"}, headers={"X-Request-Id": "1"}
    )
    second = call(session, "2", operation="echo", text="y")
    (one, two) = await asyncio.gather(first, second)
    assert one.headers["X-Request-Id"] == "2"
    assert (await one.json())["text"] == "y"
    assert (two[1], two[2]["text"]) == ("1", "x")


async def test_a_full_backend_server_refuses_without_running(session):
    """Guards against running more requests at once than there are slots."""
    calls = [call(session, str(n), operation="slow", delay_ms=300) for n in range(3)]
    statuses = sorted(status for status, _, _ in await asyncio.gather(*calls))
    assert statuses == [200, 200, 503]


async def test_a_connection_over_the_limit_is_closed_without_an_answer():
    """The limit must be enforced, so that an agent that opens too many connections fails."""
    running = await backend_server.start(serving.Server("b", "notices", 8, 2))
    opened = [await asyncio.open_connection("127.0.0.1", running.port) for _ in range(3)]
    request = b"GET /v1/server HTTP/1.1\r\nHost: b\r\n\r\n"
    answers = []
    for reader, writer in opened:
        writer.write(request)
        try:
            answers.append(await reader.read(12))
        except ConnectionError:
            answers.append(b"")
    for _, writer in opened:
        writer.close()
    assert answers == [b"HTTP/1.1 200", b"HTTP/1.1 200", b""]
    await server.close(running)
