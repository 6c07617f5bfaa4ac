"""HTTP client of the table service: the task that owns the session.

It takes ``messages.Commit``, ``messages.Read``, ``messages.DumpState`` and ``messages.Drain``.
Each attempt runs in its own task and posts its result to the mailbox, so that no message waits for
the answer to another.
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
    state: _State


@dataclasses.dataclass(frozen=True, slots=True)
class _AttemptFinished:
    number: int
    result: store_queue.Answered | store_queue.Failed
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _TimerFired:
    """A deadline or a retry is due, or a token is available."""


@dataclasses.dataclass(slots=True)
class _State:
    """State of the store task."""

    queue: store_queue.State
    session: aiohttp.ClientSession
    inbox: mailbox.Mailbox
    clock: Clock
    attempts: dict[int, task.Task] = dataclasses.field(default_factory=dict)
    waiting_replies: set[task.Task] = dataclasses.field(default_factory=set)
    drain_replies: list[mailbox.Reply] = dataclasses.field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    timer_at: float = math.inf


def start(
    url: str, clock: Clock = time.monotonic, jitter: store_queue.Jitter = random.random
) -> Handle:
    """Start the task for the table service at ``url``; needs a running event loop."""
    inbox = mailbox.create("store", MAILBOX_MESSAGES)
    # ``store_queue`` limits concurrency. With a connector limit, attempts that count as in flight
    # would wait inside aiohttp.
    session = aiohttp.ClientSession(url, connector=aiohttp.TCPConnector(limit=0))
    state = _State(store_queue.State(jitter), session, inbox, clock)
    running = task.start("store", loop.run(inbox, functools.partial(_handle, state)))
    return Handle(inbox, running, state)


async def close(handle: Handle) -> None:
    """Stop the task; each unresolved message is answered with what is known of its outcome."""
    state = handle.state
    await task.close(handle.running)
    state.queue.closing = True
    if state.timer is not None:
        state.timer.cancel()
    for attempt in list(state.attempts.values()):
        await task.close(attempt)
    for message in mailbox.take_available(handle.inbox, MAILBOX_MESSAGES):
        _handle(state, message)
    _execute(state, store_queue.resolve_all(state.queue, state.clock()))
    for reply in state.drain_replies:
        mailbox.answer(reply, True)
    for waiting in list(state.waiting_replies):
        await task.close(waiting)
    await state.session.close()


def _handle(state: _State, message: typing.Any) -> None:
    now = state.clock()
    if isinstance(message, messages.Commit | messages.Read):
        _execute(state, store_queue.accept(state.queue, message, now))
    elif isinstance(message, _AttemptFinished):
        _execute(state, _record_attempt(state, message, now))
    elif isinstance(message, messages.DumpState):
        description = store_queue.describe(state.queue, now)
        mailbox.answer(message.reply, description | {"mailbox": state.inbox.depth})
    elif isinstance(message, messages.Drain):
        state.drain_replies.append(message.reply)
    elif isinstance(message, _TimerFired):
        state.timer_at = math.inf
        _execute(state, store_queue.advance(state.queue, now))
    if state.drain_replies and not state.queue.pending:
        for reply in state.drain_replies:
            mailbox.answer(reply, True)
        state.drain_replies.clear()
    _schedule_timer(state)


def _record_attempt(
    state: _State, message: _AttemptFinished, now: float
) -> list[store_queue.Effect]:
    state.attempts.pop(message.number, None)
    was_outage = state.queue.outage
    effects = store_queue.record_result(
        state.queue, message.number, message.result, message.seconds, now
    )
    if state.queue.outage and not was_outage:
        detail = getattr(message.result, "detail", "")
        logger.warning("table service does not answer (%s); sending only probes", detail)
    elif was_outage and not state.queue.outage:
        logger.warning("table service answers again; increasing the send rate")
    return effects


def _schedule_timer(state: _State) -> None:
    now = state.clock()
    due_at = store_queue.next_due_time(state.queue, now)
    if due_at >= state.timer_at or state.queue.closing:
        return
    if state.timer is not None:
        state.timer.cancel()
    state.timer_at = due_at
    running = asyncio.get_running_loop()
    state.timer = running.call_later(max(due_at - now, 0.0), _on_timer, state)


def _on_timer(state: _State) -> None:
    # If the mailbox is full, handling the next message schedules the timer again.
    state.timer_at = math.inf
    mailbox.post(state.inbox, _TimerFired())


def _execute(state: _State, effects: list[store_queue.Effect]) -> None:
    for effect in effects:
        if isinstance(effect, store_queue.Resolve):
            _send_outcome(state, effect)
        else:
            name = f"store attempt {effect.number}"
            state.attempts[effect.number] = task.start(name, _run_attempt(state, effect))


def _send_outcome(state: _State, effect: store_queue.Resolve) -> None:
    reply_to = effect.message.reply_to
    if mailbox.post(reply_to, effect.outcome):
        return
    logger.warning("mailbox %s is full; waiting to deliver a store outcome", reply_to.name)
    waiting = task.start("delayed store outcome", mailbox.put(reply_to, effect.outcome))
    state.waiting_replies = {item for item in state.waiting_replies if item.running} | {waiting}


async def _run_attempt(state: _State, effect: store_queue.Attempt) -> None:
    """Send a message once and post the result to the store task."""
    sent_at = state.clock()
    timed_out, may_have_reached, detail = False, True, ""
    result: store_queue.Answered | store_queue.Failed | None = None
    try:
        result = await _send(state, effect, sent_at)
    # Only these two are raised before a connection exists, so nothing was sent.
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        may_have_reached, detail = False, repr(error)
    except TimeoutError as error:
        timed_out, detail = True, repr(error)
    except (aiohttp.ClientError, OSError, pydantic.ValidationError) as error:
        detail = repr(error)
    # Without a result, the attempt would count as in flight forever.
    except Exception as error:
        logger.exception("unexpected error in a store attempt")
        detail = repr(error)
    if result is None:
        result = store_queue.Failed(may_have_reached, detail, timed_out)
    await mailbox.put(
        state.inbox, _AttemptFinished(effect.number, result, state.clock() - sent_at)
    )


async def _send(
    state: _State, effect: store_queue.Attempt, sent_at: float
) -> store_queue.Answered | store_queue.Failed:
    message = effect.message
    if isinstance(message, messages.Commit):
        path = store_rows.TRANSACTIONS_PATH
        data = store_rows.encode_transaction(message.transaction)
    else:
        path = store_rows.READS_PATH
        selection = (message.keys, message.prefixes) if message else ((), ())
        data = store_rows.encode_read(*selection)
    timeout = aiohttp.ClientTimeout(total=effect.timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS)
    headers = {"Content-Type": "application/json"}
    async with state.session.post(path, data=data, headers=headers, timeout=timeout) as response:
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
