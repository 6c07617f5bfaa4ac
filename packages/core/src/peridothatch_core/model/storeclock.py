"""Bounds on the store's clock from its answers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class StoreClock:
    """The latest answer of the store that carried its time.

    Attributes
    ----------
    now_ms : int
        Store time in the answer; 0 before the first one.
    asked_at, answered_at : float
        Local clock before the call and after the answer, in seconds. The store read its clock
        between the two.
    """

    now_ms: int = 0
    asked_at: float = 0.0
    answered_at: float = 0.0


def observe(clock: StoreClock, now_ms: int, asked_at: float, answered_at: float) -> None:
    """Take over the time of an answer, unless a later one is known."""
    if now_ms and answered_at >= clock.answered_at:
        clock.now_ms, clock.asked_at, clock.answered_at = now_ms, asked_at, answered_at


def earliest_ms(clock: StoreClock, now: float) -> int:
    """Return a time that the store's clock has certainly reached."""
    return clock.now_ms + int(1000 * (now - clock.answered_at))


def latest_ms(clock: StoreClock, now: float) -> int:
    """Return a time that the store's clock has certainly not passed."""
    return clock.now_ms + int(1000 * (now - clock.asked_at)) + 1


def local_before(clock: StoreClock, store_ms: int) -> float:
    """Return a local time at which the store's clock has not yet reached ``store_ms``."""
    return clock.asked_at + (store_ms - clock.now_ms) / 1000.0


def age_seconds(clock: StoreClock, now: float) -> float:
    """Return how long ago the store was asked for the newest known answer."""
    return now - clock.asked_at if clock.now_ms else float("inf")
