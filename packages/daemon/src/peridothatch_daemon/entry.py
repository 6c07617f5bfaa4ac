"""Wiring of an entry: its tasks and the mailboxes between them."""

from __future__ import annotations

import dataclasses
import functools
import typing

from peridothatch_core.message import link
from peridothatch_core.model import datacentre
from peridothatch_core.route import flight
from peridothatch_daemon import drain, identity, messages, settings, tls
from peridothatch_daemon.decide import (
    bootstrap,
    config,
    dispatch,
    jobs,
    jobs_state,
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
    draining : list of Mailbox
        Tasks that take ``Drain`` once no new calls come in.
    closers : list
        What to close, in this order.
    """

    addresses: str
    intake: http.Intake
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
    own = identity.create(own_settings.id, "entry", own_settings.data_centre, own_settings.region)
    link_inbox = mailbox.create("links", links.INBOX_MESSAGES)
    rows = store.start(str(own_settings.store.url).rstrip("/"))
    deciding = _start_deciding(own_settings, own, link_inbox, rows.inbox)
    linking = await _start_links(own_settings, own, link_inbox, deciding)
    port = own_settings.advertised_link_port or linking.port
    address = link.EntryAddress(
        own.id, str(own_settings.link.host), port, own.data_centre, own.region
    )
    registering = registry.start(address, own.incarnation, rows.inbox, (link_inbox,))
    dumps = _dumps(deciding) | {
        "links": link_inbox, "store": rows.inbox, "registry": registering.inbox
    }  # fmt: skip
    instruments = metrics.start(own.id)
    intake = await _start_http(own_settings, own, deciding, dumps, instruments)
    closers: list[Closer] = [
        lambda: registry.close(registering),
        lambda: links.close(linking),
        *_closers(deciding),
        lambda: store.close(rows),
        lambda: _close_metrics(instruments),
    ]
    addresses = f"http={own_settings.http.host}:{intake.port} link={address.host}:{address.port}"
    draining = [*_draining(deciding), registering.inbox]
    return Entry(addresses, intake, draining, own_settings.drain_timeout_seconds, closers)


async def close(entry: Entry) -> bool:
    """Refuse new calls, finish those in flight, hand the planner leases over, then stop.

    Returns
    -------
    bool
        Whether all that was in flight has finished.
    """
    await http.close(entry.intake)
    drained = await drain.wait(entry.draining, entry.drain_timeout_seconds)
    for closer in entry.closers:
        await closer()
    return drained


def _start_deciding(
    own_settings: settings.Entry,
    own: link.Hello,
    link_inbox: mailbox.Mailbox,
    rows: mailbox.Mailbox,
) -> Deciding:
    planners: dict[str, planner.Planner] = {}

    def notify(data_centre: str, changed: link.JobChanged) -> None:
        """Tell the planner of a data centre, wherever it is; the others ignore the message."""
        if data_centre in planners:
            mailbox.post(planners[data_centre].mailbox, changed)
        mailbox.post(link_inbox, messages.ToEntries(changed))

    here = datacentre.DataCentre(own.data_centre, own.region)
    serving = jobs.start(jobs_state.Settings(own.id, own.incarnation, here), rows, notify)

    started: list[mailbox.Mailbox] = []

    def tell_local(message: planner_state.Notice) -> None:
        """Pass a planner's message to the other tasks of this entry."""
        for inbox in _local_readers(message, serving.inbox, started, planners):
            mailbox.post(inbox, message)

    for item in own_settings.data_centres:
        where = planner_state.Settings(own.id, own.incarnation, item.name, _locality(own, item))
        planners[item.name] = planner.start(where, link_inbox, rows, notify_local=tell_local)
    share = float(own_settings.cross_region_bytes_per_second)
    routing = dispatch.start(
        flight.Settings(own.id, own.incarnation, own.data_centre, own.region, share),
        link_inbox,
        rows,
    )
    subscribers = (routing.inbox, serving.inbox, *(item.mailbox for item in planners.values()))
    configuring = _start_config(own_settings, own, link_inbox, rows, subscribers)
    started.append(configuring[0].inbox)
    return Deciding(routing, serving, planners, *configuring)


def _local_readers(
    message: planner_state.Notice,
    serving: mailbox.Mailbox,
    configuring: list[mailbox.Mailbox],
    planners: dict[str, planner.Planner],
) -> list[mailbox.Mailbox]:
    """Return the tasks that take a message of a planner of the same entry.

    ``configuring`` is empty until the configuration task has started, after the planners.
    """
    match message:
        case messages.ChangeConfig():
            return configuring
        case link.HardwareDigest():
            return [serving, *configuring]
        case link.JobChanged():
            here = planners.get(message.data_centre)
            return [serving, here.mailbox] if here else [serving]
        case link.CapacityDigest():
            others = [one.mailbox for name, one in planners.items() if name != message.data_centre]
            return [serving, *others]
        case _:
            return [serving]


def _start_config(
    own_settings: settings.Entry,
    own: link.Hello,
    link_inbox: mailbox.Mailbox,
    rows: mailbox.Mailbox,
    subscribers: tuple[mailbox.Mailbox, ...],
) -> tuple[config.Handle, bootstrap.Bootstrap, mailbox.Mailbox]:
    http_inbox = mailbox.create("http")
    bootstrap_inbox = mailbox.create("bootstrap")
    configuring = config.start(
        own,
        own_settings.store.region == own.region,
        rows,
        link_inbox,
        (*subscribers, http_inbox, bootstrap_inbox),
    )
    starting = bootstrap.start(own_settings, bootstrap_inbox, configuring.inbox)
    return configuring, starting, http_inbox


async def _start_links(
    own_settings: settings.Entry,
    own: link.Hello,
    link_inbox: mailbox.Mailbox,
    deciding: Deciding,
) -> links.Links:
    table = peer_routes.Routes(
        dispatch=deciding.dispatch.inbox,
        config=deciding.config.inbox,
        jobs=deciding.jobs.inbox,
        planners={name: item.mailbox for name, item in deciding.planners.items()},
    )
    return await links.start(
        own,
        str(own_settings.link.host),
        own_settings.link.port,
        table,
        link_inbox,
        tls.server(own_settings.link_tls),
        tls.client(own_settings.link_tls),
    )


async def _start_http(
    own_settings: settings.Entry,
    own: link.Hello,
    deciding: Deciding,
    dumps: dict[str, mailbox.Mailbox],
    instruments: metrics.Metrics,
) -> http.Intake:
    ports = call.Ports(
        requests=deciding.dispatch.inbox,
        jobs=deciding.jobs.inbox,
        config=deciding.config.inbox,
        dumps=dumps,
        metrics=functools.partial(metrics.render, instruments),
    )
    files = own_settings.http_tls
    where = http.Settings(
        str(own_settings.http.host),
        own_settings.http.port,
        own.id,
        own.incarnation,
        certificate_path=str(files.certificate_path) if files else "",
        key_path=str(files.key_path) if files else "",
    )
    return await http.start(where, ports, inbox=deciding.http_inbox)


def _dumps(deciding: Deciding) -> dict[str, mailbox.Mailbox]:
    planners = {f"planner {name}": item.mailbox for name, item in deciding.planners.items()}
    return {
        "dispatch": deciding.dispatch.inbox,
        "jobs": deciding.jobs.inbox,
        "config": deciding.config.inbox,
        **planners,
    }


def _closers(deciding: Deciding) -> list[Closer]:
    return [
        lambda: dispatch.close(deciding.dispatch),
        lambda: jobs.close(deciding.jobs),
        *(functools.partial(planner.close, item) for item in deciding.planners.values()),
        lambda: bootstrap.close(deciding.bootstrap),
        lambda: config.close(deciding.config),
    ]


def _draining(deciding: Deciding) -> list[mailbox.Mailbox]:
    planners = [item.mailbox for item in deciding.planners.values()]
    return [deciding.dispatch.inbox, deciding.jobs.inbox, deciding.config.inbox, *planners]


async def _close_metrics(instruments: metrics.Metrics) -> None:
    metrics.close(instruments)


def _locality(own: link.Hello, item: settings.DataCentre) -> str:
    if item.name == own.data_centre:
        return "data_centre"
    return "region" if item.region == own.region else "other"
