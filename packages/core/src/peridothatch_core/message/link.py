"""Messages between entries and agents, and between entries."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import backend, job, request, shape, worker

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of both ends; ``role`` is ``entry`` or ``agent``."""

    protocol_version: int
    role: str
    id: str
    incarnation: str
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Why the other end closes the connection."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Where an entry listens for agents and other entries."""

    id: str
    host: str
    port: int
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """The entries that an agent may dial, and the planner of its data centre."""

    entries: tuple[EntryAddress, ...]
    planner: str = ""
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A task of a gang as its agent sees it.

    Attributes
    ----------
    state : str
        ``reserved``, ``starting``, ``running``, ``stopping``, ``succeeded``, ``failed`` or
        ``stopped``.
    checkpoint : str
        Object-store key of the latest checkpoint; empty when there is none.
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
    """What a worker offers and which members of gangs it holds."""

    worker: worker.Worker
    members: tuple[Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceBackend:
    """What a backend server offers; ``leaving`` asks for no more requests."""

    backend: backend.BackendServer
    agent_incarnation: str
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness of an agent.

    Attributes
    ----------
    t0 : float
        The agent's monotonic clock when it sent this message, in seconds.
    digest : int
        Hash of the members that the agent holds; a planner that disagrees asks for ``Announce``.
    epoch : int
        Highest planner epoch that the agent has seen; it refuses lower ones.
    """

    t0: float
    digest: int = 0
    in_flight: int = 0
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GangRef:
    """One run of a job."""

    job: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answer to a heartbeat, with the state of the data centre and renewed gang leases.

    Attributes
    ----------
    t0 : float
        Copied from the heartbeat.
    proof_age_seconds : float
        Age of the store read that showed ``in_service``, counted from when it was sent;
        negative when there is none.
    renewed : tuple of GangRef
        Runs whose gang lease is renewed as of ``t0``.
    announce : bool
        The receiver should send its announcement again.
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
    """Ask an agent to set cells aside for one run of a job."""

    job: str
    run: int
    epoch: int
    cells: tuple[job.Cell, ...]
    task: shape.TaskShape
    expires_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """The cells are set aside; ``t0`` is the agent's monotonic clock."""

    job: str
    run: int
    t0: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The agent did not do what the planner asked; nothing started."""

    job: str
    run: int
    request: str
    reason: str
    highest_epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give up a reservation."""

    job: str
    run: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start reserved members of a committed run.

    ``t0`` is copied from ``Reserved`` and ``proof_age_seconds`` is counted as in
    ``HeartbeatAck``.
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
    """Stop members of a run, after a checkpoint when ``checkpoint`` is set."""

    job: str
    run: int
    epoch: int
    checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """Write a checkpoint of members that go on running."""

    job: str
    run: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """A member changed its state."""

    member: Member
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Pass a request to a backend server."""

    request: request.Request


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReady:
    """The outcome of a request; the agent keeps it until ``AnswerAck``."""

    answer: request.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerAck:
    """The entry has the answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Ask what became of a request; an unknown id is refused from then on.

    With an empty ``agent_incarnation`` this is a lookup on behalf of ``customer`` (empty for
    an operator): an unknown id is answered ``unknown`` and may still run.
    """

    request_id: str
    agent_incarnation: str
    customer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestState:
    """Answer to ``Query`` while there is no answer of the backend server.

    Attributes
    ----------
    state : str
        ``running``, ``not_run``, ``forgotten`` (the agent restarted since) or ``unknown`` (to a
        lookup).
    """

    request_id: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller is gone; a request that has not been passed on need not run."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityDigest:
    """Free capacity of a data centre as its planner sees it.

    Attributes
    ----------
    free_blocks : tuple of int
        Number of free adjacent blocks of 1, 2, 4, 8, ... accelerators.
    """

    data_centre: str
    epoch: int
    free_accelerators: int
    free_blocks: tuple[int, ...]
    waiting_jobs: int
    in_service: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerKind:
    """A number of workers that offer the same when nothing runs on them."""

    accelerators: int
    cores: int
    memory_mb: int
    workers: int


@dataclasses.dataclass(frozen=True, slots=True)
class RackHardware:
    """The workers of one rack, and the number of racks that are equal to it."""

    kinds: tuple[WorkerKind, ...]
    racks: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HardwareDigest:
    """The workers of a data centre as its planner knows them, whatever runs on them."""

    data_centre: str
    epoch: int
    racks: tuple[RackHardware, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRevision:
    """One accepted change, or the state of the sender's replica when ``change`` is empty.

    Attributes
    ----------
    change : str
        JSON text of the revision row.
    t0 : float
        Copied from ``RevisionsWanted``.
    read_age_seconds : float
        Age of the sender's own store read that showed ``revision`` to be the newest, counted
        from when that read was sent to when this message was; negative when there is none.
    """

    revision: int
    change: str
    t0: float = 0.0
    read_age_seconds: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionsWanted:
    """Ask the entry that reads the store for its region for later revisions.

    ``t0`` is the asking entry's monotonic clock, in seconds.
    """

    after: int
    t0: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobChanged:
    """Tell the planner of a data centre that another process wrote a job row."""

    job_id: str
    data_centre: str


Message = (
    Hello | Rejected | Welcome | AnnounceWorker | AnnounceBackend | Heartbeat | HeartbeatAck
    | Reserve | Reserved | Refused | Release | Start | Stop | Checkpoint | MemberState
    | Dispatch | AnswerReady | AnswerAck | Query | RequestState | Cancel
    | CapacityDigest | ConfigRevision | RevisionsWanted | JobChanged | HardwareDigest
)  # fmt: skip
