"""Which connections a process accepts, and which it closes for others.

Load pattern: thousands of connections that are idle or that each hold as much as one may. At the
budget, connections outside the limits are closed first, then those that have never completed a
request, then the idlest; a connection with a request in progress is closed only for memory.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import typing

from peridothatch_core.connect import limits, usage

MAX_EXAMINED = 64
"""Number of connections that are examined for each new one, which bounds the time of an
admission while thousands connect."""

EVICTED_SHARE = 0.1
"""Share of the memory budget that is freed at once, so that victims are chosen seldom."""

Key = typing.Hashable


@dataclasses.dataclass(slots=True)
class _Member:
    listener: str
    address: str
    usage: usage.Usage
    memory_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Pool:
    """The connections of a process, least recently active first.

    Attributes
    ----------
    silent, known : dict
        Connections that have never completed a request, and the others.
    """

    budget: limits.Budget
    silent: collections.OrderedDict[Key, _Member] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    known: collections.OrderedDict[Key, _Member] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    by_listener: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    by_address: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    memory_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a connection is admitted, and which one closes for it.

    Attributes
    ----------
    refused : Reason or None
        The exhausted budget; ``None`` if the connection is admitted.
    victim : Key or None
        Connection to close first.
    reason : Reason or None
        Why the victim closes.
    """

    refused: limits.Reason | None = None
    victim: Key | None = None
    reason: limits.Reason | None = None


def count(pool: Pool) -> int:
    """Return the number of connections."""
    return len(pool.silent) + len(pool.known)


def admit(
    pool: Pool, key: Key, used: usage.Usage, listener: str, address: str, now: float
) -> Admission:
    """Add a connection, or refuse it at the budget if none can close for it."""
    victim: Key | None = None
    reason = _exhausted(pool, listener, address)
    if reason is not None:
        victim = _choose_idle(pool, reason, listener, address, now)
        if victim is None:
            return Admission(reason)
        release(pool, victim)
    member = _Member(listener, address, used, usage.memory_bytes(used))
    pool.silent[key] = member
    pool.by_listener[listener] += 1
    pool.by_address[address] += 1
    pool.memory_bytes += member.memory_bytes
    return Admission(None, victim, reason)


def release(pool: Pool, key: Key) -> None:
    """Remove a connection; further calls have no effect."""
    member = pool.silent.pop(key, None) or pool.known.pop(key, None)
    if member is None:
        return
    pool.memory_bytes -= member.memory_bytes
    _decrement(pool.by_listener, member.listener)
    _decrement(pool.by_address, member.address)


def update(pool: Pool, key: Key, now: float) -> list[Key]:
    """Count what an active connection uses; return the connections to close for memory."""
    member = pool.silent.get(key) or pool.known.get(key)
    if member is None:
        return []
    if key in pool.known:
        pool.known.move_to_end(key)
    elif member.usage.answered:
        pool.known[key] = pool.silent.pop(key)
    else:
        pool.silent.move_to_end(key)
    before, member.memory_bytes = member.memory_bytes, usage.memory_bytes(member.usage)
    pool.memory_bytes += member.memory_bytes - before
    if pool.memory_bytes <= pool.budget.memory_bytes:
        return []
    return _evict_for_memory(pool, now)


def _exhausted(pool: Pool, listener: str, address: str) -> limits.Reason | None:
    if pool.by_address[address] >= pool.budget.connections_per_address:
        return limits.Reason.BUDGET_ADDRESS
    if pool.by_listener[listener] >= pool.budget.connections_per_listener:
        return limits.Reason.BUDGET_CONNECTIONS
    if count(pool) >= pool.budget.connections:
        return limits.Reason.BUDGET_CONNECTIONS
    return None


def _choose_idle(
    pool: Pool, reason: limits.Reason, listener: str, address: str, now: float
) -> Key | None:
    """Return the connection to close for a new one of this listener and address."""
    is_listener_full = pool.by_listener[listener] >= pool.budget.connections_per_listener

    def may_close(member: _Member) -> bool:
        if reason is limits.Reason.BUDGET_ADDRESS and member.address != address:
            return False
        if is_listener_full and member.listener != listener:
            return False
        return usage.is_closable(member.usage) or usage.is_outside(member.usage, now)

    found: list[tuple[Key, _Member]] = []
    for connections in (pool.silent, pool.known):
        examined = itertools.islice(connections.items(), MAX_EXAMINED)
        found += itertools.islice((item for item in examined if may_close(item[1])), 1)
    found.sort(key=lambda item: usage.is_outside(item[1].usage, now), reverse=True)
    return found[0][0] if found else None


def _evict_for_memory(pool: Pool, now: float) -> list[Key]:
    """Remove connections, those outside the limits and the largest first."""
    members = [*pool.silent.items(), *pool.known.items()]
    members.sort(
        key=lambda item: (usage.is_outside(item[1].usage, now), item[1].memory_bytes),
        reverse=True,
    )
    target = pool.budget.memory_bytes * (1 - EVICTED_SHARE)
    victims: list[Key] = []
    for key, _ in members:
        if pool.memory_bytes <= target:
            break
        release(pool, key)
        victims.append(key)
    return victims


def _decrement(counter: collections.Counter[str], name: str) -> None:
    counter[name] -= 1
    if counter[name] <= 0:
        del counter[name]
