"""Messages to and from the task that owns the session to the table service."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

Value = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionIs:
    """Requires that the row has this version; 0 means that the row does not exist."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class FieldIs:
    """Requires that a field of the row's value is equal to ``equals``."""

    key: str
    field: str
    equals: str | int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Set the value of a row; ``None`` deletes the row."""

    key: str
    value: Value | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold.

    Attributes
    ----------
    id : str
        Unique id; a transaction that is sent again with the same id is applied at most once.
    urgent : bool
        The transaction is sent before other queued transactions.
    """

    id: str
    conditions: tuple[VersionIs | FieldIs, ...]
    writes: tuple[Write, ...]
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read from the store; ``transaction`` is the id of the one that wrote it."""

    value: Value
    version: int
    transaction: str = ""


class Outcome(enum.StrEnum):
    """Outcome of a transaction.

    ``NOT_SENT`` means that no attempt reached the store. ``UNKNOWN`` means that an attempt may
    have been applied and that its result could not be read in time.
    """

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction.

    Attributes
    ----------
    versions : dict
        Version of each written row if the outcome is ``APPLIED``.
    failed : dict
        Rows whose condition did not hold if the outcome is ``CONFLICT``; ``None`` for a row that
        does not exist.
    """

    transaction: Transaction
    outcome: Outcome
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    failed: dict[str, Row | None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Result of a read.

    Attributes
    ----------
    ok : bool
        Whether the store answered; if not, ``rows`` is empty.
    sent_at : float
        Monotonic clock in seconds when the answered request was sent.
    """

    tag: str
    ok: bool
    rows: dict[str, Row]
    sent_at: float
