"""Creates the tasks of an entry process and connects them."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import typing

from peridothatch_core.connect import limits
from peridothatch_core.hold import state as hold_state
from peridothatch_core.message import rows
from peridothatch_core.model import entries, verdict
from peridothatch_core.reception import admission
from peridothatch_core.schedule import state
from peridothatch_daemon.hosted import (
    agent_rows,
    clock,
    connections,
    entry_feeds,
    grouping,
    log,
    messages,
    observe,
    passing,
    reception,
    scheduler,
    serving,
)
from peridothatch_daemon.observe import metrics
from peridothatch_platform import (
    ingress,
    listeners,
    peer_calls,
    relay_calls,
    settings,
    store,
    ticket_service,
)
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from starlette import applications

    from peridothatch_core.message import peers
    from peridothatch_core.reception import attempts, calls

DRAIN_FRACTION = 0.6
"""Fraction of the stop time during which a stopping entry still answers calls. The balancer
redirects new connections only after two failed readiness probes."""

RESIGN_TIMEOUT_SECONDS = 1.0
"""Maximum time to wait for the release of the leadership lease when stopping."""

INITIAL_ROWS_TIMEOUT_SECONDS = 0.5
"""Maximum time to wait for the first rows before calls are served. Reading them takes two round
trips."""

LOOK_UP_TIMEOUT_SECONDS = 0.7
"""Timeout for reading a row for another entry, which waits slightly longer."""

LISTENERS = 3
"""Number of listeners: callers, readiness and metrics."""

READINESS_TIMEOUT_SECONDS = 0.5
"""Timeout for answering a readiness probe. The balancer sends one every second."""


@dataclasses.dataclass(slots=True)
class Entry:
    """The clients, tasks and servers of a running entry.

    Attributes
    ----------
    draining : list of bool
        One element: whether the entry is stopping and fails readiness probes. It is a list so
        that the readiness handler sees the change.
    """

    machine: settings.Machine
    store: store.Client
    tickets: ticket_service.Client | None
    feeds: list[store.Feed]
    reception: reception.Reception
    peer_calls: peer_calls.Client
    passing: passing.Forwarder
    grouping: grouping.Grouping
    scheduler: scheduler.Scheduler
    agent_rows: agent_rows.AgentRows
    servers: list[serving.Server]
    exported: metrics.Metrics
    draining: list[bool]
    connections: connections.Connections


async def start(machine: settings.Machine, opened: listeners.Listeners | None = None) -> Entry:
    """Start an entry.

    Parameters
    ----------
    opened : dict
        Sockets that are already listening; those that are used are removed from it.

    Raises
    ------
    OSError
        An address cannot be bound.
    """
    store_client = await store.start(machine.store, clock.now, log.unreadable)
    exported = metrics.start(machine.node)
    reception_task = reception.start(
        admission.max_age_seconds(machine.revoke_seconds, machine.config_apply_seconds),
        store_client.inbox,
        metrics.create_latency_recorder(
            exported, "reception_seconds", "Time from a call to its acceptance"
        ),
    )
    tickets = (
        await ticket_service.start(machine.ticket_service) if machine.ticket_service else None
    )
    grouping_task = grouping.start(store_client.inbox, machine.node)
    agent_rows_inbox = mailbox.create("agent rows")
    scheduler_task = _start_scheduler(
        machine, store_client.inbox, tickets, exported, grouping_task.inbox, agent_rows_inbox
    )
    agent_rows_task = entry_feeds.start_agent_rows(machine, agent_rows_inbox, scheduler_task.inbox)
    peer_client = await peer_calls.start(clock.now)
    callers = machine.callers.text if machine.callers else ""
    row = entries.Entry(machine.node, callers, machine.metrics.text, machine.data_centre)
    forwarder = passing.start(row, store_client.inbox, peer_client.inbox, reception_task.inbox)
    feeds = await entry_feeds.follow_tables(
        machine,
        reception_task.inbox,
        scheduler_task.inbox,
        forwarder.inbox,
        grouping_task.inbox,
    )
    draining = [False]
    entry = Entry(
        machine,
        store_client,
        tickets,
        feeds,
        reception_task,
        peer_client,
        forwarder,
        grouping_task,
        scheduler_task,
        agent_rows_task,
        [],
        exported,
        draining,
        connections.start(
            machine.connection_limits,
            limits.derive_budget(machine.memory_bytes, machine.descriptors, LISTENERS),
        ),
    )
    await _await_initial_rows(reception_task)
    await _start_servers(entry, opened or {})
    log.event("entry:started", data_centre=machine.data_centre, region=machine.region)
    return entry


def tasks(entry: Entry) -> tuple[task.Task, ...]:
    """Return the tasks that the entry cannot go on without."""
    return (
        entry.store.running,
        *((entry.tickets.running,) if entry.tickets else ()),
        *(feed.running for feed in entry.feeds),
        entry.reception.running,
        entry.peer_calls.running,
        entry.passing.running,
        entry.grouping.running,
        entry.scheduler.running,
        entry.scheduler.ticking,
        entry.agent_rows.running,
        entry.connections.running,
        *(server.serving for server in entry.servers),
    )


async def close(entry: Entry) -> None:
    """Fail readiness probes, release the leadership, and finish the calls in progress."""
    entry.draining[0] = True
    log.event("entry:stopping")
    reply = mailbox.Reply()
    mailbox.post(entry.scheduler.inbox, messages.Resign(reply))
    try:
        await mailbox.wait(reply, RESIGN_TIMEOUT_SECONDS)
    except TimeoutError:
        log.event("entry:lease_not_released")
    await asyncio.sleep(DRAIN_FRACTION * entry.machine.stop_seconds)
    for server in entry.servers:
        await serving.close(server)
    await connections.close(entry.connections)
    await scheduler.close(entry.scheduler)
    await agent_rows.close(entry.agent_rows)
    await reception.close(entry.reception)
    await passing.close(entry.passing)
    await grouping.close(entry.grouping)
    await peer_calls.close(entry.peer_calls)
    for feed in entry.feeds:
        await store.unfollow(feed)
    if entry.tickets is not None:
        await ticket_service.close(entry.tickets)
    await store.close(entry.store)
    metrics.close(entry.exported)
    log.event("entry:stopped")


def _start_scheduler(
    machine: settings.Machine,
    store_inbox: mailbox.Mailbox,
    tickets: ticket_service.Client | None,
    exported: metrics.Metrics,
    grouping_inbox: mailbox.Mailbox,
    agent_rows_inbox: mailbox.Mailbox,
) -> scheduler.Scheduler:
    """Start the scheduler with the limits of the installation."""
    scheduler_limits = state.Limits(
        machine.retention_ms,
        hold_state.lease_ms(machine.longest_hold_ms),
        machine.remote_factor,
        machine.partition_writes_per_second,
        machine.evacuate_ms,
        machine.reclaim_ms,
    )
    return scheduler.start(
        machine.node,
        secrets.token_hex(4),
        scheduler_limits,
        store_inbox,
        tickets.inbox if tickets else None,
        metrics.create_latency_recorder(
            exported, "scheduler_write_seconds", "Time of a write of decisions"
        ),
        metrics.create_latency_recorder(
            exported, "scheduler_wait_seconds", "Time from submission to an order"
        ),
        lambda: mailbox.post(grouping_inbox, messages.LeaderWriteRefused()),
        metrics.create_error_recorder(
            exported,
            "scheduler_run_time_error",
            "Absolute logarithm of a run time divided by the expected one",
        ),
        lambda after: mailbox.post(agent_rows_inbox, messages.FollowAgents(after)),
    )


async def _await_initial_rows(reception_task: reception.Reception) -> None:
    """Wait for the first rows; without them, calls waiting in the backlog would be refused."""
    reply = mailbox.Reply()
    mailbox.post(reception_task.inbox, messages.AwaitInitialRows(reply))
    try:
        await mailbox.wait(reply, INITIAL_ROWS_TIMEOUT_SECONDS)
    except TimeoutError:
        log.event("entry:no_rows", waited_seconds=INITIAL_ROWS_TIMEOUT_SECONDS)


async def _start_servers(entry: Entry, opened: listeners.Listeners) -> None:
    machine = entry.machine

    async def handle_call(call: calls.Call) -> calls.Answer | None:
        reply = mailbox.Reply()
        if not mailbox.post(entry.reception.inbox, messages.CallReceived(call, reply)):
            return verdict.not_run(verdict.Code.OVERLOADED, "too many calls are queued")
        try:
            return await mailbox.wait(reply, call.budget_seconds)
        except TimeoutError:
            mailbox.post(entry.reception.inbox, messages.OutcomeUnknown(call))
            return None

    async def forward(
        request: peers.Request,
        call: calls.Call,
        answer: calls.Answer | None,
        remaining_seconds: float,
    ) -> attempts.Answer | None:
        final = await passing.forward(entry.passing, request, call, answer, remaining_seconds)
        if isinstance(final, verdict.Refusal) and final.verdict is verdict.Verdict.MAY_HAVE_RUN:
            mailbox.post(entry.reception.inbox, messages.OutcomeUnknown(call))
        return final

    async def report_version() -> int:
        return await _report_version(entry.reception.inbox)

    async def has_row(key: rows.Key) -> bool | None:
        return await _has_row(entry.store.inbox, key)

    async def is_ready() -> bool:
        reply = mailbox.Reply()
        if entry.draining[0] or not mailbox.post(
            entry.reception.inbox, messages.CheckReadiness(reply)
        ):
            return False
        try:
            return await mailbox.wait(reply, READINESS_TIMEOUT_SECONDS)
        except TimeoutError:
            return False

    served = [
        ("callers", machine.callers, ingress.callers(handle_call, forward, report_version)),
        ("readiness", machine.readiness, ingress.readiness(is_ready)),
        (
            "metrics",
            machine.metrics,
            _internal_application(entry, has_row),
        ),
    ]
    for name, address, application in served:
        if address is not None:
            listener = listeners.take(opened, address.host, address.port)
            server = await serving.start(
                name, listener, application, entry.connections, ingress.encode_refusal
            )
            entry.servers.append(server)


def _internal_application(entry: Entry, has_row: ingress.HasRow) -> applications.Starlette:
    """Return the application for operators and for other processes of the system."""
    machine = entry.machine
    tasks = {
        "reception": entry.reception.inbox,
        "scheduler": entry.scheduler.inbox,
        "peers": entry.passing.inbox,
        "grouping": entry.grouping.inbox,
        "connections": entry.connections.inbox,
    }
    identity = {"node": machine.node, "data_centre": machine.data_centre, "role": "entry"}
    routes = [
        ingress.look_up_route(has_row),
        relay_calls.route(entry.grouping.inbox, clock.now),
    ]
    return observe.application(identity, tasks, entry.exported, routes)


async def _report_version(reception_inbox: mailbox.Mailbox) -> int:
    """Return the version of the desired state that this entry knows; 0 if there is none."""
    reply = mailbox.Reply()
    mailbox.post(reception_inbox, messages.ReportVersion(reply))
    try:
        return await mailbox.wait(reply, READINESS_TIMEOUT_SECONDS)
    except TimeoutError:
        return 0


async def _has_row(store_inbox: mailbox.Mailbox, key: rows.Key) -> bool | None:
    reply = mailbox.Reply()

    def answer(fetched: rows.Fetched) -> None:
        mailbox.answer(reply, fetched)

    message = rows.Fetch(key, key.table, key.key, LOOK_UP_TIMEOUT_SECONDS, answer, exact=True)
    if not mailbox.post(store_inbox, message):
        return None
    try:
        fetched = await mailbox.wait(reply, LOOK_UP_TIMEOUT_SECONDS)
    except TimeoutError:
        return None
    if fetched.rows is None:
        return None
    return any(row.value is not None for row in fetched.rows)
