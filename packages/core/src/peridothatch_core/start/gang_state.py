"""State of the gangs of one data centre, planner side."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
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
    digest : int or None
        Hash of ``members``; ``None`` after a change.
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
    """The members of one run on one worker.

    Attributes
    ----------
    reserved_at, reserved_t0 : float
        When the last ``Reserved`` arrived, and the agent's clock reading in it.
    renewed_at : float
        When a lease renewal or a start was last sent, on the planner's clock.
    terminated : bool
        No member of the run can run on this worker any more.
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
        When the present phase began.
    state_counts : dict
        Number of tasks in each reported state.
    awaiting_retry_decision : bool
        Placement has not yet said whether to run the job again after a failure.
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
    """A job row of the data centre as it was last read or written.

    Attributes
    ----------
    refusals, cooling_until : int, float
        Reservations that failed in a row, and until when the job is not placed again.
    """

    job: job.Job
    version: int
    last_run: int
    saving: PendingWrite | None = None
    refusals: int = 0
    cooling_until: float = float("-inf")


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
    superseded : bool
        An agent has seen a higher epoch, so another planner holds the lease.
    loaded : bool
        All job rows have been read since the lease was taken.
    wall_offset : float
        Seconds since 1970-01-01 UTC minus the monotonic clock, for times in job rows.
    agent_of_worker : dict
        Agent of each worker.
    jobs_on_worker : dict
        Jobs whose run has members on each worker.
    saving : set
        Jobs whose row is being written.
    cooling : set
        Jobs that wait for ``cooling_until``; placement counts their cells as taken meanwhile.
    silence_checked_at : float
        When the gangs were last searched for silent members.
    start_tokens : float
        Starts that may begin at once, as of ``tokens_at``.
    confirmed_lost : bool
        An operator confirmed that nothing runs in the data centre.
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
