"""Actor that owns the state of a stand-in and serves messages from its HTTP handlers."""

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
    """Handle to a running actor: its mailbox and its task."""

    inbox: mailbox.Mailbox
    running: task.Task


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    message: typing.Any
    reply: mailbox.Reply


def start(name: str, handler: Handler, inbox: mailbox.Mailbox | None = None) -> Owner:
    """Start a task that calls ``handler`` with each message and its reply slot, in order."""
    inbox = inbox or mailbox.create(name)
    return Owner(inbox, task.start(name, _run(inbox, handler)))


async def close(owner: Owner) -> None:
    """Cancel the task and wait until it has ended."""
    await task.close(owner.running)


async def ask(
    owner: Owner, message: typing.Any, timeout_seconds: float = ANSWER_TIMEOUT_SECONDS
) -> typing.Any:
    """Send a message and wait for its answer.

    Raises
    ------
    TimeoutError
        No answer came within ``timeout_seconds``.
    """
    reply = mailbox.Reply()
    await mailbox.put(owner.inbox, _PendingRequest(message, reply))
    return await mailbox.wait(reply, timeout_seconds)


def answer(reply: mailbox.Reply | None, value: typing.Any) -> None:
    """Answer a message; do nothing for a message that was posted without a reply slot."""
    if reply is not None:
        mailbox.answer(reply, value)


async def _run(inbox: mailbox.Mailbox, handler: Handler) -> None:
    while True:
        item = await mailbox.take(inbox)
        message, reply = (
            (item.message, item.reply) if isinstance(item, _PendingRequest) else (item, None)
        )
        try:
            handler(message, reply)
        except Exception:
            logger.exception("%s: error while handling %s", inbox.name, type(message).__name__)
