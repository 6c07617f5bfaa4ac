"""The task that owns the requests which an agent passes to its backend server."""

from __future__ import annotations

import collections
import logging
import time
import typing

from peridothatch_core.route import agent_exchange, holding, slots
from peridothatch_daemon import messages
from peridothatch_daemon.decide import alarm, loop
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link

logger = logging.getLogger(__name__)

HEARTBEAT_PERIOD_SECONDS = 2.0

Clock = typing.Callable[[], float]


class Slots:
    """The running task and what it owns."""

    __slots__ = ("_alarm", "_backend", "_beat", "_clock", "_drains", "_inbox", "_links",
                 "_own", "_state", "_task")  # fmt: skip

    def __init__(
        self, state: holding.State, links: mailbox.Mailbox, backend: mailbox.Mailbox, clock: Clock
    ) -> None:
        self._inbox = mailbox.create("slots")
        self._state = state
        self._links = links
        self._backend = backend
        self._clock = clock
        self._alarm = alarm.Alarm(self._inbox)
        self._drains: list[mailbox.Reply] = []
        self._own: collections.deque[typing.Any] = collections.deque()
        self._task: task.Task | None = None
        self._beat: task.Task | None = None

    @property
    def inbox(self) -> mailbox.Mailbox:
        """Mailbox of the task."""
        return self._inbox

    @property
    def task(self) -> task.Task | None:
        """The running task."""
        return self._task


def start(
    own: link.Hello,
    links: mailbox.Mailbox,
    backend: mailbox.Mailbox,
    clock: Clock = time.monotonic,
    on_failure: typing.Callable[[], None] | None = None,
) -> Slots:
    """Start the task; ``links`` takes ``SendToPeer``, ``backend`` takes ``CallBackend``."""
    owned = Slots(holding.State(own), links, backend, clock)
    body = loop.run(owned.inbox, lambda message: _handle(owned, message))
    owned._task = task.start("slots", body, on_failure)
    beat = task.post_periodically(
        HEARTBEAT_PERIOD_SECONDS, owned.inbox, agent_exchange.HeartbeatDue()
    )
    owned._beat = task.start("slots heartbeat", beat)
    mailbox.post(backend, messages.WatchBackend(owned.inbox))
    return owned


async def close(owned: Slots) -> None:
    """Stop the task."""
    alarm.clear(owned._alarm)
    for running in (owned._beat, owned._task):
        if running is not None:
            await task.close(running)


def _handle(owned: Slots, message: typing.Any) -> None:
    if isinstance(message, messages.DumpState):
        mailbox.answer(message.reply, holding.dump(owned._state))
        return
    if isinstance(message, messages.Drain):
        owned._drains.append(message.reply)
    now = owned._clock()
    owned._own.append(message)
    while owned._own:
        event = _event(owned._own.popleft())
        if event is not None:
            for effect in slots.step(owned._state, event, now):
                _apply(owned, effect)
    alarm.set_to(owned._alarm, slots.next_wake(owned._state), now)
    if owned._drains and slots.idle(owned._state, now):
        for reply in owned._drains:
            mailbox.answer(reply, True)
        owned._drains.clear()


def _event(message: typing.Any) -> agent_exchange.Event | None:
    match message:
        case messages.ReceivedFromPeer():
            return agent_exchange.Received(message.peer, message.message)
        case messages.PeerConnected():
            return agent_exchange.PeerUp(message.peer)
        case messages.PeerDisconnected():
            return agent_exchange.PeerDown(message.peer)
        case messages.Drain():
            return agent_exchange.Drain()
        case messages.Tick():
            return agent_exchange.Tick()
        case (
            agent_exchange.Served()
            | agent_exchange.NotServed()
            | agent_exchange.ServerSeen()
            | agent_exchange.HeartbeatDue()
        ):
            return message
    return None


def _apply(owned: Slots, effect: agent_exchange.Effect) -> None:
    match effect:
        case agent_exchange.Send():
            _post(owned._links, messages.SendToPeer(effect.peer_id, effect.message))
        case agent_exchange.Call():
            call = messages.CallBackend(effect.request, effect.timeout_seconds, owned.inbox)
            if not _post(owned._backend, call):
                detail = "the call was not made: too many calls wait"
                ended = agent_exchange.NotServed(
                    effect.request.id, agent_exchange.BUSY_STATUS, detail
                )
                # Not through the mailbox, which may be full: the slot must become free again.
                owned._own.append(ended)


def _post(target: mailbox.Mailbox, message: typing.Any) -> bool:
    accepted = mailbox.post(target, message)
    if not accepted:
        logger.warning("mailbox %s is full; dropped %s", target.name, type(message).__name__)
    return accepted
