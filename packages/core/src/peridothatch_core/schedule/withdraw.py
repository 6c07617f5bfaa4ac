"""Orders that are taken back because the agent has not claimed them."""

from __future__ import annotations

import collections
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import steps, tables
from peridothatch_core.schedule import progress
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

WITHDRAWN_PER_CYCLE = 10
"""Orders of one job that are withdrawn in one cycle. Each takes up to four entries of its
transaction, which may have to hold new orders of the job as well."""


def withdraw(state: states.State, now_ms: int) -> None:
    """Close runs whose orders nobody has claimed in time.

    The transaction needs the agent's row as it was seen, so that it fails if the agent claims the
    order first, and the absence of the run's end, so that it fails if the run is over. Right after
    a read of all rows neither may be known yet.
    """
    if not states.settled(state, now_ms):
        return
    withdrawn: collections.Counter[str] = collections.Counter()
    for job, step_progress, run_ in list(_unclaimed(state, now_ms)):
        if withdrawn[job.id] >= WITHDRAWN_PER_CYCLE:
            continue
        withdrawn[job.id] += 1
        pending = states.change(state, job.id)
        states.close_run(state, job, step_progress, run_)
        task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, run_.index)
        agent_version = state.agent_versions.get(run_.node, 0)
        seen = rows.Condition(tables.agent(run_.node), agent_version)
        if seen not in pending.conditions:
            pending.conditions.append(seen)
        pending.conditions.append(rows.Condition(tables.end(task, run_.attempt), 0))
        pending.writes.append((tables.order(run_.node, task, run_.attempt), None))
        if run_.stopping:
            pending.writes.append((tables.stop(run_.node, task, run_.attempt), None))
        state.unconfirmed.add(run_.node)
        progress.record_end(
            state,
            job,
            step_progress,
            run_,
            steps.EndKind.WITHDRAWN,
            "",
            "the agent has not claimed the order",
            now_ms,
        )


def _unclaimed(
    state: states.State, now_ms: int
) -> Iterator[tuple[steps.Job, steps.StepProgress, steps.Run]]:
    patience_ms = states.CLAIM_MS + states.CLAIM_WRITES * state.write_latency_ms
    for node, entries in state.runs.items():
        if node not in state.agents or node in state.lapsing:
            continue
        for job, step_progress, run_ in entries:
            if now_ms - run_.ordered_ms < patience_ms:
                continue
            task = steps.task_name(
                job.id, step_progress.occurrence, step_progress.step, run_.index
            )
            if (task, run_.attempt) not in state.claimed_runs:
                yield job, step_progress, run_
