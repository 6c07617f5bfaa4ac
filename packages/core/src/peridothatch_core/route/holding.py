"""State of the requests that an agent has received for its backend server."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import typing

from peridothatch_core.model import request, verdict

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import backend

# A leaving backend server must get no new requests after this time.
LEAVING_GRACE_SECONDS = 3.0

# An answer that is not acknowledged is kept this long after the deadline.
KEPT_AFTER_DEADLINE_SECONDS = 60.0

# Exceeds the longest deadline (600 s), so that a delayed Dispatch still finds the tombstone.
TOMBSTONE_SECONDS = 660.0

# The id of a dropped record is remembered for one to two of these periods. Without it, a delayed
# Dispatch could run the request again, or a query could report "not run" for one that ran.
DROPPED_IDS_PERIOD_SECONDS = 660.0


class Phase(enum.StrEnum):
    """Phase of a request on the agent side."""

    QUEUED = "queued"
    PASSED = "passed"
    ENDED = "ended"
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class Record:
    """A request that was received or queried; its id is not run again while the record exists.

    Attributes
    ----------
    entry_id, entry_incarnation : str
        Entry that sent the request; empty if only the request id is known.
    keep_until : float
        Monotonic time in seconds at which the record is dropped.
    answer : request.Answer or None
        The outcome, until the entry acknowledges it.
    """

    request: request.Request
    entry_id: str
    entry_incarnation: str
    deadline: float
    keep_until: float
    phase: Phase
    answer: request.Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the memory of an agent, which has 128 MB.

    A record takes about 0.5 KB and the id of a dropped record 0.2 KB. With two periods of ids the
    limits add up to about 60 MB.
    """

    records: int = 30_000
    max_dropped_ids: int = 60_000
    kept_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class State:
    """State of request routing on the agent side.

    Attributes
    ----------
    withheld_slots : int
        Slots that the backend server declares but does not provide, for example because calls that
        timed out still use them.
    open_calls : set of str
        Ids of the requests whose HTTP calls are in progress.
    awaiting_answer : set of str
        Ids of the requests that were passed to the backend server and have no outcome.
    kept : dict of str to int
        Size in bytes by id, for answers that are not acknowledged, oldest first.
    dropped_ids, previous_dropped_ids : set of str
        Ids of the records dropped in the current and the previous period.
    disconnected_at : dict of str to float
        Monotonic time by entry id at which the last connection ended.
    """

    own: link.Hello
    limits: Limits = dataclasses.field(default_factory=Limits)
    server: backend.BackendServer | None = None
    reachable: bool = False
    withheld_slots: int = 0
    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    dropped_ids: set[str] = dataclasses.field(default_factory=set)
    previous_dropped_ids: set[str] = dataclasses.field(default_factory=set)
    dropped_ids_since: float = 0.0
    queue: list[str] = dataclasses.field(default_factory=list)
    open_calls: set[str] = dataclasses.field(default_factory=set)
    awaiting_answer: set[str] = dataclasses.field(default_factory=set)
    kept: dict[str, int] = dataclasses.field(default_factory=dict)
    kept_bytes: int = 0
    peers: dict[str, link.Hello] = dataclasses.field(default_factory=dict)
    disconnected_at: dict[str, float] = dataclasses.field(default_factory=dict)
    timers: list[tuple[float, int, str]] = dataclasses.field(default_factory=list)
    sequence: typing.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    heartbeats: int = 0
    draining: bool = False
    leaving_since: float | None = None
    counters: dict[str, int] = dataclasses.field(default_factory=dict)


def count(state: State, name: str) -> None:
    """Increment a counter."""
    state.counters[name] = state.counters.get(name, 0) + 1


def update_leaving_since(state: State, now: float) -> None:
    """Update the time since which new requests are refused."""
    if not is_leaving(state):
        state.leaving_since = None
    elif state.leaving_since is None:
        state.leaving_since = now


def check_passed(state: State, now: float) -> None:
    """Check a request passed to the server, and count a breach if the server has left."""
    since = state.leaving_since
    if since is not None and now - since > LEAVING_GRACE_SECONDS:
        count(state, "passed_to_leaving")


def slots(state: State) -> int:
    """Return the number of slots that the backend server is expected to provide."""
    return max(0, state.server.slots - state.withheld_slots) if state.server is not None else 0


def in_flight(state: State) -> int:
    """Return the number of requests that use or wait for a slot."""
    return len(state.open_calls) + len(state.queue)


def is_leaving(state: State) -> bool:
    """Return whether new requests are refused."""
    server = state.server
    return state.draining or not state.reachable or server is None or server.leaving


def add(state: State, record: Record) -> None:
    """Store a record and schedule its timer."""
    state.records[record.request.id] = record
    set_timer(state, min(record.deadline, record.keep_until), record.request.id)


def set_timer(state: State, at: float, request_id: str) -> None:
    """Schedule a check of the record at time ``at``."""
    heapq.heappush(state.timers, (at, next(state.sequence), request_id))


def end(state: State, record: Record, answer: request.Answer) -> None:
    """End a request; its answer is kept until it is acknowledged."""
    request_id = record.request.id
    if request_id in state.queue:
        state.queue.remove(request_id)
    state.awaiting_answer.discard(request_id)
    record.phase = Phase.ENDED
    record.answer = answer
    record.request = dataclasses.replace(record.request, body=b"")
    _retain(state, request_id, len(answer.body))


def acknowledge(state: State, record: Record) -> None:
    """Discard an acknowledged answer, but keep the record to refuse duplicates."""
    record.phase = Phase.ACKNOWLEDGED
    record.answer = None
    state.kept_bytes -= state.kept.pop(record.request.id, 0)


def drop(state: State, record: Record, now: float) -> None:
    """Discard a record and remember only its id."""
    state.kept_bytes -= state.kept.pop(record.request.id, 0)
    del state.records[record.request.id]
    full = len(state.dropped_ids) >= state.limits.max_dropped_ids
    if full:
        count(state, "ids_dropped_early")
    if full or now >= state.dropped_ids_since + DROPPED_IDS_PERIOD_SECONDS:
        state.previous_dropped_ids, state.dropped_ids, state.dropped_ids_since = (
            state.dropped_ids,
            set(),
            now,
        )
    state.dropped_ids.add(record.request.id)


def was_seen(state: State, request_id: str) -> bool:
    """Return whether a record of the request has been dropped."""
    return request_id in state.dropped_ids or request_id in state.previous_dropped_ids


def not_run(request_id: str, status: int, detail: str) -> request.Answer:
    """Return the outcome of a request that the backend server did not run."""
    return request.Answer(request_id, verdict.Verdict.NOT_RUN, status, detail=detail)


def may_have_run(request_id: str, detail: str) -> request.Answer:
    """Return the outcome of a request that may have run but has no answer."""
    return request.Answer(request_id, verdict.Verdict.MAY_HAVE_RUN, detail=detail)


def dump(state: State) -> dict[str, typing.Any]:
    """Return the state as JSON-compatible types, without request and answer bodies."""
    phases = [record.phase for record in state.records.values()]
    return {
        "backend_server": state.server.id if state.server is not None else "",
        "leaving": is_leaving(state),
        "slots": slots(state),
        "calls": len(state.open_calls),
        "queued": len(state.queue),
        "requests": {phase.value: phases.count(phase) for phase in Phase},
        "kept_bytes": state.kept_bytes,
        "counters": dict(state.counters),
        "breaches": {
            "true_not_run": state.counters.get("ran_after_not_run", 0),
            "no_work_to_leaving": state.counters.get("passed_to_leaving", 0),
        },
    }


def _retain(state: State, request_id: str, size: int) -> None:
    """Account for a kept answer; above the limit, the oldest become ``MAY_HAVE_RUN``."""
    state.kept_bytes += size - state.kept.pop(request_id, 0)
    state.kept[request_id] = size
    while state.kept_bytes > state.limits.kept_bytes:
        oldest = next(iter(state.kept))
        state.kept_bytes -= state.kept.pop(oldest)
        record = state.records[oldest]
        if record.answer is not None and record.answer.body:
            record.answer = may_have_run(oldest, "the answer was evicted to limit memory use")
            count(state, "answers_dropped_early")
