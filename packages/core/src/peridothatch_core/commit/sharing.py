"""Decides through which entry an agent shares transactions with the others of its data centre.

Answers a large fleet, whose renewals alone fill a partition that applies one transaction after
another. The agents of a data centre let the same entry commit what can wait a little and cannot
fail for others, so that the number of such transactions follows the number of data centres and
not that of workers. That also keeps the queue short when all of them come back after an outage.
"""

from __future__ import annotations

import dataclasses
import typing
import zlib

from peridothatch_core.commit import backoff, latency

if typing.TYPE_CHECKING:
    from peridothatch_core.model import entries

WAITED_SECONDS = 0.1
"""Duration of a transaction from which it has waited for others: twice that of one to the other
region without a queue."""

SHARED_SECONDS = 60.0
"""Time for which transactions are shared after one has waited. The queue is short as long as they
are, so its length does not tell when sharing is no longer needed; each attempt to do without fills
the partition of a large fleet for some seconds."""

SHARED_SPREAD = 0.4
"""Share of that time over which agents return to transactions of their own."""

AVOIDED_SECONDS = 5.0
"""Time for which an entry is not used that has failed where another way worked. It doubles when
that happens again before the entry has worked: an entry that is gone stays in the store's rows."""

MAX_AVOIDED_SECONDS = 80.0
"""Longest such time."""

REACHED_SECONDS = 1.0
"""Age of an answer of the store to this agent up to which the store works for it. Its feed asks
again every 0.3 s."""


@dataclasses.dataclass(slots=True)
class Sharing:
    """What an agent knows about shared transactions.

    Attributes
    ----------
    data_centre : str
        Data centre of the agent.
    until : float
        Local time in seconds until which transactions are shared.
    is_slow : bool
        The latest transaction was slow, so the next one may wait for a group and its own.
    failures : int
        Commits that have failed since the last success, whatever their way.
    is_direct_next : bool
        An entry has failed while the store answered this agent, so the next commit is direct.
    suspects : set
        Nodes of entries at which they have failed.
    avoided_until : dict
        Local time until which an entry is not used, by node.
    avoided_seconds : dict
        Time for which an entry has been avoided last, by node, until it works again.
    """

    data_centre: str = ""
    until: float = -1e9
    is_slow: bool = False
    failures: int = 0
    is_direct_next: bool = False
    suspects: set[str] = dataclasses.field(default_factory=set)
    avoided_until: dict[str, float] = dataclasses.field(default_factory=dict)
    avoided_seconds: dict[str, float] = dataclasses.field(default_factory=dict)


def is_active(sharing: Sharing, now: float) -> bool:
    """Return whether transactions are shared."""
    return now < sharing.until


def observe_duration(sharing: Sharing, node: str, seconds: float, now: float) -> None:
    """Share transactions for a time if one of the agent has waited in the partition."""
    sharing.is_slow = seconds >= latency.SLOW_SECONDS
    if seconds >= WAITED_SECONDS:
        spread = SHARED_SPREAD * backoff.jitter(node, int(now))
        sharing.until = now + SHARED_SECONDS * (1.0 + spread)


def choose(
    sharing: Sharing, known: typing.Iterable[entries.Entry], now: float
) -> entries.Entry | None:
    """Return the entry that commits next, or ``None`` to commit directly.

    While no way works, every second attempt is at the first entry. All agents of the data centre
    are then at few entries when the store comes back, and wait for a few groups.
    """
    usable = [entry for entry in known if sharing.avoided_until.get(entry.node, -1e9) <= now]
    if sharing.is_direct_next or not usable:
        return None
    usable.sort(key=lambda entry: _order(sharing, entry))
    number = (sharing.failures + 1) // 2 if sharing.failures % 2 else 0
    return usable[number % len(usable)]


def record(sharing: Sharing, node: str, worked: bool, was_reached: bool, now: float) -> None:
    """Record the outcome of a commit.

    Parameters
    ----------
    node : str
        Entry that made the commit; empty for a direct one.
    was_reached : bool
        The store worked for this agent when the commit was sent.
    """
    if not worked:
        sharing.failures += 1
        sharing.is_direct_next = bool(node) and was_reached
        if node:
            sharing.suspects.add(node)
        return
    sharing.failures = 0
    sharing.is_direct_next = False
    sharing.suspects.discard(node)
    sharing.avoided_seconds.pop(node, None)
    # The store works, so the other entries have failed for a reason of their own.
    for suspect in sharing.suspects:
        before = sharing.avoided_seconds.get(suspect, AVOIDED_SECONDS / 2)
        sharing.avoided_seconds[suspect] = min(2 * before, MAX_AVOIDED_SECONDS)
        sharing.avoided_until[suspect] = now + sharing.avoided_seconds[suspect]
    sharing.suspects.clear()


def _order(sharing: Sharing, entry: entries.Entry) -> tuple[bool, int]:
    """Return a sort key that is the same for all agents of a data centre."""
    return entry.data_centre != sharing.data_centre, zlib.crc32(entry.node.encode())
