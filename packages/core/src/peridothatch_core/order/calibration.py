"""Errors of expected run times by queue."""

from __future__ import annotations

import dataclasses
import math

QUANTILES = (0.5, 0.8, 0.95)
"""Quantiles of the run time that are forecast and checked."""

MAX_QUEUES = 64
"""Maximum number of queues whose errors are kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Run times expected when a run was ordered.

    Attributes
    ----------
    seconds : tuple of float
        Expected run time at each of `QUANTILES`.
    samples : float
        Number of samples that it is based on.
    level : str
        What it is based on; see `expectations.Level`.
    """

    seconds: tuple[float, ...]
    samples: float
    level: str


@dataclasses.dataclass(slots=True)
class Errors:
    """Errors of the forecasts of one queue.

    Attributes
    ----------
    runs : int
        Number of runs that are done.
    log_error_sum : float
        Sum of the absolute logarithms of run time divided by expected median.
    within : list of int
        Number of runs that ended within each of `QUANTILES`.
    """

    runs: int = 0
    log_error_sum: float = 0.0
    within: list[int] = dataclasses.field(default_factory=lambda: [0] * len(QUANTILES))


def record(errors: dict[str, Errors], queue: str, forecast: Forecast, seconds: float) -> float:
    """Record a run that is done; return its absolute logarithmic error."""
    if queue not in errors and len(errors) >= MAX_QUEUES:
        del errors[next(iter(errors))]
    found = errors.setdefault(queue, Errors())
    error = abs(math.log(seconds / forecast.seconds[0]))
    found.runs += 1
    found.log_error_sum += error
    for position, limit in enumerate(forecast.seconds):
        found.within[position] += seconds <= limit
    return error


def describe(errors: dict[str, Errors]) -> dict[str, dict[str, float]]:
    """Return the mean error and the share of runs within each quantile by queue."""
    return {
        queue: {
            "runs": found.runs,
            "mean_log_error": round(found.log_error_sum / found.runs, 3),
            **{
                f"within_{quantile:g}": round(count / found.runs, 3)
                for quantile, count in zip(QUANTILES, found.within, strict=True)
            },
        }
        for queue, found in errors.items()
    }
