"""Task that forwards calls to other entries while this entry cannot reach the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import peers as peer_messages
from peridothatch_core.message import rows
from peridothatch_core.model import entries, tables, verdict
from peridothatch_core.reception import attempts, calls, peers
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log, messages, records
from peridothatch_wire import mailbox, task

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
    attempts : list of Attempt
        Outcomes of the call so far, beginning with this entry's.
    """

    forward_call: messages.ForwardCall
    node: str
    remaining_nodes: list[str]
    attempts: list[attempts.Attempt]


@dataclasses.dataclass(slots=True)
class _State:
    """State of the task.

    Attributes
    ----------
    row : Entry
        Row that registers this entry.
    desired_version : int
        Highest version of the desired state that this entry has read, or by which another entry
        has answered a call that was passed on.
    """

    known_peers: peers.Peers
    row: entries.Entry
    store: mailbox.Mailbox
    peer_calls: mailbox.Mailbox
    reception: mailbox.Mailbox
    inbox: mailbox.Mailbox
    desired_version: int = 0
    counters: counters.Peers = dataclasses.field(default_factory=counters.Peers)


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarder:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(
    row: entries.Entry,
    store: mailbox.Mailbox,
    peer_calls: mailbox.Mailbox,
    reception: mailbox.Mailbox,
) -> Forwarder:
    """Start the task, which registers this entry first.

    Parameters
    ----------
    row : Entry
        Row that registers this entry, with its addresses.
    store : Mailbox
        Takes ``rows.Commit``.
    peer_calls : Mailbox
        Takes ``peers.Send`` and ``peers.LookUp``.
    reception : Mailbox
        Takes ``VersionSeen``.
    """
    inbox = mailbox.create("peers")
    state = _State(peers.Peers(row.node), row, store, peer_calls, reception, inbox)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    mailbox.post(inbox, _Register())
    return Forwarder(inbox, task.start("peers", loop.run(inbox, handle)))


async def forward(
    forwarder: Forwarder,
    request: peer_messages.Request,
    call: calls.Call,
    answer: calls.Answer | None,
    remaining_seconds: float,
) -> attempts.Answer | None:
    """Forward a call if this entry's answer shows that it cannot reach the store.

    Parameters
    ----------
    answer : Answer or None
        This entry's answer.
    remaining_seconds : float
        Time until the caller stops waiting.

    Returns
    -------
    Answer or None
        The answer for the caller, from all attempts to serve the call.
    """
    if not peers.can_forward(answer) or remaining_seconds < MIN_REMAINING_SECONDS:
        return answer
    reply = mailbox.Reply()
    own = attempts.of_answer(answer)
    deadline = clock.now() + remaining_seconds
    effect = calls.effect_key(call)
    if not mailbox.post(
        forwarder.inbox, messages.ForwardCall(request, own, effect, deadline, reply)
    ):
        return answer
    try:
        return await mailbox.wait(reply, remaining_seconds)
    except TimeoutError:
        return attempts.conclude([own, attempts.Attempt(_without_answer(effect))])


async def close(forwarder: Forwarder) -> None:
    """Stop the task."""
    await task.close(forwarder.running)


def _handle(state: _State, message: typing.Any) -> None:
    match message:
        case rows.Snapshot() | rows.Changes():
            _apply_rows(state, message)
        case messages.DesiredConfirmed(desired_state, _):
            state.desired_version = max(state.desired_version, desired_state.version)
        case messages.ForwardCall():
            nodes = peers.candidates(state.known_peers, clock.now())
            _try_next_entry(
                state,
                _Pending(message, "", nodes, [message.own]),
                "no other entry is known that can reach the store",
            )
        case peer_messages.Sent():
            _handle_sent(state, message)
        case peer_messages.LookedUp():
            _handle_looked_up(message)
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
                peers.register(state.known_peers, records.decode_row(row))
            elif row.key == tables.LEASE_KEY.key:
                holder = records.decode_row(row).holder
                state.known_peers.leader = holder.partition("/")[0]
        except ValueError as error:
            log.unreadable("peers", row.key, str(error))


def _try_next_entry(state: _State, pending: _Pending, reason: str) -> None:
    """Send the call to the next entry, or reply that no entry served it."""
    remaining = pending.forward_call.deadline - clock.now()
    if not pending.remaining_nodes or remaining < MIN_REMAINING_SECONDS:
        state.counters.calls_not_passed_on += 1
        log.event(
            "peers:not_passed_on",
            target=pending.forward_call.request.target,
            verdict=str(attempts.combine(pending.attempts)),
            reason=reason,
        )
        _reply(pending)
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
        state.desired_version,
    )
    if not mailbox.post(state.peer_calls, send):
        reason = "too many forwarded calls are queued"
        answer(peer_messages.Sent(pending, None, verdict.Verdict.NOT_RUN, True, reason))


def _handle_sent(state: _State, sent: peer_messages.Sent) -> None:
    pending: _Pending = sent.token
    found = sent.verdict
    if found is not verdict.Verdict.RAN and pending.forward_call.effect is None:
        found = verdict.Verdict.NOT_RUN
    if sent.unavailable:
        peers.mark_unavailable(state.known_peers, pending.node, clock.now())
        pending.attempts.append(attempts.Attempt(found))
        _try_next_entry(state, pending, sent.reason)
        return
    pending.attempts.append(attempts.Attempt(found, sent.response))
    _observe_version(state, sent.response)
    state.counters.calls_passed_on += 1
    combined = attempts.combine(pending.attempts)
    log.event(
        "peers:passed_on",
        target=pending.forward_call.request.target,
        method=pending.forward_call.request.method,
        peer=pending.node,
        status=sent.response.status if sent.response else 0,
        verdict=str(combined),
    )
    if combined is not verdict.Verdict.MAY_HAVE_RUN or not _look_up(state, pending):
        _reply(pending)


def _observe_version(state: _State, response: peer_messages.Response | None) -> None:
    """Let no older desired state answer callers of this entry once they got this response."""
    if response is not None and response.desired_version > state.desired_version:
        state.desired_version = response.desired_version
        mailbox.post(state.reception, messages.VersionSeen(response.desired_version))


def _look_up(state: _State, pending: _Pending) -> bool:
    """Ask the entry that refused the call whether an earlier attempt took effect."""
    effect = pending.forward_call.effect
    address = state.known_peers.internal_addresses.get(pending.node, "")
    remaining = pending.forward_call.deadline - clock.now()
    if effect is None or not address or remaining < MIN_REMAINING_SECONDS:
        return False

    def answer(looked_up: peer_messages.LookedUp) -> None:
        mailbox.post(state.inbox, looked_up)

    seconds = min(ATTEMPT_TIMEOUT_SECONDS, remaining)
    return mailbox.post(
        state.peer_calls, peer_messages.LookUp(pending, address, effect, seconds, answer)
    )


def _handle_looked_up(looked_up: peer_messages.LookedUp) -> None:
    """Answer that the call took effect if its row is in the store.

    A row that is absent decides nothing, because a delayed write may still be applied.
    """
    pending: _Pending = looked_up.token
    log.event(
        "peers:looked_up",
        target=pending.forward_call.request.target,
        peer=pending.node,
        exists=looked_up.exists,
    )
    if looked_up.exists:
        pending.attempts.append(attempts.Attempt(verdict.Verdict.RAN, calls.Accepted()))
    _reply(pending)


def _reply(pending: _Pending) -> None:
    mailbox.answer(pending.forward_call.reply, attempts.conclude(pending.attempts))


def _without_answer(effect: rows.Key | None) -> verdict.Verdict:
    """Return the verdict of an attempt that did not answer; a read has no effect."""
    return verdict.Verdict.NOT_RUN if effect is None else verdict.Verdict.MAY_HAVE_RUN


def _dump(state: _State) -> dict[str, typing.Any]:
    return {
        "addresses": dict(state.known_peers.addresses),
        "leader": state.known_peers.leader,
        "counters": dataclasses.asdict(state.counters),
    }
