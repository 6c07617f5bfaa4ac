"""Robust fit of lasting worker speeds to the rates of progress of tasks.

The load pattern is a queue of steps with tens of similar tasks, spread over workers whose speeds
are not declared. The logarithm of a task's rate is modelled as the sum of a level of its step, an
effect of its worker and noise. Levels and effects are fitted in turn, so that a step whose tasks
all run on fast workers does not make these workers look ordinary.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

ROUNDS = 3
"""Rounds of the alternating fit. Each fit starts from the result of the previous one."""

LEVEL_ROUNDS = 4
"""Rounds in which the level of a step is found for given effects."""

NO_DIFFERENCE_WEIGHT = 0.5
"""Weight, in tasks, of the assumption that a worker is as fast as the others."""

MAX_STEP_WEIGHT = 2.0
"""Maximum weight of one step's tasks on one worker.

They run at about the same time, so a temporary disturbance of the worker affects all of them.
"""

OUTLIER_DISTANCE = 0.4
"""Distance from the fit beyond which a task loses weight, in logarithms of rates (Huber's loss).

Tasks of one step differ by about 30 %, but a few run several times as long.
"""

MIN_DEVIATION = 0.2
"""Least standard deviation of the logarithm of a task's rate that is assumed."""

NORMAL_DEVIATION = 1.5
"""Standard deviation of a normal distribution divided by its median absolute deviation."""

MAX_PRIOR_WEIGHT = 16.0
"""Maximum weight of what is kept of old steps, so that a worker's speed can still change."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSpeed:
    """Lasting speed of the worker on a node.

    Attributes
    ----------
    started_ms : int
        Start time of the worker's incarnation, in milliseconds since 1970-01-01 UTC; 0 if it is
        not known.
    log_ratio : float
        Logarithm of the worker's speed relative to the other workers.
    weight : float
        Number of tasks from which the ratio was estimated.
    """

    started_ms: int
    log_ratio: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Rate of one task: its worker, the logarithm of the rate, and a weight of at most 1."""

    node: str
    log_rate: float
    weight: float


def shrunk_log_ratio(speed: NodeSpeed) -> float:
    """Return the logarithm of a worker's speed, shrunk towards 0 while samples are few."""
    return speed.log_ratio * speed.weight / (speed.weight + NO_DIFFERENCE_WEIGHT)


def from_shrunk(started_ms: int, shrunk: float, weight: float) -> NodeSpeed:
    """Return the speed of which `shrunk_log_ratio` is given."""
    if weight <= 0.0:
        return NodeSpeed(started_ms, 0.0, 0.0)
    return NodeSpeed(started_ms, shrunk * (weight + NO_DIFFERENCE_WEIGHT) / weight, weight)


def ratio(speed: NodeSpeed) -> float:
    """Return a worker's speed relative to an ordinary one, shrunk towards 1."""
    return math.exp(shrunk_log_ratio(speed))


def fit(
    samples: Mapping[typing.Hashable, Iterable[Sample]],
    priors: Mapping[str, NodeSpeed],
    earlier: Mapping[str, NodeSpeed],
) -> dict[str, NodeSpeed]:
    """Return the speeds of workers by node.

    Parameters
    ----------
    samples : mapping
        Rates of tasks by step.
    priors : mapping
        What is known of the workers from earlier steps, by node.
    earlier : mapping
        Result of the previous fit, from which this one starts.
    """
    steps = _comparable_steps(samples)
    speeds = {**priors, **earlier}
    for _ in range(ROUNDS):
        entries = {node: [(prior.log_ratio, prior.weight)] for node, prior in priors.items()}
        for found in steps:
            _add_residuals(entries, found, speeds)
        speeds = _speeds(entries, speeds, priors)
    return speeds


def task_deviation(
    samples: Mapping[typing.Hashable, Iterable[Sample]], speeds: Mapping[str, NodeSpeed]
) -> float:
    """Return the standard deviation of the logarithm of a task's rate from the fit."""
    entries: dict[str, list[tuple[float, float]]] = {}
    for found in _comparable_steps(samples):
        _add_residuals(entries, found, speeds)
    distances = [
        (abs(value - _effect(speeds, node)), weight)
        for node, found in entries.items()
        for value, weight in found
    ]
    median = _weighted_median(distances) if distances else 0.0
    return max(MIN_DEVIATION, NORMAL_DEVIATION * median)


def summarize(
    samples: Iterable[Sample],
    speeds: Mapping[str, NodeSpeed],
    priors: Mapping[str, NodeSpeed],
) -> dict[str, NodeSpeed]:
    """Return the priors of the workers of one step after its tasks have been added to them.

    Parameters
    ----------
    speeds : mapping
        Latest fit by node.
    """
    found = _comparable(list(samples))
    nodes = {sample.node for sample in found}
    entries = {
        node: [(priors[node].log_ratio, priors[node].weight)] for node in nodes & priors.keys()
    }
    _add_residuals(entries, found, speeds)
    return {
        node: dataclasses.replace(speed, weight=min(speed.weight, MAX_PRIOR_WEIGHT))
        for node, speed in _speeds(entries, speeds, priors).items()
    }


def _weighted_median(entries: list[tuple[float, float]]) -> float:
    """Return the median of (value, weight) pairs with positive weights."""
    ordered = sorted(entries)
    half = sum(weight for _, weight in ordered) / 2.0
    passed = 0.0
    for position, (value, weight) in enumerate(ordered):
        passed += weight
        if math.isclose(passed, half) and position + 1 < len(ordered):
            return (value + ordered[position + 1][0]) / 2.0
        if passed > half:
            return value
    return ordered[-1][0]


def _comparable_steps(
    samples: Mapping[typing.Hashable, Iterable[Sample]],
) -> list[list[Sample]]:
    return [found for item in samples.values() if (found := _comparable(list(item)))]


def _comparable(samples: list[Sample]) -> list[Sample]:
    """Return the samples of a step, weighted by how much they say about their workers.

    The tasks of a worker count by the share of the step's tasks that run elsewhere, and together
    by at most ``MAX_STEP_WEIGHT``. The result is empty if all run on one worker.
    """
    total = sum(sample.weight for sample in samples)
    by_node: dict[str, float] = {}
    for sample in samples:
        by_node[sample.node] = by_node.get(sample.node, 0.0) + sample.weight
    if len(by_node) < 2:
        return []
    factors = {
        node: (1.0 - weight / total) * min(1.0, MAX_STEP_WEIGHT / weight)
        for node, weight in by_node.items()
    }
    return [
        dataclasses.replace(sample, weight=sample.weight * factors[sample.node])
        for sample in samples
    ]


def _add_residuals(
    entries: dict[str, list[tuple[float, float]]],
    found: list[Sample],
    speeds: Mapping[str, NodeSpeed],
) -> None:
    """Add the rates of a step's tasks relative to an ordinary worker, and weights, by node."""
    if not found:
        return
    effects = {node: _effect(speeds, node) for node in {sample.node for sample in found}}
    adjusted = [(sample.log_rate - effects[sample.node], sample.weight) for sample in found]
    level = _weighted_median(adjusted)
    for _ in range(LEVEL_ROUNDS):
        level, _ = _robust_mean(adjusted, level)
    for sample in found:
        entries.setdefault(sample.node, []).append((sample.log_rate - level, sample.weight))


def _speeds(
    entries: Mapping[str, list[tuple[float, float]]],
    speeds: Mapping[str, NodeSpeed],
    priors: Mapping[str, NodeSpeed],
) -> dict[str, NodeSpeed]:
    return {
        node: NodeSpeed(
            priors[node].started_ms if node in priors else 0,
            *_robust_mean(found, _effect(speeds, node)),
        )
        for node, found in entries.items()
    }


def _effect(speeds: Mapping[str, NodeSpeed], node: str) -> float:
    return shrunk_log_ratio(speeds[node]) if node in speeds else 0.0


def _robust_mean(entries: list[tuple[float, float]], center: float) -> tuple[float, float]:
    """Return the mean of values, in which those far from ``center`` count less, and the weight.

    The weight is the sum of the given weights, as outliers are few.
    """
    total, reduced_weight, weight = 0.0, 0.0, 0.0
    for value, entry_weight in entries:
        distance = abs(value - center)
        reduced = entry_weight * min(1.0, OUTLIER_DISTANCE / distance if distance else 1.0)
        total += reduced * value
        reduced_weight += reduced
        weight += entry_weight
    return (total / reduced_weight, weight) if reduced_weight > 0.0 else (0.0, 0.0)
