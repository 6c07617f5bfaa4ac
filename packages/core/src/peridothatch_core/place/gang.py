"""Cells for a whole gang, by best fit within its adjacency."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable

from peridothatch_core.model import job, shape
from peridothatch_core.place import block, fleet

CANDIDATES = 4
"""Racks or workers that are compared before the one that breaks the smallest blocks is taken."""


@dataclasses.dataclass(slots=True)
class _Draft:
    """Cells chosen so far, what is left of the workers in use, and the size of broken blocks."""

    cells: list[job.Cell] = dataclasses.field(default_factory=list)
    left: dict[str, fleet.Room] = dataclasses.field(default_factory=dict)
    broken: int = 0


def find_cells(
    state: fleet.Fleet, gang: shape.GangShape, domain: str = ""
) -> tuple[job.Cell, ...] | None:
    """Return free cells for every task of a gang, or ``None``.

    ``domain`` names the rack or worker to use when the adjacency is not the data centre.

    Tasks are equal, so the workers of one rack or of the data centre hold the gang exactly when
    the numbers of tasks that each of them can hold add up to it; filling them one after the
    other therefore finds cells whenever there are any.
    """
    if gang.task.accelerators > 1 << block.MAX_ORDER or _exceeds(state, gang):
        return None
    if gang.adjacency is shape.Adjacency.DATA_CENTRE:
        draft = _fill(_all_workers(state, gang.task), gang, _order(gang.task))
    else:
        draft = _best(state, gang, domain)
    return tuple(draft.cells) if draft else None


def fits(machine: fleet.Machine, task: shape.TaskShape) -> int:
    """Return how many tasks a worker can take now."""
    if machine.barred:
        return 0
    room = fleet.Room(machine.free_mask, machine.free_cores, machine.free_memory_mb)
    return _fits(room, task, block.MAX_ORDER)


def _exceeds(state: fleet.Fleet, gang: shape.GangShape) -> bool:
    """Return whether the totals of the data centre already rule the gang out."""
    order = _order(gang.task)
    return state.free_cores < gang.tasks * gang.task.cores or (
        order is not None and state.allocatable[order] < gang.tasks
    )


def _order(task: shape.TaskShape) -> int | None:
    return block.order_of(task.accelerators) if task.accelerators else None


def _fits(room: fleet.Room, task: shape.TaskShape, largest: int) -> int:
    """Return how many tasks fit in room, cutting no block of an order above ``largest``."""
    counts = [shape.MAX_GANG_TASKS]
    if task.accelerators:
        wanted = block.order_of(task.accelerators)
        if largest >= block.MAX_ORDER:
            counts.append(block.allocatable(room.mask)[wanted])
        else:
            counts.append(sum(1 << (order - wanted) for order, _ in block.maximal(room.mask)
                              if wanted <= order <= largest))  # fmt: skip
    if task.cores:
        counts.append(room.cores // task.cores)
    if task.memory_mb:
        counts.append(room.memory_mb // task.memory_mb)
    return max(0, min(counts))


def _all_workers(state: fleet.Fleet, task: shape.TaskShape) -> Iterable[tuple[fleet.Machine, int]]:
    """Yield workers of the data centre, best fit first, with the largest order to cut there."""
    start = (max(1, task.cores),)
    if task.accelerators:
        wanted = block.order_of(task.accelerators)
        for order in range(wanted, block.MAX_ORDER + 1):
            for _, name in state.by_block[order].irange(minimum=(task.cores,)):
                yield state.machines[name], order
        return
    for index in (state.idle_by_cores, state.accelerated_by_cores):
        for _, name in index.irange(minimum=start):
            yield state.machines[name], block.MAX_ORDER


def _best(state: fleet.Fleet, gang: shape.GangShape, domain: str) -> _Draft | None:
    """Return the draft with the least broken blocks among the first feasible domains."""
    drafts: list[_Draft] = []
    for machines in _named(state, gang, domain) if domain else _domains(state, gang):
        draft = _fill(_in_domain(machines, gang.task), gang, _order(gang.task))
        if draft:
            drafts.append(draft)
        if len(drafts) == CANDIDATES:
            break
    return min(drafts, key=lambda draft: draft.broken, default=None)


def _domains(state: fleet.Fleet, gang: shape.GangShape) -> Iterable[tuple[fleet.Machine, ...]]:
    """Yield the workers or racks that have enough blocks or cores, the fullest first."""
    order = _order(gang.task)
    cores = max(1, gang.tasks * gang.task.cores)
    if gang.adjacency is shape.Adjacency.RACK:
        index, needed = (
            (state.racks_by_cores, cores)
            if order is None
            else (state.racks_by_formable[order], gang.tasks)
        )
        for _, name in index.irange(minimum=(needed,)):
            yield tuple(state.racks[name].machines.values())
        return
    if order is None:
        names = itertools.chain(
            state.idle_by_cores.irange(minimum=(cores,)),
            state.accelerated_by_cores.irange(minimum=(cores,)),
        )
    else:
        names = state.by_formable[order].irange(minimum=(gang.tasks,))
    for _, name in names:
        yield (state.machines[name],)


def _named(
    state: fleet.Fleet, gang: shape.GangShape, domain: str
) -> Iterable[tuple[fleet.Machine, ...]]:
    if gang.adjacency is shape.Adjacency.RACK and domain in state.racks:
        yield tuple(state.racks[domain].machines.values())
    elif gang.adjacency is shape.Adjacency.WORKER and domain in state.machines:
        yield (state.machines[domain],)


def _in_domain(
    machines: tuple[fleet.Machine, ...], task: shape.TaskShape
) -> Iterable[tuple[fleet.Machine, int]]:
    """Yield the workers of a rack, or one worker, as ``_all_workers`` does for all."""
    wanted = _order(task)
    if wanted is None:
        usable = (machine for machine in machines if not machine.barred)
        for machine in sorted(usable, key=lambda m: (m.free_mask.bit_count(), m.free_cores)):
            yield machine, block.MAX_ORDER
        return
    for order in range(wanted, block.MAX_ORDER + 1):
        for machine in machines:
            if not machine.barred and block.counts(machine.free_mask)[order]:
                yield machine, order


def _fill(
    machines: Iterable[tuple[fleet.Machine, int]], gang: shape.GangShape, order: int | None
) -> _Draft | None:
    """Fill workers in turn until the whole gang has cells."""
    draft = _Draft()
    for machine, largest in machines:
        room = draft.left.get(machine.id) or fleet.Room(
            machine.free_mask, machine.free_cores, machine.free_memory_mb
        )
        count = min(_fits(room, gang.task, largest), gang.tasks - len(draft.cells))
        if count:
            _cut(draft, machine.id, room, gang.task, order, count)
        if len(draft.cells) == gang.tasks:
            return draft
    return None


def _cut(
    draft: _Draft,
    worker_id: str,
    room: fleet.Room,
    task: shape.TaskShape,
    order: int | None,
    count: int,
) -> None:
    mask = room.mask
    for _ in range(count):
        accelerators: tuple[int, ...] = ()
        if order is not None:
            taken, cut_from = block.best_fit(mask, order)
            mask &= ~taken
            accelerators = block.indices(taken, task.accelerators)
            draft.broken += (1 << cut_from) - (1 << order)
        draft.cells.append(job.Cell(len(draft.cells), worker_id, accelerators))
    draft.left[worker_id] = fleet.Room(
        mask, room.cores - count * task.cores, room.memory_mb - count * task.memory_mb
    )
