"""Available backend servers of each service, grouped by distance from the entry."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.route import ejection

if typing.TYPE_CHECKING:
    from peridothatch_core.model import backend
    from peridothatch_core.route import flight

CROSS_REGION = 2

# Agents send a heartbeat every 2 s; a silent connection is closed after 6 s.
SUSPECT_AFTER_SECONDS = 2.5


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server that its agent has announced.

    Attributes
    ----------
    open_requests : dict of str to str
        Customer by request id, for the requests of this entry that the server may hold.
    in_use_by_others : int
        Slots that other entries use, according to the last report of the agent.
    last_sent_sequence : int
        Sequence number of the last request sent. Among equally loaded servers the least recently
        used one is selected; otherwise the first would get nearly all requests of a service with
        little traffic.
    group : Group or None
        ``None`` while the server gets no requests: it is disconnected, leaving, or its data
        centre is out of service, or it has no slots.
    """

    peer_id: str
    incarnation: str
    backend: backend.BackendServer
    distance: int
    connected: bool = True
    last_message_at: float = 0.0
    disconnected_at: float = 0.0
    open_requests: dict[str, str] = dataclasses.field(default_factory=dict)
    in_use_by_others: int = 0
    last_sent_sequence: int = 0
    group: Group | None = None


@dataclasses.dataclass(slots=True)
class Group:
    """Servers of one service at the same distance.

    Attributes
    ----------
    free_servers : dict of str to Server
        Servers by peer id that have a slot not used by this entry.
    held_by_customer : dict of str to int
        Number of slots that requests of this entry use, by customer.
    """

    distance: int
    slots: int = 0
    servers: list[Server] = dataclasses.field(default_factory=list)
    free_servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    held_by_customer: dict[str, int] = dataclasses.field(default_factory=dict)


def distance(settings: flight.Settings, server: backend.BackendServer) -> int:
    """Return 0 for the same data centre, 1 for the same region, else ``CROSS_REGION``."""
    if server.data_centre == settings.data_centre:
        return 0
    return 1 if server.region == settings.region else CROSS_REGION


def groups(state: flight.State, service: str) -> list[Group]:
    """Return the groups of a service, nearest first."""
    return state.pools.get(service, [])


def servers(state: flight.State, service: str) -> list[Server]:
    """Return the available servers of a service, including ejected ones."""
    return [server for group in groups(state, service) for server in group.servers]


def regroup(state: flight.State, service: str) -> None:
    """Rebuild the groups of a service after a change to one of its servers."""
    by_distance: dict[int, Group] = {}
    for server in state.servers.values():
        if server.backend.service != service:
            continue
        server.group = None
        # The agent announces zero slots while the backend server provides none.
        if server.backend.slots < 1:
            continue
        unavailable = (
            server.backend.leaving or server.backend.data_centre in state.data_centres_out
        )
        if unavailable or not server.connected:
            continue
        group = by_distance.setdefault(server.distance, Group(server.distance))
        group.slots += server.backend.slots
        group.servers.append(server)
        server.group = group
        _update_free_servers(group, server)
        for customer in server.open_requests.values():
            _count_held(group, customer)
    if by_distance:
        state.pools[service] = [by_distance[key] for key in sorted(by_distance)]
    else:
        state.pools.pop(service, None)
    state.dirty_services.add(service)
    ejection.enforce_cap(state.health, [server.peer_id for server in servers(state, service)])


def is_suspect(server: Server, now: float) -> bool:
    """Return whether the server has missed a heartbeat, so that its connection may be dead."""
    return now > server.last_message_at + SUSPECT_AFTER_SECONDS


def occupy(state: flight.State, server: Server, request_id: str, customer: str) -> None:
    """Account for a request that is sent to a server."""
    server.last_sent_sequence = next(state.sequence)
    server.open_requests[request_id] = customer
    if server.group is not None:
        _count_held(server.group, customer)
        _update_free_servers(server.group, server)


def release(state: flight.State, server: Server, request_id: str) -> None:
    """Account for a request that has ended on a server."""
    customer = server.open_requests.pop(request_id, None)
    group = server.group
    if customer is None:
        return
    state.dirty_services.add(server.backend.service)
    if group is not None:
        _update_free_servers(group, server)
        group.held_by_customer[customer] -= 1
        if not group.held_by_customer[customer]:
            del group.held_by_customer[customer]


def _update_free_servers(group: Group, server: Server) -> None:
    if len(server.open_requests) < server.backend.slots:
        group.free_servers[server.peer_id] = server
    else:
        group.free_servers.pop(server.peer_id, None)


def _count_held(group: Group, customer: str) -> None:
    group.held_by_customer[customer] = group.held_by_customer.get(customer, 0) + 1
