"""Finds cells for one waiting job, and the borrowed jobs to preempt for it."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import heapq
from typing import TYPE_CHECKING

from peridothatch_core.model import shape
from peridothatch_core.order import runtimes
from peridothatch_core.place import fleet, gang, guarantees, preemption, state

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from peridothatch_core.model import job

MAX_RESERVATION_CANDIDATES = 512
"""Running jobs whose end is considered for a reservation, which bounds the search."""

PREEMPTION_RETRY_SECONDS, URGENT_PREEMPTION_RETRY_SECONDS = 5.0, 1.0
"""Time until a job searches again for others to preempt. Each search tries up to 64 jobs, and with
100 waiting jobs the searches took 0.5 s of each decision."""

NOT_PREEMPTIBLE = (float("inf"),)
"""Preemption cost of jobs and claims that must not be stopped; it sorts after all others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Cells for a job, and the jobs to stop and claims to drop first.

    If ``borrowed`` is false, the cells are already allocated within the customer's slots.
    """

    cells: tuple[job.Cell, ...]
    borrowed: bool
    stop: tuple[str, ...] = ()
    drop_claims: tuple[str, ...] = ()


def find_placement(planner: state.State, waiting: job.Job, now: float) -> Placement | None:
    """Return cells for a job, avoiding the workers on which it failed.

    Free cells are searched for in each call. After a failed search for jobs to preempt, the next
    one follows after a pause.
    """
    with _excluding_failed_workers(planner, waiting):
        found = _find_placement(planner, waiting, now)
    if found is not None:
        planner.preemption_searched_at.pop(waiting.id, None)
    return found


def is_search_paused(planner: state.State, waiting: job.Job, now: float) -> bool:
    """Return whether the last search for jobs to preempt failed too recently to search again."""
    pause = (
        URGENT_PREEMPTION_RETRY_SECONDS
        if state.is_urgent(planner, waiting)
        else PREEMPTION_RETRY_SECONDS
    )
    return now - planner.preemption_searched_at.get(waiting.id, float("-inf")) < pause


def find_soonest_cells(
    planner: state.State, waiting: job.Job, now: float
) -> tuple[job.Cell, ...] | None:
    """Return cells for a job that are expected to be free the soonest."""
    candidates = []
    for job_id, running in planner.running.items():
        remaining = runtimes.remaining(
            planner.estimates,
            running.customer,
            running.work_class,
            now - running.started_at,
            running.expected_seconds,
        )
        candidates.append(_running_candidate(planner, job_id, (remaining,)))
    probe = functools.partial(gang.find_cells, planner.fleet, waiting.shape)
    with _excluding_failed_workers(planner, waiting):
        plan = preemption.choose_victims(candidates, probe, MAX_RESERVATION_CANDIDATES)
    return plan.cells if plan else None


@contextlib.contextmanager
def _excluding_failed_workers(planner: state.State, waiting: job.Job) -> Iterator[None]:
    excluded = _workers_to_exclude(planner, waiting)
    for worker_id in excluded:
        fleet.set_cordoned(planner.fleet, worker_id, cordoned=True)
    try:
        yield
    finally:
        for worker_id in excluded:
            fleet.set_cordoned(planner.fleet, worker_id, cordoned=False)


def _workers_to_exclude(planner: state.State, waiting: job.Job) -> list[str]:
    """Return the workers on which a job failed, or none if it cannot run without them."""
    failed = planner.faults.by_job.get(waiting.id, ())
    excluded = [
        name
        for name in sorted(failed)
        if name in planner.fleet.machines and not planner.fleet.machines[name].cordoned
    ]
    if not excluded:
        return []
    for name in excluded:
        fleet.set_cordoned(planner.hardware, name, cordoned=True)
    possible = gang.find_cells(planner.hardware, waiting.shape) is not None
    for name in excluded:
        fleet.set_cordoned(planner.hardware, name, cordoned=False)
    return excluded if possible else []


def _find_placement(planner: state.State, waiting: job.Job, now: float) -> Placement | None:
    own_cells = guarantees.find_cells(planner.ledger, waiting.customer, waiting.shape)
    may_preempt = own_cells is not None or state.is_urgent(planner, waiting)
    may_preempt = may_preempt and not is_search_paused(planner, waiting, now)
    if state.over_quota(planner, waiting):
        return _preempt_for_quota(planner, waiting, own_cells, now) if may_preempt else None
    free = gang.find_cells(planner.fleet, waiting.shape)
    if own_cells is not None:
        for cells in (free, own_cells if _is_free(planner, waiting, own_cells) else None):
            if cells is not None and _allocate_in_slots(planner, waiting, cells):
                return Placement(cells, False)
        found = _preempt_for_cells(planner, waiting, own_cells, now) if may_preempt else None
        if found is not None:
            return found
    if free is not None:
        return Placement(free, True)
    return (
        _preempt_for_cells(planner, waiting, None, now)
        if may_preempt and own_cells is None
        else None
    )


def _is_free(planner: state.State, waiting: job.Job, cells: tuple[job.Cell, ...]) -> bool:
    by_worker = fleet.resources_by_worker(cells, waiting.shape.task)
    return all(
        fleet.has_free(planner.fleet, name, resources) for name, resources in by_worker.items()
    )


def _allocate_in_slots(
    planner: state.State, waiting: job.Job, cells: tuple[job.Cell, ...]
) -> bool:
    return guarantees.allocate(
        planner.ledger, waiting.id, waiting.customer, cells, waiting.shape.task
    )


def _preempt_for_cells(
    planner: state.State, waiting: job.Job, own_cells: tuple[job.Cell, ...] | None, now: float
) -> Placement | None:
    """Return cells that become free by preempting borrowed jobs.

    ``own_cells`` are within the customer's slots. Without them the job must be urgent; it then
    preempts only jobs that are not urgent, so that one preemption never causes another.
    """

    def probe() -> preemption.Cells | None:
        cells = gang.find_cells(planner.fleet, waiting.shape)
        if cells is None or own_cells is None:
            return cells
        if not _allocate_in_slots(planner, waiting, cells):
            return None
        guarantees.release(planner.ledger, waiting.id, waiting.customer)
        return cells

    planner.preemption_searched_at[waiting.id] = now
    for spare_recent in (True, False):
        candidates = _preemption_candidates(planner, waiting, entitled=own_cells is not None)
        spared = [c for c in candidates if not _was_recently_preempted(planner, c.id, now)]
        if spare_recent or len(spared) < len(candidates):
            plan = preemption.choose_victims(spared if spare_recent else candidates, probe)
        else:
            plan = None
        if plan is None and own_cells is not None:
            plan = _plan_eviction(planner, waiting, own_cells)
            if (
                plan
                and spare_recent
                and any(_was_recently_preempted(planner, i, now) for i in plan.stop)
            ):
                plan = None
        if plan is not None and (
            own_cells is None or _allocate_in_slots(planner, waiting, plan.cells)
        ):
            jobs, claims = _split_claims(plan.stop)
            return Placement(plan.cells, own_cells is None, jobs, claims)
    return None


def _preempt_for_quota(
    planner: state.State, waiting: job.Job, own_cells: tuple[job.Cell, ...] | None, now: float
) -> Placement | None:
    """Return cells for a job over quota by preempting borrowed jobs of its customer.

    A customer's borrowed jobs must not keep its urgent or guaranteed jobs waiting.
    """
    planner.preemption_searched_at[waiting.id] = now
    excess = state.quota_excess(planner, waiting)
    freed = 0

    def with_freed_count(candidate: preemption.Candidate) -> preemption.Candidate:
        job_id = candidate.id.removeprefix(fleet.CLAIM_PREFIX)
        holder = planner.running.get(job_id) or planner.waiting[job_id]
        size = shape.total_accelerators(holder.shape)

        def release() -> None:
            nonlocal freed
            freed += size
            candidate.release()

        def restore() -> None:
            nonlocal freed
            freed -= size
            candidate.restore()

        return dataclasses.replace(candidate, release=release, restore=restore)

    def probe() -> preemption.Cells | None:
        if freed < excess:
            return None
        return (
            own_cells if own_cells is not None else gang.find_cells(planner.fleet, waiting.shape)
        )

    for spare_recent in (True, False):
        candidates = [
            with_freed_count(candidate)
            for candidate in _preemption_candidates(
                planner, waiting, entitled=own_cells is not None, own_only=True
            )
            if not (spare_recent and _was_recently_preempted(planner, candidate.id, now))
        ]
        plan = preemption.choose_victims(candidates, probe)
        if plan is None:
            continue
        if own_cells is None:
            return Placement(plan.cells, True, *_split_claims(plan.stop))
        others = _plan_eviction(planner, waiting, own_cells)
        if others is not None and _allocate_in_slots(planner, waiting, own_cells):
            jobs, claims = _split_claims(dict.fromkeys(plan.stop + others.stop))
            return Placement(own_cells, False, jobs, claims)
    return None


def _split_claims(keys: Iterable[str]) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Split the ids of candidates into jobs to stop and jobs whose claims to drop."""
    jobs, claims = [], []
    for key in keys:
        if key.startswith(fleet.CLAIM_PREFIX):
            claims.append(key.removeprefix(fleet.CLAIM_PREFIX))
        else:
            jobs.append(key)
    return tuple(jobs), tuple(claims)


def _was_recently_preempted(planner: state.State, job_id: str, now: float) -> bool:
    at = planner.preempted_at.get(job_id)
    return (
        at is not None
        and job_id not in planner.stopping
        and now - at < preemption.RECENT_PREEMPTION_SECONDS
    )


def _preemption_candidates(
    planner: state.State, waiting: job.Job, *, entitled: bool, own_only: bool = False
) -> list[preemption.Candidate]:
    """Return the borrowed jobs and claims with the lowest preemption cost.

    With ``own_only``, only those of the same customer are returned. Jobs without accelerators
    are excluded if the waiting job needs some, since many of them would have to stop for cores
    alone. Dropping a claim costs nothing, and jobs that are already stopping cost nothing more.
    """
    accelerated = waiting.shape.task.accelerators > 0
    owner = waiting.customer if own_only else ""
    costs: list[tuple[tuple[float, ...], str]] = []
    for job_id, claim in planner.claims.items():
        eligible = not owner or planner.waiting[job_id].customer == owner
        if claim.borrowed and (entitled or claim.reserved) and eligible:
            costs.append(((-2.0,), fleet.CLAIM_PREFIX + job_id))
    for job_id, allocation in planner.fleet.allocations.items():
        if (owner and allocation.customer != owner) or (
            accelerated and not allocation.task.accelerators
        ):
            continue
        running = planner.running[job_id]
        if job_id in planner.stopping:
            costs.append(((-1.0,), job_id))
        elif allocation.borrowed:
            urgent = state.is_urgent(planner, running) or job_id in planner.displaced
            if entitled or not urgent:
                costs.append((preemption.preemption_cost(running, urgent=urgent), job_id))
    return [
        _claim_candidate(planner, job_id, cost)
        if job_id.startswith(fleet.CLAIM_PREFIX)
        else _running_candidate(planner, job_id, cost)
        for cost, job_id in heapq.nsmallest(2 * preemption.MAX_TRIED, costs)
    ]


def _running_candidate(
    planner: state.State, job_id: str, cost: tuple[float, ...]
) -> preemption.Candidate:
    allocation = planner.fleet.allocations[job_id]
    return preemption.Candidate(
        job_id,
        cost,
        functools.partial(fleet.release, planner.fleet, job_id),
        functools.partial(fleet.undo_release, planner.fleet, allocation),
    )


def _claim_candidate(
    planner: state.State, key: str, cost: tuple[float, ...]
) -> preemption.Candidate:
    job_id = key.removeprefix(fleet.CLAIM_PREFIX)
    cells, task = planner.claims[job_id].cells, planner.waiting[job_id].shape.task
    return preemption.Candidate(
        key,
        cost,
        functools.partial(fleet.drop_claim, planner.fleet, job_id),
        functools.partial(fleet.claim, planner.fleet, job_id, cells, task),
    )


def _plan_eviction(
    planner: state.State, waiting: job.Job, own_cells: tuple[job.Cell, ...]
) -> preemption.Plan | None:
    """Return what to stop to free the cells, or ``None`` if some of it must not be stopped."""
    stop: dict[str, None] = {}
    for name, resources in fleet.resources_by_worker(own_cells, waiting.shape.task).items():
        machine = planner.fleet.machines.get(name)
        if machine is None or machine.cordoned:
            return None
        cores, memory = machine.free_cores, machine.free_memory_mb
        for disjoint, cost, key, held in _holders_on_worker(planner, name, resources):
            enough = cores >= resources.cores and memory >= resources.memory_mb
            if disjoint and (enough or cost == NOT_PREEMPTIBLE):
                continue
            if cost == NOT_PREEMPTIBLE:
                return None
            stop[key] = None
            cores += held.cores
            memory += held.memory_mb
    return preemption.Plan(tuple(stop), own_cells)


def _holders_on_worker(
    planner: state.State, name: str, resources: fleet.Resources
) -> list[tuple[bool, tuple[float, ...], str, fleet.Resources]]:
    """Return the jobs and claims on a worker, those that overlap the accelerators first.

    Each comes as (whether it is disjoint from the accelerators, cost, key, its resources). A
    claim counts with all accelerators that it claims, since it gets them before a later claim.
    """
    held = dict(planner.fleet.allocated_by_worker.get(name, {}))
    claimed_masks = {}
    for job_id, claimed in planner.fleet.claimed.items():
        if name in claimed:
            held.setdefault(fleet.CLAIM_PREFIX + job_id, fleet.Resources())
            claimed_masks[fleet.CLAIM_PREFIX + job_id] = claimed[name].mask
    return sorted(
        (
            resources.mask & claimed_masks.get(key, held_resources.mask) == 0,
            _preemption_cost(planner, key),
            key,
            held_resources,
        )
        for key, held_resources in held.items()
    )


def _preemption_cost(planner: state.State, key: str) -> tuple[float, ...]:
    """Return the cost of stopping a job or dropping a claim, or ``NOT_PREEMPTIBLE``."""
    if key.startswith(fleet.CLAIM_PREFIX):
        claim = planner.claims[key.removeprefix(fleet.CLAIM_PREFIX)]
        return (-2.0,) if claim.borrowed else NOT_PREEMPTIBLE
    if key in planner.stopping:
        return (-1.0,)
    if not planner.fleet.allocations[key].borrowed:
        return NOT_PREEMPTIBLE
    running = planner.running[key]
    urgent = state.is_urgent(planner, running) or key in planner.displaced
    return preemption.preemption_cost(running, urgent=urgent)
