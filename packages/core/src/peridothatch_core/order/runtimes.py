"""Run time estimates per customer and class, as quantiles of a bounded history."""

from __future__ import annotations

import bisect
import dataclasses

MAX_SAMPLES = 64
"""Number of latest run times kept for each customer and class.

It is large enough for a stable upper quantile.
"""

MIN_SAMPLES = 3
"""Minimum number of run times before a history is used.

Fewer samples say little about the spread.
"""

DEFAULT_ESTIMATE_SECONDS = 3600.0
"""Estimate if there is neither a history nor a hint.

Most jobs run for hours; a shorter estimate would delay their start too long.
"""

PLANNING_QUANTILE = 0.8
"""Quantile of the run times that is used to compute slack.

A job whose run time is underestimated starts too late and misses its target.
"""


@dataclasses.dataclass(slots=True)
class _Series:
    latest: list[float] = dataclasses.field(default_factory=list)
    ascending: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class History:
    """Run times by (customer, class); the class over all customers has an empty customer."""

    series: dict[tuple[str, str], _Series] = dataclasses.field(default_factory=dict)


def record(history: History, customer: str, work_class: str, seconds: float) -> None:
    """Record the run time of a job that succeeded."""
    for key in ((customer, work_class), ("", work_class)):
        series = history.series.setdefault(key, _Series())
        series.latest.append(seconds)
        bisect.insort(series.ascending, seconds)
        if len(series.latest) > MAX_SAMPLES:
            del series.ascending[bisect.bisect_left(series.ascending, series.latest.pop(0))]


def estimate(
    history: History,
    customer: str,
    work_class: str,
    hint_seconds: float = 0.0,
    quantile: float = PLANNING_QUANTILE,
) -> float:
    """Return the estimated run time in seconds.

    The customer's own history of the class takes precedence over the history of the class over
    all customers. Declared hints are inaccurate, so ``hint_seconds`` is used only without a
    history, and ``DEFAULT_ESTIMATE_SECONDS`` only if there is no hint either.
    """
    samples = _ascending(history, customer, work_class)
    if samples:
        return samples[min(len(samples) - 1, int(quantile * len(samples)))]
    return hint_seconds if hint_seconds > 0 else DEFAULT_ESTIMATE_SECONDS


def remaining(
    history: History,
    customer: str,
    work_class: str,
    elapsed_seconds: float,
    hint_seconds: float = 0.0,
) -> float:
    """Return the estimated remaining run time in seconds.

    It is based on the median of the known run times that exceed the elapsed time. A run that has
    exceeded all known run times is expected to take as long again.
    """
    samples = _ascending(history, customer, work_class)
    if not samples:
        rest = (hint_seconds if hint_seconds > 0 else DEFAULT_ESTIMATE_SECONDS) - elapsed_seconds
        return rest if rest > 0 else elapsed_seconds
    longer = bisect.bisect_right(samples, elapsed_seconds)
    if longer == len(samples):
        return elapsed_seconds
    return samples[(longer + len(samples)) // 2] - elapsed_seconds


def _ascending(history: History, customer: str, work_class: str) -> list[float]:
    for key in ((customer, work_class), ("", work_class)):
        series = history.series.get(key)
        if series is not None and len(series.ascending) >= MIN_SAMPLES:
            return series.ascending
    return []
