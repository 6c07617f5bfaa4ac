"""Decisions of the store task: what is sent when, and what became of it."""

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
MAX_CONCURRENT = 64
MIN_CONCURRENT = 2
MAX_QUEUED = 20_000
# The store remembers transaction ids for ten minutes; a resend must stay well within that.
MAX_TIMEOUT_SECONDS = 300.0
RETRY_FIRST_SECONDS = 0.05
RETRY_MAX_SECONDS = 1.0
# One silent connection must not count as an outage.
OUTAGE_FAILURES = 3
PROBE_FIRST_SECONDS = 0.1
PROBE_MAX_SECONDS = 1.0
RAMP_SECONDS = 10.0
RAMP_START_SHARE = 0.1
# How long an attempt waits for its answer, before it is sent again on a new connection.
MIN_PATIENCE_SECONDS = 1.0
MAX_PATIENCE_SECONDS = 4.0
SHORTEST_ATTEMPT_SECONDS = 0.01

PROBE = 0

Jitter = typing.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The store answered; ``committed`` or ``rows`` is set as the message asked, or neither."""

    committed: store.Committed | None = None
    rows: store.Rows | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """No valid answer came.

    Attributes
    ----------
    reached : bool
        Whether the store may have received the request; False only without a connection.
    """

    reached: bool
    detail: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Effect: send the message once; ``number`` is ``PROBE`` for an empty read."""

    number: int
    message: messages.Commit | messages.Read | None
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Resolve:
    """Effect: tell the sender of a message what became of it."""

    message: messages.Commit | messages.Read
    outcome: store.Committed | store.Rows


Effect = Attempt | Resolve


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket; ``rate`` is in tokens a second."""

    rate: float
    tokens: float = 0.0
    updated_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Item:
    """A message that is not resolved."""

    message: messages.Commit | messages.Read
    deadline: float
    attempts: int = 0
    maybe_reached: bool = False
    in_flight: bool = False


@dataclasses.dataclass(slots=True)
class Lane:
    """Items of one kind that are ready to be sent, and the limits of that kind."""

    bucket: Bucket
    urgent: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    normal: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """Unresolved messages, and what is known of the store."""

    jitter: Jitter
    writes: Lane = dataclasses.field(default_factory=lambda: Lane(Bucket(WRITES_PER_SECOND)))
    reads: Lane = dataclasses.field(default_factory=lambda: Lane(Bucket(READS_PER_SECOND)))
    items: dict[int, Item] = dataclasses.field(default_factory=dict)
    last_number: int = PROBE
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    retries: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    failures: int = 0
    outage: bool = False
    probing: bool = False
    probes: int = 0
    probe_at: float = 0.0
    ramp_from: float = -math.inf
    patience: float = MIN_PATIENCE_SECONDS
    last_contact: float = -math.inf
    closing: bool = False


def accept(state: State, message: messages.Commit | messages.Read, now: float) -> list[Effect]:
    """Queue a message; a full queue refuses it."""
    deadline = now + min(message.timeout_seconds, MAX_TIMEOUT_SECONDS)
    item = Item(message, deadline)
    if len(state.items) >= MAX_QUEUED:
        return [Resolve(message, _unresolved(item, now))]
    state.last_number += 1
    state.items[state.last_number] = item
    heapq.heappush(state.deadlines, (deadline, state.last_number))
    _enqueue(state, state.last_number, item)
    return advance(state, now)


def attempted(
    state: State, number: int, result: Answered | Failed, seconds: float, now: float
) -> list[Effect]:
    """Take the result of an attempt that lasted ``seconds``."""
    _observe(state, result, seconds, now)
    if number == PROBE:
        state.probing = False
        return advance(state, now)
    item = state.items[number]
    item.in_flight = False
    _lane(state, item).in_flight -= 1
    effects: list[Effect] = []
    if isinstance(result, Answered):
        del state.items[number]
        outcome = typing.cast("store.Committed | store.Rows", result.committed or result.rows)
        effects.append(Resolve(item.message, outcome))
    else:
        item.maybe_reached = item.maybe_reached or result.reached
        delay = min(RETRY_FIRST_SECONDS * 2**item.attempts, RETRY_MAX_SECONDS)
        heapq.heappush(state.retries, (now + delay * (0.5 + state.jitter() / 2), number))
    return effects + advance(state, now)


def advance(state: State, now: float) -> list[Effect]:
    """Resolve what has expired and send what may be sent."""
    effects = _expire(state, now)
    while state.retries and state.retries[0][0] <= now:
        _, number = heapq.heappop(state.retries)
        if number in state.items:
            _enqueue(state, number, state.items[number])
    if state.closing:
        return effects
    if not state.outage:
        return effects + _launch(state, state.writes, now) + _launch(state, state.reads, now)
    if state.probing or now < state.probe_at:
        return effects
    state.probing = True
    return [*effects, Attempt(PROBE, None, state.patience)]


def next_wake(state: State, now: float) -> float:
    """Return when ``advance`` is next due without another event; infinite when never."""
    moments = [queue[0][0] for queue in (state.deadlines, state.retries) if queue]
    if state.outage and not state.probing:
        moments.append(state.probe_at)
    if not state.outage:
        for lane in (state.writes, state.reads):
            if (lane.urgent or lane.normal) and lane.in_flight < _concurrency(state, now):
                rate = lane.bucket.rate * _share(state, now)
                missing = max(1.0 - lane.bucket.tokens, 0.0)
                # Rounding may leave a token just short of whole; the millisecond covers it.
                moments.append(now + missing / rate + 0.001)
    return min(moments, default=math.inf)


def abandon(state: State, now: float) -> list[Effect]:
    """Resolve all messages, because the task closes."""
    items = list(state.items.values())
    state.items.clear()
    for item in items:
        # An attempt that is cut short may have reached the store.
        item.maybe_reached = item.maybe_reached or item.in_flight
    return [Resolve(item.message, _unresolved(item, now)) for item in items]


def describe(state: State, now: float) -> dict[str, typing.Any]:
    """Return the state for a dump."""
    word = "outage" if state.outage else "ramp" if _share(state, now) < 1.0 else "up"
    age = now - state.last_contact
    return {
        "state": word,
        "last_contact_age_seconds": round(age, 3) if math.isfinite(age) else None,
        "writes_waiting": len(state.writes.urgent) + len(state.writes.normal),
        "reads_waiting": len(state.reads.urgent) + len(state.reads.normal),
        "retries_waiting": len(state.retries),
        "writes_in_flight": state.writes.in_flight,
        "reads_in_flight": state.reads.in_flight,
        "unresolved": len(state.items),
        "patience_seconds": round(state.patience, 3),
    }


def _lane(state: State, item: Item) -> Lane:
    return state.writes if isinstance(item.message, messages.Commit) else state.reads


def _enqueue(state: State, number: int, item: Item) -> None:
    lane, message = _lane(state, item), item.message
    urgent = isinstance(message, messages.Commit) and message.transaction.urgent
    queue = lane.urgent if urgent else lane.normal
    # An item that is sent again is older than those that wait.
    if item.attempts:
        queue.appendleft(number)
    else:
        queue.append(number)


def _launch(state: State, lane: Lane, now: float) -> list[Effect]:
    effects: list[Effect] = []
    share = _share(state, now)
    _refill(lane.bucket, share, now)
    limit = _concurrency(state, now)
    while lane.in_flight < limit and lane.bucket.tokens >= 1.0:
        queue = lane.urgent or lane.normal
        if not queue:
            break
        number = queue.popleft()
        item = state.items.get(number)
        if item is None or item.deadline - now < SHORTEST_ATTEMPT_SECONDS:
            continue
        lane.bucket.tokens -= 1.0
        lane.in_flight += 1
        # Each further attempt waits longer, so that a slow store is told from a dead connection.
        patience = state.patience * 2**item.attempts
        item.attempts += 1
        item.in_flight = True
        effects.append(Attempt(number, item.message, min(patience, item.deadline - now)))
    return effects


def _refill(bucket: Bucket, share: float, now: float) -> None:
    rate = bucket.rate * share
    earned = rate * (now - bucket.updated_at)
    bucket.tokens = min(bucket.tokens + earned, max(1.0, rate * BURST_SECONDS))
    bucket.updated_at = now


def _share(state: State, now: float) -> float:
    """Return the share of the full rate that may be used, lower for a while after an outage."""
    return min(RAMP_START_SHARE + (now - state.ramp_from) / RAMP_SECONDS, 1.0)


def _concurrency(state: State, now: float) -> int:
    return max(MIN_CONCURRENT, int(MAX_CONCURRENT * _share(state, now)))


def _expire(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, number = heapq.heappop(state.deadlines)
        item = state.items.get(number)
        if item is None:
            continue
        if item.in_flight:
            # The attempt ends at the deadline too; its result decides.
            heapq.heappush(state.deadlines, (now + SHORTEST_ATTEMPT_SECONDS, number))
            continue
        del state.items[number]
        effects.append(Resolve(item.message, _unresolved(item, now)))
    return effects


def _unresolved(item: Item, now: float) -> store.Committed | store.Rows:
    if isinstance(item.message, messages.Read):
        return store.Rows(item.message.tag, False, {}, now)
    outcome = store.Outcome.UNKNOWN if item.maybe_reached else store.Outcome.NOT_SENT
    return store.Committed(item.message.transaction, outcome)


def _observe(state: State, result: Answered | Failed, seconds: float, now: float) -> None:
    if isinstance(result, Answered):
        if state.outage:
            state.ramp_from = now
        state.outage, state.failures, state.probes = False, 0, 0
        state.last_contact = now
        wanted = max(MIN_PATIENCE_SECONDS, 3 * seconds)
        state.patience += 0.2 * (wanted - state.patience)
        return
    state.failures += 1
    if result.timed_out:
        state.patience = min(max(state.patience, 2 * seconds), MAX_PATIENCE_SECONDS)
    if state.failures >= OUTAGE_FAILURES:
        state.outage = True
        delay = min(PROBE_FIRST_SECONDS * 2 ** min(state.probes, 10), PROBE_MAX_SECONDS)
        state.probe_at = now + delay * (0.5 + state.jitter() / 2)
        state.probes += 1
