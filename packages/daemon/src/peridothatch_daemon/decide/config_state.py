"""State of the configuration task, and how subscribers hear of it."""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

from peridothatch_core.configure import revisions
from peridothatch_daemon import messages
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.admit import changes
    from peridothatch_core.message import link
    from peridothatch_core.model import config
    from peridothatch_core.place import guarantee_placement

# A region's reader that has confirmed nothing for this long is taken to be cut off.
READER_SILENCE_SECONDS = 2.0

Clock = typing.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Mailboxes that the task sends to, and its own."""

    inbox: mailbox.Mailbox
    store: mailbox.Mailbox
    links: mailbox.Mailbox
    subscribers: tuple[mailbox.Mailbox, ...]


@dataclasses.dataclass(slots=True)
class Pending:
    """An operator's change that is being made.

    Attributes
    ----------
    before : object or None
        The object when the change was first checked.
    refresh_after : float or None
        The change waits for a store read that was sent at this time or later.
    refreshed : bool
        The replica reflects a store read that was sent after the change arrived.
    """

    message: messages.ChangeConfig
    arrived: float
    before: typing.Any = None
    refreshed: bool = False
    conflicts: int = 0
    refresh_after: float | None = None
    transaction: str = ""
    change: config.Change | None = None


@dataclasses.dataclass(slots=True)
class State:
    """What the configuration task owns.

    Attributes
    ----------
    fresh_at, own_read_at : float
        When the newest confirmation, or the newest own read that confirmed the replica, was
        sent to the store, by the own monotonic clock in seconds.
    behind : set of int
        Subscribers whose mailbox was full when the snapshot changed.
    published, reverted : int
        Revision of the last snapshot that was published, and how often it was lower than the
        one before.
    """

    own: link.Hello
    store_in_region: bool
    ports: Ports
    settle: changes.AssignHome
    homes: guarantee_placement.State
    clock: Clock
    wall: Clock
    replica: revisions.Replica = dataclasses.field(default_factory=revisions.Replica)
    peers: dict[str, link.Hello] = dataclasses.field(default_factory=dict)
    fresh_at: float = -math.inf
    own_read_at: float = -math.inf
    load_sent_at: float = -math.inf
    published: int = 0
    reverted: int = 0
    number: int = 0
    behind: set[int] = dataclasses.field(default_factory=set)
    queue: collections.deque[Pending] = dataclasses.field(default_factory=collections.deque)
    current: Pending | None = None
    lists: dict[str, messages.ListChanges] = dataclasses.field(default_factory=dict)
    drains: list[mailbox.Reply] = dataclasses.field(default_factory=list)

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.replica.snapshot.revision


def next_id(state: State, word: str) -> str:
    """Return an id that no other process and no other call uses."""
    state.number += 1
    return f"{word}:{state.own.id}:{state.own.incarnation}:{state.number}"


def region_peers(state: State) -> list[str]:
    """Return the connected entries of the own region."""
    return [key for key, peer in state.peers.items() if peer.region == state.own.region]


def reader(state: State) -> str:
    """Return the entry that reads the store for the region: the smallest id."""
    return min([state.own.id, *region_peers(state)])


def reads_itself(state: State, now: float) -> bool:
    """Return whether this entry reads the store rather than ask the region's reader."""
    silent = now - state.fresh_at > READER_SILENCE_SECONDS
    return state.store_in_region or reader(state) == state.own.id or silent


def send(state: State, peer_id: str, message: link.Message) -> None:
    """Send a message to another entry."""
    mailbox.post(state.ports.links, messages.SendToPeer(peer_id, message))


def publish_snapshot(state: State) -> None:
    """Tell all subscribers of a new snapshot; one that is older than the last is a breach."""
    if state.replica.snapshot.revision < state.published:
        state.reverted += 1
    state.published = state.replica.snapshot.revision
    state.behind = set(range(len(state.ports.subscribers)))
    publish_behind(state)


def publish_behind(state: State) -> None:
    """Tell the subscribers that have not heard of the newest snapshot yet."""
    if state.replica.loaded:
        changed = messages.ConfigChanged(state.replica.snapshot)
        subscribers = state.ports.subscribers
        state.behind = {
            index for index in state.behind if not mailbox.post(subscribers[index], changed)
        }


def confirm(state: State, read_sent_at: float) -> None:
    """Tell subscribers that the snapshot was the newest at ``read_sent_at`` or later.

    Each hears of the snapshot first, so that none takes an older one for confirmed; a mailbox
    that is full for the one is full for the other.
    """
    state.fresh_at = max(state.fresh_at, read_sent_at)
    publish_behind(state)
    fresh = messages.ConfigConfirmed(state.revision, read_sent_at)
    for subscriber in state.ports.subscribers:
        mailbox.post(subscriber, fresh)
