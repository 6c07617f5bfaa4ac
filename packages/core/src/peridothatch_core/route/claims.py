"""Idempotency keys: a request with a key claims the key in the store before it is sent."""

from __future__ import annotations

import hashlib
import typing

import result

from peridothatch_core.message import store
from peridothatch_core.model import verdict
from peridothatch_core.route import exchange, fair_queue, flight, lookup, outcome

if typing.TYPE_CHECKING:
    from peridothatch_core.model import request

CLAIM_TIMEOUT_SECONDS = 2.0

# A conflicting row can be deleted before the next claim, so a claim is repeated. More conflicts
# than this indicate concurrent use of the key.
MAX_CLAIM_ATTEMPTS = 3

SETTLE_RETRY_SECONDS = 5.0


def digest(call: request.Request) -> str:
    """Return the SHA-256 digest of the service and the body of a request."""
    return hashlib.sha256(call.service.encode() + b"\0" + call.body).hexdigest()


def begin(
    state: flight.State, record: flight.Record, version: int, now: float
) -> list[exchange.Effect]:
    """Start to claim the key; the request is sent after the claim has been applied."""
    call = record.request
    record.phase = flight.Phase.CLAIMING
    record.digest = digest(call)
    record.claim_attempts += 1
    state.claiming[call.id] = (call.customer, len(call.body))
    row = exchange.ClaimRow(call.id, state.settings.entry_id, record.digest, version=version)
    timeout = max(0.001, min(CLAIM_TIMEOUT_SECONDS, record.deadline - now))
    return [exchange.Claim(call.customer, record.key, row, record.claim_attempts, timeout)]


def claimed(state: flight.State, event: exchange.Claimed, now: float) -> list[exchange.Effect]:
    """Queue the request if it holds the key, else use the outcome of the holder or refuse it."""
    state.claiming.pop(event.request_id, None)
    record = state.records.get(event.request_id)
    if record is None:
        return []
    holds = event.row is not None and event.row.request_id == event.request_id
    if event.outcome is store.Outcome.APPLIED or holds:
        record.settling = flight.Settling.CLAIMED
        if record.phase is flight.Phase.CLAIMING:
            fair_queue.enqueue(state, record, now, first=False)
            return []
        return outcome.settle(state, record)
    if event.outcome is store.Outcome.UNKNOWN:
        # The claim may have been applied. The request is refused below, so the claim is released.
        record.settling = flight.Settling.CLAIMED
    if record.phase is not flight.Phase.CLAIMING:
        return outcome.settle(state, record)
    if event.outcome is store.Outcome.CONFLICT:
        return _conflict(state, record, event.row, now)
    detail = "the idempotency key could not be claimed because the store did not respond"
    return _refuse(state, record, verdict.Code.STORE_UNAVAILABLE, detail, now)


def settled(state: flight.State, event: exchange.Settled, now: float) -> list[exchange.Effect]:
    """Handle the result of writing the outcome; schedule another attempt on failure."""
    record = state.records.get(event.request_id)
    if record is None or record.settling is not flight.Settling.WRITING:
        return []
    if event.outcome in (store.Outcome.APPLIED, store.Outcome.CONFLICT):
        record.settling = flight.Settling.DONE
    else:
        flight.set_timer(state, now + SETTLE_RETRY_SECONDS, "settle", event.request_id)
    return []


def settle_due(state: flight.State, request_id: str, _now: float) -> list[exchange.Effect]:
    """Write the outcome of a claimed request again."""
    record = state.records.get(request_id)
    if record is None or record.settling is not flight.Settling.WRITING:
        return []
    record.settling = flight.Settling.CLAIMED
    return outcome.settle(state, record)


def apply_holder_outcome(
    state: flight.State, request_id: str, found: flight.Outcome, row_version: int, now: float
) -> list[exchange.Effect]:
    """Use the outcome of the holder of the key, or claim the key if the holder did not run."""
    record = state.records.get(request_id)
    if record is None or record.phase is not flight.Phase.FOLLOWING:
        return []
    not_run = isinstance(found, result.Err) and found.err_value.verdict is verdict.Verdict.NOT_RUN
    if not_run and record.claim_attempts < MAX_CLAIM_ATTEMPTS:
        return begin(state, record, row_version, now)
    return outcome.finish(state, record, outcome.with_request_id(found, request_id), now)


def complete_lookup(
    state: flight.State, completed: lookup.Completed, now: float
) -> list[exchange.Effect]:
    """Pass the outcome of a lookup to the callers and requests that wait for it."""
    found = completed.found
    effects: list[exchange.Effect] = [exchange.Reply(tag, found) for tag in completed.lookup.tags]
    for request_id, version in completed.lookup.claims:
        effects += apply_holder_outcome(state, request_id, found, version, now)
    return effects


def _conflict(
    state: flight.State, record: flight.Record, row: exchange.ClaimRow | None, now: float
) -> list[exchange.Effect]:
    if row is None:
        if record.claim_attempts < MAX_CLAIM_ATTEMPTS:
            return begin(state, record, 0, now)
        detail = "the idempotency key is in use by concurrent requests"
        return _refuse(state, record, verdict.Code.CONFLICT, detail, now)
    if row.digest and row.digest != record.digest:
        detail = "the idempotency key was used with a different service or body"
        return _refuse(state, record, verdict.Code.CONFLICT, detail, now)
    record.phase = flight.Phase.FOLLOWING
    if row.answer is not None:
        return apply_holder_outcome(
            state, record.request.id, result.Ok(row.answer), row.version, now
        )
    if row.answer_dropped:
        detail = f"request {row.request_id} ran, but its answer was too large to be stored"
        refusal = verdict.Refusal(verdict.Verdict.RAN, verdict.Code.CONFLICT, detail)
        return outcome.finish(state, record, result.Err(refusal), now)
    holder = state.records.get(row.request_id)
    if holder is not None and holder.phase is not flight.Phase.ENDED:
        holder.followers.append(record.request.id)
        return []
    if holder is not None and holder.outcome is not None:
        return apply_holder_outcome(state, record.request.id, holder.outcome, row.version, now)
    effects = lookup.start_for_claim(state, record, row, now)
    if effects is None:
        return outcome.finish(state, record, lookup.unknown_outcome(), now)
    return effects


def _refuse(
    state: flight.State, record: flight.Record, code: verdict.Code, detail: str, now: float
) -> list[exchange.Effect]:
    refusal = verdict.not_run(code, detail)
    return outcome.finish(state, record, result.Err(refusal), now)
