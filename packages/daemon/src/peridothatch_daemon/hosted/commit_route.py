"""Task of an agent that sends its transactions directly or through an entry."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.commit import route, sharing
from peridothatch_core.message import peers, rows
from peridothatch_core.model import tables
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log, messages, records
from peridothatch_wire import mailbox, task

FIRST_READ_SECONDS = 5.0
"""Time after the start at which the entries are read first."""

REFRESH_SECONDS = 60.0
"""Interval at which they are read again; an agent that the store turns away cannot read them."""

RELAYED_REFRESH_SECONDS = 5.0
"""Interval while commits go through an entry, which may have been replaced. While the partition is
busy for all agents, their reads would add to its load, and the longer interval is kept."""

READ_TIMEOUT_SECONDS = 1.5

RELAYED_TIMEOUT_SECONDS = 3.5
"""Least timeout of a commit through an entry: refusals and one group before it, and its own group,
each of which may wait in the partition for a second. With 3 s, 9 to 15 of 73 leases of 5.5 s
lapsed, because their commits were refused for lack of time."""

SHARED_TIMEOUT_SECONDS = 2.0
"""Least timeout of a commit that is shared while the store is quick: one group and the way.
An entry that is lost without a trace costs as much of a lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Refresh:
    """Read the rows of the entries."""


@dataclasses.dataclass(slots=True)
class _State:
    route: route.Route
    store: mailbox.Mailbox
    peer_calls: mailbox.Mailbox
    inbox: mailbox.Mailbox
    counters: counters.CommitRoute = dataclasses.field(default_factory=counters.CommitRoute)


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRoute:
    """The running task; its mailbox takes ``rows.Commit`` and ``rows.Fetch``."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(
    node: str, data_centre: str, store: mailbox.Mailbox, peer_calls: mailbox.Mailbox
) -> CommitRoute:
    """Start the task.

    Parameters
    ----------
    store : Mailbox
        Takes ``rows.Commit`` and ``rows.Fetch``.
    peer_calls : Mailbox
        Takes ``peers.Relay``.
    """
    inbox = mailbox.create("commit route")
    way = route.Route(node, sharing=sharing.Sharing(data_centre))
    state = _State(way, store, peer_calls, inbox)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    messages.post_later(inbox, _Refresh(), FIRST_READ_SECONDS)
    return CommitRoute(inbox, task.start("commit route", loop.run(inbox, handle)))


async def close(commit_route: CommitRoute) -> None:
    """Stop the task."""
    await task.close(commit_route.running)


def _handle(state: _State, message: typing.Any) -> None:
    match message:
        case rows.Commit():
            _send(state, message)
        case rows.Fetch():
            mailbox.post(state.store, message)
        case _Refresh():
            _refresh(state)
        case rows.Fetched():
            _apply_entries(state, message)
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(state))


def _send(state: _State, commit: rows.Commit) -> None:
    now = clock.now()
    address = route.address(state.route, now, commit.is_sharable)
    was_reached = now - commit.reached_at < sharing.REACHED_SECONDS

    def answer(committed: rows.Committed) -> None:
        if address and route.is_redirected(state.route, committed):
            state.route.leader = committed.relayed.leader if committed.relayed else ""
            _send(state, commit)
            return
        if address:
            route.record_relayed(state.route, committed, clock.now(), address, was_reached)
        else:
            route.record_direct(state.route, committed, clock.now())
        state.counters.commits_refused += committed.busy
        commit.answer(committed)

    if not address:
        state.counters.commits_direct += 1
        mailbox.post(state.store, dataclasses.replace(commit, answer=answer))
        return
    state.counters.commits_relayed += 1
    is_quick = route.is_quick(state.route, now)
    least = SHARED_TIMEOUT_SECONDS if is_quick else RELAYED_TIMEOUT_SECONDS
    timeout = max(commit.timeout_seconds, least)
    leader = route.wanted_leader(state.route)
    relayed = dataclasses.replace(commit, answer=answer, timeout_seconds=timeout, leader=leader)
    relay = peers.Relay(relayed, address)
    if not mailbox.post(state.peer_calls, relay):
        reason = "too many commits are queued"
        answer(rows.Committed(commit.token, rows.Outcome.NOT_DONE, reason=reason))


def _refresh(state: _State) -> None:
    def answer(fetched: rows.Fetched) -> None:
        mailbox.post(state.inbox, fetched)

    message = rows.Fetch(
        "entries", tables.MEMBERS_TABLE, tables.ENTRY_PREFIX, READ_TIMEOUT_SECONDS, answer
    )
    mailbox.post(state.store, message)
    relayed = route.address(state.route, clock.now())
    often = relayed and not state.route.busy
    delay = RELAYED_REFRESH_SECONDS if often else REFRESH_SECONDS
    messages.post_later(state.inbox, _Refresh(), delay)


def _apply_entries(state: _State, fetched: rows.Fetched) -> None:
    for row in fetched.rows or ():
        try:
            record = records.decode_row(row)
        except ValueError as error:
            log.unreadable("commit route", row.key, str(error))
            continue
        if record is not None:
            state.route.known[record.node] = record


def _dump(state: _State) -> dict[str, typing.Any]:
    return {
        "entries": sorted(state.route.known),
        "busy": state.route.busy,
        "leader": state.route.leader,
        "shared": route.is_shared(state.route, clock.now()),
        "address": route.address(state.route, clock.now()),
        "counters": dataclasses.asdict(state.counters),
    }
