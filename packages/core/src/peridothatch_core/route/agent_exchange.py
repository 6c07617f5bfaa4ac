"""Events that the agent side of requests handles, and effects that it asks for."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import backend, request

# Statuses of ``NOT_RUN`` answers, so that an entry can tell load and a planned stop from a dead
# backend server.
BUSY_STATUS = 503
UNREACHABLE_STATUS = 502
LEAVING_STATUS = 410


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """An entry is connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """An entry is no longer connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from an entry."""

    peer: link.Hello
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """A call ended with a whole answer, which names the request ``answered_id``."""

    request_id: str
    answered_id: str
    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotServed:
    """A call ended without a whole answer.

    Attributes
    ----------
    status : int
        ``BUSY_STATUS`` or ``UNREACHABLE_STATUS`` when the request certainly did not run; 0 when
        it may have run.
    """

    request_id: str
    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSeen:
    """The backend server described itself, or did not answer (``None``)."""

    server: backend.BackendServer | None


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """It is time to tell the entries that the agent is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the state is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests."""


Event = (
    PeerUp | PeerDown | Received | Served | NotServed | ServerSeen | HeartbeatDue | Tick | Drain
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an entry."""

    peer_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Pass a request to the backend server; the call ends within ``timeout_seconds``."""

    request: request.Request
    timeout_seconds: float


Effect = Send | Call
