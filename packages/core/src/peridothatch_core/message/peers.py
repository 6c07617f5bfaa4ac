"""Messages about client requests that one entry forwards to another."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from peridothatch_core.message import rows
    from peridothatch_core.model import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request as received; ``target`` is the path with the query string."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """HTTP response of the other entry.

    Attributes
    ----------
    desired_version : int
        Version of the desired state by which the other entry answered; 0 if it did not say so.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    desired_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an address; answered by a ``Sent`` with the same token.

    Attributes
    ----------
    seconds : float
        Timeout for the response.
    min_version : int
        Version of the desired state that the other entry must know in order to answer.
    """

    token: typing.Any
    address: str
    request: Request
    seconds: float
    answer: Callable[[Sent], None]
    min_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """The outcome of a ``Send``.

    Attributes
    ----------
    response : Response or None
        ``None`` if none arrived in time.
    verdict : Verdict
        Whether the request may have been executed.
    unavailable : bool
        The other entry cannot be reached, or cannot reach the store either.
    """

    token: typing.Any
    response: Response | None
    verdict: verdict.Verdict
    unavailable: bool = False
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Let the entry at an address commit a transaction; its ``rows.Committed`` is the answer."""

    commit: rows.Commit
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class LookUp:
    """Ask an entry whether a row is in the store; answered by a ``LookedUp`` with the same token.

    Attributes
    ----------
    address : str
        Address at which the entry answers other entries.
    seconds : float
        Timeout for the response.
    """

    token: typing.Any
    address: str
    key: rows.Key
    seconds: float
    answer: Callable[[LookedUp], None]


@dataclasses.dataclass(frozen=True, slots=True)
class LookedUp:
    """The outcome of a ``LookUp``; ``exists`` is ``None`` if the row could not be read."""

    token: typing.Any
    exists: bool | None
