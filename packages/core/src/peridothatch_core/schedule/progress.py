"""Progress of jobs: opening of occurrences, ends of runs, cancellations and final states."""

from __future__ import annotations

import typing

from peridothatch_core.model import steps, tables
from peridothatch_core.place import ejection
from peridothatch_core.schedule import expected, rejection, tickets, unreported
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

FAILURE_DELAYS_MS = (200, 1500, 4000)
"""Retry delays after the first, second and each later failed run of a task.

Faulty workers fail every run immediately. The delays leave time to detect them before all attempts
of a task are used up.
"""

RETRY_DELAY_MS = {
    steps.EndKind.REJECTED: 200,
    steps.EndKind.ALONE: 300,
    steps.EndKind.BROKEN: 0,
    steps.EndKind.LOST: 0,
    steps.EndKind.WITHDRAWN: 0,
    steps.EndKind.LAPSED: 0,
    steps.EndKind.STOPPED: 0,
}
"""Retry delay after a run that ended for another reason than a failure.

A rejection is delayed because it may repeat until its cause has passed.
"""

WORKER_FAULT_KINDS = frozenset({steps.EndKind.FAILED})
"""Kinds of ends that count as failures of the task and its worker."""


def open_occurrences(state: states.State, job: steps.Job, unix_ms: int) -> None:
    """Create the step progress of each occurrence that is due."""
    times = job.timetable.times if job.timetable else 1
    while job.opened < times and due_unix_ms(job, job.opened) <= unix_ms:
        for step in range(len(job.steps)):
            job.progress.append(_initial_progress(job, job.opened, step))
        job.opened += 1
        states.pending_change(state, job.id).save_job = True


def due_unix_ms(job: steps.Job, occurrence: int) -> int:
    """Return the Unix time at which an occurrence is due; 0 for a job without a timetable."""
    if job.timetable is None:
        return 0
    return job.timetable.first_unix_ms + occurrence * job.timetable.period_ms


def ready_steps(job: steps.Job) -> Iterator[steps.StepProgress]:
    """Yield the incomplete steps whose predecessors are complete."""
    if job.state in steps.FINAL_STATES:
        return
    done = {
        (progress.occurrence, progress.step)
        for progress in job.progress
        if step_done(job, progress)
    }
    for progress in job.progress:
        if (progress.occurrence, progress.step) in done:
            continue
        predecessors = job.steps[progress.step].after
        if all((progress.occurrence, earlier) in done for earlier in predecessors):
            yield progress


def step_done(job: steps.Job, progress: steps.StepProgress) -> bool:
    """Return whether all tasks of a step have ended as done."""
    return len(progress.done) >= job.steps[progress.step].count


def waiting_tasks(
    state: states.State, job: steps.Job, progress: steps.StepProgress, now_ms: int
) -> list[int]:
    """Return the indices of the tasks of a ready step that may be started now."""
    step = job.steps[progress.step]
    if step.gang and (progress.runs or unreported.may_use_up_attempts(job, progress)):
        return []
    running_or_done = {run.index for run in progress.runs} | set(progress.done)
    waiting = []
    for index in range(step.count):
        key = (job.id, progress.occurrence, progress.step, steps.progress_index(step, index))
        if index not in running_or_done and state.retry_at.get(key, 0) <= now_ms:
            waiting.append(index)
    return waiting


def process_ends(state: states.State, now_ms: int) -> None:
    """Process the ends that agents have recorded.

    All ended runs are closed before the effects of any end are applied, so that no stop is sent to
    a gang member whose own end is already known.
    """
    closed = []
    for key, end in list(state.ends.items()):
        parsed = steps.parse_task_name(end.task)
        if parsed is not None and rejection.is_suspended(state, parsed[0]):
            continue
        del state.ends[key]
        if _apply_late_end(state, end, now_ms):
            continue
        closed_run = _close_run(state, end)
        if closed_run is not None:
            closed.append((*closed_run, end))
    for job, progress, run, end in closed:
        apply_end(state, job, progress, run, end.kind, end.saved, end.reason, now_ms)


def _close_run(
    state: states.State, end: steps.End
) -> tuple[steps.Job, steps.StepProgress, steps.Run] | None:
    """Close the run that has ended and return it, or return ``None`` if no such run is open.

    The row of an end without an open run is deleted as well. Usually the run has been closed for
    another reason, or its end is read a second time.
    """
    parsed = steps.parse_task_name(end.task)
    job_id = parsed[0] if parsed else end.task
    states.pending_change(state, job_id).deferred_deletes.append(
        tables.end_key(end.task, end.attempt)
    )
    closed_run = _find_run(state, end, _open_runs)
    if closed_run is None:
        state.events.append(
            states.Event("unmatched end", job_id, end.task, end.attempt, end.node, str(end.kind))
        )
        return None
    job, progress, run = closed_run
    states.close_run(state, job, progress, run)
    if end.kind not in (steps.EndKind.REJECTED, steps.EndKind.ALONE):
        job.begun = True
    return job, progress, run


def _apply_late_end(state: states.State, end: steps.End, now_ms: int) -> bool:
    """Apply the end of a run that was closed before; return whether it is one.

    The gang may have started again. A failure still counts as an attempt, and other ends change
    nothing: the checkpoint was taken from the agent's last report.
    """
    found = _find_run(state, end, _unreported_runs)
    if found is None:
        return False
    job, progress, run = found
    states.pending_change(state, job.id).deferred_deletes.append(
        tables.end_key(end.task, end.attempt)
    )
    unreported.forget(state, job, progress, run)
    state.events.append(
        states.Event("late end", job.id, end.task, end.attempt, end.node, str(end.kind))
    )
    if job.state in steps.FINAL_STATES or step_done(job, progress):
        return True
    if end.kind in WORKER_FAULT_KINDS:
        _blame_worker(state, job, progress, run, now_ms)
        if not job.steps[progress.step].long_running:
            _count_failure(state, job, progress, run, now_ms)
    elif end.kind is steps.EndKind.DONE and not job.steps[progress.step].long_running:
        _record_done(state, job, progress, run)
        for other in list(progress.runs):
            states.stop_run(state, job, progress, other, "an earlier run of the gang has done it")
    return True


def apply_end(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    kind: steps.EndKind,
    saved: str,
    reason: str,
    now_ms: int,
) -> None:
    """Apply the effects of the end of a run that has been closed."""
    step = job.steps[progress.step]
    slot = steps.progress_index(step, run.index)
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    event = states.Event(
        f"ended {kind}",
        job.id,
        task,
        run.attempt,
        run.node,
        reason,
        now_ms - run.ordered_ms,
        expected.find_forecast(state, job, progress, run),
    )
    state.events.append(event)
    resumed = expected.is_resumed(job, progress, run)
    if saved:
        progress.saved[slot] = saved
    if job.state in steps.FINAL_STATES:
        return
    if kind is steps.EndKind.DONE and not step.long_running:
        expected.record_done(state, job, progress, run, now_ms, resumed=resumed)
        _record_done(state, job, progress, run)
        return
    if step_done(job, progress):
        return
    key = (job.id, progress.occurrence, progress.step, slot)
    if job.ticketed and kind is steps.EndKind.REJECTED:
        tickets.discard_refused(state, key[:3], run.node)
    if kind in WORKER_FAULT_KINDS:
        _record_failure(state, job, progress, run, now_ms)
    # The other members of a failed gang end as broken, which must not shorten the retry delay.
    retry_at = now_ms + _retry_delay_ms(kind, progress.failures[slot])
    state.retry_at[key] = max(retry_at, state.retry_at.get(key, 0))
    if step.gang and kind is steps.EndKind.BROKEN:
        progress.broken_attempt = max(progress.broken_attempt, run.attempt)
    if step.gang:
        # A gang cannot work without all of its members; the others only occupy resources.
        for other in list(progress.runs):
            states.stop_run(
                state, job, progress, other, f"another member of the gang ended as {kind}"
            )


def _retry_delay_ms(kind: steps.EndKind, failures: int) -> int:
    if kind is not steps.EndKind.FAILED:
        return RETRY_DELAY_MS.get(kind, 0)
    return FAILURE_DELAYS_MS[min(max(failures, 1), len(FAILURE_DELAYS_MS)) - 1]


def cancel(state: states.State, job: steps.Job, now_ms: int) -> None:
    """Cancel a job that is not final and stop its runs."""
    if job.state not in steps.FINAL_STATES:
        finish(state, job, steps.JobState.CANCELLED, "cancelled by its caller", now_ms)


def finish(
    state: states.State, job: steps.Job, final: steps.JobState, reason: str, now_ms: int
) -> None:
    """Set the final state of a job; unless it has completed, its remaining runs are stopped."""
    job.state = final
    job.reason = reason
    job.ended_ms = now_ms
    took_ms = now_ms - job.submitted_ms
    state.events.append(states.Event(str(final), job.id, detail=reason, elapsed_ms=took_ms))
    states.pending_change(state, job.id).save_job = True
    unreported.discard_job(state, job)
    for progress in job.progress:
        for run in list(progress.runs):
            if final is not steps.JobState.COMPLETED:
                states.stop_run(state, job, progress, run, f"the job is {final}")


def complete_if_done(state: states.State, job: steps.Job, now_ms: int) -> None:
    """Complete a job if all of its occurrences have been opened and are done."""
    times = job.timetable.times if job.timetable else 1
    if job.state in steps.FINAL_STATES or job.opened < times:
        return
    if all(step_done(job, progress) for progress in job.progress):
        finish(state, job, steps.JobState.COMPLETED, "", now_ms)


def _record_done(
    state: states.State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    step = job.steps[progress.step]
    if step.gang:
        progress.done = list(range(step.count))
    elif run.index not in progress.done:
        progress.done.append(run.index)
    ejection.record_success(state.health, job.id, (run.node,))
    states.pending_change(state, job.id).save_job = True


def _record_failure(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
) -> None:
    """Record a failed run, which counts as an attempt unless its gang has been counted."""
    _blame_worker(state, job, progress, run, now_ms)
    step = job.steps[progress.step]
    if step.long_running or (step.gang and progress.failed_attempt >= run.attempt):
        return
    _count_failure(state, job, progress, run, now_ms)


def _blame_worker(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
) -> None:
    ejection.record_failure(state.health, job.id, (run.node,), now_ms / 1000.0)
    failed_nodes = state.failed_nodes.setdefault(
        (job.id, progress.occurrence, progress.step), set()
    )
    failed_nodes.add(run.node)


def _count_failure(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    now_ms: int,
) -> None:
    slot = steps.progress_index(job.steps[progress.step], run.index)
    progress.failed_attempt = max(progress.failed_attempt, run.attempt)
    progress.failures[slot] += 1
    unreported.discard_attempt(state, job, progress, run.attempt)
    if progress.failures[slot] >= job.max_attempts:
        task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
        reason = f"task {task} failed {progress.failures[slot]} times"
        finish(state, job, steps.JobState.FAILED, reason, now_ms)


def _find_run(
    state: states.State,
    end: steps.End,
    runs_of: typing.Callable[[steps.StepProgress], list[steps.Run]],
) -> tuple[steps.Job, steps.StepProgress, steps.Run] | None:
    """Return the run that an end belongs to, among those that ``runs_of`` returns for its step."""
    parsed = steps.parse_task_name(end.task)
    job = state.jobs.get(parsed[0]) if parsed else None
    if parsed is None or job is None:
        return None
    _, occurrence, step, index = parsed
    for progress in job.progress:
        if (progress.occurrence, progress.step) != (occurrence, step):
            continue
        for run in runs_of(progress):
            if (run.index, run.attempt) == (index, end.attempt):
                return job, progress, run
    return None


def _open_runs(progress: steps.StepProgress) -> list[steps.Run]:
    return progress.runs


def _unreported_runs(progress: steps.StepProgress) -> list[steps.Run]:
    return progress.unreported


def _initial_progress(job: steps.Job, occurrence: int, step_index: int) -> steps.StepProgress:
    step = job.steps[step_index]
    width = 1 if step.gang else step.count
    return steps.StepProgress(
        occurrence, step_index, attempts=[0] * width, failures=[0] * width, saved=[""] * width
    )
