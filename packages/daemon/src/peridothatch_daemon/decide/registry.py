"""The task that registers this entry in the store and discovers the other entries.

Clocks of different entries are never compared. An entry counts as gone when its counter has not
changed for some time on the local clock. Only time between successful reads is counted, so a
store outage, during which no entry can increment its counter, removes no entry.
"""

from __future__ import annotations

import dataclasses
import functools
import logging
import time
import typing

from peridothatch_core.message import link, store
from peridothatch_daemon import messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.outlet import entry_rows
from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

PERIOD_SECONDS = 2.0
UNLIST_AFTER_SECONDS = 10.0
DELETE_AFTER_SECONDS = 60.0
# At most this much of the time between two reads is counted, because reads that are further apart
# say nothing about the time between them.
MAX_READ_GAP_SECONDS = 2 * PERIOD_SECONDS
STORE_TIMEOUT_SECONDS = 2.0
READ_TAG = "entries"

Clock = typing.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """The mailbox of the task and the mailboxes that it posts to."""

    inbox: mailbox.Mailbox
    store: mailbox.Mailbox
    subscribers: tuple[mailbox.Mailbox, ...]


@dataclasses.dataclass(slots=True)
class ObservedEntry:
    """Another entry, and the time for which its counter has not changed."""

    address: link.EntryAddress
    counter: int
    version: int
    unchanged_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class State:
    """State that the registry task owns."""

    own: link.EntryAddress
    incarnation: str
    ports: Ports
    clock: Clock
    counter: int = 0
    observed: dict[str, ObservedEntry] = dataclasses.field(default_factory=dict)
    last_read_sent_at: float | None = None
    published_entries: tuple[link.EntryAddress, ...] = ()
    lagging_subscribers: set[int] = dataclasses.field(default_factory=set)
    drain_reply: mailbox.Reply | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Handle:
    """The running registry task; send messages to ``inbox``."""

    inbox: mailbox.Mailbox
    running: tuple[task.Task, ...]


def create(
    own: link.EntryAddress, incarnation: str, ports: Ports, clock: Clock = time.monotonic
) -> State:
    """Return the initial state, in which the entry knows only itself."""
    all_subscribers = set(range(len(ports.subscribers)))
    return State(
        own,
        incarnation,
        ports,
        clock,
        published_entries=(own,),
        lagging_subscribers=all_subscribers,
    )


def start(
    own: link.EntryAddress,
    incarnation: str,
    store_inbox: mailbox.Mailbox,
    subscribers: tuple[mailbox.Mailbox, ...],
) -> Handle:
    """Start the task; ``incarnation`` differs between processes that use the same id."""
    inbox = mailbox.create("registry")
    state = create(own, incarnation, Ports(inbox, store_inbox, subscribers))
    running = task.start("registry", loop.run(inbox, functools.partial(handle, state)))
    timer = task.start(
        "registry timer", task.post_periodically(PERIOD_SECONDS, inbox, messages.Tick())
    )
    return Handle(inbox, (timer, running))


async def close(handle: Handle) -> None:
    """Stop the task; send ``Drain`` first to delete this entry's row."""
    for running in handle.running:
        await task.close(running)


def handle(state: State, message: typing.Any) -> None:
    """Process one message."""
    if isinstance(message, messages.Tick):
        _publish(state)
        if state.drain_reply is None:
            _register(state)
            read = messages.Read(
                READ_TAG, (), (entry_rows.PREFIX,), state.ports.inbox, STORE_TIMEOUT_SECONDS
            )
            mailbox.post(state.ports.store, read)
    elif isinstance(message, store.Rows):
        if message.ok:
            _handle_rows(state, message)
    elif isinstance(message, store.Committed):
        _handle_commit(state, message)
    elif isinstance(message, messages.Drain):
        _deregister(state, message.reply)
    elif isinstance(message, messages.DumpState):
        mailbox.answer(message.reply, _describe(state))


def _register(state: State) -> None:
    """Write this entry's row; it is harmless if an earlier write still in flight arrives later."""
    state.counter += 1
    value = entry_rows.encode(state.own, state.counter)
    _commit(state, "register", (), store.Write(entry_rows.key(state.own.id), value))


def _deregister(state: State, reply: mailbox.Reply) -> None:
    """Delete this entry's row, so that agents and entries do not dial a stopped entry."""
    state.drain_reply = reply
    state.counter += 1
    if not _commit(state, "leave", (), store.Write(entry_rows.key(state.own.id), None)):
        mailbox.answer(reply, False)


def _handle_commit(state: State, outcome: store.Committed) -> None:
    applied = outcome.outcome is store.Outcome.APPLIED
    if outcome.transaction.id.startswith("leave:") and state.drain_reply is not None:
        mailbox.answer(state.drain_reply, applied)
    elif outcome.transaction.id.startswith("register:") and not applied:
        logger.warning("registration row was not written: %s", outcome.outcome)


def _handle_rows(state: State, rows: store.Rows) -> None:
    """Update the list of entries from a read of all rows."""
    gap = 0.0 if state.last_read_sent_at is None else rows.sent_at - state.last_read_sent_at
    if gap < 0:
        # The answer to a later read has already been processed.
        return
    state.last_read_sent_at = rows.sent_at
    found = {}
    for key, row in rows.rows.items():
        try:
            address, counter = entry_rows.parse(key, row)
        except ValueError as error:
            logger.warning("ignored invalid row %s: %s", key, error)
            continue
        if address.id != state.own.id:
            found[address.id] = _observe_entry(state, address, counter, row.version, gap)
    state.observed = found
    for entry in found.values():
        if entry.unchanged_seconds >= DELETE_AFTER_SECONDS:
            _delete(state, entry)
    alive = [
        item.address for item in found.values() if item.unchanged_seconds < UNLIST_AFTER_SECONDS
    ]
    listed = tuple(sorted([state.own, *alive], key=lambda address: address.id))
    if listed != state.published_entries:
        logger.info("list of entries changed: %s", ", ".join(address.id for address in listed))
        state.published_entries = listed
        state.lagging_subscribers = set(range(len(state.ports.subscribers)))
    _publish(state)


def _observe_entry(
    state: State, address: link.EntryAddress, counter: int, version: int, gap: float
) -> ObservedEntry:
    previous = state.observed.get(address.id)
    # A restarted entry resets its counter, so any difference shows that the entry is alive.
    if previous is None or previous.counter != counter or previous.address != address:
        return ObservedEntry(address, counter, version)
    unchanged_seconds = previous.unchanged_seconds + min(gap, MAX_READ_GAP_SECONDS)
    return ObservedEntry(address, counter, version, unchanged_seconds)


def _delete(state: State, entry: ObservedEntry) -> None:
    key = entry_rows.key(entry.address.id)
    # If the entry writes its row in the meantime, the version differs and the row is kept.
    conditions = (store.VersionIs(key, entry.version),)
    state.counter += 1
    _commit(state, "delete", conditions, store.Write(key, None))


def _commit(
    state: State, prefix: str, conditions: tuple[store.VersionIs, ...], write: store.Write
) -> bool:
    transaction_id = f"{prefix}:{state.own.id}:{state.incarnation}:{state.counter}"
    transaction = store.Transaction(transaction_id, conditions, (write,))
    commit = messages.Commit(transaction, state.ports.inbox, STORE_TIMEOUT_SECONDS)
    return mailbox.post(state.ports.store, commit)


def _publish(state: State) -> None:
    """Send the newest list to the subscribers that have not received it yet."""
    changed = messages.EntriesChanged(state.published_entries)
    subscribers = state.ports.subscribers
    state.lagging_subscribers = {
        index
        for index in state.lagging_subscribers
        if not mailbox.post(subscribers[index], changed)
    }


def _describe(state: State) -> dict[str, typing.Any]:
    return {
        "counter": state.counter,
        "entries": [dataclasses.asdict(address) for address in state.published_entries],
        "still_seconds": {
            key: round(seen.unchanged_seconds, 1) for key, seen in state.observed.items()
        },
        "subscribers_behind": len(state.lagging_subscribers),
    }
