"""Free and held room of the workers of one data centre, indexed for placement."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

import sortedcontainers

from peridothatch_core.place import block, index

if TYPE_CHECKING:
    from peridothatch_core.model import job, shape, worker

CLAIM = "claim:"
"""Prefix of the holdings that keep room for a job that is not placed yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """An amount of one worker: accelerators as a mask, cores and memory as counts."""

    mask: int = 0
    cores: int = 0
    memory_mb: int = 0


@dataclasses.dataclass(slots=True)
class Machine:
    """A worker's offer, what is free of it, and the keys under which it is indexed."""

    id: str
    rack: str
    capacity: Room
    free_mask: int = 0
    free_cores: int = 0
    free_memory_mb: int = 0
    barred: bool = False
    listed_mask: int = 0
    listed_cores: int = 0


@dataclasses.dataclass(slots=True)
class Rack:
    """Workers of a rack and the number of blocks of each order that they can give."""

    machines: dict[str, Machine] = dataclasses.field(default_factory=dict)
    allocatable: list[int] = dataclasses.field(default_factory=lambda: [0 for _ in block.ORDERS])
    cores: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What a job holds; ``rooms`` is its room on each worker."""

    job_id: str
    cells: tuple[job.Cell, ...]
    task: shape.TaskShape
    customer: str
    borrowed: bool
    rooms: Mapping[str, Room]


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Free capacity: accelerators, and free maximal blocks of 1, 2, 4, 8, ... accelerators."""

    free_accelerators: int
    free_blocks: tuple[int, ...]


def _orders() -> list[sortedcontainers.SortedList]:
    return [sortedcontainers.SortedList() for _ in block.ORDERS]


@dataclasses.dataclass(slots=True)
class Fleet:
    """Workers, holdings and indexes; changed by this module's functions only.

    Attributes
    ----------
    by_block : list
        For each order, (free cores, worker) of the workers with a maximal free block of it.
    by_formable, racks_by_formable : list
        For each order, (number of blocks that can be given, worker or rack).
    idle_by_cores, accelerated_by_cores : SortedList
        (free cores, worker) of workers without and with free accelerators.
    wants : dict
        For each claim, the room that it is to have on each worker.
    """

    machines: dict[str, Machine] = dataclasses.field(default_factory=dict)
    racks: dict[str, Rack] = dataclasses.field(default_factory=dict)
    holdings: dict[str, Holding] = dataclasses.field(default_factory=dict)
    on_worker: dict[str, dict[str, Room]] = dataclasses.field(default_factory=dict)
    wants: dict[str, dict[str, Room]] = dataclasses.field(default_factory=dict)
    allocatable: list[int] = dataclasses.field(default_factory=lambda: [0 for _ in block.ORDERS])
    blocks: list[int] = dataclasses.field(default_factory=lambda: [0 for _ in block.ORDERS])
    free_accelerators: int = 0
    free_cores: int = 0
    by_block: list[sortedcontainers.SortedList] = dataclasses.field(default_factory=_orders)
    by_formable: list[sortedcontainers.SortedList] = dataclasses.field(default_factory=_orders)
    racks_by_formable: list[sortedcontainers.SortedList] = dataclasses.field(
        default_factory=_orders
    )
    racks_by_cores: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )
    idle_by_cores: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )
    accelerated_by_cores: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )


def add_worker(fleet: Fleet, added: worker.Worker) -> None:
    """Add a worker, or change what it offers; room that jobs hold on it already stays held."""
    offer(fleet, added.id, added.rack, total_of(added))


def total_of(added: worker.Worker) -> Room:
    """Return all that a worker offers."""
    return Room(block.full_mask(added.accelerators), added.cores, added.memory_mb)


def offer(fleet: Fleet, worker_id: str, rack: str, total: Room) -> None:
    """Set what a worker offers in this fleet."""
    machine = fleet.machines.get(worker_id)
    barred = machine.barred if machine else False
    if machine is not None and machine.rack != rack:
        remove_worker(fleet, worker_id)
        machine = None
    if machine is None:
        machine = Machine(worker_id, rack, total, barred=barred)
        fleet.machines[worker_id] = machine
        fleet.racks.setdefault(rack, Rack()).machines[worker_id] = machine
        if len(fleet.racks[rack].machines) == 1:
            index.list_rack(fleet, rack, add=True)
    machine.capacity = total
    _recount(fleet, machine)


def remove_worker(fleet: Fleet, worker_id: str) -> tuple[str, ...]:
    """Remove a worker and return the jobs that hold room on it.

    Their holdings stay until ``release``, and count again if the worker is added again.
    """
    machine = fleet.machines.get(worker_id)
    if machine is None:
        return ()
    machine.barred = True
    index.relist(fleet, machine)
    rack = fleet.racks[machine.rack]
    del fleet.machines[worker_id], rack.machines[worker_id]
    if not rack.machines:
        index.list_rack(fleet, machine.rack, add=False)
        del fleet.racks[machine.rack]
    held = fleet.on_worker.get(worker_id, ())
    return tuple(job_id for job_id in held if not job_id.startswith(CLAIM))


def bar(fleet: Fleet, worker_id: str, *, barred: bool) -> None:
    """Stop or resume placing on a worker; what it holds stays held."""
    machine = fleet.machines.get(worker_id)
    if machine is not None and machine.barred != barred:
        machine.barred = barred
        index.relist(fleet, machine)


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
    """Hold cells for a job.

    With ``force``, for cells read from a job row, they may be on unknown or barred workers.

    Raises
    ------
    ValueError
        The job holds cells already, or a cell is not free. Nothing is changed.
    """
    if job_id in fleet.holdings:
        raise ValueError(f"{job_id} holds cells already")
    rooms = rooms_of(cells, task_shape)
    if not force:
        for worker_id, room in rooms.items():
            if not has_free(fleet, worker_id, room):
                raise ValueError(f"{job_id} is given room on {worker_id} that is not free")
    fleet.holdings[job_id] = Holding(job_id, cells, task_shape, customer, borrowed, rooms)
    for worker_id, room in rooms.items():
        _hold(fleet, worker_id, job_id, room)


def release(fleet: Fleet, job_id: str) -> None:
    """Free the cells of a job; claims on their workers take what they want of them first."""
    holding = fleet.holdings.pop(job_id, None)
    if holding is not None:
        _let_go(fleet, job_id, holding.rooms)


def put_back(fleet: Fleet, holding: Holding) -> None:
    """Undo ``release``, also for claims that took some of the room meanwhile."""
    fleet.holdings[holding.job_id] = holding
    for worker_id, room in holding.rooms.items():
        held = fleet.on_worker.setdefault(worker_id, {})
        for job_id in fleet.wants:
            held.pop(CLAIM + job_id, None)
        held[holding.job_id] = room
        machine = fleet.machines.get(worker_id)
        if machine is not None:
            _recount(fleet, machine)
            _top_up(fleet, worker_id)


def relabel(fleet: Fleet, job_id: str, *, borrowed: bool) -> None:
    """Change whether a job's cells count as borrowed."""
    holding = fleet.holdings[job_id]
    fleet.holdings[job_id] = dataclasses.replace(holding, borrowed=borrowed)


def claim(
    fleet: Fleet, job_id: str, cells: tuple[job.Cell, ...], task_shape: shape.TaskShape
) -> None:
    """Keep room for a job: what is free of it now, and the rest as its holders give it back."""
    drop_claim(fleet, job_id)
    fleet.wants[job_id] = rooms_of(cells, task_shape)
    for worker_id in fleet.wants[job_id]:
        _top_up(fleet, worker_id)


def drop_claim(fleet: Fleet, job_id: str) -> None:
    """Free the room kept for a job."""
    wanted = fleet.wants.pop(job_id, None)
    if wanted is not None:
        _let_go(fleet, CLAIM + job_id, wanted)


def fill_claim(fleet: Fleet, job_id: str) -> None:
    """Free the room kept for a job, past other claims, for the job to ``take`` at once."""
    for worker_id in fleet.wants.pop(job_id, ()):
        fleet.on_worker.get(worker_id, {}).pop(CLAIM + job_id, None)
        if worker_id in fleet.machines:
            _recount(fleet, fleet.machines[worker_id])


def claim_is_full(fleet: Fleet, job_id: str) -> bool:
    """Return whether the claim of a job has all the room that it wants."""
    return all(
        fleet.on_worker.get(worker_id, {}).get(CLAIM + job_id) == room
        and worker_id in fleet.machines
        and not fleet.machines[worker_id].barred
        for worker_id, room in fleet.wants[job_id].items()
    )


def has_free(fleet: Fleet, worker_id: str, room: Room) -> bool:
    """Return whether a worker takes work and has this much free."""
    machine = fleet.machines.get(worker_id)
    return (
        machine is not None
        and not machine.barred
        and room.mask & ~machine.free_mask == 0
        and room.cores <= machine.free_cores
        and room.memory_mb <= machine.free_memory_mb
    )


def digest(fleet: Fleet) -> Digest:
    """Return the free capacity of the workers that take work."""
    last = max((order for order in block.ORDERS if fleet.blocks[order]), default=0)
    return Digest(fleet.free_accelerators, tuple(fleet.blocks[: last + 1]))


def rooms_of(cells: Iterable[job.Cell], task_shape: shape.TaskShape) -> dict[str, Room]:
    """Return the room of cells on each worker; a task of 3 accelerators holds a block of 4."""
    order = block.order_of(task_shape.accelerators) if task_shape.accelerators else 0
    masks: dict[str, int] = {}
    tasks: dict[str, int] = {}
    for cell in cells:
        masks[cell.worker] = masks.get(cell.worker, 0) | block.enclosing(cell.accelerators, order)
        tasks[cell.worker] = tasks.get(cell.worker, 0) + 1
    return {
        worker_id: Room(mask, tasks[worker_id] * task_shape.cores,
                        tasks[worker_id] * task_shape.memory_mb)
        for worker_id, mask in masks.items()
    }  # fmt: skip


def _hold(fleet: Fleet, worker_id: str, key: str, room: Room) -> None:
    fleet.on_worker.setdefault(worker_id, {})[key] = room
    machine = fleet.machines.get(worker_id)
    if machine is not None:
        machine.free_mask &= ~room.mask
        machine.free_cores -= room.cores
        machine.free_memory_mb -= room.memory_mb
        index.relist(fleet, machine)


def _let_go(fleet: Fleet, key: str, workers: Iterable[str]) -> None:
    for worker_id in workers:
        held = fleet.on_worker.get(worker_id, {})
        held.pop(key, None)
        if not held:
            fleet.on_worker.pop(worker_id, None)
        machine = fleet.machines.get(worker_id)
        if machine is not None:
            _recount(fleet, machine)
            _top_up(fleet, worker_id)


def _top_up(fleet: Fleet, worker_id: str) -> None:
    """Give free room of a worker to the claims that want it, the oldest claim first."""
    machine = fleet.machines.get(worker_id)
    if machine is None or not fleet.wants:
        return
    for job_id, wanted in fleet.wants.items():
        want = wanted.get(worker_id)
        if want is None:
            continue
        got = fleet.on_worker.get(worker_id, {}).get(CLAIM + job_id, Room())
        more = Room(
            want.mask & machine.free_mask,
            max(0, min(want.cores - got.cores, machine.free_cores)),
            max(0, min(want.memory_mb - got.memory_mb, machine.free_memory_mb)),
        )
        if more != Room():
            _hold(fleet, worker_id, CLAIM + job_id, more)
            fleet.on_worker[worker_id][CLAIM + job_id] = Room(
                got.mask | more.mask, got.cores + more.cores, got.memory_mb + more.memory_mb
            )


def _recount(fleet: Fleet, machine: Machine) -> None:
    """Compute what is free of a worker from what is held on it."""
    mask, cores, memory = machine.capacity.mask, machine.capacity.cores, machine.capacity.memory_mb
    for room in fleet.on_worker.get(machine.id, {}).values():
        mask &= ~room.mask
        cores -= room.cores
        memory -= room.memory_mb
    machine.free_mask, machine.free_cores, machine.free_memory_mb = mask, cores, memory
    index.relist(fleet, machine)
