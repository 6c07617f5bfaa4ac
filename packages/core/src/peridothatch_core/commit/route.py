"""Decides whether an agent commits directly or through an entry.

A store may turn some machines away while it serves others. Without another way, the lease of such
an agent lapses and all its runs are lost.
"""

from __future__ import annotations

import dataclasses
import typing
import zlib

from peridothatch_core.message import rows

if typing.TYPE_CHECKING:
    from peridothatch_core.model import entries

RELAYED_SECONDS = 5.0
"""Time for which commits go through an entry before a direct one is tried again."""

DIRECT_SECONDS = 2.0
"""Time for which commits are direct after an entry has failed to commit one."""


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
    """

    node: str
    known: dict[str, entries.Entry] = dataclasses.field(default_factory=dict)
    relayed_until: float = -1e9
    direct_until: float = -1e9
    failures: int = 0


def address(route: Route, now: float) -> str:
    """Return the address of the entry that commits for this agent; empty to commit directly."""
    if now >= route.relayed_until or now < route.direct_until:
        return ""
    nodes = sorted(node for node, entry in route.known.items() if entry.internal)
    if not nodes:
        return ""
    number = (zlib.crc32(route.node.encode()) + route.failures) % len(nodes)
    return route.known[nodes[number]].internal


def record_direct(route: Route, committed: rows.Committed, now: float) -> None:
    """Record the outcome of a direct commit."""
    if committed.outcome in (rows.Outcome.NOT_DONE, rows.Outcome.UNKNOWN):
        route.relayed_until = now + RELAYED_SECONDS


def record_relayed(route: Route, committed: rows.Committed, now: float) -> None:
    """Record the outcome of a commit through an entry."""
    if committed.outcome in (rows.Outcome.NOT_DONE, rows.Outcome.UNKNOWN):
        route.failures += 1
        route.direct_until = now + DIRECT_SECONDS
