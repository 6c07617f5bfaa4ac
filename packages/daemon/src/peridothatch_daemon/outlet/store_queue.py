"""Decisions of the store task: rate limits, retries, outage detection and outcomes."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
import typing

from peridothatch_core.message import store
from peridothatch_daemon import messages

WRITES_PER_SECOND = 300.0
READS_PER_SECOND = 1500.0
BURST_SECONDS = 0.1
MAX_IN_FLIGHT = 64
MIN_IN_FLIGHT = 2
MAX_QUEUED = 20_000
# The store remembers transaction ids for 10 minutes and detects a resent transaction only by then,
# so the last attempt must come well before.
MAX_TIMEOUT_SECONDS = 300.0
RETRY_FIRST_DELAY_SECONDS = 0.05
RETRY_MAX_DELAY_SECONDS = 1.0
# One unresponsive connection must not count as an outage.
FAILURES_BEFORE_OUTAGE = 3
PROBE_FIRST_DELAY_SECONDS = 0.1
PROBE_MAX_DELAY_SECONDS = 1.0
RAMP_UP_SECONDS = 10.0
RAMP_UP_START_SHARE = 0.1
# Bounds of the timeout of a first attempt, after which the message is sent again on a new
# connection.
MIN_BASE_TIMEOUT_SECONDS = 1.0
MAX_BASE_TIMEOUT_SECONDS = 4.0
MIN_ATTEMPT_SECONDS = 0.01

PROBE_NUMBER = 0

Jitter = typing.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The store answered a commit (``committed``), a read (``rows``) or a probe (neither)."""

    committed: store.Committed | None = None
    rows: store.Rows | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt ended without a valid answer.

    Attributes
    ----------
    may_have_reached_store : bool
        Whether the store may have received the request; ``False`` only if no connection was
        made.
    """

    may_have_reached_store: bool
    detail: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Effect: send a message once, or an empty read if ``number`` is ``PROBE_NUMBER``."""

    number: int
    message: messages.Commit | messages.Read | None
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Resolve:
    """Effect: send the outcome of a message to its sender."""

    message: messages.Commit | messages.Read
    outcome: store.Committed | store.Rows


Effect = Attempt | Resolve


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket; ``rate`` is in tokens per second."""

    rate: float
    tokens: float = 0.0
    updated_at: float = 0.0


@dataclasses.dataclass(slots=True)
class PendingMessage:
    """A message whose outcome has not been sent."""

    message: messages.Commit | messages.Read
    deadline: float
    attempts: int = 0
    may_have_reached_store: bool = False
    in_flight: bool = False


@dataclasses.dataclass(slots=True)
class OperationQueue:
    """Numbers of the writes or reads that are ready to be sent, and their limits."""

    bucket: TokenBucket
    urgent: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    normal: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """Pending messages, and the observed health of the store."""

    jitter: Jitter
    writes: OperationQueue = dataclasses.field(
        default_factory=lambda: OperationQueue(TokenBucket(WRITES_PER_SECOND))
    )
    reads: OperationQueue = dataclasses.field(
        default_factory=lambda: OperationQueue(TokenBucket(READS_PER_SECOND))
    )
    pending: dict[int, PendingMessage] = dataclasses.field(default_factory=dict)
    last_number: int = PROBE_NUMBER
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    retries: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    consecutive_failures: int = 0
    outage: bool = False
    probing: bool = False
    probe_count: int = 0
    probe_at: float = 0.0
    recovered_at: float = -math.inf
    base_timeout_seconds: float = MIN_BASE_TIMEOUT_SECONDS
    last_answer_at: float = -math.inf
    closing: bool = False


def accept(state: State, message: messages.Commit | messages.Read, now: float) -> list[Effect]:
    """Queue a message; if the queue is full, resolve it at once without sending it."""
    deadline = now + min(message.timeout_seconds, MAX_TIMEOUT_SECONDS)
    item = PendingMessage(message, deadline)
    if len(state.pending) >= MAX_QUEUED:
        return [Resolve(message, _failed_outcome(item, now))]
    state.last_number += 1
    state.pending[state.last_number] = item
    heapq.heappush(state.deadlines, (deadline, state.last_number))
    _enqueue(state, state.last_number, item)
    return advance(state, now)


def record_result(
    state: State, number: int, result: Answered | Failed, seconds: float, now: float
) -> list[Effect]:
    """Record the result of an attempt that took ``seconds``."""
    _update_store_health(state, result, seconds, now)
    if number == PROBE_NUMBER:
        state.probing = False
        return advance(state, now)
    item = state.pending[number]
    item.in_flight = False
    _queue_of(state, item).in_flight -= 1
    effects: list[Effect] = []
    if isinstance(result, Answered):
        del state.pending[number]
        outcome = typing.cast("store.Committed | store.Rows", result.committed or result.rows)
        effects.append(Resolve(item.message, outcome))
    else:
        item.may_have_reached_store = item.may_have_reached_store or result.may_have_reached_store
        delay = min(RETRY_FIRST_DELAY_SECONDS * 2**item.attempts, RETRY_MAX_DELAY_SECONDS)
        heapq.heappush(state.retries, (now + delay * (0.5 + state.jitter() / 2), number))
    return effects + advance(state, now)


def advance(state: State, now: float) -> list[Effect]:
    """Resolve expired messages and start the attempts that the limits allow."""
    effects = _expire(state, now)
    while state.retries and state.retries[0][0] <= now:
        _, number = heapq.heappop(state.retries)
        if number in state.pending:
            _enqueue(state, number, state.pending[number])
    if state.closing:
        return effects
    if not state.outage:
        return (
            effects
            + _start_attempts(state, state.writes, now)
            + _start_attempts(state, state.reads, now)
        )
    if state.probing or now < state.probe_at:
        return effects
    state.probing = True
    return [*effects, Attempt(PROBE_NUMBER, None, state.base_timeout_seconds)]


def next_due_time(state: State, now: float) -> float:
    """Return when ``advance`` is due if no other event comes; infinite if it is not due."""
    due_times = [heap[0][0] for heap in (state.deadlines, state.retries) if heap]
    if state.outage and not state.probing:
        due_times.append(state.probe_at)
    if not state.outage:
        for queue in (state.writes, state.reads):
            if (queue.urgent or queue.normal) and queue.in_flight < _max_in_flight(state, now):
                rate = queue.bucket.rate * _rate_share(state, now)
                missing_tokens = max(1.0 - queue.bucket.tokens, 0.0)
                # Rounding may leave the bucket just below one token; the extra 1 ms covers this.
                due_times.append(now + missing_tokens / rate + 0.001)
    return min(due_times, default=math.inf)


def resolve_all(state: State, now: float) -> list[Effect]:
    """Resolve all pending messages because the task is closing."""
    items = list(state.pending.values())
    state.pending.clear()
    for item in items:
        # A cancelled attempt may have reached the store.
        item.may_have_reached_store = item.may_have_reached_store or item.in_flight
    return [Resolve(item.message, _failed_outcome(item, now)) for item in items]


def describe(state: State, now: float) -> dict[str, typing.Any]:
    """Return the state as plain JSON types, for ``DumpState``."""
    status = "outage" if state.outage else "ramp" if _rate_share(state, now) < 1.0 else "up"
    age = now - state.last_answer_at
    return {
        "state": status,
        "last_contact_age_seconds": round(age, 3) if math.isfinite(age) else None,
        "writes_waiting": len(state.writes.urgent) + len(state.writes.normal),
        "reads_waiting": len(state.reads.urgent) + len(state.reads.normal),
        "retries_waiting": len(state.retries),
        "writes_in_flight": state.writes.in_flight,
        "reads_in_flight": state.reads.in_flight,
        "unresolved": len(state.pending),
        "patience_seconds": round(state.base_timeout_seconds, 3),
    }


def _queue_of(state: State, item: PendingMessage) -> OperationQueue:
    return state.writes if isinstance(item.message, messages.Commit) else state.reads


def _enqueue(state: State, number: int, item: PendingMessage) -> None:
    queue, message = _queue_of(state, item), item.message
    urgent = isinstance(message, messages.Commit) and message.transaction.urgent
    numbers = queue.urgent if urgent else queue.normal
    # A message to be retried is older than all that were never sent.
    if item.attempts:
        numbers.appendleft(number)
    else:
        numbers.append(number)


def _start_attempts(state: State, queue: OperationQueue, now: float) -> list[Effect]:
    effects: list[Effect] = []
    share = _rate_share(state, now)
    _refill(queue.bucket, share, now)
    limit = _max_in_flight(state, now)
    while queue.in_flight < limit and queue.bucket.tokens >= 1.0:
        numbers = queue.urgent or queue.normal
        if not numbers:
            break
        number = numbers.popleft()
        item = state.pending.get(number)
        if item is None or item.deadline - now < MIN_ATTEMPT_SECONDS:
            continue
        queue.bucket.tokens -= 1.0
        queue.in_flight += 1
        # The timeout doubles with each attempt: a retry on a new connection recovers from a dead
        # connection, and the longer timeout then lets a slow store answer.
        timeout_seconds = state.base_timeout_seconds * 2**item.attempts
        item.attempts += 1
        item.in_flight = True
        effects.append(Attempt(number, item.message, min(timeout_seconds, item.deadline - now)))
    return effects


def _refill(bucket: TokenBucket, share: float, now: float) -> None:
    rate = bucket.rate * share
    earned = rate * (now - bucket.updated_at)
    bucket.tokens = min(bucket.tokens + earned, max(1.0, rate * BURST_SECONDS))
    bucket.updated_at = now


def _rate_share(state: State, now: float) -> float:
    """Return the allowed share of the full rate; it rises from a low share after an outage."""
    return min(RAMP_UP_START_SHARE + (now - state.recovered_at) / RAMP_UP_SECONDS, 1.0)


def _max_in_flight(state: State, now: float) -> int:
    return max(MIN_IN_FLIGHT, int(MAX_IN_FLIGHT * _rate_share(state, now)))


def _expire(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, number = heapq.heappop(state.deadlines)
        item = state.pending.get(number)
        if item is None:
            continue
        if item.in_flight:
            # The attempt times out at the same deadline, and its result decides the outcome.
            heapq.heappush(state.deadlines, (now + MIN_ATTEMPT_SECONDS, number))
            continue
        del state.pending[number]
        effects.append(Resolve(item.message, _failed_outcome(item, now)))
    return effects


def _failed_outcome(item: PendingMessage, now: float) -> store.Committed | store.Rows:
    if isinstance(item.message, messages.Read):
        return store.Rows(item.message.tag, False, {}, now)
    outcome = store.Outcome.UNKNOWN if item.may_have_reached_store else store.Outcome.NOT_SENT
    return store.Committed(item.message.transaction, outcome)


def _update_store_health(
    state: State, result: Answered | Failed, seconds: float, now: float
) -> None:
    if isinstance(result, Answered):
        if state.outage:
            state.recovered_at = now
        state.outage, state.consecutive_failures, state.probe_count = False, 0, 0
        state.last_answer_at = now
        target = max(MIN_BASE_TIMEOUT_SECONDS, 3 * seconds)
        state.base_timeout_seconds += 0.2 * (target - state.base_timeout_seconds)
        return
    state.consecutive_failures += 1
    if result.timed_out:
        state.base_timeout_seconds = min(
            max(state.base_timeout_seconds, 2 * seconds), MAX_BASE_TIMEOUT_SECONDS
        )
    if state.consecutive_failures >= FAILURES_BEFORE_OUTAGE:
        state.outage = True
        delay = min(
            PROBE_FIRST_DELAY_SECONDS * 2 ** min(state.probe_count, 10), PROBE_MAX_DELAY_SECONDS
        )
        state.probe_at = now + delay * (0.5 + state.jitter() / 2)
        state.probe_count += 1
