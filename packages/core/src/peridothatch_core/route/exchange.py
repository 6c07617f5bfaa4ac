"""Events and effects of request routing on the entry side."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link, store
    from peridothatch_core.model import request
    from peridothatch_core.route import flight


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """A caller submits a request; ``tag`` identifies the caller in ``Reply``."""

    tag: int
    request: request.Request
    idempotency_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Find:
    """A caller looks up the outcome of a request; an empty customer stands for an operator."""

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
    """A ``Dispatch`` message was dropped before it left this process."""

    peer_id: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """The row of an idempotency key.

    Attributes
    ----------
    answer : request.Answer or None
        The stored answer; ``None`` until the request has ended.
    answer_dropped : bool
        Whether the request ran but its answer was too large for the row.
    """

    request_id: str
    entry_id: str
    digest: str
    answer: request.Answer | None = None
    answer_dropped: bool = False
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Result of ``Claim``; ``row`` is the conflicting row, if there is one."""

    request_id: str
    outcome: store.Outcome
    row: ClaimRow | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Result of ``Settle``."""

    request_id: str
    outcome: store.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Configured:
    """A new configuration applies; ``data_centres_out`` names those that are out of service."""

    customer_count: int
    data_centres_out: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the state is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """The entry stops; new requests are refused."""


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
    """Reply to a caller with the outcome."""

    tag: int
    outcome: flight.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Write the row of an idempotency key if its version is ``row.version`` (0: no row)."""

    customer: str
    key: str
    row: ClaimRow
    attempt: int
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Write the outcome to a claimed row, or delete the row if ``None``: nothing ran."""

    customer: str
    key: str
    request_id: str
    row: ClaimRow | None


Effect = Send | Reply | Claim | Settle
