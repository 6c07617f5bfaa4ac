"""Reads of the configuration task, and what their rows hold."""

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

# Revisions after the own one are read along with the head, so that a change takes one read.
LOOK_AHEAD = 4
# A replica that lacks more than this reads all objects instead.
MAX_FETCH = 256
READ_TIMEOUT_SECONDS = 2.0
LOAD_TIMEOUT_SECONDS = 10.0

HEAD, FETCH, LOAD, LIST = "head", "fetch", "load", "list"


def read_head(state: config_state.State) -> None:
    """Read the head and the next few revisions."""
    following = range(state.revision + 1, state.revision + 1 + LOOK_AHEAD)
    _read(state, HEAD, (revisions.HEAD_KEY, *map(revisions.revision_key, following)))


def fetch(state: config_state.State, missing: revisions.ChangesMissing) -> None:
    """Read missing revisions, or everything when there are too many."""
    if missing.last - missing.after > MAX_FETCH:
        load(state)
        return
    wanted = range(missing.after + 1, missing.last + 1)
    _read(state, FETCH, (revisions.HEAD_KEY, *map(revisions.revision_key, wanted)))


def load(state: config_state.State) -> None:
    """Read the whole configuration, unless such a read is under way."""
    now = state.clock()
    if now - state.load_sent_at < LOAD_TIMEOUT_SECONDS:
        return
    state.load_sent_at = now
    prefixes = (revisions.OBJECT_PREFIX,)
    _read(state, LOAD, (revisions.HEAD_KEY,), prefixes, LOAD_TIMEOUT_SECONDS)


def read_list(state: config_state.State, tag: str, first: int, last: int) -> bool:
    """Read the revisions from ``first`` to ``last`` for a list; return whether it was sent."""
    keys = tuple(revisions.revision_key(number) for number in range(first, last + 1))
    return _read(state, tag, keys)


def head_of(rows: store.Rows) -> int:
    """Return the newest revision that a read showed."""
    return config_rows.parse_head(rows.rows.get(revisions.HEAD_KEY))


def changes_of(rows: store.Rows) -> tuple[config.Change, ...]:
    """Return the changes among the rows of a read, in order."""
    found = [
        config_rows.parse_change(row.value)
        for key, row in rows.rows.items()
        if key.startswith(revisions.REVISION_PREFIX)
    ]
    return tuple(sorted(found, key=lambda change: change.revision))


def snapshot_of(rows: store.Rows) -> config.Snapshot:
    """Return the snapshot that a read of everything showed."""
    objects = [
        config_rows.parse_object(key, row)
        for key, row in rows.rows.items()
        if key.startswith(revisions.OBJECT_PREFIX)
    ]
    return revisions.build_snapshot(head_of(rows), objects)


def _read(
    state: config_state.State,
    tag: str,
    keys: tuple[str, ...],
    prefixes: tuple[str, ...] = (),
    timeout_seconds: float = READ_TIMEOUT_SECONDS,
) -> bool:
    read = messages.Read(tag, keys, prefixes, state.ports.inbox, timeout_seconds)
    return mailbox.post(state.ports.store, read)
