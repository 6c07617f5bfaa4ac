"""The task that owns the requests which an entry has accepted."""

from __future__ import annotations

import itertools
import logging
import time
import typing

import result

from peridothatch_core.model import verdict
from peridothatch_core.route import dispatch, flight
from peridothatch_daemon import messages
from peridothatch_daemon.decide import alarm, loop
from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

Clock = typing.Callable[[], float]


class Dispatch:
    """The running task and what it owns."""

    __slots__ = ("_alarm", "_clock", "_drains", "_inbox", "_links", "_replies", "_state",
                 "_store", "_tags", "_task")  # fmt: skip

    def __init__(
        self,
        state: flight.State,
        links: mailbox.Mailbox,
        store: mailbox.Mailbox,
        clock: Clock,
    ) -> None:
        self._inbox = mailbox.create("dispatch")
        self._state = state
        self._links = links
        self._store = store
        self._clock = clock
        self._alarm = alarm.Alarm(self._inbox)
        self._replies: dict[int, mailbox.Reply] = {}
        self._tags = itertools.count()
        self._drains: list[mailbox.Reply] = []
        self._task: task.Task | None = None

    @property
    def inbox(self) -> mailbox.Mailbox:
        """Mailbox of the task."""
        return self._inbox

    @property
    def task(self) -> task.Task | None:
        """The running task."""
        return self._task


def start(
    settings: flight.Settings,
    links: mailbox.Mailbox,
    store: mailbox.Mailbox,
    clock: Clock = time.monotonic,
    on_failure: typing.Callable[[], None] | None = None,
) -> Dispatch:
    """Start the task; ``links`` takes ``ToPeer``, ``store`` takes ``Commit``."""
    owned = Dispatch(flight.State(settings), links, store, clock)
    body = loop.run(owned.inbox, lambda message: _handle(owned, message))
    owned._task = task.start("dispatch", body, on_failure)
    return owned


async def close(owned: Dispatch) -> None:
    """Stop the task; callers that still wait are told that their request may have run."""
    alarm.clear(owned._alarm)
    if owned._task is not None:
        await task.close(owned._task)
    refusal = verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN, verdict.Code.UNAVAILABLE, "this entry has stopped"
    )
    for reply in owned._replies.values():
        mailbox.answer(reply, result.Err(refusal))


def _handle(owned: Dispatch, message: typing.Any) -> None:
    if isinstance(message, messages.DumpState):
        mailbox.answer(message.reply, flight.dump(owned._state))
        return
    if isinstance(message, messages.Drain):
        owned._drains.append(message.reply)
    event = _event(owned, message)
    if event is None:
        return
    now = owned._clock()
    for effect in dispatch.step(owned._state, event, now):
        _apply(owned, effect)
    alarm.set_to(owned._alarm, dispatch.next_wake(owned._state), now)
    if owned._drains and dispatch.idle(owned._state):
        for reply in owned._drains:
            mailbox.answer(reply, True)
        owned._drains.clear()


def _event(owned: Dispatch, message: typing.Any) -> dispatch.Event | None:
    match message:
        case messages.FromPeer():
            return dispatch.Received(message.peer, message.message)
        case messages.PeerOpened():
            return dispatch.PeerUp(message.peer)
        case messages.PeerClosed():
            return dispatch.PeerDown(message.peer)
        case messages.SubmitRequest():
            tag = _tag(owned, message.reply)
            return dispatch.Submitted(tag, message.request, message.idempotency_key)
        case messages.FindRequest():
            tag = _tag(owned, message.reply)
            return dispatch.Find(tag, message.request_id, message.customer)
        case messages.Drain():
            return dispatch.Drain()
        case messages.Tick():
            return dispatch.Tick()
    return None


def _tag(owned: Dispatch, reply: mailbox.Reply) -> int:
    tag = next(owned._tags)
    owned._replies[tag] = reply
    return tag


def _apply(owned: Dispatch, effect: dispatch.Effect) -> None:
    match effect:
        case dispatch.Send():
            _post(owned._links, messages.ToPeer(effect.peer_id, effect.message))
        case dispatch.Reply():
            mailbox.answer(owned._replies.pop(effect.tag), effect.outcome)


def _post(target: mailbox.Mailbox, message: typing.Any) -> None:
    if not mailbox.post(target, message):
        logger.warning("mailbox %s is full; dropped %s", target.name, type(message).__name__)
