"""Decides which jobs of one data centre to place, preempt, evacuate or transfer.

The planner task owns one ``State``. It reports events with the ``record_*`` functions and then
calls ``decide``. A returned ``Place`` or ``Preempt`` is already recorded in the state, so that
the next call does not repeat it; the planner reports its outcome as another event.
"""

from __future__ import annotations

import dataclasses
import heapq
import math

from peridothatch_core.model import config, datacentre, job, shape, worker
from peridothatch_core.order import runtimes, slack
from peridothatch_core.place import (
    decision,
    ejection,
    fleet,
    guarantees,
    job_placement,
    transfer,
)
from peridothatch_core.place import state as planner_state

MAX_SEARCHES = 128
"""Searches for cells in one call, which bounds its time; the next call searches again."""

MIN_WAIT_SECONDS, MAX_WAIT_SECONDS = 900.0, 8 * 3600.0
"""Bounds of the wait after which a job gets a reservation, so that it does not starve. Within them
the wait is half the time from its beginning to the latest start that meets the job's target. A
reservation is not made earlier because it leaves resources idle."""

MAX_RESERVATIONS = 1
"""Reservations at a time; each leaves resources idle until the last of its cells is free."""

MAX_LONG_WAITING_JOBS = 8
"""Jobs considered ahead of the queue in one call, those that have waited longest first."""

MAX_RESERVATION_AGE_SECONDS = 1800.0
"""Age at which a reservation is dropped, since the jobs on its cells outran their estimates."""

REORDER_SECONDS = 60.0
"""Interval at which the queue is ordered again by the latest run time estimates."""

MAX_EVACUATING_SHARE = 0.25
"""Share of the running jobs that is evacuated at a time, while the others continue to run."""

MIN_EVACUATING = 4
"""Jobs that are evacuated at a time when the share is smaller than this."""

State = planner_state.State
OtherCentre = planner_state.OtherCentre
Decision = decision.Decision
Place = decision.Place
Preempt = decision.Preempt
Evacuate = decision.Evacuate
Transfer = decision.Transfer


def create(data_centre: str) -> State:
    """Return the initial state of a planner, without workers and jobs."""
    return State(data_centre)


def decide(state: State, now: float) -> list[Decision]:
    """Return the decisions for now, and record them in the state.

    Parameters
    ----------
    now : float
        Seconds since 1970-01-01 UTC, as in job rows. It affects only order and waiting times.
    """
    _update_ejections(state, now)
    planner_state.rebind_slots(state, now)
    if not state.in_service:
        return _evacuate(state) + transfer.choose_transfers(state, now)
    if now - state.queue_ordered_at >= REORDER_SECONDS:
        state.queue_ordered_at = now
        for waiting in state.waiting.values():
            planner_state.enqueue(state, waiting)
    return (
        _fill_claims(state, now)
        + _place_long_waiting(state, now)
        + _place_waiting(state, now)
        + transfer.choose_transfers(state, now)
    )


def record_config(state: State, snapshot: config.Snapshot, now: float) -> None:
    """Record a new configuration, including the service state of the data centre.

    A data centre that the snapshot does not contain is not in service.
    """
    here = snapshot.data_centres.get(state.data_centre)
    state.in_service = here is not None and here.service is datacentre.Service.IN
    reorder = snapshot.classes != state.snapshot.classes
    state.snapshot = snapshot
    local = [g for g in snapshot.guarantees.values() if g.data_centre == state.data_centre]
    planner_state.mark_displaced(state, guarantees.set_guarantees(state.ledger, local))
    state.repacked_at = float("-inf")
    if reorder:
        state.queue_ordered_at = float("-inf")
    if not state.in_service:
        for job_id in list(state.claims):
            planner_state.drop_claim(state, job_id)
    planner_state.rebind_slots(state, now)


def record_waiting(state: State, waiting: job.Job, now: float) -> None:
    """Record that a job waits here because it is new, has stopped, or could not be started.

    Its cells become free, so the caller must be certain that none of its tasks runs.
    """
    planner_state.release(state, waiting.id)
    state.waiting[waiting.id] = waiting
    state.waiting_since.setdefault(waiting.id, now)
    planner_state.enqueue(state, waiting)


def record_started(state: State, started: job.Job, now: float) -> None:
    """Record that a job occupies ``started.cells``, after ``Place`` or as read from its row.

    The cells may be on workers that have not joined yet. Its run time is measured from
    ``started.started_at``, or from ``now`` if that is 0.
    """
    if not started.started_at:
        started = dataclasses.replace(started, started_at=now)
    state.waiting_since.pop(started.id, None)
    state.transferred_at.pop(started.id, None)
    known = state.running.get(started.id)
    if known is not None and set(known.cells) == set(started.cells):
        state.running[started.id] = dataclasses.replace(started, borrowed=known.borrowed)
        return
    planner_state.release(state, started.id)
    in_slots = not started.borrowed and guarantees.allocate(
        state.ledger, started.id, started.customer, started.cells, started.shape.task
    )
    planner_state.allocate(state, started, started.cells, borrowed=not in_slots, force=True)
    if not started.borrowed and not in_slots:
        state.displaced.add(started.id)
        state.needs_rebinding = True


def record_ended(state: State, job_id: str, now: float, *, succeeded: bool = False) -> None:
    """Record that a job ended, was cancelled or was transferred to another data centre."""
    running = state.running.get(job_id)
    if running is not None and succeeded:
        if running.started_at:
            seconds = max(0.0, now - running.started_at)
            runtimes.record(state.estimates, running.customer, running.work_class, seconds)
        workers = tuple({cell.worker for cell in running.cells})
        ejection.record_success(state.faults, job_id, workers)
    planner_state.release(state, job_id)
    ejection.forget(state.faults, job_id)
    for times in (state.waiting_since, state.preempted_at, state.transferred_at):
        times.pop(job_id, None)


def record_failed(state: State, job_id: str, workers: tuple[str, ...], now: float) -> bool:
    """Record a run that failed on these workers; return whether to retry the job.

    The job keeps its cells until ``record_waiting`` or ``record_ended`` follows.
    """
    return ejection.record_failure(state.faults, job_id, workers, now)


def record_worker_joined(state: State, joined: worker.Worker, now: float) -> None:
    """Record that a worker announced itself; it may be known already."""
    known = state.hardware.machines.get(joined.id)
    capacity = fleet.capacity_of(joined)
    if known is not None and (known.rack, known.capacity) == (joined.rack, capacity):
        return
    if known is not None:
        record_worker_lost(state, joined.id, now)
    ejected = joined.id in state.faults.ejected_until
    fleet.add_worker(state.fleet, joined)
    fleet.add_worker(state.hardware, joined)
    fleet.set_cordoned(state.fleet, joined.id, cordoned=ejected)
    if not ejected:
        guarantees.add_worker(state.ledger, joined)
    state.never_fits.clear()
    state.needs_rebinding = True


def record_worker_lost(state: State, worker_id: str, now: float) -> tuple[str, ...]:
    """Record that a worker was lost; return the jobs that have cells on it.

    Their cells stay allocated until ``record_waiting`` or ``record_ended``, even if the worker
    joins again before that.
    """
    state.never_fits.clear()
    fleet.remove_worker(state.hardware, worker_id)
    _withdraw_worker(state, worker_id)
    held = fleet.remove_worker(state.fleet, worker_id)
    planner_state.rebind_slots(state, now)
    return held


def workers(state: State) -> list[worker.Worker]:
    """Return the known workers, including ejected ones."""
    return [
        worker.Worker(
            machine.id, state.data_centre, machine.rack,
            machine.capacity.mask.bit_count(), machine.capacity.cores, machine.capacity.memory_mb,
        )
        for machine in state.hardware.machines.values()
    ]  # fmt: skip


def _withdraw_worker(state: State, worker_id: str) -> None:
    """Drop the claims on a worker and unbind the slots that have cells on it."""
    for job_id, wanted in list(state.fleet.claimed.items()):
        if worker_id in wanted:
            planner_state.drop_claim(state, job_id)
    planner_state.mark_displaced(state, guarantees.remove_worker(state.ledger, worker_id))


def _update_ejections(state: State, now: float) -> None:
    """Eject workers on which several jobs failed, and readmit those whose ejection is over."""
    for worker_id in ejection.readmit(state.faults, now):
        machine = state.hardware.machines.get(worker_id)
        if machine is not None:
            fleet.set_cordoned(state.fleet, worker_id, cordoned=False)
            fleet.set_capacity(state.ledger.promised, worker_id, machine.rack, machine.capacity)
            state.needs_rebinding = True
    for worker_id in ejection.eject(state.faults, state.hardware.machines, now):
        _withdraw_worker(state, worker_id)
        fleet.set_cordoned(state.fleet, worker_id, cordoned=True)


def _fill_claims(state: State, now: float) -> list[Decision]:
    """Place jobs whose claimed cells are all free; drop claims that expired or cannot fill up."""
    decisions: list[Decision] = []
    for job_id, claim in list(state.claims.items()):
        stopping = any(victim in state.stopping for victim in claim.stopping)
        if fleet.is_claim_full(state.fleet, job_id) and not stopping:
            planner_state.fill_claim(state, state.waiting[job_id])
            decisions.append(Place(job_id, claim.cells, claim.borrowed))
        elif claim.reserved:
            if now - claim.made_at >= MAX_RESERVATION_AGE_SECONDS:
                planner_state.drop_claim(state, job_id)
        elif not stopping:
            planner_state.drop_claim(state, job_id)
    return decisions


def _place_waiting(state: State, now: float) -> list[Decision]:
    """Place waiting jobs in queue order; a job that finds no cells does not block those behind."""
    decisions: list[Decision] = []
    failed: set[tuple[str, shape.GangShape, bool, bool]] = set()
    quota_waiters = _quota_waiters(state, now)
    searches = 0
    for job_id in list(slack.start_order(state.queue, now)):
        waiting = state.waiting[job_id]
        claim = state.claims.get(job_id)
        urgent = planner_state.is_urgent(state, waiting)
        paused = job_placement.is_search_paused(state, waiting, now)
        key = (waiting.customer, waiting.shape, urgent, paused)
        if key in failed or (claim is not None and not claim.reserved):
            continue
        if quota_waiters.get(waiting.customer, job_id) != job_id and not _is_entitled(
            state, waiting
        ):
            continue
        if searches == MAX_SEARCHES:
            break
        searches += 1
        if claim is not None:
            planner_state.drop_claim(state, job_id)
        found = job_placement.find_placement(state, waiting, now)
        if found is not None:
            decisions += _apply_placement(state, waiting, found, now)
        elif claim is not None:
            planner_state.make_claim(state, waiting, claim)
        elif job_id not in state.faults.by_job:
            failed.add(key)
    return decisions


def _is_entitled(state: State, waiting: job.Job) -> bool:
    """Return whether a job is urgent or fits into its customer's slots."""
    return (
        planner_state.is_urgent(state, waiting)
        or guarantees.find_cells(state.ledger, waiting.customer, waiting.shape) is not None
    )


def _waits_too_long(state: State, waiting: job.Job, now: float) -> bool:
    slack_seconds = slack.latest_start(state.queue, waiting.id) - state.waiting_since[waiting.id]
    bound = min(max(slack_seconds / 2, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)
    return now - state.waiting_since[waiting.id] >= bound


def _quota_waiters(state: State, now: float) -> dict[str, str]:
    """Return for each customer the job that has waited too long for the customer's quota.

    The customer's other jobs wait for it unless they are urgent or guaranteed. Otherwise small
    jobs would use up the quota before enough of it is free for a large one.
    """
    quota_waiters: dict[str, str] = {}
    for job_id, waiting in state.waiting.items():
        since = state.waiting_since[job_id]
        first = quota_waiters.get(waiting.customer)
        if (first and state.waiting_since[first] <= since) or not _waits_too_long(
            state, waiting, now
        ):
            continue
        if job_id not in state.claims and planner_state.over_quota(state, waiting):
            quota_waiters[waiting.customer] = job_id
    return quota_waiters


def _apply_placement(
    state: State, waiting: job.Job, found: job_placement.Placement, now: float
) -> list[Decision]:
    """Place a job, or claim its cells and preempt the jobs that are on them."""
    for job_id in found.drop_claims:
        planner_state.drop_claim(state, job_id)
    if not found.stop:
        planner_state.allocate(state, waiting, found.cells, borrowed=found.borrowed)
        return [Place(waiting.id, found.cells, found.borrowed)]
    claim = planner_state.Claim(found.cells, found.borrowed, False, now, frozenset(found.stop))
    planner_state.make_claim(state, waiting, claim)
    decisions: list[Decision] = []
    for job_id in found.stop:
        if job_id not in state.stopping:
            state.stopping[job_id] = waiting.id
            state.preempted_at[job_id] = now
            decisions.append(Preempt(job_id, waiting.id))
    return decisions


def _place_long_waiting(state: State, now: float) -> list[Decision]:
    """Place jobs that have waited too long, or reserve cells for them.

    They come ahead of the queue, since jobs placed from it could use up the quota or the free
    cells again in the same call.
    """
    decisions: list[Decision] = []
    reserved = sum(claim.reserved for claim in state.claims.values())
    overdue = [
        (state.waiting_since[job_id], job_id)
        for job_id, waiting in state.waiting.items()
        if job_id not in state.claims and _waits_too_long(state, waiting, now)
    ]
    for _, job_id in heapq.nsmallest(MAX_LONG_WAITING_JOBS, overdue):
        waiting = state.waiting[job_id]
        if planner_state.over_quota(state, waiting):
            continue
        found = job_placement.find_placement(state, waiting, now)
        if found is not None:
            decisions += _apply_placement(state, waiting, found, now)
        elif reserved < MAX_RESERVATIONS and not transfer.never_fits(state, waiting.shape):
            cells = job_placement.find_soonest_cells(state, waiting, now)
            if cells is not None:
                claim = planner_state.Claim(cells, True, True, now)
                planner_state.make_claim(state, waiting, claim)
                reserved += 1
    return decisions


def _evacuate(state: State) -> list[Decision]:
    """Return the jobs to evacuate now, borrowed ones first, then by their target times."""
    allowed = max(MIN_EVACUATING, math.ceil(MAX_EVACUATING_SHARE * len(state.running)))
    remaining = sorted(
        (not running.borrowed, running.due_at, job_id)
        for job_id, running in state.running.items()
        if job_id not in state.stopping
    )
    evacuating = [job_id for _, _, job_id in remaining[: max(0, allowed - len(state.stopping))]]
    state.stopping.update(dict.fromkeys(evacuating, ""))
    return [Evacuate(job_id) for job_id in evacuating]
