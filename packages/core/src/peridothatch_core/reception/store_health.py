"""Detects outages of the store from the results of the calls to the feed of jobs."""

from __future__ import annotations

import dataclasses

MAX_SILENCE_SECONDS = 1.8
"""Time without an answer after which the store counts as unreachable. A feed is answered several
times a second, and a store that is many times slower than usual takes half a second more."""

MAX_FAILURES = 2
"""Consecutive failures of a feed's calls after which the store counts as unreachable. A single
failure may be a connection that was reset."""


@dataclasses.dataclass(slots=True)
class StoreHealth:
    """Results of the calls to the feed of jobs.

    Attributes
    ----------
    answered_at : float
        Local time in seconds at which the store last answered.
    failures : int
        Consecutive failures since then.
    """

    answered_at: float = -1e9
    failures: int = 0


def record_answer(health: StoreHealth, at: float) -> None:
    """Record an answer of the store."""
    health.answered_at = max(health.answered_at, at)
    health.failures = 0


def record_failure(health: StoreHealth) -> None:
    """Record a call to the feed that had no usable answer."""
    health.failures += 1


def outage_reason(health: StoreHealth, now: float) -> str:
    """Return why the store counts as unreachable, or an empty string.

    A call that is refused without being sent has certainly not run, and its caller gets the answer
    at once.
    """
    silent = now - health.answered_at
    if health.failures >= MAX_FAILURES:
        return f"the last {health.failures} calls to the store failed"
    if silent > MAX_SILENCE_SECONDS:
        return f"the store has not answered for {silent:.1f} s"
    return ""
