"""Bounded mailboxes for messages between tasks."""

from __future__ import annotations

import asyncio
import typing


class Mailbox:
    """A bounded message queue that is read by one task."""

    __slots__ = ("_dropped", "_name", "_queue")

    def __init__(self, name: str, capacity: int) -> None:
        self._name = name
        self._queue: asyncio.Queue[typing.Any] = asyncio.Queue(capacity)
        self._dropped = 0

    @property
    def name(self) -> str:
        """Name used in logs and state dumps."""
        return self._name

    @property
    def depth(self) -> int:
        """Number of queued messages."""
        return self._queue.qsize()

    @property
    def dropped(self) -> int:
        """Number of messages dropped because the mailbox was full."""
        return self._dropped


class Reply:
    """A future for the answer to a message."""

    __slots__ = ("_future",)

    def __init__(self) -> None:
        self._future: asyncio.Future[typing.Any] = asyncio.get_running_loop().create_future()


def create(name: str, capacity: int = 4096) -> Mailbox:
    """Return an empty mailbox."""
    return Mailbox(name, capacity)


def post(mailbox: Mailbox, message: typing.Any) -> bool:
    """Add a message without waiting; return ``False`` if the mailbox is full."""
    try:
        mailbox._queue.put_nowait(message)
    except asyncio.QueueFull:
        mailbox._dropped += 1
        return False
    return True


async def put(mailbox: Mailbox, message: typing.Any) -> None:
    """Add a message, waiting for space, so that a slow reader applies backpressure."""
    await mailbox._queue.put(message)


async def take(mailbox: Mailbox) -> typing.Any:
    """Wait for the next message and return it."""
    return await mailbox._queue.get()


def take_available(mailbox: Mailbox, limit: int) -> list[typing.Any]:
    """Return up to ``limit`` messages that are already queued."""
    messages = []
    while len(messages) < limit and not mailbox._queue.empty():
        messages.append(mailbox._queue.get_nowait())
    return messages


def answer(reply: Reply, value: typing.Any) -> None:
    """Set the answer; ignored if one is set already or the waiting task has given up."""
    if not reply._future.done():
        reply._future.set_result(value)


async def wait(reply: Reply, timeout_seconds: float) -> typing.Any:
    """Wait for the answer and return it.

    Raises
    ------
    TimeoutError
        No answer was set within ``timeout_seconds``.
    """
    return await asyncio.wait_for(reply._future, timeout_seconds)
