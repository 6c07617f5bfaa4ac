"""State, events and effects of the gangs of one data centre, planner side."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link, store
    from peridothatch_core.model import job, worker

from peridothatch_core.start import service_proof


class Phase(enum.StrEnum):
    """Where a run of a job stands.

    ``ADOPTING`` is a run that an earlier planner committed and whose members have not all been
    reported yet. ``STOPPING`` waits until no member can still run. ``RECORDING`` writes the job
    row after that.
    """

    RESERVING = "reserving"
    COMMITTING = "committing"
    STARTING = "starting"
    ADOPTING = "adopting"
    RUNNING = "running"
    STOPPING = "stopping"
    RECORDING = "recording"


class Reason(enum.StrEnum):
    """Why a run is stopped before all its members have succeeded."""

    NONE = ""
    CANCELLED = "cancelled"
    FAILED = "failed"
    MEMBER_LOST = "member lost"
    NOT_STARTED = "not started in time"
    PREEMPTED = "preempted"
    MOVED = "moved out"
    SUPERSEDED = "another process changed the job"


@dataclasses.dataclass(slots=True)
class Agent:
    """An agent that guards a worker of the data centre.

    Attributes
    ----------
    heard_at : float
        When its last heartbeat arrived, on the planner's monotonic clock, in seconds.
    fenced_at : float
        When it was first heard to have seen our epoch; infinite before that.
    since : float
        When this incarnation of the agent was first heard.
    """

    agent_id: str
    worker: worker.Worker
    heard_at: float
    fenced_at: float = float("inf")
    incarnation: str = ""
    since: float = 0.0
    connected: bool = True
    digest: int = 0
    members: dict[tuple[str, int, int], link.Member] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Party:
    """The members of one run on one worker.

    Attributes
    ----------
    reserved_at, reserved_t0 : float
        When the last ``Reserved`` arrived, and the agent's clock reading in it.
    renewed_at : float
        When a lease renewal or a start was last sent, on the planner's clock.
    down : bool
        No member of the run can run on this worker any more.
    """

    cells: tuple[job.Cell, ...]
    incarnation: str = ""
    asked_at: float = float("-inf")
    reserved_at: float = float("-inf")
    reserved_t0: float = 0.0
    renewed_at: float = float("-inf")
    start_sent: bool = False
    stop_sent_at: float = float("-inf")
    down: bool = False
    tasks: dict[int, link.Member] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Gang:
    """One run of a job.

    Attributes
    ----------
    since : float
        When the present phase began.
    judging : bool
        Placement has not yet said whether to run the job again after a failure.
    """

    job_id: str
    run: int
    phase: Phase
    parties: dict[str, Party]
    borrowed: bool
    since: float
    adopted: bool = False
    reason: Reason = Reason.NONE
    detail: str = ""
    checkpoint: bool = False
    judging: bool = False
    run_again: bool = True
    moved_to: str = ""


@dataclasses.dataclass(slots=True)
class Saving:
    """A job row that is being written.

    Attributes
    ----------
    attempt : int
        Number of the transaction; it is sent again under the same number while its outcome is
        unknown, so that it applies at most once.
    in_doubt : bool
        An earlier attempt may have been applied.
    """

    job: job.Job
    version: int
    attempt: int
    in_doubt: bool = False
    retry_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class Entry:
    """A job row of the data centre as it was last read or written."""

    job: job.Job
    version: int
    last_run: int
    saving: Saving | None = None


@dataclasses.dataclass(slots=True)
class Counters:
    """What was prevented or seen, for state dumps and metrics."""

    runs_started: int = 0
    runs_stopped: int = 0
    members_lost: int = 0
    stale_members_stopped: int = 0
    starts_without_proof: int = 0
    conflicts: int = 0
    unknown_outcomes: int = 0
    start_timeouts: int = 0
    waits_for_lapse: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """Gangs of one data centre under one epoch; a new epoch begins with a new state.

    Attributes
    ----------
    acquired_at : float
        When the write that took the planner lease was sent.
    may_decide : bool
        The planner lease is held; in renew-only mode it is false.
    contact_at : float
        When the last renewal of the planner lease that applied was sent.
    outranked : bool
        An agent has seen a higher epoch, so another planner holds the lease.
    loaded : bool
        All job rows have been read since the lease was taken.
    wall_offset : float
        Seconds since 1970-01-01 UTC minus the monotonic clock, for times in job rows.
    vouched : bool
        An operator confirmed that nothing runs in the data centre.
    """

    data_centre: str
    epoch: int
    acquired_at: float
    may_decide: bool = True
    contact_at: float = 0.0
    outranked: bool = False
    loaded: bool = False
    vouched: bool = False
    wall_offset: float = 0.0
    reading: service_proof.Reading = dataclasses.field(default_factory=service_proof.Reading)
    jobs: dict[str, Entry] = dataclasses.field(default_factory=dict)
    gangs: dict[str, Gang] = dataclasses.field(default_factory=dict)
    agents: dict[str, Agent] = dataclasses.field(default_factory=dict)
    workers: dict[str, str] = dataclasses.field(default_factory=dict)
    attempts: int = 0
    counters: Counters = dataclasses.field(default_factory=Counters)


@dataclasses.dataclass(frozen=True, slots=True)
class JobRead:
    """A job row was read; ``job`` is ``None`` when it is absent."""

    job_id: str
    job: job.Job | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """All active job rows have been read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Start a waiting job on these cells."""

    job_id: str
    cells: tuple[job.Cell, ...]
    borrowed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a running job and let it wait again."""

    job_id: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveOut:
    """Stop a running job; ``data_centre`` may be empty when no other has room."""

    job_id: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Elsewhere:
    """Write another data centre into the row of a waiting job."""

    job_id: str
    data_centre: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FromAgent:
    """A message from an agent of the data centre."""

    agent_id: str
    message: link.Message
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentClosed:
    """The connection to an agent has ended."""

    agent_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The configuration's view of the data centre was confirmed or changed."""

    reading: service_proof.Reading
    vouched: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Whether the planner lease is held, rather than renew-only."""

    may_decide: bool
    contact_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailureJudged:
    """Answer of placement to ``RunFailed``."""

    job_id: str
    run_again: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Saved:
    """Outcome of the transaction ``attempt`` of a job; ``version`` is set after ``APPLIED``."""

    job_id: str
    attempt: int
    outcome: store.Outcome
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer fired."""


Event = (
    JobRead | Loaded | Place | Preempt | MoveOut | Elsewhere | FromAgent | AgentClosed
    | Reading | Lease | FailureJudged | Saved | Tick
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to an agent."""

    agent_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SaveJob:
    """Write a job row and its index rows.

    The transaction has the conditions that ``planner/DC`` has our epoch and that the job row has
    ``version``. The same ``attempt`` is the same transaction.
    """

    job: job.Job
    version: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJob:
    """Read a job row again."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Tell placement that a job waits and holds no cells."""

    job: job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Tell placement that a job holds the cells of its row."""

    job: job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Tell placement that a job has left the data centre."""

    job_id: str
    succeeded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RunFailed:
    """Tell placement that members of a run failed on these workers."""

    job_id: str
    workers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerJoined:
    """Tell placement that a worker can be used."""

    worker: worker.Worker


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLost:
    """Tell placement that a worker cannot be used."""

    worker_id: str


Effect = (
    Tell | SaveJob | ReadJob | Waiting | Holding | Ended | RunFailed | WorkerJoined | WorkerLost
)
