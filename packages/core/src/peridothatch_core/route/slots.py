"""Agent side of requests: bounded slots of one backend server, and outcomes until fetched."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import typing

from peridothatch_core.message import link
from peridothatch_core.model import request, verdict

if typing.TYPE_CHECKING:
    from peridothatch_core.model import backend

# An answer stays available this long after the deadline, unless it is acknowledged.
KEPT_AFTER_DEADLINE_SECONDS = 60.0

# Longer than any deadline (600 s), so that a delayed Dispatch finds the refusal.
TOMBSTONE_SECONDS = 660.0

# Statuses of ``NOT_RUN`` answers, so that an entry can tell load from a dead backend server.
BUSY_STATUS = 503
UNREACHABLE_STATUS = 502


class Phase(enum.StrEnum):
    """Where a request is on the agent side."""

    QUEUED = "queued"
    PASSED = "passed"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Record:
    """A request id that was seen; ``entry_id`` is empty for a tombstone."""

    request: request.Request
    entry_id: str
    entry_incarnation: str
    deadline: float
    phase: Phase
    answer: request.Answer | None = None
    acknowledged: bool = False


@dataclasses.dataclass(slots=True)
class State:
    """Everything that the agent knows about requests to its backend server."""

    own: link.Hello
    server: backend.BackendServer | None = None
    reachable: bool = False
    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    queue: list[str] = dataclasses.field(default_factory=list)
    calls: set[str] = dataclasses.field(default_factory=set)
    peers: dict[str, link.Hello] = dataclasses.field(default_factory=dict)
    timers: list[tuple[float, int, str]] = dataclasses.field(default_factory=list)
    sequence: typing.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    draining: bool = False
    counters: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """An entry is connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """An entry is no longer connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from an entry."""

    peer: link.Hello
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """A call ended with a whole answer that names ``answered_id``."""

    request_id: str
    answered_id: str
    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotServed:
    """A call ended without a whole answer; ``status`` is set when it certainly did not run."""

    request_id: str
    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSeen:
    """The backend server described itself, or did not answer (``None``)."""

    server: backend.BackendServer | None


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """It is time to tell the entries that the agent is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the state is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests."""


Event = PeerUp | PeerDown | Received | Served | NotServed | ServerSeen | Heartbeat | Tick | Drain


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an entry."""

    peer_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Pass a request to the backend server; it ends within ``timeout_seconds``."""

    request: request.Request
    timeout_seconds: float


Effect = Send | Call


def step(state: State, event: Event, now: float) -> list[Effect]:
    """Handle one event; ``now`` is monotonic, in seconds."""
    effects: list[Effect] = []
    _HANDLERS[type(event)](state, event, now, effects)
    _run_timers(state, now, effects)
    _pass_queued(state, now, effects)
    return effects


def next_wake(state: State) -> float | None:
    """Return when the next ``Tick`` is due, on the clock of ``step``."""
    return state.timers[0][0] if state.timers else None


def idle(state: State) -> bool:
    """Return whether each request has ended and its outcome was fetched or has no taker."""
    return all(
        record.acknowledged or not record.entry_id or record.entry_id not in state.peers
        for record in state.records.values()
        if record.phase is not Phase.ENDED or record.entry_id
    ) and not (state.queue or state.calls)


def slots(state: State) -> int:
    """Return the number of slots of the backend server."""
    return state.server.slots if state.server is not None else 0


def leaving(state: State) -> bool:
    """Return whether new requests are refused."""
    server = state.server
    return state.draining or not state.reachable or server is None or server.leaving


def count(state: State, name: str) -> None:
    """Add one to a counter."""
    state.counters[name] = state.counters.get(name, 0) + 1


def _received(state: State, event: Received, now: float, effects: list[Effect]) -> None:
    message = event.message
    if isinstance(message, link.Dispatch):
        _dispatched(state, event.peer, message.request, now, effects)
    elif isinstance(message, link.Query):
        _queried(state, event.peer, message, now, effects)
    elif isinstance(message, link.AnswerAck):
        _acknowledged(state, message.request_id)
    elif isinstance(message, link.Cancel):
        _cancelled(state, message.request_id, effects)
    elif isinstance(message, link.HeartbeatAck) and message.announce:
        _announce(state, [event.peer.id], effects)


def _dispatched(
    state: State, peer: link.Hello, call: request.Request, now: float, effects: list[Effect]
) -> None:
    known = state.records.get(call.id)
    if known is not None:
        count(state, "second_runs_prevented")
        if known.answer is not None:
            effects.append(Send(peer.id, link.AnswerReady(known.answer)))
        return
    deadline = now + call.budget_seconds
    record = Record(call, peer.id, peer.incarnation, deadline, Phase.QUEUED)
    state.records[call.id] = record
    if leaving(state):
        _not_run(state, record, BUSY_STATUS, "the backend server is leaving", effects)
    elif _in_flight(state) >= slots(state) + max(1, slots(state) // 2):
        _not_run(state, record, BUSY_STATUS, "all slots are in use", effects)
    else:
        state.queue.append(call.id)
    _set_timer(state, deadline, call.id)


def _queried(
    state: State, peer: link.Hello, message: link.Query, now: float, effects: list[Effect]
) -> None:
    request_id = message.request_id
    record = state.records.get(request_id)
    if message.agent_incarnation != state.own.incarnation:
        effects.append(Send(peer.id, link.RequestState(request_id, "forgotten")))
    elif record is None:
        blank = request.Request(request_id, "", "", False, 0.0)
        state.records[request_id] = Record(
            blank, "", "", now + TOMBSTONE_SECONDS, Phase.ENDED, _refusal(request_id, "refused")
        )
        _set_timer(state, now + TOMBSTONE_SECONDS, request_id)
        effects.append(Send(peer.id, link.RequestState(request_id, "not_run")))
    elif record.answer is not None:
        effects.append(Send(peer.id, link.AnswerReady(record.answer)))
    else:
        effects.append(Send(peer.id, link.RequestState(request_id, "running")))


def _acknowledged(state: State, request_id: str) -> None:
    record = state.records.get(request_id)
    if record is None or record.answer is None:
        return
    record.acknowledged = True


def _cancelled(state: State, request_id: str, effects: list[Effect]) -> None:
    record = state.records.get(request_id)
    if record is not None and record.phase is Phase.QUEUED:
        _not_run(state, record, 0, "the caller is gone", effects)


def _pass_queued(state: State, now: float, effects: list[Effect]) -> None:
    while state.queue and len(state.calls) < slots(state):
        record = state.records[state.queue.pop(0)]
        record.phase = Phase.PASSED
        state.calls.add(record.request.id)
        effects.append(Call(record.request, max(0.001, record.deadline - now)))


def _served(state: State, event: Served, _now: float, effects: list[Effect]) -> None:
    state.calls.discard(event.request_id)
    record = state.records.get(event.answered_id)
    if event.answered_id != event.request_id:
        count(state, "crossed_answers")
    if record is None or record.phase is not Phase.PASSED:
        count(state, "answers_without_request")
    else:
        answer = request.Answer(
            event.answered_id, verdict.Verdict.RAN, event.status, event.body, event.content_type
        )
        _end(state, record, answer, effects)
    _end_hopeless(state, effects)


def _not_served(state: State, event: NotServed, _now: float, effects: list[Effect]) -> None:
    state.calls.discard(event.request_id)
    record = state.records.get(event.request_id)
    if record is not None and record.phase is Phase.PASSED:
        if event.status:
            _not_run(state, record, event.status, event.detail, effects)
        else:
            _may_have_run(state, record, event.detail, effects)
    _end_hopeless(state, effects)


def _end_hopeless(state: State, effects: list[Effect]) -> None:
    """End requests whose answer can no longer arrive, because no call is open."""
    if state.calls:
        return
    for record in list(state.records.values()):
        if record.phase is Phase.PASSED:
            _may_have_run(state, record, "the answer of another request came instead", effects)


def _not_run(
    state: State, record: Record, status: int, detail: str, effects: list[Effect]
) -> None:
    if record.request.id in state.queue:
        state.queue.remove(record.request.id)
    _end(state, record, _refusal(record.request.id, detail, status), effects)


def _may_have_run(state: State, record: Record, detail: str, effects: list[Effect]) -> None:
    answer = request.Answer(
        record.request.id, verdict.Verdict.MAY_HAVE_RUN, detail=detail, content_type=""
    )
    _end(state, record, answer, effects)


def _refusal(request_id: str, detail: str, status: int = 0) -> request.Answer:
    return request.Answer(request_id, verdict.Verdict.NOT_RUN, status, detail=detail)


def _end(state: State, record: Record, answer: request.Answer, effects: list[Effect]) -> None:
    record.phase = Phase.ENDED
    record.answer = answer
    record.request = dataclasses.replace(record.request, body=b"")
    if record.entry_id in state.peers:
        effects.append(Send(record.entry_id, link.AnswerReady(answer)))


def _set_timer(state: State, at: float, request_id: str) -> None:
    heapq.heappush(state.timers, (at, next(state.sequence), request_id))


def _run_timers(state: State, now: float, effects: list[Effect]) -> None:
    while state.timers and state.timers[0][0] <= now:
        _at, _sequence, request_id = heapq.heappop(state.timers)
        record = state.records.get(request_id)
        if record is None:
            continue
        if record.phase is Phase.QUEUED:
            _not_run(state, record, 0, "the deadline has passed", effects)
        if now >= record.deadline + KEPT_AFTER_DEADLINE_SECONDS or not record.entry_id:
            del state.records[request_id]
        else:
            _set_timer(state, record.deadline + KEPT_AFTER_DEADLINE_SECONDS, request_id)


def _peer_up(state: State, event: PeerUp, _now: float, effects: list[Effect]) -> None:
    peer = event.peer
    state.peers[peer.id] = peer
    _announce(state, [peer.id], effects)
    for record in state.records.values():
        mine = record.entry_id == peer.id and record.entry_incarnation == peer.incarnation
        if mine and record.answer is not None and not record.acknowledged:
            effects.append(Send(peer.id, link.AnswerReady(record.answer)))


def _peer_down(state: State, event: PeerDown, _now: float, _effects: list[Effect]) -> None:
    state.peers.pop(event.peer.id, None)


def _server_seen(state: State, event: ServerSeen, _now: float, effects: list[Effect]) -> None:
    before = (state.server, state.reachable)
    state.reachable = event.server is not None
    state.server = event.server or state.server
    if (state.server, state.reachable) != before:
        _announce(state, state.peers, effects)


def _announce(state: State, peer_ids: typing.Iterable[str], effects: list[Effect]) -> None:
    if state.server is None:
        return
    server = dataclasses.replace(state.server, leaving=leaving(state))
    message = link.AnnounceBackend(server, state.own.incarnation, _in_flight(state))
    effects.extend(Send(peer_id, message) for peer_id in peer_ids)


def _in_flight(state: State) -> int:
    return len(state.calls) + len(state.queue)


def _heartbeat(state: State, _event: Heartbeat, now: float, effects: list[Effect]) -> None:
    message = link.Heartbeat(now, 0, _in_flight(state))
    effects.extend(Send(peer_id, message) for peer_id in state.peers)


def _drain(state: State, _event: Drain, _now: float, effects: list[Effect]) -> None:
    state.draining = True
    _announce(state, state.peers, effects)


def _tick(_state: State, _event: Tick, _now: float, _effects: list[Effect]) -> None:
    """Timers run after each event."""


_HANDLERS: dict[type, typing.Callable[..., None]] = {
    PeerUp: _peer_up, PeerDown: _peer_down, Received: _received, Served: _served,
    NotServed: _not_served, ServerSeen: _server_seen, Heartbeat: _heartbeat, Tick: _tick,
    Drain: _drain,
}  # fmt: skip


def dump(state: State) -> dict[str, typing.Any]:
    """Return the state as plain JSON types, without bodies."""
    phases = [record.phase for record in state.records.values()]
    return {
        "backend_server": state.server.id if state.server is not None else "",
        "leaving": leaving(state),
        "slots": slots(state),
        "calls": len(state.calls),
        "queued": len(state.queue),
        "requests": {phase.value: phases.count(phase) for phase in Phase},
        "counters": dict(state.counters),
    }
