"""Run times learnt per customer and class, as quantiles of a bounded history."""

from __future__ import annotations

import bisect
import dataclasses

KEPT = 64
"""Latest run times kept for each customer and class; enough for a stable upper quantile."""

ENOUGH = 3
"""Run times from which a history is used; fewer say little about the spread."""

FIRST_SIGHT_SECONDS = 3600.0
"""Estimate without any history or hint: most jobs run for hours, so work is not put off."""

PLANNING_QUANTILE = 0.8
"""Quantile for slack: a job estimated too short starts too late, which costs its target."""


@dataclasses.dataclass(slots=True)
class _Series:
    latest: list[float] = dataclasses.field(default_factory=list)
    ascending: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class History:
    """Run times by (customer, class), and by class alone under an empty customer."""

    series: dict[tuple[str, str], _Series] = dataclasses.field(default_factory=dict)


def record(history: History, customer: str, work_class: str, seconds: float) -> None:
    """Record the run time of a job that succeeded."""
    for key in ((customer, work_class), ("", work_class)):
        series = history.series.setdefault(key, _Series())
        series.latest.append(seconds)
        bisect.insort(series.ascending, seconds)
        if len(series.latest) > KEPT:
            del series.ascending[bisect.bisect_left(series.ascending, series.latest.pop(0))]


def estimate(
    history: History,
    customer: str,
    work_class: str,
    hint_seconds: float = 0.0,
    quantile: float = PLANNING_QUANTILE,
) -> float:
    """Return the estimated run time in seconds.

    The customer's own history of the class is used first, then that of the class over all
    customers. Declared hints are far off, so one is used only while there is no history, and
    ``FIRST_SIGHT_SECONDS`` only while there is no hint either.
    """
    known = _ascending(history, customer, work_class)
    if known:
        return known[min(len(known) - 1, int(quantile * len(known)))]
    return hint_seconds if hint_seconds > 0 else FIRST_SIGHT_SECONDS


def remaining(
    history: History,
    customer: str,
    work_class: str,
    elapsed_seconds: float,
    hint_seconds: float = 0.0,
) -> float:
    """Return the estimated rest of a run: the median of the known runs that were longer.

    A run longer than all known ones is expected to take as long again.
    """
    known = _ascending(history, customer, work_class)
    if not known:
        rest = (hint_seconds if hint_seconds > 0 else FIRST_SIGHT_SECONDS) - elapsed_seconds
        return rest if rest > 0 else elapsed_seconds
    longer = bisect.bisect_right(known, elapsed_seconds)
    if longer == len(known):
        return elapsed_seconds
    return known[(longer + len(known)) // 2] - elapsed_seconds


def _ascending(history: History, customer: str, work_class: str) -> list[float]:
    for key in ((customer, work_class), ("", work_class)):
        series = history.series.get(key)
        if series is not None and len(series.ascending) >= ENOUGH:
            return series.ascending
    return []
