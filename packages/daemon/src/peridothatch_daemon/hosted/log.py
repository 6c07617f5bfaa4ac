"""Structured logging: one JSON line for each event.

The volume is limited, and a write never blocks: lines that cannot be written at once are dropped
and counted.
"""

from __future__ import annotations

import os
import typing

import eliot
import orjson

from peridothatch_daemon.hosted import clock

LINES_PER_SECOND = 200.0
"""Sustained rate above which lines are dropped and counted."""

BURST_LINES = 1000.0
"""Number of lines that may exceed the sustained rate in a burst."""

UNREADABLE_INTERVAL_SECONDS = 10.0
"""Interval at which the same unreadable input is logged again."""

MAX_UNREADABLE = 256
"""Maximum number of unreadable inputs whose last log line is remembered."""

STANDARD_OUTPUT = 1

_unreadable_until: dict[tuple[str, str], float] = {}


class _RateLimiter:
    """Token bucket that limits the number of log lines of the process."""

    __slots__ = ("_allowance", "_dropped", "_filled_at")

    def __init__(self) -> None:
        self._allowance = BURST_LINES
        self._dropped = 0
        self._filled_at = clock.now()


def start(node: str) -> None:
    """Write the messages of eliot to standard output as JSON, one per line."""
    os.set_blocking(STANDARD_OUTPUT, False)
    limiter = _RateLimiter()

    def write(message: dict[str, typing.Any]) -> None:
        _write(limiter, node, message)

    eliot.add_destinations(write)


def event(message_type: str, **fields: typing.Any) -> None:
    """Log an event of the given type with its fields."""
    eliot.log_message(message_type=message_type, **fields)


def feed_lost(table: str, reason: str) -> None:
    """Log that a request of a table's feed has failed."""
    event("feed:lost", table=table, reason=reason)


def feed_regained(table: str) -> None:
    """Log that requests of a table's feed succeed again."""
    event("feed:regained", table=table)


def unreadable(source: str, key: str, reason: str) -> None:
    """Log that an input of another writer was skipped, at a bounded rate for each key."""
    now = clock.now()
    known = (source, key[:200])
    if _unreadable_until.get(known, 0.0) > now:
        return
    _unreadable_until.pop(known, None)
    while len(_unreadable_until) >= MAX_UNREADABLE:
        _unreadable_until.pop(next(iter(_unreadable_until)))
    _unreadable_until[known] = now + UNREADABLE_INTERVAL_SECONDS
    event("input:unreadable", source=source, key=known[1], reason=reason[:500])


def _write(limiter: _RateLimiter, node: str, message: dict[str, typing.Any]) -> None:
    now = clock.now()
    refill = (now - limiter._filled_at) * LINES_PER_SECOND
    limiter._allowance = min(BURST_LINES, limiter._allowance + refill)
    limiter._filled_at = now
    if limiter._allowance < 1.0:
        limiter._dropped += 1
        return
    limiter._allowance -= 1.0
    line = {"node": node, **message}
    line.pop("task_uuid", None)
    line.pop("task_level", None)
    if limiter._dropped:
        line["lines_dropped_before"] = limiter._dropped
    try:
        os.write(STANDARD_OUTPUT, orjson.dumps(line, default=str) + b"\n")
        limiter._dropped = 0
    except BlockingIOError:
        limiter._dropped += 1
