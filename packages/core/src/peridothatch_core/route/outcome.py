"""Handling of attempt outcomes: an answer, a retry or a refusal."""

from __future__ import annotations

import dataclasses
import typing

import result

from peridothatch_core.model import verdict
from peridothatch_core.route import (
    agent_exchange,
    ejection,
    exchange,
    fair_queue,
    flight,
    link_budget,
    pool,
    retry_budget,
)

if typing.TYPE_CHECKING:
    from peridothatch_core.model import request

# Outcomes are kept for lookups this long after the deadline.
KEPT_AFTER_DEADLINE_SECONDS = 60.0

# Estimated memory of an ended request without bodies. With 10,000 of them, tracemalloc showed
# 1,285 bytes each.
RECORD_BYTES = 1536

# Smoothing factor of the moving average of service times.
SMOOTHING_FACTOR = 0.1


def close_attempt(
    state: flight.State,
    record: flight.Record,
    attempt: flight.Attempt,
    reported: verdict.Verdict,
    now: float,
) -> None:
    """Record the outcome of an attempt; a later, more certain outcome replaces an earlier one."""
    request_id = record.request.id
    first = attempt.outcome is None
    attempt.outcome = reported
    ejection.release_probe(state.health, attempt.peer_id, request_id)
    server = state.servers.get(attempt.peer_id)
    if not first or server is None or server.incarnation != attempt.incarnation:
        return
    pool.release(state, server, request_id)
    # A request that ended after its deadline indicates a fault, not the usual service time.
    if reported is verdict.Verdict.RAN and record.phase is not flight.Phase.ENDED:
        _update_mean_seconds(state, record.request.service, now - attempt.sent_at)


def record_health(
    state: flight.State,
    attempt: flight.Attempt,
    reported: verdict.Verdict,
    status: int,
    now: float,
) -> None:
    """Report an outcome to outlier ejection if it is evidence of the server's health.

    A request that was not run is evidence only if the backend server was unreachable.
    """
    server = state.servers.get(attempt.peer_id)
    if server is None or server.incarnation != attempt.incarnation:
        return
    if reported is verdict.Verdict.NOT_RUN and status != agent_exchange.UNREACHABLE_STATUS:
        return
    if reported is verdict.Verdict.RAN and status < 500:
        ejection.record_success(state.health, attempt.peer_id)
    else:
        servers = pool.servers(state, server.backend.service)
        group = [member.peer_id for member in servers]
        until = ejection.record_failure(state.health, attempt.peer_id, group, now)
        if until is not None:
            flight.set_timer(state, until, "wake")


def answered(
    state: flight.State,
    record: flight.Record,
    attempt: flight.Attempt,
    answer: request.Answer,
    now: float,
) -> list[exchange.Effect]:
    """Handle an answer or a verdict from the agent of an attempt."""
    if {attempt.outcome, answer.verdict} == {verdict.Verdict.RAN, verdict.Verdict.NOT_RUN}:
        flight.count(state, "contradictions")
    if attempt.outcome is verdict.Verdict.RAN:
        return []
    if attempt.outcome is verdict.Verdict.NOT_RUN and answer.verdict is not verdict.Verdict.RAN:
        return []
    server = state.servers.get(attempt.peer_id)
    if server is not None and server.distance == pool.CROSS_REGION:
        link_budget.spend(state.link, len(answer.body))
    close_attempt(state, record, attempt, answer.verdict, now)
    record_health(state, attempt, answer.verdict, answer.status, now)
    if answer.verdict is not verdict.Verdict.RAN:
        # A planned stop must not fail any request. The queues of the leaving servers bound the
        # number of retries, so these are exempt from the retry budget.
        planned = answer.status == agent_exchange.LEAVING_STATUS
        return retry_or_finish(state, record, answer.detail, now, planned=planned)
    if not record.request.idempotent and isinstance(record.outcome, result.Ok):
        flight.count(state, "second_runs")
    return finish(state, record, result.Ok(answer), now)


def retry_or_finish(
    state: flight.State, record: flight.Record, detail: str, now: float, *, planned: bool = False
) -> list[exchange.Effect]:
    """Retry the request or refuse it after its last open attempt ended without an answer."""
    if flight.open_attempts(record) and record.phase is not flight.Phase.ENDED:
        return []
    if record.phase is flight.Phase.QUEUED:
        return []
    if retry(state, record, now, planned=planned):
        return []
    refusal = verdict.Refusal(flight.verdict_of(record), verdict.Code.UNAVAILABLE, detail)
    return finish(state, record, result.Err(refusal), now)


def retry(
    state: flight.State, record: flight.Record, now: float, *, planned: bool = False
) -> bool:
    """Queue the request again if that is safe and allowed; return whether it was queued."""
    call = record.request
    harmless = call.idempotent or flight.verdict_of(record) is verdict.Verdict.NOT_RUN
    if record.phase is not flight.Phase.SENT or not harmless or now >= record.deadline:
        return False
    servers = pool.servers(state, call.service)
    if all(server.peer_id in record.attempts for server in servers):
        return False
    if not planned and not retry_budget.take(flight.retry_budget_of(state, call.service)):
        flight.count(state, "retries_refused")
        return False
    flight.count(state, "retries")
    fair_queue.enqueue(state, record, now, first=True)
    return True


def finish(
    state: flight.State, record: flight.Record, outcome: flight.Outcome, now: float
) -> list[exchange.Effect]:
    """End the request and reply to its callers; a later outcome replaces only a refusal."""
    if record.phase is flight.Phase.QUEUED:
        fair_queue.remove(state, record)
    if record.phase is not flight.Phase.ENDED:
        keep_until = max(now, record.deadline) + KEPT_AFTER_DEADLINE_SECONDS
        flight.set_timer(state, keep_until, "forget", record.request.id)
        record.request = dataclasses.replace(record.request, body=b"")
    record.phase = flight.Phase.ENDED
    if not isinstance(record.outcome, result.Ok):
        record.outcome = outcome
    _retain(state, record, now)
    effects: list[exchange.Effect] = [
        exchange.Reply(tag, record.outcome) for tag in record.waiters
    ]
    record.waiters.clear()
    followers, record.followers = record.followers, []
    for request_id in followers:
        follower = state.records.get(request_id)
        if follower is not None and follower.phase is flight.Phase.FOLLOWING:
            effects += finish(state, follower, with_request_id(record.outcome, request_id), now)
    return effects + settle(state, record)


def settle(state: flight.State, record: flight.Record) -> list[exchange.Effect]:
    """Write the outcome of a claimed request to its row if the outcome is certain."""
    if record.settling is not flight.Settling.CLAIMED or record.outcome is None:
        return []
    call = record.request
    if isinstance(record.outcome, result.Ok):
        answer = record.outcome.ok_value
        row = exchange.ClaimRow(call.id, state.settings.entry_id, record.digest, answer)
    elif record.outcome.err_value.verdict is verdict.Verdict.NOT_RUN:
        row = None
    else:
        return []
    record.settling = flight.Settling.WRITING
    return [exchange.Settle(call.customer, record.key, call.id, row)]


def with_request_id(outcome: flight.Outcome, request_id: str) -> flight.Outcome:
    """Return the outcome for another request with the same idempotency key."""
    if isinstance(outcome, result.Ok):
        return result.Ok(dataclasses.replace(outcome.ok_value, request_id=request_id))
    return outcome


def drop(state: flight.State, record: flight.Record, now: float) -> None:
    """Discard an ended request."""
    for attempt in flight.open_attempts(record):
        close_attempt(state, record, attempt, verdict.Verdict.MAY_HAVE_RUN, now)
    if record.settling is flight.Settling.WRITING:
        flight.count(state, "outcomes_not_recorded")
    state.kept_bytes -= state.kept.pop(record.request.id, 0)
    del state.records[record.request.id]


def _retain(state: flight.State, record: flight.Record, now: float) -> None:
    """Account for an ended request, and drop the oldest ones above the limit."""
    if record.request.id not in state.records:
        return
    body = record.outcome.ok_value.body if isinstance(record.outcome, result.Ok) else b""
    size = len(body) + RECORD_BYTES
    state.kept_bytes += size - state.kept.get(record.request.id, 0)
    state.kept[record.request.id] = size
    while state.kept_bytes > state.settings.kept_bytes and len(state.kept) > 1:
        oldest = next(iter(state.kept))
        flight.count(state, "outcomes_dropped_early")
        drop(state, state.records[oldest], now)


def _update_mean_seconds(state: flight.State, service: str, seconds: float) -> None:
    mean = state.service_seconds.get(service, seconds)
    state.service_seconds[service] = mean + SMOOTHING_FACTOR * (seconds - mean)
