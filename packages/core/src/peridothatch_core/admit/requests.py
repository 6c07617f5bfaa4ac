"""Limits that a request must keep."""

from __future__ import annotations

import re

import result

from peridothatch_core.model import request, verdict

BODY_LIMIT_BYTES = 1024 * 1024
SHORTEST_DEADLINE_MS = 1
LONGEST_DEADLINE_MS = 600_000
KEY_LIMIT_CHARACTERS = 200

_SERVICE = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_KEY = re.compile(rf"[ -~]{{1,{KEY_LIMIT_CHARACTERS}}}")


def check(
    call: request.Request, idempotency_key: str = ""
) -> result.Result[request.Request, verdict.Refusal]:
    """Return the request when it keeps the limits, or a refusal that names the field."""
    if not _SERVICE.fullmatch(call.service):
        expected = "1 to 63 lower-case letters, digits and hyphens, a hyphen not first"
        return result.Err(verdict.invalid("service", call.service, expected))
    if len(call.body) > BODY_LIMIT_BYTES:
        return result.Err(_too_large(len(call.body)))
    deadline_ms = call.budget_seconds * 1000
    if not SHORTEST_DEADLINE_MS <= deadline_ms <= LONGEST_DEADLINE_MS:
        expected = f"{SHORTEST_DEADLINE_MS} to {LONGEST_DEADLINE_MS} ms"
        return result.Err(
            verdict.invalid("Peridothatch-Deadline-Ms", f"{deadline_ms:g}", expected)
        )
    if idempotency_key and not _KEY.fullmatch(idempotency_key):
        expected = f"1 to {KEY_LIMIT_CHARACTERS} printable ASCII characters"
        return result.Err(verdict.invalid("Idempotency-Key", idempotency_key, expected))
    return result.Ok(call)


def _too_large(length: int) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Code.TOO_LARGE,
        f"the body has {length} bytes; expected at most {BODY_LIMIT_BYTES}",
        "body",
        f"{length} bytes",
        f"at most {BODY_LIMIT_BYTES} bytes",
    )
