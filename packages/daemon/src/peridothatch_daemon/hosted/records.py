"""Encoding of the product's rows."""

from __future__ import annotations

import typing

import orjson
import pydantic

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import leadership

JOB = pydantic.TypeAdapter(steps.Job)
ORDER = pydantic.TypeAdapter(steps.Order)
END = pydantic.TypeAdapter(steps.End)
AGENT = pydantic.TypeAdapter(agents.Agent)
LEASE = pydantic.TypeAdapter(leadership.Lease)


def encode(value: typing.Any) -> bytes:
    """Return the row value of a data class, of nested ones, or of a text."""
    return orjson.dumps(value)


def decode(adapter: pydantic.TypeAdapter[typing.Any], value: bytes) -> typing.Any:
    """Return the data class of a row value.

    Raises
    ------
    ValueError
        The value is not such a row.
    """
    return adapter.validate_json(value)
