"""State of the requests that an entry has accepted, and of the backend servers it knows."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import typing

from peridothatch_core.model import verdict

if typing.TYPE_CHECKING:
    import result

    from peridothatch_core.message import link
    from peridothatch_core.model import backend, request

Outcome = typing.Union["result.Ok[request.Answer]", "result.Err[verdict.Refusal]"]

# Outcomes stay available for lookups this long after the deadline.
KEPT_AFTER_DEADLINE_SECONDS = 60.0


class Phase(enum.StrEnum):
    """Where a request is on the entry side."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    SENT = "sent"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What does not change while the entry runs.

    Attributes
    ----------
    link_bytes_per_second : float
        Share of the cross-region link for requests; the link carries about 1.9 MB/s in all.
    queue_requests, queue_bytes, kept_bytes : int
        Bounds of one queue of a customer, of all queues together and of kept answers.
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
    """A request sent to one agent; ``outcome`` is ``None`` until the agent has told it."""

    peer_id: str
    incarnation: str
    sent_at: float
    outcome: verdict.Verdict | None = None


@dataclasses.dataclass(slots=True)
class Record:
    """A request that the entry accepted; ``waiters`` are tags of callers that wait."""

    request: request.Request
    accepted_at: float
    deadline: float
    key: str
    waiters: list[int]
    phase: Phase = Phase.QUEUED
    queued_at: float = 0.0
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    outcome: Outcome | None = None


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server that announced itself; ``foreign`` counts requests of other entries."""

    peer_id: str
    incarnation: str
    backend: backend.BackendServer
    connected: bool = True
    outstanding: dict[str, int] = dataclasses.field(default_factory=dict)
    foreign: int = 0

    @property
    def in_use(self) -> int:
        """Slots in use by requests of this entry."""
        return sum(self.outstanding.values())


@dataclasses.dataclass(slots=True)
class State:
    """Everything that the entry knows about requests."""

    settings: Settings
    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    peers: dict[str, link.Hello] = dataclasses.field(default_factory=dict)
    queues: dict[str, dict[str, list[str]]] = dataclasses.field(default_factory=dict)
    queued_bytes: int = 0
    timers: list[tuple[float, int, str, str]] = dataclasses.field(default_factory=list)
    sequence: typing.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    draining: bool = False
    counters: dict[str, int] = dataclasses.field(default_factory=dict)


def count(state: State, name: str) -> None:
    """Add one to a counter."""
    state.counters[name] = state.counters.get(name, 0) + 1


def set_timer(state: State, at: float, kind: str, request_id: str) -> None:
    """Ask for a timer of ``kind`` for a request."""
    heapq.heappush(state.timers, (at, next(state.sequence), kind, request_id))


def verdict_of(record: Record) -> verdict.Verdict:
    """Return ``NOT_RUN`` only when each agent that was sent the request said so."""
    certain = all(
        attempt.outcome is verdict.Verdict.NOT_RUN for attempt in record.attempts.values()
    )
    return verdict.Verdict.NOT_RUN if certain else verdict.Verdict.MAY_HAVE_RUN


def open_attempts(record: Record) -> list[Attempt]:
    """Return the attempts whose outcome is not known."""
    return [attempt for attempt in record.attempts.values() if attempt.outcome is None]


def dump(state: State) -> dict[str, typing.Any]:
    """Return the state as plain JSON types, without bodies."""
    phases = [record.phase for record in state.records.values()]
    return {
        "draining": state.draining,
        "requests": {phase.value: phases.count(phase) for phase in Phase},
        "queues": {
            service: {customer: len(waiting) for customer, waiting in queues.items()}
            for service, queues in state.queues.items()
        },
        "queued_bytes": state.queued_bytes,
        "backend_servers": {
            server.peer_id: {
                "id": server.backend.id,
                "service": server.backend.service,
                "data_centre": server.backend.data_centre,
                "slots": server.backend.slots,
                "in_use": server.in_use,
                "in_use_by_others": server.foreign,
                "connected": server.connected,
                "leaving": server.backend.leaving,
            }
            for server in state.servers.values()
        },
        "counters": dict(state.counters),
    }
