"""Entry side of requests: accepts them, sends them to agents and tells callers the outcome."""

from __future__ import annotations

import dataclasses
import heapq
import typing

import result

from peridothatch_core.message import link
from peridothatch_core.model import verdict
from peridothatch_core.route import (
    choice,
    claims,
    ejection,
    exchange,
    fair_queue,
    flight,
    link_budget,
    lookup,
    outcome,
    pool,
    retry_budget,
)

if typing.TYPE_CHECKING:
    from peridothatch_core.model import request

# Messages can be dropped by a full outbox of a live connection, so an agent is asked again.
QUERY_PERIOD_SECONDS = 5.0

# A silent connection is closed after 6 s and dialled again; an agent that is away for longer
# is taken as gone, and its callers need not wait for their deadlines.
LOST_SECONDS = 10.0

# The agent gives up a little sooner, so that its word arrives before the caller's deadline.
RETURN_MARGIN_SECONDS = 0.05

Effects = list[exchange.Effect]


def step(state: flight.State, event: exchange.Event, now: float) -> Effects:
    """Handle one event; ``now`` is monotonic, in seconds."""
    effects = _HANDLERS[type(event)](state, event, now)
    effects += _run_timers(state, now)
    effects += _send_queued(state, now)
    return effects


def next_wake(state: flight.State) -> float | None:
    """Return when the next ``Tick`` is due, on the clock of ``step``."""
    return state.timers[0][0] if state.timers else None


def idle(state: flight.State) -> bool:
    """Return whether each request has ended and each claimed row shows the outcome."""
    return not state.lookups and all(
        record.phase is flight.Phase.ENDED and record.settling is not flight.Settling.WRITING
        for record in state.records.values()
    )


def _submitted(state: flight.State, event: exchange.Submitted, now: float) -> Effects:
    call = event.request
    refusal = _refusal(state, call)
    if refusal is not None:
        flight.count(state, "refused")
        return [exchange.Reply(event.tag, result.Err(refusal))]
    retry_budget.deposit(flight.retries(state, call.service))
    deadline = now + call.budget_seconds
    record = flight.Record(call, deadline, event.idempotency_key, [event.tag])
    state.records[call.id] = record
    flight.set_timer(state, deadline, "deadline", call.id)
    if record.key and not call.idempotent:
        return claims.begin(state, record, 0, now)
    fair_queue.put(state, record, now, first=False)
    return []


def _refusal(state: flight.State, call: request.Request) -> verdict.Refusal | None:
    if state.draining:
        return verdict.not_run(verdict.Code.UNAVAILABLE, "this entry is draining")
    if call.id in state.records:
        return verdict.not_run(verdict.Code.CONFLICT, f"request id {call.id} is in use")
    return fair_queue.admission(state, call)


def _send_queued(state: flight.State, now: float) -> Effects:
    effects: Effects = []
    stirred, state.stirred = state.stirred, set()
    for service in sorted(stirred):
        while service in state.queues:
            picked = choice.pick(state, service, now)
            if picked is None:
                break
            record, server = picked
            fair_queue.remove(state, record)
            effects.append(_dispatch(state, record, server, now))
    return effects


def _dispatch(
    state: flight.State, record: flight.Record, server: pool.Server, now: float
) -> exchange.Effect:
    call, peer_id = record.request, server.peer_id
    record.phase = flight.Phase.SENT
    record.attempts[peer_id] = flight.Attempt(peer_id, server.incarnation, now)
    pool.occupy(server, call.id, call.customer)
    ejection.sent(state.health, peer_id, call.id)
    if server.distance == pool.ACROSS_THE_LINK:
        link_budget.spend(state.link, len(call.body))
    flight.set_timer(state, now + QUERY_PERIOD_SECONDS, "query", call.id)
    left = record.deadline - now
    budget = left - min(RETURN_MARGIN_SECONDS, left / 10)
    return exchange.Send(peer_id, link.Dispatch(dataclasses.replace(call, budget_seconds=budget)))


def _received(state: flight.State, event: exchange.Received, now: float) -> Effects:
    peer, message = event.peer, event.message
    match message:
        case link.AnnounceBackend():
            return _announced(state, peer, message)
        case link.Heartbeat():
            return _heartbeat(state, peer, message)
        case link.AnswerReady():
            return _answered(state, peer, message.answer, now)
        case link.RequestState():
            return _request_state(state, peer, message, now)
        case link.Query():
            return lookup.asked(state, peer, message)
    return []


def _announced(state: flight.State, peer: link.Hello, message: link.AnnounceBackend) -> Effects:
    current = state.peers.get(peer.id)
    if current is None or current.incarnation != peer.incarnation:
        # Read from a connection that has ended or that a restarted agent has replaced.
        return []
    server = state.servers.get(peer.id)
    away = pool.distance(state.settings, message.backend)
    if server is None:
        server = pool.Server(peer.id, peer.incarnation, message.backend, away)
        state.servers[peer.id] = server
    before, server.backend, server.distance = server.backend, message.backend, away
    for service in {before.service, server.backend.service}:
        pool.refresh(state, service)
    _note_load(state, server, message.in_flight)
    return []


def _note_load(state: flight.State, server: pool.Server, in_flight: int) -> None:
    server.foreign = max(0, in_flight - len(server.open))
    state.stirred.add(server.backend.service)


def _heartbeat(state: flight.State, peer: link.Hello, message: link.Heartbeat) -> Effects:
    server = state.servers.get(peer.id)
    if server is None:
        return []
    _note_load(state, server, message.in_flight)
    # Only a planner proves that the data centre is in service.
    return [exchange.Send(peer.id, link.HeartbeatAck(message.t0, False, -1.0, 0, 0))]


def _answered(
    state: flight.State, peer: link.Hello, answer: request.Answer, now: float
) -> Effects:
    concluded = lookup.answered(state, peer, answer)
    if concluded is not None:
        return _conclude(state, concluded, now)
    record = state.records.get(answer.request_id)
    if record is None:
        # An answer to another entry's request must stay with the agent.
        own = lookup.is_own(state, answer.request_id)
        return [exchange.Send(peer.id, link.AnswerAck(answer.request_id))] if own else []
    attempt = record.attempts.get(peer.id)
    if attempt is None:
        flight.count(state, "answers_not_asked_for")
        return []
    if attempt.incarnation != peer.incarnation and answer.verdict is verdict.Verdict.NOT_RUN:
        # Another incarnation does not know what the one before it did.
        answer = dataclasses.replace(answer, verdict=verdict.Verdict.MAY_HAVE_RUN)
    late = record.phase is flight.Phase.ENDED
    effects = outcome.answered(state, record, attempt, answer, now)
    # The agent of a draining entry keeps late answers, so that other entries can find them.
    if not (late and state.draining):
        effects.append(exchange.Send(peer.id, link.AnswerAck(answer.request_id)))
    return effects


def _request_state(
    state: flight.State, peer: link.Hello, message: link.RequestState, now: float
) -> Effects:
    concluded = lookup.told_state(state, peer, message)
    if concluded is not None:
        return _conclude(state, concluded, now)
    record = state.records.get(message.request_id)
    attempt = record.attempts.get(peer.id) if record is not None else None
    if record is None or attempt is None or message.state == "running":
        return []
    if attempt.outcome in (verdict.Verdict.RAN, verdict.Verdict.NOT_RUN):
        return []
    known = message.state == "not_run" and attempt.incarnation == peer.incarnation
    told = verdict.Verdict.NOT_RUN if known else verdict.Verdict.MAY_HAVE_RUN
    outcome.close_attempt(state, record, attempt, told, now)
    return outcome.resolve(state, record, f"the agent answered {message.state}", now)


def _conclude(state: flight.State, concluded: lookup.Concluded, now: float) -> Effects:
    found = concluded.found
    effects: Effects = [exchange.Reply(tag, found) for tag in concluded.lookup.tags]
    for request_id, version in concluded.lookup.claims:
        effects += claims.looked_up(state, request_id, found, version, now)
    return effects


def _peer_up(state: flight.State, event: exchange.PeerUp, now: float) -> Effects:
    peer = event.peer
    state.peers[peer.id] = peer
    server = state.servers.get(peer.id)
    if server is None:
        return []
    server.connected = True
    pool.refresh(state, server.backend.service)
    if server.incarnation != peer.incarnation:
        return _restarted(state, server, peer, now)
    # What was on its way over the connection before this one may be lost.
    return [
        exchange.Send(peer.id, link.Query(request_id, server.incarnation))
        for request_id in server.open
    ]


def _restarted(state: flight.State, server: pool.Server, peer: link.Hello, now: float) -> Effects:
    """End the attempts at an agent that has forgotten them."""
    ended = [state.records[request_id] for request_id in server.open]
    server.incarnation = peer.incarnation
    server.open.clear()
    ejection.forget(state.health, peer.id)
    pool.refresh(state, server.backend.service)
    effects: Effects = []
    for record in ended:
        attempt = record.attempts[peer.id]
        outcome.close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
        effects += outcome.resolve(state, record, "the agent restarted", now)
    return effects


def _peer_down(state: flight.State, event: exchange.PeerDown, now: float) -> Effects:
    peer_id = event.peer.id
    state.peers.pop(peer_id, None)
    effects: Effects = []
    for concluded in lookup.peer_lost(state, peer_id):
        effects += _conclude(state, concluded, now)
    server = state.servers.get(peer_id)
    if server is None:
        return effects
    server.connected = False
    server.lost_at = now
    pool.refresh(state, server.backend.service)
    flight.set_timer(state, now + LOST_SECONDS, "lost", peer_id)
    for request_id in list(server.open):
        record = state.records[request_id]
        # An idempotent request need not wait for the agent to return.
        if record.request.idempotent and outcome.retry(state, record, now):
            attempt = record.attempts[peer_id]
            outcome.close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
    return effects


def _unsent(state: flight.State, event: exchange.Unsent, now: float) -> Effects:
    record = state.records.get(event.request_id)
    attempt = record.attempts.get(event.peer_id) if record is not None else None
    if record is None or attempt is None:
        return []
    outcome.close_attempt(state, record, attempt, verdict.Verdict.NOT_RUN, now)
    return outcome.resolve(state, record, "the connections of this entry are full", now)


def _configured(state: flight.State, event: exchange.Configured, _now: float) -> Effects:
    state.customers = event.customers
    return []


def _drain(state: flight.State, _event: exchange.Drain, _now: float) -> Effects:
    state.draining = True
    return []


def _tick(_state: flight.State, _event: exchange.Tick, _now: float) -> Effects:
    return []


def _run_timers(state: flight.State, now: float) -> Effects:
    effects: Effects = []
    while state.timers and state.timers[0][0] <= now:
        _at, _sequence, kind, name = heapq.heappop(state.timers)
        effects += _TIMERS[kind](state, name, now)
    return effects


def _deadline_due(state: flight.State, request_id: str, now: float) -> Effects:
    record = state.records.get(request_id)
    if record is None or record.phase is flight.Phase.ENDED:
        return []
    refusal = verdict.Refusal(
        flight.verdict_of(record), verdict.Code.DEADLINE, "the deadline has passed"
    )
    return outcome.finish(state, record, result.Err(refusal), now)


def _patience_due(state: flight.State, request_id: str, now: float) -> Effects:
    record = state.records.get(request_id)
    if record is None or record.phase is not flight.Phase.QUEUED:
        return []
    service = record.request.service
    if any(server.peer_id not in record.attempts for server in pool.servers(state, service)):
        return []
    refusal = verdict.Refusal(
        flight.verdict_of(record),
        verdict.Code.UNAVAILABLE,
        f"no backend server of {service} is left to send the request to",
    )
    return outcome.finish(state, record, result.Err(refusal), now)


def _query_due(state: flight.State, request_id: str, now: float) -> Effects:
    record = state.records.get(request_id)
    attempts = flight.open_attempts(record) if record is not None else []
    if attempts:
        flight.set_timer(state, now + QUERY_PERIOD_SECONDS, "query", request_id)
    return [
        exchange.Send(attempt.peer_id, link.Query(request_id, attempt.incarnation))
        for attempt in attempts
        if attempt.peer_id in state.peers
    ]


def _lost_due(state: flight.State, peer_id: str, now: float) -> Effects:
    server = state.servers.get(peer_id)
    if server is None or server.connected or now < server.lost_at + LOST_SECONDS:
        return []
    effects: Effects = []
    for request_id in list(server.open):
        record = state.records[request_id]
        attempt = record.attempts[peer_id]
        outcome.close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
        effects += outcome.resolve(state, record, "the agent is gone", now)
    if not server.open:
        del state.servers[peer_id]
        ejection.forget(state.health, peer_id)
    return effects


def _forget_due(state: flight.State, request_id: str, now: float) -> Effects:
    record = state.records.get(request_id)
    if record is not None:
        outcome.drop(state, record, now)
    return []


def _lookup_due(state: flight.State, request_id: str, now: float) -> Effects:
    concluded = lookup.due(state, request_id)
    return _conclude(state, concluded, now) if concluded is not None else []


def _wake_due(state: flight.State, _name: str, _now: float) -> Effects:
    state.stirred.update(state.queues)
    return []


_HANDLERS: dict[type, typing.Callable[..., Effects]] = {
    exchange.Submitted: _submitted,
    exchange.Find: lookup.find,
    exchange.PeerUp: _peer_up,
    exchange.PeerDown: _peer_down,
    exchange.Received: _received,
    exchange.Unsent: _unsent,
    exchange.Claimed: claims.claimed,
    exchange.Settled: claims.settled,
    exchange.Configured: _configured,
    exchange.Tick: _tick,
    exchange.Drain: _drain,
}

_TIMERS: dict[str, typing.Callable[..., Effects]] = {
    "deadline": _deadline_due,
    "patience": _patience_due,
    "query": _query_due,
    "lost": _lost_due,
    "forget": _forget_due,
    "lookup": _lookup_due,
    "settle": claims.settle_due,
    "wake": _wake_due,
}
