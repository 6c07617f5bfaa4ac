"""Agent-side reporting, stopping and fencing of gang members."""

from __future__ import annotations

from peridothatch_core.message import link
from peridothatch_core.start import gang_stop, member_state

MAX_FENCED_JOBS = 20_000

_Effects = list[member_state.Effect]


def announced_members(state: member_state.State) -> tuple[link.Member, ...]:
    """Return all members as ``link.Member``, for announcements and digests."""
    return tuple(
        to_member(local_run, task)
        for local_run in state.runs.values()
        for task in local_run.tasks.values()
    )


def to_member(local_run: member_state.LocalRun, task: member_state.Task) -> link.Member:
    """Return a task as ``link.Member``."""
    return link.Member(
        local_run.job,
        local_run.run,
        task.cell,
        task.state,
        task.detail,
        task.result,
        task.checkpoint,
    )


def has_active_tasks(local_run: member_state.LocalRun) -> bool:
    """Return whether any task of the run may still be running on the worker."""
    return any(task.state not in gang_stop.FINAL_STATES for task in local_run.tasks.values())


def report(
    state: member_state.State, local_run: member_state.LocalRun, task: member_state.Task
) -> member_state.SendMessage:
    """Return the message that reports the state of a task to the planner."""
    message = link.MemberState(to_member(local_run, task), state.worker_id)
    return member_state.SendMessage(state.planner, message)


def stop(
    state: member_state.State, local_run: member_state.LocalRun, checkpoint: bool, detail: str
) -> _Effects:
    """Stop the tasks of a run and fence it against later starts."""
    local_run.stopping = True
    fence(state, local_run.job, local_run.run)
    effects: _Effects = []
    for index, task in local_run.tasks.items():
        if task.state not in gang_stop.FINAL_STATES:
            if task.state != "stopping":
                task.state, task.detail = "stopping", detail
            effects.append(member_state.StopTask(local_run.job, local_run.run, index, checkpoint))
        effects.append(report(state, local_run, task))
    return effects


def fence(state: member_state.State, job_id: str, run: int) -> None:
    """Refuse starts of this run and of earlier runs of the job from now on."""
    state.fenced[job_id] = max(run, state.fenced.pop(job_id, 0))
    if len(state.fenced) > MAX_FENCED_JOBS:
        # Entries are in order of last update, so the one evicted is far older than any message
        # that can still be in flight.
        del state.fenced[next(iter(state.fenced))]


def announce(state: member_state.State, entry_id: str) -> _Effects:
    """Announce the worker and its members to an entry, once the worker has listed its tasks."""
    if state.worker is None or not state.tasks_listed:
        return []
    return [
        member_state.SendMessage(
            entry_id, link.AnnounceWorker(state.worker, announced_members(state))
        )
    ]
