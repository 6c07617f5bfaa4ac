"""One scheduling cycle: lapses, ends, withdrawals, cancellations, then starts by urgency."""

from __future__ import annotations

import dataclasses

from peridothatch_core.model import agents, steps, tables
from peridothatch_core.place import ejection
from peridothatch_core.schedule import progress, starts, withdraw
from peridothatch_core.schedule import state as states


def run(state: states.State, now_ms: int, unix_ms: int) -> None:
    """Decide everything that is due; the decisions are left in ``state.changes``.

    Parameters
    ----------
    now_ms : int
        A store time that has certainly been reached.
    unix_ms : int
        Time of day since 1970-01-01 UTC.
    """
    _declare_lapsed_leases(state, now_ms)
    _close_lost(state, now_ms)
    progress.take_ends(state, now_ms)
    _close_broken(state, now_ms)
    withdraw.withdraw(state, now_ms)
    _cancel(state, now_ms)
    _eject(state, now_ms)
    for job in list(state.jobs.values()):
        if job.state in steps.FINAL_STATES:
            _retire(state, job, now_ms)
        else:
            progress.open_occurrences(state, job, unix_ms)
            progress.complete_if_done(state, job, now_ms)
    starts.start(state, now_ms)


def _declare_lapsed_leases(state: states.State, now_ms: int) -> None:
    """Declare lapsed the leases of agents that hold runs and have not renewed in time."""
    for node, agent in state.agents.items():
        if node in state.lapsing or not state.runs.get(node):
            continue
        if agent.hold_until_ms + states.LAPSE_MARGIN_MS < now_ms:
            state.lapsing[node] = dataclasses.replace(
                agent,
                lapses=agent.lapses + 1,
                worker=_absent(agent.worker),
            )


def _absent(worker: agents.Worker | None) -> agents.Worker | None:
    if worker is None:
        return None
    return dataclasses.replace(worker, state=agents.WorkerState.ABSENT)


def _close_lost(state: states.State, now_ms: int) -> None:
    """Close the runs that an agent's lapsed lease has ended."""
    for node, entries in list(state.runs.items()):
        agent = state.agents.get(node)
        for job, step_progress, run_ in list(entries):
            if agent is not None and agent.lapses <= run_.lapses:
                continue
            states.close_run(state, job, step_progress, run_)
            task = steps.task_name(
                job.id, step_progress.occurrence, step_progress.step, run_.index
            )
            pending = states.change(state, job.id)
            pending.spare.append(tables.order(node, task, run_.attempt))
            pending.spare.append(tables.stop(node, task, run_.attempt))
            known = agents.report(agent, task, run_.attempt) if agent else None
            saved = known.saved if known else ""
            reason = "the agent's lease has lapsed"
            progress.record_end(
                state, job, step_progress, run_, steps.EndKind.LAPSED, saved, reason, now_ms
            )


def _close_broken(state: states.State, now_ms: int) -> None:
    """Close the members of a broken gang whose agents are silent.

    A worker ends a member as broken when another member has ended, so once one is broken no
    member of that run works any more, and a member on a lost machine need not be waited for
    until its lease lapses. A start that was never confirmed may still be carried out late, so
    only members that an agent has reported count.
    """
    for node, entries in list(state.runs.items()):
        agent = state.agents.get(node)
        if agent is None or not _silent(state, agent, now_ms):
            continue
        for job, step_progress, run_ in list(entries):
            task = steps.task_name(
                job.id, step_progress.occurrence, step_progress.step, run_.index
            )
            known = agents.report(agent, task, run_.attempt)
            if step_progress.broken_attempt != run_.attempt or known is None:
                continue
            states.close_run(state, job, step_progress, run_)
            pending = states.change(state, job.id)
            pending.spare.append(tables.order(node, task, run_.attempt))
            pending.spare.append(tables.stop(node, task, run_.attempt))
            reason = "another member ended as broken and the agent is silent"
            progress.record_end(
                state, job, step_progress, run_, steps.EndKind.BROKEN, known.saved, reason, now_ms
            )


def _silent(state: states.State, agent: agents.Agent, now_ms: int) -> bool:
    rest_ms = agent.hold_until_ms - now_ms
    return rest_ms < state.limits.hold_ms - states.RENEWED_WITHIN_MS


def _cancel(state: states.State, now_ms: int) -> None:
    for job_id in list(state.cancelled):
        job = state.jobs.get(job_id)
        if job is not None:
            state.cancelled.discard(job_id)
            progress.cancel(state, job, now_ms)


def _eject(state: states.State, now_ms: int) -> None:
    now = now_ms / 1000.0
    ejection.readmit(state.health, now)
    ejection.eject(state.health, state.agents.keys(), now, states.EJECTION)


def _retire(state: states.State, job: steps.Job, now_ms: int) -> None:
    """Remove the rows of a job whose final state has been readable for long enough."""
    if now_ms - job.ended_ms < state.limits.retention_ms:
        return
    if any(step_progress.runs for step_progress in job.progress):
        return
    pending = states.change(state, job.id)
    pending.drop = True
    pending.writes.append((tables.spec(job.id), None))
    pending.writes.append((tables.cancel(job.id), None))
