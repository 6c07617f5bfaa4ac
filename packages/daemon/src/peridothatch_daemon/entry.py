"""Wiring of an entry: its tasks and the mailboxes between them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

from peridothatch_core.message import link
from peridothatch_core.route import flight
from peridothatch_daemon import identity, messages, settings, tls
from peridothatch_daemon.decide import (
    bootstrap,
    config,
    dispatch,
    jobs,
    planner,
    planner_state,
    registry,
)
from peridothatch_daemon.intake import call, http, links, peer_routes
from peridothatch_daemon.observe import metrics
from peridothatch_daemon.outlet import store
from peridothatch_wire import mailbox

Closer = typing.Callable[[], typing.Awaitable[typing.Any]]


@dataclasses.dataclass(slots=True)
class Entry:
    """A running entry.

    Attributes
    ----------
    draining : list of mailbox.Mailbox
        Tasks that take ``Drain`` once no new calls come in.
    closers : list
        What to close, in this order.
    """

    addresses: str
    draining: list[mailbox.Mailbox]
    drain_timeout_seconds: float
    closers: list[Closer]


@dataclasses.dataclass(slots=True)
class Deciding:
    """The deciding tasks of an entry."""

    dispatch: dispatch.Dispatch
    jobs: jobs.Jobs
    planners: dict[str, planner.Planner]
    config: config.Handle
    bootstrap: bootstrap.Bootstrap
    http_inbox: mailbox.Mailbox


async def start(own_settings: settings.Entry) -> Entry:
    """Start the tasks of an entry; those that take calls and connections come last."""
    own = identity.create(
        own_settings.id, "entry", own_settings.data_centre, own_settings.region
    )
    link_inbox = mailbox.create("links", links.INBOX_MESSAGES)
    rows = store.start(str(own_settings.store.url).rstrip("/"))
    deciding = _start_deciding(own_settings, own, link_inbox, rows.inbox)
    linking = await _start_links(own_settings, own, link_inbox, deciding)
    address = link.EntryAddress(
        own.id, str(own_settings.link.host), linking.port, own.data_centre, own.region
    )
    registering = registry.start(address, rows.inbox, (link_inbox,))
    instruments = metrics.start(own.id)
    dumps = _dumps(deciding, rows.inbox, link_inbox, registering.inbox)
    intake = await _start_http(own_settings, own, deciding, dumps, instruments)
    closers: list[Closer] = [
        lambda: registry.close(registering),
        lambda: links.close(linking),
        lambda: dispatch.close(deciding.dispatch),
        lambda: jobs.close(deciding.jobs),
        *(_closer(item) for item in deciding.planners.values()),
        lambda: bootstrap.close(deciding.bootstrap),
        lambda: config.close(deciding.config),
        lambda: store.close(rows),
    ]
    draining = [
        deciding.dispatch.inbox,
        deciding.config.inbox,
        *(item.mailbox for item in deciding.planners.values()),
    ]
    addresses = f"http={own_settings.http.host}:{intake.port} link={address.host}:{address.port}"
    return Entry(
        addresses,
        draining,
        own_settings.drain_timeout_seconds,
        [lambda: http.close(intake), lambda: _drain(draining, own_settings), *closers],
    )


async def close(entry: Entry) -> None:
    """Refuse new calls, finish those in flight, hand the planner leases over, then stop."""
    for closer in entry.closers:
        await closer()


def _start_deciding(
    own_settings: settings.Entry,
    own: link.Hello,
    link_inbox: mailbox.Mailbox,
    rows: mailbox.Mailbox,
) -> Deciding:
    routing = dispatch.start(
        flight.Settings(own.id, own.incarnation, own.data_centre, own.region),
        link_inbox,
        rows,
    )
    http_inbox = mailbox.create("http")
    bootstrap_inbox = mailbox.create("bootstrap")
    return Deciding(routing, http_inbox)
