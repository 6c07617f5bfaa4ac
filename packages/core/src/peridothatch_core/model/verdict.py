"""Verdicts: whether a request may have run, and refusals that carry one."""

from __future__ import annotations

import dataclasses
import enum


class Verdict(enum.StrEnum):
    """Whether the work that a caller asked for may have run."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Code(enum.StrEnum):
    """Machine-readable reason of a refusal."""

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
    """Why something was refused, and whether it may have run.

    Attributes
    ----------
    verdict : Verdict
        ``NOT_RUN`` only when it is certain that nothing ran.
    code : Code
        Reason for programs.
    detail : str
        Reason for people.
    field, value, expected : str
        The offending input, empty when the refusal has another cause.
    """

    verdict: Verdict
    code: Code
    detail: str
    field: str = ""
    value: str = ""
    expected: str = ""


def not_run(code: Code, detail: str) -> Refusal:
    """Return a refusal of something that certainly did not run."""
    return Refusal(Verdict.NOT_RUN, code, detail)


def invalid(field: str, value: object, expected: str) -> Refusal:
    """Return a refusal of bad input that names the field, the value and what was expected."""
    detail = f"{field} is {value!r}; expected {expected}"
    return Refusal(Verdict.NOT_RUN, Code.INVALID, detail, field, str(value)[:200], expected)
