"""Processes agent reports about gang members and answers agent heartbeats."""

from __future__ import annotations

import zlib

from peridothatch_core.message import link
from peridothatch_core.model import job
from peridothatch_core.start import gang_event, gang_state, gang_stop, service_proof

MEMBER_SILENT_SECONDS = 20.0
# Each check visits all participants of all gangs, and a second of delay does not matter to it.
SILENCE_CHECK_SECONDS = 1.0
_ALIVE_STATES = frozenset({"running", "succeeded"})
_ACTIVE_PHASES = frozenset(
    {gang_state.Phase.STARTING, gang_state.Phase.ADOPTING, gang_state.Phase.RUNNING}
)


def digest(members: tuple[link.Member, ...]) -> int:
    """Return a hash of the members, reservations excluded; agents and planner compute it alike."""
    lines = sorted(
        f"{item.job}/{item.run}/{item.cell.task}/{item.state}"
        for item in members
        if item.state != "reserved"
    )
    return zlib.crc32("\n".join(lines).encode())


def answer_heartbeat(
    state: gang_state.State, agent_id: str, message: link.Heartbeat, now: float
) -> list[gang_event.Effect]:
    """Answer a heartbeat and renew the leases of running gangs that are complete."""
    agent = state.agents.get(agent_id)
    renewed: tuple[link.GangRef, ...] = ()
    announce = agent is None
    if message.epoch > state.epoch:
        state.superseded = True
    if agent is not None:
        agent.heard_at, agent.connected = now, True
        if message.epoch == state.epoch and agent.fenced_at == float("inf"):
            agent.fenced_at = now
        if agent.digest is None:
            agent.digest = digest(tuple(agent.members.values()))
        announce = message.digest != agent.digest
        renewed = _renew(state, agent, now)
    status = state.service_status
    age = service_proof.age(status, now)
    ack = link.HeartbeatAck(
        message.t0, status.in_service, age, status.revision, state.epoch, True, renewed, announce
    )
    return [gang_event.SendMessage(agent_id, ack)]


def record_announcement(
    state: gang_state.State, event: gang_event.FromAgent, now: float
) -> list[gang_event.Effect]:
    """Record an agent's announced members and stop those that belong to no known run."""
    message = event.message
    agent = state.agents.get(event.agent_id)
    if agent is None or agent.incarnation != event.incarnation:
        agent = gang_state.Agent(
            event.agent_id, message.worker, now, incarnation=event.incarnation, since=now
        )
    agent.worker, agent.heard_at, agent.connected = message.worker, now, True
    state.agents[event.agent_id] = agent
    state.agent_of_worker[message.worker.id] = event.agent_id
    agent.members = {
        (item.job, item.run, item.cell.task): item
        for item in message.members
        if item.state != "reserved"
    }
    agent.digest = None
    effects: list[gang_event.Effect] = [gang_event.WorkerJoined(message.worker)]
    effects += check_members(state, agent, now)
    for job_id in sorted(state.jobs_on_worker.get(message.worker.id, ())):
        if job_id in state.gangs:
            effects += _stop_if_members_missing(state, state.gangs[job_id], agent, now)
    return effects


def record_member(
    state: gang_state.State, agent_id: str, message: link.MemberState, now: float
) -> list[gang_event.Effect]:
    """Record a change of a member's state."""
    agent = state.agents.get(agent_id)
    if agent is None:
        return []
    member = message.member
    if member.cell.task >= 0:
        agent.members[(member.job, member.run, member.cell.task)] = member
        agent.digest = None
    return _apply_member(state, agent, member, now)


def check_members(
    state: gang_state.State, agent: gang_state.Agent, now: float
) -> list[gang_event.Effect]:
    """Check all members that an agent reported against the runs in the job rows."""
    effects: list[gang_event.Effect] = []
    for member in tuple(agent.members.values()):
        effects += _apply_member(state, agent, member, now)
    return effects


def adopt_members(
    state: gang_state.State, gang: gang_state.Gang, now: float
) -> list[gang_event.Effect]:
    """Add members announced before the job row was read to their run."""
    for worker, participant in gang.participants.items():
        agent = state.agents.get(state.agent_of_worker.get(worker, ""))
        if agent is None:
            continue
        participant.incarnation = agent.worker.incarnation
        for (job_id, run, _), member in agent.members.items():
            if (job_id, run) == (gang.job_id, gang.run):
                gang_stop.set_member(gang, participant, member)
    effects = evaluate(state, gang, now)
    for worker in gang.participants:
        agent = state.agents.get(state.agent_of_worker.get(worker, ""))
        if agent is not None:
            effects += _stop_if_members_missing(state, gang, agent, now)
    return effects


def record_disconnect(state: gang_state.State, agent_id: str) -> list[gang_event.Effect]:
    """Record that an agent disconnected.

    Its members count as lost only after ``MEMBER_SILENT_SECONDS``.
    """
    agent = state.agents.get(agent_id)
    if agent is None or not agent.connected:
        return []
    agent.connected = False
    return [gang_event.WorkerLost(agent.worker.id)]


def check_silence(state: gang_state.State, now: float) -> list[gang_event.Effect]:
    """Stop gangs with a member whose agent has been silent for too long."""
    effects: list[gang_event.Effect] = []
    if now - state.silence_checked_at < SILENCE_CHECK_SECONDS:
        return effects
    state.silence_checked_at = now
    for gang in tuple(state.gangs.values()):
        if gang.phase not in _ACTIVE_PHASES:
            continue
        for worker in gang.participants:
            agent = state.agents.get(state.agent_of_worker.get(worker, ""))
            heard = max(gang.phase_started_at, agent.heard_at) if agent else gang.phase_started_at
            if now - heard > MEMBER_SILENT_SECONDS:
                state.counters.members_lost += 1
                reason = gang_state.Reason.MEMBER_LOST
                effects += gang_stop.begin(state, gang, reason, now, f"{worker} is silent")
                break
    return effects


def evaluate(
    state: gang_state.State, gang: gang_state.Gang, now: float
) -> list[gang_event.Effect]:
    """Advance the phase of a run after a member changed state."""
    if gang.phase is gang_state.Phase.STOPPING:
        return gang_stop.advance(state, gang, now)
    if gang.phase not in _ACTIVE_PHASES:
        return []
    if gang.state_counts.get("failed"):
        failed = _first_member_in(gang, "failed")
        return gang_stop.begin(state, gang, gang_state.Reason.FAILED, now, failed.detail)
    lost = next((word for word in ("stopped", "stopping") if gang.state_counts.get(word)), "")
    if lost:
        reason = gang_state.Reason.MEMBER_LOST
        if gang.phase is gang_state.Phase.STARTING:
            reason = gang_state.Reason.NOT_STARTED
        else:
            state.counters.members_lost += 1
        return gang_stop.begin(state, gang, reason, now, _first_member_in(gang, lost).detail)
    if gang_stop.has_succeeded(gang):
        return gang_stop.record_end(state, gang, now)
    if gang.phase is not gang_state.Phase.RUNNING and gang_stop.is_complete(gang):
        gang.phase, gang.phase_started_at = gang_state.Phase.RUNNING, now
    return []


def _first_member_in(gang: gang_state.Gang, state_name: str) -> link.Member:
    members = (
        item for participant in gang.participants.values() for item in participant.tasks.values()
    )
    return next(item for item in members if item.state == state_name)


def _renew(
    state: gang_state.State, agent: gang_state.Agent, now: float
) -> tuple[link.GangRef, ...]:
    # An agent loses the highest epoch when it restarts. In renew-only mode another planner may
    # have fenced its previous incarnation, so only incarnations known since before the last
    # contact with the store get renewals.
    if state.superseded or (not state.may_decide and agent.since > state.contact_at):
        return ()
    renewed = []
    for job_id in sorted(state.jobs_on_worker.get(agent.worker.id, ())):
        gang = state.gangs[job_id]
        if gang.phase is not gang_state.Phase.RUNNING or not gang_stop.is_complete(gang):
            continue
        if _all_responsive(state, gang, now):
            gang.participants[agent.worker.id].renewed_at = now
            renewed.append(link.GangRef(gang.job_id, gang.run))
    return tuple(renewed)


def _all_responsive(state: gang_state.State, gang: gang_state.Gang, now: float) -> bool:
    agents = [
        state.agents.get(state.agent_of_worker.get(worker, "")) for worker in gang.participants
    ]
    return all(item and now - item.heard_at <= MEMBER_SILENT_SECONDS for item in agents)


def _apply_member(
    state: gang_state.State, agent: gang_state.Agent, member: link.Member, now: float
) -> list[gang_event.Effect]:
    gang = state.gangs.get(member.job)
    if gang is None or gang.run != member.run:
        return _handle_unknown_member(state, agent, gang, member)
    participant = gang.participants.get(agent.worker.id)
    if participant is None:
        return [
            gang_event.SendMessage(
                agent.agent_id, link.Stop(member.job, member.run, state.epoch, False)
            )
        ]
    participant.incarnation = participant.incarnation or agent.worker.incarnation
    if member.cell.task < 0:
        # The agent has no member of the run and has fenced it.
        for cell in participant.cells:
            known = participant.tasks.get(cell.task)
            if known is None or known.state not in gang_stop.FINAL_STATES:
                none = link.Member(member.job, member.run, cell, "stopped", member.detail)
                gang_stop.set_member(gang, participant, none)
    elif any(cell.task == member.cell.task for cell in participant.cells):
        gang_stop.set_member(gang, participant, member)
    return evaluate(state, gang, now)


def _handle_unknown_member(
    state: gang_state.State,
    agent: gang_state.Agent,
    gang: gang_state.Gang | None,
    member: link.Member,
) -> list[gang_event.Effect]:
    """Stop a member that belongs to no known run, or release it if it has ended."""
    if gang is None and not state.loaded:
        return []
    if gang is None and _is_adoptable(state, member):
        return []
    if member.state in gang_stop.FINAL_STATES:
        agent.members.pop((member.job, member.run, member.cell.task), None)
        agent.digest = None
        message: link.Message = link.Release(member.job, member.run, state.epoch)
        return [gang_event.SendMessage(agent.agent_id, message)]
    state.counters.stale_members_stopped += 1
    message = link.Stop(member.job, member.run, state.epoch, False)
    return [gang_event.SendMessage(agent.agent_id, message)]


def _is_adoptable(state: gang_state.State, member: link.Member) -> bool:
    entry = state.jobs.get(member.job)
    return (
        entry is not None and entry.job.state is job.State.RUNNING and entry.job.run == member.run
    )


def _stop_if_members_missing(
    state: gang_state.State, gang: gang_state.Gang, agent: gang_state.Agent, now: float
) -> list[gang_event.Effect]:
    """Stop a running gang if the agent no longer reports members that it had on the worker."""
    participant = gang.participants.get(agent.worker.id)
    if participant is None or gang.phase not in _ACTIVE_PHASES:
        return []
    reported_tasks = {
        task for job_id, run, task in agent.members if (job_id, run) == (gang.job_id, gang.run)
    }
    expected = {task for task, item in participant.tasks.items() if item.state in _ALIVE_STATES}
    if gang.phase is gang_state.Phase.ADOPTING:
        # Members that the previous planner committed but did not start will never be started.
        expected = {cell.task for cell in participant.cells}
    if not expected - reported_tasks:
        return []
    state.counters.members_lost += 1
    detail = f"{agent.worker.id} no longer holds it"
    return gang_stop.begin(state, gang, gang_state.Reason.MEMBER_LOST, now, detail)
