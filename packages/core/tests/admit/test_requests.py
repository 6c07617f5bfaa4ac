"""Guards against requests that exceed a limit, and refusals that do not name the field."""

import pytest

from peridothatch_core.admit import requests
from peridothatch_core.model import request, verdict


def call(**fields):
    given = {"budget_seconds": 5.0, "service": "notices", "body": b""} | fields
    return request.Request(id="e.i.1", customer="pole", idempotent=True, **given)


@pytest.mark.parametrize("milliseconds", [1, 600_000])
def test_the_limits_themselves_are_accepted(milliseconds):
    given = call(budget_seconds=milliseconds / 1000, body=b"x" * requests.MAX_BODY_BYTES)
    assert requests.check(given, "k" * requests.MAX_KEY_CHARACTERS).unwrap() is given


@pytest.mark.parametrize(
    ("fields", "key", "field", "code"),
    [
        ({"budget_seconds": 0.0009}, "", "Peridothatch-Deadline-Ms", verdict.Code.INVALID),
        ({"budget_seconds": 600.1}, "", "Peridothatch-Deadline-Ms", verdict.Code.INVALID),
        ({"budget_seconds": float("nan")}, "", "Peridothatch-Deadline-Ms", verdict.Code.INVALID),
        ({"body": b"x" * (2**20 + 1)}, "", "body", verdict.Code.TOO_LARGE),
        ({"service": ""}, "", "service", verdict.Code.INVALID),
        ({"service": "No/Such"}, "", "service", verdict.Code.INVALID),
        ({"service": "s" * 64}, "", "service", verdict.Code.INVALID),
        ({}, "k" * 201, "Idempotency-Key", verdict.Code.INVALID),
        ({}, "a\n", "Idempotency-Key", verdict.Code.INVALID),
        ({}, "\u00e4", "Idempotency-Key", verdict.Code.INVALID),
    ],
)
def test_a_refusal_names_field_value_and_what_was_expected(fields, key, field, code):
    refusal = requests.check(call(**fields), key).unwrap_err()
    assert (refusal.field, refusal.code) == (field, code)
    assert refusal.verdict is verdict.Verdict.NOT_RUN
    assert refusal.expected
