"""The data centre in which a guarantee is kept."""

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
"""A guarantee that found no home is tried again after this, since hardware may have come. Trying
one in all data centres takes the entry some 0.1 s at the largest size."""

MAX_REASSIGNMENTS = 32
"""Guarantees moved at a time, so that the queue of changes has room for operators' changes."""

Assignment = result.Result[customer.Guarantee, verdict.Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class CachedLedger:
    """A ledger with the guarantees and the hardware that it was built from."""

    hardware: link.HardwareDigest
    others: tuple[customer.Guarantee, ...]
    ledger: slots.Ledger


@dataclasses.dataclass(slots=True)
class State:
    """Known hardware, and for each data centre the last ledger, which is slow to build."""

    hardware: dict[str, link.HardwareDigest] = dataclasses.field(default_factory=dict)
    ledgers: dict[str, CachedLedger] = dataclasses.field(default_factory=dict)


def assign(state: State, snapshot: config.Snapshot, wanted: customer.Guarantee) -> Assignment:
    """Return a guarantee with the data centre where it is kept, or why it is kept nowhere.

    A guarantee that an operator pinned, or that names a data centre otherwise, is kept there or
    refused. Another one stays where it is while that holds and is in service.
    """
    current = snapshot.guarantees.get(wanted.name)
    if current is not None and _needs_no_check(snapshot, current, wanted):
        return result.Ok(dataclasses.replace(wanted, data_centre=current.data_centre))
    if wanted.data_centre:
        return check(state, snapshot, wanted, wanted.data_centre)
    if current is not None and is_in_service(snapshot, current.data_centre):
        here = dataclasses.replace(wanted, data_centre=current.data_centre)
        if check(state, snapshot, here, current.data_centre).is_ok():
            return result.Ok(here)
    return _choose(state, snapshot, wanted)


def check(
    state: State, snapshot: config.Snapshot, wanted: customer.Guarantee, name: str
) -> Assignment:
    """Return a guarantee that a data centre can keep, or a refusal.

    The refusal is ``unavailable`` while nothing is known of the hardware, and while another
    guarantee there is short: its room must be found again before more is promised.
    """
    digest = state.hardware.get(name)
    if digest is None:
        detail = f"nothing is known of the hardware of data centre {name} yet; try again later"
        return result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, detail))
    if snapshot.data_centres[name].service is datacentre.Service.LOST:
        return result.Err(verdict.invalid("data_centre", name, "a data centre that is not lost"))
    ledger = _ledger(state, snapshot, digest, wanted.name)
    lacking = sorted(item.guarantee for item in guarantees.shortfalls(ledger))
    if lacking:
        detail = f"data centre {name} lacks hardware for guarantees {', '.join(lacking[:5])}"
        return result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, detail))
    return guarantees.check_feasible(ledger, wanted).map(lambda _: wanted)


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
    """Return the guarantees that the planner of a data centre should find a home for now.

    They are those that live there while it is not in service and are not pinned. The planner of
    the first data centre also takes those without a home, which earlier versions stored.

    Parameters
    ----------
    tried : mapping of str to float
        When each guarantee was last tried, on the clock of ``now``, in seconds.
    """
    places = _unavailable_homes(snapshot, data_centre)
    waiting = [
        item
        for item in snapshot.guarantees.values()
        if item.data_centre in places
        and not item.pinned
        and now - tried.get(item.name, float("-inf")) >= RETRY_SECONDS
    ]
    waiting.sort(
        key=lambda item: (
            tried.get(item.name, float("-inf")),
            -item.count * shape.total_accelerators(item.shape),
            item.name,
        )
    )
    return tuple(waiting[:MAX_REASSIGNMENTS])


def out_of_service(snapshot: config.Snapshot, data_centre: str) -> frozenset[str]:
    """Return the guarantees that live in a data centre while it is not in service.

    Guarantees without a home count for the first data centre, as in ``due``.
    """
    places = _unavailable_homes(snapshot, data_centre)
    return frozenset(
        item.name for item in snapshot.guarantees.values() if item.data_centre in places
    )


def _unavailable_homes(snapshot: config.Snapshot, data_centre: str) -> set[str]:
    """Return the homes that hold nothing and whose guarantees a planner takes care of."""
    places = {""} if data_centre == min(snapshot.data_centres, default="") else set()
    if data_centre in snapshot.data_centres and not is_in_service(snapshot, data_centre):
        places.add(data_centre)
    return places


def _needs_no_check(
    snapshot: config.Snapshot, current: customer.Guarantee, wanted: customer.Guarantee
) -> bool:
    """Return whether a guarantee stays where it is without more room, which needs no check."""
    stays = wanted.data_centre == current.data_centre or (
        not wanted.data_centre and is_in_service(snapshot, current.data_centre)
    )
    same = (wanted.customer, wanted.shape) == (current.customer, current.shape)
    return bool(current.data_centre) and stays and same and wanted.count <= current.count


def _choose(state: State, snapshot: config.Snapshot, wanted: customer.Guarantee) -> Assignment:
    """Choose the data centre in service that has the most accelerators left afterwards.

    They are looked at in that order, so that few ledgers are built.
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
    # What may fit where nothing is known yet, or where hardware is missing, is not refused for
    # good.
    passing = [item for item in refusals if item.code is verdict.Code.UNAVAILABLE]
    if refusals:
        return result.Err((passing or refusals)[0])
    return result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, "no data centre is in service"))


def _ledger(
    state: State, snapshot: config.Snapshot, digest: link.HardwareDigest, without: str
) -> slots.Ledger:
    """Return the room of a data centre with its other guarantees bound."""
    others = _others(snapshot, digest.data_centre, without)
    held = state.ledgers.get(digest.data_centre)
    if held is not None and (held.hardware, held.others) == (digest, others):
        return held.ledger
    ledger = slots.Ledger()
    for one in _workers(digest):
        guarantees.add_worker(ledger, one)
    guarantees.set_guarantees(ledger, others)
    guarantees.bind_all(ledger)
    state.ledgers[digest.data_centre] = CachedLedger(digest, others, ledger)
    return ledger


def _others(snapshot: config.Snapshot, name: str, without: str) -> tuple[customer.Guarantee, ...]:
    return tuple(
        item
        for _, item in sorted(snapshot.guarantees.items())
        if item.data_centre == name and item.name != without
    )


def _workers(digest: link.HardwareDigest) -> list[worker.Worker]:
    """Return workers as in a digest, under names made up for this ledger."""
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
