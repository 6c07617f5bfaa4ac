"""Stops a run, establishes that none of its members can run, and records the outcome."""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import link
from peridothatch_core.model import job
from peridothatch_core.start import gang_event, gang_save, gang_state, planner_lease

GANG_LEASE_SECONDS = 60.0
CLOCK_DRIFT_FACTOR = 1.05
STOP_RETRY_SECONDS = 2.0
FINAL_STATES = frozenset({"succeeded", "failed", "stopped"})


def begin(
    state: gang_state.State,
    gang: gang_state.Gang,
    reason: gang_state.Reason,
    now: float,
    detail: str = "",
) -> list[gang_event.Effect]:
    """Start stopping all members of a run."""
    if gang.phase is gang_state.Phase.RECORDING:
        return []
    if gang.phase is gang_state.Phase.STOPPING:
        # The members are already stopping; a cancellation only replaces the recorded reason.
        if reason is gang_state.Reason.CANCELLED:
            gang.reason, gang.detail = reason, detail
        return []
    planned = (gang_state.Reason.PREEMPTED, gang_state.Reason.MOVED)
    entry = state.jobs.get(gang.job_id)
    gang.checkpoint = reason in planned and entry is not None and entry.job.checkpointable
    gang.phase, gang.phase_started_at, gang.reason, gang.detail = (
        gang_state.Phase.STOPPING,
        now,
        reason,
        detail,
    )
    state.counters.runs_stopped += 1
    effects: list[gang_event.Effect] = []
    if reason is gang_state.Reason.FAILED:
        gang.awaiting_retry_decision = True
        failed = tuple(
            worker
            for worker, participant in gang.participants.items()
            if "failed" in _member_states(participant)
        )
        effects.append(gang_event.RunFailed(gang.job_id, failed))
    return effects + advance(state, gang, now)


def advance(state: gang_state.State, gang: gang_state.Gang, now: float) -> list[gang_event.Effect]:
    """Resend ``Stop`` where a member may still run, and record the end once none can."""
    effects: list[gang_event.Effect] = []
    for worker, participant in gang.participants.items():
        if not participant.terminated:
            participant.terminated = _is_terminated(state, gang, worker, participant, now)
        if not participant.terminated and now - participant.stop_sent_at >= STOP_RETRY_SECONDS:
            participant.stop_sent_at = now
            message = link.Stop(gang.job_id, gang.run, state.epoch, gang.checkpoint)
            effects += send(state, worker, message)
    if not gang.awaiting_retry_decision and all(
        participant.terminated for participant in gang.participants.values()
    ):
        effects += record_end(state, gang, now)
    return effects


def record_end(
    state: gang_state.State, gang: gang_state.Gang, now: float
) -> list[gang_event.Effect]:
    """Write the job row of a run none of whose members can still run."""
    entry = state.jobs.get(gang.job_id)
    if entry is None:
        remove(state, gang.job_id)
        return send_release(state, gang)
    gang.phase, gang.phase_started_at = gang_state.Phase.RECORDING, now
    if entry.saving is not None or not state.may_decide:
        return []
    return gang_save.save(state, entry, job_after_run(state, gang, entry.job, now))


def job_after_run(
    state: gang_state.State, gang: gang_state.Gang, current: job.Job, now: float
) -> job.Job:
    """Return the job as it is after its run has ended."""
    wall = now + state.wall_offset
    tasks = members_by_task(gang)
    base = dataclasses.replace(current, epoch=state.epoch)
    if has_succeeded(gang):
        return dataclasses.replace(
            base,
            state=job.State.SUCCEEDED,
            ended_at=wall,
            results=tuple(member.result for member in tasks if member),
        )
    if current.cancel_requested:
        return dataclasses.replace(
            base, state=job.State.CANCELLED, ended_at=wall, cells=(), detail="cancelled"
        )
    failed = gang.reason is gang_state.Reason.FAILED
    failures = current.failures + (1 if failed else 0)
    if failed and not gang.run_again:
        return dataclasses.replace(
            base,
            state=job.State.FAILED,
            ended_at=wall,
            failures=failures,
            cells=(),
            detail=gang.detail,
        )
    return dataclasses.replace(
        base,
        state=job.State.WAITING,
        cells=(),
        borrowed=False,
        failures=failures,
        checkpoint=_join_checkpoints(tasks) or current.checkpoint,
        data_centre=gang.target_data_centre or current.data_centre,
        detail=f"run {gang.run}: {gang.reason.value}" + (f", {gang.detail}" * bool(gang.detail)),
    )


def add(state: gang_state.State, gang: gang_state.Gang) -> None:
    """Register a run and index it by worker."""
    state.gangs[gang.job_id] = gang
    for worker in gang.participants:
        state.jobs_on_worker.setdefault(worker, set()).add(gang.job_id)


def remove(state: gang_state.State, job_id: str) -> gang_state.Gang | None:
    """Unregister the run of a job and return it, or ``None`` if there is none."""
    gang = state.gangs.pop(job_id, None)
    for worker in gang.participants if gang else ():
        state.jobs_on_worker[worker].discard(job_id)
        if not state.jobs_on_worker[worker]:
            del state.jobs_on_worker[worker]
    return gang


def set_member(
    gang: gang_state.Gang, participant: gang_state.Participant, member: link.Member
) -> None:
    """Record the reported state of a task and update the counts of states."""
    known = participant.tasks.get(member.cell.task)
    if known is not None:
        gang.state_counts[known.state] -= 1
    gang.state_counts[member.state] = gang.state_counts.get(member.state, 0) + 1
    participant.tasks[member.cell.task] = member


def is_complete(gang: gang_state.Gang) -> bool:
    """Return whether every member was last reported as running or succeeded."""
    alive = gang.state_counts.get("running", 0) + gang.state_counts.get("succeeded", 0)
    return alive == _task_count(gang)


def has_succeeded(gang: gang_state.Gang) -> bool:
    """Return whether every member has succeeded."""
    return gang.state_counts.get("succeeded", 0) == _task_count(gang)


def _task_count(gang: gang_state.Gang) -> int:
    return sum(len(participant.cells) for participant in gang.participants.values())


def members_by_task(gang: gang_state.Gang) -> list[link.Member | None]:
    """Return the last report on each task, ordered by task index."""
    found = [
        (cell.task, participant.tasks.get(cell.task))
        for participant in gang.participants.values()
        for cell in participant.cells
    ]
    return [member for _, member in sorted(found, key=lambda pair: pair[0])]


def send_release(state: gang_state.State, gang: gang_state.Gang) -> list[gang_event.Effect]:
    """Tell the agents to discard the run."""
    message = link.Release(gang.job_id, gang.run, state.epoch)
    return [effect for worker in gang.participants for effect in send(state, worker, message)]


def send(state: gang_state.State, worker: str, message: link.Message) -> list[gang_event.Effect]:
    """Send a message to the agent of a worker, if it is connected."""
    agent = state.agents.get(state.agent_of_worker.get(worker, ""))
    if agent is None or not agent.connected:
        return []
    return [gang_event.SendMessage(agent.agent_id, message)]


def _member_states(participant: gang_state.Participant) -> set[str]:
    return {member.state for member in participant.tasks.values()}


def _is_terminated(
    state: gang_state.State,
    gang: gang_state.Gang,
    worker: str,
    participant: gang_state.Participant,
    now: float,
) -> bool:
    if state.confirmed_lost:
        return True
    if not gang.adopted and not participant.start_sent:
        # Only the planner that committed a run sends its starts, so no member can run here.
        return True
    known = [participant.tasks.get(cell.task) for cell in participant.cells]
    if all(member is not None and member.state in FINAL_STATES for member in known):
        return True
    agent = state.agents.get(state.agent_of_worker.get(worker, ""))
    # A start that was in flight may have reached the worker that has replaced the first one.
    if (
        agent
        and participant.incarnation
        and agent.worker.incarnation != participant.incarnation
        and not _holds_members(agent, gang)
    ):
        return True
    lapsed = now > _latest_lease_expiry(state, gang, participant, agent)
    if lapsed:
        state.counters.waits_for_lapse += 1
    return lapsed


def _holds_members(agent: gang_state.Agent, gang: gang_state.Gang) -> bool:
    """Return whether an agent reports members of a run that have not ended."""
    return any(
        (job_id, run) == (gang.job_id, gang.run) and member.state not in FINAL_STATES
        for (job_id, run, _), member in agent.members.items()
    )


def _latest_lease_expiry(
    state: gang_state.State,
    gang: gang_state.Gang,
    participant: gang_state.Participant,
    agent: gang_state.Agent | None,
) -> float:
    """Return the latest time at which the gang lease expires, whichever planner renewed it."""
    own_expiry = participant.renewed_at + GANG_LEASE_SECONDS * CLOCK_DRIFT_FACTOR
    if not gang.adopted:
        return own_expiry
    if agent is not None and agent.fenced_at < float("inf"):
        # Since then the agent has refused renewals from earlier planners.
        return max(own_expiry, agent.fenced_at + GANG_LEASE_SECONDS * CLOCK_DRIFT_FACTOR)
    before = planner_lease.RENEW_ONLY_LIMIT_SECONDS + GANG_LEASE_SECONDS
    return max(own_expiry, state.acquired_at + before * CLOCK_DRIFT_FACTOR)


def _join_checkpoints(tasks: list[link.Member | None]) -> str:
    """Return the checkpoint keys of all tasks, one per line, or ``""`` if any is missing."""
    keys = [member.checkpoint if member else "" for member in tasks]
    return "\n".join(keys) if all(keys) else ""
