"""Wiring of an agent: its tasks and the mailboxes between them."""

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
        Mailbox of the task that owns the work of this agent.
    closers : list
        What to close, in this order.
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
        deciding, closers = _start_worker_side(own_settings, own_settings.worker, links)
    else:
        assert own_settings.backend_server is not None
        server_url = str(own_settings.backend_server.url).rstrip("/")
        outlet = backend.start(server_url, own)
        holder = slots.start(own, links, outlet.inbox)
        deciding = holder.inbox
        closers = [lambda: slots.close(holder), lambda: backend.close(outlet)]
        limit = entries.MAX_CONNECTIONS_OF_BACKEND_AGENT
    seeds = tuple((str(item.host), item.port) for item in own_settings.entries)
    context = tls.client(own_settings.link_tls)
    dialing = dialer.start(own, seeds, deciding, links, context, limit)
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
        lambda: dialer.close(dialing),
        *closers,
        lambda: _close_metrics(instruments),
    ]
    addresses = f"debug={own_settings.debug.host}:{server.port}"
    return Agent(addresses, deciding, own_settings.drain_timeout_seconds, closers)


async def close(agent: Agent) -> bool:
    """Refuse new work, finish what is in flight within the drain timeout, then stop.

    Returns
    -------
    bool
        Whether all that was in flight has finished.
    """
    drained = await drain.wait([agent.deciding], agent.drain_timeout_seconds)
    for closer in agent.closers:
        await closer()
    return drained


def _start_worker_side(
    own_settings: settings.Agent, beside: settings.Worker, links: mailbox.Mailbox
) -> tuple[mailbox.Mailbox, list[Closer]]:
    inbox = mailbox.create("members")
    where = worker.Settings(
        str(beside.url).rstrip("/"), beside.id, own_settings.data_centre, beside.rack
    )
    outlet = worker.start(where, inbox)
    holder = members.start(beside.id, links, outlet.mailbox, inbox)
    return inbox, [lambda: members.close(holder), lambda: worker.close(outlet)]


async def _close_metrics(instruments: metrics.Metrics) -> None:
    metrics.close(instruments)
