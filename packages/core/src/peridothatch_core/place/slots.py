"""Slots of guarantees and the cells that are promised to them.

Each slot, one of ``count`` gangs of a guarantee, is bound to cells of its own. A customer's work
that lies within its own slots is not borrowed; all other work is. Borrowed work may use cells of
a slot while they are free, so stopping the borrowed work on a slot's cells always forms it.
A slot with no work of its customer in it is idle and may be bound to other cells.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from peridothatch_core.model import customer, job, shape
from peridothatch_core.place import block, fleet, gang

PARTIAL = "core"
"""Key under which the first cells of a slot are held while the others are looked for."""


@dataclasses.dataclass(slots=True)
class Slot:
    """One gang of a guarantee; ``cells`` is empty while no cells are promised to it."""

    id: str
    guarantee: str
    customer: str
    shape: shape.GangShape
    cells: tuple[job.Cell, ...] = ()


@dataclasses.dataclass(slots=True)
class Ledger:
    """Slots and the room that is promised to them.

    Attributes
    ----------
    promised : Fleet
        The workers, with the room of each bound slot held under the slot's id.
    own : dict
        For each customer, a fleet of the room of its slots, with its work that is not borrowed.
    """

    slots: dict[str, Slot] = dataclasses.field(default_factory=dict)
    promised: fleet.Fleet = dataclasses.field(default_factory=fleet.Fleet)
    customer_fleets: dict[str, fleet.Fleet] = dataclasses.field(default_factory=dict)


def of_guarantee(guarantee: customer.Guarantee) -> list[Slot]:
    """Return the slots of a guarantee, not bound."""
    return [
        Slot(f"{guarantee.name}#{number}", guarantee.name, guarantee.customer, guarantee.shape)
        for number in range(guarantee.count)
    ]


def is_idle(ledger: Ledger, slot: Slot) -> bool:
    """Return whether a slot can be unbound without leaving its customer's work outside."""
    customer_fleet = ledger.customer_fleets.get(slot.customer)
    by_worker = fleet.resources_by_worker(slot.cells, slot.shape.task)
    return customer_fleet is None or all(
        fleet.has_free(customer_fleet, name, resources) for name, resources in by_worker.items()
    )


def bind(ledger: Ledger, slot: Slot, cells: tuple[job.Cell, ...]) -> None:
    """Promise free cells to a slot."""
    fleet.allocate(ledger.promised, slot.id, cells, slot.shape.task, False, slot.customer)
    slot.cells = cells
    _change_capacity(ledger, slot, 1)


def unbind(ledger: Ledger, slot: Slot) -> None:
    """Take the cells of a slot away."""
    _change_capacity(ledger, slot, -1)
    slot.cells = ()
    fleet.release(ledger.promised, slot.id)


def bind_each(ledger: Ledger, unbound: Iterable[Slot]) -> bool:
    """Bind slots, the largest first; return whether all have cells."""
    complete = True
    for slot in sorted(unbound, key=_size_key, reverse=True):
        cells = gang.find_cells(ledger.promised, slot.shape)
        if cells is None:
            complete = False
        else:
            bind(ledger, slot, cells)
    return complete


def restore(
    ledger: Ledger, moved: Iterable[Slot], before: dict[str, tuple[job.Cell, ...]]
) -> None:
    """Bind slots to the cells that they had before."""
    moved = list(moved)
    for slot in moved:
        if slot.cells:
            unbind(ledger, slot)
    for slot in moved:
        if before.get(slot.id):
            bind(ledger, slot, before[slot.id])


def detach(ledger: Ledger, slot: Slot) -> list[str]:
    """Unbind a slot that may be in use; return the jobs that are left outside all slots."""
    if not slot.cells:
        return []
    customer_fleet = ledger.customer_fleets[slot.customer]
    workers = sorted({cell.worker for cell in slot.cells})
    unbind(ledger, slot)
    left = []
    for worker_id in workers:
        for job_id in list(customer_fleet.allocated_by_worker.get(worker_id, ())):
            machine = customer_fleet.machines.get(worker_id)
            resources = customer_fleet.allocations[job_id].resources[worker_id]
            if (
                machine is None
                or resources.mask & ~machine.capacity.mask
                or machine.free_cores < 0
                or machine.free_memory_mb < 0
            ):
                fleet.release(customer_fleet, job_id)
                left.append(job_id)
    return left


def bind_around(
    ledger: Ledger, owner: str, cells: tuple[job.Cell, ...], task: shape.TaskShape
) -> bool:
    """Bind an idle slot of a customer so that it encloses cells; return whether it worked.

    Idle slots that are in the way are bound elsewhere. Nothing changes when that fails.
    """
    tried = set()
    for slot in ledger.slots.values():
        if slot.customer != owner or slot.shape in tried or not _encloses(slot, cells, task):
            continue
        if slot.cells and not is_idle(ledger, slot):
            continue
        tried.add(slot.shape)
        if _bind_one_around(ledger, slot, cells):
            return True
    return False


def _encloses(slot: Slot, cells: tuple[job.Cell, ...], task: shape.TaskShape) -> bool:
    wanted = slot.shape.task
    return (
        len(cells) <= slot.shape.tasks
        and task.accelerators <= wanted.accelerators
        and task.cores <= wanted.cores
        and task.memory_mb <= wanted.memory_mb
    )


def _bind_one_around(ledger: Ledger, slot: Slot, around: tuple[job.Cell, ...]) -> bool:
    """Bind an idle slot so that it has a cell around each of the given cells."""
    fixed = _enclosing_cells(slot.shape.task, around)
    by_worker = fleet.resources_by_worker(fixed, slot.shape.task)
    if not fixed or any(name not in ledger.promised.machines for name in by_worker):
        return False
    moved = [slot]
    conflicting = _conflicting(ledger, by_worker)
    if any(not is_idle(ledger, other) for other in conflicting):
        return False
    moved += [other for other in conflicting if other is not slot]
    before = {other.id: other.cells for other in moved}
    for other in moved:
        if other.cells:
            unbind(ledger, other)
    cells = _extend(ledger, slot.shape, fixed)
    if cells is not None:
        bind(ledger, slot, cells)
        if bind_each(ledger, moved[1:]):
            return True
    restore(ledger, moved, before)
    return False


def _enclosing_cells(task: shape.TaskShape, cells: tuple[job.Cell, ...]) -> tuple[job.Cell, ...]:
    """Return a cell of ``task`` around each cell; empty when two share a block.

    Two tasks in one block would need the slot's cores for one task to suffice for both.
    """
    if not task.accelerators:
        return cells
    order = block.order_of(task.accelerators)
    blocks = [(cell.worker, block.enclosing_mask(cell.accelerators, order)) for cell in cells]
    if len(set(blocks)) < len(blocks) or not all(mask for _, mask in blocks):
        return ()
    return tuple(
        job.Cell(index, name, block.indices(mask, task.accelerators))
        for index, (name, mask) in enumerate(blocks)
    )


def _conflicting(ledger: Ledger, by_worker: dict[str, fleet.Resources]) -> list[Slot]:
    """Return the slots that must leave so that there is room."""
    found: dict[str, Slot] = {}
    for name, resources in by_worker.items():
        machine = ledger.promised.machines[name]
        scarce = (
            machine.free_cores < resources.cores or machine.free_memory_mb < resources.memory_mb
        )
        for slot_id, held in ledger.promised.allocated_by_worker.get(name, {}).items():
            if held.mask & resources.mask or scarce:
                found[slot_id] = ledger.slots[slot_id]
    return list(found.values())


def _extend(
    ledger: Ledger, wanted: shape.GangShape, fixed: tuple[job.Cell, ...]
) -> tuple[job.Cell, ...] | None:
    """Return cells for the gang that contain ``core``, within its adjacency."""
    by_worker = fleet.resources_by_worker(fixed, wanted.task)
    if not all(
        fleet.has_free(ledger.promised, name, resources) for name, resources in by_worker.items()
    ):
        return None
    domains = {_domain(ledger, wanted.adjacency, name) for name in by_worker}
    if len(domains) > 1:
        return None
    if wanted.tasks == len(fixed):
        return fixed
    rest = dataclasses.replace(wanted, tasks=wanted.tasks - len(fixed))
    fleet.allocate(ledger.promised, PARTIAL, fixed, wanted.task, False, "")
    cells = gang.find_cells(ledger.promised, rest, domains.pop())
    fleet.release(ledger.promised, PARTIAL)
    if cells is None:
        return None
    return fixed + tuple(dataclasses.replace(c, task=len(fixed) + i) for i, c in enumerate(cells))


def _domain(ledger: Ledger, adjacency: shape.Adjacency, worker_id: str) -> str:
    if adjacency is shape.Adjacency.WORKER:
        return worker_id
    if adjacency is shape.Adjacency.RACK:
        return ledger.promised.machines[worker_id].rack
    return ""


def _size_key(slot: Slot) -> tuple[int, int, int]:
    task = slot.shape.task
    return task.accelerators, slot.shape.tasks * max(1, task.accelerators), task.cores


def _change_capacity(ledger: Ledger, slot: Slot, sign: int) -> None:
    """Add the room of a slot to its customer's own fleet, or take it away."""
    customer_fleet = ledger.customer_fleets.setdefault(slot.customer, fleet.Fleet())
    for worker_id, resources in fleet.resources_by_worker(slot.cells, slot.shape.task).items():
        machine = customer_fleet.machines.get(worker_id)
        total = machine.capacity if machine else fleet.Resources()
        total = fleet.Resources(
            total.mask | resources.mask if sign > 0 else total.mask & ~resources.mask,
            total.cores + sign * resources.cores,
            total.memory_mb + sign * resources.memory_mb,
        )
        if total == fleet.Resources():
            fleet.remove_worker(customer_fleet, worker_id)
        else:
            rack = machine.rack if machine else ledger.promised.machines[worker_id].rack
            fleet.set_capacity(customer_fleet, worker_id, rack, total)
