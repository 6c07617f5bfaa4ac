"""A job as a list of steps of tasks, and how far each step has come."""

from __future__ import annotations

import dataclasses
import enum

Labels = tuple[str, ...]


class JobState(enum.StrEnum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class EndKind(enum.StrEnum):
    """How a run of a task ended.

    ``REJECTED`` and ``LOST`` are decided by the agent: the run never began, or it ended with the
    incarnation of its worker. ``WITHDRAWN`` is decided by the scheduler: the agent had not taken
    the order.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    LOST = "lost"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What one task needs, or what a worker has.

    Attributes
    ----------
    cpu_millis : int
        Thousandths of a core.
    memory_mb : int
        Mebibytes.
    accelerators : int
        Whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job.

    Attributes
    ----------
    estimate_ms : int
        Declared duration of a task; often far off.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    gang : bool
        The tasks work only together: one run starts whole and ends whole.
    same_rack : bool
        The tasks are slower when they are spread over racks.
    requires : str
        Label that the worker must have.
    affinity : str
        Rack where the data is; on any other rack the task is slower.
    spread_limit : int
        Most tasks of the step on one worker; 0 is no limit.
    checkpointing : bool
        A stopped run can be resumed from a checkpoint.
    speculative : bool
        Copies of a task may run in parallel.
    long_running : bool
        The tasks run until the job is cancelled and are restarted however they end.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : int
        Tail latency that a serving task must stay below; 0 is none.
    fills : bool
        The tasks use what other tasks leave idle; their processor demand is not counted.
    max_unavailable : int
        Most tasks of a long-running step that the system may make unavailable; 0 is no limit.
    """

    count: int
    demand: Demand = Demand()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    spread_limit: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Timetable:
    """When the occurrences of a job are due.

    Attributes
    ----------
    first_unix_ms : int
        Due time of the first occurrence since 1970-01-01 UTC.
    period_ms : int
        Time between occurrences.
    times : int
        Number of occurrences.
    """

    first_unix_ms: int
    period_ms: int
    times: int


@dataclasses.dataclass(slots=True)
class Run:
    """A run of one task that has been ordered and has not ended.

    Attributes
    ----------
    index : int
        Task within its step.
    attempt : int
        Rises with each run of the task; the members of a gang share it.
    node : str
        Machine of the agent beside the worker.
    lapses : int
        Lapses of that agent's lease when the run was ordered; a higher count ends the run.
    ordered_ms : int
        Store time of the order.
    stopping : bool
        The run has been ordered to stop.
    """

    index: int
    attempt: int
    node: str
    lapses: int
    ordered_ms: int
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class StepProgress:
    """Progress of one step in one occurrence.

    Attributes
    ----------
    done : list of int
        Tasks that have ended done.
    attempts : list of int
        For each task the highest attempt so far; a gang uses only the first entry.
    failures : list of int
        For each task the runs that failed; a gang uses only the first entry.
    failed_attempt : int
        Last attempt of a gang that was counted as failed.
    broken_attempt : int
        Last attempt of a gang of which a member ended as broken.
    saved : list of str
        For each task the newest checkpoint; a gang uses only the first entry.
    """

    occurrence: int
    step: int
    done: list[int] = dataclasses.field(default_factory=list)
    attempts: list[int] = dataclasses.field(default_factory=list)
    failures: list[int] = dataclasses.field(default_factory=list)
    failed_attempt: int = 0
    broken_attempt: int = 0
    saved: list[str] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Job:
    """A job that was accepted.

    Attributes
    ----------
    queue : str
        Name of the queue that took the job.
    customer : str
        Customer whose key submitted it; empty on an open queue.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs of one task after which the job has failed.
    slack_factor, objective_ms : float, int
        The completion objective is the chain of work times the factor, and this much more.
    submitted_ms : int
        Store time at submission.
    opened : int
        Occurrences whose steps have been opened.
    begun : bool
        A run of some task has certainly begun.
    ended_ms : int
        Store time of the final state; 0 before.
    ticketed : bool
        Starts need a ticket for their worker.
    """

    id: str
    queue: str
    service: str
    customer: str
    priority: int
    max_attempts: int
    slack_factor: float
    objective_ms: int
    steps: tuple[Step, ...]
    timetable: Timetable | None
    submitted_ms: int
    state: JobState = JobState.QUEUED
    reason: str = ""
    opened: int = 0
    begun: bool = False
    ended_ms: int = 0
    progress: list[StepProgress] = dataclasses.field(default_factory=list)
    ticketed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What an agent is told to run.

    Attributes
    ----------
    start_by_ms : int
        Store time after which the agent must not send the start any more.
    instance, started_ms : str, int
        The incarnation of the worker that the order is meant for.
    checkpointing : bool
        A stop saves the work so far.
    ticket : str
        Shows the worker that it may run the step; empty where the queue needs none.
    """

    job: str
    task: str
    attempt: int
    instance: str
    started_ms: int
    start_by_ms: int
    checkpoint: str = ""
    checkpointing: bool = False
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a run, as an agent recorded it."""

    task: str
    attempt: int
    node: str
    kind: EndKind
    saved: str = ""
    reason: str = ""


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task: job, occurrence, step and index, joined by dots."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def parse_task_name(task: str) -> tuple[str, int, int, int] | None:
    """Return job, occurrence, step and index of a task name, or ``None`` for another form."""
    parts = task.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def describe_step(step: Step) -> str:
    """Return a step's shape and declared duration as a short text for logs."""
    demand = step.demand
    traits = [name for name in ("gang", "checkpointing", "long_running") if getattr(step, name)]
    return " ".join(
        (
            f"{step.count} x {demand.cpu_millis / 1000:g} cores and {demand.accelerators} "
            f"accelerators for {step.estimate_ms} ms",
            *traits,
        )
    )


def progress_index(step: Step, index: int) -> int:
    """Return the entry of a task in the per-task lists: a gang shares the first one."""
    return 0 if step.gang else index
