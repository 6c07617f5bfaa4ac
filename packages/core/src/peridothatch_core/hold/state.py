"""What an agent knows of its worker, its orders and its lease, and the calls it asks for.

Safety rests on two clocks. The agent's row promises the scheduler, in store time, how long runs
may live without another renewal. The worker is given a deadline on its own clock that comes no
later than that promise, whatever the delays of the calls and a worker's clock that is 2 % slow.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from peridothatch_core.model import agents, steps, storeclock

if TYPE_CHECKING:
    from peridothatch_core.hold import exchange

MIN_CLOCK_RATE = 0.98
"""Least rate of a worker's clock."""

LEASE_MARGIN_MS = 500
"""Time by which a lease is shorter than the longest that a worker grants, so that the worker
never shortens a deadline that the agent relies on."""

DEADLINE_MARGIN_SECONDS = 0.1
"""Time by which the worker's deadline comes before the promise in the store."""

RENEW_INTERVAL_SECONDS = 2.0
"""Time between renewals of the lease in the store."""

MIN_LEASE_FOR_START_SECONDS = 1.5
"""Least rest of the lease for a start; a shorter one would lapse before the next renewal."""

RETRY_DELAY_SECONDS = 0.25
"""Pause before a call without a usable answer is sent again."""

SUSPENSION_SECONDS = 1.0
"""Time without any event after which the agent itself was paused; ticks come more often."""

MAX_UNANSWERED_STARTS = 2
"""Starts without an answer after which the run is barred and given up: a worker that leaves one
unanswered may carry it out seconds later, while the other members of a gang wait for it."""

CLAIM_RETRY_DELAY_SECONDS = 0.1
"""Pause of claims after a write that claimed orders has conflicted: one of them may have been
withdrawn, which the feed tells, and the lease must be renewed meanwhile."""

MIN_LIST_INTERVAL_SECONDS = 0.05
"""Least pause between lists: a worker may answer at once instead of waiting for an end."""

UNRECORDED_LIST_INTERVAL_SECONDS = 0.3
"""Pause between lists while ends wait to be recorded."""

WORKER_TIMEOUT_SECONDS = 4.0
"""Time without a heartbeat or a list after which a worker counts as absent."""

DRAIN_STOP_LEAD_SECONDS = 1.5
"""Time before a draining worker leaves at which checkpointing runs are stopped: the stop takes
up to the grace of a kill, and its end must reach the store."""


DEPARTED_NO_LISTENER_CALLS = 3
"""Calls in a row that find nothing listening at a departing worker's address before it counts
as gone."""


DEPARTED_SILENCE_SECONDS = 2.0
"""Silence, longer than the time between heartbeats, that such a worker must have kept as well."""


class Phase(enum.Enum):
    """Where a run stands on its worker."""

    WAITING = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


@dataclasses.dataclass(slots=True)
class TrackedRun:
    """A run that the agent has an order for, or that it found on the worker.

    Attributes
    ----------
    order : Order or None
        ``None`` for a run that no order in the store asks for; it is stopped.
    order_version : int
        Version of the order's row.
    claim_wanted, claimed : bool
        The next write of the agent's row shall claim the order; the row in the store claims it.
    unsure : bool
        A start was sent without an answer and may still be carried out.
    unanswered : int
        Starts in a row that had no answer.
    calling : bool
        A call about the run is under way.
    stop_reason : str
        Why the run must stop; empty while it may run.
    stopped_at : float or None
        When the worker confirmed the stop, in local seconds.
    confirmed_at : float
        When the worker confirmed the start.
    retry_at : float
        When the next call may be sent.
    listed : bool
        The current incarnation of the worker has listed the run.
    percent : int
        Progress as last listed.
    end : End or None
        The end, once it is known.
    """

    order: steps.Order | None
    order_version: int = 0
    phase: Phase = Phase.WAITING
    needs_claim: bool = False
    claimed: bool = False
    may_have_started: bool = False
    unanswered_starts: int = 0
    call_pending: bool = False
    stop_reason: str = ""
    stop_confirmed_at: float | None = None
    start_confirmed_at: float = 0.0
    retry_at: float = 0.0
    listed: bool = False
    percent: int = 0
    saved: str = ""
    end: steps.End | None = None


@dataclasses.dataclass(slots=True)
class State:
    """State of the agent.

    Attributes
    ----------
    hold_ms : int
        Length of the lease at each renewal.
    orders_loaded : bool
        The orders have been read; before that no run on the worker is known to be unwanted.
    runs_listed : bool
        The worker has been asked for its runs since; before that a run of an earlier process
        of this node looks like an order that was never carried out.
    registered : bool
        The agent's row carries this process's fence.
    version : int
        Version of the agent's row.
    hold_until_ms : int
        Store time that the row promises.
    wanted_until_ms : int
        Store time in the write that is under way.
    renewed_at : float
        When the last write that committed was sent.
    dirty : bool
        The worker's description has changed since it was written.
    renewal_asked : bool
        A leader waits for the next renewal.
    writing : bool
        A write or a read of the row is under way.
    ends_in_flight : dict
        Ends in the write that is under way, by the number that the worker gave them, or by a
        negative number of our own.
    obsolete_stops : set
        Runs that had ended before their stops were written; the next write removes the stops.
    written_stops : tuple of RunKey
        Those of the write that is under way.
    written_claims : tuple of RunKey
        Orders that the write under way claims.
    claims_from : float
        When the next write may claim orders, in local seconds.
    inherited_claims : set
        Orders that an earlier process of this node claimed.
    worker : Worker or None
        The worker's last description.
    sequence : int
        Number of the worker's last heartbeat in this incarnation.
    worker_heard : bool
        This process has had a heartbeat or a list from that incarnation of the worker.
    heard_at : float
        Last sign of incarnation of the worker, or when the agent woke from a pause.
    stepped_at : float
        When the last event was taken over.
    leaves_at : float or None
        When a draining worker may leave, in local seconds.
    deregistered : bool
        The worker has deregistered and has sent no heartbeat since.
    absent_calls : int
        Calls in a row that found nothing listening at the worker's address.
    worker_clock_ms, worker_clock_at : int, float
        The worker's clock in its last answer, and when that was received.
    given_lease_end_ms : int
        Latest deadline that the worker was sent, on its own clock.
    inherited_until_ms : int
        Store time by which deadlines of an earlier process, or for an earlier incarnation of the
        worker, have passed.
    inherited_reports : dict
        Runs in the row that an earlier process of this node wrote; a new incarnation of the worker
        does not know their checkpoints.
    recorded_through : int
        Ends up to this number are in the store, so that the worker may forget them.
    ends : dict
        Ends that wait to be recorded, by number.
    ignorable : set
        Numbers of ends that need no record.
    list_pending : bool
        A list of the worker's runs is under way.
    beside_pending : bool
        Another list is under way beside it, which does not wait for an end.
    beside_retry_at : float
        When the next such list may be asked for.
    """

    node: str
    zone: str
    lease_duration_ms: int
    clock: storeclock.StoreClock = dataclasses.field(default_factory=storeclock.StoreClock)
    orders_loaded: bool = False
    runs_listed: bool = False
    registered: bool = False
    fence: int = 0
    lapses: int = 0
    version: int = 0
    hold_until_ms: int = 0
    pending_until_ms: int = 0
    renewed_at: float = -1e9
    dirty: bool = False
    renewal_requested: bool = False
    row_call_pending: bool = False
    write_retry_at: float = 0.0
    ends_in_flight: dict[int, steps.End] = dataclasses.field(default_factory=dict)
    obsolete_stops: set[exchange.RunKey] = dataclasses.field(default_factory=set)
    stops_in_flight: tuple[exchange.RunKey, ...] = ()
    claims_in_flight: tuple[exchange.RunKey, ...] = ()
    claim_retry_at: float = 0.0
    inherited_claims: set[exchange.RunKey] = dataclasses.field(default_factory=set)
    worker: agents.Worker | None = None
    sequence: int = -1
    worker_seen: bool = False
    last_contact_at: float = 0.0
    last_event_at: float = 0.0
    leaves_at: float | None = None
    deregistered: bool = False
    no_listener_calls: int = 0
    worker_clock_ms: int = 0
    worker_clock_at: float = 0.0
    latest_lease_end_ms: int = 0
    inherited_until_ms: int = 0
    inherited_reports: dict[exchange.RunKey, agents.RunReport] = dataclasses.field(
        default_factory=dict
    )
    recorded_through: int = 0
    ends: dict[int, steps.End] = dataclasses.field(default_factory=dict)
    skipped_ends: set[int] = dataclasses.field(default_factory=set)
    last_local_end_number: int = 0
    list_pending: bool = False
    concurrent_list_pending: bool = False
    concurrent_list_retry_at: float = 0.0
    list_retry_at: float = 0.0
    runs: dict[exchange.RunKey, TrackedRun] = dataclasses.field(default_factory=dict)


def lease_ms(longest_ms: int) -> int:
    """Return the length of an agent's lease for the longest that workers grant."""
    return longest_ms - LEASE_MARGIN_MS


def lease_expires_at(state: State) -> float:
    """Return the local time up to which the promise in the store lets runs live."""
    if not state.clock.known:
        return 0.0
    until = storeclock.local_before(state.clock, state.hold_until_ms)
    return until - DEADLINE_MARGIN_SECONDS


def lease_end_ms(state: State, now: float) -> int | None:
    """Return the worker's deadline on its own clock, or ``None`` when there is none to give."""
    rest = lease_expires_at(state) - state.worker_clock_at
    if not state.worker_clock_ms or lease_expires_at(state) <= now:
        return None
    deadline = state.worker_clock_ms + int(1000 * MIN_CLOCK_RATE * rest)
    state.latest_lease_end_ms = max(state.latest_lease_end_ms, deadline)
    return deadline


def worker_instance(state: State) -> str:
    """Return the id of the current incarnation of the worker, empty when none is known."""
    return state.worker.instance if state.worker else ""
