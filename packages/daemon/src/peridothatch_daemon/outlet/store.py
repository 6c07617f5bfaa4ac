"""The task that owns the session to the table service.

It takes ``messages.Commit``, ``messages.Read``, ``messages.DumpState`` and ``messages.Drain``.
Each attempt runs as a task of its own that reports to the mailbox, so that no message waits for
another's answer.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import logging
import math
import random
import time
import typing

import aiohttp
import pydantic

from peridothatch_daemon import messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.outlet import store_queue, store_rows
from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
MAILBOX_MESSAGES = 32_768

Clock = typing.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Handle:
    """The running store task; send messages to ``inbox``."""

    inbox: mailbox.Mailbox
    running: task.Task
    owned: _Owned


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempted:
    number: int
    result: store_queue.Answered | store_queue.Failed
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Wake:
    """Timer: a deadline, a retry or a token is due."""


@dataclasses.dataclass(slots=True)
class _Owned:
    """What the store task owns."""

    queue: store_queue.State
    session: aiohttp.ClientSession
    inbox: mailbox.Mailbox
    clock: Clock
    attempts: dict[int, task.Task] = dataclasses.field(default_factory=dict)
    late_replies: set[task.Task] = dataclasses.field(default_factory=set)
    drains: list[mailbox.Reply] = dataclasses.field(default_factory=list)
    wake: asyncio.TimerHandle | None = None
    wake_at: float = math.inf


def start(
    url: str, clock: Clock = time.monotonic, jitter: store_queue.Jitter = random.random
) -> Handle:
    """Start the task for the table service at ``url``; needs a running event loop."""
    inbox = mailbox.create("store", MAILBOX_MESSAGES)
    # Concurrency is bounded by the queue; a limit here would make attempts wait unseen.
    session = aiohttp.ClientSession(url, connector=aiohttp.TCPConnector(limit=0))
    owned = _Owned(store_queue.State(jitter), session, inbox, clock)
    running = task.start("store", loop.run(inbox, functools.partial(_handle, owned)))
    return Handle(inbox, running, owned)


async def close(handle: Handle) -> None:
    """Stop; messages that are not resolved are answered with what is known of them."""
    owned = handle.owned
    await task.close(handle.running)
    owned.queue.closing = True
    if owned.wake is not None:
        owned.wake.cancel()
    for attempt in list(owned.attempts.values()):
        await task.close(attempt)
    for message in mailbox.take_available(handle.inbox, MAILBOX_MESSAGES):
        _handle(owned, message)
    _perform(owned, store_queue.abandon(owned.queue, owned.clock()))
    for reply in owned.drains:
        mailbox.answer(reply, True)
    for late in list(owned.late_replies):
        await task.close(late)
    await owned.session.close()


def _handle(owned: _Owned, message: typing.Any) -> None:
    now = owned.clock()
    if isinstance(message, messages.Commit | messages.Read):
        _perform(owned, store_queue.accept(owned.queue, message, now))
    elif isinstance(message, _Attempted):
        _perform(owned, _attempted(owned, message, now))
    elif isinstance(message, messages.DumpState):
        described = store_queue.describe(owned.queue, now)
        mailbox.answer(message.reply, described | {"mailbox": owned.inbox.depth})
    elif isinstance(message, messages.Drain):
        owned.drains.append(message.reply)
    elif isinstance(message, _Wake):
        owned.wake_at = math.inf
        _perform(owned, store_queue.advance(owned.queue, now))
    if owned.drains and not owned.queue.items:
        for reply in owned.drains:
            mailbox.answer(reply, True)
        owned.drains.clear()
    _schedule(owned)


def _attempted(owned: _Owned, message: _Attempted, now: float) -> list[store_queue.Effect]:
    owned.attempts.pop(message.number, None)
    was_outage = owned.queue.outage
    effects = store_queue.attempted(
        owned.queue, message.number, message.result, message.seconds, now
    )
    if owned.queue.outage and not was_outage:
        detail = getattr(message.result, "detail", "")
        logger.warning("table service does not answer (%s); probing until it does", detail)
    elif was_outage and not owned.queue.outage:
        logger.warning("table service answers again")
    return effects


def _schedule(owned: _Owned) -> None:
    now = owned.clock()
    at = store_queue.next_wake(owned.queue, now)
    if at >= owned.wake_at or owned.queue.closing:
        return
    if owned.wake is not None:
        owned.wake.cancel()
    owned.wake_at = at
    running = asyncio.get_running_loop()
    owned.wake = running.call_later(max(at - now, 0.0), _fire, owned)


def _fire(owned: _Owned) -> None:
    # With a full mailbox the next message schedules the timer again.
    owned.wake_at = math.inf
    mailbox.post(owned.inbox, _Wake())


def _perform(owned: _Owned, effects: list[store_queue.Effect]) -> None:
    for effect in effects:
        if isinstance(effect, store_queue.Resolve):
            _reply(owned, effect)
        else:
            name = f"store attempt {effect.number}"
            owned.attempts[effect.number] = task.start(name, _attempt(owned, effect))


def _reply(owned: _Owned, effect: store_queue.Resolve) -> None:
    reply_to = effect.message.reply_to
    if mailbox.post(reply_to, effect.outcome):
        return
    logger.warning("mailbox %s is full; its store outcome waits", reply_to.name)
    late = task.start("late store outcome", mailbox.put(reply_to, effect.outcome))
    owned.late_replies = {item for item in owned.late_replies if item.running} | {late}


async def _attempt(owned: _Owned, effect: store_queue.Attempt) -> None:
    """Send a message once and report the result to the store task."""
    sent_at = owned.clock()
    timed_out, reached, detail = False, True, ""
    result: store_queue.Answered | store_queue.Failed | None = None
    try:
        result = await _send(owned, effect, sent_at)
    # Only these two are raised before a connection exists, so that nothing was written to it.
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        reached, detail = False, repr(error)
    except TimeoutError as error:
        timed_out, detail = True, repr(error)
    except (aiohttp.ClientError, OSError, pydantic.ValidationError) as error:
        detail = repr(error)
    # An attempt that never reports would hold its place for ever.
    except Exception as error:
        logger.exception("store attempt failed unexpectedly")
        detail = repr(error)
    if result is None:
        result = store_queue.Failed(reached, detail, timed_out)
    await mailbox.put(owned.inbox, _Attempted(effect.number, result, owned.clock() - sent_at))


async def _send(
    owned: _Owned, effect: store_queue.Attempt, sent_at: float
) -> store_queue.Answered | store_queue.Failed:
    message = effect.message
    if isinstance(message, messages.Commit):
        path = store_rows.TRANSACTIONS_PATH
        data = store_rows.encode_transaction(message.transaction)
    else:
        path = store_rows.READS_PATH
        wanted = (message.keys, message.prefixes) if message else ((), ())
        data = store_rows.encode_read(*wanted)
    timeout = aiohttp.ClientTimeout(total=effect.timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS)
    headers = {"Content-Type": "application/json"}
    async with owned.session.post(path, data=data, headers=headers, timeout=timeout) as response:
        body = await response.read()
    if message is None:
        return store_queue.Answered()
    if isinstance(message, messages.Commit):
        committed = store_rows.decode_committed(message.transaction, response.status, body)
        rows = None
    else:
        committed = None
        rows = store_rows.decode_rows(message, response.status, body, sent_at)
    if committed is None and rows is None:
        logger.error("table service answered %s with status %d", path, response.status)
        return store_queue.Failed(True, f"status {response.status}")
    return store_queue.Answered(committed, rows)
