"""Agent side of request routing: the slots of one backend server and unacknowledged answers."""

from __future__ import annotations

import dataclasses
import heapq
import math
import typing

from peridothatch_core.message import link
from peridothatch_core.model import request, verdict
from peridothatch_core.route import agent_exchange, holding

# A drain waits this long for a disconnected entry to return and receive its answers.
HANDOVER_TIMEOUT_SECONDS = 10.0

# Announcements are repeated, because an earlier one may have been lost.
HEARTBEATS_PER_ANNOUNCEMENT = 5

Effects = list[agent_exchange.Effect]


def step(state: holding.State, event: agent_exchange.Event, now: float) -> Effects:
    """Handle an event; ``now`` is the monotonic time in seconds."""
    effects = _HANDLERS[type(event)](state, event, now)
    holding.update_leaving_since(state, now)
    effects += _run_timers(state, now)
    effects += _pass_queued(state, now)
    return effects


def next_wake(state: holding.State) -> float | None:
    """Return the monotonic time at which the next ``Tick`` is due."""
    return state.timers[0][0] if state.timers else None


def idle(state: holding.State, now: float) -> bool:
    """Return whether all requests have ended and no entry is waited for.

    Answers that are not acknowledged are waited for while their entry is connected, and for
    ``HANDOVER_TIMEOUT_SECONDS`` after it disconnected.
    """
    if state.queue or state.open_calls or state.awaiting_answer:
        return False
    waiting = {state.records[request_id].entry_id for request_id in state.kept}
    return not any(
        entry_id in state.peers
        or now < state.disconnected_at.get(entry_id, -math.inf) + HANDOVER_TIMEOUT_SECONDS
        for entry_id in waiting
    )


def _received(state: holding.State, event: agent_exchange.Received, now: float) -> Effects:
    peer, message = event.peer, event.message
    match message:
        case link.Dispatch():
            return _dispatched(state, peer, message.request, now)
        case link.Query():
            return [agent_exchange.Send(peer.id, _queried(state, message, now))]
        case link.AnswerAck():
            _acknowledged(state, peer, message.request_id)
        case link.Cancel():
            return _cancelled(state, message.request_id)
        case link.HeartbeatAck(announce=True):
            return _announce(state, [peer.id])
    return []


def _dispatched(
    state: holding.State, peer: link.Hello, call: request.Request, now: float
) -> Effects:
    known = state.records.get(call.id)
    if known is not None:
        holding.count(state, "second_runs_prevented")
        answer = known.answer
        return [agent_exchange.Send(peer.id, link.AnswerReady(answer))] if answer else []
    if holding.was_seen(state, call.id):
        holding.count(state, "second_runs_prevented")
        return []
    if len(state.records) >= state.limits.records:
        # Without a record, a duplicate of this message could still run later, so the outcome
        # must not be NOT_RUN.
        answer = holding.may_have_run(call.id, "the request table of the agent is full")
        return [agent_exchange.Send(peer.id, link.AnswerReady(answer))]
    deadline = now + call.budget_seconds
    keep_until = deadline + holding.KEPT_AFTER_DEADLINE_SECONDS
    record = holding.Record(
        call, peer.id, peer.incarnation, deadline, keep_until, holding.Phase.QUEUED
    )
    holding.add(state, record)
    slots = holding.slots(state)
    if holding.is_leaving(state):
        answer = _leaving_answer(call.id)
    elif holding.in_flight(state) >= slots + max(1, slots // 2):
        answer = _busy_answer(call.id, "all slots are in use")
    else:
        state.queue.append(call.id)
        return []
    return _end(state, record, answer)


def _queried(state: holding.State, query: link.Query, now: float) -> link.Message:
    request_id = query.request_id
    record = state.records.get(request_id)
    is_lookup = not query.agent_incarnation
    if is_lookup and (record is None or query.customer not in ("", record.request.customer)):
        return link.RequestState(request_id, "unknown")
    if not is_lookup and query.agent_incarnation != state.own.incarnation:
        return link.RequestState(request_id, "forgotten")
    if record is None:
        return link.RequestState(request_id, _add_tombstone(state, request_id, now))
    if record.phase is holding.Phase.REFUSED:
        return link.RequestState(request_id, "not_run")
    if record.answer is not None:
        return link.AnswerReady(record.answer)
    acknowledged = record.phase is holding.Phase.ACKNOWLEDGED
    return link.RequestState(request_id, "forgotten" if acknowledged else "running")


def _add_tombstone(state: holding.State, request_id: str, now: float) -> str:
    """Add a tombstone that stops a delayed ``Dispatch``, and return the state of the request.

    If the request was seen before or the request table is full, the state is ``forgotten``,
    which does not promise that the request never ran or never runs.
    """
    if holding.was_seen(state, request_id) or len(state.records) >= state.limits.records:
        return "forgotten"
    until = now + holding.TOMBSTONE_SECONDS
    placeholder = request.Request(request_id, "", "", False, 0.0)
    record = holding.Record(placeholder, "", "", until, until, holding.Phase.REFUSED)
    holding.add(state, record)
    return "not_run"


def _acknowledged(state: holding.State, peer: link.Hello, request_id: str) -> None:
    record = state.records.get(request_id)
    if record is None or record.answer is None or record.entry_id != peer.id:
        return
    holding.acknowledge(state, record)


def _cancelled(state: holding.State, request_id: str) -> Effects:
    record = state.records.get(request_id)
    if record is None or record.phase is not holding.Phase.QUEUED:
        return []
    return _end(state, record, holding.not_run(request_id, 0, "the request was cancelled"))


def _pass_queued(state: holding.State, now: float) -> Effects:
    effects: Effects = []
    while state.queue and holding.is_leaving(state):
        request_id = state.queue[0]
        effects += _end(state, state.records[request_id], _leaving_answer(request_id))
    while state.queue and len(state.open_calls) < holding.slots(state):
        record = state.records[state.queue.pop(0)]
        record.phase = holding.Phase.PASSED
        state.open_calls.add(record.request.id)
        state.awaiting_answer.add(record.request.id)
        holding.check_passed(state, now)
        effects.append(agent_exchange.Call(record.request, max(0.001, record.deadline - now)))
    return effects


def _served(state: holding.State, event: agent_exchange.Served, _now: float) -> Effects:
    state.open_calls.discard(event.request_id)
    if event.answered_id != event.request_id:
        holding.count(state, "crossed_answers")
    effects: Effects = []
    record = state.records.get(event.answered_id)
    if record is not None and _accepts_answer(record):
        answer = request.Answer(
            event.answered_id, verdict.Verdict.RAN, event.status, event.body, event.content_type
        )
        effects = _end(state, record, answer)
    elif record is not None and _reported_not_run(record):
        holding.count(state, "ran_after_not_run")
    else:
        holding.count(state, "answers_without_request")
    return effects + _end_unanswerable(state)


def _accepts_answer(record: holding.Record) -> bool:
    """Return whether the request was passed to the backend server and has no answer yet."""
    if record.phase is holding.Phase.ENDED and record.answer is not None:
        return record.answer.verdict is verdict.Verdict.MAY_HAVE_RUN
    return record.phase is holding.Phase.PASSED


def _reported_not_run(record: holding.Record) -> bool:
    return record.answer is not None and record.answer.verdict is verdict.Verdict.NOT_RUN


def _not_served(state: holding.State, event: agent_exchange.NotServed, _now: float) -> Effects:
    state.open_calls.discard(event.request_id)
    record = state.records.get(event.request_id)
    effects: Effects = []
    if event.status == agent_exchange.BUSY_STATUS:
        effects += _reduce_slots(state)
    if record is not None and record.phase is holding.Phase.PASSED:
        if event.status:
            answer = holding.not_run(event.request_id, event.status, event.detail)
        else:
            answer = holding.may_have_run(event.request_id, event.detail)
        effects += _end(state, record, answer)
    return effects + _end_unanswerable(state)


def _reduce_slots(state: holding.State) -> Effects:
    """Reduce the announced slots to those that the backend server is using."""
    before = state.withheld_slots
    given = len(state.open_calls)
    state.withheld_slots = max(before, state.server.slots - given if state.server else 0)
    return _announce(state, state.peers) if state.withheld_slots != before else []


def _end_unanswerable(state: holding.State) -> Effects:
    """End requests whose answers can no longer arrive, because no call is in progress."""
    effects: Effects = []
    if not state.open_calls:
        for request_id in sorted(state.awaiting_answer):
            answer = holding.may_have_run(
                request_id, "the call returned the answer to another request"
            )
            effects += _end(state, state.records[request_id], answer)
    return effects


def _busy_answer(request_id: str, detail: str) -> request.Answer:
    return holding.not_run(request_id, agent_exchange.BUSY_STATUS, detail)


def _leaving_answer(request_id: str) -> request.Answer:
    detail = "the backend server is leaving"
    return holding.not_run(request_id, agent_exchange.LEAVING_STATUS, detail)


def _end(state: holding.State, record: holding.Record, answer: request.Answer) -> Effects:
    holding.end(state, record, answer)
    if record.entry_id not in state.peers:
        return []
    return [agent_exchange.Send(record.entry_id, link.AnswerReady(answer))]


def _run_timers(state: holding.State, now: float) -> Effects:
    effects: Effects = []
    while state.timers and state.timers[0][0] <= now:
        _at, _sequence, request_id = heapq.heappop(state.timers)
        record = state.records.get(request_id)
        if record is None:
            continue
        if record.phase is holding.Phase.QUEUED:
            answer = holding.not_run(request_id, 0, "the deadline has passed")
            effects += _end(state, record, answer)
        if now < record.keep_until:
            holding.set_timer(state, record.keep_until, request_id)
        elif record.phase is not holding.Phase.PASSED:
            holding.drop(state, record, now)
        else:
            # The call is still in progress and ends with its timeout; the id must stay known.
            record.keep_until = now + holding.KEPT_AFTER_DEADLINE_SECONDS
            holding.set_timer(state, record.keep_until, request_id)
    return effects


def _peer_up(state: holding.State, event: agent_exchange.PeerUp, _now: float) -> Effects:
    peer = event.peer
    state.peers[peer.id] = peer
    state.disconnected_at.pop(peer.id, None)
    effects = _announce(state, [peer.id])
    for request_id in state.kept:
        record = state.records[request_id]
        mine = record.entry_id == peer.id and record.entry_incarnation == peer.incarnation
        if mine and record.answer is not None:
            effects.append(agent_exchange.Send(peer.id, link.AnswerReady(record.answer)))
    return effects


def _peer_down(state: holding.State, event: agent_exchange.PeerDown, now: float) -> Effects:
    state.peers.pop(event.peer.id, None)
    recent = now - HANDOVER_TIMEOUT_SECONDS
    state.disconnected_at = {name: at for name, at in state.disconnected_at.items() if at > recent}
    state.disconnected_at[event.peer.id] = now
    return []


def _server_seen(state: holding.State, event: agent_exchange.ServerSeen, _now: float) -> Effects:
    before = (state.server, state.reachable)
    state.reachable = event.server is not None
    state.server = event.server or state.server
    if (state.server, state.reachable) == before:
        return []
    return _announce(state, state.peers)


def _announce(state: holding.State, peer_ids: typing.Iterable[str]) -> Effects:
    if state.server is None:
        return []
    server = dataclasses.replace(
        state.server, leaving=holding.is_leaving(state), slots=holding.slots(state)
    )
    message = link.AnnounceBackend(server, state.own.incarnation, holding.in_flight(state))
    return [agent_exchange.Send(peer_id, message) for peer_id in peer_ids]


def _heartbeat_due(
    state: holding.State, _event: agent_exchange.HeartbeatDue, now: float
) -> Effects:
    state.heartbeats += 1
    message = link.Heartbeat(now, 0, holding.in_flight(state))
    effects: Effects = [agent_exchange.Send(peer_id, message) for peer_id in state.peers]
    # Each heartbeat restores one withheld slot, to find out whether it is available again.
    found = state.withheld_slots > 0
    state.withheld_slots = max(0, state.withheld_slots - 1)
    if found or state.heartbeats % HEARTBEATS_PER_ANNOUNCEMENT == 0:
        effects += _announce(state, state.peers)
    return effects


def _drain(state: holding.State, _event: agent_exchange.Drain, _now: float) -> Effects:
    state.draining = True
    return _announce(state, state.peers)


def _tick(_state: holding.State, _event: agent_exchange.Tick, _now: float) -> Effects:
    return []


_HANDLERS: dict[type, typing.Callable[..., Effects]] = {
    agent_exchange.PeerUp: _peer_up,
    agent_exchange.PeerDown: _peer_down,
    agent_exchange.Received: _received,
    agent_exchange.Served: _served,
    agent_exchange.NotServed: _not_served,
    agent_exchange.ServerSeen: _server_seen,
    agent_exchange.HeartbeatDue: _heartbeat_due,
    agent_exchange.Tick: _tick,
    agent_exchange.Drain: _drain,
}
