"""Encoding of answers as JSON, and of refusals as problem documents."""

from __future__ import annotations

import dataclasses
import json
import typing

from peridothatch_core.model import verdict
from peridothatch_daemon.intake import call

PROBLEM_CONTENT_TYPE = "application/problem+json"
RETRY_AFTER_SECONDS = "1"
HTTP_STATUS_BY_CODE = {
    verdict.Code.INVALID: 400,
    verdict.Code.UNAUTHORIZED: 401,
    verdict.Code.FORBIDDEN: 403,
    verdict.Code.NOT_FOUND: 404,
    verdict.Code.CONFLICT: 409,
    verdict.Code.TOO_LARGE: 413,
    verdict.Code.OVERLOADED: 429,
    verdict.Code.DEADLINE: 504,
    verdict.Code.UNAVAILABLE: 503,
    verdict.Code.STORE_UNAVAILABLE: 503,
    verdict.Code.NEVER_FITS: 422,
    verdict.Code.BACKEND_FAILED: 502,
    verdict.Code.INTERNAL: 500,
}


def from_refusal(refusal: verdict.Refusal, status: int = 0) -> call.Answer:
    """Return the problem document of a refusal.

    ``status`` replaces the HTTP status of the refusal's code unless it is 0.
    """
    http_status = status or HTTP_STATUS_BY_CODE[refusal.code]
    document: dict[str, typing.Any] = {
        "title": refusal.code.value,
        "status": http_status,
        "detail": refusal.detail,
        "verdict": refusal.verdict.value,
    }
    if refusal.field:
        document["field"] = refusal.field
        document["value"] = refusal.value
        document["expected"] = refusal.expected
    headers = {}
    if http_status in (429, 503):
        headers["Retry-After"] = RETRY_AFTER_SECONDS
    if http_status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return call.Answer(
        http_status, encode_json(document), PROBLEM_CONTENT_TYPE, refusal.verdict, headers
    )


def json_answer(document: typing.Any, status: int = 200) -> call.Answer:
    """Return an answer with ``document`` as its JSON body."""
    return call.Answer(status, encode_json(document))


def encode_json(document: typing.Any) -> bytes:
    """Encode ``document`` as JSON, with data classes as objects and sets as sorted lists."""
    return json.dumps(
        document, default=_to_json_type, separators=(",", ":"), allow_nan=False
    ).encode()


def _to_json_type(value: typing.Any) -> typing.Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {item.name: getattr(value, item.name) for item in dataclasses.fields(value)}
    if isinstance(value, set | frozenset):
        return sorted(value)
    return str(value)
