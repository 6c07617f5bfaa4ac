"""Task of an entry that commits the transactions of agents in groups."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.commit import group
from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_core.schedule import leadership
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import counters, log, messages, records
from peridothatch_wire import mailbox, task

WINDOW_SECONDS = 0.02
"""Time for which transactions are collected, which is short beside the lease of an agent."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Flush:
    """Commit what has been collected."""


@dataclasses.dataclass(slots=True)
class _State:
    store: mailbox.Mailbox
    inbox: mailbox.Mailbox
    waiting: list[rows.Commit] = dataclasses.field(default_factory=list)
    leader: str = ""
    counters: counters.Grouping = dataclasses.field(default_factory=counters.Grouping)


@dataclasses.dataclass(frozen=True, slots=True)
class Grouping:
    """The running task; its mailbox takes ``rows.Commit`` and the rows of a feed."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(store: mailbox.Mailbox) -> Grouping:
    """Start the task.

    Parameters
    ----------
    store : Mailbox
        Takes ``rows.Commit``.
    """
    inbox = mailbox.create("grouping")
    state = _State(store, inbox)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    return Grouping(inbox, task.start("grouping", loop.run(inbox, handle)))


async def close(grouping: Grouping) -> None:
    """Stop the task."""
    await task.close(grouping.running)


def _handle(state: _State, message: typing.Any) -> None:
    match message:
        case rows.Commit():
            if not state.waiting:
                messages.post_later(state.inbox, _Flush(), WINDOW_SECONDS)
            state.waiting.append(message)
        case _Flush():
            collected, state.waiting = state.waiting, []
            for commits in group.pack(collected):
                _send(state, commits)
        case rows.Committed():
            _handle_committed(state, message)
        case rows.Snapshot() | rows.Changes():
            _apply_rows(state, message)
        case daemon_messages.DumpState(reply):
            dump = {"waiting": len(state.waiting), "counters": dataclasses.asdict(state.counters)}
            mailbox.answer(reply, dump)


def _send(state: _State, commits: list[rows.Commit]) -> None:
    def answer(committed: rows.Committed) -> None:
        mailbox.post(state.inbox, committed)

    timeout = min(commit.timeout_seconds for commit in commits)
    message = rows.Commit(commits, group.combine(commits), timeout, answer)
    state.counters.groups_committed += 1
    state.counters.transactions_grouped += len(commits)
    if not mailbox.post(state.store, message):
        answer(rows.Committed(commits, rows.Outcome.NOT_DONE, reason="the queue is full"))


def _handle_committed(state: _State, committed: rows.Committed) -> None:
    """Pass the outcome on; after a conflict or a rejection of any of them, commit each alone."""
    commits: list[rows.Commit] = committed.token
    failed = committed.outcome is rows.Outcome.CONFLICT or committed.rejected
    if failed and len(commits) > 1:
        state.counters.groups_split += 1
        log.event("grouping:conflict", transactions=len(commits), reason=committed.reason)
        for commit in commits:
            _send(state, [commit])
        return
    relayed = rows.Relayed(state.leader, committed.answered_at - committed.asked_at)
    for commit in commits:
        commit.answer(dataclasses.replace(committed, token=commit.token, relayed=relayed))


def _apply_rows(state: _State, message: rows.Snapshot | rows.Changes) -> None:
    """Learn from the lease row which entry leads."""
    for row in message.rows:
        if row.key != tables.LEASE_KEY.key or row.value is None:
            continue
        try:
            lease = records.decode_row(row)
        except ValueError as error:
            log.unreadable("grouping", row.key, str(error))
            continue
        released = lease.until_ms == leadership.RELEASED_UNTIL_MS
        state.leader = "" if released else lease.holder.partition("/")[0]
