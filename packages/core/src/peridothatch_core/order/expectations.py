"""Expected run times of tasks, learned from finished runs by customer and queue.

Handles declared run times that are wrong by a factor of 2 to 10, work of several kinds in one
queue, and work that changes. The customer's own runs in a queue are used first, then the runs of
all customers in the queue, then the declared run time.

A declared run time is wrong by a large factor, yet longer work is declared to be longer. Samples
are therefore kept relative to a small power of the declared run time.

A sample is a step, not a task: the tasks of a step are alike, so that one wide step says little
about the next one. All functions take run times on a worker of ordinary speed.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import typing

from peridothatch_core.order import runtimes, survival

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_SECONDS = runtimes.DEFAULT_ESTIMATE_SECONDS
"""Expected run time if nothing is known and nothing is declared."""

DECLARED_EXPONENT = 0.3
"""Power of the declared run time that a run time is expected to grow with.

It is the share of the variance of the run times in the sum with that of the declaration's error,
both of the logarithm: about 0.4^2 and 0.6^2 in the recorded days.
"""

REFERENCE_SECONDS = 10.0
"""Declared run time that samples are converted to, and that is assumed where none is declared."""

MIN_OWN_SAMPLES = 5.0
"""Least number of a customer's samples before they are used instead of those of the queue.

The customers of a queue differ less than the samples of one of them.
"""

MIN_POOL_SAMPLES = 1.0
"""Least number of samples of a queue before they are used instead of the declared run time."""

MIN_POOL_LIMIT = 3.0
"""Number of samples of one customer that always count among those of the queue."""

WEIGHT_TOLERANCE = 1e-6
"""Allowance for the rounding of the weights of many tasks of a step."""

MAX_SAMPLES = 40.0
"""Number of samples above which all are scaled down, so that older ones count less."""

MAX_SERIES = 256
"""Maximum number of pairs of customer and queue; the one without a run for longest is removed."""

MAX_POOL_SHARE = 0.25
"""Largest share of one customer in the samples of a queue, if four customers or more have some."""

RECENT_SAMPLES = 5.0
"""Number of latest samples that are kept apart until it is known that the work has not shifted."""

DRIFT_ALLOWANCE = 0.2
"""Mean deviation of the rank of new samples from one half that does not count as a shift."""

DRIFT_THRESHOLD = 1.5
"""Sum of deviations above the allowance that counts as a shift of the work.

Reached after six samples that are all longer, or all shorter, than many earlier ones. None of 60
seeded log-normal series of 300 samples without a shift reached it.
"""

MIN_REFERENCE_SAMPLES = 3.0
"""Least number of earlier samples with which new ones are compared.

The rank among few samples is uncertain, so as many are assumed to lie evenly around the new one.
"""

SHIFTED_FACTOR = 0.1
"""Factor for the weight of earlier samples after a shift."""


class Level(enum.StrEnum):
    """What an expected run time is based on."""

    CUSTOMER = "customer"
    QUEUE = "queue"
    DECLARED = "declared"
    DEFAULT = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """An expected run time.

    Attributes
    ----------
    samples : float
        Number of samples that it is based on; 0 without a history.
    """

    seconds: float
    samples: float
    level: Level


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRun:
    """A run that has not ended, with the time so far; see `record`."""

    customer: str
    queue: str
    seconds: float
    weight: float = 1.0
    declared_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class Series:
    """Finished runs of one customer in one queue.

    Attributes
    ----------
    settled : Bins
        Samples up to the last check for a shift.
    recent : Bins
        Later samples.
    longer, shorter : float
        Cumulative sums that detect a shift to longer and to shorter run times.
    """

    settled: survival.Bins = dataclasses.field(default_factory=dict)
    recent: survival.Bins = dataclasses.field(default_factory=dict)
    longer: float = 0.0
    shorter: float = 0.0


@dataclasses.dataclass(slots=True)
class History:
    """Finished and running runs by customer and queue.

    Attributes
    ----------
    series : dict
        Finished runs by (customer, queue); the one with the latest run is last.
    running : dict
        Times that open runs have taken so far, by (customer, queue).
    unsaved : dict of (str, str)
        Pairs of customer and queue that have changed since their rows were written, the longest
        waiting first; the values are not used.
    curves : dict
        Distributions by (customer, queue), and by (``None``, queue) over all customers; computed
        when they are used and removed when they change.
    """

    series: dict[tuple[str, str], Series] = dataclasses.field(default_factory=dict)
    running: dict[tuple[str, str], survival.Bins] = dataclasses.field(default_factory=dict)
    unsaved: dict[tuple[str, str], None] = dataclasses.field(default_factory=dict)
    curves: dict[tuple[str | None, str], survival.Curve] = dataclasses.field(default_factory=dict)


def record(
    history: History,
    customer: str,
    queue: str,
    seconds: float,
    weight: float = 1.0,
    declared_seconds: float = 0.0,
) -> bool:
    """Record the run time of a run that is done; return whether it is plausible.

    Parameters
    ----------
    declared_seconds : float
        Declared run time; 0 if there is none.
    weight : float
        Share of the run in its step: 1 for a gang, and less for one of several tasks.
    """
    if not survival.is_plausible(seconds) or not 0.0 < weight <= 1.0:
        return False
    key = (customer, queue)
    series = history.series.pop(key, None) or Series()
    history.series[key] = series
    index = survival.find_bin(seconds / _declared_factor(declared_seconds))
    _observe_shift(series, index, weight)
    survival.add(series.recent, {index: weight})
    _settle(series)
    history.unsaved.setdefault(key)
    _forget_curves(history, customer, queue)
    while len(history.series) > MAX_SERIES:
        oldest = next(iter(history.series))
        del history.series[oldest]
        history.unsaved.setdefault(oldest)
        _forget_curves(history, *oldest)
    return True


def observe_running(history: History, runs: Iterable[OpenRun]) -> None:
    """Replace the open runs."""
    history.running = {}
    for run in runs:
        bins = history.running.setdefault((run.customer, run.queue), {})
        index = survival.find_bin(run.seconds / _declared_factor(run.declared_seconds))
        bins[index] = bins.get(index, 0.0) + run.weight
    history.curves.clear()


def restore(history: History, customer: str, queue: str, bins: survival.Bins) -> None:
    """Add the samples of an earlier leader, which count as older than all that are known."""
    known = history.series.pop((customer, queue), None) or Series()
    survival.add(known.settled, bins)
    _limit(known)
    history.series = {(customer, queue): known, **history.series}
    while len(history.series) > MAX_SERIES:
        del history.series[next(iter(history.series))]
    history.curves.clear()


def summarize(series: Series) -> survival.Bins:
    """Return all samples of a series."""
    bins = dict(series.settled)
    survival.add(bins, series.recent)
    return bins


def estimate(
    history: History, customer: str, queue: str, declared_seconds: float, quantile: float
) -> Expectation:
    """Return the run time within which a share of the runs of a task is expected to end."""
    curve, level = _find_curve(history, customer, queue)
    if curve is None:
        return _without_history(declared_seconds)
    seconds = survival.quantile(curve, quantile) * _declared_factor(declared_seconds)
    return Expectation(seconds, curve.weight, level)


def remaining(
    history: History,
    customer: str,
    queue: str,
    elapsed_seconds: float,
    declared_seconds: float,
    quantile: float,
) -> float:
    """Return the time in seconds within which a share of the runs that have come so far will end.

    A run that has exceeded all known run times is expected to take as long again.
    """
    curve, _ = _find_curve(history, customer, queue)
    if curve is None:
        rest = _without_history(declared_seconds).seconds - elapsed_seconds
        return rest if rest > 0 else elapsed_seconds
    factor = _declared_factor(declared_seconds)
    ended = survival.share_ended(curve, elapsed_seconds / factor)
    if ended >= 1.0:
        return elapsed_seconds
    share = 1.0 - (1.0 - quantile) * (1.0 - ended)
    return max(0.0, survival.quantile(curve, share) * factor - elapsed_seconds)


def describe(history: History) -> dict[str, dict[str, float]]:
    """Return the samples of each queue over all customers, and what is expected of its work.

    The expected run times are those of work that is declared to take `REFERENCE_SECONDS`.
    """
    described = {}
    for queue in sorted({queue for _, queue in history.series}):
        curve = _pool(history, queue)
        if curve.weight > 0:
            described[queue] = {
                "samples": round(curve.weight, 1),
                "seconds_0.5": round(survival.quantile(curve, 0.5), 3),
                "seconds_0.95": round(survival.quantile(curve, 0.95), 3),
            }
    return described


def _declared_factor(declared_seconds: float) -> float:
    """Return the factor of a run time to that of work that is declared as the reference."""
    if declared_seconds <= 0:
        return 1.0
    return (declared_seconds / REFERENCE_SECONDS) ** DECLARED_EXPONENT


def _without_history(declared_seconds: float) -> Expectation:
    if declared_seconds > 0:
        return Expectation(declared_seconds, 0.0, Level.DECLARED)
    return Expectation(DEFAULT_SECONDS, 0.0, Level.DEFAULT)


def _observe_shift(series: Series, index: int, weight: float) -> None:
    """Update the cumulative sums by a sample; scale earlier samples down after a shift."""
    total = math.fsum(series.settled.values())
    if total < MIN_REFERENCE_SAMPLES:
        return
    below = math.fsum(share for known, share in series.settled.items() if known < index)
    rank = below + series.settled.get(index, 0.0) / 2
    deviation = (rank + MIN_REFERENCE_SAMPLES / 2) / (total + MIN_REFERENCE_SAMPLES) - 0.5
    series.longer = max(0.0, series.longer + weight * (deviation - DRIFT_ALLOWANCE))
    series.shorter = max(0.0, series.shorter + weight * (-deviation - DRIFT_ALLOWANCE))
    if max(series.longer, series.shorter) > DRIFT_THRESHOLD:
        series.longer = series.shorter = 0.0
        series.settled = {known: SHIFTED_FACTOR * share for known, share in series.settled.items()}


def _settle(series: Series) -> None:
    """Add the recent samples to the settled ones, unless the work may be shifting."""
    recent = math.fsum(series.recent.values())
    may_shift = max(series.longer, series.shorter) > DRIFT_THRESHOLD / 2
    if recent < (2 if may_shift else 1) * RECENT_SAMPLES:
        return
    survival.add(series.settled, series.recent)
    series.recent = {}
    _limit(series)


def _limit(series: Series) -> None:
    """Scale the settled samples down to the maximum and remove those that hardly count."""
    total = math.fsum(series.settled.values())
    factor = min(1.0, MAX_SAMPLES / total) if total else 1.0
    series.settled = {
        index: factor * weight
        for index, weight in series.settled.items()
        if factor * weight > MAX_SAMPLES / 1e5
    }


def _find_curve(
    history: History, customer: str, queue: str
) -> tuple[survival.Curve | None, Level]:
    """Return the distribution of a customer's runs, or else that of all runs in the queue."""
    for owner, level, least in (
        (customer, Level.CUSTOMER, MIN_OWN_SAMPLES),
        (None, Level.QUEUE, MIN_POOL_SAMPLES),
    ):
        curve = history.curves.get((owner, queue))
        if curve is None:
            curve = _pool(history, queue) if owner is None else _own(history, customer, queue)
            history.curves[owner, queue] = curve
        if curve.weight >= least - WEIGHT_TOLERANCE:
            return curve, level
    return None, Level.DECLARED


def _own(history: History, customer: str, queue: str) -> survival.Curve:
    key = (customer, queue)
    series = history.series.get(key)
    ended = summarize(series) if series else {}
    return survival.estimate(ended, history.running.get(key, {}))


def _pool(history: History, queue: str) -> survival.Curve:
    """Return the distribution over all customers, each limited to its share of the samples."""
    found = []
    for key in history.series.keys() | history.running.keys():
        if key[1] == queue:
            ended = summarize(history.series[key]) if key in history.series else {}
            running = history.running.get(key, {})
            found.append((math.fsum((*ended.values(), *running.values())), ended, running))
    limit = _pool_limit([weight for weight, _, _ in found])
    ended_by_all: survival.Bins = {}
    running_by_all: survival.Bins = {}
    for weight, ended, running in found:
        factor = min(1.0, limit / weight) if weight else 1.0
        survival.add(ended_by_all, ended, factor)
        survival.add(running_by_all, running, factor)
    return survival.estimate(ended_by_all, running_by_all)


def _pool_limit(weights: list[float]) -> float:
    """Return the greatest weight of one customer in the samples of a queue.

    With it, no customer has more than its share. A few samples are always allowed, so that the
    first customer of a queue gives others a first estimate.
    """
    share = max(MAX_POOL_SHARE, 1.0 / max(1, len(weights)))
    descending = sorted(weights, reverse=True)
    rest = math.fsum(descending)
    for limited, weight in enumerate(descending):
        if limited * share < 1.0:
            limit = share * rest / (1.0 - limited * share)
            if weight <= limit:
                return max(limit, MIN_POOL_LIMIT)
        rest -= weight
    return max(descending[-1] if descending else 0.0, MIN_POOL_LIMIT)


def _forget_curves(history: History, customer: str, queue: str) -> None:
    history.curves.pop((customer, queue), None)
    history.curves.pop((None, queue), None)
