"""Decides whether an agent commits directly or through an entry, and through which.

Answers three load patterns. A store may turn some machines away while it serves others: their
agents are spread over the entries. A partition may be slow or full for all: their agents go
through one entry, the leader's, which combines their transactions. Otherwise the lease of such an
agent lapses, and all its runs are lost. A large fleet may need most of what a partition applies:
its agents share transactions by data centre (`sharing`).
"""

from __future__ import annotations

import dataclasses
import typing
import zlib

from peridothatch_core.commit import backoff, latency, sharing
from peridothatch_core.message import rows

if typing.TYPE_CHECKING:
    from peridothatch_core.model import entries

RELAYED_SECONDS = 5.0
"""Time for which commits go through an entry before a direct one is tried again. While the
partition is busy it begins anew with each answer that says so."""

RELAYED_SPREAD = 0.4
"""Share of that time over which agents return to direct commits after the partition was busy."""

DIRECT_SECONDS = 2.0
"""Time for which commits are direct after an entry has failed to commit one."""

SLOW_SECONDS = 0.5
"""Duration of a direct commit from which the partition counts as busy. Below it, the short queues
of a large fleet in normal operation would send claims the longer way."""

AVOIDED_SECONDS = 5.0
"""Time for which an entry is not used that has not answered or could not commit."""

MAX_ENTRIES = 24
"""Number of known entries up to which all agents may go through one of them.

A larger fleet fills the partition in normal operation, and its agents are more than one entry can
serve with its processor and its link; they are spread over the entries instead.
"""

MAX_FAILURES = 2
"""Failures one after the other from which commits are direct for `DIRECT_SECONDS`, or from which
an entry is avoided whose commits have unknown outcomes."""


@dataclasses.dataclass(slots=True)
class Route:
    """What an agent knows about the two ways.

    Attributes
    ----------
    known : dict
        Entries by node.
    relayed_until, direct_until : float
        Local time in seconds until which one of the ways is kept.
    failures : int
        Commits that an entry has failed to make; each leads to another entry.
    busy : bool
        The partition is busy, so that all agents use the same entry.
    leader : str
        Node of the leading entry, as an entry has stated it last; empty if none has.
    avoided_until : dict
        Local time until which an entry is not used, by node.
    sharing : Sharing
        Transactions that are shared with other agents of the data centre.
    """

    node: str
    known: dict[str, entries.Entry] = dataclasses.field(default_factory=dict)
    relayed_until: float = -1e9
    direct_until: float = -1e9
    failures: int = 0
    busy: bool = False
    leader: str = ""
    avoided_until: dict[str, float] = dataclasses.field(default_factory=dict)
    sharing: sharing.Sharing = dataclasses.field(default_factory=sharing.Sharing)


def address(route: Route, now: float, is_sharable: bool = False) -> str:
    """Return the address of the entry that commits for this agent; empty to commit directly.

    Parameters
    ----------
    is_sharable : bool
        The transaction may be combined with those of others.
    """
    if is_shared(route, now):
        if not is_sharable and now >= route.relayed_until:
            return ""
        known = [entry for entry in route.known.values() if entry.internal]
        chosen = sharing.choose(route.sharing, known, now)
        return chosen.internal if chosen else ""
    if now >= route.relayed_until or now < route.direct_until:
        return ""
    nodes = sorted(node for node, entry in route.known.items() if entry.internal)
    if route.busy:
        nodes = [node for node in nodes if route.avoided_until.get(node, -1e9) <= now]
        nodes.sort(key=lambda node: (node != route.leader, zlib.crc32(node.encode())))
    if not nodes:
        return ""
    number = 0
    if not route.busy:
        number = (zlib.crc32(route.node.encode()) + route.failures) % len(nodes)
    return route.known[nodes[number]].internal


def is_shared(route: Route, now: float) -> bool:
    """Return whether transactions are shared with other agents of the data centre.

    While the partition is busy for all, they go through one entry for all data centres instead.
    """
    return sharing.is_active(route.sharing, now) and not route.busy


def is_quick(route: Route, now: float) -> bool:
    """Return whether a shared commit needs no time beyond that of its own group."""
    return is_shared(route, now) and not route.sharing.is_slow


def wanted_leader(route: Route) -> str | None:
    """Return the node that is taken for the leader, or ``None`` if any entry will do."""
    return route.leader if route.busy else None


def is_redirected(route: Route, committed: rows.Committed) -> bool:
    """Return whether an entry has only named a leader that was not known, which can be used."""
    relayed = committed.relayed
    return (
        committed.outcome is rows.Outcome.NOT_DONE
        and relayed is not None
        and not relayed.store_seconds
        and not committed.busy
        and relayed.leader not in ("", route.leader)
        and relayed.leader in route.known
    )


def record_direct(route: Route, committed: rows.Committed, now: float) -> None:
    """Record the outcome of a direct commit."""
    seconds = committed.answered_at - committed.asked_at
    _record_sharing(route, "", committed, seconds, True, now)
    if _may_use_one_entry(route) and (committed.busy or seconds >= SLOW_SECONDS):
        _stay_relayed(route, now)
    elif committed.outcome in (rows.Outcome.NOT_DONE, rows.Outcome.UNKNOWN):
        if not route.busy:
            route.relayed_until = now + RELAYED_SECONDS
    elif route.busy:
        # What has waited before has waited for a slow partition, which is no sign of a full one.
        route.busy = False
        route.relayed_until = now
        route.sharing.until = now


def record_relayed(
    route: Route,
    committed: rows.Committed,
    now: float,
    used_address: str = "",
    was_reached: bool = False,
) -> None:
    """Record the outcome of a commit through the entry at an address.

    Parameters
    ----------
    was_reached : bool
        The store itself answered this agent when the commit was sent.
    """
    relayed = committed.relayed
    if relayed is not None and relayed.leader:
        route.leader = relayed.leader
    store_seconds = relayed.store_seconds if relayed is not None else 0.0
    was_shared = is_shared(route, now)
    _record_sharing(route, used_address, committed, store_seconds, was_reached, now)
    slow = store_seconds >= latency.SLOW_SECONDS
    if _may_use_one_entry(route) and (committed.busy or slow):
        _stay_relayed(route, now)
    if committed.busy or committed.outcome in (rows.Outcome.COMMITTED, rows.Outcome.CONFLICT):
        route.failures = 0 if route.busy else route.failures
    elif was_shared:
        return
    elif not route.busy:
        route.failures += 1
        route.direct_until = now + DIRECT_SECONDS
    else:
        _record_failed_entry(route, now, used_address, cannot_commit=not slow)


def _record_sharing(
    route: Route,
    used_address: str,
    committed: rows.Committed,
    seconds: float,
    was_reached: bool,
    now: float,
) -> None:
    """Record what a commit tells about the load of the partition and about an entry."""
    worked = committed.outcome in (rows.Outcome.COMMITTED, rows.Outcome.CONFLICT)
    if worked or committed.busy:
        waited = max(seconds, latency.FULL_QUEUE_SECONDS) if committed.busy else seconds
        sharing.observe_duration(route.sharing, route.node, waited, now)
    if committed.busy:
        # Another way leads to the same full partition.
        return
    used = [node for node, entry in route.known.items() if entry.internal == used_address]
    sharing.record(
        route.sharing, used[0] if used_address and used else "", worked, was_reached, now
    )


def _may_use_one_entry(route: Route) -> bool:
    return len(route.known) <= MAX_ENTRIES


def _stay_relayed(route: Route, now: float) -> None:
    route.busy = True
    spread = RELAYED_SPREAD * backoff.jitter(route.node, int(now))
    route.relayed_until = now + RELAYED_SECONDS * (1.0 + spread)


def _record_failed_entry(route: Route, now: float, used_address: str, cannot_commit: bool) -> None:
    """Avoid an entry at once if it cannot commit, or after two outcomes that it does not know."""
    route.failures += 1
    is_second = route.failures >= MAX_FAILURES
    if cannot_commit or is_second:
        for node, entry in route.known.items():
            if entry.internal == used_address:
                route.avoided_until[node] = now + AVOIDED_SECONDS
    if is_second:
        route.failures = 0
        if cannot_commit:
            route.direct_until = now + DIRECT_SECONDS
