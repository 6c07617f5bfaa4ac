"""Lookup of the outcome of a request that this or another entry accepted."""

from __future__ import annotations

import dataclasses
import typing

import result

from peridothatch_core.message import link
from peridothatch_core.model import verdict
from peridothatch_core.route import exchange, flight

if typing.TYPE_CHECKING:
    from peridothatch_core.model import request

LOOKUP_TIMEOUT_SECONDS = 2.0
MAX_LOOKUPS = 256
MAX_AGENTS_QUERIED = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """A completed lookup and its outcome."""

    request_id: str
    lookup: flight.Lookup
    found: flight.Outcome


def find(state: flight.State, event: exchange.Find, now: float) -> list[exchange.Effect]:
    """Reply with a known outcome, or query the entry that accepted the request or the agents.

    An empty customer stands for an operator, who may see all requests.
    """
    record = state.records.get(event.request_id)
    if record is not None and event.customer in ("", record.request.customer):
        found = record.outcome or _may_have_run(
            verdict.Code.UNAVAILABLE, "the request is in progress"
        )
        return [exchange.Reply(event.tag, found)]
    if record is not None or is_own(state, event.request_id):
        return [exchange.Reply(event.tag, unknown_outcome())]
    lookup, effects = _start(state, event.request_id, event.customer, now)
    if lookup is None:
        return [exchange.Reply(event.tag, unknown_outcome())]
    lookup.tags.append(event.tag)
    return effects


def start_for_claim(
    state: flight.State, record: flight.Record, row: exchange.ClaimRow, now: float
) -> list[exchange.Effect] | None:
    """Look up the request that holds the key; ``None`` if no peer can know its outcome."""
    if is_own(state, row.request_id):
        return None
    lookup, effects = _start(state, row.request_id, record.request.customer, now)
    if lookup is None:
        return None
    lookup.claims.append((record.request.id, row.version))
    return effects


def is_own(state: flight.State, request_id: str) -> bool:
    """Return whether this process accepted the request."""
    return _parse_origin(request_id) == (state.settings.entry_id, state.settings.incarnation)


def unknown_outcome() -> flight.Outcome:
    """Return the outcome of a request that neither this entry nor its peers know."""
    return _may_have_run(verdict.Code.NOT_FOUND, "no outcome of this request is known")


def queried(state: flight.State, peer: link.Hello, query: link.Query) -> list[exchange.Effect]:
    """Answer the query of another entry for a request that this entry accepted."""
    record = state.records.get(query.request_id)
    if record is None or query.customer not in ("", record.request.customer):
        message: link.Message = link.RequestState(query.request_id, "unknown")
    elif record.outcome is None:
        message = link.RequestState(query.request_id, "running")
    elif isinstance(record.outcome, result.Ok):
        message = link.AnswerReady(record.outcome.ok_value)
    else:
        not_run = record.outcome.err_value.verdict is verdict.Verdict.NOT_RUN
        message = link.RequestState(query.request_id, "not_run" if not_run else "unknown")
    return [exchange.Send(peer.id, message)]


def answered(state: flight.State, peer: link.Hello, answer: request.Answer) -> Completed | None:
    """Handle an answer from a queried peer; return the lookup if it is complete."""
    lookup = state.lookups.get(answer.request_id)
    if lookup is None or peer.id not in lookup.peers:
        return None
    if answer.verdict is verdict.Verdict.RAN:
        return _complete(state, answer.request_id, result.Ok(answer))
    # Another agent may still have run the request.
    return _remove_peer(state, answer.request_id, peer.id)


def state_reported(
    state: flight.State, peer: link.Hello, message: link.RequestState
) -> Completed | None:
    """Handle a state from a queried peer without an answer; return the lookup if complete."""
    lookup = state.lookups.get(message.request_id)
    if lookup is None or peer.id not in lookup.peers:
        return None
    if message.state == "running":
        found = _may_have_run(verdict.Code.UNAVAILABLE, "the request is in progress")
        return _complete(state, message.request_id, found)
    if message.state == "not_run" and peer.id == lookup.owner:
        refusal = verdict.not_run(verdict.Code.UNAVAILABLE, "the request was not run")
        return _complete(state, message.request_id, result.Err(refusal))
    return _remove_peer(state, message.request_id, peer.id)


def peer_down(state: flight.State, peer_id: str) -> list[Completed]:
    """Stop waiting for a disconnected peer; return the lookups that are complete."""
    waiting = [key for key, lookup in state.lookups.items() if peer_id in lookup.peers]
    ended = [_remove_peer(state, request_id, peer_id) for request_id in waiting]
    return [completed for completed in ended if completed is not None]


def expire(state: flight.State, request_id: str) -> Completed | None:
    """End a lookup whose timeout has passed."""
    if request_id not in state.lookups:
        return None
    return _complete(state, request_id, unknown_outcome())


def _start(
    state: flight.State, request_id: str, customer: str, now: float
) -> tuple[flight.Lookup | None, list[exchange.Effect]]:
    known = state.lookups.get(request_id)
    if known is not None:
        return (known if known.customer == customer else None), []
    owner = _connected_owner(state, request_id)
    agents = [server.peer_id for server in state.servers.values() if server.connected]
    peers = {owner} if owner else set(agents[:MAX_AGENTS_QUERIED])
    if not peers or len(state.lookups) >= MAX_LOOKUPS:
        return None, []
    lookup = flight.Lookup(customer, owner, peers, [], [])
    state.lookups[request_id] = lookup
    flight.set_timer(state, now + LOOKUP_TIMEOUT_SECONDS, "lookup", request_id)
    query = link.Query(request_id, "", customer)
    return lookup, [exchange.Send(peer_id, query) for peer_id in sorted(peers)]


def _connected_owner(state: flight.State, request_id: str) -> str:
    """Return the peer id of the entry that accepted the request; empty if not connected."""
    entry_id, incarnation = _parse_origin(request_id)
    peer = state.peers.get(entry_id)
    alive = peer is not None and peer.role == "entry" and peer.incarnation == incarnation
    return entry_id if alive else ""


def _parse_origin(request_id: str) -> tuple[str, str]:
    """Return entry id and incarnation from a request id ``ENTRY.INCARNATION.NUMBER``."""
    parts = request_id.rsplit(".", 2)
    return (parts[0], parts[1]) if len(parts) == 3 else ("", "")


def _remove_peer(state: flight.State, request_id: str, peer_id: str) -> Completed | None:
    lookup = state.lookups[request_id]
    lookup.peers.discard(peer_id)
    return None if lookup.peers else _complete(state, request_id, unknown_outcome())


def _complete(state: flight.State, request_id: str, found: flight.Outcome) -> Completed:
    return Completed(request_id, state.lookups.pop(request_id), found)


def _may_have_run(code: verdict.Code, detail: str) -> flight.Outcome:
    return result.Err(verdict.Refusal(verdict.Verdict.MAY_HAVE_RUN, code, detail))
