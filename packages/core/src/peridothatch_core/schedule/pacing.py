"""Limits the orders that wait for a claim, so that claims do not queue in the store.

Answers a wide job, or many, on a large fleet. Each agent that gets an order claims it in a
transaction of its own, and a partition of the store applies them one after another. Orders for
more agents than the store serves within the claim timeout would be withdrawn although their
agents are well, gangs would break, and leases would be renewed late.
"""

from __future__ import annotations

import typing

from peridothatch_core.model import steps
from peridothatch_core.schedule import preemption
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

CLAIM_WRITES_SHARE = 0.5
"""Share of the partition's transactions that claims may take; the rest is for renewals, ends and
the scheduler itself."""

SLOW_WRITE_MS = 150.0
"""Duration of the scheduler's writes from which the store counts as busy. The limit then falls in
proportion."""

MIN_NODES = 4
"""Least number of agents that may have unclaimed orders, so that jobs go on while the store is
slow for another reason."""


def nodes_without_claim(state: states.State) -> set[str]:
    """Return the nodes that have an order which their agent has not claimed yet."""
    return {
        node
        for node, entries in state.runs.items()
        for job, step_progress, run in entries
        if (
            steps.task_name(job.id, step_progress.occurrence, step_progress.step, run.index),
            run.attempt,
        )
        not in state.claimed_runs
    }


def may_order(state: states.State, job: steps.Job, nodes: Iterable[str]) -> bool:
    """Return whether orders for these nodes can be claimed in time.

    Urgent jobs are never held back. A gang that needs more nodes than the limit is ordered when
    no other order waits. Once a job has been held back, the less urgent ones of the same cycle
    are too, so that a wide gang is not starved by small tasks.
    """
    waiting = state.nodes_without_claim
    if job.priority == preemption.URGENT_PRIORITY or not waiting:
        return True
    allowed = not state.is_paced and len(waiting.union(nodes)) <= max_nodes(state)
    state.is_paced = not allowed
    return allowed


def max_nodes(state: states.State) -> int:
    """Return how many agents may have unclaimed orders at a time."""
    rate_per_ms = CLAIM_WRITES_SHARE * state.limits.partition_writes_per_second / 1000.0
    allowed = rate_per_ms * states.CLAIM_TIMEOUT_MS / 2
    if state.write_latency_ms > SLOW_WRITE_MS:
        allowed *= SLOW_WRITE_MS / state.write_latency_ms
    return max(MIN_NODES, int(allowed))
