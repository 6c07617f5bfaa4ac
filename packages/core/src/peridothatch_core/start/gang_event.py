"""Events and effects of the gangs of one data centre, planner side."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link, store
    from peridothatch_core.model import job, worker
    from peridothatch_core.start import service_proof


@dataclasses.dataclass(frozen=True, slots=True)
class JobRead:
    """A job row was read; ``job`` is ``None`` when it is absent."""

    job_id: str
    job: job.Job | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobsLoaded:
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
class Evacuate:
    """Stop a running job; ``data_centre`` may be empty when no other has room."""

    job_id: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
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
class ServiceStatusUpdated:
    """The configuration's view of the data centre was confirmed or changed."""

    service_status: service_proof.ServiceStatus
    confirmed_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseStatus:
    """Whether the planner lease is held, rather than renew-only."""

    may_decide: bool
    contact_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecided:
    """Answer of placement to ``RunFailed``."""

    job_id: str
    run_again: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SaveResult:
    """Outcome of the transaction ``attempt`` of a job; ``version`` is set after ``APPLIED``."""

    job_id: str
    attempt: int
    outcome: store.Outcome
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer fired."""


Event = (
    JobRead | JobsLoaded | Place | Preempt | Evacuate | Transfer | FromAgent | AgentClosed
    | ServiceStatusUpdated | LeaseStatus | RetryDecided | SaveResult | Tick
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
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
class JobWaiting:
    """Tell placement that a job waits and holds no cells."""

    job: job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class JobPlaced:
    """Tell placement that a job holds the cells of its row."""

    job: job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """Tell placement that a job has left the data centre; ``data_centre`` is where it is now."""

    job_id: str
    succeeded: bool
    data_centre: str


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
    SendMessage
    | SaveJob
    | ReadJob
    | JobWaiting
    | JobPlaced
    | JobEnded
    | RunFailed
    | WorkerJoined
    | WorkerLost
)
