"""Planner-side events and effects of the gang state machine of one data centre."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link, store
    from peridothatch_core.model import job, worker
    from peridothatch_core.start import service_proof


@dataclasses.dataclass(frozen=True, slots=True)
class JobRead:
    """A job row was read; ``job`` is ``None`` if the row does not exist."""

    job_id: str
    job: job.Job | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobsLoaded:
    """All active job rows have been read since the planner lease was acquired."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Start a waiting job on the given cells."""

    job_id: str
    cells: tuple[job.Cell, ...]
    borrowed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a running job and return it to the waiting state."""

    job_id: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuate:
    """Stop a running job and move it; ``data_centre`` is empty if no other one has room."""

    job_id: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Assign a waiting job to another data centre."""

    job_id: str
    data_centre: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FromAgent:
    """A message arrived from an agent of the data centre."""

    agent_id: str
    message: link.Message
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentClosed:
    """The connection to an agent was closed."""

    agent_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceStatusUpdated:
    """The configured service status of the data centre was confirmed or changed.

    ``confirmed_lost`` means that an operator confirmed that nothing runs in the data centre.
    """

    service_status: service_proof.ServiceStatus
    confirmed_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseStatus:
    """The state of the planner lease; ``may_decide`` is false in renew-only mode."""

    may_decide: bool
    contact_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecided:
    """Placement's answer to ``RunFailed``: whether to run the job again."""

    job_id: str
    run_again: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SaveResult:
    """Outcome of the transaction ``attempt`` of a job; ``version`` is only set for ``APPLIED``."""

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

    The transaction is conditional on ``planner/DC`` holding this planner's epoch and on the job
    row having ``version``. Effects with the same ``attempt`` are the same transaction.
    """

    job: job.Job
    version: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJob:
    """Reread a job row."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobWaiting:
    """Tell placement that a job is waiting and occupies no cells."""

    job: job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class JobPlaced:
    """Tell placement that a job occupies the cells listed in its row."""

    job: job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """Tell placement that a job has ended or moved; ``data_centre`` is its current one."""

    job_id: str
    succeeded: bool
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunFailed:
    """Tell placement on which workers members of a run failed."""

    job_id: str
    workers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerJoined:
    """Tell placement that a worker is available."""

    worker: worker.Worker


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLost:
    """Tell placement that a worker is unavailable."""

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
