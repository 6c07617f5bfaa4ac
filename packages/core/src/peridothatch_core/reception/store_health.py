"""Whether the store can be relied on for the next call, judged by the calls before it."""

from __future__ import annotations

import dataclasses

SILENT_SECONDS = 1.8
"""Silence of the store after which nothing is sent to it. A feed is answered several times a
second, and a store that is many times slower than usual within half a second more."""

FAILURES = 2
"""Calls of a feed that fail one after the other before the store counts as out of reach. One
alone may be a connection that was reset."""


@dataclasses.dataclass(slots=True)
class StoreHealth:
    """What the feed of jobs shows of the store.

    Attributes
    ----------
    answered_at : float
        When the store last answered, in local seconds.
    failures : int
        Calls that have failed since.
    """

    answered_at: float = -1e9
    failures: int = 0


def record_answer(health: StoreHealth, at: float) -> None:
    """Record an answer of the store."""
    health.answered_at = max(health.answered_at, at)
    health.failures = 0


def record_failure(health: StoreHealth) -> None:
    """Record a call of the feed without a usable answer."""
    health.failures += 1


def outage_reason(health: StoreHealth, now: float) -> str:
    """Return why the store counts as out of reach, or an empty text.

    A refusal that is made instead of a call is certainly true, and it is made at once.
    """
    silent = now - health.answered_at
    if health.failures >= FAILURES:
        return f"the last {health.failures} calls to the store failed"
    if silent > SILENT_SECONDS:
        return f"the store has not answered for {silent:.1f} s"
    return ""
