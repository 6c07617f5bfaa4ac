"""Chooses waiting jobs to transfer to another data centre."""

from __future__ import annotations

from peridothatch_core.model import job, shape
from peridothatch_core.place import block, decision, gang
from peridothatch_core.place import state as planner_state

TRANSFER_AFTER_SECONDS = 30.0
"""Wait before a job that is not urgent is transferred to a data centre that has room now."""

RETRY_SECONDS = 30.0
"""Time until ``Transfer`` is returned again for a job that is still here."""

NEVER_FITS_AFTER_SECONDS = 15.0
"""Wait before a gang that exceeds the known hardware is transferred. It is more than the 10 s
within which a new planner learns its workers."""


def choose_transfers(state: planner_state.State, now: float) -> list[decision.Decision]:
    """Return the waiting jobs to transfer, each with its target data centre."""
    decisions: list[decision.Decision] = []
    if state.pledged_against is not state.others:
        state.pledged_against = state.others
        state.pledged.clear()
    for job_id, waiting in state.waiting.items():
        paused = now - state.transferred_at.get(job_id, float("-inf")) < RETRY_SECONDS
        if paused or job_id in state.claims:
            continue
        reason, required = _reason(state, waiting, now)
        if not reason:
            continue
        target = _choose_target(state, waiting.shape, required=required)
        if target or required:
            state.transferred_at[job_id] = now
            decisions.append(decision.Transfer(job_id, reason, target))
    return decisions


def _reason(state: planner_state.State, waiting: job.Job, now: float) -> tuple[str, bool]:
    """Return why a job should be transferred, empty if it stays, and whether it must leave."""
    waited = now - state.waiting_since[waiting.id]
    if not state.in_service:
        return "the data centre is out of service", True
    if waited >= NEVER_FITS_AFTER_SECONDS and never_fits(state, waiting.shape):
        return "the workers of the data centre can never hold this gang", True
    delay = 0.0 if planner_state.is_urgent(state, waiting) else TRANSFER_AFTER_SECONDS
    if waited >= delay and not planner_state.over_quota(state, waiting):
        return "there is no room now", False
    return "", False


def never_fits(state: planner_state.State, wanted: shape.GangShape) -> bool:
    """Return whether the workers could not hold a gang even if they were all free."""
    if wanted not in state.never_fits:
        state.never_fits[wanted] = gang.find_cells(state.hardware, wanted) is None
    return state.never_fits[wanted]


def _choose_target(state: planner_state.State, wanted: shape.GangShape, *, required: bool) -> str:
    """Return the data centre with the most free accelerators that has room for a gang.

    If the transfer is required, a data centre without room will do. The result is empty when
    none is suitable.
    """
    total = shape.total_accelerators(wanted)
    order = block.order_of(wanted.task.accelerators) if wanted.task.accelerators else 0
    best: tuple[bool, int, str] | None = None
    for name, other in state.others.items():
        if not other.in_service or name == state.data_centre:
            continue
        available = other.free_accelerators - state.pledged.get(name, 0)
        blocks = sum(
            count << (size - order)
            for size, count in enumerate(other.free_blocks)
            if size >= order
        )
        has_room = total > 0 and blocks >= wanted.tasks and available >= total
        if (has_room or required) and (best is None or (has_room, available, name) > best):
            best = (has_room, available, name)
    if best is None:
        return ""
    state.pledged[best[2]] = state.pledged.get(best[2], 0) + total
    return best[2]
