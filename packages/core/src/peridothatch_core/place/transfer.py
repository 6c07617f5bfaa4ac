"""Which waiting jobs should go to another data centre."""

from __future__ import annotations

from peridothatch_core.model import job, shape
from peridothatch_core.place import block, decision, gang
from peridothatch_core.place import state as planner_state

TRANSFER_AFTER_SECONDS = 30.0
"""Wait here before a job that is not urgent goes to a data centre that has room now."""

RETRY_SECONDS = 30.0
"""Time until a job that stayed here is returned as ``Transfer`` again."""

NEVER_FITS_AFTER_SECONDS = 15.0
"""Wait before a shape larger than the known hardware goes elsewhere: a new planner learns its
workers within 10 s."""


def choose_transfers(state: planner_state.State, now: float) -> list[decision.Decision]:
    """Return the waiting jobs that should leave, each with the data centre to go to."""
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
    """Return why a job should leave, and whether it must; an empty reason means that it stays."""
    waited = now - state.waiting_since[waiting.id]
    if not state.in_service:
        return "the data centre is out of service", True
    if waited >= NEVER_FITS_AFTER_SECONDS and never_fits(state, waiting.shape):
        return "the workers of the data centre can never hold this gang", True
    patience = 0.0 if planner_state.is_urgent(state, waiting) else TRANSFER_AFTER_SECONDS
    if waited >= patience and not planner_state.over_quota(state, waiting):
        return "there is no room now", False
    return "", False


def never_fits(state: planner_state.State, wanted: shape.GangShape) -> bool:
    """Return whether the workers could not hold a gang even with nothing on them."""
    if wanted not in state.never_fits:
        state.never_fits[wanted] = gang.find_cells(state.hardware, wanted) is None
    return state.never_fits[wanted]


def _choose_target(state: planner_state.State, wanted: shape.GangShape, *, required: bool) -> str:
    """Return the data centre with the most free accelerators for a gang.

    One without room is returned only when the job must leave.
    """
    total = shape.total_accelerators(wanted)
    order = block.order_of(wanted.task.accelerators) if wanted.task.accelerators else 0
    best: tuple[bool, int, str] | None = None
    for name, other in state.others.items():
        if not other.in_service or name == state.data_centre:
            continue
        left = other.free_accelerators - state.pledged.get(name, 0)
        blocks = sum(
            count << (size - order)
            for size, count in enumerate(other.free_blocks)
            if size >= order
        )
        room = total > 0 and blocks >= wanted.tasks and left >= total
        if (room or required) and (best is None or (room, left, name) > best):
            best = (room, left, name)
    if best is None:
        return ""
    state.pledged[best[2]] = state.pledged.get(best[2], 0) + total
    return best[2]
