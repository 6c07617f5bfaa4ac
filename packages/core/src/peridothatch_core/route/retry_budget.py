"""Token bucket that limits retries to a fraction of the requests."""

from __future__ import annotations

import dataclasses

# At 10%, a service whose requests all fail gets 1.1 times its normal load instead of a multiple.
RETRY_RATIO = 0.1

# Initial and maximum number of tokens, so that a service with little traffic can retry at all.
MAX_TOKENS = 10.0


@dataclasses.dataclass(slots=True)
class Budget:
    """A token bucket; each retry uses one token."""

    tokens: float = MAX_TOKENS


def deposit(budget: Budget) -> None:
    """Add the tokens that a new request earns."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + RETRY_RATIO)


def available(budget: Budget) -> bool:
    """Return whether a retry may be made."""
    return budget.tokens >= 1.0


def take(budget: Budget) -> bool:
    """Use a token for a retry; return whether one was available."""
    if not available(budget):
        return False
    budget.tokens -= 1.0
    return True
