"""Which waiting tasks start where, in order of urgency."""

from __future__ import annotations

import typing

from peridothatch_core.model import steps
from peridothatch_core.order import runtimes
from peridothatch_core.schedule import fit, last_attempt, preemption, progress, speeds, tickets
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

STARTS_PER_JOB = 40
"""Starts of one job in one cycle; a transaction of the store holds 100 entries."""


NOTE_PERIOD_MS = 2000
"""Least time between log lines that say why a step waits."""

HEADROOM = {1: 0.04}
"""Part of a service's accelerators that jobs of a priority leave free for urgent ones."""

MOST_HEADROOM = 0.1
"""The same for all lower priorities. Room that is free costs less than work that is stopped."""

FAR_PATIENCE = 0.5
"""Wait for a place at full speed, as a part of what a slower place would cost."""


def start(state: states.State, now_ms: int) -> None:
    """Order runs of all tasks that may start now and find a place."""
    protected = preemption.protected_jobs(state)
    found = fit.rooms(state, now_ms)
    for job in _in_order(state.jobs.values(), protected):
        left = STARTS_PER_JOB
        for step_progress in progress.ready_steps(job):
            waiting = progress.waiting_tasks(state, job, step_progress, now_ms)
            if not waiting:
                continue
            usable = _allowed(state, job, step_progress, found, now_ms)
            if job.steps[step_progress.step].gang:
                _start_gang(state, job, step_progress, waiting, usable, protected, now_ms)
            else:
                left -= _start_tasks(
                    state, job, step_progress, waiting[:left], usable, protected, now_ms
                )
            if job.ticketed and progress.waiting_tasks(state, job, step_progress, now_ms):
                _ask_for_tickets(state, job, step_progress, found, now_ms)


def _allowed(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    found: list[fit.Room],
    now_ms: int,
) -> list[fit.Room]:
    """Return the rooms whose workers may run a step as far as its queue's policy goes."""
    if not job.ticketed:
        return found
    key = (job.id, step_progress.occurrence, step_progress.step)
    known = state.tickets.setdefault(key, tickets.StepTickets())
    return tickets.usable_rooms(known, found, now_ms)


def _ask_for_tickets(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    found: list[fit.Room],
    now_ms: int,
) -> None:
    key = (job.id, step_progress.occurrence, step_progress.step)
    step = job.steps[step_progress.step]
    suited = [room for room in found if fit.takes(room, step, job.service)]
    asked = tickets.request(state, key, suited, now_ms)
    if asked is not None:
        state.ticket_requests.append(asked)
        detail = f"for {len(asked.workers)} workers"
        state.events.append(states.Event("asking for tickets", job.id, detail=detail))


def _in_order(jobs: Iterable[steps.Job], protected: set[str]) -> list[steps.Job]:
    """Return the jobs that may start something, the most urgent first."""
    waiting = [job for job in jobs if job.state not in steps.FINAL_STATES]
    return sorted(
        waiting, key=lambda job: (job.id not in protected, job.priority, job.submitted_ms, job.id)
    )


def _start_gang(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    waiting: list[int],
    found: list[fit.Room],
    protected: set[str],
    now_ms: int,
) -> None:
    step = job.steps[step_progress.step]
    if len(waiting) < step.count:
        return
    if _allowance(state, job, step, found) < step.count:
        _note_waiting(state, job, step_progress, len(waiting), found, now_ms)
        return
    avoid = _avoided(state, job, step_progress, now_ms)
    *better, found = last_attempt.choices(state, job, step_progress, 0, found, avoid, now_ms)
    for rooms in better:
        groups = fit.near_groups(step, job.service, rooms) or fit.any_groups(rooms)
        chosen = fit.place_gang(step, job.service, groups, avoid)
        if chosen is not None:
            _order_gang(state, job, step_progress, waiting, chosen, now_ms)
            return
    near = fit.near_groups(step, job.service, found)
    chosen = fit.place_gang(step, job.service, near, avoid)
    plan = None
    if chosen is None:
        plan = _plan(state, job, step_progress, step.count, near, avoid, protected, now_ms)
        if _stop_for(state, job, step, plan, protected, now_ms):
            return
    if chosen is None and _may_be_far(state, job, step_progress, near, protected, now_ms):
        chosen = fit.place_gang(step, job.service, fit.any_groups(found), avoid)
        if chosen is None:
            suited = [room for room in found if fit.takes(room, step, job.service)]
            anywhere = _plan(
                state, job, step_progress, step.count, [suited], avoid, protected, now_ms
            )
            if _stop_for(state, job, step, anywhere, protected, now_ms):
                return
            plan = plan or anywhere
    if chosen is None:
        if plan is not None:
            preemption.keep_room(step, plan)
        _note_waiting(state, job, step_progress, len(waiting), found, now_ms)
        return
    _order_gang(state, job, step_progress, waiting, chosen, now_ms)


def _order_gang(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    waiting: list[int],
    chosen: list[fit.Room],
    now_ms: int,
) -> None:
    step_progress.attempts[0] += 1
    for index, room in zip(waiting, chosen, strict=True):
        _order(state, job, step_progress, index, step_progress.attempts[0], room, now_ms)


def _start_tasks(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    waiting: list[int],
    found: list[fit.Room],
    protected: set[str],
    now_ms: int,
) -> int:
    """Start the tasks that fit; return how many were started."""
    step = job.steps[step_progress.step]
    on_node: dict[str, int] = {}
    for run_ in step_progress.runs:
        on_node[run_.node] = on_node.get(run_.node, 0) + 1
    avoid = _avoided(state, job, step_progress, now_ms)
    near = fit.near_groups(step, job.service, found)
    usable = found
    if not _may_be_far(state, job, step_progress, near, protected, now_ms):
        usable = near[0]
    allowed = _allowance(state, job, step, found)
    if allowed < len(waiting):
        _note_waiting(state, job, step_progress, len(waiting) - allowed, found, now_ms)
    waiting = waiting[:allowed]
    # Tasks that may have to wait for a sound worker must not hold the others up.
    waiting.sort(key=lambda index: last_attempt.is_last(job, step_progress, index))
    for position, index in enumerate(waiting):
        tiers = last_attempt.choices(state, job, step_progress, index, usable, avoid, now_ms)
        placed = (fit.place_one(step, job.service, rooms, on_node, avoid) for rooms in tiers)
        room = next((room for room in placed if room is not None), None)
        if room is None:
            rest = len(waiting) - position
            if tiers[-1] is not usable:
                _note_waiting(state, job, step_progress, rest, found, now_ms)
                return position
            suited = [room for room in usable if fit.takes(room, step, job.service)]
            plan = _plan(state, job, step_progress, rest, [suited], avoid, protected, now_ms)
            if plan is not None and not _stop_for(state, job, step, plan, protected, now_ms):
                preemption.keep_room(step, plan)
            _note_waiting(state, job, step_progress, rest, found, now_ms)
            return position
        on_node[room.agent.node] = on_node.get(room.agent.node, 0) + 1
        step_progress.attempts[index] += 1
        _order(state, job, step_progress, index, step_progress.attempts[index], room, now_ms)
    return len(waiting)


def _allowance(
    state: states.State, job: steps.Job, step: steps.Step, found: list[fit.Room]
) -> int:
    """Return how many tasks a step may start without taking the room left for urgent jobs."""
    needed = step.demand.accelerators
    queues = state.desired.queues if state.desired else ()
    urgent = any(
        queue.service == job.service and queue.priority == preemption.URGENT_PRIORITY
        for queue in queues
    )
    if job.priority == preemption.URGENT_PRIORITY or not needed or not urgent:
        return step.count
    rooms = [room for room in found if room.worker.service == job.service]
    total = sum(room.worker.capacity.accelerators for room in rooms)
    kept = int(HEADROOM.get(job.priority, MOST_HEADROOM) * total)
    # A gang that needs nearly everything must be able to start some time.
    kept = max(0, min(kept, total - needed * (step.count if step.gang else 1)))
    free = sum(room.free[2] for room in rooms)
    return max(0, (free - kept) // needed)


def _note_waiting(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    count: int,
    found: list[fit.Room],
    now_ms: int,
) -> None:
    """Log now and then why tasks wait, so that a late job can be explained."""
    key = (job.id, step_progress.occurrence, step_progress.step)
    if now_ms - state.noted_at.get(key, -NOTE_PERIOD_MS) < NOTE_PERIOD_MS:
        return
    state.noted_at[key] = now_ms
    free = sum(room.free[2] for room in found)
    step = job.steps[step_progress.step]
    detail = (
        f"{count} tasks of step {step_progress.step} need {step.demand.accelerators} accelerators "
        f"each; {free} are free on {len(found)} workers; affinity {step.affinity or 'none'}, "
        f"gang {step.gang}, one rack {step.same_rack}"
    )
    state.events.append(states.Event("waiting", job.id, detail=detail))


def _plan(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    count: int,
    groups: list[list[fit.Room]],
    avoid: set[str],
    protected: set[str],
    now_ms: int,
) -> preemption.Plan | None:
    """Return a plan for sound workers, or for any where those cannot or must not make room."""
    step = job.steps[step_progress.step]
    sound = [[room for room in group if room.agent.node not in avoid] for group in groups]
    first = None
    for choice in (sound, groups) if avoid else (groups,):
        found = preemption.plan(state, job, step_progress, count, choice, protected, now_ms)
        if found is not None and preemption.bearable(state, job, step, found, protected):
            return found
        first = first or found
    return first


def _stop_for(
    state: states.State,
    job: steps.Job,
    step: steps.Step,
    plan: preemption.Plan | None,
    protected: set[str],
    now_ms: int,
) -> bool:
    """Carry a plan out if its loss is bearable; return whether the tasks will fit soon."""
    if plan is None or not preemption.bearable(state, job, step, plan, protected):
        return False
    if plan.victims and states.awaits_agents(state, now_ms):
        return False
    preemption.carry_out(state, job, step, plan, protected)
    return True


def _may_be_far(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    near: list[list[fit.Room]],
    protected: set[str],
    now_ms: int,
) -> bool:
    """Tell whether a step may run where it is slower.

    It waits for a place at full speed as long as that is likely to end earlier. A guaranteed
    job begins at once wherever it can.
    """
    if not near or job.id in protected:
        return True
    step = job.steps[step_progress.step]
    key = (job.id, step_progress.occurrence, step_progress.step)
    since = state.locality_wait_since.setdefault(key, now_ms)
    seconds = runtimes.estimate(
        state.runtimes, job.customer, job.queue, step.estimate_ms / 1000.0, quantile=0.5
    )
    patience = FAR_PATIENCE * (state.limits.remote_factor - 1.0) * seconds
    return now_ms - since >= 1000.0 * patience


def _avoided(
    state: states.State, job: steps.Job, step_progress: steps.StepProgress, now_ms: int
) -> set[str]:
    """Return the nodes that a step uses last.

    The step has failed there, or any other and nothing succeeded since, or the worker is slow;
    urgent jobs, whose objectives are tight, also leave workers of a slower kind to others.
    """
    own = state.failed_nodes.get((job.id, step_progress.occurrence, step_progress.step), set())
    urgent = job.priority == preemption.URGENT_PRIORITY
    slow = speeds.avoided_nodes(state, now_ms, lasting=urgent)
    return own | state.health.by_worker.keys() | slow


def _order(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    index: int,
    attempt: int,
    room: fit.Room,
    now_ms: int,
) -> None:
    step = job.steps[step_progress.step]
    task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, index)
    if step.target_ms and room.fills:
        _stop_filling(state, room, task)
    fit.occupy(room, step)
    slot = steps.slot(step, index)
    state.cautious_since.pop((job.id, step_progress.occurrence, step_progress.step, slot), None)
    if job.state is steps.JobState.QUEUED:
        job.state = steps.JobState.RUNNING
    known = state.tickets.get((job.id, step_progress.occurrence, step_progress.step))
    order = steps.Order(
        job=job.id,
        task=task,
        attempt=attempt,
        instance=room.worker.instance,
        started_ms=room.worker.started_ms,
        start_by_ms=now_ms + states.START_WINDOW_MS,
        checkpoint=step_progress.saved[steps.slot(step, index)],
        checkpointing=step.checkpointing,
        ticket=tickets.ticket(known, room.worker.instance, now_ms) if known else "",
    )
    states.open_run(
        state,
        job,
        step_progress,
        steps.Run(index, attempt, room.agent.node, room.agent.lapses, now_ms),
        order,
    )


def _stop_filling(state: states.State, room: fit.Room, task: str) -> None:
    """Stop the filling tasks beside which a task with a latency target is about to run."""
    for job, step_progress, run_ in list(state.runs.get(room.agent.node, ())):
        if job.steps[step_progress.step].fills:
            reason = f"it would disturb the serving task {task}"
            states.stop_run(state, job, step_progress, run_, reason)
