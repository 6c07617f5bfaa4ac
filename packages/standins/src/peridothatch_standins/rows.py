"""Decisions of the table service: transactions, reads and switches."""

from __future__ import annotations

import collections
import dataclasses
import random
import typing

import sortedcontainers

REMEMBER_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A version (0 = absent), or a field of the value when ``field`` is set."""

    key: str
    version: int = 0
    field: str = ""
    equals: str | int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Set a row; ``None`` deletes it."""

    key: str
    value: dict[str, typing.Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that apply together when all conditions hold."""

    id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Keys and prefixes to read at one moment."""

    keys: tuple[str, ...]
    prefixes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """The mode and its parameters."""

    mode: str = "up"
    delay_ms: int = 0
    probability: float = 1.0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A stored row and the transaction that wrote it."""

    value: dict[str, typing.Any]
    version: int
    transaction: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a transaction; ``failed`` holds the rows whose condition did not hold."""

    applied: bool
    versions: dict[str, int]
    failed: dict[str, Row | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """How an answer is delivered: after a delay, or not at all."""

    delay_seconds: float = 0.0
    cut: bool = False


@dataclasses.dataclass(slots=True)
class Table:
    """Rows, last versions (of deleted rows too) and outcomes by transaction id."""

    rows: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    outcomes: collections.OrderedDict[str, tuple[float, Outcome]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    switches: Switches = Switches()
    faults: random.Random = dataclasses.field(default_factory=lambda: random.Random(0))
    reads: int = 0
    writes: int = 0


def transact(table: Table, transaction: Transaction, now: float) -> Outcome:
    """Apply a transaction whole or not at all; a known id gets its recorded outcome."""
    _forget(table, now)
    if transaction.id in table.outcomes:
        return table.outcomes[transaction.id][1]
    failed = {
        condition.key: table.rows.get(condition.key)
        for condition in transaction.conditions
        if not _holds(table, condition)
    }
    versions = {} if failed else _apply(table, transaction)
    outcome = Outcome(not failed, versions, failed)
    table.outcomes[transaction.id] = (now, outcome)
    return outcome


def read(table: Table, wanted: Read) -> dict[str, Row]:
    """Return the rows that exist among the keys and under the prefixes."""
    found = {key: table.rows[key] for key in wanted.keys if key in table.rows}
    for prefix in wanted.prefixes:
        for key in table.rows.irange(minimum=prefix):
            if not key.startswith(prefix):
                break
            found[key] = table.rows[key]
    return found


def switch(table: Table, switches: Switches) -> None:
    """Change the mode."""
    table.switches = switches
    table.faults = random.Random(switches.seed)


def refuses(table: Table) -> bool:
    """Return whether requests are cut before they take effect."""
    return table.switches.mode == "down"


def delivery(table: Table, is_write: bool) -> Delivery:
    """Return how the answer to a request that took effect is delivered."""
    switches = table.switches
    if switches.mode == "slow":
        return Delivery(delay_seconds=switches.delay_ms / 1000)
    if switches.mode == "lose_answers" and is_write:
        return Delivery(cut=table.faults.random() < switches.probability)
    return Delivery()


def _holds(table: Table, condition: Condition) -> bool:
    row = table.rows.get(condition.key)
    if condition.field:
        return row is not None and row.value.get(condition.field) == condition.equals
    return (row.version if row else 0) == condition.version


def _apply(table: Table, transaction: Transaction) -> dict[str, int]:
    versions = {}
    for write in transaction.writes:
        version = table.versions.get(write.key, 0) + 1
        table.versions[write.key] = versions[write.key] = version
        if write.value is None:
            table.rows.pop(write.key, None)
        else:
            table.rows[write.key] = Row(write.value, version, transaction.id)
    return versions


def _forget(table: Table, now: float) -> None:
    while table.outcomes:
        at, _ = next(iter(table.outcomes.values()))
        if now - at < REMEMBER_SECONDS:
            return
        table.outcomes.popitem(last=False)
