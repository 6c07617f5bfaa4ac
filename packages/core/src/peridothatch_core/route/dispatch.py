"""Entry side of requests: accepts them, sends them to agents and tells callers the outcome."""

from __future__ import annotations

import dataclasses
import heapq
import typing

import result

from peridothatch_core.message import link
from peridothatch_core.model import verdict
from peridothatch_core.route import choice, flight

if typing.TYPE_CHECKING:
    from peridothatch_core.model import request

# A request waits this long for a backend server of its service to announce itself.
NO_SERVER_PATIENCE_SECONDS = 2.0

# Messages can be dropped by a full outbox of a live connection, so an agent is asked again.
QUERY_PERIOD_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """A caller wants a request served; ``tag`` names the caller in ``Reply``."""

    tag: int
    request: request.Request
    idempotency_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Find:
    """A caller asks for the outcome of an earlier request."""

    tag: int
    request_id: str
    customer: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """A peer is connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """A peer is no longer connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from a peer."""

    peer: link.Hello
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the state is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests."""


Event = Submitted | Find | PeerUp | PeerDown | Received | Tick | Drain


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer."""

    peer_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Tell a caller the outcome."""

    tag: int
    outcome: flight.Outcome


Effect = Send | Reply


def step(state: flight.State, event: Event, now: float) -> list[Effect]:
    """Handle one event; ``now`` is monotonic, in seconds."""
    effects: list[Effect] = []
    _HANDLERS[type(event)](state, event, now, effects)
    _run_timers(state, now, effects)
    _send_queued(state, now, effects)
    return effects


def next_wake(state: flight.State) -> float | None:
    """Return when the next ``Tick`` is due, on the clock of ``step``."""
    return state.timers[0][0] if state.timers else None


def idle(state: flight.State) -> bool:
    """Return whether no caller waits for an outcome."""
    return all(record.phase is flight.Phase.ENDED for record in state.records.values())


def _submitted(state: flight.State, event: Submitted, now: float, effects: list[Effect]) -> None:
    call = event.request
    refusal = _admission(state, call)
    if refusal is not None:
        effects.append(Reply(event.tag, result.Err(refusal)))
        return
    deadline = now + call.budget_seconds
    record = flight.Record(call, now, deadline, event.idempotency_key, [event.tag])
    state.records[call.id] = record
    flight.set_timer(state, deadline, "deadline", call.id)
    _enqueue(state, record, now)


def _admission(state: flight.State, call: request.Request) -> verdict.Refusal | None:
    if state.draining:
        return verdict.not_run(verdict.Code.UNAVAILABLE, "this entry is draining")
    if call.id in state.records:
        return verdict.not_run(verdict.Code.CONFLICT, f"request id {call.id} is in use")
    waiting = state.queues.get(call.service, {}).get(call.customer, ())
    if len(waiting) >= state.settings.queue_requests:
        return verdict.not_run(
            verdict.Code.OVERLOADED,
            f"{len(waiting)} requests of {call.customer} wait for {call.service}",
        )
    if state.queued_bytes + len(call.body) > state.settings.queue_bytes:
        return verdict.not_run(verdict.Code.OVERLOADED, "the queues of this entry are full")
    return None


def _enqueue(state: flight.State, record: flight.Record, now: float) -> None:
    call = record.request
    record.phase = flight.Phase.QUEUED
    record.queued_at = now
    state.queues.setdefault(call.service, {}).setdefault(call.customer, []).append(call.id)
    state.queued_bytes += len(call.body)
    flight.set_timer(state, now + NO_SERVER_PATIENCE_SECONDS, "patience", call.id)


def _dequeue(state: flight.State, record: flight.Record) -> None:
    call = record.request
    queues = state.queues[call.service]
    queues[call.customer].remove(call.id)
    if not queues[call.customer]:
        del queues[call.customer]
    if not queues:
        del state.queues[call.service]
    state.queued_bytes -= len(call.body)


def _send_queued(state: flight.State, now: float, effects: list[Effect]) -> None:
    for service in list(state.queues):
        while service in state.queues:
            picked = choice.pick(state, service, now)
            if picked is None:
                break
            record, server = picked
            _dequeue(state, record)
            _dispatch(state, record, server, now, effects)


def _dispatch(
    state: flight.State,
    record: flight.Record,
    server: flight.Server,
    now: float,
    effects: list[Effect],
) -> None:
    call = record.request
    peer_id = server.peer_id
    record.phase = flight.Phase.SENT
    record.attempts[peer_id] = flight.Attempt(peer_id, server.incarnation, now)
    server.outstanding[call.customer] = server.outstanding.get(call.customer, 0) + 1
    budget = record.deadline - now
    effects.append(Send(peer_id, link.Dispatch(dataclasses.replace(call, budget_seconds=budget))))
    flight.set_timer(state, now + QUERY_PERIOD_SECONDS, "query", call.id)


def _received(state: flight.State, event: Received, now: float, effects: list[Effect]) -> None:
    message = event.message
    if isinstance(message, link.AnnounceBackend):
        _announced(state, event.peer, message)
    elif isinstance(message, link.Heartbeat):
        _heartbeat(state, event.peer, message, effects)
    elif isinstance(message, link.AnswerReady):
        _answered(state, event.peer, message.answer, now, effects)
    elif isinstance(message, link.RequestState):
        _request_state(state, event.peer, message, now, effects)


def _announced(state: flight.State, peer: link.Hello, message: link.AnnounceBackend) -> None:
    server = state.servers.get(peer.id)
    if server is None:
        server = flight.Server(peer.id, peer.incarnation, message.backend)
        state.servers[peer.id] = server
    server.backend = message.backend
    server.foreign = max(0, message.in_flight - server.in_use)


def _heartbeat(
    state: flight.State, peer: link.Hello, message: link.Heartbeat, effects: list[Effect]
) -> None:
    server = state.servers.get(peer.id)
    if server is None:
        return
    server.foreign = max(0, message.in_flight - server.in_use)
    effects.append(Send(peer.id, link.HeartbeatAck(message.t0, False, -1.0, 0, 0)))


def _answered(
    state: flight.State,
    peer: link.Hello,
    answer: request.Answer,
    now: float,
    effects: list[Effect],
) -> None:
    record = state.records.get(answer.request_id)
    if record is None:
        effects.append(Send(peer.id, link.AnswerAck(answer.request_id)))
        return
    attempt = record.attempts.get(peer.id)
    if attempt is None:
        flight.count(state, "answers_not_asked_for")
        return
    effects.append(Send(peer.id, link.AnswerAck(answer.request_id)))
    told = answer.verdict
    if told is verdict.Verdict.NOT_RUN and attempt.incarnation != peer.incarnation:
        # Another incarnation does not know what the one before it did.
        told = verdict.Verdict.MAY_HAVE_RUN
    _close_attempt(state, record, attempt, told)
    if told is verdict.Verdict.RAN:
        _finish(state, record, result.Ok(answer), now, effects)
    else:
        _resolve(state, record, answer.detail, now, effects)


def _request_state(
    state: flight.State,
    peer: link.Hello,
    message: link.RequestState,
    now: float,
    effects: list[Effect],
) -> None:
    record = state.records.get(message.request_id)
    attempt = record.attempts.get(peer.id) if record is not None else None
    if record is None or attempt is None or attempt.outcome is not None:
        return
    if message.state == "running":
        return
    known = message.state == "not_run" and attempt.incarnation == peer.incarnation
    told = verdict.Verdict.NOT_RUN if known else verdict.Verdict.MAY_HAVE_RUN
    _close_attempt(state, record, attempt, told)
    _resolve(state, record, f"the agent answered {message.state}", now, effects)


def _close_attempt(
    state: flight.State, record: flight.Record, attempt: flight.Attempt, told: verdict.Verdict
) -> None:
    if attempt.outcome is None:
        server = state.servers.get(attempt.peer_id)
        if server is not None and server.incarnation == attempt.incarnation:
            server.outstanding[record.request.customer] -= 1
    attempt.outcome = told


def _resolve(
    state: flight.State, record: flight.Record, detail: str, now: float, effects: list[Effect]
) -> None:
    """Decide what follows after an attempt ended without an answer."""
    if flight.open_attempts(record):
        return
    refusal = verdict.Refusal(flight.verdict_of(record), verdict.Code.UNAVAILABLE, detail)
    _finish(state, record, result.Err(refusal), now, effects)


def _finish(
    state: flight.State,
    record: flight.Record,
    outcome: flight.Outcome,
    now: float,
    effects: list[Effect],
) -> None:
    if record.phase is flight.Phase.QUEUED:
        _dequeue(state, record)
    if record.phase is not flight.Phase.ENDED:
        keep_until = max(now, record.deadline) + flight.KEPT_AFTER_DEADLINE_SECONDS
        flight.set_timer(state, keep_until, "forget", record.request.id)
        record.request = dataclasses.replace(record.request, body=b"")
    record.phase = flight.Phase.ENDED
    if not isinstance(record.outcome, result.Ok):
        record.outcome = outcome
    effects.extend(Reply(tag, record.outcome) for tag in record.waiters)
    record.waiters.clear()


def _peer_up(state: flight.State, event: PeerUp, now: float, effects: list[Effect]) -> None:
    peer = event.peer
    state.peers[peer.id] = peer
    server = state.servers.get(peer.id)
    if server is None:
        return
    server.connected = True
    if server.incarnation != peer.incarnation:
        server.incarnation = peer.incarnation
        server.outstanding.clear()
    for record in list(state.records.values()):
        attempt = record.attempts.get(peer.id)
        if attempt is None or attempt.outcome is not None:
            continue
        if attempt.incarnation == peer.incarnation:
            effects.append(Send(peer.id, link.Query(record.request.id, attempt.incarnation)))
            continue
        _close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN)
        _resolve(state, record, "the agent restarted", now, effects)


def _peer_down(state: flight.State, event: PeerDown, _now: float, _effects: list[Effect]) -> None:
    state.peers.pop(event.peer.id, None)
    server = state.servers.get(event.peer.id)
    if server is not None:
        server.connected = False


def _find(state: flight.State, event: Find, _now: float, effects: list[Effect]) -> None:
    record = state.records.get(event.request_id)
    if record is None or record.request.customer != event.customer:
        refusal = verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN, verdict.Code.NOT_FOUND, "no such request is known"
        )
        effects.append(Reply(event.tag, result.Err(refusal)))
    elif record.outcome is not None:
        effects.append(Reply(event.tag, record.outcome))
    else:
        refusal = verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN, verdict.Code.UNAVAILABLE, "the request is in flight"
        )
        effects.append(Reply(event.tag, result.Err(refusal)))


def _run_timers(state: flight.State, now: float, effects: list[Effect]) -> None:
    while state.timers and state.timers[0][0] <= now:
        _at, _sequence, kind, request_id = heapq.heappop(state.timers)
        record = state.records.get(request_id)
        if record is not None:
            _TIMERS[kind](state, record, now, effects)


def _deadline_due(
    state: flight.State, record: flight.Record, now: float, effects: list[Effect]
) -> None:
    if record.phase is flight.Phase.ENDED:
        return
    refusal = verdict.Refusal(
        flight.verdict_of(record), verdict.Code.DEADLINE, "the deadline has passed"
    )
    _finish(state, record, result.Err(refusal), now, effects)


def _patience_due(
    state: flight.State, record: flight.Record, now: float, effects: list[Effect]
) -> None:
    call = record.request
    if record.phase is not flight.Phase.QUEUED or choice.usable(state, call.service, now):
        return
    detail = f"no backend server of {call.service} is connected"
    refusal = verdict.Refusal(flight.verdict_of(record), verdict.Code.UNAVAILABLE, detail)
    _finish(state, record, result.Err(refusal), now, effects)


def _query_due(
    state: flight.State, record: flight.Record, now: float, effects: list[Effect]
) -> None:
    attempts = flight.open_attempts(record)
    for attempt in attempts:
        if attempt.peer_id in state.peers:
            query = link.Query(record.request.id, attempt.incarnation)
            effects.append(Send(attempt.peer_id, query))
    if attempts:
        flight.set_timer(state, now + QUERY_PERIOD_SECONDS, "query", record.request.id)


def _forget_due(
    state: flight.State, record: flight.Record, _now: float, _effects: list[Effect]
) -> None:
    for attempt in flight.open_attempts(record):
        _close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN)
    del state.records[record.request.id]


def _drain(state: flight.State, _event: Drain, _now: float, _effects: list[Effect]) -> None:
    state.draining = True


def _tick(_state: flight.State, _event: Tick, _now: float, _effects: list[Effect]) -> None:
    """Timers run after each event."""


_HANDLERS: dict[type, typing.Callable[..., None]] = {
    Submitted: _submitted, Find: _find, PeerUp: _peer_up, PeerDown: _peer_down,
    Received: _received, Tick: _tick, Drain: _drain,
}  # fmt: skip

_TIMERS: dict[str, typing.Callable[..., None]] = {
    "deadline": _deadline_due, "patience": _patience_due, "query": _query_due,
    "forget": _forget_due,
}  # fmt: skip
