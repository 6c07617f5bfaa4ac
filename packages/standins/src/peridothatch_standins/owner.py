"""The task that owns the state of a stand-in; HTTP handlers reach it by messages."""

from __future__ import annotations

import dataclasses
import logging
import typing

from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_SECONDS = 600.0

Handler = typing.Callable[[typing.Any, "mailbox.Reply | None"], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """A running owner and its mailbox."""

    inbox: mailbox.Mailbox
    running: task.Task


@dataclasses.dataclass(frozen=True, slots=True)
class _Asked:
    message: typing.Any
    reply: mailbox.Reply


def start(name: str, handle: Handler, inbox: mailbox.Mailbox | None = None) -> Owner:
    """Start a task that passes each message, and the place for its answer, to ``handle``."""
    inbox = inbox or mailbox.create(name)
    return Owner(inbox, task.start(name, _run(inbox, handle)))


async def close(owner: Owner) -> None:
    """Stop the task."""
    await task.close(owner.running)


async def ask(
    owner: Owner, message: typing.Any, timeout_seconds: float = ANSWER_TIMEOUT_SECONDS
) -> typing.Any:
    """Send a message and return its answer.

    Raises
    ------
    TimeoutError
        No answer came within ``timeout_seconds``.
    """
    reply = mailbox.Reply()
    await mailbox.put(owner.inbox, _Asked(message, reply))
    return await mailbox.wait(reply, timeout_seconds)


def answer(reply: mailbox.Reply | None, value: typing.Any) -> None:
    """Answer a message; one that was posted without a place for the answer gets none."""
    if reply is not None:
        mailbox.answer(reply, value)


async def _run(inbox: mailbox.Mailbox, handle: Handler) -> None:
    while True:
        item = await mailbox.take(inbox)
        message, reply = (item.message, item.reply) if isinstance(item, _Asked) else (item, None)
        try:
            handle(message, reply)
        except Exception:
            logger.exception("%s failed on %s", inbox.name, type(message).__name__)
