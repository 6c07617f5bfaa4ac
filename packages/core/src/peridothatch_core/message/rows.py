"""Messages to and from the tasks that own the connections to the row store."""

from __future__ import annotations

import dataclasses
import enum
import math
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Table and key of a row."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read from the store; ``value`` is ``None`` if the row is deleted."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires that the row has this version; 0 means that it does not exist."""

    key: Key
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes applied atomically if all conditions hold; the value ``None`` deletes the row."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[tuple[Key, bytes | None], ...] = ()


class Outcome(enum.Enum):
    """Outcome of a transaction."""

    COMMITTED = enum.auto()
    CONFLICT = enum.auto()
    NOT_DONE = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Apply a transaction; answered by a ``Committed`` with the same token.

    Attributes
    ----------
    due_at : float
        Local time in seconds at which the lease ends that depends on it; infinity without one.
    leader : str or None
        Node that the sender takes for the leading entry, whose help it wants; ``None`` if any
        entry will do.
    is_sharable : bool
        It may be combined with those of others, because it fails only for reasons of its sender's.
    may_wait_seconds : float
        Time for which it may wait for others to be combined with.
    reached_at : float
        Local time in seconds at which the sender sent its latest request that the store itself has
        answered.
    """

    token: typing.Any
    transaction: Transaction
    timeout_seconds: float
    answer: Callable[[Committed], None]
    due_at: float = math.inf
    leader: str | None = None
    is_sharable: bool = False
    may_wait_seconds: float = 0.0
    reached_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """What an entry that commits for others states beside the outcome.

    Attributes
    ----------
    leader : str
        Node of the leading entry, as far as it is known.
    store_seconds : float
        Duration of the store's transaction; 0 if none was sent.
    """

    leader: str
    store_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The outcome of a transaction.

    Attributes
    ----------
    version : int
        Version of the written rows if the transaction committed.
    now_ms : int
        Store time in the response; 0 if there was no response.
    asked_at, answered_at : float
        Local time in seconds before the request and after the response.
    rejected : bool
        The transaction was not done and will not be done when it is sent again, because it is
        invalid or exceeds a limit of the store.
    busy : bool
        The transaction was not done because too many others wait.
    relayed : Relayed or None
        Statement of the entry that committed for the sender.
    """

    token: typing.Any
    outcome: Outcome
    version: int = 0
    now_ms: int = 0
    asked_at: float = 0.0
    answered_at: float = 0.0
    reason: str = ""
    rejected: bool = False
    busy: bool = False
    relayed: Relayed | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Read the rows of a table whose keys start with ``prefix``; answered by a ``Fetched``.

    Attributes
    ----------
    exact : bool
        Read only the row whose key is ``prefix``.
    """

    token: typing.Any
    table: str
    prefix: str
    timeout_seconds: float
    answer: Callable[[Fetched], None]
    exact: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """The rows that were read; ``rows`` is ``None`` if the read failed.

    Attributes
    ----------
    version : int
        Version of the store when the first page was read. The rows contain all changes up to it;
        a later change may be missing, because each page is of another moment.
    """

    token: typing.Any
    rows: tuple[Row, ...] | None
    now_ms: int = 0
    asked_at: float = 0.0
    answered_at: float = 0.0
    reason: str = ""
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a subscribed table; rows that it does not contain do not exist.

    Attributes
    ----------
    prefix : str
        Beginning of the keys of these rows, if only a part of the table is subscribed to.
    """

    table: str
    rows: tuple[Row, ...]
    now_ms: int
    asked_at: float
    answered_at: float
    prefix: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Rows of a subscribed table that changed since the last message; may be empty.

    Attributes
    ----------
    after : int
        Version after which changes were requested from the store.
    """

    table: str
    rows: tuple[Row, ...]
    now_ms: int
    asked_at: float
    answered_at: float
    after: int = 0
