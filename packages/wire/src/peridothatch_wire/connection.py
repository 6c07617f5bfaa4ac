"""Framed connections between peridothatch processes.

Each connection has a task that reads messages from the socket into a mailbox, and a task that
writes messages from a mailbox to the socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import typing

from peridothatch_core.message import link
from peridothatch_wire import codec, frame, mailbox, task

if typing.TYPE_CHECKING:
    import ssl

logger = logging.getLogger(__name__)

IDLE_TIMEOUT_SECONDS = 6.0
HELLO_TIMEOUT_SECONDS = 3.0
DIAL_TIMEOUT_SECONDS = 3.0
OUTBOX_MESSAGES = 4096
CLOSE = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A peer has completed the handshake."""

    connection: Connection
    hello: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message has been received."""

    connection: Connection
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The connection has ended."""

    connection: Connection
    reason: str


class Connection:
    """An open connection to a peer."""

    __slots__ = ("_bytes_in", "_bytes_out", "_outbox", "_peer")

    def __init__(self, peer: link.Hello) -> None:
        self._peer = peer
        self._outbox = mailbox.create(f"outbox {peer.id}", OUTBOX_MESSAGES)
        self._bytes_in = 0
        self._bytes_out = 0

    @property
    def peer(self) -> link.Hello:
        """The ``Hello`` message of the peer."""
        return self._peer

    @property
    def bytes_in(self) -> int:
        """Number of bytes received, including frame headers."""
        return self._bytes_in

    @property
    def bytes_out(self) -> int:
        """Number of bytes sent, including frame headers."""
        return self._bytes_out


def send(connection: Connection, message: link.Message) -> bool:
    """Queue a message for the peer; return ``False`` if the outbox is full and it is dropped."""
    return mailbox.post(connection._outbox, message)


def close(connection: Connection) -> None:
    """Close the connection after the queued messages have been written."""
    mailbox.post(connection._outbox, CLOSE)


async def dial(
    host: str,
    port: int,
    own: link.Hello,
    inbox: mailbox.Mailbox,
    ssl_context: ssl.SSLContext | None = None,
) -> None:
    """Connect to a peer, exchange ``Hello`` messages and serve the connection until it ends.

    Raises
    ------
    OSError, TimeoutError, codec.DecodeError, ConnectionError
        The connection could not be opened.
    """
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, port, ssl=ssl_context), DIAL_TIMEOUT_SECONDS
    )
    try:
        writer.write(frame.pack(codec.encode(own)))
        peer = await _read_hello(reader)
        await _serve(peer, reader, writer, inbox)
    finally:
        await _close_writer(writer)


async def listen(
    host: str,
    port: int,
    own: typing.Callable[[], link.Hello],
    inbox: mailbox.Mailbox,
    ssl_context: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """Listen for connections and serve each of them until it ends."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await _accept(reader, writer, own(), inbox)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            logger.info("rejected an incoming connection: %s", error)
        finally:
            await _close_writer(writer)

    return await asyncio.start_server(accept, host, port, ssl=ssl_context)


async def _accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own: link.Hello,
    inbox: mailbox.Mailbox,
) -> None:
    peer = await _read_hello(reader)
    if peer.protocol_version != own.protocol_version:
        reason = f"protocol version {peer.protocol_version}; expected {own.protocol_version}"
        writer.write(frame.pack(codec.encode(link.Rejected(reason))))
        await writer.drain()
        return
    writer.write(frame.pack(codec.encode(own)))
    await _serve(peer, reader, writer, inbox)


async def _read_hello(reader: asyncio.StreamReader) -> link.Hello:
    body = await asyncio.wait_for(frame.read(reader), HELLO_TIMEOUT_SECONDS)
    message = codec.decode(body)
    if isinstance(message, link.Rejected):
        raise ConnectionError(f"peer rejected the connection: {message.reason}")
    if not isinstance(message, link.Hello):
        raise codec.DecodeError(f"first message is {type(message).__name__}; expected Hello")
    return message


async def _serve(
    peer: link.Hello,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    inbox: mailbox.Mailbox,
) -> None:
    connection = Connection(peer)
    await mailbox.put(inbox, Opened(connection, peer))
    writing = task.start(f"write {peer.id}", _write(connection, writer))
    reading = task.start(f"read {peer.id}", _read(connection, reader, inbox))
    reason = "closed"
    try:
        await task.wait_any([writing, reading])
        reason = _end_reason(reading) or _end_reason(writing) or reason
    finally:
        await task.close(writing)
        await task.close(reading)
        # Waits for space in a full inbox, because the end of a connection must not be dropped.
        await mailbox.put(inbox, Closed(connection, reason))


def _end_reason(ended: task.Task) -> str:
    error = task.failure(ended)
    return f"{type(error).__name__}: {error}" if error else ""


async def _read(
    connection: Connection, reader: asyncio.StreamReader, inbox: mailbox.Mailbox
) -> None:
    """Read messages until the connection ends or is idle for too long."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            body = await asyncio.wait_for(frame.read(reader), IDLE_TIMEOUT_SECONDS)
            connection._bytes_in += len(body) + 4
            await mailbox.put(inbox, Received(connection, codec.decode(body)))


async def _write(connection: Connection, writer: asyncio.StreamWriter) -> None:
    """Write queued messages in batches."""
    with contextlib.suppress(ConnectionError):
        while True:
            batch = [await mailbox.take(connection._outbox)]
            batch += mailbox.take_available(connection._outbox, 64)
            frames = [frame.pack(codec.encode(item)) for item in batch if item is not CLOSE]
            data = b"".join(frames)
            connection._bytes_out += len(data)
            writer.write(data)
            await writer.drain()
            if CLOSE in batch:
                return


async def _close_writer(writer: asyncio.StreamWriter) -> None:
    writer.close()
    with contextlib.suppress(ConnectionError, asyncio.TimeoutError, TimeoutError):
        await asyncio.wait_for(writer.wait_closed(), 1.0)
