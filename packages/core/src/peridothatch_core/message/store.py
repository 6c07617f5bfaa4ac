"""Messages to the table service."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

Value = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionIs:
    """Condition: the row has this version; 0 means that it is absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class FieldIs:
    """Condition: a field of the row's value equals ``equals``."""

    key: str
    field: str
    equals: str | int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Set a row; ``None`` deletes it."""

    key: str
    value: Value | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that apply together when all conditions hold.

    Attributes
    ----------
    id : str
        Unique; the same transaction sent again under its id applies at most once.
    urgent : bool
        Sent ahead of other transactions that wait.
    """

    id: str
    conditions: tuple[VersionIs | FieldIs, ...]
    writes: tuple[Write, ...]
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read; ``transaction`` is the id of the transaction that wrote it."""

    value: Value
    version: int
    transaction: str = ""


class Outcome(enum.StrEnum):
    """What became of a transaction.

    ``NOT_SENT`` means that no attempt reached the store; ``UNKNOWN`` means that an attempt may
    have been applied and could not be read back in time.
    """

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Outcome of a transaction.

    Attributes
    ----------
    versions : dict
        Version of each written row after ``APPLIED``.
    failed : dict
        Rows whose condition did not hold after ``CONFLICT``; ``None`` for an absent one.
    """

    transaction: Transaction
    outcome: Outcome
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    failed: dict[str, Row | None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Outcome of a read.

    Attributes
    ----------
    ok : bool
        Whether the store answered; ``rows`` is empty when it did not.
    sent_at : float
        Monotonic clock when the read that was answered was sent, in seconds.
    """

    tag: str
    ok: bool
    rows: dict[str, Row]
    sent_at: float
