"""State of the configuration task, and its publication to subscribers."""

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

# A region's reader that has confirmed nothing for this long is treated as unreachable.
READER_TIMEOUT_SECONDS = 2.0

Clock = typing.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """The mailbox of the task and the mailboxes that it posts to."""

    inbox: mailbox.Mailbox
    store: mailbox.Mailbox
    links: mailbox.Mailbox
    subscribers: tuple[mailbox.Mailbox, ...]


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A configuration change that is queued or in progress.

    Attributes
    ----------
    original : object or None
        The object at the time of the first validation.
    refreshed : bool
        Whether the replica reflects a store read that was sent after the change arrived.
    refresh_after : float or None
        While set, the change waits for a store read that was sent at this time or later.
    """

    message: messages.ChangeConfig
    arrived_at: float
    original: typing.Any = None
    refreshed: bool = False
    conflict_count: int = 0
    refresh_after: float | None = None
    transaction_id: str = ""
    change: config.Change | None = None


@dataclasses.dataclass(slots=True)
class State:
    """State that the configuration task owns.

    Attributes
    ----------
    confirmed_at, own_read_sent_at : float
        When the store read behind the newest confirmation was sent, and the same for the newest
        read by this entry, in seconds on the local monotonic clock.
    published_revision, revision_regressions : int
        Revision of the last published snapshot, and the number of snapshots with a lower
        revision than their predecessor.
    lagging_subscribers : set of int
        Indexes of the subscribers that have not received the newest snapshot, because their
        mailbox was full.
    """

    own: link.Hello
    store_in_region: bool
    ports: Ports
    assign_home: changes.AssignHome
    placement: guarantee_placement.State
    clock: Clock
    wall_clock: Clock
    replica: revisions.Replica = dataclasses.field(default_factory=revisions.Replica)
    peers: dict[str, link.Hello] = dataclasses.field(default_factory=dict)
    confirmed_at: float = -math.inf
    own_read_sent_at: float = -math.inf
    read_all_sent_at: float = -math.inf
    published_revision: int = 0
    revision_regressions: int = 0
    last_id_number: int = 0
    lagging_subscribers: set[int] = dataclasses.field(default_factory=set)
    queued_changes: collections.deque[PendingChange] = dataclasses.field(
        default_factory=collections.deque
    )
    current_change: PendingChange | None = None
    pending_lists: dict[str, messages.ListChanges] = dataclasses.field(default_factory=dict)
    drain_replies: list[mailbox.Reply] = dataclasses.field(default_factory=list)

    @property
    def revision(self) -> int:
        """Revision of the replica's snapshot."""
        return self.replica.snapshot.revision


def next_id(state: State, prefix: str) -> str:
    """Return an id that is unique across processes and calls."""
    state.last_id_number += 1
    return f"{prefix}:{state.own.id}:{state.own.incarnation}:{state.last_id_number}"


def region_peers(state: State) -> list[str]:
    """Return the ids of the connected entries in this entry's region."""
    return [key for key, peer in state.peers.items() if peer.region == state.own.region]


def region_reader(state: State) -> str:
    """Return the id of the entry that reads the store for the region: the lowest one."""
    return min([state.own.id, *region_peers(state)])


def reads_store(state: State, now: float) -> bool:
    """Return whether this entry reads the store directly instead of asking the region's reader."""
    reader_is_silent = now - state.confirmed_at > READER_TIMEOUT_SECONDS
    return state.store_in_region or region_reader(state) == state.own.id or reader_is_silent


def send(state: State, peer_id: str, message: link.Message) -> None:
    """Send a message to another entry."""
    mailbox.post(state.ports.links, messages.SendToPeer(peer_id, message))


def publish_snapshot(state: State) -> None:
    """Send a new snapshot to all subscribers; count it as a breach if its revision went back."""
    if state.replica.snapshot.revision < state.published_revision:
        state.revision_regressions += 1
    state.published_revision = state.replica.snapshot.revision
    state.lagging_subscribers = set(range(len(state.ports.subscribers)))
    publish_to_lagging(state)


def publish_to_lagging(state: State) -> None:
    """Send the newest snapshot to the subscribers that have not received it yet."""
    if state.replica.loaded:
        changed = messages.ConfigChanged(state.replica.snapshot)
        subscribers = state.ports.subscribers
        state.lagging_subscribers = {
            index
            for index in state.lagging_subscribers
            if not mailbox.post(subscribers[index], changed)
        }


def publish_confirmation(state: State, read_sent_at: float) -> None:
    """Tell subscribers that the snapshot was the newest at ``read_sent_at`` or later.

    Each subscriber receives the snapshot first, so that none treats an older snapshot as
    confirmed. A mailbox that is too full for the snapshot is too full for the confirmation.
    """
    state.confirmed_at = max(state.confirmed_at, read_sent_at)
    publish_to_lagging(state)
    fresh = messages.ConfigConfirmed(state.revision, read_sent_at)
    for subscriber in state.ports.subscribers:
        mailbox.post(subscriber, fresh)
