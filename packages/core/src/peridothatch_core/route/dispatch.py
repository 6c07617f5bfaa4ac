"""Entry side of request routing: admits requests, sends them to agents and replies to callers."""

from __future__ import annotations

import dataclasses
import heapq
import typing

import result

from peridothatch_core.admit import requests
from peridothatch_core.message import link
from peridothatch_core.model import verdict
from peridothatch_core.route import (
    agents,
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

# Open attempts are queried periodically, because a full outbox drops messages although the
# connection stays up.
QUERY_PERIOD_SECONDS = 3.0

# The agent gets a shorter deadline, so that its report arrives before the caller's deadline.
RETURN_MARGIN_SECONDS = 0.05

Effects = list[exchange.Effect]


def step(state: flight.State, event: exchange.Event, now: float) -> Effects:
    """Handle an event; ``now`` is the monotonic time in seconds."""
    effects = _HANDLERS[type(event)](state, event, now)
    effects += _run_timers(state, now)
    effects += _send_queued(state, now)
    return effects


def next_wake(state: flight.State) -> float | None:
    """Return the monotonic time at which the next ``Tick`` is due."""
    return state.timers[0][0] if state.timers else None


def idle(state: flight.State) -> bool:
    """Return whether all requests have ended and no outcome remains to be written to a row."""
    return not state.lookups and all(
        record.phase is flight.Phase.ENDED and record.settling is not flight.Settling.WRITING
        for record in state.records.values()
    )


def _submitted(state: flight.State, event: exchange.Submitted, now: float) -> Effects:
    call = event.request
    refusal = _refusal(state, event)
    if refusal is not None:
        flight.count(state, "refused")
        return [exchange.Reply(event.tag, result.Err(refusal))]
    # Callers may name any service, so only existing services get a budget.
    if pool.groups(state, call.service):
        retry_budget.deposit(flight.retry_budget_of(state, call.service))
    deadline = now + call.budget_seconds
    record = flight.Record(call, deadline, event.idempotency_key, [event.tag])
    state.records[call.id] = record
    flight.set_timer(state, deadline, "deadline", call.id)
    if record.key and not call.idempotent:
        return claims.begin(state, record, 0, now)
    fair_queue.enqueue(state, record, now, first=False)
    return []


def _refusal(state: flight.State, event: exchange.Submitted) -> verdict.Refusal | None:
    call = event.request
    checked = requests.check(call, event.idempotency_key)
    if isinstance(checked, result.Err):
        return checked.err_value
    if state.draining:
        return verdict.not_run(verdict.Code.UNAVAILABLE, "this entry is draining")
    if call.id in state.records:
        return verdict.not_run(verdict.Code.CONFLICT, f"request id {call.id} is already in use")
    return fair_queue.check_admission(state, call)


def _send_queued(state: flight.State, now: float) -> Effects:
    effects: Effects = []
    services, state.dirty_services = state.dirty_services, set()
    for service in sorted(services):
        while service in state.queues:
            selected = choice.select_next(state, service, now)
            if selected is None:
                break
            record, server = selected
            fair_queue.remove(state, record)
            effects.append(_dispatch(state, record, server, now))
    return effects


def _dispatch(
    state: flight.State, record: flight.Record, server: pool.Server, now: float
) -> exchange.Effect:
    call, peer_id = record.request, server.peer_id
    record.phase = flight.Phase.SENT
    record.attempts[peer_id] = flight.Attempt(peer_id, server.incarnation, now)
    pool.occupy(state, server, call.id, call.customer)
    ejection.record_sent(state.health, peer_id, call.id)
    if server.distance == pool.CROSS_REGION:
        link_budget.spend(state.link, len(call.body))
    flight.set_timer(state, now + QUERY_PERIOD_SECONDS, "query", call.id)
    left = record.deadline - now
    budget = left - min(RETURN_MARGIN_SECONDS, left / 10)
    return exchange.Send(peer_id, link.Dispatch(dataclasses.replace(call, budget_seconds=budget)))


def _received(state: flight.State, event: exchange.Received, now: float) -> Effects:
    peer, message = event.peer, event.message
    server = state.servers.get(peer.id)
    if server is not None:
        server.last_message_at = now
    match message:
        case link.AnnounceBackend():
            return agents.announced(state, peer, message, now)
        case link.Heartbeat():
            return agents.heartbeat(state, peer, message)
        case link.AnswerReady():
            return _answered(state, peer, message.answer, now)
        case link.RequestState():
            return _request_state(state, peer, message, now)
        case link.Query():
            return lookup.queried(state, peer, message)
    return []


def _answered(
    state: flight.State, peer: link.Hello, answer: request.Answer, now: float
) -> Effects:
    completed = lookup.answered(state, peer, answer)
    if completed is not None:
        return claims.complete_lookup(state, completed, now)
    record = state.records.get(answer.request_id)
    if record is None:
        # The answer to another entry's request is not acknowledged, so the agent keeps it.
        own = lookup.is_own(state, answer.request_id)
        return [exchange.Send(peer.id, link.AnswerAck(answer.request_id))] if own else []
    attempt = record.attempts.get(peer.id)
    if attempt is None:
        flight.count(state, "answers_not_asked_for")
        return []
    if attempt.incarnation != peer.incarnation and answer.verdict is verdict.Verdict.NOT_RUN:
        # A restarted agent does not know which requests its previous incarnation ran.
        answer = dataclasses.replace(answer, verdict=verdict.Verdict.MAY_HAVE_RUN)
    late = record.phase is flight.Phase.ENDED
    effects = outcome.answered(state, record, attempt, answer, now)
    # While the entry drains, late answers stay with the agent, where other entries find them.
    if not (late and state.draining):
        effects.append(exchange.Send(peer.id, link.AnswerAck(answer.request_id)))
    return effects


def _request_state(
    state: flight.State, peer: link.Hello, message: link.RequestState, now: float
) -> Effects:
    completed = lookup.state_reported(state, peer, message)
    if completed is not None:
        return claims.complete_lookup(state, completed, now)
    record = state.records.get(message.request_id)
    attempt = record.attempts.get(peer.id) if record is not None else None
    if record is None or attempt is None or message.state == "running":
        return []
    if attempt.outcome in (verdict.Verdict.RAN, verdict.Verdict.NOT_RUN):
        return []
    known = message.state == "not_run" and attempt.incarnation == peer.incarnation
    reported = verdict.Verdict.NOT_RUN if known else verdict.Verdict.MAY_HAVE_RUN
    outcome.close_attempt(state, record, attempt, reported, now)
    return outcome.retry_or_finish(state, record, f"the agent reported {message.state}", now)


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
        f"no untried backend server of service {service} is available",
    )
    return outcome.finish(state, record, result.Err(refusal), now)


def _query_due(state: flight.State, request_id: str, now: float) -> Effects:
    record = state.records.get(request_id)
    attempts = flight.open_attempts(record) if record is not None else []
    for attempt in attempts:
        server = state.servers.get(attempt.peer_id)
        silent = server is not None and pool.is_suspect(server, now)
        # An idempotent request is retried before the silent connection is closed.
        if silent and record.request.idempotent and outcome.retry(state, record, now):
            outcome.close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
    if attempts:
        flight.set_timer(state, now + QUERY_PERIOD_SECONDS, "query", request_id)
    return [
        exchange.Send(attempt.peer_id, link.Query(request_id, attempt.incarnation))
        for attempt in attempts
        if attempt.peer_id in state.peers
    ]


def _forget_due(state: flight.State, request_id: str, now: float) -> Effects:
    record = state.records.get(request_id)
    if record is not None:
        outcome.drop(state, record, now)
    return []


def _lookup_due(state: flight.State, request_id: str, now: float) -> Effects:
    completed = lookup.expire(state, request_id)
    return claims.complete_lookup(state, completed, now) if completed is not None else []


def _wake_due(state: flight.State, _name: str, _now: float) -> Effects:
    state.dirty_services.update(state.queues)
    return []


_HANDLERS: dict[type, typing.Callable[..., Effects]] = {
    exchange.Submitted: _submitted,
    exchange.Find: lookup.find,
    exchange.PeerUp: agents.peer_up,
    exchange.PeerDown: agents.peer_down,
    exchange.Received: _received,
    exchange.Unsent: agents.unsent,
    exchange.Claimed: claims.claimed,
    exchange.Settled: claims.settled,
    exchange.Configured: agents.configured,
    exchange.Tick: _tick,
    exchange.Drain: _drain,
}

_TIMERS: dict[str, typing.Callable[..., Effects]] = {
    "deadline": _deadline_due,
    "patience": _patience_due,
    "query": _query_due,
    "lost": agents.lost_due,
    "forget": _forget_due,
    "lookup": _lookup_due,
    "settle": claims.settle_due,
    "wake": _wake_due,
}
