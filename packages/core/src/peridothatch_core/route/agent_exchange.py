"""Events and effects of request routing on the agent side."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import backend, request

# Status codes of ``NOT_RUN`` answers. They let an entry distinguish overload and a planned stop
# from an unreachable backend server.
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
    """A call returned a complete answer to the request ``answered_id``."""

    request_id: str
    answered_id: str
    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotServed:
    """A call ended without a complete answer.

    Attributes
    ----------
    status : int
        ``BUSY_STATUS`` or ``UNREACHABLE_STATUS`` if the request certainly did not run; 0 if it
        may have run.
    """

    request_id: str
    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSeen:
    """The backend server was polled; ``server`` is ``None`` if it did not respond."""

    server: backend.BackendServer | None


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """The periodic heartbeat to the entries is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the state is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """The agent stops; new requests are refused."""


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
    """Send a request to the backend server, with a timeout of ``timeout_seconds``."""

    request: request.Request
    timeout_seconds: float


Effect = Send | Call
