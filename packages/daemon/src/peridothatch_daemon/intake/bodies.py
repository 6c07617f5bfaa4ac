"""Decoding and validation of JSON bodies and query parameters."""

from __future__ import annotations

import json
import math
import re
import typing

import pydantic
import result

from peridothatch_core.model import verdict

if typing.TYPE_CHECKING:
    from peridothatch_daemon.intake import call

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")


class _AmbiguousError(ValueError):
    """JSON that parsers interpret differently: a repeated key or a non-finite number."""

    def __init__(self, field: str, value: str, expected: str) -> None:
        super().__init__(field)
        self.refusal = verdict.invalid(field, value, expected)


def decode(body: bytes) -> result.Result[typing.Any, verdict.Refusal]:
    """Decode a JSON body; repeated keys and non-finite numbers are refused."""
    try:
        value = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except _AmbiguousError as error:
        return result.Err(error.refusal)
    except UnicodeDecodeError as error:
        return result.Err(verdict.invalid("body", f"byte {error.start}", "UTF-8 text"))
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}: {error.msg}"
        return result.Err(verdict.invalid("body", place, "one JSON object"))
    except (ValueError, RecursionError):
        expected = "numbers of at most 4300 digits and shallow nesting"
        return result.Err(verdict.invalid("body", "JSON text", expected))
    infinite = _find_infinite(value, ())
    if infinite is not None:
        field = ".".join(infinite) or "body"
        return result.Err(verdict.invalid(field, "an infinite number", "a finite number"))
    return result.Ok(value)


def validate(
    model: type[pydantic.BaseModel], body: bytes
) -> result.Result[pydantic.BaseModel, verdict.Refusal]:
    """Validate a JSON body against ``model``; a refusal names the first invalid field."""
    decoded = decode(body)
    if isinstance(decoded, result.Err):
        return decoded
    try:
        return result.Ok(model.model_validate(decoded.ok_value))
    except pydantic.ValidationError as error:
        return result.Err(_validation_refusal(error))


def parse_query(
    items: list[tuple[str, str]], parameters: tuple[call.Parameter, ...]
) -> result.Result[dict[str, str], verdict.Refusal]:
    """Return the query parameters by name; unknown and repeated ones are refused."""
    known = {item.name for item in parameters if item.location == "query"}
    found: dict[str, str] = {}
    for name, value in items:
        if name not in known:
            expected = f"one of {', '.join(sorted(known))}" if known else "no query parameters"
            return result.Err(verdict.invalid(name, value, expected))
        if name in found:
            return result.Err(verdict.invalid(name, value, "each parameter once"))
        found[name] = value
    return result.Ok(found)


def parse_number(
    values: typing.Mapping[str, str], name: str, default: float, maximum: float
) -> result.Result[float, verdict.Refusal]:
    """Return a query parameter as a number from 0 to ``maximum``, or ``default`` if absent."""
    text = values.get(name)
    if text is None:
        return result.Ok(default)
    if not _DECIMAL.fullmatch(text) or float(text) > maximum:
        return result.Err(verdict.invalid(name, text, f"a number from 0 to {maximum:g}"))
    return result.Ok(float(text))


def _validation_refusal(error: pydantic.ValidationError) -> verdict.Refusal:
    first = error.errors(include_url=False, include_context=False)[0]
    field = ".".join(str(part) for part in first["loc"]) or "body"
    if first["type"] == "missing":
        return verdict.invalid(field, "missing", "a value")
    if first["type"] == "extra_forbidden":
        return verdict.invalid(field, first["input"], "no such field")
    return verdict.invalid(field, first["input"], first["msg"].removeprefix("Input should be "))


def _find_infinite(value: typing.Any, path: tuple[str, ...]) -> tuple[str, ...] | None:
    """Return the path of a number such as 1e999, which JSON allows but no float holds."""
    if isinstance(value, float):
        return None if math.isfinite(value) else path
    items: typing.Iterable[tuple[typing.Any, typing.Any]] = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, item in items:
        found = _find_infinite(item, (*path, str(name)))
        if found is not None:
            return found
    return None


def _reject_duplicate_keys(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    names: dict[str, typing.Any] = {}
    for name, value in pairs:
        if name in names:
            raise _AmbiguousError(name, "given twice", "each field once")
        names[name] = value
    return names


def _reject_constant(text: str) -> typing.Any:
    raise _AmbiguousError("body", text, "a finite number")
