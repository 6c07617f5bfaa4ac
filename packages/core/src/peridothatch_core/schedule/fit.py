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
    """

    agent: agents.Agent
    worker: agents.Worker
    free: list[int]
    soon: list[int]


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
        if worker.zone in state.evacuated or agent.node in state.health.until:
            continue
        found.append(_room(state, agent, worker))
    return found


def takes(room: Room, step: steps.Step, service: str) -> bool:
    """Tell whether a worker is of the kind that a step needs."""
    worker = room.worker
    if worker.service != service:
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
    step: steps.Step, service: str, found: list[Room], avoid: Collection[str]
) -> list[Room] | None:
    """Return a room for each member of a gang, or ``None`` when not all fit.

    One rack is preferred, since a gang that is spread over racks may be several times slower.
    """
    suited = [room for room in found if takes(room, step, service)]
    by_rack: dict[str, list[Room]] = {}
    for room in suited:
        by_rack.setdefault(room.worker.rack, []).append(room)
    racks = sorted(by_rack.items(), key=lambda item: _rack_preference(step, item))
    if step.same_rack or step.affinity:
        for _, members in racks:
            chosen = _fill(step, members, avoid)
            if chosen is not None:
                return chosen
    zones: dict[str, list[Room]] = {}
    for room in suited:
        zones.setdefault(room.worker.zone, []).append(room)
    for members in sorted(zones.values(), key=lambda group: -sum(room.free[2] for room in group)):
        chosen = _fill(step, members, avoid)
        if chosen is not None:
            return chosen
    return _fill(step, suited, avoid)


def _fill(step: steps.Step, members: list[Room], avoid: Collection[str]) -> list[Room] | None:
    """Place all members on the given workers; the rooms are left as they were."""
    needed = states.counted(step)
    free = {room.agent.node: list(room.free) for room in members}
    on_node: dict[str, int] = {}
    chosen: list[Room] = []
    for room in sorted(members, key=lambda room: _preference(step, room, needed, avoid)):
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
    """Order rooms: data nearby first, then the tightest fit, so that large holes stay whole."""
    left = room.free[2] - needed[2]
    return (
        room.agent.node in avoid,
        bool(step.affinity) and room.worker.rack != step.affinity,
        left,
        room.free[0] - needed[0],
        room.agent.node,
    )


def _rack_preference(step: steps.Step, item: tuple[str, list[Room]]) -> tuple[bool, int, str]:
    rack, members = item
    return (
        bool(step.affinity) and rack != step.affinity,
        sum(room.free[2] for room in members),
        rack,
    )


def _below_limit(step: steps.Step, room: Room, on_node: dict[str, int]) -> bool:
    return not step.spread_limit or on_node.get(room.agent.node, 0) < step.spread_limit


def _room(state: states.State, agent: agents.Agent, worker: agents.Worker) -> Room:
    capacity = (
        worker.capacity.cpu_millis,
        worker.capacity.memory_mb,
        worker.capacity.accelerators,
    )
    used = state.used.get(agent.node, [0, 0, 0])
    free = [have - taken for have, taken in zip(capacity, used, strict=True)]
    soon = list(free)
    for job, progress, run in state.runs.get(agent.node, ()):
        if run.stopping:
            for place, amount in enumerate(states.counted(job.steps[progress.step])):
                soon[place] += amount
    return Room(agent, worker, free, soon)
