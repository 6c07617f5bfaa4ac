"""Task that owns the connections of clients: their budget, counters and log lines."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.connect import limits, pool
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log
from peridothatch_wire import mailbox, task

LOG_INTERVAL_SECONDS = 10.0
"""Interval at which connections that were closed for the same reason are logged again."""


@dataclasses.dataclass(slots=True)
class _State:
    counters: counters.Connections = dataclasses.field(default_factory=counters.Connections)
    logged_at: dict[limits.Reason, float] = dataclasses.field(default_factory=dict)
    unlogged: dict[limits.Reason, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Connections:
    """The running task, and what listeners need of it.

    Attributes
    ----------
    limits : Limits
        Limits of each connection.
    pool : Pool
        The connections of all listeners.
    """

    inbox: mailbox.Mailbox
    running: task.Task
    limits: limits.Limits
    pool: pool.Pool
    report: typing.Callable[[limits.Reason, str, str, str], None]


def start(of_one: limits.Limits, budget: limits.Budget) -> Connections:
    """Start the task.

    Parameters
    ----------
    of_one : Limits
        Limits of each connection.
    budget : Budget
        Limits of all connections together.
    """
    inbox = mailbox.create("connections")
    state = _State()
    members = pool.Pool(budget)

    def report(reason: limits.Reason, listener: str, address: str, detail: str) -> None:
        _count(state, reason, listener, address, detail)

    def handle(message: typing.Any) -> None:
        if isinstance(message, daemon_messages.DumpState):
            mailbox.answer(message.reply, _dump(state, members))

    running = task.start("connections", loop.run(inbox, handle))
    return Connections(inbox, running, of_one, members, report)


async def close(connections: Connections) -> None:
    """Stop the task; the listeners must be closed before."""
    await task.close(connections.running)


def _count(state: _State, reason: limits.Reason, listener: str, address: str, detail: str) -> None:
    """Count a connection that was refused or closed, and log it at a bounded rate."""
    setattr(state.counters, reason.value, getattr(state.counters, reason.value) + 1)
    if reason is limits.Reason.IDLE_TIME:
        return  # Ordinary clients leave connections idle as well.
    now = clock.now()
    if now - state.logged_at.get(reason, -LOG_INTERVAL_SECONDS) < LOG_INTERVAL_SECONDS:
        state.unlogged[reason] = state.unlogged.get(reason, 0) + 1
        return
    state.logged_at[reason] = now
    log.event(
        "connections:closed",
        reason=reason.value,
        listener=listener,
        address=address,
        detail=detail[:500],
        closed_since_last_line=state.unlogged.pop(reason, 0),
    )


def _dump(state: _State, members: pool.Pool) -> dict[str, typing.Any]:
    return {
        "budget": dataclasses.asdict(members.budget),
        "by_listener": dict(members.by_listener),
        "counters": dataclasses.asdict(state.counters),
        "gauges": {"open": pool.count(members), "memory_bytes": members.memory_bytes},
    }
