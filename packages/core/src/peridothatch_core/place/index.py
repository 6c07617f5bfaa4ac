"""Keeps the indexes of a fleet in step with the free room of its workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peridothatch_core.place import block

if TYPE_CHECKING:
    import sortedcontainers

    from peridothatch_core.place import fleet as fleets


def update_worker(fleet: fleets.Fleet, machine: fleets.Machine) -> None:
    """Move a worker to the places in the indexes that its free room asks for."""
    mask = 0 if machine.cordoned else machine.free_mask
    cores = 0 if machine.cordoned else max(0, machine.free_cores)
    old_mask, old_cores = machine.indexed_mask, machine.indexed_cores
    if (mask, cores) == (old_mask, old_cores):
        return
    rack = fleet.racks[machine.rack]
    if old_cores:
        _cores_index(fleet, old_mask).remove((old_cores, machine.id))
    if cores:
        _cores_index(fleet, mask).add((cores, machine.id))
    if cores != old_cores:
        fleet.racks_by_cores.remove((rack.cores, machine.rack))
        rack.cores += cores - old_cores
        fleet.free_cores += cores - old_cores
        fleet.racks_by_cores.add((rack.cores, machine.rack))
    _update_blocks(fleet, machine, rack, mask, cores)
    fleet.free_accelerators += mask.bit_count() - old_mask.bit_count()
    machine.indexed_mask, machine.indexed_cores = mask, cores


def _update_blocks(
    fleet: fleets.Fleet, machine: fleets.Machine, rack: fleets.Rack, mask: int, cores: int
) -> None:
    old_counts, new_counts = block.count_blocks(machine.indexed_mask), block.count_blocks(mask)
    old_formable, new_formable = block.allocatable(machine.indexed_mask), block.allocatable(mask)
    for order in block.ORDERS:
        was, now = old_counts[order], new_counts[order]
        if was and (not now or cores != machine.indexed_cores):
            fleet.by_block[order].remove((machine.indexed_cores, machine.id))
        if now and (not was or cores != machine.indexed_cores):
            fleet.by_block[order].add((cores, machine.id))
        fleet.blocks[order] += now - was
        was, now = old_formable[order], new_formable[order]
        if was == now:
            continue
        if was:
            fleet.by_allocatable[order].remove((was, machine.id))
        if now:
            fleet.by_allocatable[order].add((now, machine.id))
        fleet.racks_by_allocatable[order].remove((rack.allocatable[order], machine.rack))
        rack.allocatable[order] += now - was
        fleet.racks_by_allocatable[order].add((rack.allocatable[order], machine.rack))
        fleet.allocatable[order] += now - was


def _cores_index(fleet: fleets.Fleet, mask: int) -> sortedcontainers.SortedList:
    return fleet.accelerated_by_cores if mask else fleet.unaccelerated_by_cores


def update_rack(fleet: fleets.Fleet, name: str, *, add: bool) -> None:
    """Add a rack to the indexes of racks, or remove it."""
    rack = fleet.racks[name]
    for order in block.ORDERS:
        change = fleet.racks_by_allocatable[order]
        (change.add if add else change.remove)((rack.allocatable[order], name))
    (fleet.racks_by_cores.add if add else fleet.racks_by_cores.remove)((rack.cores, name))
