"""Keeps the guaranteed gangs of customers reclaimable by stopping only borrowed work."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

import result

from peridothatch_core.model import customer, job, shape, verdict, worker
from peridothatch_core.place import fleet, gang, slots

TRIAL_PREFIX = "trial:"
"""Prefix of the slots of a guarantee whose feasibility is being checked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A guarantee for which the hardware lacks cells: ``missing`` of ``count`` gangs have none."""

    guarantee: str
    customer: str
    count: int
    missing: int


def add_worker(ledger: slots.Ledger, added: worker.Worker) -> None:
    """Add a worker to the hardware that can be promised; ``bind_all`` then binds slots to it."""
    fleet.add_worker(ledger.promised, added)


def remove_worker(ledger: slots.Ledger, worker_id: str) -> tuple[str, ...]:
    """Remove a worker; return the jobs that are no longer within their customer's slots.

    Slots on the worker lose their cells; ``bind_all`` finds new ones.
    """
    lost = fleet.remove_worker(ledger.promised, worker_id)
    return tuple(
        job_id for slot_id in lost for job_id in slots.detach(ledger, ledger.slots[slot_id])
    )


def set_guarantees(ledger: slots.Ledger, wanted: Iterable[customer.Guarantee]) -> tuple[str, ...]:
    """Set the guarantees of the data centre; return jobs no longer within their slots."""
    new = {slot.id: slot for guarantee in wanted for slot in slots.of_guarantee(guarantee)}
    displaced: list[str] = []
    for slot in list(ledger.slots.values()):
        same = new.get(slot.id)
        if same is None or (same.customer, same.shape) != (slot.customer, slot.shape):
            displaced += slots.detach(ledger, slot)
            del ledger.slots[slot.id]
    for slot_id, slot in new.items():
        ledger.slots.setdefault(slot_id, slot)
    return tuple(displaced)


def bind_all(ledger: slots.Ledger) -> None:
    """Bind the slots that have no cells.

    Idle slots are rebound when that increases the number of slots with cells.
    """
    missing = [slot for slot in ledger.slots.values() if not slot.cells]
    if not missing or slots.bind_each(ledger, missing):
        return
    movable = [s for s in ledger.slots.values() if s.cells and slots.is_idle(ledger, s)]
    previous = {slot.id: slot.cells for slot in movable}
    for slot in movable:
        slots.unbind(ledger, slot)
    unbound = [slot for slot in ledger.slots.values() if not slot.cells]
    slots.bind_each(ledger, unbound)
    if sum(bool(slot.cells) for slot in unbound) <= len(movable):
        slots.restore(ledger, unbound, previous)


def shortfalls(ledger: slots.Ledger) -> tuple[Shortfall, ...]:
    """Return the guarantees of which some slots have no cells."""
    by_guarantee: dict[str, list[slots.Slot]] = {}
    for slot in ledger.slots.values():
        by_guarantee.setdefault(slot.guarantee, []).append(slot)
    found = []
    for name, group in by_guarantee.items():
        missing = sum(not slot.cells for slot in group)
        if missing:
            found.append(Shortfall(name, group[0].customer, len(group), missing))
    return tuple(found)


def check_feasible(
    ledger: slots.Ledger, added: customer.Guarantee
) -> result.Result[None, verdict.Refusal]:
    """Return whether a new or changed guarantee can be kept beside the others.

    Slots that are in use stay bound to their cells, so a change that is refused now may be
    feasible later. The refusal states the number of such gangs, or the size of one, that fits.
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
    """Allocate cells to a job within the slots of ``owner``; return whether that is possible.

    An idle slot of the customer may be rebound to enclose them, and other idle slots be rebound
    to make way.
    """
    if _fits_in_slots(ledger, owner, cells, task) or (
        slots.bind_around(ledger, owner, cells, task)
        and _fits_in_slots(ledger, owner, cells, task)
    ):
        fleet.allocate(ledger.customer_fleets[owner], job_id, cells, task, False, owner)
        return True
    return False


def release(ledger: slots.Ledger, job_id: str, owner: str) -> None:
    """Release a job's cells in its customer's slots."""
    if owner in ledger.customer_fleets:
        fleet.release(ledger.customer_fleets[owner], job_id)


def find_cells(
    ledger: slots.Ledger, owner: str, wanted: shape.GangShape
) -> tuple[job.Cell, ...] | None:
    """Return cells for a gang within the customer's slots; borrowed work may occupy them."""
    return (
        gang.find_cells(ledger.customer_fleets[owner], wanted)
        if owner in ledger.customer_fleets
        else None
    )


def breaches(ledger: slots.Ledger, state: fleet.Fleet) -> list[str]:
    """Return the violations of ``guarantee_reclaimable``; empty when the invariant holds.

    They are computed from allocations and cells alone, so that a fault in the indexes that
    placement uses cannot hide one.
    """
    found = []
    promised: dict[str, int] = {}
    by_owner: dict[tuple[str, str], int] = {}
    for slot in ledger.slots.values():
        for name, resources in fleet.resources_by_worker(slot.cells, slot.shape.task).items():
            if name not in state.machines or resources.mask & ~state.machines[name].capacity.mask:
                found.append(f"slot {slot.id} has cells on worker {name} that do not exist")
            if promised.get(name, 0) & resources.mask:
                found.append(
                    f"slot {slot.id} shares accelerators of worker {name} with another slot"
                )
            promised[name] = promised.get(name, 0) | resources.mask
            key = slot.customer, name
            by_owner[key] = by_owner.get(key, 0) | resources.mask
    for allocation in state.allocations.values():
        for name, resources in allocation.resources.items():
            slot_mask = by_owner.get((allocation.customer, name), 0)
            if not allocation.borrowed and name in state.machines and resources.mask & ~slot_mask:
                found.append(
                    f"job {allocation.job_id} on worker {name} is not borrowed but in no slot"
                )
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
    """Return whether a guarantee could be bound; the ledger is restored afterwards."""
    current = [s for s in ledger.slots.values() if s.guarantee == added.name and s.cells]
    unchanged = [s for s in current if (s.customer, s.shape) == (added.customer, added.shape)]
    trial = slots.of_guarantee(
        dataclasses.replace(added, name=TRIAL_PREFIX + added.name, count=added.count)
    )[: max(0, added.count - len(unchanged))]
    obsolete = [s for s in current if s not in unchanged and slots.is_idle(ledger, s)]
    movable = [
        s
        for s in ledger.slots.values()
        if s.cells and s.guarantee != added.name and slots.is_idle(ledger, s)
    ]
    previous = {slot.id: slot.cells for slot in obsolete + movable}
    for slot in obsolete:
        slots.unbind(ledger, slot)
    feasible = slots.bind_each(ledger, trial)
    if not feasible:
        slots.restore(ledger, trial, {})
        for slot in movable:
            slots.unbind(ledger, slot)
        feasible = slots.bind_each(ledger, trial + movable)
    slots.restore(ledger, trial + obsolete + movable, previous)
    return feasible


def _largest(limit: int, is_feasible: Callable[[int], bool]) -> int:
    """Return the largest feasible number up to ``limit`` by bisection, or 0."""
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if is_feasible(middle):
            low = middle
        else:
            high = middle - 1
    return low
