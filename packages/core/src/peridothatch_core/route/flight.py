"""State of the requests that an entry has accepted and of the known backend servers."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import typing

from peridothatch_core.model import verdict
from peridothatch_core.route import ejection, link_budget, pool, retry_budget

if typing.TYPE_CHECKING:
    import result

    from peridothatch_core.message import link
    from peridothatch_core.model import request

Outcome = typing.Union["result.Ok[request.Answer]", "result.Err[verdict.Refusal]"]


class Phase(enum.StrEnum):
    """Phase of a request on the entry side."""

    CLAIMING = "claiming"
    FOLLOWING = "following"
    QUEUED = "queued"
    SENT = "sent"
    ENDED = "ended"


class Settling(enum.StrEnum):
    """Progress of writing the outcome to the row of the idempotency key."""

    NONE = "none"
    CLAIMED = "claimed"
    WRITING = "writing"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings that are constant while the entry runs.

    Attributes
    ----------
    link_bytes_per_second : float
        Bandwidth for requests between regions, out of about 1.9 MB/s of the whole link.
    queue_requests : int
        Maximum number of waiting requests per customer and service.
    queue_bytes : int
        Maximum size of the bodies of all waiting requests.
    kept_bytes : int
        Maximum size of the ended requests that are kept, including their answers.
    """

    entry_id: str
    incarnation: str
    data_centre: str
    region: str
    link_bytes_per_second: float = 400_000.0
    queue_requests: int = 256
    queue_bytes: int = 32 * 1024 * 1024
    kept_bytes: int = 32 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request sent to one agent; ``outcome`` is ``None`` until it is known."""

    peer_id: str
    incarnation: str
    sent_at: float
    outcome: verdict.Verdict | None = None


@dataclasses.dataclass(slots=True)
class Record:
    """A request that the entry has accepted.

    Attributes
    ----------
    waiters : list of int
        Tags of the callers that wait for the outcome.
    followers : list of str
        Ids of requests with the same idempotency key that get the outcome of this one.
    """

    request: request.Request
    deadline: float
    key: str
    waiters: list[int]
    phase: Phase = Phase.QUEUED
    queued_at: float = 0.0
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    outcome: Outcome | None = None
    digest: str = ""
    claim_attempts: int = 0
    settling: Settling = Settling.NONE
    followers: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Lookup:
    """A lookup of the outcome of a request that another entry accepted.

    Attributes
    ----------
    owner : str
        Peer id of the entry that accepted the request; empty if the agents are queried instead.
    peers : set of str
        Ids of the peers that were queried and have not answered.
    tags : list of int
        Tags of the callers that wait for the outcome.
    claims : list of tuple of str and int
        Ids of waiting requests with the same idempotency key, and the version of its row.
    """

    customer: str
    owner: str
    peers: set[str]
    tags: list[int]
    claims: list[tuple[str, int]]


@dataclasses.dataclass(slots=True)
class State:
    """State of request routing on the entry side.

    Attributes
    ----------
    dirty_services : set of str
        Services whose queues or servers have changed since queued requests were last dispatched.
    claiming : dict of str to tuple of str and int
        Customer and body size by id, for requests whose claim has no outcome yet.
    kept : dict of str to int
        Size in bytes by id, for ended requests that are kept, oldest first.
    service_seconds : dict of str to float
        Moving average by service of the time from sending a request to its answer.
    """

    settings: Settings
    link: link_budget.Budget
    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    servers: dict[str, pool.Server] = dataclasses.field(default_factory=dict)
    pools: dict[str, list[pool.Group]] = dataclasses.field(default_factory=dict)
    dirty_services: set[str] = dataclasses.field(default_factory=set)
    peers: dict[str, link.Hello] = dataclasses.field(default_factory=dict)
    queues: dict[str, dict[str, list[str]]] = dataclasses.field(default_factory=dict)
    queued_bytes: int = 0
    claiming: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)
    kept: dict[str, int] = dataclasses.field(default_factory=dict)
    kept_bytes: int = 0
    lookups: dict[str, Lookup] = dataclasses.field(default_factory=dict)
    health: ejection.State = dataclasses.field(default_factory=ejection.State)
    retry_budgets: dict[str, retry_budget.Budget] = dataclasses.field(default_factory=dict)
    service_seconds: dict[str, float] = dataclasses.field(default_factory=dict)
    timers: list[tuple[float, int, str, str]] = dataclasses.field(default_factory=list)
    sequence: typing.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    wake_at: float = 0.0
    customer_count: int = 0
    data_centres_out: frozenset[str] = frozenset()
    draining: bool = False
    counters: dict[str, int] = dataclasses.field(default_factory=dict)


def create(settings: Settings) -> State:
    """Return the initial state of an entry."""
    return State(settings, link_budget.create(settings.link_bytes_per_second))


def count(state: State, name: str) -> None:
    """Increment a counter."""
    state.counters[name] = state.counters.get(name, 0) + 1


def set_timer(state: State, at: float, kind: str, request_id: str = "") -> None:
    """Schedule a timer of ``kind``, for a request if an id is given."""
    heapq.heappush(state.timers, (at, next(state.sequence), kind, request_id))


def schedule_wake(state: State, at: float, now: float) -> None:
    """Schedule another dispatch of queued requests, unless an earlier one is scheduled."""
    if not now < state.wake_at <= at:
        state.wake_at = at
        set_timer(state, at, "wake")


def retry_budget_of(state: State, service: str) -> retry_budget.Budget:
    """Return the retry budget of a service, which is created if necessary."""
    return state.retry_budgets.setdefault(service, retry_budget.Budget())


def open_attempts(record: Record) -> list[Attempt]:
    """Return the attempts without a known outcome."""
    return [attempt for attempt in record.attempts.values() if attempt.outcome is None]


def verdict_of(record: Record) -> verdict.Verdict:
    """Return ``NOT_RUN`` if no agent can have run the request, otherwise ``MAY_HAVE_RUN``.

    The outcome of a request that follows another one depends on the other one.
    """
    certain = record.phase is not Phase.FOLLOWING and all(
        attempt.outcome is verdict.Verdict.NOT_RUN for attempt in record.attempts.values()
    )
    return verdict.Verdict.NOT_RUN if certain else verdict.Verdict.MAY_HAVE_RUN


def dump(state: State) -> dict[str, typing.Any]:
    """Return the state as JSON-compatible types, without request and answer bodies."""
    phases = [record.phase for record in state.records.values()]
    return {
        "draining": state.draining,
        "requests": {phase.value: phases.count(phase) for phase in Phase},
        "queues": {
            service: {customer: len(waiting) for customer, waiting in queues.items()}
            for service, queues in state.queues.items()
        },
        "queued_bytes": state.queued_bytes,
        "kept_bytes": state.kept_bytes,
        "lookups": len(state.lookups),
        "link_bytes_left": int(state.link.tokens),
        "service_seconds": dict(state.service_seconds),
        "retries_left": {
            name: round(item.tokens, 1) for name, item in state.retry_budgets.items()
        },
        "backend_servers": {
            server.peer_id: _dump_server(state, server) for server in state.servers.values()
        },
        "counters": dict(state.counters),
        "breaches": {
            "own_answer": state.counters.get("answers_not_asked_for", 0),
            "true_not_run": state.counters.get("contradictions", 0),
            "at_most_once": state.counters.get("second_runs", 0),
        },
    }


def _dump_server(state: State, server: pool.Server) -> dict[str, typing.Any]:
    return {
        "id": server.backend.id,
        "service": server.backend.service,
        "data_centre": server.backend.data_centre,
        "slots": server.backend.slots,
        "in_use": len(server.open_requests),
        "in_use_by_others": server.in_use_by_others,
        "connected": server.connected,
        "leaving": server.backend.leaving,
        "ejected": ejection.is_ejected(state.health, server.peer_id),
    }
