"""Task that forwards calls to other entries while this entry cannot reach the store."""

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

REGISTER_RETRY_SECONDS = 1.0
"""Timeout for writing this entry's row, and the delay before a failed write is retried."""

ATTEMPT_TIMEOUT_SECONDS = 0.8
"""Timeout for another entry. It allows for an entry that writes to the store from the other region
while the store is several times slower than usual."""

MIN_REMAINING_SECONDS = 0.1
"""A call is not forwarded if less than this remains of the caller's time."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Register:
    """Write this entry's row, from which the other entries learn its address."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call that is being forwarded.

    Attributes
    ----------
    node : str
        Node to which the call was sent last.
    remaining_nodes : list of str
        Nodes to try next, in order.
    may_have_run : bool
        Whether an entry may have executed the call without responding.
    """

    forward_call: messages.ForwardCall
    node: str
    remaining_nodes: list[str]
    may_have_run: bool = False


@dataclasses.dataclass(slots=True)
class _State:
    """State of the task.

    Attributes
    ----------
    row : Entry
        Row that registers this entry.
    """

    known_peers: peers.Peers
    row: entries.Entry
    store: mailbox.Mailbox
    peer_calls: mailbox.Mailbox
    inbox: mailbox.Mailbox
    counters: counters.Peers = dataclasses.field(default_factory=counters.Peers)


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarder:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(
    node: str, callers: str, store: mailbox.Mailbox, peer_calls: mailbox.Mailbox
) -> Forwarder:
    """Start the task, which registers this entry first.

    Parameters
    ----------
    callers : str
        Address at which this entry takes calls.
    store : Mailbox
        Takes ``rows.Commit``.
    peer_calls : Mailbox
        Takes ``peers.Send``.
    """
    inbox = mailbox.create("peers")
    state = _State(peers.Peers(node), entries.Entry(node, callers), store, peer_calls, inbox)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    mailbox.post(inbox, _Register())
    return Forwarder(inbox, task.start("peers", loop.run(inbox, handle)))


async def forward(
    forwarder: Forwarder,
    request: peer_messages.Request,
    answer: calls.Answer | None,
    remaining_seconds: float,
) -> peer_messages.Response | calls.Answer | None:
    """Forward a call if this entry's answer shows that it cannot reach the store.

    Parameters
    ----------
    answer : Answer or None
        This entry's answer.
    remaining_seconds : float
        Time until the caller stops waiting.

    Returns
    -------
    Response or Answer or None
        The answer for the caller: another entry's response if there is one, else this entry's
        answer, which says so if the call may have run elsewhere.
    """
    if not peers.can_forward(answer) or remaining_seconds < MIN_REMAINING_SECONDS:
        return answer
    reply = mailbox.Reply()
    forward_call = messages.ForwardCall(request, clock.now() + remaining_seconds, reply)
    if not mailbox.post(forwarder.inbox, forward_call):
        return answer
    try:
        outcome: messages.ForwardOutcome = await mailbox.wait(reply, remaining_seconds)
    except TimeoutError:
        return peers.with_unknown_outcome(answer)
    if outcome.response is not None:
        return outcome.response
    return peers.with_unknown_outcome(answer) if outcome.may_have_run else answer


async def close(forwarder: Forwarder) -> None:
    """Stop the task."""
    await task.close(forwarder.running)


def _handle(state: _State, message: typing.Any) -> None:
    match message:
        case rows.Snapshot() | rows.Changes():
            _apply_rows(state, message)
        case messages.ForwardCall():
            nodes = peers.candidates(state.known_peers, clock.now())
            _try_next_entry(
                state,
                _Pending(message, "", nodes),
                "no other entry is known that can reach the store",
            )
        case peer_messages.Sent():
            _handle_sent(state, message)
        case _Register():
            _register(state)
        case rows.Committed(outcome=rows.Outcome.COMMITTED):
            pass
        case rows.Committed():
            messages.post_later(state.inbox, _Register(), REGISTER_RETRY_SECONDS)
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(state))


def _register(state: _State) -> None:
    key = tables.entry_key(state.row.node)
    transaction = rows.Transaction((), ((key, records.encode(state.row)),))

    def answer(committed: rows.Committed) -> None:
        mailbox.post(state.inbox, committed)

    mailbox.post(state.store, rows.Commit("entry", transaction, REGISTER_RETRY_SECONDS, answer))


def _apply_rows(state: _State, message: rows.Snapshot | rows.Changes) -> None:
    for row in message.rows:
        if row.value is None:
            continue
        try:
            if row.key.startswith(tables.ENTRY_PREFIX):
                other = records.decode(records.ENTRY, row.value)
                state.known_peers.addresses[other.node] = other.callers
            elif row.key == tables.LEASE_KEY.key:
                holder = records.decode(records.LEASE, row.value).holder
                state.known_peers.leader = holder.partition("/")[0]
        except ValueError as error:
            log.event("peers:unreadable_row", key=row.key, reason=str(error))


def _try_next_entry(state: _State, pending: _Pending, reason: str) -> None:
    """Send the call to the next entry, or reply that no entry served it."""
    remaining = pending.forward_call.deadline - clock.now()
    if not pending.remaining_nodes or remaining < MIN_REMAINING_SECONDS:
        state.counters.calls_not_passed_on += 1
        outcome = messages.ForwardOutcome(None, pending.may_have_run)
        log.event(
            "peers:not_passed_on",
            target=pending.forward_call.request.target,
            may_have_run=pending.may_have_run,
            reason=reason,
        )
        mailbox.answer(pending.forward_call.reply, outcome)
        return
    pending.node = pending.remaining_nodes.pop(0)
    address = state.known_peers.addresses[pending.node]

    def answer(sent: peer_messages.Sent) -> None:
        mailbox.post(state.inbox, sent)

    send = peer_messages.Send(
        pending,
        address,
        pending.forward_call.request,
        min(ATTEMPT_TIMEOUT_SECONDS, remaining),
        answer,
    )
    if not mailbox.post(state.peer_calls, send):
        answer(peer_messages.Sent(pending, None, reason="too many forwarded calls are queued"))


def _handle_sent(state: _State, sent: peer_messages.Sent) -> None:
    pending: _Pending = sent.token
    if sent.response is None:
        peers.mark_unavailable(state.known_peers, pending.node, clock.now())
        pending.may_have_run = pending.may_have_run or sent.carried_out
        _try_next_entry(state, pending, sent.reason)
        return
    if sent.response.status >= 500:
        # The other entry cannot reach the store either, or is stopping.
        peers.mark_unavailable(state.known_peers, pending.node, clock.now())
        pending.may_have_run = pending.may_have_run or sent.response.status != 503
        _try_next_entry(
            state, pending, f"{pending.node} answered with status {sent.response.status}"
        )
        return
    state.counters.calls_passed_on += 1
    log.event(
        "peers:passed_on",
        target=pending.forward_call.request.target,
        method=pending.forward_call.request.method,
        peer=pending.node,
        status=sent.response.status,
    )
    mailbox.answer(
        pending.forward_call.reply, messages.ForwardOutcome(sent.response, pending.may_have_run)
    )


def _dump(state: _State) -> dict[str, typing.Any]:
    return {
        "addresses": dict(state.known_peers.addresses),
        "leader": state.known_peers.leader,
        "counters": dataclasses.asdict(state.counters),
    }
