"""The task that maintains an agent's connections to entries."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import typing

from peridothatch_core.member import entries
from peridothatch_core.message import link
from peridothatch_daemon import messages
from peridothatch_daemon.decide import loop
from peridothatch_wire import connection, mailbox, task

if typing.TYPE_CHECKING:
    import ssl

logger = logging.getLogger(__name__)

TICK_INTERVAL_SECONDS = 0.25
INBOX_CAPACITY = 16_384


class Dialer:
    """State of the dialer task: connections by entry id, and the known entries."""

    __slots__ = (
        "_connections", "_dials", "_inbox", "_main", "_own",
        "_ssl", "_state", "_target", "_timer",
    )  # fmt: skip

    def __init__(
        self,
        own: link.Hello,
        seeds: tuple[tuple[str, int], ...],
        target: mailbox.Mailbox,
        inbox: mailbox.Mailbox,
        context: ssl.SSLContext | None,
    ) -> None:
        self._own = own
        self._target = target
        self._ssl = context
        self._inbox = inbox
        self._state = entries.DialState(own.data_centre, own.region, seeds)
        self._connections: dict[str, connection.Connection] = {}
        self._dials: dict[tuple[str, int], task.Task] = {}
        self._main: task.Task | None = None
        self._timer: task.Task | None = None

    @property
    def inbox(self) -> mailbox.Mailbox:
        """Mailbox that takes ``SendToPeer``, ``DumpState`` and connection events."""
        return self._inbox


class _DialEnded(typing.NamedTuple):
    """A dial has failed, or the connection that it opened has ended."""

    address: tuple[str, int]


def start(
    own: link.Hello,
    seeds: tuple[tuple[str, int], ...],
    target: mailbox.Mailbox,
    inbox: mailbox.Mailbox,
    context: ssl.SSLContext | None = None,
    limit: int = entries.MAX_CONNECTIONS,
) -> Dialer:
    """Maintain up to ``limit`` connections and forward their messages and events to ``target``.

    Parameters
    ----------
    seeds : tuple of (host, port)
        Addresses of entries from the settings.
    inbox : mailbox.Mailbox
        Mailbox of the new task, created beforehand because the task behind ``target`` needs it
        too.
    """
    dialer = Dialer(own, seeds, target, inbox, context)
    dialer._state.limit = limit
    body = loop.run(inbox, lambda message: _handle(dialer, message))
    dialer._main = task.start("dialer", body)
    timer = task.post_periodically(TICK_INTERVAL_SECONDS, inbox, messages.Tick())
    dialer._timer = task.start("dialer timer", timer)
    return dialer


async def close(dialer: Dialer) -> None:
    """Close all connections after a short time in which queued messages are sent."""
    for item in dialer._connections.values():
        connection.close(item)
    await asyncio.sleep(0.05)
    for item in (dialer._timer, dialer._main, *dialer._dials.values()):
        if item is not None:
            await task.close(item)


def _handle(dialer: Dialer, message: typing.Any) -> None:
    match message:
        case connection.Received():
            _handle_received(dialer, message)
        case messages.SendToPeer():
            _send(dialer, message)
        case connection.Opened():
            _handle_opened(dialer, message.connection)
        case connection.Closed():
            _handle_closed(dialer, message)
        case messages.Tick():
            _update_dials(dialer, time.monotonic())
        case _DialEnded():
            entries.record_failure(
                dialer._state, message.address, time.monotonic(), random.random()
            )
        case messages.DumpState():
            mailbox.answer(message.reply, _dump_state(dialer))


def _handle_received(dialer: Dialer, event: connection.Received) -> None:
    if isinstance(event.message, link.Welcome):
        entries.apply_welcome(dialer._state, event.message)
    incoming = messages.ReceivedFromPeer(event.connection.peer, event.message)
    mailbox.post(dialer._target, incoming)


def _send(dialer: Dialer, message: messages.SendToPeer) -> None:
    target = dialer._connections.get(message.peer_id)
    if target is not None:
        connection.send(target, message.message)


def _handle_opened(dialer: Dialer, opened: connection.Connection) -> None:
    previous = dialer._connections.get(opened.peer.id)
    dialer._connections[opened.peer.id] = opened
    if previous is not None:
        connection.close(previous)
        closed = messages.PeerDisconnected(previous.peer, "replaced")
        mailbox.post(dialer._target, closed)
    mailbox.post(dialer._target, messages.PeerConnected(opened.peer))


def _handle_closed(dialer: Dialer, event: connection.Closed) -> None:
    peer = event.connection.peer
    if dialer._connections.get(peer.id) is not event.connection:
        return
    del dialer._connections[peer.id]
    logger.info("connection to entry %s ended: %s", peer.id, event.reason)
    mailbox.post(dialer._target, messages.PeerDisconnected(peer, event.reason))


def _update_dials(dialer: Dialer, now: float) -> None:
    for address in entries.addresses_to_drop(dialer._state):
        _close_connections_to(dialer, address)
    for address in entries.addresses_to_dial(dialer._state, now):
        dialer._state.active.add(address)
        dialer._dials[address] = task.start(f"dial {address}", _dial(dialer, address))


def _close_connections_to(dialer: Dialer, address: tuple[str, int]) -> None:
    """Close the connection to ``address``, so that the planner's entry can be dialled."""
    for item in dialer._connections.values():
        entry = dialer._state.known.get(item.peer.id)
        if entry is not None and (entry.host, entry.port) == address:
            connection.close(item)


async def _dial(dialer: Dialer, address: tuple[str, int]) -> None:
    opened_at = time.monotonic()
    try:
        await connection.dial(*address, dialer._own, dialer._inbox, dialer._ssl)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
        logger.info("cannot reach entry at %s:%d: %s", *address, error)
    if time.monotonic() - opened_at > connection.IDLE_TIMEOUT_SECONDS:
        entries.record_success(dialer._state, address)
    await mailbox.put(dialer._inbox, _DialEnded(address))


def _dump_state(dialer: Dialer) -> dict[str, typing.Any]:
    return {
        "planner": dialer._state.planner,
        "entries": sorted(dialer._state.known),
        "connections": [
            {"peer": peer_id, "bytes_in": item.bytes_in, "bytes_out": item.bytes_out}
            for peer_id, item in dialer._connections.items()
        ],
        "inbox": dialer._inbox.depth,
        "dropped": dialer._inbox.dropped,
    }
