"""Requests to backend servers and their answers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A call to a backend service.

    Attributes
    ----------
    id : str
        ``ENTRY.INCARNATION.NUMBER`` of the entry process that accepted it.
    budget_seconds : float
        Time left until the deadline when this message was sent.
    trace : str
        Action of the structured log that the request belongs to.
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
        HTTP status of the backend server; 0 without an answer.
    """

    request_id: str
    verdict: verdict.Verdict
    status: int = 0
    body: bytes = b""
    content_type: str = "application/json"
    detail: str = ""
