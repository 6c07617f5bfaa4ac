"""Bytes per second that requests may send across the link between regions."""

from __future__ import annotations

import dataclasses

# Frame, envelope and the fields of a request beside its body.
OVERHEAD_BYTES = 200


@dataclasses.dataclass(slots=True)
class Budget:
    """Bytes that may be sent now; negative after a large body."""

    bytes_per_second: float
    tokens: float
    refilled_at: float = 0.0


def create(bytes_per_second: float) -> Budget:
    """Return a budget that holds one second of bytes."""
    return Budget(bytes_per_second, bytes_per_second)


def wait_seconds(budget: Budget, now: float) -> float:
    """Return how long the link is closed for requests; 0 when it is open."""
    gained = max(0.0, now - budget.refilled_at) * budget.bytes_per_second
    budget.tokens = min(budget.bytes_per_second, budget.tokens + gained)
    budget.refilled_at = now
    if budget.tokens > 0:
        return 0.0
    if budget.bytes_per_second <= 0:
        return float("inf")
    return (1.0 - budget.tokens) / budget.bytes_per_second


def spend(budget: Budget, body_bytes: int) -> None:
    """Account for a request or an answer that crossed the link."""
    budget.tokens -= body_bytes + OVERHEAD_BYTES
