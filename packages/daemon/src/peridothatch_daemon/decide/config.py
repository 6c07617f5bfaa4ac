"""The task that owns the replica of the configuration.

It takes ``ChangeConfig``, ``ListChanges``, ``PeerConnected``, ``PeerDisconnected``,
``ReceivedFromPeer``, ``HardwareDigest``, ``DumpState``, ``Drain`` and the store's outcomes, and
tells subscribers by ``ConfigChanged`` and ``ConfigConfirmed``.

``ConfigConfirmed.read_sent_at`` is a time of the own monotonic clock at which the store had
nothing newer than the snapshot. For an own read it is when the answered read was sent. For an
answer of the region's reader it is the time of the question less the age of the reader's own read;
see ``config_relay``.
"""

from __future__ import annotations

import dataclasses
import functools
import logging
import math
import time
import typing

from peridothatch_core.admit import hardware
from peridothatch_core.configure import revisions
from peridothatch_core.message import link, store
from peridothatch_core.place import guarantee_placement
from peridothatch_daemon import messages
from peridothatch_daemon.decide import (
    config_changes,
    config_reads,
    config_relay,
    config_state,
    loop,
)
from peridothatch_daemon.outlet import config_rows
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.admit import changes

logger = logging.getLogger(__name__)

PERIOD_SECONDS = 0.5
MAX_LISTED = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Handle:
    """The running configuration task; send messages to ``inbox``."""

    inbox: mailbox.Mailbox
    running: tuple[task.Task, ...]


def create(
    own: link.Hello,
    store_in_region: bool,
    ports: config_state.Ports,
    settle: changes.AssignHome | None = None,
    clock: config_state.Clock = time.monotonic,
    wall: config_state.Clock = time.time,
) -> config_state.State:
    """Return the state of an entry that has read nothing yet.

    Parameters
    ----------
    settle : callable or None
        Returns where a guarantee is kept; chosen by the hardware that planners report by default.
    """
    known = guarantee_placement.State()
    settle = settle or functools.partial(guarantee_placement.assign, known)
    return config_state.State(own, store_in_region, ports, settle, known, clock, wall)


def start(
    own: link.Hello,
    store_in_region: bool,
    store_inbox: mailbox.Mailbox,
    links: mailbox.Mailbox,
    subscribers: tuple[mailbox.Mailbox, ...],
) -> Handle:
    """Start the task.

    Parameters
    ----------
    own : link.Hello
        Id, incarnation and region of this entry.
    store_in_region : bool
        Whether every entry of the region reads the store for itself.
    store_inbox, links : mailbox.Mailbox
        Of the store task, and of the task that takes ``SendToPeer``.
    """
    inbox = mailbox.create("config")
    ports = config_state.Ports(inbox, store_inbox, links, subscribers)
    state = create(own, store_in_region, ports)
    running = task.start("config", loop.run(inbox, functools.partial(handle, state)))
    timer = task.start(
        "config timer", task.post_periodically(PERIOD_SECONDS, inbox, messages.Tick())
    )
    return Handle(inbox, (timer, running))


async def close(handle: Handle) -> None:
    """Stop the task; send ``Drain`` first to let changes finish."""
    for running in handle.running:
        await task.close(running)


def handle(state: config_state.State, message: typing.Any) -> None:
    """Take one message."""
    if isinstance(message, messages.Tick):
        _tick(state)
    elif isinstance(message, messages.ChangeConfig):
        config_changes.accept(state, message)
    elif isinstance(message, store.Rows):
        _take_rows(state, message)
    elif isinstance(message, store.Committed):
        change = config_changes.committed(state, message)
        if change is not None:
            _receive(state, revisions.Received((change,)), own=True)
    elif isinstance(message, messages.PeerConnected):
        if message.peer.role == "entry":
            state.peers[message.peer.id] = message.peer
    elif isinstance(message, messages.PeerDisconnected):
        state.peers.pop(message.peer.id, None)
    elif isinstance(message, messages.ReceivedFromPeer):
        _take_peer_message(state, message.peer.id, message.message)
    elif isinstance(message, link.HardwareDigest):
        hardware.record(state.homes.hardware, message)
    elif isinstance(message, messages.ListChanges):
        _list(state, message)
    elif isinstance(message, messages.DumpState):
        mailbox.answer(message.reply, _describe(state))
    elif isinstance(message, messages.Drain):
        state.drains.append(message.reply)
    config_changes.advance(state)
    if state.drains and state.current is None:
        for reply in state.drains:
            mailbox.answer(reply, True)
        state.drains.clear()


def _tick(state: config_state.State) -> None:
    now = state.clock()
    config_changes.expire(state, now)
    config_state.publish_behind(state)
    waits = state.current is not None and state.current.refresh_after is not None
    if not state.replica.loaded:
        config_reads.load(state)
    elif waits or config_state.reads_itself(state, now):
        config_reads.read_head(state)
    else:
        config_relay.ask_reader(state, now)


def _take_rows(state: config_state.State, rows: store.Rows) -> None:
    if rows.tag in state.lists:
        _answer_list(state, state.lists.pop(rows.tag), rows)
        return
    if rows.tag == config_reads.LOAD:
        state.load_sent_at = -math.inf
    if not rows.ok:
        config_changes.unreachable(state)
        return
    head = config_reads.head_of(rows)
    if rows.tag == config_reads.LOAD:
        _receive(state, revisions.Loaded(config_reads.snapshot_of(rows)))
    else:
        _receive(state, revisions.Received(config_reads.changes_of(rows)))
    if state.replica.loaded and state.revision >= head:
        state.own_read_at = max(state.own_read_at, rows.sent_at)
        config_state.confirm(state, rows.sent_at)
        config_changes.refreshed(state, rows.sent_at)
    elif rows.tag == config_reads.FETCH:
        logger.error("revisions after %d are missing in the store", state.revision)
        config_reads.load(state)
    else:
        _fetch(state, revisions.step(state.replica, revisions.HeadSeen(head), 0.0))


def _receive(
    state: config_state.State, event: revisions.Event, source: str = "", own: bool = False
) -> list[revisions.Effect]:
    """Apply an event, tell subscribers and other entries, and return what is missing."""
    effects = revisions.step(state.replica, event, state.clock())
    for effect in effects:
        if isinstance(effect, revisions.SnapshotUpdated):
            logger.info("configuration revision %d is in force", effect.snapshot.revision)
            config_state.publish_snapshot(state)
            config_relay.pass_on(state, effect.changes, source, own)
    return [effect for effect in effects if isinstance(effect, revisions.ChangesMissing)]


def _fetch(state: config_state.State, effects: list[revisions.Effect]) -> None:
    for effect in effects:
        if isinstance(effect, revisions.ChangesMissing):
            config_reads.fetch(state, effect)


def _take_peer_message(state: config_state.State, peer_id: str, message: link.Message) -> None:
    if isinstance(message, link.HardwareDigest):
        hardware.record(state.homes.hardware, message)
    elif isinstance(message, link.RevisionsWanted):
        config_relay.serve(state, peer_id, message)
    elif isinstance(message, link.ConfigRevision) and not message.change:
        config_relay.take_status(state, message)
    elif isinstance(message, link.ConfigRevision):
        change = config_relay.parse(message)
        if change is None:
            return
        missing = _receive(state, revisions.Received((change,)), source=peer_id)
        if missing and config_state.reads_itself(state, state.clock()):
            _fetch(state, missing)
        elif missing:
            config_relay.ask_reader(state, state.clock())


def _list(state: config_state.State, message: messages.ListChanges) -> None:
    limit = max(1, min(message.limit, MAX_LISTED))
    first = max(1, state.revision - limit + 1)
    recent = state.replica.recent
    known_from = recent[0].revision if recent else state.revision + 1
    if known_from > first:
        tag = config_state.next_id(state, config_reads.LIST)
        if config_reads.read_list(state, tag, first, known_from - 1):
            state.lists[tag] = message
            return
    _answer_list(state, message, None)


def _answer_list(
    state: config_state.State, message: messages.ListChanges, rows: store.Rows | None
) -> None:
    """Answer with the changes of memory and of ``rows``, newest first."""
    found = {change.revision: change for change in state.replica.recent}
    if rows is not None and rows.ok:
        found |= {change.revision: change for change in config_reads.changes_of(rows)}
    limit = max(1, min(message.limit, MAX_LISTED))
    mailbox.answer(
        message.reply, [found[number] for number in sorted(found, reverse=True)[:limit]]
    )


def _describe(state: config_state.State) -> dict[str, typing.Any]:
    age = state.clock() - state.fresh_at
    return {
        "revision": state.revision,
        "loaded": state.replica.loaded,
        "fresh_age_seconds": round(age, 3) if math.isfinite(age) else None,
        "reader": config_state.reader(state),
        "reads_itself": config_state.reads_itself(state, state.clock()),
        "changes_waiting": len(state.queue) + (state.current is not None),
        "subscribers_behind": len(state.behind),
        "breaches": {"config_monotonic": state.reverted},
        "peers": sorted(state.peers),
        "hardware_epochs": {name: one.epoch for name, one in state.homes.hardware.items()},
        "newest_change": _summary(state),
    }


def _summary(state: config_state.State) -> dict[str, typing.Any] | None:
    if not state.replica.recent:
        return None
    newest = config_rows.encode_change(state.replica.recent[-1])
    # The value may hold a token digest.
    return {key: held for key, held in newest.items() if key != "value"}
