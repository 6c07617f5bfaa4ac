"""Bounded mailboxes through which tasks talk."""

from __future__ import annotations

import asyncio
import typing


class Mailbox:
    """A bounded queue with one reading task."""

    __slots__ = ("_dropped", "_name", "_queue")

    def __init__(self, name: str, capacity: int) -> None:
        self._name = name
        self._queue: asyncio.Queue[typing.Any] = asyncio.Queue(capacity)
        self._dropped = 0

    @property
    def name(self) -> str:
        """Name in logs and state dumps."""
        return self._name

    @property
    def depth(self) -> int:
        """Number of messages that wait."""
        return self._queue.qsize()

    @property
    def dropped(self) -> int:
        """Number of messages refused because the mailbox was full."""
        return self._dropped


class Reply:
    """A place for the one answer to a message."""

    __slots__ = ("_future",)

    def __init__(self) -> None:
        self._future: asyncio.Future[typing.Any] = asyncio.get_running_loop().create_future()


def create(name: str, capacity: int = 4096) -> Mailbox:
    """Return an empty mailbox."""
    return Mailbox(name, capacity)


def post(mailbox: Mailbox, message: typing.Any) -> bool:
    """Add a message without waiting; return whether there was room."""
    try:
        mailbox._queue.put_nowait(message)
    except asyncio.QueueFull:
        mailbox._dropped += 1
        return False
    return True


async def put(mailbox: Mailbox, message: typing.Any) -> None:
    """Add a message, waiting for room, so that a slow reader slows its sources."""
    await mailbox._queue.put(message)


async def take(mailbox: Mailbox) -> typing.Any:
    """Return the next message, waiting for one."""
    return await mailbox._queue.get()


def take_available(mailbox: Mailbox, limit: int) -> list[typing.Any]:
    """Return up to ``limit`` messages that wait already."""
    messages = []
    while len(messages) < limit and not mailbox._queue.empty():
        messages.append(mailbox._queue.get_nowait())
    return messages


def answer(reply: Reply, value: typing.Any) -> None:
    """Give the answer; a second answer and one nobody waits for are dropped."""
    if not reply._future.done():
        reply._future.set_result(value)


async def wait(reply: Reply, timeout_seconds: float) -> typing.Any:
    """Return the answer.

    Raises
    ------
    TimeoutError
        No answer came within ``timeout_seconds``.
    """
    return await asyncio.wait_for(reply._future, timeout_seconds)
