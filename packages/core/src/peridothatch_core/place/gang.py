"""Finds cells for a whole gang by best fit within its adjacency."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable

from peridothatch_core.model import job, shape
from peridothatch_core.place import block, fleet

MAX_DOMAINS = 4
"""Feasible racks or workers to compare; the one that leaves the least fragmentation is used."""


@dataclasses.dataclass(slots=True)
class _Draft:
    """Cells chosen so far.

    Attributes
    ----------
    remaining : dict
        Resources that remain free on each worker that has some of the cells.
    fragmented : int
        Accelerators left over from the blocks that were split.
    """

    cells: list[job.Cell] = dataclasses.field(default_factory=list)
    remaining: dict[str, fleet.Resources] = dataclasses.field(default_factory=dict)
    fragmented: int = 0


def find_cells(
    state: fleet.Fleet, gang: shape.GangShape, domain: str = ""
) -> tuple[job.Cell, ...] | None:
    """Return free cells for every task of a gang, or ``None``.

    The tasks are equal, so a rack or the data centre can hold the gang exactly when the numbers
    of tasks that fit on each of its workers add up to the size of the gang. Filling one worker
    after the other therefore finds cells whenever there are any.

    Parameters
    ----------
    domain : str
        Rack or worker to use, by the adjacency; any one if empty. Without effect when the
        adjacency is the data centre.
    """
    if gang.task.accelerators > 1 << block.MAX_ORDER or _exceeds_totals(state, gang):
        return None
    if gang.adjacency is shape.Adjacency.DATA_CENTRE:
        draft = _fill(_all_workers(state, gang.task), gang, _order(gang.task))
    else:
        draft = _find_in_domains(state, gang, domain)
    return tuple(draft.cells) if draft else None


def count_fitting(machine: fleet.Machine, task: shape.TaskShape) -> int:
    """Return how many tasks fit on a worker now; none fit on a cordoned one."""
    if machine.cordoned:
        return 0
    resources = fleet.Resources(machine.free_mask, machine.free_cores, machine.free_memory_mb)
    return _count_fitting(resources, task, block.MAX_ORDER)


def _exceeds_totals(state: fleet.Fleet, gang: shape.GangShape) -> bool:
    """Return whether a gang exceeds the free cores or blocks of the whole data centre."""
    order = _order(gang.task)
    return state.free_cores < gang.tasks * gang.task.cores or (
        order is not None and state.allocatable[order] < gang.tasks
    )


def _order(task: shape.TaskShape) -> int | None:
    return block.order_of(task.accelerators) if task.accelerators else None


def _count_fitting(resources: fleet.Resources, task: shape.TaskShape, largest: int) -> int:
    """Return how many tasks fit without splitting a block of an order above ``largest``."""
    counts = [shape.MAX_GANG_TASKS]
    if task.accelerators:
        wanted = block.order_of(task.accelerators)
        if largest >= block.MAX_ORDER:
            counts.append(block.allocatable(resources.mask)[wanted])
        else:
            counts.append(sum(1 << (order - wanted)
                              for order, _ in block.maximal_blocks(resources.mask)
                              if wanted <= order <= largest))  # fmt: skip
    if task.cores:
        counts.append(resources.cores // task.cores)
    if task.memory_mb:
        counts.append(resources.memory_mb // task.memory_mb)
    return max(0, min(counts))


def _all_workers(state: fleet.Fleet, task: shape.TaskShape) -> Iterable[tuple[fleet.Machine, int]]:
    """Yield workers, best fit first, each with the largest order of a block to split there."""
    start = (max(1, task.cores),)
    if task.accelerators:
        wanted = block.order_of(task.accelerators)
        for order in range(wanted, block.MAX_ORDER + 1):
            for _, name in state.by_block[order].irange(minimum=(task.cores,)):
                yield state.machines[name], order
        return
    for index in (state.unaccelerated_by_cores, state.accelerated_by_cores):
        for _, name in index.irange(minimum=start):
            yield state.machines[name], block.MAX_ORDER


def _find_in_domains(state: fleet.Fleet, gang: shape.GangShape, domain: str) -> _Draft | None:
    """Return the draft with the least fragmentation among the first feasible domains."""
    drafts: list[_Draft] = []
    for machines in _named_domain(state, gang, domain) if domain else _domains(state, gang):
        draft = _fill(_in_domain(machines, gang.task), gang, _order(gang.task))
        if draft:
            drafts.append(draft)
        if len(drafts) == MAX_DOMAINS:
            break
    return min(drafts, key=lambda draft: draft.fragmented, default=None)


def _domains(state: fleet.Fleet, gang: shape.GangShape) -> Iterable[tuple[fleet.Machine, ...]]:
    """Yield the workers or racks with enough blocks or cores, those with the fewest first."""
    order = _order(gang.task)
    cores = max(1, gang.tasks * gang.task.cores)
    if gang.adjacency is shape.Adjacency.RACK:
        index, needed = (
            (state.racks_by_cores, cores)
            if order is None
            else (state.racks_by_allocatable[order], gang.tasks)
        )
        for _, name in index.irange(minimum=(needed,)):
            yield tuple(state.racks[name].machines.values())
        return
    if order is None:
        names = itertools.chain(
            state.unaccelerated_by_cores.irange(minimum=(cores,)),
            state.accelerated_by_cores.irange(minimum=(cores,)),
        )
    else:
        names = state.by_allocatable[order].irange(minimum=(gang.tasks,))
    for _, name in names:
        yield (state.machines[name],)


def _named_domain(
    state: fleet.Fleet, gang: shape.GangShape, domain: str
) -> Iterable[tuple[fleet.Machine, ...]]:
    if gang.adjacency is shape.Adjacency.RACK and domain in state.racks:
        yield tuple(state.racks[domain].machines.values())
    elif gang.adjacency is shape.Adjacency.WORKER and domain in state.machines:
        yield (state.machines[domain],)


def _in_domain(
    machines: tuple[fleet.Machine, ...], task: shape.TaskShape
) -> Iterable[tuple[fleet.Machine, int]]:
    """Yield the workers of one domain, in the order and form of ``_all_workers``."""
    wanted = _order(task)
    if wanted is None:
        usable = (machine for machine in machines if not machine.cordoned)
        for machine in sorted(usable, key=lambda m: (m.free_mask.bit_count(), m.free_cores)):
            yield machine, block.MAX_ORDER
        return
    for order in range(wanted, block.MAX_ORDER + 1):
        for machine in machines:
            if not machine.cordoned and block.count_blocks(machine.free_mask)[order]:
                yield machine, order


def _fill(
    machines: Iterable[tuple[fleet.Machine, int]], gang: shape.GangShape, order: int | None
) -> _Draft | None:
    """Fill one worker after the other until all tasks have cells; ``None`` if some have none."""
    draft = _Draft()
    for machine, largest in machines:
        resources = draft.remaining.get(machine.id) or fleet.Resources(
            machine.free_mask, machine.free_cores, machine.free_memory_mb
        )
        count = min(_count_fitting(resources, gang.task, largest), gang.tasks - len(draft.cells))
        if count:
            _add_tasks(draft, machine.id, resources, gang.task, order, count)
        if len(draft.cells) == gang.tasks:
            return draft
    return None


def _add_tasks(
    draft: _Draft,
    worker_id: str,
    resources: fleet.Resources,
    task: shape.TaskShape,
    order: int | None,
    count: int,
) -> None:
    mask = resources.mask
    for _ in range(count):
        accelerators: tuple[int, ...] = ()
        if order is not None:
            allocated, split_order = block.best_fit(mask, order)
            mask &= ~allocated
            accelerators = block.indices(allocated, task.accelerators)
            draft.fragmented += (1 << split_order) - (1 << order)
        draft.cells.append(job.Cell(len(draft.cells), worker_id, accelerators))
    draft.remaining[worker_id] = fleet.Resources(
        mask, resources.cores - count * task.cores, resources.memory_mb - count * task.memory_mb
    )
