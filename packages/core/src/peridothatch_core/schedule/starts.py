"""Ordering of runs: which waiting tasks start on which workers, by urgency of their jobs."""

from __future__ import annotations

from peridothatch_core.model import steps
from peridothatch_core.schedule import (
    expected,
    fit,
    guaranteed_wait,
    last_attempt,
    pacing,
    preemption,
    progress,
    reservations,
    room,
    speed_tiers,
    speeds,
    tickets,
    turns,
    wait_log,
    write_limits,
)
from peridothatch_core.schedule import state as states

MAX_STARTS_PER_JOB = 40
"""Maximum number of starts of one job in one cycle.

They are written in one transaction, and the store limits a transaction to 100 entries.
"""

HEADROOM_BY_PRIORITY = {1: 0.04}
"""Share of a service's accelerators that jobs of each priority leave free for urgent jobs."""

DEFAULT_HEADROOM = 0.1
"""Headroom left by jobs of all lower priorities.

Idle accelerators cost less than the work that would be lost by stopping runs.
"""

LOCALITY_WAIT_SHARE = 0.5
"""Maximum wait for workers where a step runs at full speed.

Given as a share of the time that the step would lose by running elsewhere.
"""


def order_runs(state: states.State, now_ms: int) -> None:
    """Order runs of all tasks that may start now and fit on a worker.

    Nothing is ordered while it is not known which data centres are out of service.
    """
    if state.evacuated is None:
        return
    protected = preemption.protected_jobs(state)
    guaranteed_wait.observe(state, protected, preemption.urgent_demand(state), now_ms)
    candidates = fit.available_workers(state, now_ms)
    state.nodes_without_claim = pacing.nodes_without_claim(state)
    state.outlooks.clear()
    state.is_paced = False
    reservations.apply_guaranteed(state, candidates, protected, now_ms)
    others_applied = False
    for detail in speed_tiers.update(state, now_ms):
        state.events.append(states.Event("speed tiers", "", detail=detail))
    for job in turns.by_urgency(state, protected, now_ms):
        if job.id not in protected and not others_applied:
            others_applied = True
            reservations.apply_others(state, candidates, protected, now_ms)
        starts_left = MAX_STARTS_PER_JOB
        for step_progress in progress.ready_steps(job):
            waiting = progress.waiting_tasks(state, job, step_progress, now_ms)
            if not waiting:
                continue
            new_runs = write_limits.max_new_runs(state, job)
            step = job.steps[step_progress.step]
            if step.gang and len(waiting) == step.count > new_runs:
                # Later steps wait as well, because their runs could keep the gang out for good.
                break
            permitted = _ticketed_candidates(state, job, step_progress, candidates, now_ms)
            if step.gang:
                _start_gang(state, job, step_progress, waiting, permitted, protected, now_ms)
            else:
                starts_left -= _start_tasks(
                    state,
                    job,
                    step_progress,
                    waiting[: min(starts_left, new_runs)],
                    permitted,
                    protected,
                    now_ms,
                )
            if job.ticketed and progress.waiting_tasks(state, job, step_progress, now_ms):
                _request_tickets(state, job, step_progress, candidates, now_ms)


def _ticketed_candidates(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    candidates: list[fit.Candidate],
    now_ms: int,
) -> list[fit.Candidate]:
    """Return the workers on which the policy of the job's queue permits the step."""
    if not job.ticketed:
        return candidates
    key = (job.id, step_progress.occurrence, step_progress.step)
    step_tickets = state.tickets.setdefault(key, tickets.StepTickets())
    return tickets.candidates_with_ticket(step_tickets, candidates, now_ms)


def _request_tickets(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    candidates: list[fit.Candidate],
    now_ms: int,
) -> None:
    key = (job.id, step_progress.occurrence, step_progress.step)
    step = job.steps[step_progress.step]
    eligible = [
        candidate for candidate in candidates if fit.is_eligible(candidate, step, job.service)
    ]
    request = tickets.next_request(state, key, eligible, now_ms)
    if request is not None:
        state.ticket_requests.append(request)
        detail = f"for {len(request.workers)} workers"
        state.events.append(states.Event("asking for tickets", job.id, detail=detail))


def _start_gang(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    waiting: list[int],
    candidates: list[fit.Candidate],
    protected: set[str],
    now_ms: int,
) -> None:
    step = job.steps[step_progress.step]
    if len(waiting) < step.count:
        return
    if _max_starts(state, job, step, candidates) < step.count:
        wait_log.log_waiting(state, job, step_progress, len(waiting), candidates, now_ms)
        return
    avoided = _avoided_nodes(state, job, step_progress, now_ms)
    being_freed = reservations.release(state, job, step_progress)
    *preferred, candidates = last_attempt.candidate_tiers(
        state, job, step_progress, 0, candidates, avoided, now_ms
    )
    for tier in preferred:
        groups = fit.full_speed_groups(step, job.service, tier) or fit.fallback_groups(tier)
        chosen = _place_gang(state, job, step, groups, avoided)
        if chosen is not None:
            _order_gang(state, job, step_progress, waiting, chosen, now_ms)
            return
    full_speed = fit.full_speed_groups(step, job.service, candidates)
    chosen = _place_gang(state, job, step, full_speed, avoided)
    if chosen is None and reservations.are_free(step, being_freed, step.count):
        chosen = being_freed
    if chosen is None and reservations.keep(state, job, step_progress, being_freed, step.count):
        wait_log.log_waiting(state, job, step_progress, step.count, candidates, now_ms)
        return
    if chosen is None:
        chosen = _make_room_for_gang(
            state, job, step_progress, full_speed, candidates, avoided, protected, now_ms
        )
    if chosen is not None:
        _order_gang(state, job, step_progress, waiting, chosen, now_ms)


def _make_room_for_gang(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    full_speed: list[list[fit.Candidate]],
    candidates: list[fit.Candidate],
    avoided: set[str],
    protected: set[str],
    now_ms: int,
) -> list[fit.Candidate] | None:
    """Preempt other work for a gang, or keep the room that it will get.

    Returns
    -------
    list of Candidate or None
        Workers for the gang where it runs more slowly, if it need not wait for full speed.
    """
    step = job.steps[step_progress.step]
    plan = room.find_plan(
        state, job, step_progress, step.count, full_speed, avoided, protected, now_ms
    )
    if room.free(state, job, step_progress, plan, protected, now_ms):
        return None
    if _locality_wait_is_over(state, job, step_progress, full_speed, protected, now_ms):
        chosen = _place_gang(state, job, step, fit.fallback_groups(candidates), avoided)
        if chosen is not None:
            return chosen
        eligible = [item for item in candidates if fit.is_eligible(item, step, job.service)]
        anywhere = room.find_plan(
            state, job, step_progress, step.count, [eligible], avoided, protected, now_ms
        )
        if room.free(state, job, step_progress, anywhere, protected, now_ms):
            return None
        plan = plan or anywhere
    if plan is not None:
        preemption.reserve(step, plan)
    wait_log.log_waiting(state, job, step_progress, step.count, candidates, now_ms)
    return None


def _place_gang(
    state: states.State,
    job: steps.Job,
    step: steps.Step,
    groups: list[list[fit.Candidate]],
    avoided: set[str],
) -> list[fit.Candidate] | None:
    """Return a worker for each member of a gang, on workers of one speed if possible."""
    preferred = speed_tiers.preference(state.speed_tiers.by_service, job)
    narrowed = speed_tiers.gang_groups(groups, preferred, avoided)
    return fit.place_gang(step, job.service, narrowed, avoided, speed_tiers.gang_rank(preferred))


def _order_gang(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    waiting: list[int],
    chosen: list[fit.Candidate],
    now_ms: int,
) -> None:
    if not pacing.may_order(state, job, {candidate.agent.node for candidate in chosen}):
        # The gang keeps its workers, so that smaller tasks do not take them meanwhile.
        preemption.reserve(job.steps[step_progress.step], preemption.Plan(targets=chosen))
        wait_log.log_paced(state, job, step_progress, now_ms)
        return
    step_progress.attempts[0] += 1
    for index, candidate in zip(waiting, chosen, strict=True):
        _order_run(state, job, step_progress, index, step_progress.attempts[0], candidate, now_ms)


def _start_tasks(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    waiting: list[int],
    candidates: list[fit.Candidate],
    protected: set[str],
    now_ms: int,
) -> int:
    """Order runs of the tasks that fit; return their number."""
    step = job.steps[step_progress.step]
    tasks_on_node: dict[str, int] = {}
    for run_ in step_progress.runs:
        tasks_on_node[run_.node] = tasks_on_node.get(run_.node, 0) + 1
    avoided = _avoided_nodes(state, job, step_progress, now_ms)
    being_freed = reservations.release(state, job, step_progress)
    preferred = speed_tiers.preference(state.speed_tiers.by_service, job)
    rank = speed_tiers.task_rank(preferred, step, tasks_on_node)
    full_speed = fit.full_speed_groups(step, job.service, candidates)
    usable = candidates
    if not _locality_wait_is_over(state, job, step_progress, full_speed, protected, now_ms):
        usable = full_speed[0]
    allowed = _max_starts(state, job, step, candidates)
    if allowed < len(waiting):
        wait_log.log_waiting(state, job, step_progress, len(waiting) - allowed, candidates, now_ms)
    waiting = waiting[:allowed]
    # A last attempt may have to wait for a healthy worker, which must not delay other tasks.
    waiting.sort(key=lambda index: last_attempt.is_last(job, step_progress, index))
    for position, index in enumerate(waiting):
        tiers = last_attempt.candidate_tiers(
            state, job, step_progress, index, usable, avoided, now_ms
        )
        placed = (
            fit.place_one(step, job.service, tier, tasks_on_node, avoided, rank) for tier in tiers
        )
        candidate = next((candidate for candidate in placed if candidate is not None), None)
        if candidate is None:
            unplaced = len(waiting) - position
            urgent = job.priority == preemption.URGENT_PRIORITY
            if tiers[-1] is not usable and not urgent:
                wait_log.log_waiting(state, job, step_progress, unplaced, candidates, now_ms)
                return position
            # Room that is free already and was not chosen is of no use for this task.
            is_unusable = reservations.are_free(step, being_freed, 1)
            if is_unusable or not reservations.keep(
                state, job, step_progress, being_freed, unplaced
            ):
                room.make(
                    state, job, step_progress, unplaced, tiers[-1], avoided, protected, now_ms
                )
            wait_log.log_waiting(state, job, step_progress, unplaced, candidates, now_ms)
            return position
        if not pacing.may_order(state, job, {candidate.agent.node}):
            wait_log.log_paced(state, job, step_progress, now_ms)
            return position
        tasks_on_node[candidate.agent.node] = tasks_on_node.get(candidate.agent.node, 0) + 1
        step_progress.attempts[index] += 1
        _order_run(
            state, job, step_progress, index, step_progress.attempts[index], candidate, now_ms
        )
    return len(waiting)


def _max_starts(
    state: states.State, job: steps.Job, step: steps.Step, candidates: list[fit.Candidate]
) -> int:
    """Return how many tasks a step may start without using the headroom for urgent jobs."""
    needed = step.demand.accelerators
    queues = state.desired.queues if state.desired else ()
    urgent = any(
        queue.service == job.service and queue.priority == preemption.URGENT_PRIORITY
        for queue in queues
    )
    if job.priority == preemption.URGENT_PRIORITY or not needed or not urgent:
        return step.count
    same_service = [
        candidate for candidate in candidates if candidate.worker.service == job.service
    ]
    total = sum(candidate.worker.capacity.accelerators for candidate in same_service)
    headroom = int(HEADROOM_BY_PRIORITY.get(job.priority, DEFAULT_HEADROOM) * total)
    # A gang that needs nearly all accelerators must still be able to start eventually.
    headroom = max(0, min(headroom, total - needed * (step.count if step.gang else 1)))
    free = sum(candidate.free[2] for candidate in same_service)
    return max(0, (free - headroom) // needed)


def _locality_wait_is_over(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    full_speed: list[list[fit.Candidate]],
    protected: set[str],
    now_ms: int,
) -> bool:
    """Return whether a step may run on workers where it is slower.

    As in delay scheduling, a step waits for workers where it runs at full speed for as long as it
    is then likely to end earlier. Jobs within their customer's guarantee do not wait.
    """
    if not full_speed or job.id in protected:
        return True
    step = job.steps[step_progress.step]
    key = (job.id, step_progress.occurrence, step_progress.step)
    since = state.locality_wait_since.setdefault(key, now_ms)
    seconds = expected.run_seconds(state, job, step)
    max_wait = LOCALITY_WAIT_SHARE * (state.limits.remote_factor - 1.0) * seconds
    return now_ms - since >= 1000.0 * max_wait


def _avoided_nodes(
    state: states.State, job: steps.Job, step_progress: steps.StepProgress, now_ms: int
) -> set[str]:
    """Return the nodes that a step uses only if no other node fits.

    These are nodes on which a task of the step has failed, nodes on which any job has failed and
    none has succeeded since, and nodes with slow workers. Urgent jobs, whose objectives are tight,
    also avoid workers of a slower kind, unless the speed tiers order the workers.
    """
    failed = state.failed_nodes.get((job.id, step_progress.occurrence, step_progress.step), set())
    urgent = job.priority == preemption.URGENT_PRIORITY
    has_tiers = job.service in state.speed_tiers.by_service
    slow = speeds.avoided_nodes(state, now_ms, include_slower_kinds=urgent and not has_tiers)
    return failed | state.health.by_worker.keys() | slow


def _order_run(
    state: states.State,
    job: steps.Job,
    step_progress: steps.StepProgress,
    index: int,
    attempt: int,
    candidate: fit.Candidate,
    now_ms: int,
) -> None:
    step = job.steps[step_progress.step]
    task = steps.task_name(job.id, step_progress.occurrence, step_progress.step, index)
    if step.target_ms and candidate.has_filling_tasks:
        _stop_filling_tasks(state, candidate, task)
    fit.assign(candidate, step)
    slot = steps.progress_index(step, index)
    state.attempt_wait_since.pop(
        (job.id, step_progress.occurrence, step_progress.step, slot), None
    )
    if job.state is steps.JobState.QUEUED:
        job.state = steps.JobState.RUNNING
    step_tickets = state.tickets.get((job.id, step_progress.occurrence, step_progress.step))
    order = steps.Order(
        job=job.id,
        task=task,
        attempt=attempt,
        instance=candidate.worker.instance,
        started_ms=candidate.worker.started_ms,
        start_by_ms=now_ms + states.START_WINDOW_MS,
        checkpoint=step_progress.saved[steps.progress_index(step, index)],
        checkpointing=step.checkpointing,
        ticket=tickets.valid_ticket(step_tickets, candidate.worker, now_ms)
        if step_tickets
        else "",
    )
    state.nodes_without_claim.add(candidate.agent.node)
    states.open_run(
        state,
        job,
        step_progress,
        steps.Run(index, attempt, candidate.agent.node, candidate.agent.lapses, now_ms),
        order,
    )


def _stop_filling_tasks(state: states.State, candidate: fit.Candidate, task: str) -> None:
    """Stop filling tasks on a worker that is about to run a task with a latency target."""
    for job, step_progress, run_ in list(state.runs.get(candidate.agent.node, ())):
        if job.steps[step_progress.step].fills:
            reason = f"filling task would delay task {task}, which has a latency target"
            states.stop_run(state, job, step_progress, run_, reason)
