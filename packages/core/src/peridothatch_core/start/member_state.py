"""State, events and effects of the members of gangs on one worker, agent side."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import job, worker


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a run as the worker last showed it.

    Attributes
    ----------
    state : str
        ``reserved``, ``starting``, ``running``, ``stopping``, ``succeeded``, ``failed`` or
        ``stopped``, as in ``link.Member``.
    """

    cell: job.Cell
    state: str = "reserved"
    detail: str = ""
    result: str = ""
    checkpoint: str = ""


@dataclasses.dataclass(slots=True)
class LocalRun:
    """The members of one run on this worker.

    Attributes
    ----------
    expires_at : float
        When the reservation lapses; of no meaning after the start.
    checkpoint_until : float
        Until when a stop may wait for checkpoints.
    lease_until : float
        When the gang lease lapses on the agent's monotonic clock; of no meaning before the start.
    not_after : float
        Last moment at which the worker may accept the start.
    """

    job: str
    run: int
    epoch: int
    tasks: dict[int, Task]
    expires_at: float
    started: bool = False
    stopping: bool = False
    checkpoint_until: float = float("-inf")
    lease_until: float = 0.0
    not_after: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """What was prevented or seen, for state dumps and metrics."""

    starts: int = 0
    refused_epochs: int = 0
    refused_runs: int = 0
    refused_proofs: int = 0
    refused_reservations: int = 0
    lapsed_reservations: int = 0
    lapsed_leases: int = 0
    taken_over: int = 0
    silent_worker: int = 0
    started_after_out: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """Members of gangs on one worker.

    Attributes
    ----------
    process_started_at : float
        When this agent process started; clock readings before that belong to an earlier one.
    worker : Worker or None
        What the worker offers; ``None`` until it has answered, and nothing is announced before.
    fenced : dict
        Highest run of each job that was stopped here; it and earlier runs are never started.
    tasks_listed : bool
        The worker has listed its tasks.
    predecessor_starts_expired : bool
        No start of an earlier agent process can still reach the worker.
    unlisted_heartbeats : int
        Heartbeats since the worker last listed its tasks.
    out_revision, out_at : int, float
        Latest revision at which the data centre was out of service, and when it was heard of.
    planner : str
        Entry from which the highest epoch came.
    """

    worker_id: str
    process_started_at: float
    worker: worker.Worker | None = None
    epoch: int = 0
    planner: str = ""
    out_revision: int = 0
    out_at: float = 0.0
    revision: int = 0
    tasks_listed: bool = False
    predecessor_starts_expired: bool = False
    unlisted_heartbeats: int = 0
    runs: dict[tuple[str, int], LocalRun] = dataclasses.field(default_factory=dict)
    fenced: dict[str, int] = dataclasses.field(default_factory=dict)
    entries: set[str] = dataclasses.field(default_factory=set)
    counters: Counters = dataclasses.field(default_factory=Counters)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStatus:
    """A task as the worker lists it; ``state`` is the worker's word."""

    job: str
    run: int
    task: int
    state: str
    lease_seconds: float
    accelerators: tuple[int, ...] = ()
    detail: str = ""
    result: str = ""
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerListed:
    """All tasks of the worker, listed by a request that was sent at ``sent_at``."""

    worker: worker.Worker
    tasks: tuple[TaskStatus, ...]
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartRefused:
    """The worker did not start a task."""

    job: str
    run: int
    task: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOpened:
    """An entry connected."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryClosed:
    """The connection to an entry has ended."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FromEntry:
    """A message from an entry."""

    entry_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer fired; heartbeats are due when ``heartbeat`` is set."""

    heartbeat: bool = False


Event = WorkerListed | StartRefused | EntryOpened | EntryClosed | FromEntry | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to an entry."""

    entry_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task on the worker.

    Attributes
    ----------
    lease_until, not_after : float
        Bounds of the task's lease and of its start, on the clock that agent and worker share.
    """

    job: str
    run: int
    cell: job.Cell
    command: tuple[str, ...]
    checkpoint: str
    lease_until: float
    not_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task, after a checkpoint when ``checkpoint`` is set."""

    job: str
    run: int
    task: int
    checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Write a checkpoint of a task that goes on running."""

    job: str
    run: int
    task: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewTask:
    """Renew the worker's lease on a task, never beyond ``lease_until``."""

    job: str
    run: int
    task: int
    lease_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetTask:
    """Let the worker forget a task that has ended."""

    job: str
    run: int
    task: int


Effect = SendMessage | StartTask | StopTask | CheckpointTask | RenewTask | ForgetTask
