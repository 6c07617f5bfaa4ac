"""Jobs that consist of steps of tasks, and the progress of each step."""

from __future__ import annotations

import dataclasses
import enum

Labels = tuple[str, ...]


class JobState(enum.StrEnum):
    """State of a job; the last three values are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class EndKind(enum.StrEnum):
    """How a run of a task ended.

    The agent reports ``REJECTED`` if the run never began and ``LOST`` if it ended together with
    the incarnation of its worker. The scheduler sets ``WITHDRAWN`` on a run whose order the agent
    had not claimed.
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
    """Resources that a task requires or a worker provides.

    Attributes
    ----------
    cpu_millis : int
        Thousandths of a core.
    memory_mb : int
        Memory in MiB.
    accelerators : int
        Number of whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks of a job.

    Attributes
    ----------
    estimate_ms : int
        Duration of a task as declared by the submitter, which is often inaccurate.
    after : tuple of int
        Indices of earlier steps that must be complete before this one starts.
    gang : bool
        The tasks make progress only together, so they are started and stopped as a unit.
    same_rack : bool
        The tasks run slower if they are spread over several racks.
    requires : str
        Label that a worker must have to run the tasks.
    affinity : str
        Rack that holds the input data; the tasks run slower on other racks.
    spread_limit : int
        Maximum number of tasks of the step on one worker; 0 means no limit.
    checkpointing : bool
        A stopped task can be resumed from a checkpoint.
    speculative : bool
        Several copies of a task may run in parallel.
    long_running : bool
        The tasks run until the job is cancelled and are restarted whenever they end.
    image : str
        Program image of the tasks; tasks with the same image behave alike.
    target_ms : int
        Upper limit of the tail latency of a serving task; 0 means no limit.
    fills : bool
        The tasks use idle CPU time of other tasks; their CPU demand is not counted.
    max_unavailable : int
        Maximum number of tasks of a long-running step that the system may make unavailable at
        a time; 0 means no limit.
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
    """Schedule of a job that recurs at a fixed interval.

    Attributes
    ----------
    first_unix_ms : int
        Due time of the first occurrence, in milliseconds since 1970-01-01 UTC.
    period_ms : int
        Interval between occurrences.
    times : int
        Number of occurrences.
    """

    first_unix_ms: int
    period_ms: int
    times: int


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a task that has been ordered and has not ended.

    Attributes
    ----------
    index : int
        Index of the task in its step.
    attempt : int
        Increases with each run of the task; all members of a gang have the same value.
    node : str
        Machine of the worker and its agent.
    lapses : int
        Number of expiries of the agent's lease when the run was ordered. The run has ended once
        the agent's row shows a higher number.
    ordered_ms : int
        Store time at which the run was ordered.
    stopping : bool
        A stop of the run has been ordered.
    """

    index: int
    attempt: int
    node: str
    lapses: int
    ordered_ms: int
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class StepProgress:
    """Progress of a step in one occurrence of its job.

    The lists ``attempts``, ``failures`` and ``saved`` have one item for each task, except that a
    gang uses only the first item; see `progress_index`.

    Attributes
    ----------
    done : list of int
        Indices of the completed tasks.
    attempts : list of int
        Highest attempt so far.
    failures : list of int
        Number of failed runs.
    failed_attempt : int
        Last attempt of a gang that has been counted as a failure.
    broken_attempt : int
        Last attempt of a gang in which a member ended as ``BROKEN``.
    saved : list of str
        Latest checkpoint; empty if there is none.
    runs : list of Run
        Open runs.
    unreported : list of Run
        Runs of a gang that were closed before their agents have reported how they ended.
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
    unreported: list[Run] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Job:
    """An accepted job and its progress.

    Attributes
    ----------
    queue : str
        Name of the queue that accepted the job.
    customer : str
        Customer whose API key was used to submit the job; empty on an open queue.
    priority : int
        Lower values are scheduled first; 0 is the highest priority.
    max_attempts : int
        Number of failed runs of one task after which the job fails.
    slack_factor, objective_ms : float, int
        The completion objective is the duration of the chain of steps multiplied by
        ``slack_factor``, plus ``objective_ms``.
    submitted_ms : int
        Store time of the submission.
    opened : int
        Number of occurrences whose steps may start.
    begun : bool
        At least one run of a task is known to have begun.
    ended_ms : int
        Store time at which the job reached its final state; 0 before that.
    ticketed : bool
        Each start needs a ticket for its worker.
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
    """An instruction to an agent to run a task on its worker.

    Attributes
    ----------
    start_by_ms : int
        Store time after which the agent must no longer send the start request.
    instance, started_ms : str, int
        Incarnation of the worker for which the order is valid.
    checkpointing : bool
        A stop writes a checkpoint.
    ticket : str
        Authorises the worker to run the step; empty if the queue needs no tickets.
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
    """The end of a run, as recorded by an agent."""

    task: str
    attempt: int
    node: str
    kind: EndKind
    saved: str = ""
    reason: str = ""


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task: its job, occurrence, step and index, separated by dots."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def parse_task_name(task: str) -> tuple[str, int, int, int] | None:
    """Split a task name into job, occurrence, step and index; ``None`` if it is malformed."""
    parts = task.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def describe_step(step: Step) -> str:
    """Return a short text for logs with the demand, declared duration and traits of a step."""
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
    """Return the index of a task in the lists of `StepProgress`; the tasks of a gang share 0."""
    return 0 if step.gang else index
