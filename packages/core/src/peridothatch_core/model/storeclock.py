"""Bounds on the offset between the store's clock and the local clock.

The store's clock read the ``now_ms`` of a response at some time between the request and the
response. A long poll therefore gives loose bounds, and an earlier response to a short request may
give tighter ones. Each bound is kept until a tighter one is found. It is widened over time by the
maximum drift between the two clocks.
"""

from __future__ import annotations

import dataclasses

MAX_DRIFT_RATE = 0.01
"""Maximum relative drift between the store's clock and the local clock. The steady clocks of
machines drift by at most a tenth of this."""


@dataclasses.dataclass(slots=True)
class StoreClock:
    """The tightest known bounds.

    Attributes
    ----------
    known : bool
        A response with the store's time has been received.
    least_ahead_ms, most_ahead_ms : float
        Lower and upper bound on the store's time minus the local time.
    least_at, most_at : float
        Local time in seconds at which each bound was exact.
    asked_at : float
        Local time in seconds of the latest request that was answered.
    """

    known: bool = False
    least_ahead_ms: float = 0.0
    least_at: float = 0.0
    most_ahead_ms: float = 0.0
    most_at: float = 0.0
    asked_at: float = 0.0


def observe(clock: StoreClock, now_ms: int, asked_at: float, answered_at: float) -> None:
    """Update the bounds from a response of the store.

    Parameters
    ----------
    now_ms : int
        Store time in the response, truncated to whole milliseconds; 0 if it had none.
    asked_at, answered_at : float
        Local time in seconds before the request and after the response.
    """
    if not now_ms:
        return
    least_ms = now_ms - 1000.0 * answered_at
    most_ms = now_ms + 1 - 1000.0 * asked_at
    # A response that contradicts the known bounds means that one of the clocks was set, so
    # both bounds are replaced.
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
    """Return a lower bound on the store's current time."""
    return int(1000.0 * now + _lower_bound_ms(clock, now))


def latest_ms(clock: StoreClock, now: float) -> int:
    """Return an upper bound on the store's current time."""
    return int(1000.0 * now + _upper_bound_ms(clock, now)) + 1


def local_time_before(clock: StoreClock, store_ms: int) -> float:
    """Return a local time at which the store's clock has not yet reached ``store_ms``."""
    remaining_ms = store_ms - clock.most_ahead_ms - 1000.0 * clock.most_at
    rate = 1.0 + MAX_DRIFT_RATE if remaining_ms > 0 else 1.0 - MAX_DRIFT_RATE
    return clock.most_at + remaining_ms / (1000.0 * rate)


def uncertainty_ms(clock: StoreClock, now: float) -> float:
    """Return the difference between the bounds, which is about one round trip to the store."""
    return _upper_bound_ms(clock, now) - _lower_bound_ms(clock, now)


def age_seconds(clock: StoreClock, now: float) -> float:
    """Return the time since the latest answered request was sent; infinity if there is none."""
    return now - clock.asked_at if clock.known else float("inf")


def _lower_bound_ms(clock: StoreClock, now: float) -> float:
    return clock.least_ahead_ms - 1000.0 * MAX_DRIFT_RATE * abs(now - clock.least_at)


def _upper_bound_ms(clock: StoreClock, now: float) -> float:
    return clock.most_ahead_ms + 1000.0 * MAX_DRIFT_RATE * abs(now - clock.most_at)
