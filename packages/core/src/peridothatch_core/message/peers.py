"""Messages about client requests that one entry forwards to another."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request as received; ``target`` is the path with the query string."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """HTTP response of the other entry."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an address; answered by a ``Sent`` with the same token.

    Attributes
    ----------
    seconds : float
        Timeout for the response.
    """

    token: typing.Any
    address: str
    request: Request
    seconds: float
    answer: Callable[[Sent], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """The outcome of a ``Send``.

    Attributes
    ----------
    response : Response or None
        ``None`` if none arrived in time.
    carried_out : bool
        Whether the request may have been executed although there is no response.
    """

    token: typing.Any
    response: Response | None
    carried_out: bool = False
    reason: str = ""
