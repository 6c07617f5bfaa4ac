"""Messages to and from the tasks that own connections to the transactional row store."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Name of a row."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read; ``value`` is ``None`` for a deleted one."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The row must have this version; 0 means that it does not exist."""

    key: Key
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that apply together when all conditions hold; a ``None`` value deletes the row."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[tuple[Key, bytes | None], ...] = ()


class Outcome(enum.Enum):
    """What became of a transaction."""

    COMMITTED = enum.auto()
    CONFLICT = enum.auto()
    NOT_DONE = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Apply a transaction and answer with ``Committed`` under the same token."""

    token: typing.Any
    transaction: Transaction
    timeout_seconds: float
    answer: Callable[[Committed], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The outcome of a transaction.

    Attributes
    ----------
    version : int
        Version of the rows that the transaction wrote, when it committed.
    now_ms : int
        Store time of the answer; 0 without one.
    asked_at, answered_at : float
        Local clock before the call and after the answer, in seconds.
    """

    token: typing.Any
    outcome: Outcome
    version: int = 0
    now_ms: int = 0
    asked_at: float = 0.0
    answered_at: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Read the rows of a table whose keys begin with ``prefix``, and answer with ``Fetched``."""

    token: typing.Any
    table: str
    prefix: str
    timeout_seconds: float
    answer: Callable[[Fetched], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """Rows as they were read; ``rows`` is ``None`` when the store could not be read."""

    token: typing.Any
    rows: tuple[Row, ...] | None
    now_ms: int = 0
    asked_at: float = 0.0
    answered_at: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a followed table; rows that are not in it do not exist."""

    table: str
    rows: tuple[Row, ...]
    now_ms: int
    asked_at: float
    answered_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Rows of a followed table that changed since the last message; may be empty.

    Attributes
    ----------
    after : int
        Version of which the store was asked what came later.
    """

    table: str
    rows: tuple[Row, ...]
    now_ms: int
    asked_at: float
    answered_at: float
    after: int = 0
