"""The local clock of the processes."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds on a clock that also counts the time of a suspended machine.

    Leases and ages must not stand still while the machine does.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in milliseconds since 1970-01-01 UTC."""
    return time.time_ns() // 1_000_000
