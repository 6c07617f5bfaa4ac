"""Requests to backend servers and the answers to them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to a backend service.

    Attributes
    ----------
    id : str
        ``ENTRY.INCARNATION.NUMBER``, assigned by the entry process that accepted the request.
    budget_seconds : float
        Time left until the deadline, as of when the message was sent.
    trace : str
        Action in the structured log to which the request belongs.
    """

    id: str
    customer: str
    service: str
    idempotent: bool
    budget_seconds: float
    body: bytes = b""
    content_type: str = "application/json"
    trace: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a request.

    Attributes
    ----------
    status : int
        HTTP status returned by the backend server; 0 if it sent no answer.
    """

    request_id: str
    verdict: verdict.Verdict
    status: int = 0
    body: bytes = b""
    content_type: str = "application/json"
    detail: str = ""
