"""Straight-line fits of measured costs, and the measurement of processor time and memory."""

from __future__ import annotations

import dataclasses
import gc
import time
import tracemalloc
import typing

REPEATS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through points.

    Attributes
    ----------
    residual : float
        Largest distance of a point from the line, as a share of the largest measured value.
    """

    intercept: float
    slope: float
    residual: float


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Costs measured at several sizes; ``unit`` is the unit of the costs."""

    name: str
    variable: str
    unit: str
    points: tuple[tuple[float, float], ...]


def fit(points: typing.Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through ``points``.

    Raises
    ------
    ValueError
        There are fewer than two different sizes.
    """
    if len({size for size, _ in points}) < 2:
        raise ValueError("a line needs points at two sizes or more")
    mean_size = sum(size for size, _ in points) / len(points)
    mean_cost = sum(cost for _, cost in points) / len(points)
    covariance = sum((size - mean_size) * (cost - mean_cost) for size, cost in points)
    slope = covariance / sum((size - mean_size) ** 2 for size, _ in points)
    intercept = mean_cost - slope * mean_size
    largest = max(abs(cost) for _, cost in points) or 1.0
    distance = max(abs(cost - intercept - slope * size) for size, cost in points)
    return Fit(intercept, slope, distance / largest)


def row(series: Series) -> str:
    """Return the Markdown table row of a series."""
    line = fit(series.points)
    shown = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in series.points)
    return (
        f"| {series.name} | {series.variable} | {series.unit} | {shown} "
        f"| {line.intercept:.4g} | {line.slope:.4g} | {100 * line.residual:.1f} % |"
    )


def microseconds(call: typing.Callable[[], object], times: int) -> float:
    """Return the processor time of one call, in microseconds.

    The minimum of several batches is used, because other processes on a shared machine can only
    add time, through cache contention and changes of clock frequency.
    """
    best = float("inf")
    for _ in range(REPEATS):
        begin = time.process_time()
        for _ in range(times):
            call()
        best = min(best, time.process_time() - begin)
    return best / times * 1e6


def kibibytes(build: typing.Callable[[], object]) -> float:
    """Return the Python memory of the object that ``build`` returns, in KiB."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / 1024
