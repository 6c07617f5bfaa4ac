"""Stopping a run, certainty that no member runs, and the job row that follows."""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import link
from peridothatch_core.model import job
from peridothatch_core.start import gang_event, gang_save, gang_state, planner_lease

GANG_LEASE_SECONDS = 60.0
DRIFT = 1.05
STOP_REPEAT_SECONDS = 2.0
ENDED = frozenset({"succeeded", "failed", "stopped"})


def begin(
    state: gang_state.State,
    gang: gang_state.Gang,
    reason: gang_state.Reason,
    now: float,
    detail: str = "",
) -> list[gang_event.Effect]:
    """Stop every member of a run at once."""
    if gang.phase is gang_state.Phase.RECORDING:
        return []
    if gang.phase is gang_state.Phase.STOPPING:
        # A cancellation overrides an earlier reason to stop; the members are stopping already.
        if reason is gang_state.Reason.CANCELLED:
            gang.reason, gang.detail = reason, detail
        return []
    planned = (gang_state.Reason.PREEMPTED, gang_state.Reason.MOVED)
    entry = state.jobs.get(gang.job_id)
    gang.checkpoint = reason in planned and entry is not None and entry.job.checkpointable
    gang.phase, gang.since, gang.reason, gang.detail = (
        gang_state.Phase.STOPPING,
        now,
        reason,
        detail,
    )
    state.counters.runs_stopped += 1
    effects: list[gang_event.Effect] = []
    if reason is gang_state.Reason.FAILED:
        gang.judging = True
        failed = tuple(
            worker for worker, party in gang.parties.items() if "failed" in _states(party)
        )
        effects.append(gang_event.RunFailed(gang.job_id, failed))
    return effects + advance(state, gang, now)


def advance(state: gang_state.State, gang: gang_state.Gang, now: float) -> list[gang_event.Effect]:
    """Repeat ``Stop`` where a member may still run, and record the end when none can."""
    effects: list[gang_event.Effect] = []
    for worker, party in gang.parties.items():
        if not party.down:
            party.down = _is_down(state, gang, worker, party, now)
        if not party.down and now - party.stop_sent_at >= STOP_REPEAT_SECONDS:
            party.stop_sent_at = now
            message = link.Stop(gang.job_id, gang.run, state.epoch, gang.checkpoint)
            effects += tell(state, worker, message)
    if not gang.judging and all(party.down for party in gang.parties.values()):
        effects += record(state, gang, now)
    return effects


def record(state: gang_state.State, gang: gang_state.Gang, now: float) -> list[gang_event.Effect]:
    """Write the row of a run that has ended everywhere."""
    entry = state.jobs.get(gang.job_id)
    if entry is None:
        drop(state, gang.job_id)
        return release(state, gang)
    gang.phase, gang.since = gang_state.Phase.RECORDING, now
    if entry.saving is not None or not state.may_decide:
        return []
    return gang_save.save(state, entry, outcome(state, gang, entry.job, now))


def outcome(
    state: gang_state.State, gang: gang_state.Gang, current: job.Job, now: float
) -> job.Job:
    """Return the row of a job after its run has ended."""
    wall = now + state.wall_offset
    tasks = all_tasks(gang)
    base = dataclasses.replace(current, epoch=state.epoch)
    if succeeded(gang):
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
        checkpoint=_checkpoint(tasks) or current.checkpoint,
        data_centre=gang.moved_to or current.data_centre,
        detail=f"run {gang.run}: {gang.reason.value}" + (f", {gang.detail}" * bool(gang.detail)),
    )


def add(state: gang_state.State, gang: gang_state.Gang) -> None:
    """Add a run and index it by worker."""
    state.gangs[gang.job_id] = gang
    for worker in gang.parties:
        state.on_worker.setdefault(worker, set()).add(gang.job_id)


def drop(state: gang_state.State, job_id: str) -> gang_state.Gang | None:
    """Remove the run of a job, if there is one."""
    gang = state.gangs.pop(job_id, None)
    for worker in gang.parties if gang else ():
        state.on_worker[worker].discard(job_id)
        if not state.on_worker[worker]:
            del state.on_worker[worker]
    return gang


def set_member(gang: gang_state.Gang, party: gang_state.Party, member: link.Member) -> None:
    """Record the state of one task of a run."""
    known = party.tasks.get(member.cell.task)
    if known is not None:
        gang.tally[known.state] -= 1
    gang.tally[member.state] = gang.tally.get(member.state, 0) + 1
    party.tasks[member.cell.task] = member


def whole(gang: gang_state.Gang) -> bool:
    """Return whether every member was reported as running or as succeeded."""
    alive = gang.tally.get("running", 0) + gang.tally.get("succeeded", 0)
    return alive == _size(gang)


def succeeded(gang: gang_state.Gang) -> bool:
    """Return whether every member has succeeded."""
    return gang.tally.get("succeeded", 0) == _size(gang)


def _size(gang: gang_state.Gang) -> int:
    return sum(len(party.cells) for party in gang.parties.values())


def all_tasks(gang: gang_state.Gang) -> list[link.Member | None]:
    """Return the last reported state of each task, in order of task index."""
    found = [
        (cell.task, party.tasks.get(cell.task))
        for party in gang.parties.values()
        for cell in party.cells
    ]
    return [member for _, member in sorted(found, key=lambda pair: pair[0])]


def release(state: gang_state.State, gang: gang_state.Gang) -> list[gang_event.Effect]:
    """Let the agents forget the run."""
    message = link.Release(gang.job_id, gang.run, state.epoch)
    return [effect for worker in gang.parties for effect in tell(state, worker, message)]


def tell(state: gang_state.State, worker: str, message: link.Message) -> list[gang_event.Effect]:
    """Send a message to the agent of a worker, if it is connected."""
    agent = state.agents.get(state.workers.get(worker, ""))
    if agent is None or not agent.connected:
        return []
    return [gang_event.Tell(agent.agent_id, message)]


def _states(party: gang_state.Party) -> set[str]:
    return {member.state for member in party.tasks.values()}


def _is_down(
    state: gang_state.State,
    gang: gang_state.Gang,
    worker: str,
    party: gang_state.Party,
    now: float,
) -> bool:
    if state.vouched:
        return True
    if not gang.adopted and not party.start_sent:
        # Only the planner that committed a run starts it, so nothing can run here.
        return True
    known = [party.tasks.get(cell.task) for cell in party.cells]
    if all(member is not None and member.state in ENDED for member in known):
        return True
    agent = state.agents.get(state.workers.get(worker, ""))
    if agent and party.incarnation and agent.worker.incarnation != party.incarnation:
        return True
    lapsed = now > _lapse_bound(state, gang, party, agent)
    if lapsed:
        state.counters.waits_for_lapse += 1
    return lapsed


def _lapse_bound(
    state: gang_state.State,
    gang: gang_state.Gang,
    party: gang_state.Party,
    agent: gang_state.Agent | None,
) -> float:
    """Return when the gang lease has certainly lapsed, whoever renewed it last."""
    ours = party.renewed_at + GANG_LEASE_SECONDS * DRIFT
    if not gang.adopted:
        return ours
    if agent is not None and agent.fenced_at < float("inf"):
        # From then on the agent refused renewals of earlier planners.
        return max(ours, agent.fenced_at + GANG_LEASE_SECONDS * DRIFT)
    before = planner_lease.RENEW_ONLY_SECONDS + GANG_LEASE_SECONDS
    return max(ours, state.acquired_at + before * DRIFT)


def _checkpoint(tasks: list[link.Member | None]) -> str:
    """Return the checkpoints of all tasks, one per line, or nothing when one is missing."""
    keys = [member.checkpoint if member else "" for member in tasks]
    return "\n".join(keys) if all(keys) else ""
