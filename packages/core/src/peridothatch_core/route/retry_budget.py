"""A budget that keeps retries a small share of all requests."""

from __future__ import annotations

import dataclasses

# With 10% a service whose every request fails gets 1.1 times its usual load, not a multiple.
RETRY_RATIO = 0.1

# Lets a service with little traffic retry at all; also the most that can be saved up.
MAX_TOKENS = 10.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Retries that may be made now."""

    tokens: float = MAX_TOKENS


def deposit(budget: Budget) -> None:
    """Account for one new request."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + RETRY_RATIO)


def available(budget: Budget) -> bool:
    """Return whether a retry may be made."""
    return budget.tokens >= 1.0


def take(budget: Budget) -> bool:
    """Use one retry; return whether there was one."""
    if not available(budget):
        return False
    budget.tokens -= 1.0
    return True
