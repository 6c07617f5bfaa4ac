"""Placement tiers of workers of unequal speed.

The load pattern is a fleet in which a minority of the workers is faster (or slower) than the
others by a factor that exceeds the slack of urgent jobs, while other jobs have slack to spare.
Jobs with little slack prefer fast workers, and jobs with slack leave these free for them. Workers
of equal or unknown speed are placed on as if there were no tiers.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import typing

from peridothatch_core.model import learned
from peridothatch_core.schedule import speed_fit, speeds

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from peridothatch_core.model import steps
    from peridothatch_core.schedule import fit
    from peridothatch_core.schedule import state as states

MIN_KNOWN_WEIGHT = 1.5
"""Number of tasks from which the speed of a worker is known.

One task may differ from its siblings by as much as a fast worker from a slow one.
"""

MIN_KNOWN_WORKERS = 8
"""Number of known workers from which two tiers can be told from noise."""

MIN_TIER_WORKERS = 2
"""Minimum number of workers of a tier, as a single one may stand out by chance."""

MIN_SEPARATION = 3.0
"""Minimum distance between the means of the tiers, in standard errors of a worker's speed.

Splitting equal workers, whose estimates are normally distributed, gives a distance of 1.6.
"""


EXPLORING_TASKS = 2
"""Number of tasks of a step that an unknown worker receives before known slow ones.

They suffice to know its speed if the step runs on many workers.
"""


MAX_EXPLORED_WORKERS = 16
"""Number of unknown workers to which a step goes for that reason.

More would leave too few idle workers for gangs that need whole ones.
"""


class Tier(enum.StrEnum):
    """Speed of a worker relative to the others of its service."""

    FAST = "fast"
    UNKNOWN = "unknown"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, slots=True)
class Tiers:
    """Speed tiers of the workers of a service.

    Attributes
    ----------
    spread : float
        Speed of the fast workers divided by that of the slow ones; 1 if no two tiers are known.
    by_node : dict
        Tiers of the workers whose speed is known; empty if no two tiers are known.
    """

    spread: float = 1.0
    by_node: dict[str, Tier] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Fleet:
    """Speed tiers of the services whose workers differ by more than the slack of their jobs.

    Attributes
    ----------
    by_service : dict
        Tiers by service; services without tiers are not listed.
    spreads : dict
        Spread by service, also of services without tiers.
    basis : tuple of int
        Time of the fit and version of the desired state from which the tiers were derived.
    was_unequal : bool
        Tiers were found at some time, whether or not they were used.
    """

    by_service: dict[str, Tiers] = dataclasses.field(default_factory=dict)
    spreads: dict[str, float] = dataclasses.field(default_factory=dict)
    basis: tuple[int, int] = (0, 0)
    was_unequal: bool = False


EQUAL: typing.Final = Tiers()
"""Tiers of a service whose workers have the same speed, as far as is known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Preference:
    """Order in which a job uses the workers.

    Attributes
    ----------
    ranks : dict
        Rank of each known worker; the lowest is preferred, and unknown workers have rank 0.
    choices : tuple of frozenset of int
        Sets of ranks within which a gang is placed if it fits, the preferred set first.
    explores : bool
        Tasks without gang go to unknown workers first, so that their speeds are learned.
    """

    ranks: dict[str, int] = dataclasses.field(default_factory=dict)
    choices: tuple[frozenset[int], ...] = ()
    explores: bool = False


NO_PREFERENCE: typing.Final = Preference()

_TIGHT_RANKS = {Tier.FAST: -1, Tier.UNKNOWN: 0, Tier.SLOW: 1}
_TIGHT_CHOICES = (frozenset({-1}), frozenset({0}), frozenset({-1, 0}), frozenset({1}))
"""Fast workers are not mixed with others unless nothing else fits, because a gang with one member
on a slow worker is slow."""

_SLACK_RANKS = {Tier.SLOW: -1, Tier.UNKNOWN: 0, Tier.FAST: 1}
_SLACK_CHOICES = (frozenset({-1}), frozenset({-1, 0}))
_EXPLORED_RANK = -2


def update(state: states.State, now_ms: int) -> list[str]:
    """Update the lasting speeds, and the tiers if the speeds or the desired state are new.

    Speeds that an earlier leader has learned are the start of the estimate. Returns a text for
    each service in which a worker has changed its tier.
    """
    if state.learned.speeds.keys() - state.speeds.lasting.keys():
        speeds.restore(state.speeds, _restored(state))
    speeds.refit(state.speeds, now_ms)
    if state.desired is None or not state.speeds.lasting:
        return []
    basis = (state.speeds.fitted_ms, state.desired.version)
    if basis == state.speed_tiers.basis:
        return []
    nodes = _nodes_by_service(state)
    slack: dict[str, float] = {}
    for queue in state.desired.queues:
        slack[queue.service] = min(queue.slack_factor, slack.get(queue.service, math.inf))
    found = {
        service: classify(state.speeds.lasting, nodes[service], state.speeds.task_deviation)
        for service in sorted(nodes.keys() & slack.keys())
    }
    used = {service: tiers for service, tiers in found.items() if tiers.spread > slack[service]}
    before = state.speed_tiers.by_service
    state.learned.speeds = _learned(state, found)
    spreads = {service: tiers.spread for service, tiers in found.items()}
    was_unequal = state.speed_tiers.was_unequal or any(spread > 1.0 for spread in spreads.values())
    state.speed_tiers = Fleet(used, spreads, basis, was_unequal)
    return _describe_changes(before, used)


def nodes_of(tiers: Tiers, tier: Tier) -> list[str]:
    """Return the nodes of the workers of one tier in alphabetical order."""
    return sorted(node for node, found in tiers.by_node.items() if found is tier)


def classify(
    speeds: Mapping[str, speed_fit.NodeSpeed], nodes: Iterable[str], task_deviation: float
) -> Tiers:
    """Divide workers into a fast and a slow tier at the split that explains most variance.

    The tiers are `EQUAL` unless the split is clear. A worker whose speed is not clearly on one
    side is unknown, that is, it has no tier.

    Parameters
    ----------
    task_deviation : float
        Standard deviation of the logarithm of the rates of similar tasks on one worker.
    """
    known = {node: speeds[node] for node in nodes if speeds[node].weight >= MIN_KNOWN_WEIGHT}
    if len(known) < MIN_KNOWN_WORKERS:
        return EQUAL
    slow, fast = _split(sorted(known.values(), key=lambda speed: speed.log_ratio))
    low, high = _mean(slow), _mean(fast)
    error = task_deviation * max(_error_factor(slow), _error_factor(fast))
    if high - low < MIN_SEPARATION * error:
        return EQUAL
    middle = (low + high) / 2.0
    by_node = {}
    for node, speed in known.items():
        distance = speed.log_ratio - middle
        if abs(distance) > task_deviation / math.sqrt(speed.weight):
            by_node[node] = Tier.FAST if distance > 0 else Tier.SLOW
    return Tiers(math.exp(high - low), by_node)


def preference(tiers: Mapping[str, Tiers], job: steps.Job) -> Preference:
    """Return the order in which a job uses the workers of its service."""
    found = tiers.get(job.service)
    if found is None:
        return NO_PREFERENCE
    is_tight = job.slack_factor <= found.spread
    ranks = _TIGHT_RANKS if is_tight else _SLACK_RANKS
    return Preference(
        {node: ranks[tier] for node, tier in found.by_node.items()},
        _TIGHT_CHOICES if is_tight else _SLACK_CHOICES,
        explores=not is_tight,
    )


def task_rank(
    preferred: Preference, step: steps.Step, tasks_on_node: Mapping[str, int]
) -> Callable[[str], int]:
    """Return a function that ranks workers for the tasks of a step without gang.

    Parameters
    ----------
    tasks_on_node : mapping
        Number of tasks of the step on each node; it may change between calls of the function.
    """
    explores = preferred.explores and speeds.shows_speed(step)

    def rank(node: str) -> int:
        if not explores or node in preferred.ranks:
            return preferred.ranks.get(node, 0)
        explored = sum(other not in preferred.ranks for other in tasks_on_node)
        tasks = tasks_on_node.get(node, 0)
        may_explore = tasks < EXPLORING_TASKS and (tasks or explored < MAX_EXPLORED_WORKERS)
        return _EXPLORED_RANK if may_explore else 0

    return rank


def gang_rank(preferred: Preference) -> Callable[[str], int]:
    """Return a function that ranks workers for the members of a gang."""
    return lambda node: preferred.ranks.get(node, 0)


def gang_groups(
    groups: Iterable[list[fit.Candidate]], preferred: Preference, avoided: Collection[str]
) -> list[list[fit.Candidate]]:
    """Return the groups in which a gang may be placed, those within preferred tiers first.

    Parameters
    ----------
    avoided : collection of str
        Nodes that are used only if no other node fits, whatever their speed.
    """
    groups = list(groups)
    narrowed = []
    for ranks in preferred.choices:
        for group in groups:
            chosen = [
                candidate
                for candidate in group
                if candidate.agent.node not in avoided
                and preferred.ranks.get(candidate.agent.node, 0) in ranks
            ]
            if chosen:
                narrowed.append(chosen)
    return [*narrowed, *groups]


def _nodes_by_service(state: states.State) -> dict[str, list[str]]:
    """Return the nodes of the workers whose speeds have been estimated."""
    nodes: dict[str, list[str]] = {}
    for agent in state.agents.values():
        if agent.worker is not None and agent.node in state.speeds.lasting:
            nodes.setdefault(agent.worker.service, []).append(agent.node)
    return nodes


def _learned(state: states.State, found: Mapping[str, Tiers]) -> dict[str, learned.LastingSpeed]:
    """Return the speeds of the workers that are known to be fast or slow.

    The others differ by noise only, by which run times must not be corrected. Until this leader
    has found tiers, the speeds that an earlier one has learned remain in use for the workers that
    have not been replaced.
    """
    if all(tiers == EQUAL for tiers in found.values()) and not state.speed_tiers.was_unequal:
        present = state.speeds.incarnations
        return {
            node: speed
            for node, speed in state.learned.speeds.items()
            if present.get(node, speed.started_ms) == speed.started_ms
        }
    known = {}
    for tiers in found.values():
        for node in tiers.by_node:
            speed = state.speeds.lasting[node]
            log_ratio = speed_fit.shrunk_log_ratio(speed)
            known[node] = learned.LastingSpeed(node, speed.started_ms, log_ratio, speed.weight)
    return known


def _restored(state: states.State) -> dict[str, speed_fit.NodeSpeed]:
    """Return the learned speeds of the workers of which this leader knows nothing."""
    return {
        node: speed_fit.from_shrunk(speed.started_ms, speed.log_ratio, speed.weight)
        for node, speed in state.learned.speeds.items()
        if node not in state.speeds.lasting
    }


def _describe_changes(before: Mapping[str, Tiers], used: Mapping[str, Tiers]) -> list[str]:
    changes = []
    for service in sorted(used.keys() | before.keys()):
        tiers = used.get(service, EQUAL)
        if tiers.by_node == before.get(service, EQUAL).by_node:
            continue
        fast, slow = (len(nodes_of(tiers, tier)) for tier in (Tier.FAST, Tier.SLOW))
        changes.append(
            f"service {service}: {fast} fast and {slow} slow workers, spread {tiers.spread:.2f}"
            if tiers.by_node
            else f"service {service}: workers are no longer ordered by speed"
        )
    return changes


def _split(
    ordered: list[speed_fit.NodeSpeed],
) -> tuple[list[speed_fit.NodeSpeed], list[speed_fit.NodeSpeed]]:
    """Split workers, in ascending order of speed, where it explains most variance."""
    weight, total = _weight(ordered), _weight(ordered) * _mean(ordered)
    best_size, most = MIN_TIER_WORKERS, -1.0
    slow_weight, slow_total = 0.0, 0.0
    for size, speed in enumerate(ordered[: len(ordered) - MIN_TIER_WORKERS], 1):
        slow_weight += speed.weight
        slow_total += speed.weight * speed.log_ratio
        fast_weight, fast_total = weight - slow_weight, total - slow_total
        distance = fast_total / fast_weight - slow_total / slow_weight
        variance_between = slow_weight * fast_weight * distance**2
        if size >= MIN_TIER_WORKERS and variance_between > most:
            best_size, most = size, variance_between
    return ordered[:best_size], ordered[best_size:]


def _error_factor(found: list[speed_fit.NodeSpeed]) -> float:
    """Return the typical standard error of a worker in units of the deviation of a task."""
    return math.sqrt(sum(1.0 / speed.weight for speed in found) / len(found))


def _weight(found: list[speed_fit.NodeSpeed]) -> float:
    return sum(speed.weight for speed in found)


def _mean(found: list[speed_fit.NodeSpeed]) -> float:
    return sum(speed.weight * speed.log_ratio for speed in found) / _weight(found)
