"""Keeps the guaranteed shapes of customers formable by stopping borrowed work alone."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

import result

from peridothatch_core.model import customer, job, shape, verdict, worker
from peridothatch_core.place import fleet, gang, slots

TRIAL_PREFIX = "trial:"
"""Prefix of the slots of a guarantee that is only being checked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A promise that the hardware cannot keep: ``missing`` of its ``count`` gangs."""

    guarantee: str
    customer: str
    count: int
    missing: int


def add_worker(ledger: slots.Ledger, added: worker.Worker) -> None:
    """Add a worker to the room that can be promised; ``bind_all`` makes use of it."""
    fleet.add_worker(ledger.promised, added)


def remove_worker(ledger: slots.Ledger, worker_id: str) -> tuple[str, ...]:
    """Remove a worker; return the jobs that are no longer within a slot.

    Slots on the worker lose their cells; ``bind_all`` looks for new ones.
    """
    lost = fleet.remove_worker(ledger.promised, worker_id)
    return tuple(
        job_id for slot_id in lost for job_id in slots.detach(ledger, ledger.slots[slot_id])
    )


def set_guarantees(ledger: slots.Ledger, wanted: Iterable[customer.Guarantee]) -> tuple[str, ...]:
    """Set the guarantees of this data centre; return jobs that are no longer within a slot."""
    new = {slot.id: slot for guarantee in wanted for slot in slots.of_guarantee(guarantee)}
    outside: list[str] = []
    for slot in list(ledger.slots.values()):
        kept = new.get(slot.id)
        if kept is None or (kept.customer, kept.shape) != (slot.customer, slot.shape):
            outside += slots.detach(ledger, slot)
            del ledger.slots[slot.id]
    for slot_id, slot in new.items():
        ledger.slots.setdefault(slot_id, slot)
    return tuple(outside)


def bind_all(ledger: slots.Ledger) -> None:
    """Promise cells to the slots that have none; idle slots are moved where that helps."""
    missing = [slot for slot in ledger.slots.values() if not slot.cells]
    if not missing or slots.bind_each(ledger, missing):
        return
    movable = [s for s in ledger.slots.values() if s.cells and slots.is_idle(ledger, s)]
    before = {slot.id: slot.cells for slot in movable}
    for slot in movable:
        slots.unbind(ledger, slot)
    unbound = [slot for slot in ledger.slots.values() if not slot.cells]
    slots.bind_each(ledger, unbound)
    if sum(bool(slot.cells) for slot in unbound) <= len(movable):
        slots.restore(ledger, unbound, before)


def shortfalls(ledger: slots.Ledger) -> tuple[Shortfall, ...]:
    """Return the promises that have no cells for some of their gangs."""
    by_name: dict[str, list[slots.Slot]] = {}
    for slot in ledger.slots.values():
        by_name.setdefault(slot.guarantee, []).append(slot)
    found = []
    for name, its_slots in by_name.items():
        missing = sum(not slot.cells for slot in its_slots)
        if missing:
            found.append(Shortfall(name, its_slots[0].customer, len(its_slots), missing))
    return tuple(found)


def check_feasible(
    ledger: slots.Ledger, added: customer.Guarantee
) -> result.Result[None, verdict.Refusal]:
    """Return whether a new or changed guarantee can be kept beside the others.

    Work in progress is left where it is, so a change can be refused now that would hold later.
    The refusal says how many such gangs, or how large a gang, would fit.
    """
    if _is_feasible(ledger, added):
        return result.Ok(None)
    count = _largest(
        added.count - 1, lambda n: _is_feasible(ledger, dataclasses.replace(added, count=n))
    )
    if count:
        expected = f"a count of at most {count}"
    else:
        tasks = _largest(
            added.shape.tasks - 1,
            lambda n: _is_feasible(ledger, dataclasses.replace(
                added, count=1, shape=dataclasses.replace(added.shape, tasks=n))),
        )  # fmt: skip
        expected = f"a gang of at most {tasks} such tasks" if tasks else "a smaller task"
    detail = f"guarantee {added.name} cannot be kept beside the others; expected {expected}"
    size = f"{added.count} x {added.shape.tasks} tasks"
    return result.Err(
        verdict.Refusal(
            verdict.Verdict.NOT_RUN, verdict.Code.NEVER_FITS, detail, "shape", size, expected
        )
    )


def allocate(
    ledger: slots.Ledger,
    job_id: str,
    owner: str,
    cells: tuple[job.Cell, ...],
    task: shape.TaskShape,
) -> bool:
    """Take cells for a job of ``owner`` within its slots; return whether that is possible.

    An idle slot of the customer may be bound around them, and others moved out of the way.
    """
    if _fits_in_slots(ledger, owner, cells, task) or (
        slots.bind_around(ledger, owner, cells, task)
        and _fits_in_slots(ledger, owner, cells, task)
    ):
        fleet.allocate(ledger.customer_fleets[owner], job_id, cells, task, False, owner)
        return True
    return False


def release(ledger: slots.Ledger, job_id: str, owner: str) -> None:
    """Give a job's cells back to its customer's slots."""
    if owner in ledger.customer_fleets:
        fleet.release(ledger.customer_fleets[owner], job_id)


def find_cells(
    ledger: slots.Ledger, owner: str, wanted: shape.GangShape
) -> tuple[job.Cell, ...] | None:
    """Return cells for a gang within the customer's slots; borrowed work may be on them."""
    return (
        gang.find_cells(ledger.customer_fleets[owner], wanted)
        if owner in ledger.customer_fleets
        else None
    )


def breaches(ledger: slots.Ledger, state: fleet.Fleet) -> list[str]:
    """Return how ``guarantee_reclaimable`` is broken; empty when it holds.

    Computed from holdings and cells alone, not from the indexes that placement uses.
    """
    found = []
    promised: dict[str, int] = {}
    by_owner: dict[tuple[str, str], int] = {}
    for slot in ledger.slots.values():
        for name, resources in fleet.resources_by_worker(slot.cells, slot.shape.task).items():
            if name not in state.machines or resources.mask & ~state.machines[name].capacity.mask:
                found.append(f"{slot.id} has cells on {name} that do not exist")
            if promised.get(name, 0) & resources.mask:
                found.append(f"{slot.id} shares accelerators of {name} with another slot")
            promised[name] = promised.get(name, 0) | resources.mask
            key = slot.customer, name
            by_owner[key] = by_owner.get(key, 0) | resources.mask
    for allocation in state.allocations.values():
        for name, resources in allocation.resources.items():
            slot_mask = by_owner.get((allocation.customer, name), 0)
            if not allocation.borrowed and name in state.machines and resources.mask & ~slot_mask:
                found.append(f"{allocation.job_id} on {name} is not borrowed but in no slot")
    return found


def _fits_in_slots(
    ledger: slots.Ledger, owner: str, cells: tuple[job.Cell, ...], task: shape.TaskShape
) -> bool:
    customer_fleet = ledger.customer_fleets.get(owner)
    by_worker = fleet.resources_by_worker(cells, task)
    return customer_fleet is not None and all(
        fleet.has_free(customer_fleet, name, resources) for name, resources in by_worker.items()
    )


def _is_feasible(ledger: slots.Ledger, added: customer.Guarantee) -> bool:
    """Return whether a guarantee could be bound; the ledger is the same afterwards."""
    old = [s for s in ledger.slots.values() if s.guarantee == added.name and s.cells]
    kept = [s for s in old if (s.customer, s.shape) == (added.customer, added.shape)]
    extra = slots.of_guarantee(
        dataclasses.replace(added, name=TRIAL_PREFIX + added.name, count=added.count)
    )[: max(0, added.count - len(kept))]
    leaving = [s for s in old if s not in kept and slots.is_idle(ledger, s)]
    movable = [
        s
        for s in ledger.slots.values()
        if s.cells and s.guarantee != added.name and slots.is_idle(ledger, s)
    ]
    before = {slot.id: slot.cells for slot in leaving + movable}
    for slot in leaving:
        slots.unbind(ledger, slot)
    held = slots.bind_each(ledger, extra)
    if not held:
        slots.restore(ledger, extra, {})
        for slot in movable:
            slots.unbind(ledger, slot)
        held = slots.bind_each(ledger, extra + movable)
    slots.restore(ledger, extra + leaving + movable, before)
    return held


def _largest(limit: int, holds: Callable[[int], bool]) -> int:
    """Return the largest n up to ``limit`` that holds, by bisection; 0 when none does."""
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if holds(middle):
            low = middle
        else:
            high = middle - 1
    return low
