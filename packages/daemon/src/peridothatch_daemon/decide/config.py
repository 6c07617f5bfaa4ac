"""The task that owns this entry's replica of the configuration.

It accepts ``ChangeConfig``, ``ListChanges``, ``PeerConnected``, ``PeerDisconnected``,
``ReceivedFromPeer``, ``HardwareDigest``, ``DumpState``, ``Drain`` and the results of store
operations, and sends ``ConfigChanged`` and ``ConfigConfirmed`` to its subscribers.

``ConfigConfirmed.read_sent_at`` is a time on the local monotonic clock at which the store held
nothing newer than the snapshot. After a local store read, it is the time at which that read was
sent. After an
answer from the region's reader, it is the time of the request minus the age of
the reader's own store read; see ``config_relay``.
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

TICK_INTERVAL_SECONDS = 0.5
MAX_LISTED_CHANGES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Handle:
    """The running configuration task; send messages to ``inbox``."""

    inbox: mailbox.Mailbox
    running: tuple[task.Task, ...]


def create(
    own: link.Hello,
    store_in_region: bool,
    ports: config_state.Ports,
    assign_home: changes.AssignHome | None = None,
    clock: config_state.Clock = time.monotonic,
    wall_clock: config_state.Clock = time.time,
) -> config_state.State:
    """Return the state of an entry that has not read the configuration yet.

    Parameters
    ----------
    assign_home : callable or None
        Assigns a guarantee to a data centre; by default, from the hardware that planners report.
    """
    placement = guarantee_placement.State()
    assign_home = assign_home or functools.partial(guarantee_placement.assign, placement)
    return config_state.State(
        own, store_in_region, ports, assign_home, placement, clock, wall_clock
    )


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
        Whether the store is in this region, so that every entry of the region reads it directly.
    store_inbox, links : mailbox.Mailbox
        Mailboxes of the store task and of the task that sends ``SendToPeer``.
    subscribers : tuple of mailbox.Mailbox
        Receive ``ConfigChanged`` and ``ConfigFresh``.
    """
    inbox = mailbox.create("config")
    ports = config_state.Ports(inbox, store_inbox, links, subscribers)
    state = create(own, store_in_region, ports)
    running = task.start("config", loop.run(inbox, functools.partial(handle, state)))
    timer = task.start(
        "config timer", task.post_periodically(TICK_INTERVAL_SECONDS, inbox, messages.Tick())
    )
    return Handle(inbox, (timer, running))


async def close(handle: Handle) -> None:
    """Stop the task; send ``Drain`` first to let queued changes finish."""
    for running in handle.running:
        await task.close(running)


def handle(state: config_state.State, message: typing.Any) -> None:
    """Process one message."""
    if isinstance(message, messages.Tick):
        _tick(state)
    elif isinstance(message, messages.ChangeConfig):
        config_changes.enqueue(state, message)
    elif isinstance(message, store.Rows):
        _handle_rows(state, message)
    elif isinstance(message, store.Committed):
        change = config_changes.handle_commit(state, message)
        if change is not None:
            _apply_event(state, revisions.Received((change,)), own=True)
    elif isinstance(message, messages.PeerConnected):
        if message.peer.role == "entry":
            state.peers[message.peer.id] = message.peer
    elif isinstance(message, messages.PeerDisconnected):
        state.peers.pop(message.peer.id, None)
    elif isinstance(message, messages.ReceivedFromPeer):
        _handle_peer_message(state, message.peer.id, message.message)
    elif isinstance(message, link.HardwareDigest):
        hardware.record(state.placement.hardware, message)
    elif isinstance(message, messages.ListChanges):
        _list_changes(state, message)
    elif isinstance(message, messages.DumpState):
        mailbox.answer(message.reply, _describe(state))
    elif isinstance(message, messages.Drain):
        state.drain_replies.append(message.reply)
    config_changes.start_next(state)
    if state.drain_replies and state.current_change is None:
        for reply in state.drain_replies:
            mailbox.answer(reply, True)
        state.drain_replies.clear()


def _tick(state: config_state.State) -> None:
    now = state.clock()
    config_changes.expire(state, now)
    config_state.publish_to_lagging(state)
    change_waits = (
        state.current_change is not None and state.current_change.refresh_after is not None
    )
    if not state.replica.loaded:
        config_reads.read_all(state)
    elif change_waits or config_state.reads_store(state, now):
        config_reads.read_head(state)
    else:
        config_relay.ask_reader(state, now)


def _handle_rows(state: config_state.State, rows: store.Rows) -> None:
    if rows.tag in state.pending_lists:
        _answer_list_request(state, state.pending_lists.pop(rows.tag), rows)
        return
    if rows.tag == config_reads.ALL_TAG:
        state.read_all_sent_at = -math.inf
    if not rows.ok:
        config_changes.refuse_after_failed_read(state)
        return
    head = config_reads.parse_head(rows)
    if rows.tag == config_reads.ALL_TAG:
        _apply_event(state, revisions.Loaded(config_reads.parse_snapshot(rows)))
    else:
        _apply_event(state, revisions.Received(config_reads.parse_changes(rows)))
    if state.replica.loaded and state.revision >= head:
        state.own_read_sent_at = max(state.own_read_sent_at, rows.sent_at)
        config_state.publish_confirmation(state, rows.sent_at)
        config_changes.resume_after_read(state, rows.sent_at)
    elif rows.tag == config_reads.MISSING_TAG:
        logger.error(
            "store lacks the revisions after %d; reading the whole configuration", state.revision
        )
        config_reads.read_all(state)
    else:
        _read_missing(state, revisions.step(state.replica, revisions.HeadSeen(head), 0.0))


def _apply_event(
    state: config_state.State, event: revisions.Event, source: str = "", own: bool = False
) -> list[revisions.Effect]:
    """Apply an event, publish a new snapshot, and return the ranges of missing changes."""
    effects = revisions.step(state.replica, event, state.clock())
    for effect in effects:
        if isinstance(effect, revisions.SnapshotUpdated):
            logger.info("configuration revision %d applied", effect.snapshot.revision)
            config_state.publish_snapshot(state)
            config_relay.forward_changes(state, effect.changes, source, own)
    return [effect for effect in effects if isinstance(effect, revisions.ChangesMissing)]


def _read_missing(state: config_state.State, effects: list[revisions.Effect]) -> None:
    for effect in effects:
        if isinstance(effect, revisions.ChangesMissing):
            config_reads.read_missing(state, effect)


def _handle_peer_message(state: config_state.State, peer_id: str, message: link.Message) -> None:
    if isinstance(message, link.HardwareDigest):
        hardware.record(state.placement.hardware, message)
    elif isinstance(message, link.RevisionsWanted):
        config_relay.answer_request(state, peer_id, message)
    elif isinstance(message, link.ConfigRevision) and not message.change:
        config_relay.apply_status(state, message)
    elif isinstance(message, link.ConfigRevision):
        change = config_relay.parse_change(message)
        if change is None:
            return
        missing = _apply_event(state, revisions.Received((change,)), source=peer_id)
        if missing and config_state.reads_store(state, state.clock()):
            _read_missing(state, missing)
        elif missing:
            config_relay.ask_reader(state, state.clock())


def _list_changes(state: config_state.State, message: messages.ListChanges) -> None:
    limit = max(1, min(message.limit, MAX_LISTED_CHANGES))
    first = max(1, state.revision - limit + 1)
    recent = state.replica.recent
    known_from = recent[0].revision if recent else state.revision + 1
    if known_from > first:
        tag = config_state.next_id(state, config_reads.LIST_TAG)
        if config_reads.read_list(state, tag, first, known_from - 1):
            state.pending_lists[tag] = message
            return
    _answer_list_request(state, message, None)


def _answer_list_request(
    state: config_state.State, message: messages.ListChanges, rows: store.Rows | None
) -> None:
    """Reply with the changes in memory and in ``rows``, newest first."""
    found = {change.revision: change for change in state.replica.recent}
    if rows is not None and rows.ok:
        found |= {change.revision: change for change in config_reads.parse_changes(rows)}
    limit = max(1, min(message.limit, MAX_LISTED_CHANGES))
    mailbox.answer(
        message.reply, [found[number] for number in sorted(found, reverse=True)[:limit]]
    )


def _describe(state: config_state.State) -> dict[str, typing.Any]:
    age = state.clock() - state.confirmed_at
    return {
        "revision": state.revision,
        "loaded": state.replica.loaded,
        "fresh_age_seconds": round(age, 3) if math.isfinite(age) else None,
        "reader": config_state.region_reader(state),
        "reads_itself": config_state.reads_store(state, state.clock()),
        "changes_waiting": len(state.queued_changes) + (state.current_change is not None),
        "subscribers_behind": len(state.lagging_subscribers),
        "breaches": {"config_monotonic": state.revision_regressions},
        "peers": sorted(state.peers),
        "hardware_epochs": {
            name: digest.epoch for name, digest in state.placement.hardware.items()
        },
        "newest_change": _describe_newest_change(state),
    }


def _describe_newest_change(state: config_state.State) -> dict[str, typing.Any] | None:
    if not state.replica.recent:
        return None
    newest = config_rows.encode_change(state.replica.recent[-1])
    # The value is omitted because it may contain the digest of a token.
    return {key: item for key, item in newest.items() if key != "value"}
