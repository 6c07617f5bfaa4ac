"""Events that the entry side of requests handles, and effects that it asks for."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link, store
    from peridothatch_core.model import request
    from peridothatch_core.route import flight


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """A caller wants a request served; ``tag`` names the caller in ``Reply``."""

    tag: int
    request: request.Request
    idempotency_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Find:
    """A caller asks for the outcome of an earlier request; an empty customer is an operator."""

    tag: int
    request_id: str
    customer: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """A peer is connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """A peer is no longer connected."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from a peer."""

    peer: link.Hello
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """A ``Dispatch`` was dropped inside this process, so the agent never gets it."""

    peer_id: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """The row of an idempotency key.

    Attributes
    ----------
    answer : request.Answer or None
        The recorded outcome; ``None`` until the request has ended.
    answer_dropped : bool
        The request ran, and its answer was too large for the row.
    """

    request_id: str
    entry_id: str
    digest: str
    answer: request.Answer | None = None
    answer_dropped: bool = False
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Outcome of ``Claim``; ``row`` is the row in the way after a conflict."""

    request_id: str
    outcome: store.Outcome
    row: ClaimRow | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Outcome of ``Settle``."""

    request_id: str
    outcome: store.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Configured:
    """A newer configuration is in force; ``out`` names data centres that are not in service."""

    customer_count: int
    data_centres_out: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the state is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests."""


Event = (
    Submitted | Find | PeerUp | PeerDown | Received | Unsent | Claimed | Settled | Configured
    | Tick | Drain
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer."""

    peer_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Tell a caller the outcome."""

    tag: int
    outcome: flight.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Write the row of an idempotency key if it has ``row.version`` (0 = absent)."""

    customer: str
    key: str
    row: ClaimRow
    attempt: int
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Record the outcome in a claimed row, or delete the row when nothing ran (``None``)."""

    customer: str
    key: str
    request_id: str
    row: ClaimRow | None


Effect = Send | Reply | Claim | Settle
