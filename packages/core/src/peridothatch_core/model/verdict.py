"""Verdicts on whether a request may have run, and refusals with a verdict."""

from __future__ import annotations

import dataclasses
import enum


class Verdict(enum.StrEnum):
    """Whether the requested work may have run."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Code(enum.StrEnum):
    """Machine-readable reason for a refusal."""

    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UNAVAILABLE = "unavailable"
    STORE_UNAVAILABLE = "store_unavailable"
    NEVER_FITS = "never_fits"
    BACKEND_FAILED = "backend_failed"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reason for which a request was refused, and whether it may have run.

    Attributes
    ----------
    verdict : Verdict
        ``NOT_RUN`` only if it is certain that nothing ran.
    code : Code
        Machine-readable reason.
    detail : str
        Human-readable reason.
    field, value, expected : str
        Name and value of the invalid input, and the value that was expected; empty if the
        refusal has another cause.
    """

    verdict: Verdict
    code: Code
    detail: str
    field: str = ""
    value: str = ""
    expected: str = ""


def not_run(code: Code, detail: str) -> Refusal:
    """Return a refusal of a request that is known not to have run."""
    return Refusal(Verdict.NOT_RUN, code, detail)


def invalid(field: str, value: object, expected: str) -> Refusal:
    """Return a refusal of invalid input with its field, value and expected value."""
    detail = f"{field} is {value!r}; expected {expected}"
    return Refusal(Verdict.NOT_RUN, Code.INVALID, detail, field, str(value)[:200], expected)
