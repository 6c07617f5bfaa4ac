"""Property test of the protocol layer over byte streams split at any position.

Guards against streams that crash a connection, let its state grow, or leave the listener unable
to answer an ordinary request.
"""

import asyncio

import hypothesis
import hypothesis.strategies as st
import uvicorn
import uvicorn.server

from peridothatch_core.connect import limits, pool
from peridothatch_daemon.intake import protocol

BOUNDS = limits.Limits(head_bytes=2_000, head_lines=50, framing_bytes=2_000, pipelined_requests=2)
BUDGET = limits.Budget(4, 4, 4, 1, 400_000)
ORDINARY = b"POST /ok HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
HIGH_WATER_BYTES = 2_000
LONGEST_STREAM_BYTES = 60_000

PIECES = st.one_of(
    st.sampled_from(
        [
            ORDINARY,
            b"GET / HTTP/1.1\r\n\r\n" * 40,
            b"\r\n",
            b"\r\n" * 1_500,
            b"GET /" + b"x" * 3_000,
            b"GET / HTTP/1.1\r\n",
            b"X-Long: " + b"x" * 1_500,
            b"a: b\r\n" * 60,
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"3\r\nabc\r\n",
            b"3;" + b"e" * 900 + b"\r\nabc\r\n",
            b"0\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"T: u\r\n" * 500,
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;" + b"e" * 2_500,
            b"T: u\r\n" * 400,
            b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
            b"GET /\xff HTTP/1.1\r\n\r\n",
            b"CONNECT a:1 HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.0\r\n\r\n",
        ]
    ),
    st.binary(max_size=200),
)


class FakeTransport(asyncio.Transport):
    """Transport of which the test delivers the bytes while reading is not paused."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.unread = 0
        self.reads = True
        self.connection = None
        self.is_paused = self.is_closed = self.is_writing_paused = False

    def get_extra_info(self, name, default=None):
        return ("127.0.0.1", 1) if name in ("peername", "sockname") else default

    def write(self, data):
        self.written += data
        self.unread += 0 if self.reads else len(data)
        if self.unread > HIGH_WATER_BYTES and not self.is_writing_paused:
            self.is_writing_paused = True
            self.connection.pause_writing()

    def get_write_buffer_size(self):
        return self.unread

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


async def application(_, receive, send):
    size, more = 0, True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
        size, more = size + len(message["body"]), message["more_body"]
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"%02d" % (size % 100)})


class Server:
    """The protocol layer of one listener, without sockets."""

    def __init__(self):
        self.pool = pool.Pool(BUDGET)
        self.reasons = []
        listener = protocol.Listener(
            "test", BOUNDS, self.pool, protocol.encode_problem, self._report
        )
        protocol_class = protocol.create_protocol(listener)
        self.config = uvicorn.Config(application, http=protocol_class, lifespan="off", ws="none")
        self.config.load()
        self.state = uvicorn.server.ServerState()

    def connect(self, *, reads=True):
        transport = FakeTransport()
        transport.reads = reads
        connection = self.config.http_protocol_class(self.config, self.state, {})
        transport.connection = connection
        connection.connection_made(transport)
        return connection, transport

    def _report(self, reason, *_):
        self.reasons.append(reason)


async def settle():
    for _ in range(20):
        await asyncio.sleep(0)


async def deliver(server, connection, transport, part):
    """Deliver one read as an event loop does; return whether the connection still reads."""
    for _ in range(200):
        if not transport.is_paused:
            break
        await settle()
    if transport.is_closed or transport.is_paused:
        return False
    view = connection.get_buffer(len(part))
    view[: len(part)] = part
    connection.buffer_updated(len(part))
    assert len(connection._waiting) <= protocol.READ_BYTES
    shortest = len(b"GET / HTTP/1.1\r\n\r\n")
    assert connection._usage.unanswered <= 2 + protocol.PART_BYTES // shortest + 1
    assert connection._usage.head_lines <= BOUNDS.head_lines + protocol.PART_BYTES
    if not transport.is_closed:
        # A head that passed the limit was refused at once, so no state beyond it remains.
        assert connection._usage.head_bytes <= BOUNDS.head_bytes
        assert connection._usage.framing_bytes <= BOUNDS.framing_bytes
    assert transport.unread <= HIGH_WATER_BYTES + 1_000
    assert server.pool.memory_bytes <= BUDGET.memory_bytes
    return True


async def play(data, cuts, reads):
    server = Server()
    connection, transport = server.connect(reads=reads)
    bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in zip(bounds, bounds[1:], strict=False):
        for begin in range(start, end, protocol.READ_BYTES):
            part = data[begin : min(end, begin + protocol.READ_BYTES)]
            if not await deliver(server, connection, transport, part):
                break
    await settle()
    connection.connection_lost(None)
    await settle()
    assert limits.Reason.ERROR not in server.reasons
    assert pool.count(server.pool) == server.pool.memory_bytes == 0
    assert not server.state.connections
    await ask_ordinary(server)


async def ask_ordinary(server):
    connection, transport = server.connect()
    assert await deliver(server, connection, transport, ORDINARY)
    await settle()
    assert transport.written.startswith(b"HTTP/1.1 200")
    assert transport.written.endswith(b"03")
    assert not transport.is_closed
    connection.connection_lost(None)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    st.lists(PIECES, max_size=25).map(lambda pieces: b"".join(pieces)[:LONGEST_STREAM_BYTES]),
    st.lists(st.integers(0, LONGEST_STREAM_BYTES), max_size=30),
    st.booleans(),
)
def test_no_stream_crashes_the_layer_or_grows_its_state(data, cuts, reads):
    asyncio.run(play(data, cuts, reads))


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    st.integers(1, 12), st.lists(st.integers(0, 700), max_size=20), st.integers(0, 20)
)
def test_requests_within_the_limits_are_answered_however_they_are_split(count, cuts, empty):
    # A wrong count would refuse ordinary requests that arrive in odd parts.
    async def run():
        server = Server()
        connection, transport = server.connect()
        data = (b"\r\n" * empty + ORDINARY) * count
        bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
        for start, end in zip(bounds, bounds[1:], strict=False):
            assert await deliver(server, connection, transport, data[start:end])
        for _ in range(count):
            await settle()
        assert transport.written.count(b"HTTP/1.1 200") == count
        assert server.reasons == []
        connection.connection_lost(None)

    asyncio.run(run())
