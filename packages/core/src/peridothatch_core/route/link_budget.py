"""Token bucket that limits the request traffic between regions, in bytes."""

from __future__ import annotations

import dataclasses

# Size of the frame, the envelope and all fields of a request except its body.
OVERHEAD_BYTES = 200


@dataclasses.dataclass(slots=True)
class Budget:
    """A token bucket; ``tokens`` is negative after a body larger than the remaining budget."""

    bytes_per_second: float
    tokens: float
    refilled_at: float = 0.0


def create(bytes_per_second: float) -> Budget:
    """Return a budget that starts with one second of traffic."""
    return Budget(bytes_per_second, bytes_per_second)


def wait_seconds(budget: Budget, now: float) -> float:
    """Return the time until a request may be sent; 0 if it may be sent now."""
    gained = max(0.0, now - budget.refilled_at) * budget.bytes_per_second
    budget.tokens = min(budget.bytes_per_second, budget.tokens + gained)
    budget.refilled_at = now
    if budget.tokens > 0:
        return 0.0
    if budget.bytes_per_second <= 0:
        return float("inf")
    return (1.0 - budget.tokens) / budget.bytes_per_second


def spend(budget: Budget, body_bytes: int) -> None:
    """Account for a request or an answer sent between regions."""
    budget.tokens -= body_bytes + OVERHEAD_BYTES
