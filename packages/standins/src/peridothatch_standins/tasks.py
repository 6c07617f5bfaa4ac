"""Decisions of a worker: tasks under leases, checkpoints and throttling."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_standins import commands

# Usage and progress are sampled this often, so that readers see them late.
PROGRESS_LAG_SECONDS = 2.0
STEPS_PER_CHUNK = 50
# All tasks of a worker share this much processor time in one slice.
SLICE_BUDGET_SECONDS = 0.01
# A process that was suspended does not count the time as work done.
MAX_ELAPSED_SECONDS = 1.0

RUNNING, SUCCEEDED, FAILED, STOPPED = "running", "succeeded", "failed", "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """What a task runs, and until when it may start."""

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
class Load:
    """Effect: read a checkpoint from the object store."""

    task: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Save:
    """Effect: write a checkpoint to the object store."""

    task: str
    key: str
    work: commands.Work


@dataclasses.dataclass(slots=True)
class Task:
    """A task that runs or has ended; ``work`` is None while its checkpoint is read."""

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
    """A worker; ``sequence`` counts changes of task states."""

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


def start(worker: Worker, spec: Spec, now: float) -> tuple[str, list[Load | Save]]:
    """Start a task; return why not (empty when it runs) and the effects."""
    known = worker.tasks.get(spec.id)
    if known is not None and known.state == RUNNING:
        # A repeated call may carry a later lease or start limit; neither changes the task.
        same = (known.spec.job, known.spec.run, known.spec.task, known.spec.command)
        wanted = (spec.job, spec.run, spec.task, spec.command)
        return ("" if same == wanted else "the id runs another task"), []
    if spec.id in worker.ran:
        return "the id ran before", []
    if now > spec.not_after_monotonic_seconds:
        return "the time to start has passed", []
    if any(not 0 <= index < worker.accelerators for index in spec.accelerators):
        return "no such accelerator", []
    if _taken(worker) & set(spec.accelerators):
        return "the accelerators are taken", []
    worker.ran.add(spec.id)
    task = worker.tasks[spec.id] = Task(spec, now + spec.lease_seconds, sampled_at=now)
    worker.sequence += 1
    if not spec.checkpoint:
        _begin(worker, task, None)
        return "", []
    key = spec.checkpoint
    # A key that ends in "/" names the checkpoints of a whole gang, one for each task.
    return "", [Load(spec.id, key + str(spec.task) if key.endswith("/") else key)]


def renew(worker: Worker, ids: tuple[str, ...], lease_seconds: float, now: float) -> list[str]:
    """Renew leases that have not lapsed; return the tasks that still run."""
    lapse(worker, now)
    renewed = [key for key in ids if key in worker.tasks and worker.tasks[key].state == RUNNING]
    for key in renewed:
        worker.tasks[key].lease_until = now + lease_seconds
    return renewed


def stop(worker: Worker, key: str, checkpoint: bool) -> list[Load | Save]:
    """Stop a task, after its checkpoint is written when ``checkpoint`` is set."""
    task = worker.tasks[key]
    if task.state != RUNNING:
        return []
    if checkpoint and task.work is not None:
        task.stopping = True
        return [_save(task, task.work)]
    _end(worker, task, STOPPED, "stopped on request")
    return []


def checkpoint(worker: Worker, key: str) -> list[Load | Save]:
    """Write a checkpoint of a task that goes on."""
    task = worker.tasks[key]
    return [_save(task, task.work)] if task.state == RUNNING and task.work is not None else []


def saved(worker: Worker, key: str, object_key: str) -> None:
    """Take note of a written checkpoint; an empty ``object_key`` means that writing failed."""
    task = worker.tasks.get(key)
    if task is None:
        return
    task.checkpoint = object_key or task.checkpoint
    worker.sequence += 1
    if task.stopping and task.state == RUNNING:
        detail = "stopped on request" if object_key else "stopped; checkpoint not written"
        _end(worker, task, STOPPED, detail)


def loaded(worker: Worker, key: str, work: commands.Work | None) -> None:
    """Go on from a checkpoint, or start afresh when there is none."""
    task = worker.tasks.get(key)
    if task is not None and task.state == RUNNING and task.work is None:
        task.detail = "" if work else "checkpoint not found; started afresh"
        _begin(worker, task, work)


def throttle(worker: Worker, key: str, share: float) -> None:
    """Give a task this share of its normal processor time."""
    worker.tasks[key].share = share


def forget(worker: Worker, key: str) -> bool:
    """Drop an ended task; return whether it had ended."""
    if worker.tasks[key].state == RUNNING:
        return False
    del worker.tasks[key]
    return True


def lapse(worker: Worker, now: float) -> None:
    """Stop tasks whose lease has lapsed."""
    for task in worker.tasks.values():
        if task.state == RUNNING and now >= task.lease_until:
            _end(worker, task, STOPPED, "lease lapsed")


def advance(worker: Worker, now: float, clock: typing.Callable[[], float]) -> None:
    """Run one slice of each running task; lapsed leases come first."""
    lapse(worker, now)
    elapsed = min(now - worker.advanced_at, MAX_ELAPSED_SECONDS)
    worker.advanced_at = now
    active = [task for task in worker.tasks.values() if _active(task)]
    for task in active:
        _run_slice(worker, task, elapsed, SLICE_BUDGET_SECONDS / len(active), clock)
        if now - task.sampled_at >= PROGRESS_LAG_SECONDS and task.work is not None:
            task.sampled_at = now
            task.progress = task.work.done / task.work.total if task.work.total else 1.0


def running(worker: Worker) -> bool:
    """Return whether any task runs."""
    return any(task.state == RUNNING for task in worker.tasks.values())


def restart(worker: Worker, incarnation: str) -> None:
    """Lose all tasks, as a replaced VM does."""
    worker.incarnation = incarnation
    worker.tasks.clear()
    worker.ran.clear()
    worker.sequence = 0


def _taken(worker: Worker) -> set[int]:
    tasks = (task for task in worker.tasks.values() if task.state == RUNNING)
    return {index for task in tasks for index in task.spec.accelerators}


def _active(task: Task) -> bool:
    return task.state == RUNNING and task.work is not None and not task.stopping


def _begin(worker: Worker, task: Task, work: commands.Work | None) -> None:
    begun = work or commands.begin(task.spec.command)
    if worker.fail_all:
        begun = commands.Failed("the worker fails everything")
    if isinstance(begun, commands.Failed):
        _end(worker, task, FAILED, begun.detail)
    else:
        task.work = begun


def _run_slice(
    worker: Worker,
    task: Task,
    elapsed: float,
    budget: float,
    clock: typing.Callable[[], float],
) -> None:
    work = typing.cast("commands.Work", task.work)
    until = clock() + budget * task.share
    seconds = elapsed * task.share
    while not commands.finished(work) and task.share > 0:
        work = commands.advance(task.spec.command, work, STEPS_PER_CHUNK, seconds)
        seconds = 0.0
        if task.spec.command[0] == "sleep" or clock() >= until:
            break
    task.work = work
    if commands.finished(work):
        task.result = commands.result(work)
        _end(worker, task, SUCCEEDED, task.detail)


def _save(task: Task, work: commands.Work) -> Save:
    spec = task.spec
    return Save(spec.id, f"checkpoints/{spec.job}/{spec.run}/{spec.task}", work)


def _end(worker: Worker, task: Task, state: str, detail: str) -> None:
    task.state, task.detail = state, detail
    if state == SUCCEEDED:
        task.progress = 1.0
    worker.sequence += 1
