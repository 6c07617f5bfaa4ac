"""Agent-side state, events and effects of the gang members on one worker."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import job, worker


@dataclasses.dataclass(slots=True)
class Task:
    """A task of a run in the last known state.

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
    """The tasks of one run on this worker.

    Attributes
    ----------
    expires_at : float
        When the reservation expires; meaningless after the start.
    checkpoint_until : float
        Deadline until which a stop may wait for checkpoints.
    lease_until : float
        When the gang lease expires, on the agent's monotonic clock; meaningless before the start.
    not_after : float
        Latest time at which the worker may accept the start.
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
    """Event counters for state dumps and metrics."""

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
    """Gang members on one worker.

    Attributes
    ----------
    process_started_at : float
        When this agent process started; earlier clock readings belong to a previous process.
    worker : Worker or None
        Description of the worker; ``None`` until it has answered. Nothing is announced before.
    fenced : dict
        Highest fenced run of each job; this run and earlier ones are never started here.
    tasks_listed : bool
        The worker has listed its tasks at least once.
    predecessor_starts_expired : bool
        No start sent by a previous agent process can still reach the worker.
    unlisted_heartbeats : int
        Number of heartbeats since the worker last listed its tasks.
    out_revision, out_at : int, float
        Latest revision with the data centre out of service, and when the agent received it.
    planner : str
        Entry that announced the highest known epoch.
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
    """A task as listed by the worker; ``state`` is the state that the worker reports."""

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
    """The worker listed all its tasks in answer to a request sent at ``sent_at``."""

    worker: worker.Worker
    tasks: tuple[TaskStatus, ...]
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartRefused:
    """The worker refused to start a task."""

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
    """The connection to an entry was closed."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FromEntry:
    """A message arrived from an entry."""

    entry_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer fired; ``heartbeat`` is set when heartbeats are due."""

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
        Expiry of the task's lease and deadline for its start, on the clock that the agent and the
        worker share.
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
    """Stop a task, after writing a checkpoint if ``checkpoint`` is set."""

    job: str
    run: int
    task: int
    checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Write a checkpoint of a task without stopping it."""

    job: str
    run: int
    task: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewTask:
    """Renew the worker's lease on a task up to ``lease_until`` at most."""

    job: str
    run: int
    task: int
    lease_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetTask:
    """Tell the worker to discard a task that has ended."""

    job: str
    run: int
    task: int


Effect = SendMessage | StartTask | StopTask | CheckpointTask | RenewTask | ForgetTask
