"""The task that passes calls on to other entries while this one has lost the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import peers as peer_messages
from peridothatch_core.message import rows
from peridothatch_core.model import entries, tables
from peridothatch_core.reception import peers
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log, messages, records
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.reception import calls

REGISTER_SECONDS = 1.0
"""Pause before the entry's row is written again, and longest wait for the answer."""

TRY_SECONDS = 0.8
"""Longest wait for another entry: a write to the store from the other region, several times as
slow as usual."""

LEAST_SECONDS = 0.1
"""Rest of a caller's time below which nothing is passed on."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Register:
    """Write the entry's row."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call on its way; ``left`` are the nodes to ask after ``node``."""

    asked: messages.PassOn
    node: str
    left: list[str]
    carried_out: bool = False


@dataclasses.dataclass(slots=True)
class _State:
    known: peers.Peers
    row: entries.Entry
    store: mailbox.Mailbox
    outlet: mailbox.Mailbox
    inbox: mailbox.Mailbox
    counters: counters.Peers = dataclasses.field(default_factory=counters.Peers)


@dataclasses.dataclass(frozen=True, slots=True)
class Passing:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(node: str, callers: str, store: mailbox.Mailbox, outlet: mailbox.Mailbox) -> Passing:
    """Start the task; it registers the entry first.

    Parameters
    ----------
    callers : str
        Address at which this entry takes calls.
    store : Mailbox
        Takes ``rows.Commit``.
    outlet : Mailbox
        Takes ``peers.Send``.
    """
    inbox = mailbox.create("peers")
    own = _State(peers.Peers(node), entries.Entry(node, callers), store, outlet, inbox)

    def handle(message: typing.Any) -> None:
        _handle(own, message)

    mailbox.post(inbox, _Register())
    return Passing(inbox, task.start("peers", loop.run(inbox, handle)))


async def pass_on(
    passing: Passing,
    request: peer_messages.Request,
    answer: calls.Answer | None,
    rest_seconds: float,
) -> peer_messages.Response | calls.Answer | None:
    """Return the answer that a caller gets: this entry's, or that of one that has the store.

    Parameters
    ----------
    answer : Answer or None
        This entry's answer.
    rest_seconds : float
        Rest of the caller's time.
    """
    if not peers.can_forward(answer) or rest_seconds < LEAST_SECONDS:
        return answer
    reply = mailbox.Reply()
    asked = messages.PassOn(request, clock.now() + rest_seconds, reply)
    if not mailbox.post(passing.inbox, asked):
        return answer
    try:
        passed: messages.PassedOn = await mailbox.wait(reply, rest_seconds)
    except TimeoutError:
        return peers.with_unknown_outcome(answer)
    if passed.response is not None:
        return passed.response
    return peers.with_unknown_outcome(answer) if passed.carried_out else answer


async def close(passing: Passing) -> None:
    """Stop the task."""
    await task.close(passing.running)


def _handle(own: _State, message: typing.Any) -> None:
    match message:
        case rows.Snapshot() | rows.Changes():
            _follow(own, message)
        case messages.PassOn():
            nodes = peers.candidates(own.known, clock.now())
            _next(own, _Pending(message, "", nodes), "no other entry is known to have the store")
        case peer_messages.Sent():
            _sent(own, message)
        case _Register():
            _register(own)
        case rows.Committed(outcome=rows.Outcome.COMMITTED):
            pass
        case rows.Committed():
            messages.later(own.inbox, _Register(), REGISTER_SECONDS)
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(own))


def _register(own: _State) -> None:
    key = tables.entry_key(own.row.node)
    put = rows.Transaction((), ((key, records.encode(own.row)),))

    def answer(done: rows.Committed) -> None:
        mailbox.post(own.inbox, done)

    mailbox.post(own.store, rows.Commit("entry", put, REGISTER_SECONDS, answer))


def _follow(own: _State, message: rows.Snapshot | rows.Changes) -> None:
    for row in message.rows:
        if row.value is None:
            continue
        try:
            if row.key.startswith(tables.ENTRY_PREFIX):
                other = records.decode(records.ENTRY, row.value)
                own.known.addresses[other.node] = other.callers
            elif row.key == tables.LEASE_KEY.key:
                holder = records.decode(records.LEASE, row.value).holder
                own.known.leader = holder.partition("/")[0]
        except ValueError as error:
            log.event("peers:unreadable_row", key=row.key, reason=str(error))


def _next(own: _State, pending: _Pending, reason: str) -> None:
    """Ask the next entry, or answer that none has served the call."""
    rest = pending.asked.until - clock.now()
    if not pending.left or rest < LEAST_SECONDS:
        own.counters.calls_not_passed_on += 1
        outcome = messages.PassedOn(None, pending.carried_out)
        log.event(
            "peers:not_passed_on",
            target=pending.asked.request.target,
            may_have_run=pending.carried_out,
            reason=reason,
        )
        mailbox.answer(pending.asked.reply, outcome)
        return
    pending.node = pending.left.pop(0)
    address = own.known.addresses[pending.node]

    def answer(sent: peer_messages.Sent) -> None:
        mailbox.post(own.inbox, sent)

    send = peer_messages.Send(
        pending, address, pending.asked.request, min(TRY_SECONDS, rest), answer
    )
    if not mailbox.post(own.outlet, send):
        answer(peer_messages.Sent(pending, None, reason="too many calls wait"))


def _sent(own: _State, sent: peer_messages.Sent) -> None:
    pending: _Pending = sent.token
    if sent.response is None:
        peers.mark_unavailable(own.known, pending.node, clock.now())
        pending.carried_out = pending.carried_out or sent.carried_out
        _next(own, pending, sent.reason)
        return
    if sent.response.status >= 500:
        # It has lost the store as well, or is stopping.
        peers.mark_unavailable(own.known, pending.node, clock.now())
        pending.carried_out = pending.carried_out or sent.response.status != 503
        _next(own, pending, f"{pending.node} answered with status {sent.response.status}")
        return
    own.counters.calls_passed_on += 1
    log.event(
        "peers:passed_on",
        target=pending.asked.request.target,
        method=pending.asked.request.method,
        peer=pending.node,
        status=sent.response.status,
    )
    mailbox.answer(pending.asked.reply, messages.PassedOn(sent.response, pending.carried_out))


def _dump(own: _State) -> dict[str, typing.Any]:
    return {
        "addresses": dict(own.known.addresses),
        "leader": own.known.leader,
        "counters": dataclasses.asdict(own.counters),
    }
