"""Tracking of agents by an entry: their backend servers, connections and restarts."""

from __future__ import annotations

from peridothatch_core.message import link
from peridothatch_core.model import verdict
from peridothatch_core.route import claims, ejection, exchange, flight, lookup, outcome, pool

# A silent connection is closed after 6 s and reopened. An agent that is disconnected for longer
# is considered lost, so that callers need not wait for their deadlines.
LOSS_TIMEOUT_SECONDS = 10.0

Effects = list[exchange.Effect]


def announced(
    state: flight.State, peer: link.Hello, message: link.AnnounceBackend, now: float
) -> Effects:
    """Add or update a backend server that its agent announced."""
    current = state.peers.get(peer.id)
    if current is None or current.incarnation != peer.incarnation:
        # The message is from a closed connection or an earlier incarnation of the agent.
        return []
    server = state.servers.get(peer.id)
    distance = pool.distance(state.settings, message.backend)
    if server is None:
        server = pool.Server(peer.id, peer.incarnation, message.backend, distance)
        state.servers[peer.id] = server
    server.last_message_at = now
    before, server.backend, server.distance = server.backend, message.backend, distance
    for service in {before.service, server.backend.service}:
        pool.regroup(state, service)
    _update_load(state, server, message.in_flight)
    return []


def heartbeat(state: flight.State, peer: link.Hello, message: link.Heartbeat) -> Effects:
    """Update the load of a backend server, and reply to keep the connection alive."""
    server = state.servers.get(peer.id)
    if server is None:
        return []
    _update_load(state, server, message.in_flight)
    # The reply contains no service proof, which only a planner can give.
    return [exchange.Send(peer.id, link.HeartbeatAck(message.t0, False, -1.0, 0, 0))]


def peer_up(state: flight.State, event: exchange.PeerUp, now: float) -> Effects:
    """Register a connected peer, and query an agent for the requests sent to it before."""
    peer = event.peer
    state.peers[peer.id] = peer
    server = state.servers.get(peer.id)
    if server is None:
        return []
    server.connected = True
    pool.regroup(state, server.backend.service)
    if server.incarnation != peer.incarnation:
        return _restarted(state, server, peer, now)
    # Messages in transit on the previous connection may be lost.
    return [
        exchange.Send(peer.id, link.Query(request_id, server.incarnation))
        for request_id in server.open_requests
    ]


def peer_down(state: flight.State, event: exchange.PeerDown, now: float) -> Effects:
    """Stop sending to a disconnected peer, and retry its idempotent requests elsewhere."""
    peer_id = event.peer.id
    current = state.peers.get(peer_id)
    if current is None or current.incarnation != event.peer.incarnation:
        return []
    del state.peers[peer_id]
    effects: Effects = []
    for completed in lookup.peer_down(state, peer_id):
        effects += claims.complete_lookup(state, completed, now)
    server = state.servers.get(peer_id)
    if server is None:
        return effects
    server.connected = False
    server.disconnected_at = now
    pool.regroup(state, server.backend.service)
    flight.set_timer(state, now + LOSS_TIMEOUT_SECONDS, "lost", peer_id)
    for record in _open_records(state, server):
        # An idempotent request is retried without waiting for the agent to reconnect.
        if record.request.idempotent and outcome.retry(state, record, now):
            attempt = record.attempts[peer_id]
            outcome.close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
    return effects


def lost_due(state: flight.State, peer_id: str, now: float) -> Effects:
    """End the attempts at an agent that did not reconnect in time."""
    server = state.servers.get(peer_id)
    if server is None or server.connected or now < server.disconnected_at + LOSS_TIMEOUT_SECONDS:
        return []
    effects: Effects = []
    for record in _open_records(state, server):
        attempt = record.attempts[peer_id]
        outcome.close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
        effects += outcome.retry_or_finish(state, record, "the agent did not reconnect", now)
    if not server.open_requests:
        del state.servers[peer_id]
        ejection.forget(state.health, peer_id)
    return effects


def unsent(state: flight.State, event: exchange.Unsent, now: float) -> Effects:
    """End an attempt whose message was not sent."""
    record = state.records.get(event.request_id)
    attempt = record.attempts.get(event.peer_id) if record is not None else None
    if record is None or attempt is None:
        return []
    outcome.close_attempt(state, record, attempt, verdict.Verdict.NOT_RUN, now)
    return outcome.retry_or_finish(state, record, "the outbound queue of this entry is full", now)


def configured(state: flight.State, event: exchange.Configured, _now: float) -> Effects:
    """Apply a configuration; data centres out of service get no new requests."""
    state.customer_count = event.customer_count
    state.data_centres_out = event.data_centres_out
    for service in {server.backend.service for server in state.servers.values()}:
        pool.regroup(state, service)
    return []


def _restarted(state: flight.State, server: pool.Server, peer: link.Hello, now: float) -> Effects:
    """End the attempts at the previous incarnation of an agent, which lost its state."""
    ended = _open_records(state, server)
    server.incarnation = peer.incarnation
    server.open_requests.clear()
    ejection.forget(state.health, peer.id)
    pool.regroup(state, server.backend.service)
    effects: Effects = []
    for record in ended:
        attempt = record.attempts[peer.id]
        outcome.close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
        effects += outcome.retry_or_finish(state, record, "the agent restarted", now)
    return effects


def _open_records(state: flight.State, server: pool.Server) -> list[flight.Record]:
    return [state.records[request_id] for request_id in server.open_requests]


def _update_load(state: flight.State, server: pool.Server, in_flight: int) -> None:
    server.in_use_by_others = max(0, in_flight - len(server.open_requests))
    state.dirty_services.add(server.backend.service)
