"""Task that manages the requests that this entry has accepted."""

from __future__ import annotations

import collections
import itertools
import logging
import time
import typing

import result

from peridothatch_core.message import link
from peridothatch_core.message import store as store_messages
from peridothatch_core.model import datacentre, verdict
from peridothatch_core.route import dispatch, exchange, flight
from peridothatch_daemon import messages
from peridothatch_daemon.decide import alarm, claim_row, loop
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.model import config

logger = logging.getLogger(__name__)

SETTLE_TIMEOUT_SECONDS = 5.0

Clock = typing.Callable[[], float]


class Dispatch:
    """The dispatch task, with its state and mailboxes."""

    __slots__ = ("_alarm", "_claims", "_clock", "_drains", "_inbox", "_links", "_own",
                 "_replies", "_state", "_store", "_tags", "_task")  # fmt: skip

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
        self._claims: dict[str, exchange.Claim | exchange.Settle] = {}
        self._replies: dict[int, mailbox.Reply] = {}
        self._tags = itertools.count()
        self._drains: list[mailbox.Reply] = []
        self._own: collections.deque[typing.Any] = collections.deque()
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
    """Start the task; it posts ``SendToPeer`` to ``links`` and ``Commit`` to ``store``."""
    dispatch_task = Dispatch(flight.create(settings), links, store, clock)
    body = loop.run(dispatch_task.inbox, lambda message: _handle(dispatch_task, message))
    dispatch_task._task = task.start("dispatch", body, on_failure)
    return dispatch_task


async def close(dispatch_task: Dispatch) -> None:
    """Stop the task; requests still pending are answered with ``MAY_HAVE_RUN``."""
    alarm.cancel(dispatch_task._alarm)
    if dispatch_task._task is not None:
        await task.close(dispatch_task._task)
    refusal = verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Code.UNAVAILABLE,
        "this entry stopped before the request finished",
    )
    for reply in dispatch_task._replies.values():
        mailbox.answer(reply, result.Err(refusal))


def _handle(dispatch_task: Dispatch, message: typing.Any) -> None:
    if isinstance(message, messages.DumpState):
        mailbox.answer(message.reply, flight.dump(dispatch_task._state))
        return
    if isinstance(message, messages.Drain):
        dispatch_task._drains.append(message.reply)
    now = dispatch_task._clock()
    dispatch_task._own.append(message)
    while dispatch_task._own:
        event = _to_event(dispatch_task, dispatch_task._own.popleft())
        if event is not None:
            for effect in dispatch.step(dispatch_task._state, event, now):
                _execute_effect(dispatch_task, effect)
    alarm.reschedule(dispatch_task._alarm, dispatch.next_wake(dispatch_task._state), now)
    if dispatch_task._drains and dispatch.idle(dispatch_task._state):
        for reply in dispatch_task._drains:
            mailbox.answer(reply, True)
        dispatch_task._drains.clear()


def _to_event(dispatch_task: Dispatch, message: typing.Any) -> exchange.Event | None:
    match message:
        case messages.ReceivedFromPeer():
            return exchange.Received(message.peer, message.message)
        case messages.PeerConnected():
            return exchange.PeerUp(message.peer)
        case messages.PeerDisconnected():
            return exchange.PeerDown(message.peer)
        case messages.SubmitRequest():
            tag = _register_reply(dispatch_task, message.reply)
            return exchange.Submitted(tag, message.request, message.idempotency_key)
        case messages.FindRequest():
            tag = _register_reply(dispatch_task, message.reply)
            return exchange.Find(tag, message.request_id, message.customer)
        case store_messages.Committed():
            return _to_store_event(dispatch_task, message)
        case messages.ConfigChanged():
            return _to_configured(message.snapshot)
        case messages.Drain():
            return exchange.Drain()
        case messages.Tick():
            return exchange.Tick()
        case exchange.Unsent():
            return message
    return None


def _register_reply(dispatch_task: Dispatch, reply: mailbox.Reply) -> int:
    tag = next(dispatch_task._tags)
    dispatch_task._replies[tag] = reply
    return tag


def _to_configured(snapshot: config.Snapshot) -> exchange.Configured:
    out_of_service = frozenset(
        centre.name
        for centre in snapshot.data_centres.values()
        if centre.service is not datacentre.Service.IN
    )
    return exchange.Configured(len(snapshot.customers), out_of_service)


def _to_store_event(
    dispatch_task: Dispatch, message: store_messages.Committed
) -> exchange.Event | None:
    match dispatch_task._claims.pop(message.transaction.id, None):
        case exchange.Claim(row=row):
            found = claim_row.parse_conflicting_row(message)
            return exchange.Claimed(row.request_id, message.outcome, found)
        case exchange.Settle(request_id=request_id):
            return exchange.Settled(request_id, message.outcome)
    return None


def _execute_effect(dispatch_task: Dispatch, effect: exchange.Effect) -> None:
    match effect:
        case exchange.Send():
            _send(dispatch_task, effect)
        case exchange.Reply():
            mailbox.answer(dispatch_task._replies.pop(effect.tag), effect.outcome)
        case exchange.Claim():
            _commit(
                dispatch_task, effect, claim_row.claim_transaction(effect), effect.timeout_seconds
            )
        case exchange.Settle():
            _commit(
                dispatch_task, effect, claim_row.settle_transaction(effect), SETTLE_TIMEOUT_SECONDS
            )


def _send(dispatch_task: Dispatch, effect: exchange.Send) -> None:
    accepted = _post_or_warn(
        dispatch_task._links, messages.SendToPeer(effect.peer_id, effect.message)
    )
    if not accepted and isinstance(effect.message, link.Dispatch):
        _post_to_self(dispatch_task, exchange.Unsent(effect.peer_id, effect.message.request.id))


def _commit(
    dispatch_task: Dispatch,
    effect: exchange.Claim | exchange.Settle,
    transaction: store_messages.Transaction,
    timeout_seconds: float,
) -> None:
    dispatch_task._claims[transaction.id] = effect
    message = messages.Commit(transaction, dispatch_task.inbox, timeout_seconds)
    if not _post_or_warn(dispatch_task._store, message):
        outcome = store_messages.Outcome.NOT_SENT
        _post_to_self(dispatch_task, store_messages.Committed(transaction, outcome))


def _post_to_self(dispatch_task: Dispatch, message: typing.Any) -> None:
    """Queue a message of this task to itself, to be processed after the current one."""
    dispatch_task._own.append(message)


def _post_or_warn(target: mailbox.Mailbox, message: typing.Any) -> bool:
    accepted = mailbox.post(target, message)
    if not accepted:
        logger.warning(
            "mailbox %s is full; dropped a %s message", target.name, type(message).__name__
        )
    return accepted
