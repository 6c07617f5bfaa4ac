"""Withdrawal of orders that their agents have not claimed."""

from __future__ import annotations

import collections
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import steps, tables
from peridothatch_core.schedule import progress, rejection
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

MAX_WITHDRAWN_PER_CYCLE = 10
"""Maximum number of orders of one job that are withdrawn in one cycle.

Each withdrawal takes up to four entries of the job's transaction, which may also contain new
orders of the job.
"""


def withdraw_unclaimed(state: states.State, now_ms: int) -> None:
    """Close runs whose orders were not claimed within the timeout.

    The transaction is conditional on the known version of the agent's row, so it fails if the
    agent claims the order first, and on the absence of the run's end, so it fails if the run has
    ended. Immediately after a read of all rows neither may be known, so nothing is withdrawn.
    """
    if not states.feeds_caught_up(state, now_ms):
        return
    withdrawn: collections.Counter[str] = collections.Counter()
    for job, step_progress, run_ in list(_unclaimed(state, now_ms)):
        if withdrawn[job.id] >= MAX_WITHDRAWN_PER_CYCLE:
            continue
        withdrawn[job.id] += 1
        pending = states.pending_change(state, job.id)
        states.close_run(state, job, step_progress, run_)
        task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, run_.index)
        agent_version = state.agent_versions.get(run_.node, 0)
        condition = rows.Condition(tables.agent_key(run_.node), agent_version)
        if condition not in pending.conditions:
            pending.conditions.append(condition)
        pending.conditions.append(rows.Condition(tables.end_key(task, run_.attempt), 0))
        pending.writes.append((tables.order_key(run_.node, task, run_.attempt), None))
        if run_.stopping:
            pending.writes.append((tables.stop_key(run_.node, task, run_.attempt), None))
        state.unconfirmed.add(run_.node)
        progress.apply_end(
            state,
            job,
            step_progress,
            run_,
            steps.EndKind.WITHDRAWN,
            "",
            "the agent did not claim the order in time",
            now_ms,
        )


def _unclaimed(
    state: states.State, now_ms: int
) -> Iterator[tuple[steps.Job, steps.StepProgress, steps.Run]]:
    timeout_ms = states.CLAIM_TIMEOUT_MS + states.CLAIM_TIMEOUT_WRITES * state.write_latency_ms
    # A claim may be in the store and not have been read yet, so the time counts up to which the
    # agents' rows have been read.
    seen_ms = now_ms if state.agents_seen_ms is None else min(now_ms, state.agents_seen_ms)
    for node, entries in state.runs.items():
        if node not in state.agents or node in state.lapsing:
            continue
        for job, step_progress, run_ in entries:
            if seen_ms - run_.ordered_ms < timeout_ms or rejection.is_suspended(state, job.id):
                continue
            task = steps.task_name(
                job.id, step_progress.occurrence, step_progress.step, run_.index
            )
            if (task, run_.attempt) not in state.claimed_runs:
                yield job, step_progress, run_
