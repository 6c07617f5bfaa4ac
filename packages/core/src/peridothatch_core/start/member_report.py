"""Reports on members and the stopping of them, agent side."""

from __future__ import annotations

from peridothatch_core.message import link
from peridothatch_core.start import gang_stop, member_state

MAX_FENCED_JOBS = 20_000

_Effects = list[member_state.Effect]


def members(state: member_state.State) -> tuple[link.Member, ...]:
    """Return all members as they are announced."""
    return tuple(
        member_of(held, task) for held in state.held.values() for task in held.tasks.values()
    )


def member_of(held: member_state.Held, task: member_state.Task) -> link.Member:
    """Return a task as it is announced."""
    return link.Member(
        held.job, held.run, task.cell, task.state, task.detail, task.result, task.checkpoint
    )


def active(held: member_state.Held) -> bool:
    """Return whether a task of the run may still be on the worker."""
    return any(task.state not in gang_stop.ENDED for task in held.tasks.values())


def report(
    state: member_state.State, held: member_state.Held, task: member_state.Task
) -> member_state.Tell:
    """Tell the planner the state of a task."""
    message = link.MemberState(member_of(held, task), state.worker_id)
    return member_state.Tell(state.planner, message)


def stop(
    state: member_state.State, held: member_state.Held, checkpoint: bool, detail: str
) -> _Effects:
    """Stop the tasks of a run and never start it again."""
    held.stopping = True
    fence(state, held.job, held.run)
    effects: _Effects = []
    for index, task in held.tasks.items():
        if task.state not in gang_stop.ENDED:
            if task.state != "stopping":
                task.state, task.detail = "stopping", detail
            effects.append(member_state.StopTask(held.job, held.run, index, checkpoint))
        effects.append(report(state, held, task))
    return effects


def fence(state: member_state.State, job_id: str, run: int) -> None:
    """Refuse this run and earlier ones of the job from now on."""
    state.fenced[job_id] = max(run, state.fenced.pop(job_id, 0))
    if len(state.fenced) > MAX_FENCED_JOBS:
        # The oldest entries lie far behind any message that may still be on its way.
        del state.fenced[next(iter(state.fenced))]


def announce(state: member_state.State, entry_id: str) -> _Effects:
    """Tell an entry what the worker offers and holds."""
    if state.worker is None or not state.listed:
        return []
    return [member_state.Tell(entry_id, link.AnnounceWorker(state.worker, members(state)))]
