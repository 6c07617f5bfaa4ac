"""Starts and stops an entry: its tasks and the mailboxes that connect them."""

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
        Mailboxes of the tasks that get ``Drain`` once the HTTP interface is closed.
    closers : list
        Functions that close the parts of the entry, in the order of calling.
    """

    addresses: str
    intake: http.Server
    draining: list[mailbox.Mailbox]
    drain_timeout_seconds: float
    closers: list[Closer]


@dataclasses.dataclass(slots=True)
class DecisionTasks:
    """The tasks of an entry that make decisions."""

    dispatch: dispatch.Dispatch
    jobs: jobs.Jobs
    planners: dict[str, planner.Planner]
    config: config.Handle
    bootstrap: bootstrap.Bootstrap
    http_inbox: mailbox.Mailbox


async def start(own_settings: settings.Entry) -> Entry:
    """Start the tasks of an entry; those that accept calls and connections start last."""
    own = identity.create(own_settings.id, "entry", own_settings.data_centre, own_settings.region)
    link_inbox = mailbox.create("links", links.INBOX_CAPACITY)
    store_handle = store.start(str(own_settings.store.url).rstrip("/"))
    decisions = _start_decision_tasks(own_settings, own, link_inbox, store_handle.inbox)
    link_server = await _start_links(own_settings, own, link_inbox, decisions)
    port = own_settings.advertised_link_port or link_server.port
    address = link.EntryAddress(
        own.id, str(own_settings.link.host), port, own.data_centre, own.region
    )
    registry_task = registry.start(address, own.incarnation, store_handle.inbox, (link_inbox,))
    dumps = _dump_inboxes(decisions) | {
        "links": link_inbox, "store": store_handle.inbox, "registry": registry_task.inbox
    }  # fmt: skip
    instruments = metrics.start(own.id)
    intake = await _start_http(own_settings, own, decisions, dumps, instruments)
    closers: list[Closer] = [
        lambda: registry.close(registry_task),
        lambda: links.close(link_server),
        *_decision_closers(decisions),
        lambda: store.close(store_handle),
        lambda: _close_metrics(instruments),
    ]
    addresses = f"http={own_settings.http.host}:{intake.port} link={address.host}:{address.port}"
    draining = [*_decision_inboxes(decisions), registry_task.inbox]
    return Entry(addresses, intake, draining, own_settings.drain_timeout_seconds, closers)


async def close(entry: Entry) -> bool:
    """Refuse new calls, finish those in flight, hand over the planner leases, then stop.

    Returns
    -------
    bool
        Whether all work in flight finished in time.
    """
    await http.close(entry.intake)
    drained = await drain.wait(entry.draining, entry.drain_timeout_seconds)
    for closer in entry.closers:
        await closer()
    return drained


def _start_decision_tasks(
    own_settings: settings.Entry,
    own: link.Hello,
    link_inbox: mailbox.Mailbox,
    store_inbox: mailbox.Mailbox,
) -> DecisionTasks:
    planners: dict[str, planner.Planner] = {}

    def notify(data_centre: str, changed: link.JobChanged) -> None:
        """Send a job change to the planner of its data centre.

        Any entry may run that planner, so all get the message; the others ignore it.
        """
        if data_centre in planners:
            mailbox.post(planners[data_centre].mailbox, changed)
        mailbox.post(link_inbox, messages.SendToEntries(changed))

    here = datacentre.DataCentre(own.data_centre, own.region)
    jobs_task = jobs.start(jobs_state.Settings(own.id, own.incarnation, here), store_inbox, notify)

    config_inboxes: list[mailbox.Mailbox] = []

    def tell_local(message: planner_state.Notice) -> None:
        """Send a planner's message to the other tasks of this entry that take it."""
        for inbox in _local_recipients(message, jobs_task.inbox, config_inboxes, planners):
            mailbox.post(inbox, message)

    for item in own_settings.data_centres:
        planner_settings = planner_state.Settings(
            own.id, own.incarnation, item.name, _locality(own, item)
        )
        planners[item.name] = planner.start(
            planner_settings, link_inbox, store_inbox, notify_local=tell_local
        )
    share = float(own_settings.cross_region_bytes_per_second)
    dispatch_task = dispatch.start(
        flight.Settings(own.id, own.incarnation, own.data_centre, own.region, share),
        link_inbox,
        store_inbox,
    )
    subscribers = (
        dispatch_task.inbox,
        jobs_task.inbox,
        *(item.mailbox for item in planners.values()),
    )
    config_parts = _start_config(own_settings, own, link_inbox, store_inbox, subscribers)
    config_inboxes.append(config_parts[0].inbox)
    return DecisionTasks(dispatch_task, jobs_task, planners, *config_parts)


def _local_recipients(
    message: planner_state.Notice,
    jobs_inbox: mailbox.Mailbox,
    config_inboxes: list[mailbox.Mailbox],
    planners: dict[str, planner.Planner],
) -> list[mailbox.Mailbox]:
    """Return the mailboxes in this entry that take a message from one of its planners.

    ``config_inboxes`` is empty until the configuration task starts, which is after the planners.
    """
    match message:
        case messages.ChangeConfig():
            return config_inboxes
        case link.HardwareDigest():
            return [jobs_inbox, *config_inboxes]
        case link.JobChanged():
            here = planners.get(message.data_centre)
            return [jobs_inbox, here.mailbox] if here else [jobs_inbox]
        case link.CapacityDigest():
            others = [
                item.mailbox for name, item in planners.items() if name != message.data_centre
            ]
            return [jobs_inbox, *others]
        case _:
            return [jobs_inbox]


def _start_config(
    own_settings: settings.Entry,
    own: link.Hello,
    link_inbox: mailbox.Mailbox,
    store_inbox: mailbox.Mailbox,
    subscribers: tuple[mailbox.Mailbox, ...],
) -> tuple[config.Handle, bootstrap.Bootstrap, mailbox.Mailbox]:
    http_inbox = mailbox.create("http")
    bootstrap_inbox = mailbox.create("bootstrap")
    config_task = config.start(
        own,
        own_settings.store.region == own.region,
        store_inbox,
        link_inbox,
        (*subscribers, http_inbox, bootstrap_inbox),
    )
    bootstrap_task = bootstrap.start(own_settings, bootstrap_inbox, config_task.inbox)
    return config_task, bootstrap_task, http_inbox


async def _start_links(
    own_settings: settings.Entry,
    own: link.Hello,
    link_inbox: mailbox.Mailbox,
    decisions: DecisionTasks,
) -> links.Links:
    table = peer_routes.Routes(
        dispatch=decisions.dispatch.inbox,
        config=decisions.config.inbox,
        jobs=decisions.jobs.inbox,
        planners={name: item.mailbox for name, item in decisions.planners.items()},
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
    decisions: DecisionTasks,
    dumps: dict[str, mailbox.Mailbox],
    instruments: metrics.Metrics,
) -> http.Server:
    ports = call.Ports(
        requests=decisions.dispatch.inbox,
        jobs=decisions.jobs.inbox,
        config=decisions.config.inbox,
        dumps=dumps,
        render_metrics=functools.partial(metrics.render, instruments),
    )
    files = own_settings.http_tls
    http_settings = http.Settings(
        str(own_settings.http.host),
        own_settings.http.port,
        own.id,
        own.incarnation,
        certificate_path=str(files.certificate_path) if files else "",
        key_path=str(files.key_path) if files else "",
    )
    return await http.start(http_settings, ports, inbox=decisions.http_inbox)


def _dump_inboxes(decisions: DecisionTasks) -> dict[str, mailbox.Mailbox]:
    planners = {f"planner {name}": item.mailbox for name, item in decisions.planners.items()}
    return {
        "dispatch": decisions.dispatch.inbox,
        "jobs": decisions.jobs.inbox,
        "config": decisions.config.inbox,
        **planners,
    }


def _decision_closers(decisions: DecisionTasks) -> list[Closer]:
    return [
        lambda: dispatch.close(decisions.dispatch),
        lambda: jobs.close(decisions.jobs),
        *(functools.partial(planner.close, item) for item in decisions.planners.values()),
        lambda: bootstrap.close(decisions.bootstrap),
        lambda: config.close(decisions.config),
    ]


def _decision_inboxes(decisions: DecisionTasks) -> list[mailbox.Mailbox]:
    planners = [item.mailbox for item in decisions.planners.values()]
    return [decisions.dispatch.inbox, decisions.jobs.inbox, decisions.config.inbox, *planners]


async def _close_metrics(instruments: metrics.Metrics) -> None:
    metrics.close(instruments)


def _locality(own: link.Hello, item: settings.DataCentre) -> str:
    if item.name == own.data_centre:
        return "data_centre"
    return "region" if item.region == own.region else "other"
