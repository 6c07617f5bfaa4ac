"""Messages between entries and agents, and among entries."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import backend, job, request, shape, worker

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message from both peers; ``role`` is ``entry`` or ``agent``."""

    protocol_version: int
    role: str
    id: str
    incarnation: str
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Reason for which the peer rejects the connection."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Address at which an entry listens for agents and other entries."""

    id: str
    host: str
    port: int
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Entries to which an agent may connect, and the planner of its data centre."""

    entries: tuple[EntryAddress, ...]
    planner: str = ""
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A task of a gang, as reported by its agent.

    Attributes
    ----------
    state : str
        ``reserved``, ``starting``, ``running``, ``stopping``, ``succeeded``, ``failed`` or
        ``stopped``.
    checkpoint : str
        Object store key of the latest checkpoint; empty if there is none.
    """

    job: str
    run: int
    cell: job.Cell
    state: str
    detail: str = ""
    result: str = ""
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceWorker:
    """Resources of a worker, and the gang members that it holds."""

    worker: worker.Worker
    members: tuple[Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceBackend:
    """Capacity of a backend server; if it is ``leaving``, it must get no new requests."""

    backend: backend.BackendServer
    agent_incarnation: str
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic sign of liveness of an agent.

    Attributes
    ----------
    t0 : float
        Monotonic clock of the agent when it sent the message, in seconds.
    digest : int
        Hash of the gang members that the agent holds. If it differs from that of the planner, the
        planner requests an announcement.
    epoch : int
        Highest planner epoch that the agent has seen; the agent rejects lower ones.
    """

    t0: float
    digest: int = 0
    in_flight: int = 0
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GangRef:
    """Reference to a run of a job."""

    job: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answer to a heartbeat, with the state of the data centre and renewals of gang leases.

    Attributes
    ----------
    t0 : float
        Copied from the ``Heartbeat``.
    proof_age_seconds : float
        Time since the store read that returned ``in_service`` was sent; negative if there is
        none.
    renewed : tuple of GangRef
        Runs whose gang lease is renewed from ``t0``.
    announce : bool
        The agent must repeat its announcement.
    """

    t0: float
    in_service: bool
    proof_age_seconds: float
    revision: int
    epoch: int
    planner: bool = False
    renewed: tuple[GangRef, ...] = ()
    announce: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Ask an agent to reserve resources for a run of a job."""

    job: str
    run: int
    epoch: int
    cells: tuple[job.Cell, ...]
    task: shape.TaskShape
    expires_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """Confirm a reservation; ``t0`` is the agent's monotonic clock in seconds."""

    job: str
    run: int
    t0: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The agent refused a request of the planner, and no task was started."""

    job: str
    run: int
    request: str
    reason: str
    highest_epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Release a reservation."""

    job: str
    run: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start the reserved members of a committed run.

    ``t0`` is copied from ``Reserved``; ``proof_age_seconds`` is defined as in ``HeartbeatAck``.
    """

    job: str
    run: int
    epoch: int
    command: tuple[str, ...]
    checkpoint: str
    t0: float
    proof_age_seconds: float
    revision: int
    trace: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop the members of a run; if ``checkpoint`` is set, write a checkpoint first."""

    job: str
    run: int
    epoch: int
    checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """Write a checkpoint of running members without stopping them."""

    job: str
    run: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """The state of a gang member has changed."""

    member: Member
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Forward a request to a backend server."""

    request: request.Request


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReady:
    """The outcome of a request; the agent stores it until it receives ``AnswerAck``."""

    answer: request.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerAck:
    """Confirm that the entry has received an answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Ask for the outcome of a request; the agent refuses an unknown id from then on.

    With an empty ``agent_incarnation``, the query is a lookup for ``customer`` (empty for an
    operator). An unknown id is then answered with ``unknown`` and may still run.
    """

    request_id: str
    agent_incarnation: str
    customer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestState:
    """Answer to ``Query`` if there is no answer from the backend server.

    Attributes
    ----------
    state : str
        ``running``, ``not_run``, ``forgotten`` (the agent has restarted since) or ``unknown``
        (only in answer to a lookup).
    """

    request_id: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The client has disconnected; a request that is not yet forwarded need not run."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityDigest:
    """Free capacity of a data centre, as known to its planner.

    Attributes
    ----------
    free_blocks : tuple of int
        Number of free blocks of 1, 2, 4, 8, ... adjacent accelerators.
    """

    data_centre: str
    epoch: int
    free_accelerators: int
    free_blocks: tuple[int, ...]
    waiting_jobs: int
    in_service: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerKind:
    """A number of workers with the same total resources."""

    accelerators: int
    cores: int
    memory_mb: int
    workers: int


@dataclasses.dataclass(frozen=True, slots=True)
class RackHardware:
    """The workers of a rack, and the number of racks with the same workers."""

    kinds: tuple[WorkerKind, ...]
    racks: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HardwareDigest:
    """The workers of a data centre known to its planner, regardless of what runs on them."""

    data_centre: str
    epoch: int
    racks: tuple[RackHardware, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRevision:
    """An accepted change, or the state of the sender's replica if ``change`` is empty.

    Attributes
    ----------
    change : str
        Row of the revision as JSON.
    t0 : float
        Copied from ``RevisionsWanted``.
    read_age_seconds : float
        Age of the sender's own store read that returned ``revision`` as the latest one,
        measured from when the read was sent to when this message was sent; negative if there is
        none.
    """

    revision: int
    change: str
    t0: float = 0.0
    read_age_seconds: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionsWanted:
    """Request revisions after ``after`` from the entry that reads the store for its region.

    ``t0`` is the monotonic clock of the requesting entry, in seconds.
    """

    after: int
    t0: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobChanged:
    """Notify the planner of a data centre that another process has written a job's row."""

    job_id: str
    data_centre: str


Message = (
    Hello | Rejected | Welcome | AnnounceWorker | AnnounceBackend | Heartbeat | HeartbeatAck
    | Reserve | Reserved | Refused | Release | Start | Stop | Checkpoint | MemberState
    | Dispatch | AnswerReady | AnswerAck | Query | RequestState | Cancel
    | CapacityDigest | ConfigRevision | RevisionsWanted | JobChanged | HardwareDigest
)  # fmt: skip
