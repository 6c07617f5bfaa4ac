"""Planner-side state of the gangs of one data centre."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import job, worker

from peridothatch_core.start import service_proof


class Phase(enum.StrEnum):
    """Phase of a run.

    In ``ADOPTING``, a previous planner committed the run and not all of its members have been
    reported yet. ``STOPPING`` lasts until no member can still run; ``RECORDING`` then writes the
    job row.
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
    """An agent, which supervises one worker of the data centre.

    Attributes
    ----------
    heard_at : float
        When its last heartbeat or announcement arrived, on the planner's monotonic clock, in
        seconds.
    fenced_at : float
        When its heartbeat first carried this planner's epoch; infinite before that.
    since : float
        When this incarnation of the agent first announced its worker.
    digest : int or None
        Cached hash of ``members``; ``None`` after a change.
    """

    agent_id: str
    worker: worker.Worker
    heard_at: float
    fenced_at: float = float("inf")
    incarnation: str = ""
    since: float = 0.0
    connected: bool = True
    digest: int | None = None
    members: dict[tuple[str, int, int], link.Member] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Participant:
    """A worker that takes part in a run, with the members of the run on it.

    Attributes
    ----------
    reserved_at, reserved_t0 : float
        When the last ``Reserved`` arrived, and the agent clock reading that it carried.
    renewed_at : float
        When the last lease renewal or start was sent, on the planner's clock.
    terminated : bool
        Whether it is certain that no member of the run can still run on this worker.
    """

    cells: tuple[job.Cell, ...]
    incarnation: str = ""
    requested_at: float = float("-inf")
    reserved_at: float = float("-inf")
    reserved_t0: float = 0.0
    renewed_at: float = float("-inf")
    start_sent: bool = False
    stop_sent_at: float = float("-inf")
    terminated: bool = False
    tasks: dict[int, link.Member] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Gang:
    """One run of a job.

    Attributes
    ----------
    phase_started_at : float
        When the current phase began.
    state_counts : dict
        Number of tasks by reported state.
    awaiting_retry_decision : bool
        Whether placement has yet to decide if the job is run again after a failure.
    """

    job_id: str
    run: int
    phase: Phase
    participants: dict[str, Participant]
    borrowed: bool
    phase_started_at: float
    adopted: bool = False
    reason: Reason = Reason.NONE
    detail: str = ""
    checkpoint: bool = False
    state_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    awaiting_retry_decision: bool = False
    run_again: bool = True
    target_data_centre: str = ""


@dataclasses.dataclass(slots=True)
class PendingWrite:
    """A job row that is being written.

    Attributes
    ----------
    attempt : int
        Number of the transaction. It is resent under the same number while its outcome is
        unknown, so that it is applied at most once.
    in_doubt : bool
        Whether an earlier send may have been applied.
    """

    job: job.Job
    version: int
    attempt: int
    in_doubt: bool = False
    retry_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class Entry:
    """A job of the data centre with its row as last read or written.

    Attributes
    ----------
    refusals, cooling_until : int, float
        Number of consecutive failed reservations, and the end of the resulting back-off.
    """

    job: job.Job
    version: int
    last_run: int
    saving: PendingWrite | None = None
    refusals: int = 0
    cooling_until: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Counters:
    """Event counters for state dumps and metrics."""

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
    """Gangs of one data centre under one epoch; each epoch has its own state.

    Attributes
    ----------
    acquired_at : float
        When the write that acquired the planner lease was sent.
    may_decide : bool
        Whether the planner lease is held; false in renew-only mode.
    contact_at : float
        When the last applied renewal of the planner lease was sent.
    superseded : bool
        Whether an agent has reported a higher epoch, which means that another planner holds the
        lease.
    loaded : bool
        Whether all job rows have been read since the lease was acquired.
    wall_offset : float
        Offset from the monotonic clock to Unix time, in seconds, for times in job rows.
    agent_of_worker : dict
        Agent id of each worker.
    jobs_on_worker : dict
        Jobs whose run has members on the worker, by worker.
    saving : set
        Jobs with a pending write of their row.
    cooling : set
        Jobs in back-off until ``cooling_until``; placement counts their cells as occupied
        meanwhile.
    silence_checked_at : float
        When the gangs were last checked for silent members.
    start_tokens : float
        Level of the token bucket for starts, as of ``tokens_at``.
    confirmed_lost : bool
        Whether an operator confirmed that nothing runs in the data centre.
    """

    data_centre: str
    epoch: int
    acquired_at: float
    may_decide: bool = True
    contact_at: float = 0.0
    superseded: bool = False
    loaded: bool = False
    confirmed_lost: bool = False
    wall_offset: float = 0.0
    service_status: service_proof.ServiceStatus = dataclasses.field(
        default_factory=service_proof.ServiceStatus
    )
    jobs: dict[str, Entry] = dataclasses.field(default_factory=dict)
    gangs: dict[str, Gang] = dataclasses.field(default_factory=dict)
    agents: dict[str, Agent] = dataclasses.field(default_factory=dict)
    agent_of_worker: dict[str, str] = dataclasses.field(default_factory=dict)
    jobs_on_worker: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    saving: set[str] = dataclasses.field(default_factory=set)
    cooling: set[str] = dataclasses.field(default_factory=set)
    silence_checked_at: float = float("-inf")
    start_tokens: float = 0.0
    tokens_at: float = float("-inf")
    attempts: int = 0
    counters: Counters = dataclasses.field(default_factory=Counters)
