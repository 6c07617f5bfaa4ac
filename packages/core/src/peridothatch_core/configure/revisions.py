"""Applies configuration changes in order of revision and builds the rows of a change."""

from __future__ import annotations

import collections
import dataclasses
import typing

from peridothatch_core.message import store
from peridothatch_core.model import config

HEAD_KEY = "config/head"
OBJECT_PREFIX = "config/object/"
REVISION_PREFIX = "config/revision/"

# Applied changes kept for other entries and for listings; older ones are read from the store.
MAX_RECENT_CHANGES = 1000
# Changes kept while an earlier one is missing; further ones are dropped and read again later.
MAX_PENDING_CHANGES = 256

# Field of a snapshot that contains the objects of a kind.
COLLECTIONS = {
    "customer": "customers",
    "guarantee": "guarantees",
    "class": "classes",
    "data_centre": "data_centres",
    "operator": "operator_tokens",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """Event: a consistent snapshot of the whole configuration was read."""

    snapshot: config.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Event: changes arrived, in any order and possibly more than once."""

    changes: tuple[config.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeadSeen:
    """Event: the store or another entry is known to have this revision."""

    revision: int


Event = Loaded | Received | HeadSeen


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotUpdated:
    """Effect: a newer snapshot applies.

    ``changes`` are the changes that led to it; they are empty when it was loaded as a whole.
    """

    snapshot: config.Snapshot
    changes: tuple[config.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesMissing:
    """Effect: request the changes after ``after``, up to and including ``last``."""

    after: int
    last: int


Effect = SnapshotUpdated | ChangesMissing


@dataclasses.dataclass(slots=True)
class Replica:
    """Copy of the configuration in this process.

    Attributes
    ----------
    loaded : bool
        False before the first read of the whole configuration.
    pending : dict
        Changes by revision that wait for an earlier one.
    recent : deque
        Latest changes that were applied, without a gap.
    """

    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    loaded: bool = False
    pending: dict[int, config.Change] = dataclasses.field(default_factory=dict)
    recent: collections.deque[config.Change] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_CHANGES)
    )


Encode = typing.Callable[[typing.Any], store.Value]


def step(state: Replica, event: Event, _now: float) -> list[Effect]:
    """Handle an event; the revision of the snapshot never decreases."""
    if isinstance(event, Loaded):
        return _handle_loaded(state, event.snapshot)
    if not state.loaded:
        return []
    if isinstance(event, HeadSeen):
        return _request_missing(state, event.revision)
    return _handle_received(state, event.changes)


def apply_change(snapshot: config.Snapshot, change: config.Change) -> config.Snapshot:
    """Return the snapshot after a change, which must have the next revision."""
    if change.revision != snapshot.revision + 1:
        raise ValueError(f"revision {change.revision}; expected {snapshot.revision + 1}")
    field = COLLECTIONS[change.kind]
    objects = dict(getattr(snapshot, field))
    if change.kind == "operator":
        # Operators are indexed by token digest, so the previous token is removed explicitly.
        objects = {digest: name for digest, name in objects.items() if name != change.name}
        if change.value is not None:
            objects[change.value] = change.name
    elif change.value is None:
        objects.pop(change.name, None)
    else:
        objects[change.name] = change.value
    changed: dict[str, typing.Any] = {field: objects, "revision": change.revision}
    return dataclasses.replace(snapshot, **changed)


def build_snapshot(
    revision: int, objects: typing.Iterable[tuple[str, str, typing.Any]]
) -> config.Snapshot:
    """Build the snapshot of a revision from its objects, given as kind, name and value."""
    fields: dict[str, typing.Any] = {field: {} for field in COLLECTIONS.values()}
    for kind, name, value in objects:
        key, stored = (value, name) if kind == "operator" else (name, value)
        fields[COLLECTIONS[kind]][key] = stored
    return config.Snapshot(revision=revision, **fields)


def find(snapshot: config.Snapshot, kind: str, name: str) -> typing.Any:
    """Return the object of a kind (a token digest for an operator), or None."""
    objects = getattr(snapshot, COLLECTIONS[kind])
    if kind == "operator":
        return next((digest for digest, holder in objects.items() if holder == name), None)
    return objects.get(name)


def transaction(
    change: config.Change, transaction_id: str, encode_object: Encode, encode_change: Encode
) -> store.Transaction:
    """Return the transaction that commits a change if the store has the preceding revision.

    ``encode_object`` and ``encode_change`` return the values of the object row and the revision
    row.
    """
    before = change.revision - 1
    # A condition on the field does not need the version of the row.
    head = store.FieldIs(HEAD_KEY, "revision", before) if before else store.VersionIs(HEAD_KEY, 0)
    value = None if change.value is None else encode_object(change)
    writes = (
        store.Write(HEAD_KEY, {"revision": change.revision}),
        store.Write(object_key(change.kind, change.name), value),
        store.Write(revision_key(change.revision), encode_change(change)),
    )
    conditions = (head, store.VersionIs(revision_key(change.revision), 0))
    return store.Transaction(transaction_id, conditions, writes, urgent=True)


def object_key(kind: str, name: str) -> str:
    """Return the key of an object's row."""
    return f"{OBJECT_PREFIX}{kind}/{name}"


def revision_key(revision: int) -> str:
    """Return the key of a change's row."""
    return f"{REVISION_PREFIX}{revision}"


def changes_after(state: Replica, revision: int) -> tuple[config.Change, ...] | None:
    """Return all changes after ``revision``, or None when some of them are no longer kept."""
    if revision >= state.snapshot.revision:
        return ()
    if not state.recent or state.recent[0].revision > revision + 1:
        return None
    return tuple(change for change in state.recent if change.revision > revision)


def _handle_loaded(state: Replica, snapshot: config.Snapshot) -> list[Effect]:
    if state.loaded and snapshot.revision <= state.snapshot.revision:
        return []
    state.snapshot, state.loaded = snapshot, True
    # The changes between the two snapshots are unknown, and ``recent`` must not have a gap.
    state.recent.clear()
    pending = tuple(state.pending.values())
    effects: list[Effect] = [SnapshotUpdated(snapshot, ())]
    return effects + _handle_received(state, pending)


def _handle_received(state: Replica, changes: tuple[config.Change, ...]) -> list[Effect]:
    for change in changes:
        state.pending.setdefault(change.revision, change)
    applied = []
    while (following := state.pending.pop(state.snapshot.revision + 1, None)) is not None:
        state.snapshot = apply_change(state.snapshot, following)
        applied.append(following)
    state.recent.extend(applied)
    _trim_pending(state)
    effects: list[Effect] = [SnapshotUpdated(state.snapshot, tuple(applied))] if applied else []
    return effects + _request_missing(state, max(state.pending, default=0))


def _request_missing(state: Replica, last: int) -> list[Effect]:
    after = state.snapshot.revision
    return [ChangesMissing(after, last)] if last > after else []


def _trim_pending(state: Replica) -> None:
    """Drop pending changes that are applied already, and the latest ones above the limit."""
    for revision in sorted(state.pending):
        if revision <= state.snapshot.revision:
            del state.pending[revision]
    for revision in sorted(state.pending)[MAX_PENDING_CHANGES:]:
        del state.pending[revision]
