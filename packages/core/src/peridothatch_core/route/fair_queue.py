"""Bounded request queues, one per service and customer."""

from __future__ import annotations

import typing

from peridothatch_core.model import verdict
from peridothatch_core.route import flight, pool

if typing.TYPE_CHECKING:
    from peridothatch_core.model import request

# Time after which a queued request is refused if no untried backend server is available.
NO_SERVER_PATIENCE_SECONDS = 2.0


def check_admission(state: flight.State, call: request.Request) -> verdict.Refusal | None:
    """Return a refusal if the queues are full or the request would miss its deadline."""
    waiting = state.queues.get(call.service, {}).get(call.customer, ())
    claiming = sum(customer == call.customer for customer, _size in state.claiming.values())
    if len(waiting) + claiming >= state.settings.queue_requests:
        detail = f"customer {call.customer} already has {len(waiting) + claiming} waiting requests"
        return verdict.not_run(verdict.Code.OVERLOADED, detail)
    waiting_bytes = state.queued_bytes + sum(size for _customer, size in state.claiming.values())
    if waiting_bytes + len(call.body) > state.settings.queue_bytes:
        return verdict.not_run(verdict.Code.OVERLOADED, "the queues of this entry are full")
    wait_seconds = _expected_wait_seconds(state, call, len(waiting))
    if wait_seconds >= call.budget_seconds:
        detail = f"the expected wait of {wait_seconds:.3g} s exceeds the deadline"
        return verdict.not_run(verdict.Code.DEADLINE, detail)
    return None


def enqueue(state: flight.State, record: flight.Record, now: float, *, first: bool) -> None:
    """Add a request to the front or the back of its customer's queue."""
    call = record.request
    record.phase = flight.Phase.QUEUED
    record.queued_at = now
    queue = state.queues.setdefault(call.service, {}).setdefault(call.customer, [])
    queue.insert(0 if first else len(queue), call.id)
    state.queued_bytes += len(call.body)
    state.dirty_services.add(call.service)
    flight.set_timer(state, now + NO_SERVER_PATIENCE_SECONDS, "patience", call.id)


def remove(state: flight.State, record: flight.Record) -> None:
    """Remove a request from its queue."""
    call = record.request
    queues = state.queues[call.service]
    queues[call.customer].remove(call.id)
    if not queues[call.customer]:
        del queues[call.customer]
    if not queues:
        del state.queues[call.service]
    state.queued_bytes -= len(call.body)


def _expected_wait_seconds(state: flight.State, call: request.Request, ahead: int) -> float:
    """Estimate the time to serve ``ahead`` requests with the customer's share of the slots."""
    mean = state.service_seconds.get(call.service)
    groups = pool.groups(state, call.service)
    slots = sum(group.slots for group in groups)
    if not ahead or mean is None or not slots:
        return 0.0
    active = set(state.queues.get(call.service, ())) | {call.customer}
    for group in groups:
        active.update(group.held_by_customer)
    return ahead * mean * len(active) / slots
