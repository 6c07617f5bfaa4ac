"""To which other entry a call goes when this one has lost the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import verdict

if typing.TYPE_CHECKING:
    from peridothatch_core.reception import calls

TRIES = 2
"""Entries that a call is passed on to, one after the other."""

AVOID_SECONDS = 2.0
"""Time for which an entry that gave no answer, or has lost the store as well, is not asked."""


@dataclasses.dataclass(slots=True)
class Peers:
    """What an entry knows of the others.

    Attributes
    ----------
    me : str
        Its own node.
    addresses : dict
        Addresses for callers by node.
    leader : str
        Node that held the lease of the leadership when it was last seen.
    avoid_until : dict
        Local seconds until which an entry is not asked, by node.
    """

    me: str
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    leader: str = ""
    avoid_until: dict[str, float] = dataclasses.field(default_factory=dict)


def can_forward(answer: calls.Answer | None) -> bool:
    """Tell whether another entry may serve a call better.

    Submissions and cancellations are idempotent, so one that may have been carried out can be
    passed on as well.
    """
    return isinstance(answer, verdict.Refusal) and answer.code is verdict.Code.STORE_UNAVAILABLE


def with_unknown_outcome(answer: calls.Answer | None) -> calls.Answer | None:
    """Return an answer for a call that another entry may have carried out without saying so."""
    if not isinstance(answer, verdict.Refusal):
        return answer
    return dataclasses.replace(answer, verdict=verdict.Verdict.MAY_HAVE_RUN)


def candidates(peers: Peers, now: float) -> list[str]:
    """Return the nodes to ask in turn; the leader comes first, because it had the store lately."""
    others = [
        node
        for node in peers.addresses
        if node != peers.me and peers.avoid_until.get(node, 0.0) <= now
    ]
    others.sort(key=lambda node: (node != peers.leader, node))
    return others[:TRIES]


def mark_unavailable(peers: Peers, node: str, now: float) -> None:
    """Ask an entry no more for a while."""
    peers.avoid_until[node] = now + AVOID_SECONDS
