"""Creates the tasks of an agent process and connects them."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.connect import limits
from peridothatch_core.hold import state
from peridothatch_core.model import tables
from peridothatch_daemon.hosted import (
    clock,
    commit_route,
    connections,
    log,
    observe,
    serving,
    supervisor,
)
from peridothatch_daemon.observe import metrics
from peridothatch_platform import (
    heartbeats,
    ingress,
    listeners,
    peer_calls,
    settings,
    store,
    worker,
)
from peridothatch_wire import mailbox, task

LISTENERS = 2
"""Number of listeners: heartbeats and metrics."""


@dataclasses.dataclass(slots=True)
class Agent:
    """The clients, tasks and servers of a running agent."""

    store: store.Client
    peer_calls: peer_calls.Client
    commit_route: commit_route.CommitRoute
    calls: worker.Client
    feed: store.Feed
    supervisor: supervisor.Supervisor
    servers: list[serving.Server]
    exported: metrics.Metrics
    connections: connections.Connections


async def start(
    machine: settings.Machine,
    on_replaced: typing.Callable[[], None],
    opened: listeners.Listeners | None = None,
) -> Agent:
    """Start an agent.

    Parameters
    ----------
    on_replaced : callable
        Called when another agent process has registered for this node.
    opened : dict
        Sockets that are already listening; those that are used are removed from it.

    Raises
    ------
    ValueError
        The settings lack the address of the worker or the address for its heartbeats.
    OSError
        An address cannot be bound.
    """
    if machine.worker is None or machine.heartbeats is None:
        raise ValueError("app, listen.control: an agent needs both addresses")
    inbox = mailbox.create("supervisor")

    def deliver(message: typing.Any) -> None:
        mailbox.post(inbox, message)

    store_client = await store.start(machine.store, clock.now, log.unreadable)
    worker_calls = await worker.start(machine.worker, clock.now, deliver, log.unreadable)
    hold = state.State(machine.node, machine.data_centre, state.lease_ms(machine.longest_hold_ms))
    exported = metrics.start(machine.node)
    peer_client = await peer_calls.start(clock.now)
    route_task = commit_route.start(
        machine.node, machine.data_centre, store_client.inbox, peer_client.inbox
    )
    supervisor_task = supervisor.start(
        hold,
        inbox,
        route_task.inbox,
        worker_calls.inbox,
        on_replaced,
        metrics.create_latency_recorder(
            exported, "supervisor_start_seconds", "Time until a start is confirmed"
        ),
        metrics.create_latency_recorder(
            exported, "supervisor_renewal_seconds", "Time between renewals of the agent's lease"
        ),
    )
    feed = await _follow_orders(machine, deliver)
    connected = connections.start(
        machine.connection_limits,
        limits.derive_budget(machine.memory_bytes, machine.descriptors, LISTENERS),
    )
    named_tasks = {
        "supervisor": inbox,
        "commit_route": route_task.inbox,
        "connections": connected.inbox,
    }
    observed = observe.application(_identity(machine), named_tasks, exported)
    applications = [
        ("heartbeats", machine.heartbeats, heartbeats.application(deliver, _rejected)),
        ("metrics", machine.metrics, observed),
    ]
    servers = await _start_servers(applications, connected, opened or {})
    log.event("agent:started", data_centre=machine.data_centre, region=machine.region)
    return Agent(
        store_client,
        peer_client,
        route_task,
        worker_calls,
        feed,
        supervisor_task,
        servers,
        exported,
        connected,
    )


def _identity(machine: settings.Machine) -> dict[str, str]:
    return {"node": machine.node, "data_centre": machine.data_centre, "role": "agent"}


def tasks(agent: Agent) -> tuple[task.Task, ...]:
    """Return the tasks that the agent cannot go on without."""
    return (
        agent.store.running,
        agent.peer_calls.running,
        agent.commit_route.running,
        agent.calls.running,
        agent.feed.running,
        agent.supervisor.running,
        agent.supervisor.ticking,
        agent.connections.running,
        *(server.serving for server in agent.servers),
    )


async def close(agent: Agent) -> None:
    """Stop the agent; the worker's runs continue until their lease expires or is renewed."""
    log.event("agent:stopping")
    for server in agent.servers:
        await serving.close(server)
    await connections.close(agent.connections)
    await store.unfollow(agent.feed)
    await supervisor.close(agent.supervisor)
    await worker.close(agent.calls)
    await commit_route.close(agent.commit_route)
    await peer_calls.close(agent.peer_calls)
    await store.close(agent.store)
    metrics.close(agent.exported)
    log.event("agent:stopped")


async def _follow_orders(
    machine: settings.Machine, deliver: typing.Callable[[typing.Any], None]
) -> store.Feed:
    return await store.follow(
        machine.store,
        tables.orders_table(machine.node),
        clock.now,
        deliver,
        log.feed_lost,
        log.feed_regained,
        log.unreadable,
    )


async def _start_servers(
    applications: list[tuple[str, settings.Address, typing.Any]],
    connected: connections.Connections,
    opened: listeners.Listeners,
) -> list[serving.Server]:
    """Serve each application on its address."""
    return [
        await serving.start(
            name,
            listeners.take(opened, address.host, address.port),
            application,
            connected,
            ingress.encode_refusal,
        )
        for name, address, application in applications
    ]


def _rejected(instance: str, reason: str) -> None:
    log.event("heartbeat:rejected", instance=instance, reason=reason)
