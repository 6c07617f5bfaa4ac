"""Which waiting request is sent next, and to which backend server."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.route import flight


def usable(state: flight.State, service: str, _now: float) -> list[flight.Server]:
    """Return the backend servers of a service that may get new requests."""
    return [
        server
        for server in state.servers.values()
        if server.connected and not server.backend.leaving and server.backend.service == service
    ]


def pick(
    state: flight.State, service: str, now: float
) -> tuple[flight.Record, flight.Server] | None:
    """Return the next request of a service and its backend server, if one can be sent."""
    servers = usable(state, service, now)
    queues = state.queues[service]
    held = {
        customer: sum(server.outstanding.get(customer, 0) for server in servers)
        for customer in queues
    }
    for customer in sorted(queues, key=held.__getitem__):
        record = state.records[queues[customer][0]]
        server = _choose(state, record, servers)
        if server is not None:
            return record, server
    return None


def distance(settings: flight.Settings, server: flight.Server) -> int:
    """Return 0 in the same data centre, 1 in the same region, 2 across the link."""
    if server.backend.data_centre == settings.data_centre:
        return 0
    return 1 if server.backend.region == settings.region else 2


def _choose(
    state: flight.State, record: flight.Record, servers: list[flight.Server]
) -> flight.Server | None:
    free = [
        server
        for server in servers
        if server.in_use < server.backend.slots and server.peer_id not in record.attempts
    ]
    return min(
        free,
        key=lambda server: (
            distance(state.settings, server),
            (server.in_use + server.foreign) / server.backend.slots,
        ),
        default=None,
    )
