"""State of the planner of one data centre, and functions that keep its parts consistent."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from peridothatch_core.model import config, job, shape
from peridothatch_core.order import runtimes, slack
from peridothatch_core.place import ejection, guarantees, slots
from peridothatch_core.place import fleet as fleets

MIN_REPACK_INTERVAL_SECONDS = 5.0
"""Least time between attempts to rebind idle slots while some slots have no cells."""


@dataclasses.dataclass(frozen=True, slots=True)
class OtherCentre:
    """Free capacity of another data centre, from its planner's digest."""

    in_service: bool
    free_accelerators: int
    free_blocks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Cells that are kept for a waiting job until all of them are free.

    Attributes
    ----------
    reserved : bool
        Whether the jobs on the cells run to their end instead of being stopped.
    stopping : frozenset of str
        Jobs that are preempted for this one.
    """

    cells: tuple[job.Cell, ...]
    borrowed: bool
    reserved: bool
    made_at: float
    stopping: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class State:
    """State of a planner.

    Only the functions of ``place`` change it, except for the two attributes that the planner
    assigns.

    Attributes
    ----------
    in_service : bool
        Whether the data centre is in service, from the snapshot.
    others : mapping of str to OtherCentre
        The other data centres by name; the planner assigns a new mapping for each update.
    used_elsewhere : mapping of str to int
        Accelerators in use by each customer in other data centres; assigned by the planner.
    hardware : Fleet
        The workers without allocations, to detect gangs that can never run here.
    faults : Record
        Failures of jobs on workers.
    waiting_since : dict
        Time at which each job began to wait here.
    claims : dict
        Cells that are kept for waiting jobs.
    stopping : dict
        Running jobs that were told to stop, each with the job that preempts it, empty for an
        evacuation.
    preempted_at, transferred_at : dict
        Time at which each job was last preempted, or returned as ``Transfer``.
    preemption_searched_at : dict
        Time of the last search for jobs to preempt, for each waiting job whose search failed.
    displaced : set
        Running jobs that count as borrowed only because their slot lost its cells.
    used_accelerators : dict
        Accelerators that each customer uses or claims here.
    pledged, pledged_against : dict, mapping
        Accelerators of the jobs transferred to each data centre, and the value of ``others``
        from which they are to be subtracted.
    needs_rebinding : bool
        Whether a slot may lack cells or a displaced job may fit into a slot again.
    never_fits : dict
        Cached results of ``transfer.never_fits``.
    """

    data_centre: str
    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    in_service: bool = True
    others: Mapping[str, OtherCentre] = dataclasses.field(default_factory=dict)
    used_elsewhere: Mapping[str, int] = dataclasses.field(default_factory=dict)
    waiting: dict[str, job.Job] = dataclasses.field(default_factory=dict)
    running: dict[str, job.Job] = dataclasses.field(default_factory=dict)
    hardware: fleets.Fleet = dataclasses.field(default_factory=fleets.Fleet)
    fleet: fleets.Fleet = dataclasses.field(default_factory=fleets.Fleet)
    ledger: slots.Ledger = dataclasses.field(default_factory=slots.Ledger)
    queue: slack.Queue = dataclasses.field(default_factory=slack.Queue)
    estimates: runtimes.History = dataclasses.field(default_factory=runtimes.History)
    faults: ejection.Record = dataclasses.field(default_factory=ejection.Record)
    waiting_since: dict[str, float] = dataclasses.field(default_factory=dict)
    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    stopping: dict[str, str] = dataclasses.field(default_factory=dict)
    preempted_at: dict[str, float] = dataclasses.field(default_factory=dict)
    transferred_at: dict[str, float] = dataclasses.field(default_factory=dict)
    preemption_searched_at: dict[str, float] = dataclasses.field(default_factory=dict)
    displaced: set[str] = dataclasses.field(default_factory=set)
    used_accelerators: dict[str, int] = dataclasses.field(default_factory=dict)
    pledged: dict[str, int] = dataclasses.field(default_factory=dict)
    pledged_against: Mapping[str, OtherCentre] | None = None
    needs_rebinding: bool = False
    repacked_at: float = float("-inf")
    queue_ordered_at: float = float("-inf")
    never_fits: dict[shape.GangShape, bool] = dataclasses.field(default_factory=dict)


def is_urgent(state: State, item: job.Job) -> bool:
    """Return whether a job's class is urgent; a deleted class is not."""
    work_class = state.snapshot.classes.get(item.work_class)
    return work_class is not None and work_class.urgent


def over_quota(state: State, item: job.Job) -> bool:
    """Return whether starting a job would exceed its customer's quota."""
    return quota_excess(state, item) > 0


def quota_excess(state: State, item: job.Job) -> int:
    """Return the number of accelerators by which a job would exceed its customer's quota."""
    owner = state.snapshot.customers.get(item.customer)
    wanted = shape.total_accelerators(item.shape)
    if owner is None or not wanted:
        return 0
    used = state.used_accelerators.get(item.customer, 0) + state.used_elsewhere.get(
        item.customer, 0
    )
    return max(0, used + wanted - owner.quota_accelerators)


def enqueue(state: State, item: job.Job) -> None:
    """Add a waiting job to the queue, ordered by its current run time estimate."""
    seconds = runtimes.estimate(
        state.estimates, item.customer, item.work_class, item.expected_seconds
    )
    slack.put(state.queue, item, seconds, urgent=is_urgent(state, item))


def allocate(
    state: State,
    item: job.Job,
    cells: tuple[job.Cell, ...],
    *,
    borrowed: bool,
    force: bool = False,
) -> None:
    """Allocate cells to a job and move it from the waiting to the running jobs."""
    fleets.allocate(
        state.fleet, item.id, cells, item.shape.task, borrowed, item.customer, force=force
    )
    add_usage(state, item, 1)
    slack.remove(state.queue, item.id)
    state.waiting.pop(item.id, None)
    state.running[item.id] = dataclasses.replace(item, cells=cells, borrowed=borrowed)


def release(state: State, job_id: str) -> None:
    """Release all cells of a job and remove it from the state, except for its failures."""
    drop_claim(state, job_id)
    running = state.running.pop(job_id, None)
    if running is not None:
        fleets.release(state.fleet, job_id)
        guarantees.release(state.ledger, job_id, running.customer)
        add_usage(state, running, -1)
        if not running.borrowed:
            # The customer's slots have free cells again, so a new search may succeed.
            state.preemption_searched_at.clear()
        state.needs_rebinding = state.needs_rebinding or bool(state.displaced)
    slack.remove(state.queue, job_id)
    state.preemption_searched_at.pop(job_id, None)
    state.waiting.pop(job_id, None)
    state.stopping.pop(job_id, None)
    state.displaced.discard(job_id)


def make_claim(state: State, item: job.Job, claim: Claim) -> None:
    """Keep cells for a waiting job."""
    fleets.claim(state.fleet, item.id, claim.cells, item.shape.task)
    state.claims[item.id] = claim
    add_usage(state, item, 1)


def fill_claim(state: State, item: job.Job) -> None:
    """Allocate to a job the cells that are kept for it."""
    claim = state.claims.pop(item.id)
    fleets.consume_claim(state.fleet, item.id)
    add_usage(state, item, -1)
    allocate(state, item, claim.cells, borrowed=claim.borrowed)


def drop_claim(state: State, job_id: str) -> None:
    """Release the cells that are kept for a waiting job."""
    claim = state.claims.pop(job_id, None)
    if claim is not None:
        fleets.drop_claim(state.fleet, job_id)
        waiting = state.waiting[job_id]
        guarantees.release(state.ledger, job_id, waiting.customer)
        add_usage(state, waiting, -1)


def add_usage(state: State, item: job.Job, sign: int) -> None:
    """Add a job's accelerators to its customer's usage, or subtract them if ``sign`` is -1."""
    wanted = sign * shape.total_accelerators(item.shape)
    state.used_accelerators[item.customer] = state.used_accelerators.get(item.customer, 0) + wanted


def mark_displaced(state: State, job_ids: tuple[str, ...]) -> None:
    """Count jobs whose slots lost their cells as borrowed, and drop claims in such slots."""
    for job_id in job_ids:
        if job_id in state.claims:
            drop_claim(state, job_id)
        elif job_id in state.running:
            fleets.set_borrowed(state.fleet, job_id, borrowed=True)
            state.running[job_id] = dataclasses.replace(state.running[job_id], borrowed=True)
            state.displaced.add(job_id)
    state.needs_rebinding = True


def rebind_slots(state: State, now: float) -> None:
    """Bind the slots that have no cells, first around displaced jobs."""
    if not state.needs_rebinding:
        return
    state.needs_rebinding = False
    for job_id in sorted(state.displaced):
        item = state.running[job_id]
        cells, task = item.cells, item.shape.task
        if guarantees.allocate(state.ledger, job_id, item.customer, cells, task):
            fleets.set_borrowed(state.fleet, job_id, borrowed=False)
            state.running[job_id] = dataclasses.replace(item, borrowed=False)
            state.displaced.discard(job_id)
    if now - state.repacked_at >= MIN_REPACK_INTERVAL_SECONDS:
        guarantees.bind_all(state.ledger)
        state.repacked_at = now
    else:
        slots.bind_each(state.ledger, [s for s in state.ledger.slots.values() if not s.cells])
    state.needs_rebinding = bool(guarantees.shortfalls(state.ledger))
