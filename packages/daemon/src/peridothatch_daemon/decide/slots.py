"""Task that manages the requests that an agent forwards to its backend server."""

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
    """The slots task, with its state and mailboxes."""

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
    """Start the task; it posts ``SendToPeer`` to ``links`` and ``CallBackend`` to ``backend``."""
    slots_task = Slots(holding.State(own), links, backend, clock)
    body = loop.run(slots_task.inbox, lambda message: _handle(slots_task, message))
    slots_task._task = task.start("slots", body, on_failure)
    heartbeat = task.post_periodically(
        HEARTBEAT_PERIOD_SECONDS, slots_task.inbox, agent_exchange.HeartbeatDue()
    )
    slots_task._beat = task.start("slots heartbeat", heartbeat)
    mailbox.post(backend, messages.WatchBackend(slots_task.inbox))
    return slots_task


async def close(slots_task: Slots) -> None:
    """Stop the task."""
    alarm.cancel(slots_task._alarm)
    for running in (slots_task._beat, slots_task._task):
        if running is not None:
            await task.close(running)


def _handle(slots_task: Slots, message: typing.Any) -> None:
    if isinstance(message, messages.DumpState):
        mailbox.answer(message.reply, holding.dump(slots_task._state))
        return
    if isinstance(message, messages.Drain):
        slots_task._drains.append(message.reply)
    now = slots_task._clock()
    slots_task._own.append(message)
    while slots_task._own:
        event = _to_event(slots_task._own.popleft())
        if event is not None:
            for effect in slots.step(slots_task._state, event, now):
                _execute_effect(slots_task, effect)
    alarm.reschedule(slots_task._alarm, slots.next_wake(slots_task._state), now)
    if slots_task._drains and slots.idle(slots_task._state, now):
        for reply in slots_task._drains:
            mailbox.answer(reply, True)
        slots_task._drains.clear()


def _to_event(message: typing.Any) -> agent_exchange.Event | None:
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


def _execute_effect(slots_task: Slots, effect: agent_exchange.Effect) -> None:
    match effect:
        case agent_exchange.Send():
            _post_or_warn(slots_task._links, messages.SendToPeer(effect.peer_id, effect.message))
        case agent_exchange.Call():
            call = messages.CallBackend(effect.request, effect.timeout_seconds, slots_task.inbox)
            if not _post_or_warn(slots_task._backend, call):
                detail = "the backend server was not called: the queue of calls is full"
                ended = agent_exchange.NotServed(
                    effect.request.id, agent_exchange.BUSY_STATUS, detail
                )
                # This bypasses the mailbox, which may be full, so that the slot is released.
                slots_task._own.append(ended)


def _post_or_warn(target: mailbox.Mailbox, message: typing.Any) -> bool:
    accepted = mailbox.post(target, message)
    if not accepted:
        logger.warning(
            "mailbox %s is full; dropped a %s message", target.name, type(message).__name__
        )
    return accepted
