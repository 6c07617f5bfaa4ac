"""Specification: a call that several entries try to serve is never refused untruly.

An entry commits a call; the commit may be applied, lost, or applied after the entry has given up.
The entry then forwards the call to a peer, which may serve it, refuse it because its desired state
is newer, or leave it unanswered. After a refusal the entry may look up the row of the call.
"""

from __future__ import annotations

import typing

import minicheck

PEERS = 2

GUARDS = {
    "an unknown commit outweighs a refusal": "true_not_run",
    "an unanswered peer may have served the call": "true_not_run",
    "an absent row does not prove that nothing ran": "true_not_run",
    "a row that was found is reported as accepted": "served_when_known",
}


class State(typing.NamedTuple):
    """State of the store, the messages in flight and the entry that took the call.

    ``stored`` is the row of the call. ``delayed`` counts writes that may still be applied.
    ``own`` is the entry's own attempt: none, refused, unknown or committed. ``unknown`` means
    that some attempt ended without certainty. ``peers_left`` counts the peers to be tried.
    ``refused_by_peer`` allows a lookup, and ``found`` is its result. ``told`` is the answer:
    accepted, not_run or may_have_run.
    """

    stored: int = 0
    delayed: int = 0
    own: str = "none"
    unknown: int = 0
    peers_left: int = PEERS
    refused_by_peer: int = 0
    found: str = ""
    told: str = ""


def protocol(removed: frozenset[str] = frozenset()) -> minicheck.Protocol:
    """Return the specification without the guards in ``removed``."""
    return minicheck.Protocol(
        name="forwarding",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_transitions(State(*state), removed)),
        invariants={
            "true_not_run": lambda state: not (state["told"] == "not_run" and state["stored"]),
            "true_accepted": lambda state: state["told"] != "accepted" or state["stored"],
            "served_when_known": lambda state: (
                not (state["found"] == "present" and state["told"] not in ("", "accepted"))
            ),
        },
    )


def _transitions(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if state.delayed:
        yield "a delayed write is applied", state._replace(stored=1, delayed=state.delayed - 1)
        yield "a delayed write is lost", state._replace(delayed=state.delayed - 1)
    if state.told:
        return
    if state.own == "none":
        yield from _commit(state, removed)
        return
    if state.own == "committed":
        yield "the entry accepts the call", state._replace(told="accepted")
        return
    if state.peers_left and not state.refused_by_peer:
        yield from _forward(state, removed)
    if state.refused_by_peer and state.unknown and not state.found:
        found = "present" if state.stored else "absent"
        yield f"the row is {found}", state._replace(found=found)
    yield "the entry answers", state._replace(told=_answer(state, removed))


def _commit(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    unknown = int("an unknown commit outweighs a refusal" not in removed)
    yield "the commit is refused", state._replace(own="refused")
    yield "the commit is applied", state._replace(own="committed", stored=1)
    yield (
        "the commit is applied, its answer is lost",
        state._replace(own="unknown", unknown=unknown, stored=1),
    )
    yield "the commit is delayed", state._replace(own="unknown", unknown=unknown, delayed=1)


def _forward(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    tried = state._replace(peers_left=state.peers_left - 1)
    unknown = int(state.unknown or "an unanswered peer may have served the call" not in removed)
    yield "a peer serves the call", tried._replace(stored=1, told="accepted")
    yield "a peer refuses the call", tried._replace(refused_by_peer=1)
    yield "a peer is not reached", tried
    yield "a peer serves the call, its answer is lost", tried._replace(stored=1, unknown=unknown)
    yield "a peer's commit is delayed", tried._replace(unknown=unknown, delayed=tried.delayed + 1)


def _answer(state: State, removed: frozenset[str]) -> str:
    if state.found == "present" and "a row that was found is reported as accepted" not in removed:
        return "accepted"
    if state.found == "absent" and "an absent row does not prove that nothing ran" in removed:
        return "not_run"
    return "may_have_run" if state.unknown else "not_run"
