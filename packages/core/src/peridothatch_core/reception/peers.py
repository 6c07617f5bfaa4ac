"""Selects other entries to forward calls to while this entry cannot reach the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import verdict

if typing.TYPE_CHECKING:
    from peridothatch_core.model import entries
    from peridothatch_core.reception import calls

MAX_ATTEMPTS = 2
"""Most entries that a call is forwarded to, one after the other."""

UNAVAILABLE_SECONDS = 2.0
"""Time without calls to an entry that gave no answer or cannot reach the store either."""


@dataclasses.dataclass(slots=True)
class Peers:
    """The other entries, as this entry knows them.

    Attributes
    ----------
    own_node : str
        Node of this entry.
    addresses : dict
        Address at which each entry takes calls, by node.
    leader : str
        Node that held the leader lease when the lease was last read.
    unavailable_until : dict
        Local time in seconds until which an entry gets no calls, by node.
    internal_addresses : dict
        Address at which each entry answers other entries, by node.
    """

    own_node: str
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    leader: str = ""
    unavailable_until: dict[str, float] = dataclasses.field(default_factory=dict)
    internal_addresses: dict[str, str] = dataclasses.field(default_factory=dict)


def can_forward(answer: calls.Answer | None) -> bool:
    """Return whether a call should be forwarded, because it failed for lack of the store.

    Submissions and cancellations are idempotent, so a call that may have been carried out can be
    forwarded as well.
    """
    return isinstance(answer, verdict.Refusal) and answer.code is verdict.Code.STORE_UNAVAILABLE


def register(peers: Peers, entry: entries.Entry) -> None:
    """Take over the addresses of an entry from its row."""
    peers.addresses[entry.node] = entry.callers
    if entry.internal:
        peers.internal_addresses[entry.node] = entry.internal
    else:
        peers.internal_addresses.pop(entry.node, None)


def candidates(peers: Peers, now: float) -> list[str]:
    """Return the nodes to try in order, the leader first, because it used the store recently."""
    others = [
        node
        for node in peers.addresses
        if node != peers.own_node and peers.unavailable_until.get(node, 0.0) <= now
    ]
    others.sort(key=lambda node: (node != peers.leader, node))
    return others[:MAX_ATTEMPTS]


def mark_unavailable(peers: Peers, node: str, now: float) -> None:
    """Send an entry no calls for ``UNAVAILABLE_SECONDS``."""
    peers.unavailable_until[node] = now + UNAVAILABLE_SECONDS
