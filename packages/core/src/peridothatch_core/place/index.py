"""Updates the indexes of a fleet when the free resources of a worker change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peridothatch_core.place import block

if TYPE_CHECKING:
    import sortedcontainers

    from peridothatch_core.place import fleet as fleets


def update_worker(fleet: fleets.Fleet, machine: fleets.Machine) -> None:
    """Index a worker by its current free resources; a cordoned worker is in no index."""
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
    old_allocatable, new_allocatable = (
        block.allocatable(machine.indexed_mask),
        block.allocatable(mask),
    )
    for order in block.ORDERS:
        old, new = old_counts[order], new_counts[order]
        if old and (not new or cores != machine.indexed_cores):
            fleet.by_block[order].remove((machine.indexed_cores, machine.id))
        if new and (not old or cores != machine.indexed_cores):
            fleet.by_block[order].add((cores, machine.id))
        fleet.blocks[order] += new - old
        old, new = old_allocatable[order], new_allocatable[order]
        if old == new:
            continue
        if old:
            fleet.by_allocatable[order].remove((old, machine.id))
        if new:
            fleet.by_allocatable[order].add((new, machine.id))
        fleet.racks_by_allocatable[order].remove((rack.allocatable[order], machine.rack))
        rack.allocatable[order] += new - old
        fleet.racks_by_allocatable[order].add((rack.allocatable[order], machine.rack))
        fleet.allocatable[order] += new - old


def _cores_index(fleet: fleets.Fleet, mask: int) -> sortedcontainers.SortedList:
    return fleet.accelerated_by_cores if mask else fleet.unaccelerated_by_cores


def update_rack(fleet: fleets.Fleet, name: str, *, add: bool) -> None:
    """Add a rack to the rack indexes, or remove it."""
    rack = fleet.racks[name]
    for order in block.ORDERS:
        racks = fleet.racks_by_allocatable[order]
        (racks.add if add else racks.remove)((rack.allocatable[order], name))
    (fleet.racks_by_cores.add if add else fleet.racks_by_cores.remove)((rack.cores, name))
