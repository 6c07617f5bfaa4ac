"""Measures how slow the writes of a process are, by their outcomes.

Answers a partition that is slow or full for some seconds: the slowest of the latest writes counts,
because the next one may wait as long.
"""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import rows

SLOW_SECONDS = 0.15
"""Duration of a write from which the store counts as slow; a write to the other region takes a
third of it."""

FULL_QUEUE_SECONDS = 1.0
"""Time that a transaction waits in a partition that refuses further ones."""

DECAY = 0.8
"""Share of an earlier latency that still counts after another write. A store that was full counts
as slow for 9 more writes, which is about three seconds of renewals."""


@dataclasses.dataclass(slots=True)
class Latency:
    """What is known about the duration of writes.

    Attributes
    ----------
    seconds : float
        Duration of the slowest of the latest writes.
    failures : int
        Writes that have failed since the last success.
    """

    seconds: float = 0.0
    failures: int = 0


def record(latency: Latency, committed: rows.Committed) -> None:
    """Record the duration and the outcome of a write.

    A write without an answer takes longer than it was awaited, or its answer is lost. A single
    one is counted as well: at the onset of a slow time, the next write must already allow for it.
    """
    seconds = committed.answered_at - committed.asked_at
    match committed.outcome:
        case rows.Outcome.COMMITTED | rows.Outcome.CONFLICT:
            latency.seconds = max(seconds, DECAY * latency.seconds)
            latency.failures = 0
            return
        case rows.Outcome.NOT_DONE if committed.busy:
            latency.seconds = max(latency.seconds, FULL_QUEUE_SECONDS)
        case rows.Outcome.UNKNOWN:
            latency.seconds = max(latency.seconds, min(FULL_QUEUE_SECONDS, seconds))
    latency.failures += 1


def observe_stated(latency: Latency, stated_ms: int) -> None:
    """Take over the latency that another process has stated."""
    seconds = min(FULL_QUEUE_SECONDS, max(0, stated_ms) / 1000.0)
    latency.seconds = max(seconds, DECAY * latency.seconds)


def is_slow(latency: Latency) -> bool:
    """Return whether writes take much longer than in normal operation."""
    return latency.seconds >= SLOW_SECONDS
