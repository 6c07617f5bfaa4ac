"""Which waiting request is sent next, and to which backend server."""

from __future__ import annotations

import dataclasses
import math

from peridothatch_core.route import ejection, flight, link_budget

ACROSS_THE_LINK = 2

# The link is paid for by volume, so a request waits this long for a nearer slot first.
SPILL_AFTER_SECONDS = 0.1

# Rounding of the clock must not make a wait of zero length.
SHORTEST_WAIT_SECONDS = 1e-6

# One slot in eight stays free for other customers, so that the burst of one customer does not
# make the next request of another wait for a slot.
HEADROOM_DIVISOR = 8


@dataclasses.dataclass(slots=True)
class Group:
    """Backend servers of a service at one distance; ``free`` is in order of load."""

    distance: int
    slots: int
    free: list[flight.Server]
    held: dict[str, int]


def distance(settings: flight.Settings, data_centre: str, region: str) -> int:
    """Return 0 in the same data centre, 1 in the same region, 2 across the link."""
    if data_centre == settings.data_centre:
        return 0
    return 1 if region == settings.region else ACROSS_THE_LINK


def connected(state: flight.State, service: str) -> list[flight.Server]:
    """Return the connected backend servers of a service, leaving ones included."""
    return [
        server
        for server in state.servers.values()
        if server.connected and server.backend.service == service
    ]


def usable(state: flight.State, service: str) -> list[flight.Server]:
    """Return the backend servers of a service that do not leave, ejected ones included."""
    return [server for server in connected(state, service) if not server.backend.leaving]


def pick(
    state: flight.State, service: str, now: float
) -> tuple[flight.Record, flight.Server] | None:
    """Return the next request of a service and its backend server, if one can be sent.

    The customer that holds the fewest slots comes first.
    """
    servers = usable(state, service)
    ejection.keep_cap(state.health, [server.peer_id for server in servers])
    groups = _groups(state, servers, now)
    queues = state.queues[service]
    held = {customer: sum(group.held.get(customer, 0) for group in groups) for customer in queues}
    for customer in sorted(queues, key=held.__getitem__):
        record = state.records[queues[customer][0]]
        server = _choose(state, record, groups, now)
        if server is not None:
            return record, server
    return None


def _groups(state: flight.State, servers: list[flight.Server], now: float) -> list[Group]:
    groups: dict[int, Group] = {}
    for server in servers:
        away = distance(state.settings, server.backend.data_centre, server.backend.region)
        group = groups.setdefault(away, Group(away, 0, [], {}))
        group.slots += server.backend.slots
        for customer, number in server.held.items():
            group.held[customer] = group.held.get(customer, 0) + number
        if _has_room(server) and ejection.admits(state.health, server.peer_id, now):
            group.free.append(server)
    for group in groups.values():
        group.free.sort(key=_load)
    return [groups[away] for away in sorted(groups)]


def _has_room(server: flight.Server) -> bool:
    # The agent queues half as many requests as it has slots. What other entries use is known
    # with a lag of a heartbeat, so requests may be sent into half of that queue.
    slots = server.backend.slots
    return len(server.open) < slots and len(server.open) + server.foreign < slots + slots // 4


def _load(server: flight.Server) -> float:
    return (len(server.open) + server.foreign) / server.backend.slots


def _choose(
    state: flight.State, record: flight.Record, groups: list[Group], now: float
) -> flight.Server | None:
    customer = record.request.customer
    nearer = 0
    for group in groups:
        untried = [server for server in group.free if server.peer_id not in record.attempts]
        if group.held.get(customer, 0) >= _most(state, group):
            untried = []
        if group.distance == ACROSS_THE_LINK:
            wait = _link_wait_seconds(state, record, nearer, now)
            if untried and wait > SHORTEST_WAIT_SECONDS:
                if math.isfinite(wait):
                    flight.wake(state, now + wait, now)
                return None
        if untried:
            return min(untried, key=lambda server: _is_risk(state, record, server))
        nearer += group.slots
    return None


def _is_risk(state: flight.State, record: flight.Record, server: flight.Server) -> bool:
    """Return whether the request would be a probe although its failure is final."""
    return not record.request.idempotent and ejection.is_ejected(state.health, server.peer_id)


def _most(state: flight.State, group: Group) -> int:
    """Return how many slots of the group one customer may hold."""
    if state.customers == 1:
        return group.slots
    return group.slots - group.slots // HEADROOM_DIVISOR


def _link_wait_seconds(
    state: flight.State, record: flight.Record, nearer_slots: int, now: float
) -> float:
    """Return how long the request has to wait before it may cross the link."""
    closed = link_budget.wait_seconds(state.link, now)
    if not nearer_slots:
        return closed
    patience = min(SPILL_AFTER_SECONDS, (record.deadline - record.queued_at) / 4)
    return max(closed, record.queued_at + patience - now)
