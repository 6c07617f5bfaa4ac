"""Placement of tasks: free resources of the workers, and the choice among them."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that can take new tasks, and its free resources.

    Attributes
    ----------
    free : list of int
        Free cpu_millis, memory_mb and accelerators.
    free_after_stops : list of int
        Free resources once the runs that are stopping have ended.
    has_latency_target : bool
        A task with a latency target runs on the worker.
    has_filling_tasks : bool
        A filling task runs on the worker, which would delay a task with a latency target.
    """

    agent: agents.Agent
    worker: agents.Worker
    free: list[int]
    free_after_stops: list[int]
    has_latency_target: bool = False
    has_filling_tasks: bool = False


def available_workers(state: states.State, now_ms: int) -> list[Candidate]:
    """Return the workers that can take new tasks at store time ``now_ms``."""
    available = []
    for agent in state.agents.values():
        worker = agent.worker
        if worker is None or worker.state is not agents.WorkerState.READY:
            continue
        lease_left_ms = agent.hold_until_ms - now_ms
        if lease_left_ms < state.limits.hold_ms - states.MAX_RENEWAL_AGE_MS:
            continue
        if worker.zone in (state.evacuated or ()) or agent.node in state.health.ejected_until:
            continue
        if agent.node in state.unconfirmed:
            continue
        available.append(_candidate(state, agent, worker))
    return available


def is_eligible(candidate: Candidate, step: steps.Step, service: str) -> bool:
    """Return whether a step may run on a worker, regardless of free resources.

    Filling tasks do not run beside a task with a latency target.
    """
    worker = candidate.worker
    if worker.service != service:
        return False
    if step.fills and candidate.has_latency_target:
        return False
    return not step.requires or step.requires in (worker.kind, worker.rack)


def fits(free: list[int], needed: tuple[int, int, int]) -> bool:
    """Return whether the free resources suffice for one task."""
    return all(have >= need for have, need in zip(free, needed, strict=True))


def reserve(candidate: Candidate, needed: tuple[int, int, int]) -> None:
    """Subtract the resources of one task."""
    for resource, amount in enumerate(needed):
        candidate.free[resource] -= amount
        candidate.free_after_stops[resource] -= amount


def assign(candidate: Candidate, step: steps.Step) -> None:
    """Reserve the resources of a task that is about to be ordered on a worker."""
    reserve(candidate, states.reserved_demand(step))
    candidate.has_latency_target = candidate.has_latency_target or step.target_ms > 0
    candidate.has_filling_tasks = candidate.has_filling_tasks or step.fills


def full_speed_groups(
    step: steps.Step, service: str, candidates: Iterable[Candidate]
) -> list[list[Candidate]]:
    """Return the groups of workers within which a step runs at full speed.

    For a step with affinity, the only group is the rack that holds its data; for a gang that
    slows down when it is spread, each rack is a group. Groups that could not hold the step even
    when idle are left out. The result is empty if none remains or the step runs at full speed
    anywhere.
    """
    eligible = [candidate for candidate in candidates if is_eligible(candidate, step, service)]
    by_rack: dict[str, list[Candidate]] = {}
    for candidate in eligible:
        by_rack.setdefault(candidate.worker.rack, []).append(candidate)
    if step.affinity:
        groups = [by_rack.get(step.affinity, [])]
    elif step.gang and step.same_rack:
        groups = list(by_rack.values())
    else:
        return []
    count = step.count if step.gang else 1
    groups = [group for group in groups if _max_tasks(step, group) >= count]
    return sorted(groups, key=lambda group: sum(candidate.free[2] for candidate in group))


def place_one(
    step: steps.Step,
    service: str,
    candidates: Iterable[Candidate],
    tasks_on_node: dict[str, int],
    avoided: Collection[str],
    rank: Callable[[str], int],
) -> Candidate | None:
    """Return the worker for one task of a step, or ``None``.

    Parameters
    ----------
    tasks_on_node : dict
        Number of tasks of the step that already run on each node.
    avoided : collection of str
        Nodes that are used only if no other node fits.
    rank : callable
        Returns the rank of a node by the speed of its worker; the lowest is preferred.
    """
    needed = states.reserved_demand(step)
    fitting = [
        candidate
        for candidate in candidates
        if is_eligible(candidate, step, service)
        and fits(candidate.free, needed)
        and _below_spread_limit(step, candidate, tasks_on_node)
    ]
    return min(
        fitting,
        key=lambda candidate: _placement_key(step, candidate, needed, avoided, rank),
        default=None,
    )


def place_gang(
    step: steps.Step,
    service: str,
    groups: Iterable[list[Candidate]],
    avoided: Collection[str],
    rank: Callable[[str], int],
) -> list[Candidate] | None:
    """Return a worker for each member of a gang, from the first group that can hold all."""
    for group in groups:
        eligible = [candidate for candidate in group if is_eligible(candidate, step, service)]
        chosen = _pack_gang(step, eligible, avoided, rank)
        if chosen is not None:
            return chosen
    return None


def fallback_groups(candidates: list[Candidate]) -> list[list[Candidate]]:
    """Return the workers of each data centre, then all workers, for a step that may be spread."""
    by_data_centre: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_data_centre.setdefault(candidate.worker.zone, []).append(candidate)
    zones = sorted(
        by_data_centre.values(), key=lambda group: sum(candidate.free[2] for candidate in group)
    )
    return [*zones, candidates]


def _max_tasks(step: steps.Step, group: Iterable[Candidate]) -> int:
    """Return how many tasks of a step the workers could hold if they were idle."""
    needed = states.reserved_demand(step)
    total = 0
    for candidate in group:
        capacity = _capacity(candidate.worker)
        fitting = [have // need for have, need in zip(capacity, needed, strict=True) if need]
        most = min(fitting, default=step.count)
        total += min(most, step.spread_limit) if step.spread_limit else most
    return total


def _pack_gang(
    step: steps.Step,
    candidates: list[Candidate],
    avoided: Collection[str],
    rank: Callable[[str], int],
) -> list[Candidate] | None:
    """Return a worker for each member of a gang, or ``None``; the candidates are not changed.

    The gang is packed onto as few workers as possible, because the loss of any one of them ends
    the whole gang.
    """
    needed = states.reserved_demand(step)
    free = {candidate.agent.node: list(candidate.free) for candidate in candidates}
    tasks_on_node: dict[str, int] = {}
    chosen: list[Candidate] = []
    for candidate in sorted(
        candidates,
        key=lambda candidate: _gang_placement_key(step, candidate, needed, avoided, rank),
    ):
        remaining = free[candidate.agent.node]
        while len(chosen) < step.count and fits(remaining, needed):
            if not _below_spread_limit(step, candidate, tasks_on_node):
                break
            for resource, amount in enumerate(needed):
                remaining[resource] -= amount
            tasks_on_node[candidate.agent.node] = tasks_on_node.get(candidate.agent.node, 0) + 1
            chosen.append(candidate)
    return chosen if len(chosen) == step.count else None


def _placement_key(
    step: steps.Step,
    candidate: Candidate,
    needed: tuple[int, int, int],
    avoided: Collection[str],
    rank: Callable[[str], int],
) -> tuple[typing.Any, ...]:
    """Return the sort key of a worker for one task; the lowest is preferred.

    Workers without filling tasks come first if the step has a latency target, then workers that
    are not avoided, then workers near the step's data, then those of the preferred speed, then the
    best fit. Best fit limits fragmentation: large blocks of free resources remain for large tasks.
    """
    remaining = candidate.free[2] - needed[2]
    return (
        step.target_ms > 0 and candidate.has_filling_tasks,
        candidate.agent.node in avoided,
        bool(step.affinity) and candidate.worker.rack != step.affinity,
        rank(candidate.agent.node),
        remaining,
        candidate.free[0] - needed[0],
        candidate.agent.node,
    )


def _gang_placement_key(
    step: steps.Step,
    candidate: Candidate,
    needed: tuple[int, int, int],
    avoided: Collection[str],
    rank: Callable[[str], int],
) -> tuple[typing.Any, ...]:
    disturbed, is_avoided, away, speed_rank, *rest = _placement_key(
        step, candidate, needed, avoided, rank
    )
    return (
        disturbed,
        is_avoided,
        away,
        speed_rank,
        -min(step.count, _tasks_that_fit(candidate.free, needed)),
        *rest,
    )


def _tasks_that_fit(free: Iterable[int], needed: Iterable[int]) -> int:
    limits = [have // need for have, need in zip(free, needed, strict=True) if need]
    return max(0, min(limits, default=0))


def _below_spread_limit(
    step: steps.Step, candidate: Candidate, tasks_on_node: dict[str, int]
) -> bool:
    return not step.spread_limit or tasks_on_node.get(candidate.agent.node, 0) < step.spread_limit


def _capacity(worker: agents.Worker) -> tuple[int, int, int]:
    capacity = worker.capacity
    return capacity.cpu_millis, capacity.memory_mb, capacity.accelerators


def _candidate(state: states.State, agent: agents.Agent, worker: agents.Worker) -> Candidate:
    used = state.used.get(agent.node, [0, 0, 0])
    free = [have - taken for have, taken in zip(_capacity(worker), used, strict=True)]
    free_after_stops = list(free)
    for job, progress, run in state.runs.get(agent.node, ()):
        if run.stopping:
            for resource, amount in enumerate(states.reserved_demand(job.steps[progress.step])):
                free_after_stops[resource] += amount
    candidate = Candidate(agent, worker, free, free_after_stops)
    for job, progress, _ in state.runs.get(agent.node, ()):
        step = job.steps[progress.step]
        candidate.has_latency_target = candidate.has_latency_target or step.target_ms > 0
        candidate.has_filling_tasks = candidate.has_filling_tasks or step.fills
    return candidate
