"""Messages about calls that one entry passes on to another."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's HTTP request as it came; ``target`` is the path with the query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Another entry's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an address, and answer with ``Sent`` under the same token.

    Attributes
    ----------
    seconds : float
        Longest wait for the answer.
    """

    token: typing.Any
    address: str
    request: Request
    seconds: float
    answer: Callable[[Sent], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """What became of a request.

    Attributes
    ----------
    response : Response or None
        ``None`` when there was none in time.
    carried_out : bool
        Without a response, whether the request may have been carried out.
    """

    token: typing.Any
    response: Response | None
    carried_out: bool = False
    reason: str = ""
