"""Clients outside the limits neither end a process nor exhaust its memory and descriptors.

Each test runs one pattern against all listeners of an entry and then of an agent, which are
processes of their own. In a trial such clients ended a process, which ran out of memory.
"""

import asyncio
import contextlib
import itertools

import crowd_harness
import pytest

pytestmark = [pytest.mark.alone, pytest.mark.xdist_group("crowds")]

BLOCK = 64 * 1024
MB = 1024 * 1024
START = b"GET /jobs/ HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED = b"POST /jobs/00000000000000aa HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED += b"Transfer-Encoding: chunked\r\n\r\n"


def _repeat(prefix, block, total_bytes):
    """Return a function that returns the chunks of one client."""
    return lambda: itertools.chain([prefix], itertools.repeat(block, total_bytes // len(block)))


LONG_LINE = b"X-Long: " + b"x" * 60_000 + b"\r\n"
SHORT_LINES = b"a: b\r\n" * 10_000
REQUESTS = b"GET /jobs/ HTTP/1.1\r\n\r\n" * 2_500
EXTENSION = b"1;" + b"e" * 60_000 + b"\r\nx\r\n"

PATTERNS = {
    "head_of_long_lines": (4, _repeat(START, LONG_LINE, 40 * MB), BLOCK),
    "header_line_without_end": (4, _repeat(START + b"X-Long: ", b"x" * BLOCK, 40 * MB), BLOCK),
    "request_line_without_end": (4, _repeat(b"GET /", b"x" * BLOCK, 40 * MB), BLOCK),
    "head_of_short_lines": (4, _repeat(START, SHORT_LINES, 6 * MB), BLOCK),
    "empty_lines_before_a_request": (4, _repeat(b"", b"\r\n" * (BLOCK // 2), 24 * MB), BLOCK),
    "trailers_without_end": (4, _repeat(CHUNKED + b"0\r\n", SHORT_LINES, 6 * MB), BLOCK),
    "trailer_line_without_end": (
        4,
        _repeat(CHUNKED + b"0\r\nX-Long: ", b"x" * BLOCK, 40 * MB),
        BLOCK,
    ),
    "chunk_extensions": (4, _repeat(CHUNKED, EXTENSION, 24 * MB), BLOCK),
    "body_without_end": (
        4,
        _repeat(CHUNKED, b"%x\r\n" % BLOCK + b"x" * BLOCK + b"\r\n", 40 * MB),
        BLOCK,
    ),
    "body_announced_and_not_sent": (
        60,
        lambda: [START.replace(b"GET", b"POST") + b"Content-Length: 200000\r\n\r\n" + b"x" * 100],
        BLOCK,
    ),
    "pipelined_requests_with_answers_unread": (4, _repeat(b"", REQUESTS, 6 * MB), 0),
    "answers_read_one_byte_a_second": (
        40,
        lambda: [b"GET /metrics HTTP/1.1\r\n\r\n" * 100, None, None, None],
        1,
    ),
    "idle_connections": (300, list, BLOCK),
    "heads_of_many_clients_without_end": (
        300,
        lambda: [START + b"a: b\r\n" * 2_000, None, None],
        BLOCK,
    ),
}


@pytest.mark.parametrize("pattern", PATTERNS)
async def test_a_crowd_leaves_both_processes_within_their_limits(
    tmp_path, store, worker, unused_tcp_port_factory, pattern
):
    connections, chunks, read_bytes = PATTERNS[pattern]
    async with contextlib.AsyncExitStack() as stack:
        for role in ("entry", "agent"):
            process = await stack.enter_async_context(
                crowd_harness.running(tmp_path, role, store, worker, unused_tcp_port_factory)
            )
            crowd = asyncio.create_task(
                crowd_harness.attack(process.ports, connections, chunks, read_bytes)
            )
            most_descriptors = 0
            while not crowd.done():
                most_descriptors = max(most_descriptors, process.descriptors)
                assert process.peak_mb < crowd_harness.MEMORY_MB, role
                await asyncio.sleep(0.1)
            await crowd
            assert process.running.returncode is None, role
            assert most_descriptors < crowd_harness.MAX_DESCRIPTORS, role
            assert process.peak_mb < crowd_harness.MEMORY_MB, role
            assert await crowd_harness.is_answering(process, role), role
