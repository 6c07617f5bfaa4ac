"""Encodes and decodes the rows that peridothatch writes to the store.

Other writers may leave rows in the same tables, so a row is used only if its value has the right
types, its numbers are in bounds, and it describes what its key names. All decoders raise
``ValueError`` for a row that is not usable.

msgspec builds the decoders fifty times faster than pydantic builds models, which took a tenth of
the startup time of a process.
"""

from __future__ import annotations

import dataclasses
import re
import typing

import msgspec
import orjson

from peridothatch_core.model import addresses, agents, entries, learned, steps, tables
from peridothatch_core.order import expectations, survival
from peridothatch_core.schedule import leadership

if typing.TYPE_CHECKING:
    from peridothatch_core.message import rows

JOB = msgspec.json.Decoder(steps.Job)
ORDER = msgspec.json.Decoder(steps.Order)
END = msgspec.json.Decoder(steps.End)
AGENT = msgspec.json.Decoder(agents.Agent)
ENTRY = msgspec.json.Decoder(entries.Entry)
LEASE = msgspec.json.Decoder(leadership.Lease)
RUN_TIMES = msgspec.json.Decoder(learned.RunTimes)
LASTING_SPEED = msgspec.json.Decoder(learned.LastingSpeed)

MAX_INTEGER = 2**53 - 1
"""Largest integer that all readers of JSON keep exact."""

MAX_LEARNED_BYTES = 16_384
"""Maximum size of a row of the table ``learned``; the leader writes smaller ones."""

MAX_BIN_WEIGHT = 2 * expectations.MAX_SAMPLES
"""Maximum weight of a bin of run times; the leader writes smaller ones."""

MAX_LOG_SPEED = 4.0
"""Maximum absolute logarithm of a worker's speed, a factor of 55."""

MAX_SPEED_WEIGHT = 1e6
"""Maximum number of comparisons behind a worker's speed."""

MAX_ATTEMPT_DIGITS = 9
"""Maximum number of digits of an attempt in the key of an order."""

_LONG_NUMBER = re.compile(rb"[:\[,]\s*-?[0-9]{16}")
"""Finds the values that may hold an integer above the maximum; strings may match as well."""


def encode(value: typing.Any) -> bytes:
    """Return the row value of a data class, which may be nested, or of a string."""
    return orjson.dumps(value)


def decode(decoder: msgspec.json.Decoder[typing.Any], value: bytes) -> typing.Any:
    """Decode a row value into its data class.

    Raises
    ------
    ValueError
        The value is not a valid row of this type.
    """
    try:
        found = decoder.decode(value)
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error
    if _LONG_NUMBER.search(value):
        _check_integers(found)
    match found:
        case agents.Agent(worker=agents.Worker(capacity=capacity)):
            if min(capacity.cpu_millis, capacity.memory_mb, capacity.accelerators) < 0:
                raise ValueError(f"capacity is {capacity}; expected no negative numbers")
        case entries.Entry():
            addresses.parse(found.callers)
            if found.internal:
                addresses.parse(found.internal)
        case learned.RunTimes() | learned.LastingSpeed():
            _check_learned(found, len(value))
    return found


def decode_row(row: rows.Row) -> typing.Any:
    """Decode a row of the tables ``work``, ``members`` and ``learned``, which must match its key.

    Returns
    -------
    Job, End, Agent, Entry, Lease, RunTimes or LastingSpeed, or None
        ``None`` for a deleted row and for a key that has no record.

    Raises
    ------
    ValueError
        The row cannot be used.
    """
    if row.value is None:
        return None
    for prefix, decoder, key_of in _RECORDS:
        if row.key.startswith(prefix):
            found = decode(decoder, row.value)
            if key_of(found) not in ("", row.key):
                raise ValueError(f"the value belongs to the key {key_of(found)[:100]!r}")
            return found
    return None


def decode_order(row: rows.Row) -> steps.Order:
    """Decode the row of an order or of its stop, which must match its key.

    Raises
    ------
    ValueError
        The row cannot be used.
    """
    order = decode(ORDER, row.value or b"")
    key, _ = parse_run_key(row.key)
    if (order.task, order.attempt) != key:
        raise ValueError(f"the order is for the run {order.task[:100]!r}/{order.attempt}")
    return order


def parse_run_key(key: str) -> tuple[tuple[str, int], bool]:
    """Return the run that an order's row belongs to, and whether the row is a stop.

    Raises
    ------
    ValueError
        The key is not that of an order.
    """
    _, *parts = key.split("/")
    is_stop = parts[2:] == [tables.STOP_SUFFIX.removeprefix("/")]
    is_run = len(parts) == 2 or is_stop
    if not is_run or not parts[1].isdecimal() or len(parts[1]) > MAX_ATTEMPT_DIGITS:
        raise ValueError("the key is not that of an order")
    return (parts[0], int(parts[1])), is_stop


def _check_learned(found: learned.RunTimes | learned.LastingSpeed, size: int) -> None:
    """Raise ``ValueError`` if learned values are out of bounds; comparisons reject NaN."""
    if size > MAX_LEARNED_BYTES:
        raise ValueError(f"the value has {size} bytes; expected at most {MAX_LEARNED_BYTES}")
    if isinstance(found, learned.RunTimes):
        for index, weight in found.bins:
            if not (0 <= index <= survival.MAX_BIN and 0 < weight <= MAX_BIN_WEIGHT):
                raise ValueError(f"the bin {index} has the weight {weight}")
        return
    if not (
        found.started_ms >= 0
        and abs(found.log_ratio) <= MAX_LOG_SPEED
        and 0 <= found.weight <= MAX_SPEED_WEIGHT
    ):
        raise ValueError(f"the speed is {found.log_ratio} with the weight {found.weight}")


def _check_integers(value: typing.Any) -> None:
    """Raise ``ValueError`` if a number in a value, which may be nested, is out of bounds."""
    if isinstance(value, int):
        if abs(value) > MAX_INTEGER:
            raise ValueError(f"a number has {value.bit_length()} bits; expected at most 53")
    elif dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            _check_integers(getattr(value, field.name))
    elif isinstance(value, list | tuple):
        for item in value:
            _check_integers(item)


_RECORDS: tuple[
    tuple[str, msgspec.json.Decoder[typing.Any], typing.Callable[[typing.Any], str]], ...
] = (
    (tables.JOB_PREFIX, JOB, lambda job: tables.job_key(job.id).key),
    (tables.END_PREFIX, END, lambda end: tables.end_key(end.task, end.attempt).key),
    (tables.AGENT_PREFIX, AGENT, lambda agent: tables.agent_key(agent.node).key),
    (tables.ENTRY_PREFIX, ENTRY, lambda entry: tables.entry_key(entry.node).key),
    (
        tables.RUN_TIMES_PREFIX,
        RUN_TIMES,
        lambda found: tables.run_times_key(found.customer, found.queue).key,
    ),
    (tables.SPEED_PREFIX, LASTING_SPEED, lambda found: tables.speed_key(found.node).key),
    (tables.EPOCH_KEY.key, LEASE, lambda _: ""),
    (tables.LEASE_KEY.key, LEASE, lambda _: ""),
)
