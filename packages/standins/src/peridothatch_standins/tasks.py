"""State and rules of a worker: tasks with leases, checkpoints and throttling.

The functions do no I/O. They return reads and writes of checkpoints as effects.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_standins import commands

# Usage and progress are sampled at this interval, so readers see them with a delay.
PROGRESS_SAMPLE_PERIOD_SECONDS = 2.0
STEPS_PER_CHUNK = 50
# Processor time per slice, divided among all active tasks of a worker.
SLICE_BUDGET_SECONDS = 0.01
# Caps the elapsed time of a slice, so that a suspension of the process is not counted as work.
MAX_ELAPSED_SECONDS = 1.0

RUNNING, SUCCEEDED, FAILED, STOPPED = "running", "succeeded", "failed", "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """Command, accelerators, lease and latest start time of a task."""

    id: str
    job: str
    run: int
    task: int
    command: tuple[str, ...]
    accelerators: tuple[int, ...]
    lease_seconds: float
    not_after_monotonic_seconds: float
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadCheckpoint:
    """Effect: read a checkpoint from the object store."""

    task: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class SaveCheckpoint:
    """Effect: write a checkpoint to the object store."""

    task: str
    key: str
    work: commands.Work


@dataclasses.dataclass(slots=True)
class Task:
    """A task that runs or has ended; ``work`` is None while its checkpoint is loading."""

    spec: Spec
    lease_until: float
    work: commands.Work | None = None
    state: str = RUNNING
    detail: str = ""
    result: str = ""
    checkpoint: str = ""
    share: float = 1.0
    stopping: bool = False
    progress: float = 0.0
    sampled_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Worker:
    """State of a worker; ``sequence`` counts task state changes and written checkpoints."""

    id: str
    incarnation: str
    accelerators: int
    cores: int
    memory_mb: int
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    ran: set[str] = dataclasses.field(default_factory=set)
    sequence: int = 0
    fail_all: bool = False
    advanced_at: float = 0.0


def start(
    worker: Worker, spec: Spec, now: float
) -> tuple[str, list[LoadCheckpoint | SaveCheckpoint]]:
    """Start a task; return the reason for a refusal (empty if none) and the effects."""
    existing = worker.tasks.get(spec.id)
    if existing is not None and existing.state == RUNNING:
        # A retried call may carry a later lease or start limit; neither changes the task.
        current = (existing.spec.job, existing.spec.run, existing.spec.task, existing.spec.command)
        requested = (spec.job, spec.run, spec.task, spec.command)
        return ("" if current == requested else "the id runs another task"), []
    if spec.id in worker.ran:
        return "the id ran before", []
    if now > spec.not_after_monotonic_seconds:
        return "the time to start has passed", []
    if any(not 0 <= index < worker.accelerators for index in spec.accelerators):
        return "no such accelerator", []
    if _accelerators_in_use(worker) & set(spec.accelerators):
        return "the accelerators are taken", []
    worker.ran.add(spec.id)
    task = worker.tasks[spec.id] = Task(spec, now + spec.lease_seconds, sampled_at=now)
    worker.sequence += 1
    if not spec.checkpoint:
        _begin(worker, task, None)
        return "", []
    key = spec.checkpoint
    # A key that ends in "/" is the prefix of a gang's checkpoints; the task index completes it.
    return "", [LoadCheckpoint(spec.id, key + str(spec.task) if key.endswith("/") else key)]


def renew(worker: Worker, ids: tuple[str, ...], lease_seconds: float, now: float) -> list[str]:
    """Renew the leases of the running tasks; return the ids that were renewed."""
    stop_expired_tasks(worker, now)
    renewed = [key for key in ids if key in worker.tasks and worker.tasks[key].state == RUNNING]
    for key in renewed:
        worker.tasks[key].lease_until = now + lease_seconds
    return renewed


def stop(worker: Worker, key: str, checkpoint: bool) -> list[LoadCheckpoint | SaveCheckpoint]:
    """Stop a task; if ``checkpoint`` is set, only once its checkpoint has been written."""
    task = worker.tasks[key]
    if task.state != RUNNING:
        return []
    if checkpoint and task.work is not None:
        task.stopping = True
        return [_save_effect(task, task.work)]
    _end(worker, task, STOPPED, "stopped on request")
    return []


def checkpoint(worker: Worker, key: str) -> list[LoadCheckpoint | SaveCheckpoint]:
    """Write a checkpoint of a task without stopping it."""
    task = worker.tasks[key]
    return (
        [_save_effect(task, task.work)] if task.state == RUNNING and task.work is not None else []
    )


def record_saved_checkpoint(worker: Worker, key: str, object_key: str) -> None:
    """Record a written checkpoint; an empty ``object_key`` means that the write failed."""
    task = worker.tasks.get(key)
    if task is None:
        return
    task.checkpoint = object_key or task.checkpoint
    worker.sequence += 1
    if task.stopping and task.state == RUNNING:
        detail = "stopped on request" if object_key else "stopped; checkpoint not written"
        _end(worker, task, STOPPED, detail)


def resume_from_checkpoint(worker: Worker, key: str, work: commands.Work | None) -> None:
    """Continue from a checkpoint, or start from the beginning if there is none."""
    task = worker.tasks.get(key)
    if task is not None and task.state == RUNNING and task.work is None:
        task.detail = "" if work else "checkpoint not found; started afresh"
        _begin(worker, task, work)


def throttle(worker: Worker, key: str, share: float) -> None:
    """Limit a task to this share of its normal processor time."""
    worker.tasks[key].share = share


def forget(worker: Worker, key: str) -> bool:
    """Remove an ended task; return False if it still runs."""
    if worker.tasks[key].state == RUNNING:
        return False
    del worker.tasks[key]
    return True


def stop_expired_tasks(worker: Worker, now: float) -> None:
    """Stop the running tasks whose lease has expired."""
    for task in worker.tasks.values():
        if task.state == RUNNING and now >= task.lease_until:
            _end(worker, task, STOPPED, "lease lapsed")


def advance(worker: Worker, now: float, clock: typing.Callable[[], float]) -> None:
    """Run one slice of each active task, after stopping those whose lease has expired."""
    stop_expired_tasks(worker, now)
    elapsed = min(now - worker.advanced_at, MAX_ELAPSED_SECONDS)
    worker.advanced_at = now
    active = [task for task in worker.tasks.values() if _can_advance(task)]
    for task in active:
        _run_slice(worker, task, elapsed, SLICE_BUDGET_SECONDS / len(active), clock)
        if now - task.sampled_at >= PROGRESS_SAMPLE_PERIOD_SECONDS and task.work is not None:
            task.sampled_at = now
            task.progress = task.work.done / task.work.total if task.work.total else 1.0


def has_running_task(worker: Worker) -> bool:
    """Return whether any task runs."""
    return any(task.state == RUNNING for task in worker.tasks.values())


def reset(worker: Worker, incarnation: str) -> None:
    """Drop all tasks and start a new incarnation, as when the VM is replaced."""
    worker.incarnation = incarnation
    worker.tasks.clear()
    worker.ran.clear()
    worker.sequence = 0


def _accelerators_in_use(worker: Worker) -> set[int]:
    tasks = (task for task in worker.tasks.values() if task.state == RUNNING)
    return {index for task in tasks for index in task.spec.accelerators}


def _can_advance(task: Task) -> bool:
    return task.state == RUNNING and task.work is not None and not task.stopping


def _begin(worker: Worker, task: Task, work: commands.Work | None) -> None:
    initial_work = work or commands.begin(task.spec.command)
    if worker.fail_all:
        initial_work = commands.Failure("the worker fails everything")
    if isinstance(initial_work, commands.Failure):
        _end(worker, task, FAILED, initial_work.detail)
    else:
        task.work = initial_work


def _run_slice(
    worker: Worker,
    task: Task,
    elapsed: float,
    budget: float,
    clock: typing.Callable[[], float],
) -> None:
    work = typing.cast("commands.Work", task.work)
    deadline = clock() + budget * task.share
    seconds = elapsed * task.share
    while not commands.finished(work) and task.share > 0:
        work = commands.advance(task.spec.command, work, STEPS_PER_CHUNK, seconds)
        seconds = 0.0
        if task.spec.command[0] == "sleep" or clock() >= deadline:
            break
    task.work = work
    if commands.finished(work):
        task.result = commands.result(work)
        _end(worker, task, SUCCEEDED, task.detail)


def _save_effect(task: Task, work: commands.Work) -> SaveCheckpoint:
    spec = task.spec
    return SaveCheckpoint(spec.id, f"checkpoints/{spec.job}/{spec.run}/{spec.task}", work)


def _end(worker: Worker, task: Task, state: str, detail: str) -> None:
    task.state, task.detail = state, detail
    if state == SUCCEEDED:
        task.progress = 1.0
    worker.sequence += 1
