"""Selection of the next queued request and of the backend server that gets it."""

from __future__ import annotations

import math
import typing

from peridothatch_core.route import ejection, flight, link_budget, pool

# Traffic between regions is billed by volume, so a request first waits this long for a slot in its
# own region.
CROSS_REGION_DELAY_SECONDS = 0.1

# Shorter waits are treated as elapsed: rounding could make their timer due at the current time.
MIN_WAIT_SECONDS = 1e-6

# A customer leaves one slot in eight free, so that its burst does not delay the next request of
# another customer.
HEADROOM_DIVISOR = 8


def select_next(
    state: flight.State, service: str, now: float
) -> tuple[flight.Record, pool.Server] | None:
    """Return the next request of a service and its backend server, or ``None``.

    Customers that hold fewer slots come first.
    """
    groups = pool.groups(state, service)
    if not any(group.free_servers for group in groups):
        return None
    queues = state.queues[service]
    for customer in sorted(queues, key=_held_slots(groups)):
        record = state.records[queues[customer][0]]
        server = _select_server(state, record, now)
        if server is not None:
            return record, server
    return None


def _held_slots(groups: list[pool.Group]) -> typing.Callable[[str], int]:
    """Return a function that maps a customer to the number of slots it holds."""
    if len(groups) == 1:
        held = groups[0].held_by_customer
        return lambda customer: held.get(customer, 0)
    return lambda customer: sum(group.held_by_customer.get(customer, 0) for group in groups)


def _select_server(state: flight.State, record: flight.Record, now: float) -> pool.Server | None:
    nearer_slots = 0
    for group in pool.groups(state, record.request.service):
        server = _least_loaded(state, record, group, now)
        if server is not None and group.distance == pool.CROSS_REGION:
            wait = _link_wait_seconds(state, record, nearer_slots, now)
            if wait > MIN_WAIT_SECONDS:
                if math.isfinite(wait):
                    flight.schedule_wake(state, now + wait, now)
                return None
        if server is not None:
            return server
        nearer_slots += group.slots
    return None


def _least_loaded(
    state: flight.State, record: flight.Record, group: pool.Group, now: float
) -> pool.Server | None:
    """Return the server of the group with the lowest load, or ``None`` if none is eligible."""
    held = group.held_by_customer.get(record.request.customer, 0)
    if held >= _max_slots_per_customer(state, group):
        return None
    best, lowest = None, (True, math.inf, 0)
    for server in group.free_servers.values():
        if not _has_capacity(server) or server.peer_id in record.attempts:
            continue
        # The failure share counts as load, so a server with failures is selected only when the
        # others are busier by that share.
        load = (len(server.open_requests) + server.in_use_by_others) / server.backend.slots
        load += ejection.failure_share(state.health, server.peer_id, now)
        rank = (pool.is_suspect(server, now), load, server.last_sent_sequence)
        if rank < lowest and _ejection_admits(state, record, server, now):
            best, lowest = server, rank
    return best


def _has_capacity(server: pool.Server) -> bool:
    """Return whether the server can take another request.

    The agent queues up to half as many requests as it has slots. The load from other entries is
    up to one heartbeat old, so requests may fill half of that queue.
    """
    slots = server.backend.slots
    return len(server.open_requests) + server.in_use_by_others < slots + slots // 4


def _ejection_admits(
    state: flight.State, record: flight.Record, server: pool.Server, now: float
) -> bool:
    """Return whether outlier ejection allows the request.

    Until its probe is overdue, an ejected server is probed with idempotent requests only.
    """
    if not ejection.is_ejected(state.health, server.peer_id):
        return True
    if not record.request.idempotent and not ejection.is_probe_overdue(
        state.health, server.peer_id, now
    ):
        return False
    return ejection.admits(state.health, server.peer_id, now)


def _max_slots_per_customer(state: flight.State, group: pool.Group) -> int:
    """Return the number of slots of the group that one customer may hold."""
    if state.customer_count == 1:
        return group.slots
    return group.slots - group.slots // HEADROOM_DIVISOR


def _link_wait_seconds(
    state: flight.State, record: flight.Record, nearer_slots: int, now: float
) -> float:
    """Return how long the request must wait before it may be sent to another region."""
    budget_wait = link_budget.wait_seconds(state.link, now)
    if not nearer_slots:
        return budget_wait
    delay = min(CROSS_REGION_DELAY_SECONDS, (record.deadline - record.queued_at) / 4)
    return max(budget_wait, record.queued_at + delay - now)
