"""The task that owns the requests which an entry has accepted."""

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
    """The running task and what it owns."""

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
    """Start the task; ``links`` takes ``SendToPeer``, ``store`` takes ``Commit``."""
    owned = Dispatch(flight.create(settings), links, store, clock)
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
    now = owned._clock()
    owned._own.append(message)
    while owned._own:
        event = _event(owned, owned._own.popleft())
        if event is not None:
            for effect in dispatch.step(owned._state, event, now):
                _apply(owned, effect)
    alarm.set_to(owned._alarm, dispatch.next_wake(owned._state), now)
    if owned._drains and dispatch.idle(owned._state):
        for reply in owned._drains:
            mailbox.answer(reply, True)
        owned._drains.clear()


def _event(owned: Dispatch, message: typing.Any) -> exchange.Event | None:
    match message:
        case messages.ReceivedFromPeer():
            return exchange.Received(message.peer, message.message)
        case messages.PeerConnected():
            return exchange.PeerUp(message.peer)
        case messages.PeerDisconnected():
            return exchange.PeerDown(message.peer)
        case messages.SubmitRequest():
            tag = _tag(owned, message.reply)
            return exchange.Submitted(tag, message.request, message.idempotency_key)
        case messages.FindRequest():
            tag = _tag(owned, message.reply)
            return exchange.Find(tag, message.request_id, message.customer)
        case store_messages.Committed():
            return _committed(owned, message)
        case messages.ConfigChanged():
            return _configured(message.snapshot)
        case messages.Drain():
            return exchange.Drain()
        case messages.Tick():
            return exchange.Tick()
        case exchange.Unsent():
            return message
    return None


def _tag(owned: Dispatch, reply: mailbox.Reply) -> int:
    tag = next(owned._tags)
    owned._replies[tag] = reply
    return tag


def _configured(snapshot: config.Snapshot) -> exchange.Configured:
    out = frozenset(
        centre.name
        for centre in snapshot.data_centres.values()
        if centre.service is not datacentre.Service.IN
    )
    return exchange.Configured(len(snapshot.customers), out)


def _committed(owned: Dispatch, message: store_messages.Committed) -> exchange.Event | None:
    match owned._claims.pop(message.transaction.id, None):
        case exchange.Claim(row=row):
            found = claim_row.conflicting(message)
            return exchange.Claimed(row.request_id, message.outcome, found)
        case exchange.Settle(request_id=request_id):
            return exchange.Settled(request_id, message.outcome)
    return None


def _apply(owned: Dispatch, effect: exchange.Effect) -> None:
    match effect:
        case exchange.Send():
            _send(owned, effect)
        case exchange.Reply():
            mailbox.answer(owned._replies.pop(effect.tag), effect.outcome)
        case exchange.Claim():
            _commit(owned, effect, claim_row.claim(effect), effect.timeout_seconds)
        case exchange.Settle():
            _commit(owned, effect, claim_row.settle(effect), SETTLE_TIMEOUT_SECONDS)


def _send(owned: Dispatch, effect: exchange.Send) -> None:
    accepted = _post(owned._links, messages.SendToPeer(effect.peer_id, effect.message))
    if not accepted and isinstance(effect.message, link.Dispatch):
        _later(owned, exchange.Unsent(effect.peer_id, effect.message.request.id))


def _commit(
    owned: Dispatch,
    effect: exchange.Claim | exchange.Settle,
    transaction: store_messages.Transaction,
    timeout_seconds: float,
) -> None:
    owned._claims[transaction.id] = effect
    message = messages.Commit(transaction, owned.inbox, timeout_seconds)
    if not _post(owned._store, message):
        outcome = store_messages.Outcome.NOT_SENT
        _later(owned, store_messages.Committed(transaction, outcome))


def _later(owned: Dispatch, message: typing.Any) -> None:
    """Handle a message of this task to itself after the one in hand."""
    owned._own.append(message)


def _post(target: mailbox.Mailbox, message: typing.Any) -> bool:
    accepted = mailbox.post(target, message)
    if not accepted:
        logger.warning("mailbox %s is full; dropped %s", target.name, type(message).__name__)
    return accepted
