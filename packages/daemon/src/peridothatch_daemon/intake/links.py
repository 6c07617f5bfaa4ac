"""The task that owns the link listener of an entry and the connections to its peers."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import time
import typing

from peridothatch_core.message import link
from peridothatch_daemon import messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.intake import peer_routes
from peridothatch_wire import connection, mailbox, task

if typing.TYPE_CHECKING:
    import ssl

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 2.0
INBOX_CAPACITY = 16_384


class Links:
    """State of the links task: connections by peer id, and the tasks that dial other entries."""

    __slots__ = (
        "_connections", "_dials", "_entries", "_inbox", "_main", "_own", "_routes", "_server",
        "_ssl_client", "_timer",
    )  # fmt: skip

    def __init__(
        self,
        own: link.Hello,
        routes: peer_routes.Routes,
        inbox: mailbox.Mailbox,
        ssl_client: ssl.SSLContext | None,
    ) -> None:
        self._own = own
        self._routes = routes
        self._ssl_client = ssl_client
        self._inbox = inbox
        self._connections: dict[str, connection.Connection] = {}
        self._entries: tuple[link.EntryAddress, ...] = ()
        self._dials: dict[str, task.Task] = {}
        self._server: asyncio.Server | None = None
        self._main: task.Task | None = None
        self._timer: task.Task | None = None

    @property
    def inbox(self) -> mailbox.Mailbox:
        """Mailbox of the task.

        Takes ``SendToPeer``, ``SendToEntries``, ``EntriesChanged``, ``DumpState`` and connection
        events.
        """
        return self._inbox

    @property
    def port(self) -> int:
        """Port on which the entry listens for peers."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]


async def start(
    own: link.Hello,
    host: str,
    port: int,
    routes: peer_routes.Routes,
    inbox: mailbox.Mailbox,
    ssl_server: ssl.SSLContext | None = None,
    ssl_client: ssl.SSLContext | None = None,
) -> Links:
    """Listen for peers and start the task.

    Parameters
    ----------
    inbox : mailbox.Mailbox
        Mailbox of the new task, created beforehand because the tasks behind ``routes`` need it
        too.
    """
    links = Links(own, routes, inbox, ssl_client)
    links._server = await connection.listen(host, port, lambda: own, links._inbox, ssl_server)
    links._main = task.start("links", loop.run(links._inbox, lambda item: _handle(links, item)))
    timer = task.post_periodically(HEARTBEAT_INTERVAL_SECONDS, links._inbox, messages.Tick())
    links._timer = task.start("links timer", timer)
    return links


async def close(links: Links) -> None:
    """Stop listening, and close all connections after a short time for queued messages."""
    assert links._server is not None
    links._server.close()
    for item in links._connections.values():
        connection.close(item)
    # Lets the writers send queued messages; those still queued afterwards are lost.
    await asyncio.sleep(0.05)
    for dial in links._dials.values():
        await task.close(dial)
    for item in (links._timer, links._main):
        if item is not None:
            await task.close(item)


def _handle(links: Links, message: typing.Any) -> None:
    match message:
        case connection.Received():
            _handle_received(links, message.connection, message.message)
        case messages.SendToPeer():
            _send(links, message.peer_id, message.message)
        case messages.SendToEntries():
            _send_to_entries(links, message.message)
        case connection.Opened():
            _handle_opened(links, message.connection)
        case connection.Closed():
            _handle_closed(links, message)
        case messages.Tick():
            _send_heartbeats(links)
        case messages.EntriesChanged():
            links._entries = message.entries
            _dial_entries(links)
        case messages.DumpState():
            mailbox.answer(message.reply, _dump_state(links))


def _handle_received(links: Links, source: connection.Connection, message: link.Message) -> None:
    if links._connections.get(source.peer.id) is not source:
        # Messages in flight on a replaced connection are processed, as they may be answers.
        logger.info("received a message on a replaced connection of %s", source.peer.id)
    if isinstance(message, link.Heartbeat) and source.peer.role == "entry":
        return
    incoming = messages.ReceivedFromPeer(source.peer, message)
    for target in peer_routes.targets_for_message(links._routes, source.peer, message):
        mailbox.post(target, incoming)


def _send(links: Links, peer_id: str, message: link.Message) -> None:
    target = links._connections.get(peer_id)
    if target is not None:
        connection.send(target, message)


def _send_to_entries(links: Links, message: link.Message) -> None:
    for item in links._connections.values():
        if item.peer.role == "entry":
            connection.send(item, message)


def _handle_opened(links: Links, opened: connection.Connection) -> None:
    peer = opened.peer
    previous = links._connections.get(peer.id)
    links._connections[peer.id] = opened
    if previous is not None:
        connection.close(previous)
        _notify_tasks(links, previous.peer, messages.PeerDisconnected(previous.peer, "replaced"))
    if peer.role == "agent":
        connection.send(opened, link.Welcome(entries=links._entries))
    _notify_tasks(links, peer, messages.PeerConnected(peer))


def _handle_closed(links: Links, event: connection.Closed) -> None:
    peer = event.connection.peer
    if links._connections.get(peer.id) is not event.connection:
        return
    del links._connections[peer.id]
    logger.info("connection to %s ended: %s", peer.id, event.reason)
    _notify_tasks(links, peer, messages.PeerDisconnected(peer, event.reason))


def _notify_tasks(links: Links, peer: link.Hello, event: typing.Any) -> None:
    for target in peer_routes.targets_for_peer(links._routes, peer):
        mailbox.post(target, event)


def _send_heartbeats(links: Links) -> None:
    """Send heartbeats to entries and dial those that are not connected.

    The heartbeats prevent idle timeouts; agents send heartbeats of their own.
    """
    heartbeat = link.Heartbeat(time.monotonic())
    for item in links._connections.values():
        if item.peer.role == "entry":
            connection.send(item, heartbeat)
    _dial_entries(links)


def _dial_entries(links: Links) -> None:
    """Dial the known entries with a higher id; of two entries, the lower id dials."""
    for entry in links._entries:
        if entry.id <= links._own.id or entry.id in links._connections:
            continue
        running = links._dials.get(entry.id)
        if running is not None and running.running:
            continue
        body = _dial(links, entry)
        links._dials[entry.id] = task.start(f"dial {entry.id}", body)


async def _dial(links: Links, entry: link.EntryAddress) -> None:
    try:
        await connection.dial(entry.host, entry.port, links._own, links._inbox, links._ssl_client)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
        logger.info("cannot reach entry %s: %s", entry.id, error)


def _dump_state(links: Links) -> dict[str, typing.Any]:
    return {
        "entries": [dataclasses.asdict(entry) for entry in links._entries],
        "connections": [
            {
                "peer": item.peer.id,
                "role": item.peer.role,
                "data_centre": item.peer.data_centre,
                "incarnation": item.peer.incarnation,
                "bytes_in": item.bytes_in,
                "bytes_out": item.bytes_out,
            }
            for item in links._connections.values()
        ],
        "inbox": links._inbox.depth,
        "dropped": links._inbox.dropped,
    }
