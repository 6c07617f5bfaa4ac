"""Ordered configuration changes: a replica that only goes forward, and the rows of a change."""

from __future__ import annotations

import collections
import dataclasses
import typing

from peridothatch_core.message import store
from peridothatch_core.model import config

HEAD_KEY = "config/head"
OBJECT_PREFIX = "config/object/"
REVISION_PREFIX = "config/revision/"

# Changes kept for other entries and for lists; older ones are read from the store.
MAX_RECENT_CHANGES = 1000
# Changes that arrived before an earlier one; more than these are read again.
MAX_HELD_CHANGES = 256

# The field of a snapshot that holds the objects of a kind.
COLLECTIONS = {
    "customer": "customers",
    "guarantee": "guarantees",
    "class": "classes",
    "data_centre": "data_centres",
    "operator": "operator_tokens",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """Event: the whole configuration was read at one moment."""

    snapshot: config.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Event: changes arrived, in any order and possibly again."""

    changes: tuple[config.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeadSeen:
    """Event: the store or another entry has this revision."""

    revision: int


Event = Loaded | Received | HeadSeen


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotUpdated:
    """Effect: a newer snapshot is in force; ``changes`` led to it unless it was loaded whole."""

    snapshot: config.Snapshot
    changes: tuple[config.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesMissing:
    """Effect: changes after ``after``, up to and including ``last``, are wanted."""

    after: int
    last: int


Effect = SnapshotUpdated | ChangesMissing


@dataclasses.dataclass(slots=True)
class Replica:
    """The configuration as this process knows it; ``loaded`` is False before the first read."""

    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    loaded: bool = False
    held: dict[int, config.Change] = dataclasses.field(default_factory=dict)
    recent: collections.deque[config.Change] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_CHANGES)
    )


Encode = typing.Callable[[typing.Any], store.Value]


def step(state: Replica, event: Event, _now: float) -> list[Effect]:
    """Take an event; a lower revision than the one in force never has an effect."""
    if isinstance(event, Loaded):
        return _load(state, event.snapshot)
    if not state.loaded:
        return []
    if isinstance(event, HeadSeen):
        return _missing(state, event.revision)
    return _receive(state, event.changes)


def apply_change(snapshot: config.Snapshot, change: config.Change) -> config.Snapshot:
    """Return the snapshot after a change; the change must be the next one."""
    if change.revision != snapshot.revision + 1:
        raise ValueError(f"revision {change.revision}; expected {snapshot.revision + 1}")
    field = COLLECTIONS[change.kind]
    objects = dict(getattr(snapshot, field))
    if change.kind == "operator":
        # Operators are found by token digest; a new token replaces the old one.
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
    """Return the snapshot of a revision from its objects as kind, name and value."""
    fields: dict[str, typing.Any] = {field: {} for field in COLLECTIONS.values()}
    for kind, name, value in objects:
        key, held = (value, name) if kind == "operator" else (name, value)
        fields[COLLECTIONS[kind]][key] = held
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
    """Return the transaction that makes a change on the revision before it.

    ``encode_object`` and ``encode_change`` turn the change into the values of its object row and
    its revision row.
    """
    before = change.revision - 1
    # The condition names the field, so that the row's version need not be known.
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
    """Return all remembered changes after ``revision``, or None when some are forgotten."""
    if revision >= state.snapshot.revision:
        return ()
    if not state.recent or state.recent[0].revision > revision + 1:
        return None
    return tuple(change for change in state.recent if change.revision > revision)


def _load(state: Replica, snapshot: config.Snapshot) -> list[Effect]:
    if state.loaded and snapshot.revision <= state.snapshot.revision:
        return []
    state.snapshot, state.loaded = snapshot, True
    # The changes that led here are not known, and a list with a gap would mislead.
    state.recent.clear()
    held = tuple(state.held.values())
    effects: list[Effect] = [SnapshotUpdated(snapshot, ())]
    return effects + _receive(state, held)


def _receive(state: Replica, changes: tuple[config.Change, ...]) -> list[Effect]:
    for change in changes:
        state.held.setdefault(change.revision, change)
    applied = []
    while (following := state.held.pop(state.snapshot.revision + 1, None)) is not None:
        state.snapshot = apply_change(state.snapshot, following)
        applied.append(following)
    state.recent.extend(applied)
    _trim(state)
    effects: list[Effect] = [SnapshotUpdated(state.snapshot, tuple(applied))] if applied else []
    return effects + _missing(state, max(state.held, default=0))


def _missing(state: Replica, last: int) -> list[Effect]:
    after = state.snapshot.revision
    return [ChangesMissing(after, last)] if last > after else []


def _trim(state: Replica) -> None:
    """Drop what is in force, and the latest of too many held changes."""
    for revision in sorted(state.held):
        if revision <= state.snapshot.revision:
            del state.held[revision]
    for revision in sorted(state.held)[MAX_HELD_CHANGES:]:
        del state.held[revision]
