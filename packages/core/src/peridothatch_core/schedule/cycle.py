"""The scheduling cycle: lapsed leases, ends, withdrawals, cancellations, then new runs."""

from __future__ import annotations

import dataclasses

from peridothatch_core.model import agents, steps, tables
from peridothatch_core.place import ejection
from peridothatch_core.schedule import (
    departures,
    expected,
    progress,
    rejection,
    starts,
    unreported,
    withdraw,
)
from peridothatch_core.schedule import state as states


def run(state: states.State, now_ms: int, unix_ms: int) -> None:
    """Run one scheduling cycle.

    Its decisions are added to ``state.changes``, ``state.lapsing``, ``state.ticket_requests`` and
    ``state.events``.

    Parameters
    ----------
    now_ms : int
        Lower bound of the current store time.
    unix_ms : int
        Current Unix time in milliseconds.
    """
    expected.refresh(state, now_ms)
    rejection.resume_jobs(state, now_ms)
    _declare_lapsed_leases(state, now_ms)
    _close_lapsed_runs(state, now_ms)
    _discard_lapsed_runs(state)
    progress.process_ends(state, now_ms)
    _close_broken_gang_members(state, now_ms)
    withdraw.withdraw_unclaimed(state, now_ms)
    _cancel(state, now_ms)
    _eject(state, now_ms)
    for job in list(state.jobs.values()):
        if rejection.is_suspended(state, job.id):
            continue
        if job.state in steps.FINAL_STATES:
            _delete_expired(state, job, now_ms)
        else:
            progress.open_occurrences(state, job, unix_ms)
            progress.complete_if_done(state, job, now_ms)
    departures.stop_doomed_runs(state, departures.observe(state), now_ms)
    starts.order_runs(state, now_ms)


def _declare_lapsed_leases(state: states.State, now_ms: int) -> None:
    """Mark the leases of agents as lapsed that hold runs and were not renewed in time."""
    for node, agent in state.agents.items():
        holds_runs = state.runs.get(node) or node in state.unreported
        if node in state.lapsing or not holds_runs:
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


def _close_lapsed_runs(state: states.State, now_ms: int) -> None:
    """Close runs ordered before their agent's lease lapsed, and runs of unknown agents."""
    for node, entries in list(state.runs.items()):
        agent = state.agents.get(node)
        for job, step_progress, run_ in list(entries):
            if agent is not None and agent.lapses <= run_.lapses:
                continue
            if rejection.is_suspended(state, job.id):
                continue
            states.close_run(state, job, step_progress, run_)
            task = steps.task_name(
                job.id, step_progress.occurrence, step_progress.step, run_.index
            )
            pending = states.pending_change(state, job.id)
            pending.deferred_deletes.append(tables.order_key(node, task, run_.attempt))
            pending.deferred_deletes.append(tables.stop_key(node, task, run_.attempt))
            report = agents.find_run_report(agent, task, run_.attempt) if agent else None
            saved = report.saved if report else ""
            reason = "the agent's lease has lapsed"
            progress.apply_end(
                state, job, step_progress, run_, steps.EndKind.LAPSED, saved, reason, now_ms
            )


def _discard_lapsed_runs(state: states.State) -> None:
    """Forget unreported runs whose agent's lease has lapsed: their ends count no longer."""
    for node, entries in list(state.unreported.items()):
        agent = state.agents.get(node)
        for job, step_progress, run_ in list(entries):
            has_lapsed = agent is None or agent.lapses > run_.lapses
            if has_lapsed and not rejection.is_suspended(state, job.id):
                unreported.discard(state, job, step_progress, run_)


def _close_broken_gang_members(state: states.State, now_ms: int) -> None:
    """Close the members of a broken gang whose ends have not been reported yet."""
    for job, step_progress, run_, report in departures.broken_members(state, now_ms):
        unreported.set_aside(state, job, step_progress, run_)
        if step_progress.failed_attempt >= run_.attempt:
            unreported.discard(state, job, step_progress, run_)
        reason = "another member ended as broken, and this one has not reported its end"
        progress.apply_end(
            state, job, step_progress, run_, steps.EndKind.BROKEN, report.saved, reason, now_ms
        )


def _cancel(state: states.State, now_ms: int) -> None:
    for job_id in list(state.cancelled):
        job = state.jobs.get(job_id)
        if job is not None and not rejection.is_suspended(state, job_id):
            state.cancelled.discard(job_id)
            progress.cancel(state, job, now_ms)


def _eject(state: states.State, now_ms: int) -> None:
    now = now_ms / 1000.0
    ejection.readmit(state.health, now)
    ejection.eject(state.health, state.agents.keys(), now, states.EJECTION_POLICY)


def _delete_expired(state: states.State, job: steps.Job, now_ms: int) -> None:
    """Delete the rows of a job whose final state has been retained long enough."""
    if now_ms - job.ended_ms < state.limits.retention_ms:
        return
    if any(step_progress.runs for step_progress in job.progress):
        return
    pending = states.pending_change(state, job.id)
    pending.delete_job = True
    pending.writes.append((tables.spec_key(job.id), None))
    pending.writes.append((tables.cancel_key(job.id), None))
