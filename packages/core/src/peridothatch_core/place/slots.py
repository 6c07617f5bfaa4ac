"""Slots of guarantees and the cells that are promised to them.

Each of the ``count`` gangs of a guarantee has a slot, which is bound to cells of its own. Work of
a customer within its own slots is not borrowed; all other work is. Borrowed work may use the free
cells of a slot, so stopping borrowed work always suffices to reclaim the slot. A slot without
work of its customer is idle and may be rebound to other cells.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Iterator

from peridothatch_core.model import customer, job, shape
from peridothatch_core.place import block, fleet, gang

MAX_BINDING_ORDERS = 24
"""Maximum number of orders of shapes that are tried when slots are bound: all of four shapes."""

PARTIAL = "partial"
"""Key under which the first cells of a slot are allocated during the search for the others."""


@dataclasses.dataclass(slots=True)
class Slot:
    """One gang of a guarantee; ``cells`` is empty while the slot is not bound."""

    id: str
    guarantee: str
    customer: str
    shape: shape.GangShape
    cells: tuple[job.Cell, ...] = ()


@dataclasses.dataclass(slots=True)
class Ledger:
    """Slots and the resources that are promised to them.

    Attributes
    ----------
    promised : Fleet
        The workers, with the cells of each bound slot allocated under the slot's id.
    customer_fleets : dict
        For each customer, a fleet that consists of its slots, with the allocations of its work
        that is not borrowed.
    """

    slots: dict[str, Slot] = dataclasses.field(default_factory=dict)
    promised: fleet.Fleet = dataclasses.field(default_factory=fleet.Fleet)
    customer_fleets: dict[str, fleet.Fleet] = dataclasses.field(default_factory=dict)


def of_guarantee(guarantee: customer.Guarantee) -> list[Slot]:
    """Return unbound slots for a guarantee."""
    return [
        Slot(f"{guarantee.name}#{number}", guarantee.name, guarantee.customer, guarantee.shape)
        for number in range(guarantee.count)
    ]


def is_idle(ledger: Ledger, slot: Slot) -> bool:
    """Return whether a slot can be unbound without displacing work of its customer."""
    customer_fleet = ledger.customer_fleets.get(slot.customer)
    by_worker = fleet.resources_by_worker(slot.cells, slot.shape.task)
    return customer_fleet is None or all(
        fleet.has_free(customer_fleet, name, resources) for name, resources in by_worker.items()
    )


def bind(ledger: Ledger, slot: Slot, cells: tuple[job.Cell, ...]) -> None:
    """Bind a slot to free cells."""
    fleet.allocate(ledger.promised, slot.id, cells, slot.shape.task, False, slot.customer)
    slot.cells = cells
    _change_capacity(ledger, slot, 1)


def unbind(ledger: Ledger, slot: Slot) -> None:
    """Take the cells from a slot."""
    _change_capacity(ledger, slot, -1)
    slot.cells = ()
    fleet.release(ledger.promised, slot.id)


def bind_each(ledger: Ledger, unbound: Iterable[Slot]) -> bool:
    """Bind slots, the largest first; return whether all were bound.

    If some remain, other orders of the shapes are tried until one binds all: a large gang may take
    the only cells that a smaller one fits, and fit elsewhere itself.
    """
    wanted = list(unbound)
    largest_first: dict[str, tuple[job.Cell, ...]] | None = None
    for order in _binding_orders(wanted):
        for slot in order:
            cells = gang.find_cells(ledger.promised, slot.shape)
            if cells is not None:
                bind(ledger, slot, cells)
        bound = {slot.id: slot.cells for slot in wanted if slot.cells}
        if len(bound) == len(wanted):
            return True
        largest_first = bound if largest_first is None else largest_first
        restore(ledger, wanted, {})
    restore(ledger, wanted, largest_first or {})
    return False


def _binding_orders(wanted: list[Slot]) -> Iterator[list[Slot]]:
    """Yield orders in which slots may be bound, the largest first at first."""
    by_shape: dict[shape.GangShape, list[Slot]] = {}
    for slot in sorted(wanted, key=_size_key, reverse=True):
        by_shape.setdefault(slot.shape, []).append(slot)
    orders = itertools.permutations(by_shape)
    for shapes in itertools.islice(orders, MAX_BINDING_ORDERS):
        yield [slot for item in shapes for slot in by_shape[item]]


def restore(
    ledger: Ledger, moved: Iterable[Slot], previous: dict[str, tuple[job.Cell, ...]]
) -> None:
    """Bind slots to their previous cells; those without previous cells are left unbound."""
    moved = list(moved)
    for slot in moved:
        if slot.cells:
            unbind(ledger, slot)
    for slot in moved:
        if previous.get(slot.id):
            bind(ledger, slot, previous[slot.id])


def detach(ledger: Ledger, slot: Slot) -> list[str]:
    """Unbind a slot that may be in use; return the jobs that are no longer within any slot."""
    if not slot.cells:
        return []
    customer_fleet = ledger.customer_fleets[slot.customer]
    workers = sorted({cell.worker for cell in slot.cells})
    unbind(ledger, slot)
    displaced = []
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
                displaced.append(job_id)
    return displaced


def bind_around(
    ledger: Ledger, owner: str, cells: tuple[job.Cell, ...], task: shape.TaskShape
) -> bool:
    """Rebind an idle slot of a customer to enclose cells; return whether that is possible.

    Conflicting idle slots are bound to other cells. If that is impossible, nothing changes.
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
    """Bind an idle slot to cells that enclose the given ones; return whether that is possible."""
    fixed = _enclosing_cells(slot.shape.task, around)
    by_worker = fleet.resources_by_worker(fixed, slot.shape.task)
    if not fixed or any(name not in ledger.promised.machines for name in by_worker):
        return False
    moved = [slot]
    conflicting = _conflicting(ledger, by_worker)
    if any(not is_idle(ledger, other) for other in conflicting):
        return False
    moved += [other for other in conflicting if other is not slot]
    previous = {other.id: other.cells for other in moved}
    for other in moved:
        if other.cells:
            unbind(ledger, other)
    cells = _extend(ledger, slot.shape, fixed)
    if cells is not None:
        bind(ledger, slot, cells)
        if bind_each(ledger, moved[1:]):
            return True
    restore(ledger, moved, previous)
    return False


def _enclosing_cells(task: shape.TaskShape, cells: tuple[job.Cell, ...]) -> tuple[job.Cell, ...]:
    """Return an enclosing cell of ``task`` for each cell; empty when two share a block.

    Two tasks in one block would have to share the cores that the slot has for one task.
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
    """Return the slots that must be unbound to free the resources."""
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
    """Return cells for the gang that include ``fixed``, within its adjacency."""
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
    """Add the cells of a slot to the capacity of its customer's fleet, or remove them."""
    customer_fleet = ledger.customer_fleets.setdefault(slot.customer, fleet.Fleet())
    for worker_id, resources in fleet.resources_by_worker(slot.cells, slot.shape.task).items():
        machine = customer_fleet.machines.get(worker_id)
        capacity = machine.capacity if machine else fleet.Resources()
        capacity = fleet.Resources(
            capacity.mask | resources.mask if sign > 0 else capacity.mask & ~resources.mask,
            capacity.cores + sign * resources.cores,
            capacity.memory_mb + sign * resources.memory_mb,
        )
        if capacity == fleet.Resources():
            fleet.remove_worker(customer_fleet, worker_id)
        else:
            rack = machine.rack if machine else ledger.promised.machines[worker_id].rack
            fleet.set_capacity(customer_fleet, worker_id, rack, capacity)
