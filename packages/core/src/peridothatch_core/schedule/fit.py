"""Where tasks fit: the free room of the workers, and the choice among them."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Collection, Iterable


@dataclasses.dataclass(slots=True)
class Room:
    """What a worker has left.

    Attributes
    ----------
    free : list of int
        cpu_millis, memory_mb and accelerators that are free now.
    soon : list of int
        The same, with what becomes free when the runs that are stopping have ended.
    serves : bool
        A task with a latency target runs there.
    fills : bool
        A filling task runs there, which would disturb one with a latency target.
    """

    agent: agents.Agent
    worker: agents.Worker
    free: list[int]
    soon: list[int]
    serves: bool = False
    fills: bool = False


def rooms(state: states.State, now_ms: int) -> list[Room]:
    """Return the workers that may take new work at store time ``now_ms``."""
    found = []
    for agent in state.agents.values():
        worker = agent.worker
        if worker is None or worker.state is not agents.WorkerState.READY:
            continue
        rest_ms = agent.hold_until_ms - now_ms
        if rest_ms < state.limits.hold_ms - states.RENEWED_WITHIN_MS:
            continue
        if worker.zone in state.evacuated or agent.node in state.health.ejected_until:
            continue
        if agent.node in state.unconfirmed:
            continue
        found.append(_room(state, agent, worker))
    return found


def takes(room: Room, step: steps.Step, service: str) -> bool:
    """Tell whether a worker is of the kind that a step needs and none that it would disturb."""
    worker = room.worker
    if worker.service != service:
        return False
    if step.fills and room.serves:
        return False
    return not step.requires or step.requires in (worker.kind, worker.rack)


def holds(free: list[int], needed: tuple[int, int, int]) -> bool:
    """Tell whether room is left for one task."""
    return all(have >= need for have, need in zip(free, needed, strict=True))


def subtract(room: Room, needed: tuple[int, int, int]) -> None:
    """Take the room of one task."""
    for place, amount in enumerate(needed):
        room.free[place] -= amount
        room.soon[place] -= amount


def occupy(room: Room, step: steps.Step) -> None:
    """Record that a task of a step is about to run there."""
    subtract(room, states.counted(step))
    room.serves = room.serves or step.target_ms > 0
    room.fills = room.fills or step.fills


def near_groups(step: steps.Step, service: str, found: Iterable[Room]) -> list[list[Room]]:
    """Return the groups of workers on which a step runs at full speed.

    The result is the rack of the step's data, or each rack for a gang that must not be spread,
    as far as they could ever hold the step. It is empty when there is none or any worker will
    do.
    """
    suited = [room for room in found if takes(room, step, service)]
    by_rack: dict[str, list[Room]] = {}
    for room in suited:
        by_rack.setdefault(room.worker.rack, []).append(room)
    if step.affinity:
        groups = [by_rack.get(step.affinity, [])]
    elif step.gang and step.same_rack:
        groups = list(by_rack.values())
    else:
        return []
    count = step.count if step.gang else 1
    groups = [group for group in groups if _most_tasks(step, group) >= count]
    return sorted(groups, key=lambda group: sum(room.free[2] for room in group))


def place_one(
    step: steps.Step,
    service: str,
    found: Iterable[Room],
    on_node: dict[str, int],
    avoid: Collection[str],
) -> Room | None:
    """Return the room for one task of a step, or ``None``.

    Parameters
    ----------
    on_node : dict
        Tasks of the step on each node already.
    avoid : collection of str
        Nodes that are used only when no other fits.
    """
    needed = states.counted(step)
    fitting = [
        room
        for room in found
        if takes(room, step, service)
        and holds(room.free, needed)
        and _below_limit(step, room, on_node)
    ]
    return min(fitting, key=lambda room: _preference(step, room, needed, avoid), default=None)


def place_gang(
    step: steps.Step, service: str, groups: Iterable[list[Room]], avoid: Collection[str]
) -> list[Room] | None:
    """Return a room for each member of a gang in the first group that has room for all."""
    for group in groups:
        suited = [room for room in group if takes(room, step, service)]
        chosen = _fill(step, suited, avoid)
        if chosen is not None:
            return chosen
    return None


def any_groups(found: list[Room]) -> list[list[Room]]:
    """Return the workers of each data centre, and all of them, for a step that may be spread."""
    by_zone: dict[str, list[Room]] = {}
    for room in found:
        by_zone.setdefault(room.worker.zone, []).append(room)
    zones = sorted(by_zone.values(), key=lambda group: sum(room.free[2] for room in group))
    return [*zones, found]


def _most_tasks(step: steps.Step, group: Iterable[Room]) -> int:
    """Return how many tasks of a step the workers could hold if they were empty."""
    needed = states.counted(step)
    total = 0
    for room in group:
        capacity = _capacity(room.worker)
        fitting = [have // need for have, need in zip(capacity, needed, strict=True) if need]
        most = min(fitting, default=step.count)
        total += min(most, step.spread_limit) if step.spread_limit else most
    return total


def _fill(step: steps.Step, members: list[Room], avoid: Collection[str]) -> list[Room] | None:
    """Place all members on the given workers; the rooms are left as they were.

    The fewest workers are used: the loss of any one of them ends the whole gang.
    """
    needed = states.counted(step)
    free = {room.agent.node: list(room.free) for room in members}
    on_node: dict[str, int] = {}
    chosen: list[Room] = []
    for room in sorted(members, key=lambda room: _gang_preference(step, room, needed, avoid)):
        left = free[room.agent.node]
        while len(chosen) < step.count and holds(left, needed):
            if not _below_limit(step, room, on_node):
                break
            for place, amount in enumerate(needed):
                left[place] -= amount
            on_node[room.agent.node] = on_node.get(room.agent.node, 0) + 1
            chosen.append(room)
    return chosen if len(chosen) == step.count else None


def _preference(
    step: steps.Step, room: Room, needed: tuple[int, int, int], avoid: Collection[str]
) -> tuple[typing.Any, ...]:
    """Order rooms: undisturbed and sound ones, then data nearby, then the tightest fit.

    The tightest fit keeps large holes whole.
    """
    left = room.free[2] - needed[2]
    return (
        step.target_ms > 0 and room.fills,
        room.agent.node in avoid,
        bool(step.affinity) and room.worker.rack != step.affinity,
        left,
        room.free[0] - needed[0],
        room.agent.node,
    )


def _gang_preference(
    step: steps.Step, room: Room, needed: tuple[int, int, int], avoid: Collection[str]
) -> tuple[typing.Any, ...]:
    disturbed, avoided, away, *rest = _preference(step, room, needed, avoid)
    return (disturbed, avoided, away, -min(step.count, _tasks_that_fit(room.free, needed)), *rest)


def _tasks_that_fit(free: Iterable[int], needed: Iterable[int]) -> int:
    limits = [have // need for have, need in zip(free, needed, strict=True) if need]
    return max(0, min(limits, default=0))


def _below_limit(step: steps.Step, room: Room, on_node: dict[str, int]) -> bool:
    return not step.spread_limit or on_node.get(room.agent.node, 0) < step.spread_limit


def _capacity(worker: agents.Worker) -> tuple[int, int, int]:
    capacity = worker.capacity
    return capacity.cpu_millis, capacity.memory_mb, capacity.accelerators


def _room(state: states.State, agent: agents.Agent, worker: agents.Worker) -> Room:
    used = state.used.get(agent.node, [0, 0, 0])
    free = [have - taken for have, taken in zip(_capacity(worker), used, strict=True)]
    soon = list(free)
    for job, progress, run in state.runs.get(agent.node, ()):
        if run.stopping:
            for place, amount in enumerate(states.counted(job.steps[progress.step])):
                soon[place] += amount
    found = Room(agent, worker, free, soon)
    for job, progress, _ in state.runs.get(agent.node, ()):
        step = job.steps[progress.step]
        found.serves = found.serves or step.target_ms > 0
        found.fills = found.fills or step.fills
    return found
