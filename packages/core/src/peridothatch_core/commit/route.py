"""Decides whether an agent commits directly or through an entry that groups transactions.

A partition of the store applies transactions one after another, so a busy one is relieved by fewer
and larger transactions. The same way serves an agent that the store turns away while it serves
others.
"""

from __future__ import annotations

import dataclasses
import typing
import zlib

from peridothatch_core.message import rows

if typing.TYPE_CHECKING:
    from peridothatch_core.model import entries

SLOW_COMMIT_SECONDS = 0.15
"""Duration of a direct commit from which the store counts as busy. A commit from the other region
over a new connection takes less."""

GROUPED_SECONDS = 5.0
"""Time for which commits go through an entry before a direct one is tried again."""

DIRECT_SECONDS = 2.0
"""Time for which commits are direct after an entry has failed to commit one."""

ENTRIES_PER_GROUP = 2
"""Number of entries over which the agents are spread. More of them would group fewer transactions
together."""


@dataclasses.dataclass(slots=True)
class Route:
    """What an agent knows about the two ways.

    Attributes
    ----------
    known : dict
        Entries by node.
    leader : str
        Node that held the leader lease when it was last read.
    grouped_until, direct_until : float
        Local time in seconds until which one of the ways is kept.
    """

    node: str
    known: dict[str, entries.Entry] = dataclasses.field(default_factory=dict)
    leader: str = ""
    grouped_until: float = -1e9
    direct_until: float = -1e9


def address(route: Route, now: float) -> str:
    """Return the address of the entry that commits for this agent; empty to commit directly."""
    if now >= route.grouped_until or now < route.direct_until:
        return ""
    candidates = _candidates(route)
    if not candidates:
        return ""
    number = zlib.crc32(route.node.encode()) % len(candidates)
    return candidates[number].internal


def record_direct(route: Route, committed: rows.Committed, now: float) -> None:
    """Record the outcome of a direct commit."""
    slow = committed.answered_at - committed.asked_at >= SLOW_COMMIT_SECONDS
    refused = committed.outcome in (rows.Outcome.NOT_DONE, rows.Outcome.UNKNOWN)
    if slow or refused:
        route.grouped_until = now + GROUPED_SECONDS


def record_grouped(route: Route, committed: rows.Committed, now: float) -> None:
    """Record the outcome of a commit through an entry."""
    if committed.outcome in (rows.Outcome.NOT_DONE, rows.Outcome.UNKNOWN):
        route.direct_until = now + DIRECT_SECONDS


def _candidates(route: Route) -> list[entries.Entry]:
    """Return entries in the leader's data centre, which is near the store, except the leader."""
    leader = route.known.get(route.leader)
    if leader is None:
        return []
    near = sorted(
        (
            entry
            for entry in route.known.values()
            if entry.internal and entry.data_centre == leader.data_centre
        ),
        key=lambda entry: (entry.node == leader.node, entry.node),
    )
    return near[:ENTRIES_PER_GROUP]
