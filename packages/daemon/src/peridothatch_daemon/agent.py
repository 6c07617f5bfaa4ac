"""Starts and stops an agent: its tasks and the mailboxes that connect them."""

from __future__ import annotations

import dataclasses
import logging
import typing

from peridothatch_core.member import entries
from peridothatch_daemon import drain, identity, settings, tls
from peridothatch_daemon.decide import members, slots
from peridothatch_daemon.intake import debug, dialer
from peridothatch_daemon.observe import metrics
from peridothatch_daemon.outlet import backend, worker
from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)

Closer = typing.Callable[[], typing.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Agent:
    """A running agent.

    Attributes
    ----------
    deciding : mailbox.Mailbox
        Mailbox of the members task or the slots task, which makes the decisions of the agent.
    closers : list
        Functions that close the parts of the agent, in the order of calling.
    """

    addresses: str
    deciding: mailbox.Mailbox
    drain_timeout_seconds: float
    closers: list[Closer]


async def start(own_settings: settings.Agent) -> Agent:
    """Start the tasks of an agent."""
    own = identity.create(own_settings.id, "agent", own_settings.data_centre, own_settings.region)
    links = mailbox.create("dialer", dialer.INBOX_CAPACITY)
    limit = entries.MAX_CONNECTIONS
    if own_settings.worker is not None:
        deciding, closers = _start_worker_tasks(own_settings, own_settings.worker, links)
    else:
        assert own_settings.backend_server is not None
        server_url = str(own_settings.backend_server.url).rstrip("/")
        client = backend.start(server_url, own)
        slots_task = slots.start(own, links, client.inbox)
        deciding = slots_task.inbox
        closers = [lambda: slots.close(slots_task), lambda: backend.close(client)]
        limit = entries.MAX_CONNECTIONS_OF_BACKEND_AGENT
    seeds = tuple((str(item.host), item.port) for item in own_settings.entries)
    context = tls.client(own_settings.link_tls)
    dialer_task = dialer.start(own, seeds, deciding, links, context, limit)
    instruments = metrics.start(own_settings.id)
    server = debug.start(
        str(own_settings.debug.host),
        own_settings.debug.port,
        dataclasses.asdict(own),
        {deciding.name: deciding, "dialer": links},
        instruments,
    )
    closers = [
        lambda: debug.close(server),
        lambda: dialer.close(dialer_task),
        *closers,
        lambda: _close_metrics(instruments),
    ]
    addresses = f"debug={own_settings.debug.host}:{server.port}"
    return Agent(addresses, deciding, own_settings.drain_timeout_seconds, closers)


async def close(agent: Agent) -> bool:
    """Refuse new work, wait up to the drain timeout for work in flight, then stop.

    Returns
    -------
    bool
        Whether all work in flight finished in time.
    """
    drained = await drain.wait([agent.deciding], agent.drain_timeout_seconds)
    for closer in agent.closers:
        await closer()
    return drained


def _start_worker_tasks(
    own_settings: settings.Agent, worker_settings: settings.Worker, links: mailbox.Mailbox
) -> tuple[mailbox.Mailbox, list[Closer]]:
    inbox = mailbox.create("members")
    client_settings = worker.Settings(
        str(worker_settings.url).rstrip("/"),
        worker_settings.id,
        own_settings.data_centre,
        worker_settings.rack,
    )
    client = worker.start(client_settings, inbox)
    members_task = members.start(worker_settings.id, links, client.inbox, inbox)
    return inbox, [lambda: members.close(members_task), lambda: worker.close(client)]


async def _close_metrics(instruments: metrics.Metrics) -> None:
    metrics.close(instruments)
