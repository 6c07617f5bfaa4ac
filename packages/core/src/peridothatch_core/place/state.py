"""What the planner of one data centre knows, and the bookkeeping that keeps its parts in step."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from peridothatch_core.model import config, job, shape
from peridothatch_core.order import runtimes, slack
from peridothatch_core.place import ejection, guarantees, slots
from peridothatch_core.place import fleet as fleets

REPACK_SECONDS = 5.0
"""Shortest time between two attempts to bind all slots anew while some have no cells."""


@dataclasses.dataclass(frozen=True, slots=True)
class OtherCentre:
    """Free capacity of another data centre, from its planner's digest."""

    in_service: bool
    free_accelerators: int
    free_blocks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Cells that are kept for a waiting job until their holders have stopped.

    Attributes
    ----------
    reserved : bool
        The holders are left to end by themselves.
    stopping : frozenset of str
        Jobs that are stopped for this one.
    """

    cells: tuple[job.Cell, ...]
    borrowed: bool
    reserved: bool
    made_at: float
    stopping: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class State:
    """What the planner knows; changed by functions of ``place`` only.

    Attributes
    ----------
    in_service : bool
        Whether the data centre is in service, from the snapshot.
    others : mapping of str to OtherCentre
        The other data centres by name; the planner assigns a new mapping when it learns more.
    held_elsewhere : mapping of str to int
        Accelerators that each customer holds in other data centres; assigned by the planner.
    hardware : Fleet
        The workers with nothing on them, to tell what can never run here.
    since : dict
        When each job began to wait here.
    searched_at : dict
        When work to stop was last looked for in vain for each waiting job.
    stopping : dict
        Running jobs that were told to stop, and for which job; empty when they move out.
    outside : set
        Running jobs that count as borrowed only because the slot around them lost its cells.
    spent : dict
        Accelerators already given away of the digests in ``others``.
    """

    data_centre: str
    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    in_service: bool = True
    others: Mapping[str, OtherCentre] = dataclasses.field(default_factory=dict)
    held_elsewhere: Mapping[str, int] = dataclasses.field(default_factory=dict)
    waiting: dict[str, job.Job] = dataclasses.field(default_factory=dict)
    running: dict[str, job.Job] = dataclasses.field(default_factory=dict)
    hardware: fleets.Fleet = dataclasses.field(default_factory=fleets.Fleet)
    fleet: fleets.Fleet = dataclasses.field(default_factory=fleets.Fleet)
    ledger: slots.Ledger = dataclasses.field(default_factory=slots.Ledger)
    queue: slack.Queue = dataclasses.field(default_factory=slack.Queue)
    estimates: runtimes.History = dataclasses.field(default_factory=runtimes.History)
    faults: ejection.Record = dataclasses.field(default_factory=ejection.Record)
    since: dict[str, float] = dataclasses.field(default_factory=dict)
    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    stopping: dict[str, str] = dataclasses.field(default_factory=dict)
    preempted_at: dict[str, float] = dataclasses.field(default_factory=dict)
    elsewhere_at: dict[str, float] = dataclasses.field(default_factory=dict)
    searched_at: dict[str, float] = dataclasses.field(default_factory=dict)
    outside: set[str] = dataclasses.field(default_factory=set)
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    spent: dict[str, int] = dataclasses.field(default_factory=dict)
    spent_of: Mapping[str, OtherCentre] | None = None
    unsettled: bool = False
    repacked_at: float = float("-inf")
    requeued_at: float = float("-inf")
    never: dict[shape.GangShape, bool] = dataclasses.field(default_factory=dict)


def is_urgent(state: State, one: job.Job) -> bool:
    """Return whether a job's class is urgent; a class that was deleted is not."""
    work_class = state.snapshot.classes.get(one.work_class)
    return work_class is not None and work_class.urgent


def over_quota(state: State, one: job.Job) -> bool:
    """Return whether starting a job would exceed its customer's quota."""
    return excess(state, one) > 0


def excess(state: State, one: job.Job) -> int:
    """Return by how many accelerators a job would exceed its customer's quota."""
    owner = state.snapshot.customers.get(one.customer)
    wanted = shape.accelerators(one.shape)
    if owner is None or not wanted:
        return 0
    held = state.held.get(one.customer, 0) + state.held_elsewhere.get(one.customer, 0)
    return max(0, held + wanted - owner.quota_accelerators)


def enqueue(state: State, one: job.Job) -> None:
    """Add a waiting job to the queue by its present estimate."""
    seconds = runtimes.estimate(
        state.estimates, one.customer, one.work_class, one.expected_seconds
    )
    slack.put(state.queue, one, seconds, urgent=is_urgent(state, one))


def hold(
    state: State, one: job.Job, cells: tuple[job.Cell, ...], *, borrowed: bool, force: bool = False
) -> None:
    """Take cells for a job and count it as running."""
    fleets.take(state.fleet, one.id, cells, one.shape.task, borrowed, one.customer, force=force)
    count(state, one, 1)
    slack.remove(state.queue, one.id)
    state.waiting.pop(one.id, None)
    state.running[one.id] = dataclasses.replace(one, cells=cells, borrowed=borrowed)


def release(state: State, job_id: str) -> None:
    """Give back all that a job holds, and drop it from the state but for its failures."""
    drop_claim(state, job_id)
    running = state.running.pop(job_id, None)
    if running is not None:
        fleets.give_back(state.fleet, job_id)
        guarantees.uncover(state.ledger, job_id, running.customer)
        count(state, running, -1)
        if not running.borrowed:
            # The customer's slots have room again, so a search may succeed now.
            state.searched_at.clear()
        state.unsettled = state.unsettled or bool(state.outside)
    slack.remove(state.queue, job_id)
    state.searched_at.pop(job_id, None)
    state.waiting.pop(job_id, None)
    state.stopping.pop(job_id, None)
    state.outside.discard(job_id)


def make_claim(state: State, one: job.Job, claim: Claim) -> None:
    """Keep cells for a waiting job."""
    fleets.claim(state.fleet, one.id, claim.cells, one.shape.task)
    state.claims[one.id] = claim
    count(state, one, 1)


def fill_claim(state: State, one: job.Job) -> None:
    """Place a job on the cells that are kept for it."""
    claim = state.claims.pop(one.id)
    fleets.fill_claim(state.fleet, one.id)
    count(state, one, -1)
    hold(state, one, claim.cells, borrowed=claim.borrowed)


def drop_claim(state: State, job_id: str) -> None:
    """Give up the cells kept for a waiting job."""
    claim = state.claims.pop(job_id, None)
    if claim is not None:
        fleets.drop_claim(state.fleet, job_id)
        waiting = state.waiting[job_id]
        guarantees.uncover(state.ledger, job_id, waiting.customer)
        count(state, waiting, -1)


def count(state: State, one: job.Job, sign: int) -> None:
    """Add a job to its customer's accelerators in use here, or take it away."""
    wanted = sign * shape.accelerators(one.shape)
    state.held[one.customer] = state.held.get(one.customer, 0) + wanted


def leave_slots(state: State, job_ids: tuple[str, ...]) -> None:
    """Count jobs as borrowed whose slots lost the cells around them."""
    for job_id in job_ids:
        if job_id in state.claims:
            drop_claim(state, job_id)
        elif job_id in state.running:
            fleets.relabel(state.fleet, job_id, borrowed=True)
            state.running[job_id] = dataclasses.replace(state.running[job_id], borrowed=True)
            state.outside.add(job_id)
    state.unsettled = True


def settle(state: State, now: float) -> None:
    """Bind slots that have no cells, first around work that belongs in them."""
    if not state.unsettled:
        return
    state.unsettled = False
    for job_id in sorted(state.outside):
        one = state.running[job_id]
        cells, task = one.cells, one.shape.task
        if guarantees.cover(state.ledger, job_id, one.customer, cells, task):
            fleets.relabel(state.fleet, job_id, borrowed=False)
            state.running[job_id] = dataclasses.replace(one, borrowed=False)
            state.outside.discard(job_id)
    if now - state.repacked_at >= REPACK_SECONDS:
        guarantees.bind_all(state.ledger)
        state.repacked_at = now
    else:
        slots.bind_each(state.ledger, [s for s in state.ledger.slots.values() if not s.cells])
    state.unsettled = bool(guarantees.short(state.ledger))
