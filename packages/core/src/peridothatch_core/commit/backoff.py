"""Delays of retries after the store has refused a transaction or left it without an answer.

Answers a partition that many processes write to at once: without jitter, those that were refused
together come again together, and are refused again.
"""

from __future__ import annotations

import zlib

MAX_DOUBLINGS = 16
"""Doublings of the first delay after which the number of failures no longer matters."""


def delay_seconds(name: str, failures: int, first: float, longest: float) -> float:
    """Return the delay after a number of consecutive failures.

    The delay doubles with each failure, up to a bound, and is between half of that and all of it.

    Parameters
    ----------
    name : str
        Identifies the process; two processes with the same number of failures wait differently.
    failures : int
        Consecutive failures; at least 1.
    """
    doublings = min(max(0, failures - 1), MAX_DOUBLINGS)
    return min(longest, first * 2**doublings) * (0.5 + 0.5 * jitter(name, failures))


def jitter(name: str, failures: int) -> float:
    """Return a number from 0 up to 1 that differs between processes and between attempts."""
    return zlib.crc32(f"{name}/{failures}".encode()) / 2**32
