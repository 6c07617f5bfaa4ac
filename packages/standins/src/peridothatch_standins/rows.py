"""State and rules of the table service: transactions, reads and fault switches."""

from __future__ import annotations

import collections
import dataclasses
import random
import typing

import sortedcontainers

OUTCOME_RETENTION_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Expected version of a row (0 means absent), or of a field when ``field`` is set."""

    key: str
    version: int = 0
    field: str = ""
    equals: str | int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Set the value of a row; None deletes the row."""

    key: str
    value: dict[str, typing.Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold."""

    id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Keys and prefixes to read in one consistent snapshot."""

    keys: tuple[str, ...]
    prefixes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """Fault mode and its parameters."""

    mode: str = "up"
    delay_ms: int = 0
    probability: float = 1.0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Value and version of a row, and the id of the transaction that wrote it."""

    value: dict[str, typing.Any]
    version: int
    transaction: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a transaction; ``failed`` maps the key of each failed condition to its row."""

    applied: bool
    versions: dict[str, int]
    failed: dict[str, Row | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """Delay before an answer, or that the connection is aborted without one."""

    delay_seconds: float = 0.0
    aborted: bool = False


@dataclasses.dataclass(slots=True)
class Table:
    """Rows, latest versions (also of deleted rows) and outcomes by transaction id."""

    rows: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    outcomes: collections.OrderedDict[str, tuple[float, Outcome]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    switches: Switches = Switches()
    fault_random: random.Random = dataclasses.field(default_factory=lambda: random.Random(0))
    reads: int = 0
    writes: int = 0


def transact(table: Table, transaction: Transaction, now: float) -> Outcome:
    """Apply a transaction atomically; a repeated id returns the recorded outcome."""
    _expire_outcomes(table, now)
    if transaction.id in table.outcomes:
        return table.outcomes[transaction.id][1]
    failed = {
        condition.key: table.rows.get(condition.key)
        for condition in transaction.conditions
        if not _condition_holds(table, condition)
    }
    versions = {} if failed else _apply_writes(table, transaction)
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


def set_switches(table: Table, switches: Switches) -> None:
    """Change the fault mode and reseed the random faults."""
    table.switches = switches
    table.fault_random = random.Random(switches.seed)


def is_down(table: Table) -> bool:
    """Return whether connections are aborted before a request takes effect."""
    return table.switches.mode == "down"


def plan_delivery(table: Table, is_write: bool) -> Delivery:
    """Return how the answer to a request that took effect is delivered."""
    switches = table.switches
    if switches.mode == "slow":
        return Delivery(delay_seconds=switches.delay_ms / 1000)
    if switches.mode == "lose_answers" and is_write:
        return Delivery(aborted=table.fault_random.random() < switches.probability)
    return Delivery()


def _condition_holds(table: Table, condition: Condition) -> bool:
    row = table.rows.get(condition.key)
    if condition.field:
        return row is not None and row.value.get(condition.field) == condition.equals
    return (row.version if row else 0) == condition.version


def _apply_writes(table: Table, transaction: Transaction) -> dict[str, int]:
    versions = {}
    for write in transaction.writes:
        version = table.versions.get(write.key, 0) + 1
        table.versions[write.key] = versions[write.key] = version
        if write.value is None:
            table.rows.pop(write.key, None)
        else:
            table.rows[write.key] = Row(write.value, version, transaction.id)
    return versions


def _expire_outcomes(table: Table, now: float) -> None:
    while table.outcomes:
        recorded_at, _ = next(iter(table.outcomes.values()))
        if now - recorded_at < OUTCOME_RETENTION_SECONDS:
            return
        table.outcomes.popitem(last=False)
