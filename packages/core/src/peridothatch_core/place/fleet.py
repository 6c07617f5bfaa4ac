"""Free and allocated resources of the workers of one data centre, indexed for placement."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

import sortedcontainers

from peridothatch_core.place import block, index

if TYPE_CHECKING:
    from peridothatch_core.model import job, shape, worker

CLAIM_PREFIX = "claim:"
"""Prefix of the keys under which resources are kept for a job that is not placed yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resources of one worker: accelerators as a bit mask, cores and memory as amounts."""

    mask: int = 0
    cores: int = 0
    memory_mb: int = 0


@dataclasses.dataclass(slots=True)
class Machine:
    """Capacity and free resources of a worker.

    Attributes
    ----------
    cordoned : bool
        Whether placement passes the worker over; its allocations remain.
    indexed_mask, indexed_cores : int
        Free accelerators and cores under which the worker is in the indexes.
    """

    id: str
    rack: str
    capacity: Resources
    free_mask: int = 0
    free_cores: int = 0
    free_memory_mb: int = 0
    cordoned: bool = False
    indexed_mask: int = 0
    indexed_cores: int = 0


@dataclasses.dataclass(slots=True)
class Rack:
    """Workers of a rack, the blocks of each order that they can allocate, and their free cores."""

    machines: dict[str, Machine] = dataclasses.field(default_factory=dict)
    allocatable: list[int] = dataclasses.field(default_factory=lambda: [0 for _ in block.ORDERS])
    cores: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Cells that are allocated to a job; ``resources`` is the job's share of each worker."""

    job_id: str
    cells: tuple[job.Cell, ...]
    task: shape.TaskShape
    customer: str
    borrowed: bool
    resources: Mapping[str, Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Free accelerators, and the number of maximal free blocks of 1, 2, 4, 8, ... of them."""

    free_accelerators: int
    free_blocks: tuple[int, ...]


def _orders() -> list[sortedcontainers.SortedList]:
    return [sortedcontainers.SortedList() for _ in block.ORDERS]


@dataclasses.dataclass(slots=True)
class Fleet:
    """Workers, allocations and indexes; changed only by this module and ``index``.

    Attributes
    ----------
    allocated_by_worker : dict
        For each worker, its allocated resources by job id, or by claim key.
    claimed : dict
        For each claim, the resources to collect on each worker.
    allocatable : list
        For each order, the number of blocks that all workers together can allocate.
    blocks : list
        For each order, the number of maximal free blocks.
    by_block : list
        For each order, (free cores, worker) of the workers with a maximal free block of it.
    by_allocatable, racks_by_allocatable : list
        For each order, (number of allocatable blocks, worker or rack).
    unaccelerated_by_cores, accelerated_by_cores : SortedList
        (free cores, worker) of workers without and with free accelerators.
    """

    machines: dict[str, Machine] = dataclasses.field(default_factory=dict)
    racks: dict[str, Rack] = dataclasses.field(default_factory=dict)
    allocations: dict[str, Allocation] = dataclasses.field(default_factory=dict)
    allocated_by_worker: dict[str, dict[str, Resources]] = dataclasses.field(default_factory=dict)
    claimed: dict[str, dict[str, Resources]] = dataclasses.field(default_factory=dict)
    allocatable: list[int] = dataclasses.field(default_factory=lambda: [0 for _ in block.ORDERS])
    blocks: list[int] = dataclasses.field(default_factory=lambda: [0 for _ in block.ORDERS])
    free_accelerators: int = 0
    free_cores: int = 0
    by_block: list[sortedcontainers.SortedList] = dataclasses.field(default_factory=_orders)
    by_allocatable: list[sortedcontainers.SortedList] = dataclasses.field(default_factory=_orders)
    racks_by_allocatable: list[sortedcontainers.SortedList] = dataclasses.field(
        default_factory=_orders
    )
    racks_by_cores: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )
    unaccelerated_by_cores: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )
    accelerated_by_cores: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )


def add_worker(fleet: Fleet, added: worker.Worker) -> None:
    """Add a worker or change its capacity; existing allocations on it remain."""
    set_capacity(fleet, added.id, added.rack, capacity_of(added))


def capacity_of(added: worker.Worker) -> Resources:
    """Return the capacity of a worker."""
    return Resources(block.full_mask(added.accelerators), added.cores, added.memory_mb)


def set_capacity(fleet: Fleet, worker_id: str, rack: str, capacity: Resources) -> None:
    """Set the capacity of a worker in this fleet, and add the worker if it is new."""
    machine = fleet.machines.get(worker_id)
    cordoned = machine.cordoned if machine else False
    if machine is not None and machine.rack != rack:
        remove_worker(fleet, worker_id)
        machine = None
    if machine is None:
        machine = Machine(worker_id, rack, capacity, cordoned=cordoned)
        fleet.machines[worker_id] = machine
        fleet.racks.setdefault(rack, Rack()).machines[worker_id] = machine
        if len(fleet.racks[rack].machines) == 1:
            index.update_rack(fleet, rack, add=True)
    machine.capacity = capacity
    _recompute_free(fleet, machine)


def remove_worker(fleet: Fleet, worker_id: str) -> tuple[str, ...]:
    """Remove a worker and return the jobs that have cells on it.

    Their allocations remain until ``release``, and apply again if the worker is added again.
    """
    machine = fleet.machines.get(worker_id)
    if machine is None:
        return ()
    machine.cordoned = True
    index.update_worker(fleet, machine)
    rack = fleet.racks[machine.rack]
    del fleet.machines[worker_id], rack.machines[worker_id]
    if not rack.machines:
        index.update_rack(fleet, machine.rack, add=False)
        del fleet.racks[machine.rack]
    held = fleet.allocated_by_worker.get(worker_id, ())
    return tuple(job_id for job_id in held if not job_id.startswith(CLAIM_PREFIX))


def set_cordoned(fleet: Fleet, worker_id: str, *, cordoned: bool) -> None:
    """Stop or resume placement on a worker; its allocations remain."""
    machine = fleet.machines.get(worker_id)
    if machine is not None and machine.cordoned != cordoned:
        machine.cordoned = cordoned
        index.update_worker(fleet, machine)


def allocate(
    fleet: Fleet,
    job_id: str,
    cells: tuple[job.Cell, ...],
    task_shape: shape.TaskShape,
    borrowed: bool,
    customer: str,
    *,
    force: bool = False,
) -> None:
    """Allocate cells to a job.

    ``force`` skips the check that the cells are free. Cells that are read from a job row need
    it, since their workers may be unknown or cordoned.

    Raises
    ------
    ValueError
        The job already has cells, or a cell is not free. Nothing is changed.
    """
    if job_id in fleet.allocations:
        raise ValueError(f"job {job_id} already has cells")
    by_worker = resources_by_worker(cells, task_shape)
    if not force:
        for worker_id, resources in by_worker.items():
            if not has_free(fleet, worker_id, resources):
                raise ValueError(f"resources for job {job_id} on worker {worker_id} are not free")
    fleet.allocations[job_id] = Allocation(
        job_id, cells, task_shape, customer, borrowed, by_worker
    )
    for worker_id, resources in by_worker.items():
        _allocate(fleet, worker_id, job_id, resources)


def release(fleet: Fleet, job_id: str) -> None:
    """Free the cells of a job; claims on their workers get the freed resources first."""
    allocation = fleet.allocations.pop(job_id, None)
    if allocation is not None:
        _release(fleet, job_id, allocation.resources)


def undo_release(fleet: Fleet, allocation: Allocation) -> None:
    """Undo ``release``, and take back the resources that claims have got since."""
    fleet.allocations[allocation.job_id] = allocation
    for worker_id, resources in allocation.resources.items():
        held = fleet.allocated_by_worker.setdefault(worker_id, {})
        for job_id in fleet.claimed:
            held.pop(CLAIM_PREFIX + job_id, None)
        held[allocation.job_id] = resources
        machine = fleet.machines.get(worker_id)
        if machine is not None:
            _recompute_free(fleet, machine)
            _supply_claims(fleet, worker_id)


def set_borrowed(fleet: Fleet, job_id: str, *, borrowed: bool) -> None:
    """Set whether a job's cells count as borrowed."""
    allocation = fleet.allocations[job_id]
    fleet.allocations[job_id] = dataclasses.replace(allocation, borrowed=borrowed)


def claim(
    fleet: Fleet, job_id: str, cells: tuple[job.Cell, ...], task_shape: shape.TaskShape
) -> None:
    """Keep resources for a job: those free now, and the others as they are released."""
    drop_claim(fleet, job_id)
    fleet.claimed[job_id] = resources_by_worker(cells, task_shape)
    for worker_id in fleet.claimed[job_id]:
        _supply_claims(fleet, worker_id)


def drop_claim(fleet: Fleet, job_id: str) -> None:
    """Free the resources that are kept for a job."""
    claimed = fleet.claimed.pop(job_id, None)
    if claimed is not None:
        _release(fleet, CLAIM_PREFIX + job_id, claimed)


def consume_claim(fleet: Fleet, job_id: str) -> None:
    """Free the resources kept for a job without passing them to other claims.

    The caller must ``allocate`` them to the job next.
    """
    for worker_id in fleet.claimed.pop(job_id, ()):
        fleet.allocated_by_worker.get(worker_id, {}).pop(CLAIM_PREFIX + job_id, None)
        if worker_id in fleet.machines:
            _recompute_free(fleet, fleet.machines[worker_id])


def is_claim_full(fleet: Fleet, job_id: str) -> bool:
    """Return whether the claim of a job has collected all its resources."""
    return all(
        fleet.allocated_by_worker.get(worker_id, {}).get(CLAIM_PREFIX + job_id) == resources
        and worker_id in fleet.machines
        and not fleet.machines[worker_id].cordoned
        for worker_id, resources in fleet.claimed[job_id].items()
    )


def has_free(fleet: Fleet, worker_id: str, resources: Resources) -> bool:
    """Return whether a worker is not cordoned and has these resources free."""
    machine = fleet.machines.get(worker_id)
    return (
        machine is not None
        and not machine.cordoned
        and resources.mask & ~machine.free_mask == 0
        and resources.cores <= machine.free_cores
        and resources.memory_mb <= machine.free_memory_mb
    )


def digest(fleet: Fleet) -> Digest:
    """Return the free capacity of the workers that are not cordoned."""
    last = max((order for order in block.ORDERS if fleet.blocks[order]), default=0)
    return Digest(fleet.free_accelerators, tuple(fleet.blocks[: last + 1]))


def resources_by_worker(
    cells: Iterable[job.Cell], task_shape: shape.TaskShape
) -> dict[str, Resources]:
    """Return the resources that cells use on each worker.

    Accelerators are allocated in whole blocks: a task of 3 accelerators uses a block of 4.
    """
    order = block.order_of(task_shape.accelerators) if task_shape.accelerators else 0
    masks: dict[str, int] = {}
    tasks: dict[str, int] = {}
    for cell in cells:
        masks[cell.worker] = masks.get(cell.worker, 0) | block.enclosing_mask(
            cell.accelerators, order
        )
        tasks[cell.worker] = tasks.get(cell.worker, 0) + 1
    return {
        worker_id: Resources(mask, tasks[worker_id] * task_shape.cores,
                             tasks[worker_id] * task_shape.memory_mb)
        for worker_id, mask in masks.items()
    }  # fmt: skip


def _allocate(fleet: Fleet, worker_id: str, key: str, resources: Resources) -> None:
    fleet.allocated_by_worker.setdefault(worker_id, {})[key] = resources
    machine = fleet.machines.get(worker_id)
    if machine is not None:
        machine.free_mask &= ~resources.mask
        machine.free_cores -= resources.cores
        machine.free_memory_mb -= resources.memory_mb
        index.update_worker(fleet, machine)


def _release(fleet: Fleet, key: str, workers: Iterable[str]) -> None:
    for worker_id in workers:
        held = fleet.allocated_by_worker.get(worker_id, {})
        held.pop(key, None)
        if not held:
            fleet.allocated_by_worker.pop(worker_id, None)
        machine = fleet.machines.get(worker_id)
        if machine is not None:
            _recompute_free(fleet, machine)
            _supply_claims(fleet, worker_id)


def _supply_claims(fleet: Fleet, worker_id: str) -> None:
    """Assign free resources of a worker to the claims on it, the oldest claim first."""
    machine = fleet.machines.get(worker_id)
    if machine is None or not fleet.claimed:
        return
    for job_id, claimed in fleet.claimed.items():
        wanted = claimed.get(worker_id)
        if wanted is None:
            continue
        got = fleet.allocated_by_worker.get(worker_id, {}).get(CLAIM_PREFIX + job_id, Resources())
        more = Resources(
            wanted.mask & machine.free_mask,
            max(0, min(wanted.cores - got.cores, machine.free_cores)),
            max(0, min(wanted.memory_mb - got.memory_mb, machine.free_memory_mb)),
        )
        if more != Resources():
            _allocate(fleet, worker_id, CLAIM_PREFIX + job_id, more)
            fleet.allocated_by_worker[worker_id][CLAIM_PREFIX + job_id] = Resources(
                got.mask | more.mask, got.cores + more.cores, got.memory_mb + more.memory_mb
            )


def _recompute_free(fleet: Fleet, machine: Machine) -> None:
    """Compute the free resources of a worker from its capacity and allocations."""
    mask, cores, memory = machine.capacity.mask, machine.capacity.cores, machine.capacity.memory_mb
    for resources in fleet.allocated_by_worker.get(machine.id, {}).values():
        mask &= ~resources.mask
        cores -= resources.cores
        memory -= resources.memory_mb
    machine.free_mask, machine.free_cores, machine.free_memory_mb = mask, cores, memory
    index.update_worker(fleet, machine)
