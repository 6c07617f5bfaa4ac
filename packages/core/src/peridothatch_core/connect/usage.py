"""What one connection uses, and whether it exceeds its limits.

Load pattern: heads of many bytes or lines, trailers and chunk extensions without end, and
pipelined requests whose answers are not read. The parser reports where messages begin and end;
this module counts what lies between.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from peridothatch_core.connect import limits

CONNECTION_BYTES = 8_192
"""Estimated memory of a connection without a request; measured as about 5 kB."""

REQUEST_BYTES = 3_072
"""Estimated memory of a request that is not answered; measured as 1.4 kB for the shortest."""

LINE_BYTES = 160
"""Estimated memory of a header line beyond its bytes; measured as about 120 bytes."""

BODY_COPIES = 2
"""Number of copies of a body that are held until its request is answered."""

CLIENT_HEAD_SECONDS = 3.0
"""Time within which clients complete a head, by the operator's configuration."""

CLIENT_IDLE_SECONDS = 15.0
"""Time for which clients keep an idle connection, by the operator's configuration."""


class Phase(enum.Enum):
    """Part of a message that is expected next."""

    START = "start"
    HEAD = "head"
    BODY = "body"
    IDLE = "idle"


@dataclasses.dataclass(slots=True)
class _Request:
    cost_bytes: int
    is_answered: bool = False


@dataclasses.dataclass(slots=True)
class Usage:
    """What a connection uses now.

    Attributes
    ----------
    head_bytes, head_lines, framing_bytes : int
        Counted since the last message ended, or for ``framing_bytes`` since the last data.
    requests_bytes : int
        Estimated memory of the requests that are not answered.
    waiting_bytes, unread_bytes : int
        Bytes that were received and not parsed, and bytes of answers that were not sent.
    changed_at : float
        Local time in seconds at which the phase began.
    """

    phase: Phase = Phase.START
    head_bytes: int = 0
    head_lines: int = 0
    framing_bytes: int = 0
    requests_bytes: int = 0
    waiting_bytes: int = 0
    unread_bytes: int = 0
    changed_at: float = 0.0
    messages: int = 0
    answered: int = 0
    _data_bytes: int = 0
    _unanswered: collections.deque[_Request] = dataclasses.field(default_factory=collections.deque)
    _receiving: _Request | None = None

    @property
    def unanswered(self) -> int:
        """Number of requests whose answer is not complete."""
        return len(self._unanswered)


def begin_head(usage: Usage, now: float) -> None:
    """Count the beginning of a message."""
    usage.phase, usage.changed_at = Phase.HEAD, now
    usage.head_lines = 0


def add_line(usage: Usage) -> None:
    """Count a header or trailer line."""
    usage.head_lines += 1


def end_head(usage: Usage, now: float) -> None:
    """Count a request whose head is complete."""
    cost = REQUEST_BYTES + 2 * usage.head_bytes + LINE_BYTES * usage.head_lines
    usage._receiving = _Request(cost)
    usage._unanswered.append(usage._receiving)
    usage.requests_bytes += cost
    usage.phase, usage.changed_at = Phase.BODY, now
    usage.framing_bytes = 0


def add_body(usage: Usage, size: int) -> None:
    """Count data of a body; that of an answered request is discarded and takes no memory."""
    usage._data_bytes += size
    if usage._receiving is not None and not usage._receiving.is_answered:
        usage._receiving.cost_bytes += BODY_COPIES * size
        usage.requests_bytes += BODY_COPIES * size


def end_message(usage: Usage, now: float) -> None:
    """Count the end of a message."""
    usage.phase, usage.changed_at = Phase.IDLE, now
    usage.messages += 1
    usage.head_bytes = usage.head_lines = usage.framing_bytes = 0
    usage._receiving = None


def end_answer(usage: Usage, now: float) -> None:
    """Count the complete answer to the oldest request."""
    if not usage._unanswered:
        return
    request = usage._unanswered.popleft()
    request.is_answered = True
    usage.requests_bytes -= request.cost_bytes
    usage.answered += 1
    usage.changed_at = now


def add_received(
    usage: Usage, size: int, messages_before: int, bounds: limits.Limits
) -> limits.Reason | None:
    """Count parsed bytes; return the limit that they exceed.

    Bytes with the end of a message are not attributed to the next one, so that no head within
    the limits is refused. The caller parses small parts, which bounds what is left out.

    Parameters
    ----------
    messages_before : int
        Value of ``messages`` before the bytes were parsed.
    """
    data, usage._data_bytes = usage._data_bytes, 0
    if usage.messages != messages_before:
        return None
    if usage.phase is not Phase.BODY:
        usage.head_bytes += size
        return _check_head(usage, bounds)
    usage.framing_bytes = 0 if data else usage.framing_bytes + size
    return limits.Reason.FRAMING_BYTES if usage.framing_bytes > bounds.framing_bytes else None


def memory_bytes(usage: Usage) -> int:
    """Return the estimated memory of the connection."""
    head = 0
    if usage.phase is Phase.HEAD:
        head = 2 * usage.head_bytes + LINE_BYTES * usage.head_lines
    held = usage.waiting_bytes + usage.unread_bytes
    return CONNECTION_BYTES + head + usage.requests_bytes + held


def is_closable(usage: Usage) -> bool:
    """Return whether no request is in progress, so that closing interrupts nothing."""
    return usage.phase in (Phase.START, Phase.IDLE) and not usage._unanswered


def is_outside(usage: Usage, now: float) -> bool:
    """Return whether the client is outside the limits that clients observe."""
    elapsed = now - usage.changed_at
    if usage.phase is Phase.HEAD:
        return elapsed > CLIENT_HEAD_SECONDS
    return is_closable(usage) and elapsed > CLIENT_IDLE_SECONDS


def _check_head(usage: Usage, bounds: limits.Limits) -> limits.Reason | None:
    if usage.head_bytes > bounds.head_bytes:
        return limits.Reason.HEAD_BYTES
    return limits.Reason.HEAD_LINES if usage.head_lines > bounds.head_lines else None
