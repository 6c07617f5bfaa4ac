"""What a leader has learned from finished work, as stored in the row store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimes:
    """Run times of one customer's finished runs in one queue.

    Attributes
    ----------
    bins : tuple of (int, float)
        Weights of the samples by bin; see `order.survival`.
    """

    customer: str
    queue: str
    bins: tuple[tuple[int, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LastingSpeed:
    """Lasting speed of a worker relative to the fleet.

    Attributes
    ----------
    started_ms : int
        Start time of the incarnation of the worker that was measured last.
    log_ratio : float
        Natural logarithm of the speed divided by that of the fleet, shrunk towards 0 while
        comparisons are few; positive for a fast worker.
    weight : float
        Number of comparisons that the estimate is based on.
    """

    node: str
    started_ms: int
    log_ratio: float
    weight: float
