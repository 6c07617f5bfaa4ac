"""Agent-side state machine of the gang members on one worker."""

from __future__ import annotations

from peridothatch_core.message import link
from peridothatch_core.model import job
from peridothatch_core.start import (
    gang_launch,
    gang_report,
    gang_stop,
    member_report,
    member_state,
    service_proof,
)

# Well below the worker's own task lease, which is not renewed while a task is stopping.
CHECKPOINT_SECONDS = 15.0
# Counted in heartbeats, which are 2 s apart, and not in seconds, so that a pause of the agent
# itself is not counted. The worker stops tasks whose lease has not been renewed for 20 s.
MAX_UNLISTED_HEARTBEATS = 8

_Effects = list[member_state.Effect]


def create(worker_id: str, now: float) -> member_state.State:
    """Return the initial state of an agent process."""
    return member_state.State(worker_id, now)


def step(state: member_state.State, event: member_state.Event, now: float) -> _Effects:
    """Apply an event and return the messages to send and the requests to the worker.

    Expired leases are handled first, so that an agent that was paused does not act on a lease
    that expired during the pause.
    """
    effects = _expire_leases(state, now)
    match event:
        case member_state.FromEntry():
            effects += _from_entry(state, event.entry_id, event.message, now)
        case member_state.WorkerListed():
            effects += _listed(state, event)
        case member_state.StartRefused():
            effects += _start_refused(state, event)
        case member_state.EntryOpened():
            state.entries.add(event.entry_id)
            effects += member_report.announce(state, event.entry_id)
        case member_state.EntryClosed():
            state.entries.discard(event.entry_id)
        case member_state.Tick():
            effects += _tick(state, event, now)
    return effects


def _expire_leases(state: member_state.State, now: float) -> _Effects:
    effects: _Effects = []
    for key, local_run in tuple(state.runs.items()):
        if not local_run.started and now >= local_run.expires_at:
            state.counters.lapsed_reservations += 1
            del state.runs[key]
        elif (
            local_run.started
            and not local_run.stopping
            and now >= local_run.lease_until
            and member_report.has_active_tasks(local_run)
        ):
            state.counters.lapsed_leases += 1
            effects += member_report.stop(state, local_run, False, "gang lease lapsed")
    return effects


def _from_entry(
    state: member_state.State, entry_id: str, message: link.Message, now: float
) -> _Effects:
    match message:
        case link.Welcome():
            if message.epoch > state.epoch:
                state.epoch, state.planner = message.epoch, message.planner
            return []
        case link.HeartbeatAck():
            return _apply_heartbeat_ack(state, entry_id, message, now)
        case link.Reserve() | link.Release() | link.Start() | link.Stop() | link.Checkpoint():
            return _from_planner(state, entry_id, message, now)
    return []


def _from_planner(
    state: member_state.State, entry_id: str, message: link.Message, now: float
) -> _Effects:
    if message.epoch < state.epoch:
        state.counters.refused_epochs += 1
        return [_refuse(state, entry_id, message, "a planner with a higher epoch is known")]
    state.epoch, state.planner = message.epoch, entry_id
    match message:
        case link.Reserve():
            return _reserve(state, entry_id, message, now)
        case link.Start():
            return _start(state, entry_id, message, now)
        case link.Release():
            return _release(state, message)
        case link.Stop():
            return _stop_run(state, entry_id, message, now)
    local_run = state.runs.get((message.job, message.run))
    tasks = local_run.tasks if local_run and local_run.started else {}
    return [
        member_state.CheckpointTask(message.job, message.run, index)
        for index, task in tasks.items()
        if task.state == "running"
    ]


def _refuse(
    state: member_state.State, entry_id: str, message: link.Message, reason: str
) -> member_state.SendMessage:
    request = type(message).__name__.lower()
    refused = link.Refused(message.job, message.run, request, reason, state.epoch)
    return member_state.SendMessage(entry_id, refused)


def _reserve(
    state: member_state.State, entry_id: str, message: link.Reserve, now: float
) -> _Effects:
    local_run = state.runs.get((message.job, message.run))
    if local_run is None or (not local_run.started and local_run.epoch != message.epoch):
        reason = _reservation_obstacle(state, message)
        if reason:
            state.counters.refused_reservations += 1
            return [_refuse(state, entry_id, message, reason)]
        tasks = {cell.task: member_state.Task(cell) for cell in message.cells}
        local_run = member_state.LocalRun(message.job, message.run, message.epoch, tasks, 0.0)
        state.runs[(message.job, message.run)] = local_run
    local_run.expires_at = now + message.expires_seconds
    return [member_state.SendMessage(entry_id, link.Reserved(message.job, message.run, now))]


def _reservation_obstacle(state: member_state.State, message: link.Reserve) -> str:
    """Return why the cells cannot be reserved, or ``""`` if they can."""
    if (
        state.worker is None
        or not state.tasks_listed
        or state.unlisted_heartbeats > MAX_UNLISTED_HEARTBEATS
    ):
        return "the worker does not answer"
    if message.run <= state.fenced.get(message.job, 0):
        state.counters.refused_runs += 1
        return "a later run is known"
    wanted = [index for cell in message.cells for index in cell.accelerators]
    if any(index >= state.worker.accelerators for index in wanted):
        return "the worker has no such accelerator"
    taken: set[int] = set()
    for local_run in state.runs.values():
        if (local_run.job, local_run.run) != (message.job, message.run):
            for task in local_run.tasks.values():
                if task.state not in gang_stop.FINAL_STATES:
                    taken.update(task.cell.accelerators)
    if len(set(wanted)) != len(wanted) or taken.intersection(wanted):
        return "an accelerator is taken"
    return ""


def _start(state: member_state.State, entry_id: str, message: link.Start, now: float) -> _Effects:
    local_run = state.runs.get((message.job, message.run))
    if local_run is not None and local_run.started:
        return [member_report.report(state, local_run, task) for task in local_run.tasks.values()]
    if message.run <= state.fenced.get(message.job, 0):
        state.counters.refused_runs += 1
        return [_refuse(state, entry_id, message, "the run was stopped")]
    if local_run is None or local_run.epoch != message.epoch:
        state.counters.refused_reservations += 1
        return [_refuse(state, entry_id, message, "no reservation")]
    fresh = service_proof.valid(message.t0, message.proof_age_seconds, now)
    if not fresh or message.t0 < state.process_started_at or message.revision < state.revision:
        state.counters.refused_proofs += 1
        return [_refuse(state, entry_id, message, gang_launch.STALE_PROOF)]
    state.revision = message.revision
    state.counters.starts += 1
    # The revision that took the data centre out of service cannot carry a valid proof.
    out = message.revision == state.out_revision
    if out and now - state.out_at > service_proof.PROOF_SECONDS:
        state.counters.started_after_out += 1
    local_run.started, local_run.lease_until = True, message.t0 + gang_stop.GANG_LEASE_SECONDS
    not_after = service_proof.not_after(message.t0, message.proof_age_seconds)
    local_run.not_after = not_after
    checkpoints = message.checkpoint.split("\n")
    effects: _Effects = []
    for index, task in local_run.tasks.items():
        task.state = "starting"
        checkpoint = checkpoints[index] if index < len(checkpoints) else ""
        effects.append(
            member_state.StartTask(
                local_run.job,
                local_run.run,
                task.cell,
                message.command,
                checkpoint,
                local_run.lease_until,
                not_after,
            )
        )
    return effects


def _release(state: member_state.State, message: link.Release) -> _Effects:
    local_run = state.runs.get((message.job, message.run))
    if local_run is None or (local_run.started and member_report.has_active_tasks(local_run)):
        return []
    del state.runs[(message.job, message.run)]
    if not local_run.started:
        return []
    member_report.fence(state, local_run.job, local_run.run)
    return [
        member_state.ForgetTask(local_run.job, local_run.run, index) for index in local_run.tasks
    ]


def _stop_run(
    state: member_state.State, entry_id: str, message: link.Stop, now: float
) -> _Effects:
    """Stop a run and fence it, and answer once no member of it can run here."""
    member_report.fence(state, message.job, message.run)
    local_run = state.runs.get((message.job, message.run))
    if local_run is None and not state.predecessor_starts_expired:
        # The worker may be running tasks of the run, or a start from a previous agent process may
        # still reach it. The planner repeats the request until it is answered.
        return []
    if local_run is None or not local_run.started:
        state.runs.pop((message.job, message.run), None)
        none = job.Cell(-1, state.worker_id)
        member = link.Member(message.job, message.run, none, "stopped", "no member here")
        return [member_state.SendMessage(entry_id, link.MemberState(member, state.worker_id))]
    if not local_run.stopping and message.checkpoint:
        local_run.checkpoint_until = now + CHECKPOINT_SECONDS
    return member_report.stop(
        state, local_run, now < local_run.checkpoint_until, "stopped by the planner"
    )


def _apply_heartbeat_ack(
    state: member_state.State, entry_id: str, message: link.HeartbeatAck, now: float
) -> _Effects:
    effects = member_report.announce(state, entry_id) if message.announce else []
    if not message.planner:
        return effects
    if message.epoch < state.epoch:
        state.counters.refused_epochs += 1
        return effects
    state.epoch, state.planner = message.epoch, entry_id
    if not message.in_service and message.revision > max(state.revision, state.out_revision):
        state.out_revision, state.out_at = message.revision, now
    state.revision = max(state.revision, message.revision)
    for ref in message.renewed:
        local_run = state.runs.get((ref.job, ref.run))
        if local_run is None or not local_run.started or local_run.stopping:
            continue
        local_run.lease_until = max(
            local_run.lease_until, message.t0 + gang_stop.GANG_LEASE_SECONDS
        )
    return effects


def _tick(state: member_state.State, event: member_state.Tick, now: float) -> _Effects:
    effects: _Effects = []
    for local_run in state.runs.values():
        for index, task in local_run.tasks.items():
            if local_run.stopping and task.state not in gang_stop.FINAL_STATES:
                checkpoint = now < local_run.checkpoint_until
                effects.append(
                    member_state.StopTask(local_run.job, local_run.run, index, checkpoint)
                )
            elif event.heartbeat and local_run.started and task.state in ("running", "starting"):
                effects.append(
                    member_state.RenewTask(
                        local_run.job, local_run.run, index, local_run.lease_until
                    )
                )
    if event.heartbeat:
        effects += _check_worker(state)
        beat = link.Heartbeat(
            now, gang_report.digest(member_report.announced_members(state)), 0, state.epoch
        )
        effects += [member_state.SendMessage(entry_id, beat) for entry_id in sorted(state.entries)]
    return effects


def _check_worker(state: member_state.State) -> _Effects:
    """Stop all members if the worker does not respond, so that the rest of each gang stops too."""
    state.unlisted_heartbeats += 1
    if state.unlisted_heartbeats != MAX_UNLISTED_HEARTBEATS + 1:
        return []
    state.counters.silent_worker += 1
    effects: _Effects = []
    for local_run in state.runs.values():
        if (
            local_run.started
            and not local_run.stopping
            and member_report.has_active_tasks(local_run)
        ):
            effects += member_report.stop(state, local_run, False, "the worker does not answer")
    return effects


def _listed(state: member_state.State, event: member_state.WorkerListed) -> _Effects:
    """Reconcile the known members with the tasks that the worker lists."""
    first = not state.tasks_listed
    changed = first or state.worker != event.worker
    state.worker, state.tasks_listed, state.unlisted_heartbeats = event.worker, True, 0
    if event.sent_at > state.process_started_at + service_proof.PROOF_SECONDS:
        state.predecessor_starts_expired = True
    effects: _Effects = []
    seen: set[tuple[str, int, int]] = set()
    for status in event.tasks:
        seen.add((status.job, status.run, status.task))
        local_run = state.runs.get((status.job, status.run))
        task = local_run.tasks.get(status.task) if local_run and local_run.started else None
        if task is None:
            effects += _take_over(state, status, event.sent_at)
        else:
            effects += _update(state, local_run, task, status)
    for local_run in tuple(state.runs.values()):
        for index, task in local_run.tasks.items():
            gone = (local_run.job, local_run.run, index) not in seen
            if local_run.started and gone and _is_certainly_gone(task, local_run, event):
                task.state, task.detail = "stopped", "the worker does not hold it"
                effects.append(member_report.report(state, local_run, task))
    if changed:
        for entry_id in sorted(state.entries):
            effects += member_report.announce(state, entry_id)
    return effects


def _is_certainly_gone(
    task: member_state.Task,
    local_run: member_state.LocalRun,
    event: member_state.WorkerListed,
) -> bool:
    if task.state in gang_stop.FINAL_STATES:
        return False
    if task.state == "running":
        return True
    # Until its proof expires, a start may still be in flight to the worker, or to the one that
    # has replaced it.
    return event.sent_at > local_run.not_after


def _take_over(
    state: member_state.State, status: member_state.TaskStatus, sent_at: float
) -> _Effects:
    """Adopt a task that a previous agent process started."""
    key = (status.job, status.run)
    fenced = status.run <= state.fenced.get(status.job, 0)
    if fenced and status.state in gang_stop.FINAL_STATES:
        return [member_state.ForgetTask(*key, status.task)]
    local_run = state.runs.get(key)
    if local_run is None or not local_run.started:
        local_run = member_state.LocalRun(status.job, status.run, 0, {}, 0.0, started=True)
        local_run.lease_until = sent_at + max(0.0, status.lease_seconds)
        state.runs[key] = local_run
        state.counters.taken_over += 1
    cell = job.Cell(status.task, state.worker_id, status.accelerators)
    task = member_state.Task(cell, status.state, status.detail, status.result, status.checkpoint)
    local_run.tasks[status.task] = task
    if fenced:
        return member_report.stop(state, local_run, False, "the run was stopped")
    return [member_report.report(state, local_run, task)]


def _update(
    state: member_state.State,
    local_run: member_state.LocalRun,
    task: member_state.Task,
    status: member_state.TaskStatus,
) -> _Effects:
    reported = (task.state, task.checkpoint)
    task.checkpoint = status.checkpoint or task.checkpoint
    ended = status.state in gang_stop.FINAL_STATES
    if ended and task.state not in gang_stop.FINAL_STATES:
        task.state, task.result = status.state, status.result
        task.detail = status.detail or task.detail
    elif status.state == "running" and task.state == "starting":
        task.state = "running"
    if (task.state, task.checkpoint) == reported:
        return []
    return [member_report.report(state, local_run, task)]


def _start_refused(state: member_state.State, event: member_state.StartRefused) -> _Effects:
    local_run = state.runs.get((event.job, event.run))
    task = local_run.tasks.get(event.task) if local_run else None
    if local_run is None or task is None or task.state in gang_stop.FINAL_STATES:
        return []
    task.state, task.detail = "stopped", event.reason
    return [member_report.report(state, local_run, task)]
