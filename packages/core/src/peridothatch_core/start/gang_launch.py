"""Launches a placed gang in two phases: reserve and commit, then start its members."""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import link
from peridothatch_core.model import job
from peridothatch_core.start import gang_event, gang_save, gang_state, gang_stop, service_proof

RESERVATION_SECONDS = 10.0
RESERVE_TIMEOUT_SECONDS = 5.0
START_TIMEOUT_SECONDS = 5.0
# Interval between renewals of a reservation, and the maximum age of the agent clock reading that
# a start carries: the age of the service proof is counted from that reading.
RESERVATION_REFRESH_SECONDS = 1.0
# Each start costs one write, and the store sustains several hundred writes a second for all
# data centres together.
STARTS_PER_SECOND = 30.0
START_BURST = 60.0
RETRY_BASE_SECONDS = 0.25
RETRY_MAX_SECONDS = 8.0
STALE_PROOF = "service proof expired"

_Phase = gang_state.Phase
_Effects = list[gang_event.Effect]


def place(state: gang_state.State, event: gang_event.Place, now: float) -> _Effects:
    """Start a run on the given cells, or tell placement that the job is still waiting."""
    entry = state.jobs.get(event.job_id)
    if entry is None:
        return []
    usable = (
        state.may_decide
        and state.loaded
        and not state.superseded
        and entry.saving is None
        and event.job_id not in state.gangs
        and entry.job.state is job.State.WAITING
        and service_proof.age(state.service_status, now) >= 0
        and _refill_start_tokens(state, now) >= 1.0
    )
    participants = {cell.worker: gang_state.Participant(()) for cell in event.cells}
    agents = {worker: _connected_agent(state, worker) for worker in participants}
    if not usable or not all(agents.values()):
        waits = entry.saving is None and event.job_id not in state.gangs
        return [gang_event.JobWaiting(entry.job)] if waits else []
    for worker, participant in participants.items():
        participant.cells = tuple(cell for cell in event.cells if cell.worker == worker)
        participant.incarnation = agents[worker].worker.incarnation
    state.start_tokens -= 1.0
    # Each attempt gets its own run number, so that a late answer to an earlier attempt, possibly
    # for other cells, is not attributed to this one.
    entry.last_run = max(entry.last_run, entry.job.run) + 1
    gang = gang_state.Gang(
        event.job_id, entry.last_run, _Phase.RESERVING, participants, event.borrowed, now
    )
    gang_stop.add(state, gang)
    return request_reservations(state, gang, now)


def _refill_start_tokens(state: gang_state.State, now: float) -> float:
    """Refill the token bucket and return its level.

    The bucket limits the rate of starts after an outage of the data centre or the store.
    """
    earned = (now - state.tokens_at) * STARTS_PER_SECOND
    state.start_tokens = min(START_BURST, state.start_tokens + earned)
    state.tokens_at = now
    return state.start_tokens


def _connected_agent(state: gang_state.State, worker: str) -> gang_state.Agent | None:
    agent = state.agents.get(state.agent_of_worker.get(worker, ""))
    return agent if agent and agent.connected else None


def request_reservations(state: gang_state.State, gang: gang_state.Gang, now: float) -> _Effects:
    """Request or renew reservations where the last request is older than the refresh interval."""
    task = state.jobs[gang.job_id].job.shape.task
    effects: _Effects = []
    for worker, participant in gang.participants.items():
        if participant.start_sent or now - participant.requested_at < RESERVATION_REFRESH_SECONDS:
            continue
        participant.requested_at = now
        message = link.Reserve(
            gang.job_id, gang.run, state.epoch, participant.cells, task, RESERVATION_SECONDS
        )
        effects += gang_stop.send(state, worker, message)
    return effects


def record_reservation(
    state: gang_state.State, agent_id: str, message: link.Reserved, now: float
) -> _Effects:
    """Record a reservation and commit the run once all participants have reserved."""
    gang = state.gangs.get(message.job)
    agent = state.agents.get(agent_id)
    if gang is None or agent is None or gang.run != message.run:
        return []
    participant = gang.participants.get(agent.worker.id)
    if participant is None:
        return []
    participant.reserved_at, participant.reserved_t0 = now, message.t0
    if gang.phase is _Phase.STARTING:
        return send_starts(state, gang, now)
    if gang.phase is not _Phase.RESERVING:
        return []
    if any(item.reserved_at == float("-inf") for item in gang.participants.values()):
        return []
    if not state.may_decide:
        return abandon(state, gang)
    entry = state.jobs[gang.job_id]
    gang.phase, gang.phase_started_at = _Phase.COMMITTING, now
    cells = tuple(
        sorted(
            (cell for item in gang.participants.values() for cell in item.cells),
            key=lambda cell: cell.task,
        )
    )
    running = dataclasses.replace(
        entry.job,
        state=job.State.RUNNING,
        run=gang.run,
        epoch=state.epoch,
        cells=cells,
        borrowed=gang.borrowed,
        started_at=now + state.wall_offset,
        detail="",
    )
    return gang_save.save(state, entry, running)


def record_refusal(
    state: gang_state.State, agent_id: str, message: link.Refused, now: float
) -> _Effects:
    """Abort the run, or repeat the start if it was refused only for an expired service proof."""
    if message.highest_epoch > state.epoch:
        state.superseded = True
    gang = state.gangs.get(message.job)
    agent = state.agents.get(agent_id)
    if gang is None or agent is None or gang.run != message.run:
        return []
    if gang.phase is _Phase.RESERVING:
        return back_off(state, gang, now)
    participant = gang.participants.get(agent.worker.id)
    if gang.phase is not _Phase.STARTING or participant is None or message.request != "start":
        return []
    if message.reason == STALE_PROOF:
        # No task was started, so request a newer clock reading and start again.
        state.counters.starts_without_proof += 1
        participant.start_sent, participant.reserved_at = False, float("-inf")
        return request_reservations(state, gang, now)
    return gang_stop.begin(state, gang, gang_state.Reason.NOT_STARTED, now, message.reason)


def back_off(state: gang_state.State, gang: gang_state.Gang, now: float) -> _Effects:
    """Abandon a run whose reservations were refused or timed out, with exponential back-off.

    The obstacle, such as a reservation made by an earlier planner, can last for seconds.
    """
    entry = state.jobs[gang.job_id]
    delay = min(RETRY_MAX_SECONDS, RETRY_BASE_SECONDS * 2.0**entry.refusals)
    entry.refusals = min(entry.refusals + 1, 10)
    entry.cooling_until = now + delay
    state.cooling.add(gang.job_id)
    return abandon(state, gang)


def abandon(state: gang_state.State, gang: gang_state.Gang) -> _Effects:
    """Drop an uncommitted run and release its reservations."""
    gang_stop.remove(state, gang.job_id)
    return gang_stop.send_release(state, gang)


def send_starts(state: gang_state.State, gang: gang_state.Gang, now: float) -> _Effects:
    """Send starts of a committed run to the participants with a fresh reservation."""
    entry = state.jobs[gang.job_id]
    age = service_proof.age(state.service_status, now)
    if age < 0 or not state.may_decide or state.superseded:
        return []
    effects: _Effects = []
    for worker, participant in gang.participants.items():
        if participant.start_sent or now - participant.reserved_at > RESERVATION_REFRESH_SECONDS:
            continue
        participant.start_sent, participant.renewed_at = True, now
        message = link.Start(
            gang.job_id,
            gang.run,
            state.epoch,
            entry.job.command,
            entry.job.checkpoint,
            participant.reserved_t0,
            age,
            state.service_status.revision,
            entry.job.trace,
        )
        effects += gang_stop.send(state, worker, message)
    return effects + request_reservations(state, gang, now)
