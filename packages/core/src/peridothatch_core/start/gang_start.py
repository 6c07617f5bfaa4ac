"""Planner-side state machine that starts the gangs of one data centre all-or-nothing."""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import link, store
from peridothatch_core.model import job
from peridothatch_core.start import (
    gang_event,
    gang_launch,
    gang_report,
    gang_save,
    gang_state,
    gang_stop,
)

# Generous upper bound on the time in which agents connect to a new planner and announce their
# members.
ADOPT_TIMEOUT_SECONDS = 30.0

_Phase = gang_state.Phase
_Effects = list[gang_event.Effect]


def create(
    data_centre: str, epoch: int, acquired_at: float, wall_offset: float
) -> gang_state.State:
    """Return the initial state of a planner that acquired the lease with ``epoch``."""
    return gang_state.State(
        data_centre, epoch, acquired_at, contact_at=acquired_at, wall_offset=wall_offset
    )


def step(state: gang_state.State, event: gang_event.Event, now: float) -> _Effects:
    """Apply an event and return the effects to carry out."""
    match event:
        case gang_event.FromAgent():
            return _from_agent(state, event, now)
        case gang_event.AgentClosed():
            return gang_report.record_disconnect(state, event.agent_id)
        case gang_event.JobRead():
            return _job_read(state, event, now)
        case gang_event.SaveResult():
            return _saved(state, event, now)
        case gang_event.Place():
            return gang_launch.place(state, event, now)
        case gang_event.Preempt():
            return _stop_run(state, event.job_id, gang_state.Reason.PREEMPTED, event.detail, now)
        case gang_event.Evacuate():
            return _evacuate(state, event, now)
        case gang_event.Transfer():
            return _transfer(state, event)
        case gang_event.RetryDecided():
            return _retry_decided(state, event, now)
        case gang_event.ServiceStatusUpdated():
            state.service_status, state.confirmed_lost = event.service_status, event.confirmed_lost
        case gang_event.LeaseStatus():
            state.may_decide, state.contact_at = event.may_decide, event.contact_at
        case gang_event.JobsLoaded():
            return _loaded(state, now)
        case gang_event.Tick():
            return _tick(state, now)
    return []


def _from_agent(state: gang_state.State, event: gang_event.FromAgent, now: float) -> _Effects:
    message = event.message
    match message:
        case link.Heartbeat():
            return gang_report.answer_heartbeat(state, event.agent_id, message, now)
        case link.AnnounceWorker():
            return gang_report.record_announcement(state, event, now)
        case link.MemberState():
            return gang_report.record_member(state, event.agent_id, message, now)
        case link.Reserved():
            effects = gang_launch.record_reservation(state, event.agent_id, message, now)
            return effects + _reconcile_if_idle(state, message.job, now)
        case link.Refused():
            effects = gang_launch.record_refusal(state, event.agent_id, message, now)
            return effects + _reconcile_if_idle(state, message.job, now)
    return []


def _reconcile_if_idle(state: gang_state.State, job_id: str, now: float) -> _Effects:
    entry = state.jobs.get(job_id)
    if entry is None or entry.saving is not None or job_id in state.gangs:
        return []
    return _reconcile(state, entry, now)


def _job_read(state: gang_state.State, event: gang_event.JobRead, now: float) -> _Effects:
    entry = state.jobs.get(event.job_id)
    if event.job is None:
        return _forget(state, event.job_id) if entry else []
    if entry is None:
        if event.job.data_centre != state.data_centre or event.job.state in job.FINAL_STATES:
            return []
        entry = gang_state.Entry(event.job, event.version, event.job.run)
        state.jobs[event.job_id] = entry
        return _reconcile(state, entry, now)
    if not gang_save.apply_row(state, entry, event.job, event.version):
        return []
    return _reconcile(state, entry, now)


def _saved(state: gang_state.State, event: gang_event.SaveResult, now: float) -> _Effects:
    entry = state.jobs.get(event.job_id)
    if entry is None:
        return []
    effects = gang_save.apply_result(state, entry, event, now)
    if event.outcome is store.Outcome.NOT_SENT and _is_uncommitted(state, entry):
        gang_save.clear_pending(state, entry)
        effects += gang_launch.abandon(state, state.gangs[event.job_id])
    if entry.saving is None:
        effects += _reconcile(state, entry, now)
    return effects


def _is_uncommitted(state: gang_state.State, entry: gang_state.Entry) -> bool:
    """Return whether the run was certainly not committed: no write can have reached the store."""
    gang = state.gangs.get(entry.job.id)
    committing = gang is not None and gang.phase is _Phase.COMMITTING
    return committing and entry.saving is not None and not entry.saving.in_doubt


def _reconcile(state: gang_state.State, entry: gang_state.Entry, now: float) -> _Effects:
    """Reconcile the run of a job with its row, which must be known and have no pending write."""
    row = entry.job
    gang = state.gangs.get(row.id)
    if row.data_centre != state.data_centre or row.state in job.FINAL_STATES:
        return _forget(state, row.id)
    if gang is None:
        return _reconcile_idle(state, entry, now)
    is_own_run = row.state is job.State.RUNNING and row.run == gang.run
    match gang.phase:
        case _Phase.RESERVING if row.state is job.State.WAITING and not row.cancel_requested:
            return []
        case _Phase.RESERVING:
            return gang_launch.abandon(state, gang) + _reconcile(state, entry, now)
        case _Phase.COMMITTING if is_own_run and row.epoch == state.epoch:
            gang.phase, gang.phase_started_at = _Phase.STARTING, now
            state.counters.runs_started += 1
            entry.refusals = 0
            effects: _Effects = [gang_event.JobPlaced(row)]
            if row.cancel_requested:
                return effects + gang_stop.begin(state, gang, gang_state.Reason.CANCELLED, now)
            return effects + gang_launch.send_starts(state, gang, now)
        case _Phase.COMMITTING:
            return gang_launch.abandon(state, gang) + _reconcile(state, entry, now)
        case _Phase.RECORDING if is_own_run:
            return gang_stop.record_end(state, gang, now)
        case _Phase.RECORDING:
            gang_stop.remove(state, row.id)
            return gang_stop.send_release(state, gang) + _reconcile(state, entry, now)
    if not is_own_run:
        return gang_stop.begin(state, gang, gang_state.Reason.SUPERSEDED, now)
    if row.cancel_requested:
        return gang_stop.begin(state, gang, gang_state.Reason.CANCELLED, now)
    return []


def _reconcile_idle(state: gang_state.State, entry: gang_state.Entry, now: float) -> _Effects:
    row = entry.job
    if row.state is job.State.WAITING:
        if not row.cancel_requested:
            return [] if row.id in state.cooling else [gang_event.JobWaiting(row)]
        if not state.may_decide:
            return []
        ended = dataclasses.replace(
            row,
            state=job.State.CANCELLED,
            epoch=state.epoch,
            ended_at=now + state.wall_offset,
            detail="cancelled before it started",
        )
        return gang_save.save(state, entry, ended)
    return [gang_event.JobPlaced(row), *_adopt(state, entry, now)]


def _adopt(state: gang_state.State, entry: gang_state.Entry, now: float) -> _Effects:
    """Adopt a run that a previous planner committed."""
    row = entry.job
    participants = {cell.worker: gang_state.Participant((), start_sent=True) for cell in row.cells}
    for cell in row.cells:
        participants[cell.worker].cells += (cell,)
    gang = gang_state.Gang(
        row.id, row.run, _Phase.ADOPTING, participants, row.borrowed, now, adopted=True
    )
    gang_stop.add(state, gang)
    if row.cancel_requested:
        return gang_stop.begin(state, gang, gang_state.Reason.CANCELLED, now)
    return gang_report.adopt_members(state, gang, now)


def _forget(state: gang_state.State, job_id: str) -> _Effects:
    """Remove a job that has ended or moved, and stop any members that are still running."""
    entry = state.jobs.pop(job_id)
    gang_save.clear_pending(state, entry)
    state.cooling.discard(job_id)
    gang = gang_stop.remove(state, job_id)
    succeeded = entry.job.state is job.State.SUCCEEDED
    effects: _Effects = [gang_event.JobEnded(job_id, succeeded, entry.job.data_centre)]
    if gang is None:
        return effects
    if gang.phase in (_Phase.RECORDING, _Phase.RESERVING, _Phase.COMMITTING):
        return effects + gang_stop.send_release(state, gang)
    # Another process ended the job while it was running; ``Stop`` makes the agents fence the run.
    state.counters.stale_members_stopped += len(gang.participants)
    stop = link.Stop(job_id, gang.run, state.epoch, False)
    for worker in gang.participants:
        effects += gang_stop.send(state, worker, stop)
    return effects


def _stop_run(
    state: gang_state.State, job_id: str, reason: gang_state.Reason, detail: str, now: float
) -> _Effects:
    gang = state.gangs.get(job_id)
    if gang is None or gang.phase is _Phase.RECORDING or not state.may_decide:
        return []
    if gang.phase in (_Phase.RESERVING, _Phase.COMMITTING):
        # Too early to stop; placement repeats the request once the run occupies its cells.
        return []
    return gang_stop.begin(state, gang, reason, now, detail)


def _evacuate(state: gang_state.State, event: gang_event.Evacuate, now: float) -> _Effects:
    gang = state.gangs.get(event.job_id)
    if gang is None:
        return []
    gang.target_data_centre = event.data_centre
    reason = gang_state.Reason.MOVED
    return _stop_run(state, event.job_id, reason, event.data_centre, now)


def _transfer(state: gang_state.State, event: gang_event.Transfer) -> _Effects:
    entry = state.jobs.get(event.job_id)
    free = entry is not None and entry.saving is None and event.job_id not in state.gangs
    if not free or not state.may_decide or not event.data_centre:
        return []
    if entry.job.state is not job.State.WAITING:
        return []
    moved = dataclasses.replace(
        entry.job, data_centre=event.data_centre, epoch=state.epoch, detail=event.reason
    )
    return gang_save.save(state, entry, moved)


def _retry_decided(
    state: gang_state.State, event: gang_event.RetryDecided, now: float
) -> _Effects:
    gang = state.gangs.get(event.job_id)
    if gang is None or not gang.awaiting_retry_decision:
        return []
    gang.awaiting_retry_decision, gang.run_again = False, event.run_again
    return gang_stop.advance(state, gang, now)


def _loaded(state: gang_state.State, now: float) -> _Effects:
    """Stop members that belong to no known run, now that all rows have been read."""
    state.loaded = True
    effects: _Effects = []
    for agent in tuple(state.agents.values()):
        effects += gang_report.check_members(state, agent, now)
    return effects


def _tick(state: gang_state.State, now: float) -> _Effects:
    effects = gang_save.retry(state, now) + gang_report.check_silence(state, now)
    for job_id in sorted(state.cooling):
        entry = state.jobs[job_id]
        if now >= entry.cooling_until:
            state.cooling.discard(job_id)
            effects += _reconcile_if_idle(state, job_id, now)
    for gang in [item for item in state.gangs.values() if item.phase is not _Phase.RUNNING]:
        if state.gangs.get(gang.job_id) is gang:
            effects += _tick_gang(state, gang, now)
    return effects


def _tick_gang(state: gang_state.State, gang: gang_state.Gang, now: float) -> _Effects:
    entry = state.jobs.get(gang.job_id)
    match gang.phase:
        case _Phase.RESERVING if now - gang.phase_started_at > gang_launch.RESERVE_TIMEOUT_SECONDS:
            return gang_launch.back_off(state, gang, now)
        case _Phase.COMMITTING:
            return gang_launch.request_reservations(state, gang, now)
        case _Phase.STARTING if now - gang.phase_started_at > gang_launch.START_TIMEOUT_SECONDS:
            state.counters.start_timeouts += 1
            return gang_stop.begin(state, gang, gang_state.Reason.NOT_STARTED, now)
        case _Phase.ADOPTING if now - gang.phase_started_at > ADOPT_TIMEOUT_SECONDS:
            return gang_stop.begin(
                state, gang, gang_state.Reason.MEMBER_LOST, now, "not all members were found"
            )
        case _Phase.STARTING:
            return gang_launch.send_starts(state, gang, now)
        case _Phase.STOPPING:
            return gang_stop.advance(state, gang, now)
        case _Phase.RECORDING if entry is None or entry.saving is None:
            return gang_stop.record_end(state, gang, now)
    return []
