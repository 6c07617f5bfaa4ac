"""Checks requests against their limits."""

from __future__ import annotations

import re

import result

from peridothatch_core.model import request, verdict

MAX_BODY_BYTES = 1024 * 1024
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 600_000
MAX_KEY_CHARACTERS = 200

_SERVICE = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_KEY = re.compile(rf"[ -~]{{1,{MAX_KEY_CHARACTERS}}}")


def check(
    call: request.Request, idempotency_key: str = ""
) -> result.Result[request.Request, verdict.Refusal]:
    """Return the request if it is within the limits, or a refusal that names the field."""
    if not _SERVICE.fullmatch(call.service):
        expected = "1 to 63 lower-case letters, digits and hyphens, a hyphen not first"
        return result.Err(verdict.invalid("service", call.service, expected))
    if len(call.body) > MAX_BODY_BYTES:
        return result.Err(_body_too_large(len(call.body)))
    deadline_ms = call.budget_seconds * 1000
    if not MIN_DEADLINE_MS <= deadline_ms <= MAX_DEADLINE_MS:
        expected = f"{MIN_DEADLINE_MS} to {MAX_DEADLINE_MS} ms"
        return result.Err(
            verdict.invalid("Peridothatch-Deadline-Ms", f"{deadline_ms:g}", expected)
        )
    if idempotency_key and not _KEY.fullmatch(idempotency_key):
        expected = f"1 to {MAX_KEY_CHARACTERS} printable ASCII characters"
        return result.Err(verdict.invalid("Idempotency-Key", idempotency_key, expected))
    return result.Ok(call)


def _body_too_large(length: int) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Code.TOO_LARGE,
        f"the body has {length} bytes; expected at most {MAX_BODY_BYTES}",
        "body",
        f"{length} bytes",
        f"at most {MAX_BODY_BYTES} bytes",
    )
