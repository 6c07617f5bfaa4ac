"""Assigns guarantees to data centres."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING

import result

from peridothatch_core.model import config, customer, datacentre, shape, verdict, worker
from peridothatch_core.place import guarantees, slots

if TYPE_CHECKING:
    from peridothatch_core.message import link

RETRY_SECONDS = 60.0
"""Time until a guarantee that no data centre can keep is tried again, since hardware may have
been added. A trial in all data centres takes an entry about 0.1 s at the largest size."""

MAX_REASSIGNMENTS = 32
"""Guarantees reassigned at a time, which leaves room in the change queue for operators."""

Assignment = result.Result[customer.Guarantee, verdict.Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class CachedLedger:
    """A ledger, and the hardware and guarantees that it was built from."""

    hardware: link.HardwareDigest
    others: tuple[customer.Guarantee, ...]
    ledger: slots.Ledger


@dataclasses.dataclass(slots=True)
class State:
    """Known hardware and cached ledgers by data centre.

    Ledgers are cached because they are slow to build.
    """

    hardware: dict[str, link.HardwareDigest] = dataclasses.field(default_factory=dict)
    ledgers: dict[str, CachedLedger] = dataclasses.field(default_factory=dict)


def assign(state: State, snapshot: config.Snapshot, wanted: customer.Guarantee) -> Assignment:
    """Return a guarantee with its data centre, or a refusal when no data centre can keep it.

    A guarantee that names a data centre, pinned or not, is kept there or refused. Otherwise it
    stays in its current data centre if that is in service and can keep it.
    """
    current = snapshot.guarantees.get(wanted.name)
    if current is not None and _is_reduction(snapshot, current, wanted):
        return result.Ok(dataclasses.replace(wanted, data_centre=current.data_centre))
    if wanted.data_centre:
        return check(state, snapshot, wanted, wanted.data_centre)
    if current is not None and is_in_service(snapshot, current.data_centre):
        here = dataclasses.replace(wanted, data_centre=current.data_centre)
        if check(state, snapshot, here, current.data_centre).is_ok():
            return result.Ok(here)
    return _choose_data_centre(state, snapshot, wanted)


def check(
    state: State, snapshot: config.Snapshot, wanted: customer.Guarantee, name: str
) -> Assignment:
    """Return a guarantee if a data centre can keep it, or a refusal.

    The refusal is ``unavailable`` while the hardware is unknown, and while another guarantee
    there lacks cells, since these must be found before more is promised.
    """
    digest = state.hardware.get(name)
    if digest is None:
        detail = f"the hardware of data centre {name} is not known yet; try again later"
        return result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, detail))
    if snapshot.data_centres[name].service is datacentre.Service.LOST:
        return result.Err(verdict.invalid("data_centre", name, "a data centre that is not lost"))
    ledger = _ledger(state, snapshot, digest, wanted.name)
    short = sorted(item.guarantee for item in guarantees.shortfalls(ledger))
    if short:
        detail = f"data centre {name} lacks hardware for guarantees {', '.join(short[:5])}"
        return result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, detail))
    feasible = guarantees.check_feasible(ledger, wanted)
    if feasible.is_err():
        return feasible
    # A planner that takes over binds all slots anew, so the promise must hold in that order too.
    rebuilt = _build_ledger(digest, (*_others(snapshot, name, wanted.name), wanted))
    short = sorted(item.guarantee for item in guarantees.shortfalls(rebuilt))
    if short:
        detail = f"with it, guarantees {', '.join(short[:5])} could not be bound anew"
        return result.Err(verdict.not_run(verdict.Code.NEVER_FITS, detail))
    return result.Ok(wanted)


def unpromised_accelerators(
    state: State, snapshot: config.Snapshot, name: str, without: str = ""
) -> int:
    """Return the accelerators of a data centre that are promised to no other guarantee."""
    digest = state.hardware.get(name)
    total = sum(
        rack.racks * kind.workers * kind.accelerators
        for rack in (digest.racks if digest else ())
        for kind in rack.kinds
    )
    return total - sum(
        item.count * shape.total_accelerators(item.shape)
        for item in _others(snapshot, name, without)
    )


def is_in_service(snapshot: config.Snapshot, name: str) -> bool:
    """Return whether tasks may start in a data centre."""
    centre = snapshot.data_centres.get(name)
    return centre is not None and centre.service is datacentre.Service.IN


def due_for_reassignment(
    snapshot: config.Snapshot, data_centre: str, tried: Mapping[str, float], now: float
) -> tuple[customer.Guarantee, ...]:
    """Return the guarantees that the planner of a data centre should reassign now.

    These are the guarantees of a data centre that is not in service, unless they are pinned. The
    planner of the first data centre also handles those without a data centre, which earlier
    versions stored.

    Parameters
    ----------
    tried : mapping of str to float
        Time of the last trial of each guarantee in seconds, on the clock of ``now``.
    """
    unserved = _unserved_data_centres(snapshot, data_centre)
    due = [
        item
        for item in snapshot.guarantees.values()
        if item.data_centre in unserved
        and not item.pinned
        and now - tried.get(item.name, float("-inf")) >= RETRY_SECONDS
    ]
    due.sort(
        key=lambda item: (
            tried.get(item.name, float("-inf")),
            -item.count * shape.total_accelerators(item.shape),
            item.name,
        )
    )
    return tuple(due[:MAX_REASSIGNMENTS])


def out_of_service(snapshot: config.Snapshot, data_centre: str) -> frozenset[str]:
    """Return the guarantees that lack cells because their data centre is not in service.

    The first data centre also counts those without a data centre, as in
    ``due_for_reassignment``.
    """
    unserved = _unserved_data_centres(snapshot, data_centre)
    return frozenset(
        item.name for item in snapshot.guarantees.values() if item.data_centre in unserved
    )


def _unserved_data_centres(snapshot: config.Snapshot, data_centre: str) -> set[str]:
    """Return the data centres whose guarantees a planner must reassign; ``""`` means none."""
    unserved = {""} if data_centre == min(snapshot.data_centres, default="") else set()
    if data_centre in snapshot.data_centres and not is_in_service(snapshot, data_centre):
        unserved.add(data_centre)
    return unserved


def _is_reduction(
    snapshot: config.Snapshot, current: customer.Guarantee, wanted: customer.Guarantee
) -> bool:
    """Return whether a guarantee stays in its data centre and asks for no more than before."""
    stays = wanted.data_centre == current.data_centre or (
        not wanted.data_centre and is_in_service(snapshot, current.data_centre)
    )
    same = (wanted.customer, wanted.shape) == (current.customer, current.shape)
    return bool(current.data_centre) and stays and same and wanted.count <= current.count


def _choose_data_centre(
    state: State, snapshot: config.Snapshot, wanted: customer.Guarantee
) -> Assignment:
    """Assign a guarantee to the data centre in service that has the most accelerators left.

    Data centres are checked in order of unpromised accelerators, so that few ledgers are built.
    """
    usable = [name for name in snapshot.data_centres if is_in_service(snapshot, name)]
    refusals: list[verdict.Refusal] = []
    for name in sorted(
        usable,
        key=lambda name: (-unpromised_accelerators(state, snapshot, name, wanted.name), name),
    ):
        found = check(state, snapshot, dataclasses.replace(wanted, data_centre=name), name)
        if isinstance(found, result.Ok):
            return found
        refusals.append(found.err_value)
    # A temporary refusal comes first: the guarantee may fit once the hardware is known or back.
    temporary = [item for item in refusals if item.code is verdict.Code.UNAVAILABLE]
    if refusals:
        return result.Err((temporary or refusals)[0])
    return result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, "no data centre is in service"))


def _ledger(
    state: State, snapshot: config.Snapshot, digest: link.HardwareDigest, without: str
) -> slots.Ledger:
    """Return a ledger of a data centre's hardware with its other guarantees bound."""
    others = _others(snapshot, digest.data_centre, without)
    cached = state.ledgers.get(digest.data_centre)
    if cached is not None and (cached.hardware, cached.others) == (digest, others):
        return cached.ledger
    ledger = _build_ledger(digest, others)
    state.ledgers[digest.data_centre] = CachedLedger(digest, others, ledger)
    return ledger


def _build_ledger(
    digest: link.HardwareDigest, promised: tuple[customer.Guarantee, ...]
) -> slots.Ledger:
    """Return a ledger of a data centre's hardware with guarantees bound to it."""
    ledger = slots.Ledger()
    for item in _workers(digest):
        guarantees.add_worker(ledger, item)
    guarantees.set_guarantees(ledger, promised)
    guarantees.bind_all(ledger)
    return ledger


def _others(snapshot: config.Snapshot, name: str, without: str) -> tuple[customer.Guarantee, ...]:
    return tuple(
        item
        for _, item in sorted(snapshot.guarantees.items())
        if item.data_centre == name and item.name != without
    )


def _workers(digest: link.HardwareDigest) -> list[worker.Worker]:
    """Return workers of the kinds in a digest, with generated ids."""
    racks = [rack.kinds for rack in digest.racks for _ in range(rack.racks)]
    return [
        worker.Worker(
            f"{rack}/{index}/{number}", digest.data_centre, str(rack),
            kind.accelerators, kind.cores, kind.memory_mb,
        )
        for rack, kinds in enumerate(racks)
        for index, kind in enumerate(kinds)
        for number in range(kind.workers)
    ]  # fmt: skip
