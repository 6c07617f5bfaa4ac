"""Task of an entry that commits the transactions of agents in groups."""

from __future__ import annotations

import dataclasses
import math
import typing

from peridothatch_core.commit import backoff, group
from peridothatch_core.commit import latency as latencies
from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_core.schedule import leadership
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log, messages, records
from peridothatch_wire import mailbox, task

GROUP_TIMEOUT_SECONDS = 1.5
"""Longest timeout of a group. It covers the second for which a transaction may wait in the
partition."""

MAX_QUICK_GROUPS = 2
"""Groups in flight while the store is quick, so that one lost answer does not hold up the rest.
While it is slow there is one, and what arrives meanwhile goes into the next."""

LEADER_FIRST_SECONDS = 0.3
"""Time for which groups wait after a write of the leader of this entry was refused. The leader
repeats it within this time."""

MAX_LEADER_FIRST_SECONDS = 0.6
"""Longest time for which they wait before a group is sent, so that leases of agents are renewed
in time."""

RETRY_DELAY_SECONDS = 0.1
"""Longest delay before transactions are sent again after a first refusal by a full partition."""

MAX_RETRY_DELAY_SECONDS = 0.3
"""Longest such delay. One entry that retries for all agents adds few calls."""

MIN_REMAINING_SECONDS = 0.1
"""Least time of the sender's for which a transaction is still sent."""

NEEDED_LATENCIES = 1.5
"""Time of the sender's that a transaction needs, in multiples of the latency. A sender that does
not learn the outcome repeats it with an old version, and its next group fails."""

MAX_WAITING = 1024
"""Maximum number of transactions that wait for a group; an agent sends one at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Flush:
    """Commit what has been collected."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Done:
    """The outcome of a group, or of a part of one that failed for one of its members."""

    committed: rows.Committed
    is_part: bool


@dataclasses.dataclass(slots=True)
class _State:
    """State of the task.

    Attributes
    ----------
    waiting : list of Commit
        Transactions that are not in flight.
    arrived_at : dict
        Local time in seconds at which each transaction without an answer arrived, by identity.
    parts : list of list of Commit
        Parts of failed groups that are not in flight.
    groups_in_flight, parts_in_flight : int
        Transactions of the store without an outcome.
    flush_at : float
        Local time at which the next ``_Flush`` will arrive; infinity if none will.
    held_since, held_until : float
        Local time since and until which groups wait for a refused write of the leader.
    may_hold : bool
        A group has been sent since groups have last waited for the leader.
    retry_at : float
        Local time until which groups wait after a full partition has refused one.
    latency : Latency
        Duration of the groups' transactions.
    leader : str
        Node of the leading entry; empty if it is not known.
    """

    node: str
    store: mailbox.Mailbox
    inbox: mailbox.Mailbox
    waiting: list[rows.Commit] = dataclasses.field(default_factory=list)
    arrived_at: dict[int, float] = dataclasses.field(default_factory=dict)
    parts: list[list[rows.Commit]] = dataclasses.field(default_factory=list)
    groups_in_flight: int = 0
    parts_in_flight: int = 0
    flush_at: float = math.inf
    held_since: float = -1e9
    held_until: float = -1e9
    may_hold: bool = True
    retry_at: float = -1e9
    latency: latencies.Latency = dataclasses.field(default_factory=latencies.Latency)
    leader: str = ""
    counters: counters.Grouping = dataclasses.field(default_factory=counters.Grouping)


@dataclasses.dataclass(frozen=True, slots=True)
class Grouping:
    """The running task; its mailbox takes ``rows.Commit`` and the rows of a feed."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(store: mailbox.Mailbox, node: str = "") -> Grouping:
    """Start the task.

    Parameters
    ----------
    store : Mailbox
        Takes ``rows.Commit``.
    node : str
        Node of this entry.
    """
    inbox = mailbox.create("grouping")
    state = _State(node, store, inbox)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    return Grouping(inbox, task.start("grouping", loop.run(inbox, handle)))


async def close(grouping: Grouping) -> None:
    """Stop the task."""
    await task.close(grouping.running)


def _handle(state: _State, message: typing.Any) -> None:
    match message:
        case rows.Commit():
            _take(state, message)
        case _Flush():
            state.flush_at = math.inf
            _send_due(state)
        case _Done(committed, is_part):
            _handle_committed(state, committed, is_part)
            _send_due(state)
        case messages.LeaderWriteRefused():
            _hold_groups(state, clock.now())
        case rows.Snapshot() | rows.Changes():
            _apply_rows(state, message)
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(state))


def _take(state: _State, commit: rows.Commit) -> None:
    if commit.leader is not None and state.leader not in ("", state.node, commit.leader):
        # The sender does not know this leader; it comes back if it cannot use it.
        state.counters.commits_redirected += 1
        relayed = rows.Relayed(state.leader, 0.0)
        reason = f"{state.leader} leads"
        commit.answer(
            rows.Committed(commit.token, rows.Outcome.NOT_DONE, reason=reason, relayed=relayed)
        )
        return
    if len(state.waiting) >= MAX_WAITING:
        reason = "too many transactions wait"
        commit.answer(rows.Committed(commit.token, rows.Outcome.NOT_DONE, reason=reason))
        return
    state.waiting.append(commit)
    now = clock.now()
    state.arrived_at[id(commit)] = now
    _flush_later(state, _latest_start(state, commit), now)


def _latest_start(state: _State, commit: rows.Commit) -> float:
    is_slow = latencies.is_slow(state.latency)
    return group.latest_start(commit, state.arrived_at[id(commit)], is_slow)


def _flush_later(state: _State, at: float, now: float) -> None:
    if at < state.flush_at:
        state.flush_at = at
        messages.post_later(state.inbox, _Flush(), at - now)


def _send_due(state: _State) -> None:
    """Send parts of failed groups and the next group, as far as the store's latency allows."""
    now = clock.now()
    state.waiting = _refuse_expired(state, state.waiting, now)
    state.parts = [_refuse_expired(state, part, now) for part in state.parts]
    state.parts = [part for part in state.parts if part]
    if (state.waiting or state.parts) and now < max(state.held_until, state.retry_at):
        _flush_later(state, max(state.held_until, state.retry_at), now)
        return
    slow = latencies.is_slow(state.latency)
    while state.parts and not (slow and state.parts_in_flight):
        _send(state, state.parts.pop(0), now, is_part=True)
    while state.waiting and state.groups_in_flight < (1 if slow else MAX_QUICK_GROUPS):
        start_at = min(_latest_start(state, commit) for commit in state.waiting)
        if now < start_at:
            _flush_later(state, start_at, now)
            return
        commits, state.waiting = group.next_group(state.waiting)
        _send(state, commits, now, is_part=False)


def _refuse_expired(state: _State, commits: list[rows.Commit], now: float) -> list[rows.Commit]:
    """Refuse what would have no outcome in its sender's time, and return the others.

    A refused transaction has certainly no effect.
    """
    needed = min(GROUP_TIMEOUT_SECONDS, NEEDED_LATENCIES * state.latency.seconds)
    needed = max(MIN_REMAINING_SECONDS, needed)
    kept: list[rows.Commit] = []
    for commit in commits:
        if _remaining_seconds(state, commit, now) >= needed:
            kept.append(commit)
            continue
        state.counters.commits_expired += 1
        reason = "no time is left for a transaction"
        refused = rows.Committed(commit.token, rows.Outcome.NOT_DONE, reason=reason, busy=True)
        _answer(state, commit, refused, state.latency.seconds)
    return kept


def _answer(
    state: _State, commit: rows.Commit, committed: rows.Committed, store_seconds: float
) -> None:
    del state.arrived_at[id(commit)]
    relayed = rows.Relayed(state.leader, store_seconds)
    commit.answer(dataclasses.replace(committed, token=commit.token, relayed=relayed))


def _remaining_seconds(state: _State, commit: rows.Commit, now: float) -> float:
    return state.arrived_at[id(commit)] + commit.timeout_seconds - now


def _hold_groups(state: _State, now: float) -> None:
    """Let the leader's next attempt come before further groups, for a bounded time."""
    if now >= state.held_until:
        if not state.may_hold:
            return
        state.may_hold = False
        state.held_since = now
        state.counters.groups_held += 1
    latest = state.held_since + MAX_LEADER_FIRST_SECONDS
    state.held_until = min(now + LEADER_FIRST_SECONDS, latest)


def _send(state: _State, commits: list[rows.Commit], now: float, is_part: bool) -> None:
    def answer(committed: rows.Committed) -> None:
        mailbox.post(state.inbox, _Done(committed, is_part))

    remaining = max(_remaining_seconds(state, commit, now) for commit in commits)
    timeout = min(GROUP_TIMEOUT_SECONDS, remaining)
    message = rows.Commit(commits, group.combine(commits), timeout, answer)
    state.may_hold = True
    state.counters.groups_committed += 1
    state.counters.transactions_grouped += len(commits)
    if is_part:
        state.parts_in_flight += 1
    else:
        state.groups_in_flight += 1
    if not mailbox.post(state.store, message):
        answer(rows.Committed(commits, rows.Outcome.NOT_DONE, reason="the queue is full"))


def _handle_committed(state: _State, committed: rows.Committed, is_part: bool) -> None:
    """Pass the outcome on; after a conflict or a rejection of any of them, commit by halves."""
    commits: list[rows.Commit] = committed.token
    if is_part:
        state.parts_in_flight -= 1
    else:
        state.groups_in_flight -= 1
    latencies.record(state.latency, committed)
    if committed.busy:
        _wait_again(state, commits, is_part)
        return
    failed = committed.outcome is rows.Outcome.CONFLICT or committed.rejected
    if failed and len(commits) > 1:
        state.counters.groups_split += 1
        log.event("grouping:conflict", transactions=len(commits), reason=committed.reason)
        state.parts[:0] = group.halve(commits)
        return
    for commit in commits:
        _answer(state, commit, committed, committed.answered_at - committed.asked_at)


def _wait_again(state: _State, commits: list[rows.Commit], is_part: bool) -> None:
    """Send refused transactions again, with what arrives meanwhile, while their time allows.

    One entry that repeats them finds a free place sooner than each agent by itself.
    """
    state.counters.groups_refused += 1
    if is_part:
        state.parts.insert(0, commits)
    else:
        state.waiting += commits
    delay = backoff.delay_seconds(
        "grouping", state.latency.failures, RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS
    )
    state.retry_at = clock.now() + delay


def _dump(state: _State) -> dict[str, typing.Any]:
    return {
        "waiting": len(state.waiting),
        "parts": len(state.parts),
        "in_flight": state.groups_in_flight + state.parts_in_flight,
        "write_seconds": round(state.latency.seconds, 3),
        "leader": state.leader,
        "counters": dataclasses.asdict(state.counters),
    }


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
