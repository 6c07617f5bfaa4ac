"""State of an agent: its worker, its tracked runs and its lease.

Two clocks are involved in the lease. The agent's row tells the scheduler, in store time, how
long runs may live without another renewal. The worker gets a deadline on its own clock. It never
comes later than the time in the row, whatever the delays of the calls are and even if the
worker's clock runs 2 % slow, so the scheduler can start a task again once the lease has expired.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from peridothatch_core.commit import backoff
from peridothatch_core.model import agents, steps, storeclock

if TYPE_CHECKING:
    from peridothatch_core.hold import exchange

MIN_CLOCK_RATE = 0.98
"""Lowest supported rate of a worker's clock, relative to the agent's clock."""

FENCES_PER_PROCESS = 2**20
"""Fencing tokens that a process may use. It registers under a multiple of this number and raises
the token by one for each loss of contact with the worker, which needs no write to the store."""

LEASE_MARGIN_MS = 500
"""Difference between the longest deadline that a worker grants and the agent's lease. It keeps the
worker from shortening a deadline that the agent relies on."""

DEADLINE_MARGIN_SECONDS = 0.1
"""Time by which the worker's deadline comes before the end of the lease in the store."""

RENEW_INTERVAL_SECONDS = 2.0
"""Longest interval between renewals of the lease in the store."""

RENEW_LEASE_SHARE = 0.15
"""Share of the lease after which it is renewed while a run would lose its work with it. What is
left of the lease is the longest outage of the store that such a run survives."""

RENEW_SPREAD = 0.2
"""Share of the interval by which renewals differ from each other. Those that were answered as one
group, or after the same outage, would otherwise stay together and wait for each other."""

SLOW_COMMIT_SECONDS = 0.15
"""Duration of a renewal from which the store counts as busy. Renewals then keep the longest
interval, because more of them would only queue behind each other."""

NEAR_DEADLINE_MS = 1500
"""Time before the worker's deadline from which a renewed lease is passed on to the worker at once.
A list call that waits for an end takes up to a second, and the next one carries the deadline."""

MIN_EXTENSION_MS = 500
"""Least extension for which a call of its own is made."""

MIN_LEASE_FOR_START_SECONDS = 1.5
"""Least remaining time of the lease at which a run is started. A lease with less time left could
expire before its next renewal."""

RETRY_DELAY_SECONDS = 0.25
"""Delay before a call without a usable answer is repeated."""

RETRY_LEASE_SHARE = 0.15
"""Longest delay after the partition was full, as a share of the lease. A lease of 5.5 s that was
renewed 2 s ago leaves time for three attempts."""

SUSPENSION_SECONDS = 1.0
"""Time without any event from which the agent concludes that it was suspended itself. Ticks are
more frequent."""

MAX_RECORDED_RUNS = 1000
"""Runs with a recorded end that are remembered until their orders are known to be gone."""

MAX_UNANSWERED_STARTS = 2
"""Unanswered starts after which the run is stopped and given up. A worker may carry out an
unanswered start seconds later, while the other members of the gang wait for it."""

CLAIM_RETRY_DELAY_SECONDS = 0.1
"""Time without claims after a write that claimed orders has conflicted. One of the orders may have
been withdrawn, which the feed will report, and the lease must be renewed in the meantime."""

MIN_LIST_INTERVAL_SECONDS = 0.05
"""Least time between list calls, because a worker may answer at once instead of waiting for an
end."""

ACKNOWLEDGE_WITHIN_SECONDS = 0.2
"""Longest time since a list call was sent at which its answer allows an acknowledgement. A worker
that has restarted since then would forget ends of its new incarnation."""

UNRECORDED_LIST_INTERVAL_SECONDS = 0.3
"""Time between list calls while ends wait to be recorded. The worker answers at once as long as it
has such ends."""

WORKER_TIMEOUT_SECONDS = 4.0
"""Time without a heartbeat or a list after which a worker is marked absent."""

DRAIN_STOP_LEAD_SECONDS = 1.5
"""Time before the departure of a draining worker at which checkpointing runs are stopped. The stop
takes up to the grace period of a kill, and its end must still reach the store."""

LEASE_STOP_LEAD_SECONDS = 1.5
"""Time before the end of the lease at which runs are stopped that the worker's deadline might not
end in time. The stop takes up to the grace period of a kill."""

DEPARTED_NO_LISTENER_CALLS = 3
"""Consecutive calls that must find no listener at a departing worker's address before its runs are
closed."""

DEPARTED_SILENCE_SECONDS = 2.0
"""Time without contact that is required as well; it is longer than the interval of heartbeats."""


class Phase(enum.Enum):
    """Phase of a run on the worker."""

    WAITING = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


@dataclasses.dataclass(slots=True)
class TrackedRun:
    """A run that the agent has an order for, or that the worker has listed.

    Attributes
    ----------
    order : Order or None
        ``None`` when the store holds no order for the run, which is then stopped.
    order_version : int
        Version of the order's row.
    needs_claim : bool
        The next write of the agent's row must claim the order.
    claimed : bool
        The agent's row in the store claims the order, so the run may start.
    may_have_started : bool
        A start without an answer may have been carried out, or may still be.
    unanswered_starts : int
        Starts without an answer.
    call_pending : bool
        A start or stop of the run has not been answered yet.
    stop_reason : str
        Why the run must stop; empty while it may run.
    stop_confirmed_at : float or None
        Local time in seconds at which the worker confirmed the stop.
    start_confirmed_at : float
        Local time at which the worker confirmed the start or first listed the run.
    retry_at : float
        Local time from which the next call may be sent.
    listed : bool
        The current incarnation of the worker has listed the run as running.
    percent : int
        Progress as last listed.
    saved : str
        Latest checkpoint as last listed.
    end : End or None
        How the run ended, once it is known.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A heartbeat with the time of its arrival.

    Attributes
    ----------
    received_at : float
        Local time in seconds at which the heartbeat arrived.
    """

    worker: agents.Worker
    sequence: int
    received_at: float


@dataclasses.dataclass(slots=True)
class State:
    """State of the agent; times are local seconds unless stated otherwise.

    Attributes
    ----------
    lease_duration_ms : int
        Length of the lease at each renewal.
    orders_loaded : bool
        The orders have been read. Until then a run without an order is not stopped.
    runs_listed : bool
        The worker has listed its runs since the orders were read. Until then a run of an earlier
        process of this node cannot be told from an order that was never carried out.
    registered : bool
        The agent's row in the store has the fencing token of this process.
    fence : int
        Fencing token that each call to the worker carries. It rises with each process of the
        node, each incarnation of the worker and each loss of contact with it, so that an
        incarnation refuses calls that were sent to an earlier one.
    incarnation_confirmed : bool
        The worker's incarnation has answered the last list call, and has seen the current token.
    has_just_answered : bool
        The event that is being handled is a recent answer to a list call.
    version : int
        Version of the agent's row.
    hold_until_ms : int
        Store time at which the lease in the row ends.
    pending_until_ms : int
        End of the lease in the pending write.
    renewed_at : float
        When the last committed write was sent.
    commit_seconds : float
        How long that write took.
    write_failed_at : float
        When a write or a read of the row failed last.
    refusals : int
        Consecutive writes that were refused because the partition was full.
    dirty : bool
        The row must be written, because what it describes has changed or a leader waits for it.
    renewal_requested : bool
        A leader waits for the next renewal.
    row_call_pending : bool
        A write or a read of the row has not been answered yet.
    ends_in_flight : dict
        Ends in the pending write, by task and attempt. A number would be ambiguous: the worker
        may start a new incarnation, which counts from 1, before the write is answered.
    obsolete_stops : set
        Runs whose stop was written after they had ended; the next write removes the stops.
    stops_in_flight : tuple of RunKey
        Obsolete stops that the pending write removes.
    claims_in_flight : tuple of RunKey
        Orders that the pending write claims.
    claim_retry_at : float
        When the next write may claim orders.
    inherited_claims : set
        Orders that an earlier process of this node claimed.
    worker : Worker or None
        Latest description of the worker.
    candidates : dict of ReceivedHeartbeat
        Latest heartbeats of incarnations that the worker's address has not confirmed, by instance
        and start time.
    identification : IdentifyWorker or None
        The call that asks for a candidate, until it is answered.
    identification_retry_at : float
        When the next such call may be sent.
    sequence : int
        Number of the last heartbeat from this incarnation of the worker; -1 accepts any.
    worker_seen : bool
        This process has received a heartbeat or a list from that incarnation of the worker.
    last_contact_at : float
        Last heartbeat or list from the worker, or when the agent resumed after a suspension.
    last_event_at : float
        When the last event was handled.
    leaves_at : float or None
        Earliest departure of a draining worker.
    deregistered : bool
        The worker has deregistered and has sent no heartbeat since.
    no_listener_calls : int
        Consecutive calls that found no listener at the worker's address.
    worker_clock_ms, worker_clock_at : int, float
        The worker's clock in its last answer, and when that answer arrived.
    latest_lease_end_ms : int
        Latest deadline that was sent to the worker, on the worker's clock.
    inherited_until_ms : int
        Store time by which the deadlines that an earlier process sent, or that an earlier
        incarnation of the worker received, have passed.
    inherited_reports : dict
        Run reports in the row of an earlier process of this node. They keep the checkpoints of
        runs that a new incarnation of the worker does not know.
    recorded_through : int
        All ends of the worker's incarnation up to this number are in the store, so that the
        worker may forget them.
    acknowledged_through : int
        Highest number that the worker's incarnation has answered an acknowledgement of.
    ends : dict
        Ends that wait to be recorded, by task and attempt, the oldest first.
    end_numbers : dict
        Numbers of those ends that the worker's incarnation has listed, by task and attempt.
    recorded_runs : dict
        Runs whose ends this process has recorded, the oldest first, until it has seen that their
        orders are gone. A read of the orders that was carried out before may still bring them.
    skipped_ends : set
        Numbers of ends above ``recorded_through`` that are recorded or need no record.
    list_call : ListRuns or None
        The list call that may wait for an end, until it is answered.
    concurrent_list_call : ListRuns or None
        A second list call, which does not wait for an end, until it is answered.
    concurrent_list_retry_at : float
        When the next such call may be sent.
    list_retry_at : float
        When the next list call that may wait for an end may be sent.
    runs : dict
        Tracked runs by task and attempt.
    observations : list of Observation
        What has happened since the caller last took them; they are only logged.
    """

    node: str
    zone: str
    lease_duration_ms: int
    clock: storeclock.StoreClock = dataclasses.field(default_factory=storeclock.StoreClock)
    orders_loaded: bool = False
    runs_listed: bool = False
    registered: bool = False
    fence: int = 0
    incarnation_confirmed: bool = False
    has_just_answered: bool = False
    lapses: int = 0
    version: int = 0
    hold_until_ms: int = 0
    pending_until_ms: int = 0
    renewed_at: float = -1e9
    commit_seconds: float = 0.0
    write_failed_at: float = -1e9
    refusals: int = 0
    dirty: bool = False
    renewal_requested: bool = False
    row_call_pending: bool = False
    write_retry_at: float = 0.0
    ends_in_flight: dict[exchange.RunKey, steps.End] = dataclasses.field(default_factory=dict)
    obsolete_stops: set[exchange.RunKey] = dataclasses.field(default_factory=set)
    stops_in_flight: tuple[exchange.RunKey, ...] = ()
    claims_in_flight: tuple[exchange.RunKey, ...] = ()
    claim_retry_at: float = 0.0
    inherited_claims: set[exchange.RunKey] = dataclasses.field(default_factory=set)
    worker: agents.Worker | None = None
    candidates: dict[tuple[str, int], ReceivedHeartbeat] = dataclasses.field(default_factory=dict)
    identification: exchange.IdentifyWorker | None = None
    identification_retry_at: float = 0.0
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
    acknowledged_through: int = 0
    ends: dict[exchange.RunKey, steps.End] = dataclasses.field(default_factory=dict)
    end_numbers: dict[exchange.RunKey, int] = dataclasses.field(default_factory=dict)
    recorded_runs: dict[exchange.RunKey, None] = dataclasses.field(default_factory=dict)
    skipped_ends: set[int] = dataclasses.field(default_factory=set)
    list_call: exchange.ListRuns | None = None
    concurrent_list_call: exchange.ListRuns | None = None
    concurrent_list_retry_at: float = 0.0
    list_retry_at: float = 0.0
    runs: dict[exchange.RunKey, TrackedRun] = dataclasses.field(default_factory=dict)
    observations: list[exchange.Observation] = dataclasses.field(default_factory=list)


def lease_ms(longest_ms: int) -> int:
    """Return the length of an agent's lease, given the longest deadline that workers grant."""
    return longest_ms - LEASE_MARGIN_MS


def renew_interval_seconds(state: State) -> float:
    """Return the time from the latest renewal of the lease to the next one."""
    dear = any(
        run.phase is Phase.RUNNING and run.order is not None and not run.order.checkpointing
        for run in state.runs.values()
    )
    interval = RENEW_INTERVAL_SECONDS
    if dear and state.commit_seconds < SLOW_COMMIT_SECONDS:
        interval = min(interval, RENEW_LEASE_SHARE * state.lease_duration_ms / 1000.0)
    return interval * (1.0 - RENEW_SPREAD * backoff.jitter(state.node, state.version))


def refused_retry_seconds(state: State) -> float:
    """Return the delay before a write is repeated that a full partition has refused."""
    longest = max(RETRY_DELAY_SECONDS, RETRY_LEASE_SHARE * state.lease_duration_ms / 1000.0)
    return backoff.delay_seconds(state.node, state.refusals, RETRY_DELAY_SECONDS, longest)


def lease_expires_at(state: State) -> float:
    """Return the local time up to which the lease in the store certainly lets runs live."""
    if not state.clock.known:
        return 0.0
    until = storeclock.local_time_before(state.clock, state.hold_until_ms)
    return until - DEADLINE_MARGIN_SECONDS


def lease_end_ms(state: State, now: float) -> int | None:
    """Return the deadline to send to the worker, on its own clock.

    The result is ``None`` while the worker's clock is unknown or the lease has expired.
    """
    deadline = _lease_end_ms(state, now)
    if deadline is not None:
        state.latest_lease_end_ms = max(state.latest_lease_end_ms, deadline)
    return deadline


def must_extend_deadline(state: State, now: float) -> bool:
    """Return whether the worker's deadline is near and the lease allows a later one."""
    deadline = _lease_end_ms(state, now)
    if deadline is None or not state.latest_lease_end_ms:
        return False
    worker_now_ms = state.worker_clock_ms + 1000.0 * (now - state.worker_clock_at)
    is_near = state.latest_lease_end_ms - worker_now_ms < NEAR_DEADLINE_MS
    return is_near and deadline - state.latest_lease_end_ms >= MIN_EXTENSION_MS


def _lease_end_ms(state: State, now: float) -> int | None:
    remaining_seconds = lease_expires_at(state) - state.worker_clock_at
    if not state.worker_clock_ms or lease_expires_at(state) <= now:
        return None
    return state.worker_clock_ms + int(1000 * MIN_CLOCK_RATE * remaining_seconds)


def lose_contact(state: State) -> None:
    """Take note that it is not known which incarnation of the worker gets the next call.

    Calls that were sent before may still be carried out, by whichever incarnation is there then.
    It refuses them once it has seen the higher token of the next call, which is sent without
    waiting for the answers to list calls before it.
    """
    state.fence += 1
    state.incarnation_confirmed = False
    state.list_call = None
    state.concurrent_list_call = None
    state.identification = None


def has_ends_to_acknowledge(state: State) -> bool:
    """Return whether the worker lists ends that it may forget."""
    return state.recorded_through > state.acknowledged_through


def worker_started_ms(state: State) -> int:
    """Return the start time of the worker's known incarnation; 0 when none is known."""
    return state.worker.started_ms if state.worker else 0


def worker_instance(state: State) -> str:
    """Return the id of the worker; empty when none is known."""
    return state.worker.instance if state.worker else ""
