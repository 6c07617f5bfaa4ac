"""Bounds on the store's clock from its answers.

An answer tells that the store's clock read ``now_ms`` at some moment between the call and the
answer. A call that waited for news therefore bounds the clock loosely, and an earlier answer to a
short call may bound it better. Each bound is kept until a better one comes; it widens with time,
because the rates of two clocks differ.
"""

from __future__ import annotations

import dataclasses

MAX_DRIFT_RATE = 0.01
"""Largest difference between the rates of the store's clock and the local one; steady clocks of
machines keep to a tenth of this."""


@dataclasses.dataclass(slots=True)
class StoreClock:
    """The best bounds that are known.

    Attributes
    ----------
    known : bool
        An answer has carried the store's time.
    least_ahead_ms, most_ahead_ms : float
        Bounds on the store's time less the local time.
    least_at, most_at : float
        Local seconds at which each bound was exact.
    asked_at : float
        When the store was asked for its newest known answer, in local seconds.
    """

    known: bool = False
    least_ahead_ms: float = 0.0
    least_at: float = 0.0
    most_ahead_ms: float = 0.0
    most_at: float = 0.0
    asked_at: float = 0.0


def observe(clock: StoreClock, now_ms: int, asked_at: float, answered_at: float) -> None:
    """Take over what an answer tells.

    Parameters
    ----------
    now_ms : int
        Store time in the answer, cut to whole milliseconds; 0 when it carried none.
    asked_at, answered_at : float
        Local clock before the call and after the answer, in seconds.
    """
    if not now_ms:
        return
    least_ms = now_ms - 1000.0 * answered_at
    most_ms = now_ms + 1 - 1000.0 * asked_at
    # An answer that contradicts what is known shows that the clocks were set apart.
    fits = clock.known and (
        least_ms <= _upper_bound_ms(clock, asked_at)
        and most_ms >= _lower_bound_ms(clock, answered_at)
    )
    if not fits or least_ms >= _lower_bound_ms(clock, answered_at):
        clock.least_ahead_ms, clock.least_at = least_ms, answered_at
    if not fits or most_ms <= _upper_bound_ms(clock, asked_at):
        clock.most_ahead_ms, clock.most_at = most_ms, asked_at
    clock.known = True
    clock.asked_at = max(clock.asked_at, asked_at)


def earliest_ms(clock: StoreClock, now: float) -> int:
    """Return a time that the store's clock has certainly reached."""
    return int(1000.0 * now + _lower_bound_ms(clock, now))


def latest_ms(clock: StoreClock, now: float) -> int:
    """Return a time that the store's clock has certainly not passed."""
    return int(1000.0 * now + _upper_bound_ms(clock, now)) + 1


def local_time_before(clock: StoreClock, store_ms: int) -> float:
    """Return a local time at which the store's clock has not yet reached ``store_ms``."""
    rest_ms = store_ms - clock.most_ahead_ms - 1000.0 * clock.most_at
    rate = 1.0 + MAX_DRIFT_RATE if rest_ms > 0 else 1.0 - MAX_DRIFT_RATE
    return clock.most_at + rest_ms / (1000.0 * rate)


def uncertainty_ms(clock: StoreClock, now: float) -> float:
    """Return the width of the bounds: about one round trip to the store."""
    return _upper_bound_ms(clock, now) - _lower_bound_ms(clock, now)


def age_seconds(clock: StoreClock, now: float) -> float:
    """Return how long ago the store was asked for the newest known answer."""
    return now - clock.asked_at if clock.known else float("inf")


def _lower_bound_ms(clock: StoreClock, now: float) -> float:
    return clock.least_ahead_ms - 1000.0 * MAX_DRIFT_RATE * abs(now - clock.least_at)


def _upper_bound_ms(clock: StoreClock, now: float) -> float:
    return clock.most_ahead_ms + 1000.0 * MAX_DRIFT_RATE * abs(now - clock.most_at)
