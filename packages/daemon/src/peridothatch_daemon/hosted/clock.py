"""Monotonic and wall-clock time of the local machine."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds on a monotonic clock that also runs while the machine is suspended.

    Otherwise leases would not expire, and data would not age, during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the wall-clock time as a Unix timestamp in milliseconds."""
    return time.time_ns() // 1_000_000
