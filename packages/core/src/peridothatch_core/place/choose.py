"""Finds cells for one waiting job, by stopping borrowed work where it may."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import heapq
from typing import TYPE_CHECKING

from peridothatch_core.model import shape
from peridothatch_core.order import runtimes
from peridothatch_core.place import fleet, gang, guarantees, reclaim, state

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from peridothatch_core.model import job

MOST_AWAITED = 512
"""Running jobs whose end is considered for a reservation, which bounds its search."""

PAUSE_SECONDS, URGENT_PAUSE_SECONDS = 5.0, 1.0
"""Time until work to stop is looked for again: each search tries up to 64 jobs, and with 100
waiting jobs these searches took 0.5 s of each decision."""

KEEP = (float("inf"),)
"""Loss of what must not be stopped; it sorts after all others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Cells for a job, and the jobs and claims that must leave them first.

    When ``borrowed`` is false the cells are taken within the customer's slots already.
    """

    cells: tuple[job.Cell, ...]
    borrowed: bool
    stop: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()


def find(planner: state.State, waiting: job.Job, now: float) -> Finding | None:
    """Return cells for a job, away from the workers on which it failed.

    After a search in vain, work to stop is looked for again only after a pause; free cells are
    looked for each time.
    """
    with _away_from_failures(planner, waiting):
        found = _find(planner, waiting, now)
    if found is not None:
        planner.searched_at.pop(waiting.id, None)
    return found


def is_paused(planner: state.State, waiting: job.Job, now: float) -> bool:
    """Return whether work to stop was looked for in vain too recently to look again."""
    pause = URGENT_PAUSE_SECONDS if state.is_urgent(planner, waiting) else PAUSE_SECONDS
    return now - planner.searched_at.get(waiting.id, float("-inf")) < pause


def await_cells(planner: state.State, waiting: job.Job, now: float) -> tuple[job.Cell, ...] | None:
    """Return the cells that running jobs are expected to free the soonest."""
    candidates = []
    for job_id, running in planner.running.items():
        rest = runtimes.remaining(
            planner.estimates,
            running.customer,
            running.work_class,
            now - running.started_at,
            running.expected_seconds,
        )
        candidates.append(_running(planner, job_id, (rest,)))
    probe = functools.partial(gang.find_cells, planner.fleet, waiting.shape)
    with _away_from_failures(planner, waiting):
        plan = reclaim.choose(candidates, probe, MOST_AWAITED)
    return plan.cells if plan else None


@contextlib.contextmanager
def _away_from_failures(planner: state.State, waiting: job.Job) -> Iterator[None]:
    avoided = _avoided(planner, waiting)
    for worker_id in avoided:
        fleet.bar(planner.fleet, worker_id, barred=True)
    try:
        yield
    finally:
        for worker_id in avoided:
            fleet.bar(planner.fleet, worker_id, barred=False)


def _avoided(planner: state.State, waiting: job.Job) -> list[str]:
    """Return the workers on which a job failed, if it can run without them."""
    blamed = planner.faults.by_job.get(waiting.id, ())
    avoided = [
        name
        for name in sorted(blamed)
        if name in planner.fleet.machines and not planner.fleet.machines[name].barred
    ]
    if not avoided:
        return []
    for name in avoided:
        fleet.bar(planner.hardware, name, barred=True)
    possible = gang.find_cells(planner.hardware, waiting.shape) is not None
    for name in avoided:
        fleet.bar(planner.hardware, name, barred=False)
    return avoided if possible else []


def _find(planner: state.State, waiting: job.Job, now: float) -> Finding | None:
    own = guarantees.find_cells(planner.ledger, waiting.customer, waiting.shape)
    may_stop = own is not None or state.is_urgent(planner, waiting)
    may_stop = may_stop and not is_paused(planner, waiting, now)
    if state.over_quota(planner, waiting):
        return _make_quota(planner, waiting, own, now) if may_stop else None
    free = gang.find_cells(planner.fleet, waiting.shape)
    if own is not None:
        for cells in (free, own if _is_free(planner, waiting, own) else None):
            if cells is not None and _cover(planner, waiting, cells):
                return Finding(cells, False)
        found = _reclaim(planner, waiting, own, now) if may_stop else None
        if found is not None:
            return found
    if free is not None:
        return Finding(free, True)
    return _reclaim(planner, waiting, None, now) if may_stop and own is None else None


def _is_free(planner: state.State, waiting: job.Job, cells: tuple[job.Cell, ...]) -> bool:
    rooms = fleet.rooms_of(cells, waiting.shape.task)
    return all(fleet.has_free(planner.fleet, name, room) for name, room in rooms.items())


def _cover(planner: state.State, waiting: job.Job, cells: tuple[job.Cell, ...]) -> bool:
    return guarantees.cover(
        planner.ledger, waiting.id, waiting.customer, cells, waiting.shape.task
    )


def _reclaim(
    planner: state.State, waiting: job.Job, own: tuple[job.Cell, ...] | None, now: float
) -> Finding | None:
    """Return cells got by stopping borrowed work.

    ``own`` holds cells in the customer's slots. Without any, only an urgent job comes here, and
    it stops only work that is not urgent, so that no preemption causes another one.
    """

    def probe() -> reclaim.Cells | None:
        cells = gang.find_cells(planner.fleet, waiting.shape)
        if cells is None or own is None:
            return cells
        if not _cover(planner, waiting, cells):
            return None
        guarantees.uncover(planner.ledger, waiting.id, waiting.customer)
        return cells

    planner.searched_at[waiting.id] = now
    for spare_recent in (True, False):
        candidates = _candidates(planner, waiting, entitled=own is not None)
        spared = [c for c in candidates if not _is_recent(planner, c.id, now)]
        if spare_recent or len(spared) < len(candidates):
            plan = reclaim.choose(spared if spare_recent else candidates, probe)
        else:
            plan = None
        if plan is None and own is not None:
            plan = _clear(planner, waiting, own)
            if plan and spare_recent and any(_is_recent(planner, i, now) for i in plan.stop):
                plan = None
        if plan is not None and (own is None or _cover(planner, waiting, plan.cells)):
            jobs, claims = _split(plan.stop)
            return Finding(plan.cells, own is None, jobs, claims)
    return None


def _make_quota(
    planner: state.State, waiting: job.Job, own: tuple[job.Cell, ...] | None, now: float
) -> Finding | None:
    """Return cells for a job over its quota by stopping its customer's borrowed work.

    Borrowed work of the customer must not keep its urgent or guaranteed work waiting.
    """
    planner.searched_at[waiting.id] = now
    excess = state.excess(planner, waiting)
    freed = 0

    def counted(candidate: reclaim.Candidate) -> reclaim.Candidate:
        job_id = candidate.id.removeprefix(fleet.CLAIM)
        holder = planner.running.get(job_id) or planner.waiting[job_id]
        size = shape.accelerators(holder.shape)

        def release() -> None:
            nonlocal freed
            freed += size
            candidate.release()

        def restore() -> None:
            nonlocal freed
            freed -= size
            candidate.restore()

        return dataclasses.replace(candidate, release=release, restore=restore)

    def probe() -> reclaim.Cells | None:
        if freed < excess:
            return None
        return own if own is not None else gang.find_cells(planner.fleet, waiting.shape)

    for spare_recent in (True, False):
        candidates = [
            counted(candidate)
            for candidate in _candidates(planner, waiting, entitled=own is not None, own_only=True)
            if not (spare_recent and _is_recent(planner, candidate.id, now))
        ]
        plan = reclaim.choose(candidates, probe)
        if plan is None:
            continue
        if own is None:
            return Finding(plan.cells, True, *_split(plan.stop))
        others = _clear(planner, waiting, own)
        if others is not None and _cover(planner, waiting, own):
            jobs, claims = _split(dict.fromkeys(plan.stop + others.stop))
            return Finding(own, False, jobs, claims)
    return None


def _split(keys: Iterable[str]) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the jobs to stop and the jobs whose claims to drop."""
    jobs, claims = [], []
    for key in keys:
        if key.startswith(fleet.CLAIM):
            claims.append(key.removeprefix(fleet.CLAIM))
        else:
            jobs.append(key)
    return tuple(jobs), tuple(claims)


def _is_recent(planner: state.State, job_id: str, now: float) -> bool:
    at = planner.preempted_at.get(job_id)
    return at is not None and job_id not in planner.stopping and now - at < reclaim.RECENT_SECONDS


def _candidates(
    planner: state.State, waiting: job.Job, *, entitled: bool, own_only: bool = False
) -> list[reclaim.Candidate]:
    """Return the least losses among borrowed work and the room kept for it.

    With ``own_only``, only work of the same customer is returned. Jobs without accelerators are
    left out when some are wanted, since many of them would have to stop for cores alone. Room
    kept for a job costs nothing to give up, and jobs that stop already cost nothing more.
    """
    accelerated = waiting.shape.task.accelerators > 0
    owner = waiting.customer if own_only else ""
    losses: list[tuple[tuple[float, ...], str]] = []
    for job_id, claim in planner.claims.items():
        mine = not owner or planner.waiting[job_id].customer == owner
        if claim.borrowed and (entitled or claim.reserved) and mine:
            losses.append(((-2.0,), fleet.CLAIM + job_id))
    for job_id, holding in planner.fleet.holdings.items():
        if (owner and holding.customer != owner) or (
            accelerated and not holding.task.accelerators
        ):
            continue
        running = planner.running[job_id]
        if job_id in planner.stopping:
            losses.append(((-1.0,), job_id))
        elif holding.borrowed:
            urgent = state.is_urgent(planner, running) or job_id in planner.outside
            if entitled or not urgent:
                losses.append((reclaim.loss(running, urgent=urgent), job_id))
    return [
        _claim(planner, job_id, loss)
        if job_id.startswith(fleet.CLAIM)
        else _running(planner, job_id, loss)
        for loss, job_id in heapq.nsmallest(2 * reclaim.MOST_TRIED, losses)
    ]


def _running(planner: state.State, job_id: str, loss: tuple[float, ...]) -> reclaim.Candidate:
    holding = planner.fleet.holdings[job_id]
    return reclaim.Candidate(
        job_id,
        loss,
        functools.partial(fleet.release, planner.fleet, job_id),
        functools.partial(fleet.put_back, planner.fleet, holding),
    )


def _claim(planner: state.State, key: str, loss: tuple[float, ...]) -> reclaim.Candidate:
    job_id = key.removeprefix(fleet.CLAIM)
    cells, task = planner.claims[job_id].cells, planner.waiting[job_id].shape.task
    return reclaim.Candidate(
        key,
        loss,
        functools.partial(fleet.drop_claim, planner.fleet, job_id),
        functools.partial(fleet.claim, planner.fleet, job_id, cells, task),
    )


def _clear(
    planner: state.State, waiting: job.Job, own: tuple[job.Cell, ...]
) -> reclaim.Plan | None:
    """Return what must leave the customer's own cells, or ``None`` if something may not."""
    stop: dict[str, None] = {}
    for name, room in fleet.rooms_of(own, waiting.shape.task).items():
        machine = planner.fleet.machines.get(name)
        if machine is None or machine.barred:
            return None
        cores, memory = machine.free_cores, machine.free_memory_mb
        for apart, loss, key, held in _on_worker(planner, name, room):
            enough = cores >= room.cores and memory >= room.memory_mb
            if apart and (enough or loss == KEEP):
                continue
            if loss == KEEP:
                return None
            stop[key] = None
            cores += held.cores
            memory += held.memory_mb
    return reclaim.Plan(tuple(stop), own)


def _on_worker(
    planner: state.State, name: str, room: fleet.Room
) -> list[tuple[bool, tuple[float, ...], str, fleet.Room]]:
    """Return holders of a worker, those that share accelerators with ``room`` first.

    A claim counts with all that it wants, because it would take that before a later claim.
    """
    held = dict(planner.fleet.on_worker.get(name, {}))
    wanted = {}
    for job_id, wants in planner.fleet.wants.items():
        if name in wants:
            held.setdefault(fleet.CLAIM + job_id, fleet.Room())
            wanted[fleet.CLAIM + job_id] = wants[name].mask
    return sorted(
        (room.mask & wanted.get(key, one.mask) == 0, _loss(planner, key), key, one)
        for key, one in held.items()
    )


def _loss(planner: state.State, key: str) -> tuple[float, ...]:
    """Return the loss of a holder of room, or ``KEEP`` when it must not be stopped."""
    if key.startswith(fleet.CLAIM):
        claim = planner.claims[key.removeprefix(fleet.CLAIM)]
        return (-2.0,) if claim.borrowed else KEEP
    if key in planner.stopping:
        return (-1.0,)
    if not planner.fleet.holdings[key].borrowed:
        return KEEP
    running = planner.running[key]
    urgent = state.is_urgent(planner, running) or key in planner.outside
    return reclaim.loss(running, urgent=urgent)
