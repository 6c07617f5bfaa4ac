"""Limits of one connection and of all connections of a process.

Load pattern: clients that nobody controls send heads, trailers and requests without end, leave
answers unread, or open connections until memory or descriptors are used up.
"""

from __future__ import annotations

import dataclasses
import enum

CONNECTION_MEMORY_SHARE = 0.2
"""Share of the machine's memory for connections. A process without clients takes 61 MB of the
168 MB of the smallest machine, and tables and feeds of a large fleet need the rest."""

OWN_DESCRIPTORS = 256
"""Descriptors kept for listeners, the store and other processes; 17 are open without clients."""

OWN_DESCRIPTORS_SHARE = 1 / 3
"""Upper bound on ``OWN_DESCRIPTORS`` as a share of all descriptors."""

MAX_ACCEPT_BATCH = 64
"""Maximum number of connections that a listener accepts in one turn of the event loop."""

ACCEPTED_SHARE = 1 / 32
"""Accept batch of a listener as a share of the descriptors for clients."""

TURNS_TO_REFUSE = 4
"""Turns of the event loop from the acceptance of a connection until a refusal has closed it."""

LISTENER_SHARE = 7 / 8
"""Share of all connections that one listener may hold, so that probes and heartbeats still
connect while callers use up theirs."""

ADDRESS_SHARE = 3 / 4
"""Share of all connections that one address may hold. It is large because a balancer may connect
on behalf of many callers."""


class Reason(enum.StrEnum):
    """Why a connection was refused or closed; each reason is a counter."""

    HEAD_BYTES = "head_bytes"
    HEAD_LINES = "head_lines"
    HEAD_TIME = "head_time"
    FRAMING_BYTES = "framing_bytes"
    BODY_TIME = "body_time"
    BODY_AFTER_ANSWER = "body_after_answer"
    UNREAD_TIME = "unread_time"
    IDLE_TIME = "idle_time"
    MALFORMED = "malformed"
    ERROR = "error"
    BUDGET_CONNECTIONS = "budget_connections"
    BUDGET_ADDRESS = "budget_address"
    BUDGET_MEMORY = "budget_memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one connection.

    Attributes
    ----------
    head_bytes, head_lines : int
        Size of a head, including empty lines before it, and number of its header lines. Within
        16,384 bytes there are at most 4,096 lines.
    head_seconds : float
        Time from the first byte of a head to its end. Clients observe 3 s; the rest covers a
        process that was paused and slow links.
    first_byte_seconds : float
        Time from the connection to the first byte of a head.
    idle_seconds : float
        Time without a request after an answer. Clients observe 15 s.
    framing_bytes : int
        Number of bytes in a row of a body that carry no data: chunk extensions and trailers.
    body_seconds : float
        Time from the end of a head to the end of the body.
    linger_seconds : float
        Time for which the rest of a body is discarded after its request was answered.
    unread_seconds : float
        Time within which a client reads enough of its answers to continue, and the rest of them
        when the connection closes.
    pipelined_requests : int
        Number of unanswered requests at which reading pauses.
    """

    head_bytes: int = 16_384
    head_lines: int = 4_096
    head_seconds: float = 5.0
    first_byte_seconds: float = 30.0
    idle_seconds: float = 30.0
    framing_bytes: int = 16_384
    body_seconds: float = 30.0
    linger_seconds: float = 5.0
    unread_seconds: float = 30.0
    pipelined_requests: int = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Limits over all connections of a process.

    Attributes
    ----------
    accept_batch : int
        Number of connections that a listener accepts in one turn of the event loop.
    memory_bytes : int
        Estimated memory of all connections with their requests and unread answers.
    """

    connections: int
    connections_per_listener: int
    connections_per_address: int
    accept_batch: int
    memory_bytes: int


def derive_budget(memory_bytes: int, descriptors: int, listeners: int) -> Budget:
    """Return the budget of a process on a machine with this memory and these descriptors."""
    own = min(OWN_DESCRIPTORS, int(descriptors * OWN_DESCRIPTORS_SHARE))
    batch = max(1, min(MAX_ACCEPT_BATCH, int((descriptors - own) * ACCEPTED_SHARE)))
    connections = max(1, descriptors - own - TURNS_TO_REFUSE * batch * listeners)
    return Budget(
        connections,
        max(1, int(connections * LISTENER_SHARE)),
        max(1, int(connections * ADDRESS_SHARE)),
        batch,
        int(memory_bytes * CONNECTION_MEMORY_SHARE),
    )
