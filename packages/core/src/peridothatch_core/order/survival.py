"""Survival estimate of run times, from weighted bins on a logarithmic scale.

The bins bound the state whatever the number of runs, can be added and scaled, and keep all peaks
of a distribution. The estimate is that of Kaplan and Meier: runs that have not ended count as runs
that take longer than they have taken so far.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import math
import operator
import statistics

MIN_SECONDS = 0.01
"""Lower edge of the first bin; no task that a worker starts ends sooner."""

MAX_SECONDS = 1e7
"""Longest run time that is recorded, about four months."""

LOG_BIN_RATIO = math.log(1.05)
"""Logarithm of the width of a bin: a quantile is exact to 5 %."""

MAX_BIN = int(math.log(MAX_SECONDS / MIN_SECONDS) / LOG_BIN_RATIO)

PRIOR_SPREAD = 0.5
"""Standard deviation of log run times that is assumed beyond the known run times.

The work of one queue had 0.15 to 0.66 on the recorded days.
"""

PRIOR_WEIGHT = 2.0
"""Number of samples that the assumed spread counts for."""

EXTREME = 1e-4
"""Least distance of a quantile from 0 and 1."""

Bins = dict[int, float]
"""Weights of samples by bin."""

_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True, slots=True)
class Curve:
    """Distribution of run times.

    Attributes
    ----------
    bins : tuple of int
        Bins in which runs have ended, ascending.
    ended : tuple of float
        Estimated share of runs that have ended by the upper edge of each bin.
    weight : float
        Number of samples.
    spread : float
        Standard deviation of the logarithm, shrunk towards `PRIOR_SPREAD`.
    """

    bins: tuple[int, ...]
    ended: tuple[float, ...]
    weight: float
    spread: float


def is_plausible(seconds: float) -> bool:
    """Return whether a run time can be recorded."""
    return MIN_SECONDS <= seconds <= MAX_SECONDS


def find_bin(seconds: float) -> int:
    """Return the bin of a run time, which is limited to those that can be recorded."""
    bounded = min(max(seconds, MIN_SECONDS), MAX_SECONDS)
    return min(MAX_BIN, int(math.log(bounded / MIN_SECONDS) / LOG_BIN_RATIO))


def add(bins: Bins, other: Bins, factor: float = 1.0) -> None:
    """Add the samples of other bins, multiplied by a factor."""
    for index, weight in other.items():
        bins[index] = bins.get(index, 0.0) + factor * weight


def estimate(ended: Bins, running: Bins) -> Curve:
    """Return the distribution of run times, given runs that have ended and runs that have not.

    A running run counts half in the bin that it has reached.
    """
    bins, factors, later = [], [], 0.0
    for index in sorted(ended.keys() | running.keys(), reverse=True):
        ends, open_runs = ended.get(index, 0.0), running.get(index, 0.0)
        if ends > 0:
            bins.append(index)
            factors.append(1.0 - ends / (later + ends + open_runs / 2))
        later += ends + open_runs
    bins.reverse()
    factors.reverse()
    surviving = itertools.accumulate(factors, operator.mul)
    weight = math.fsum(ended[index] for index in bins)
    return Curve(
        tuple(bins), tuple(1.0 - share for share in surviving), weight,
        _spread(bins, ended, weight),
    )  # fmt: skip


def quantile(curve: Curve, share: float) -> float:
    """Return the run time in seconds within which a share of new runs is expected to end.

    With few samples, the longest of them is not the end of the distribution: the share of new
    runs that end within the k-th of n samples is k / (n + 1). Beyond the last sample, the
    distribution continues as a log-normal one.
    """
    share = min(max(share, EXTREME), 1.0 - EXTREME)
    target = (share * (curve.weight + 1.0) - 0.5) / curve.weight
    position = bisect.bisect_left(curve.ended, target)
    if position == len(curve.bins):
        beyond = _NORMAL.inv_cdf(share) - _NORMAL.inv_cdf(_last_share(curve))
        return _edge(curve.bins[-1] + 1) * math.exp(max(0.0, curve.spread * beyond))
    before = curve.ended[position - 1] if position else 0.0
    # A bin with hardly any weight among many open runs has a share of zero.
    width = curve.ended[position] - before
    part = (target - before) / width if width > 0 else 0.0
    return _edge(curve.bins[position] + min(max(part, 0.0), 1.0))


def share_ended(curve: Curve, seconds: float) -> float:
    """Return the share of new runs that are expected to end within a time; 1 beyond all known."""
    if seconds >= longest(curve):
        return 1.0
    place = math.log(max(seconds, MIN_SECONDS) / MIN_SECONDS) / LOG_BIN_RATIO
    position = bisect.bisect_right(curve.bins, place) - 1
    if position < 0:
        return 0.0
    before = curve.ended[position - 1] if position else 0.0
    part = min(1.0, place - curve.bins[position])
    ended = before + part * (curve.ended[position] - before)
    return (ended * curve.weight + 0.5) / (curve.weight + 1.0)


def longest(curve: Curve) -> float:
    """Return the longest known run time in seconds."""
    return _edge(curve.bins[-1] + 1)


def _last_share(curve: Curve) -> float:
    share = (curve.ended[-1] * curve.weight + 0.5) / (curve.weight + 1.0)
    return min(max(share, EXTREME), 1.0 - EXTREME)


def _edge(index: float) -> float:
    """Return the run time at a position on the scale of the bins."""
    return MIN_SECONDS * math.exp(index * LOG_BIN_RATIO)


def _spread(bins: list[int], ended: Bins, weight: float) -> float:
    if not weight:
        return PRIOR_SPREAD
    mean = sum(index * ended[index] for index in bins) / weight
    squares = sum((index - mean) ** 2 * ended[index] for index in bins) * LOG_BIN_RATIO**2
    total = squares + PRIOR_WEIGHT * PRIOR_SPREAD**2
    return math.sqrt(total / (weight + PRIOR_WEIGHT))
