"""Store reads of the configuration task, and parsing of the rows that they return."""

from __future__ import annotations

import typing

from peridothatch_core.configure import revisions
from peridothatch_daemon import messages
from peridothatch_daemon.outlet import config_rows
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.message import store
    from peridothatch_core.model import config
    from peridothatch_daemon.decide import config_state

# Revisions after the replica's own are read together with the head, so that a new change needs
# one read instead of two.
READ_AHEAD_REVISIONS = 4
# A replica that lacks more revisions than this reads all objects instead.
MAX_MISSING_REVISIONS = 256
READ_TIMEOUT_SECONDS = 2.0
READ_ALL_TIMEOUT_SECONDS = 10.0

HEAD_TAG, MISSING_TAG, ALL_TAG, LIST_TAG = "head", "fetch", "load", "list"


def read_head(state: config_state.State) -> None:
    """Read the head and the revisions that directly follow the replica's own."""
    following = range(state.revision + 1, state.revision + 1 + READ_AHEAD_REVISIONS)
    _read(state, HEAD_TAG, (revisions.HEAD_KEY, *map(revisions.revision_key, following)))


def read_missing(state: config_state.State, missing: revisions.ChangesMissing) -> None:
    """Read the missing revisions, or the whole configuration when there are too many."""
    if missing.last - missing.after > MAX_MISSING_REVISIONS:
        read_all(state)
        return
    wanted = range(missing.after + 1, missing.last + 1)
    _read(state, MISSING_TAG, (revisions.HEAD_KEY, *map(revisions.revision_key, wanted)))


def read_all(state: config_state.State) -> None:
    """Read the whole configuration, unless such a read is in flight."""
    now = state.clock()
    if now - state.read_all_sent_at < READ_ALL_TIMEOUT_SECONDS:
        return
    state.read_all_sent_at = now
    prefixes = (revisions.OBJECT_PREFIX,)
    _read(state, ALL_TAG, (revisions.HEAD_KEY,), prefixes, READ_ALL_TIMEOUT_SECONDS)


def read_list(state: config_state.State, tag: str, first: int, last: int) -> bool:
    """Read revisions ``first`` to ``last`` for a list; return whether the read was sent."""
    keys = tuple(revisions.revision_key(number) for number in range(first, last + 1))
    return _read(state, tag, keys)


def parse_head(rows: store.Rows) -> int:
    """Return the newest revision in the store at the time of a read."""
    return config_rows.parse_head(rows.rows.get(revisions.HEAD_KEY))


def parse_changes(rows: store.Rows) -> tuple[config.Change, ...]:
    """Return the changes among the rows of a read, in order of revision."""
    found = [
        config_rows.parse_change(row.value)
        for key, row in rows.rows.items()
        if key.startswith(revisions.REVISION_PREFIX)
    ]
    return tuple(sorted(found, key=lambda change: change.revision))


def parse_snapshot(rows: store.Rows) -> config.Snapshot:
    """Return the snapshot from a read of the whole configuration."""
    objects = [
        config_rows.parse_object(key, row)
        for key, row in rows.rows.items()
        if key.startswith(revisions.OBJECT_PREFIX)
    ]
    return revisions.build_snapshot(parse_head(rows), objects)


def _read(
    state: config_state.State,
    tag: str,
    keys: tuple[str, ...],
    prefixes: tuple[str, ...] = (),
    timeout_seconds: float = READ_TIMEOUT_SECONDS,
) -> bool:
    read = messages.Read(tag, keys, prefixes, state.ports.inbox, timeout_seconds)
    return mailbox.post(state.ports.store, read)
